/*
 * Requests that are not proper ones: each is refused, its connection ends,
 * and nothing of it reaches an endpoint.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "stage.h"

static stage_stage stage;

#define HEAD                                                                  \
    "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: a\r\n"
#define HIDDEN                                                                \
    "POST /once/2 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"

static const struct framing_case {
    const char *bytes;
    uint32_t status;
} cases[] = {
    {HEAD "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
          "0\r\n\r\n" HIDDEN,
     400},
    {HEAD "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
          "0\r\n\r\n" HIDDEN,
     400},
    {HEAD "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" HIDDEN, 400},
    {HEAD "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello" HIDDEN, 400},
    {HEAD "Content-Length: -1\r\n\r\n" HIDDEN, 400},
    {HEAD "Content-Length: 5x\r\n\r\nhello" HIDDEN, 400},
    {HEAD "Transfer-Encoding: identity\r\n\r\n" HIDDEN, 400},
    {HEAD "Transfer-Encoding: chunked, identity\r\n\r\n" HIDDEN, 400},
    {HEAD "Transfer-Encoding: chunked\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HIDDEN,
     400},
    {HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\n" HIDDEN, 400},
    {HEAD "X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n" HIDDEN, 400},
    {HEAD "Host: other\r\nContent-Length: 0\r\n\r\n" HIDDEN, 400},
    {HEAD "Content-Length : 0\r\n\r\n" HIDDEN, 400},
    {"POST /many/1 HTTP/1.1\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n", 400},
    {"POST http://h/many/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
     400},
    {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
    {"POST /many/1 HTTP/2.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 400},
    {"nonsense\r\n\r\n", 400},
    {HEAD "Content-Length: 4000\r\n\r\n", 413},
    {HEAD "Content-Length: 99999999999999999999\r\n\r\n", 400},
};

static uint32_t
status_of(const stage_call *call)
{
    uint32_t status = 0;

    if (call->answer.size > 12) {
        sscanf(call->answer.data, "HTTP/1.1 %u", &status);
    }
    return status;
}

static bool
is_ended(stage_stage *self, void *context)
{
    (void)self;
    return ((stage_call *)context)->is_closed;
}

static void
expect_refused(const char *bytes, size_t size, uint32_t status)
{
    stage_call call;

    stage_send(&stage, &call, bytes, size);
    cr_expect(stage_run_until(&stage, is_ended, &call, 3000),
              "the connection stays open after: %.200s", bytes);
    buf_append(&call.answer, "", 1);
    cr_expect_eq(status_of(&call), status, "%u after: %.200s",
                 status_of(&call), bytes);
    cr_expect_eq(stage.endpoints[0].requests, 0, "forwarded: %.200s", bytes);
    if (!call.is_closed) {
        stage_hang_up(&stage, &call);
    }
    buf_finish(&call.answer);
}

Test(framing, what_could_be_read_in_two_ways_is_refused)
{
    stage_start(&stage, 1);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        expect_refused(cases[i].bytes, strlen(cases[i].bytes),
                       cases[i].status);
    }
    stage_stop(&stage);
}

Test(framing, heads_and_bodies_have_their_limits)
{
    static char large[8192];
    int size = snprintf(large, sizeof large, HEAD "X-Large: ");

    stage_start(&stage, 1);
    memset(large + size, 'x', sizeof large - (size_t)size);
    expect_refused(large, sizeof large, 431);
    size = snprintf(large, sizeof large,
                    HEAD "Transfer-Encoding: chunked\r\n\r\n1000\r\n");
    memset(large + size, 'x', sizeof large - (size_t)size);
    expect_refused(large, sizeof large, 413);
    stage_stop(&stage);
}

Test(framing, a_slow_request_is_refused_in_time)
{
    stage_start(&stage, 1);
    expect_refused(HEAD, strlen(HEAD), 408);
    expect_refused(HEAD "Content-Length: 5\r\n\r\nhel",
                   strlen(HEAD "Content-Length: 5\r\n\r\nhel"), 408);
    stage_stop(&stage);
}

static bool
has_two_answers(stage_stage *self, void *context)
{
    stage_call *call = context;
    const char *first;

    (void)self;
    buf_append(&call->answer, "", 1);
    call->answer.size--;
    first = strstr(call->answer.data, "body");
    return first != NULL && strstr(first + 1, "body") != NULL;
}

Test(framing, requests_that_come_together_are_answered_in_turn)
{
    static const char two[] =
        HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" HEAD
             "Content-Length: 3\r\n\r\nyou";
    stage_call call;

    stage_start(&stage, 1);
    stage_send(&stage, &call, two, sizeof two - 1);
    cr_expect(stage_run_until(&stage, has_two_answers, &call, 2000));
    cr_expect_eq(stage.endpoints[0].requests, 2);
    cr_expect_eq(stage.endpoints[0].last_body_size, 3);
    stage_hang_up(&stage, &call);
    buf_finish(&call.answer);
    stage_stop(&stage);
}

/* Callers that leave idle connections behind and open new ones. */
Test(framing, idle_connections_make_room_for_new_ones)
{
    enum {
        CALLS = 12
    };
    static stage_call calls[CALLS];
    uint32_t closed = 0;

    stage_start(&stage, 1);
    stage.gate.callers.max_connections = 10;
    stage.gate.callers.limits.idle_timeout = 4 * LV_SECOND;
    for (int i = 0; i < CALLS; i++) {
        stage_send(&stage, &calls[i], NULL, 0);
        stage_run_for(&stage, 150);
    }
    for (int i = 0; i < CALLS; i++) {
        closed += calls[i].is_closed;
    }
    cr_expect_lt(stage.gate.callers.connection_count, 10);
    cr_expect(!calls[CALLS - 1].is_closed, "the newest is served");
    cr_expect_gt(closed, 0);
    for (int i = 0; i < CALLS; i++) {
        if (!calls[i].is_closed) {
            stage_hang_up(&stage, &calls[i]);
        }
        buf_finish(&calls[i].answer);
    }
    stage_stop(&stage);
}
