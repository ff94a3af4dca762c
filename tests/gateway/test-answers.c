/*
 * What endpoints may do to a request, and what its caller then gets: a
 * table of kinds of route, behaviours and outcomes.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "stage.h"

static stage_stage stage;

typedef struct answer_case {
    const char *path;
    stage_mode modes[2]; /* of the two endpoints */
    uint32_t status;     /* 0: none */
    bool is_whole;
    const char *body; /* NULL: any */
    uint32_t runs;    /* at both endpoints */
} answer_case;

#define EVENTS_ALL                                                            \
    "id: 0\ndata: piece-0\n\nid: 1\ndata: piece-1\n\nid: 2\ndata: piece-2"    \
    "\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n"                    \
    "id: 5\ndata: piece-5\n\n"
#define BOTH(mode)                                                            \
    {                                                                         \
        mode, mode                                                            \
    }

static const answer_case cases[] = {
    {"/once/1", BOTH(STAGE_ANSWER), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_ERROR), 500, true, "fail", 1},
    {"/once/1", BOTH(STAGE_RESET), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_SHORT), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_UNSEALED), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_GARBAGE), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_MUTE), 504, true, NULL, 1},
    {"/once/1", BOTH(STAGE_SHED), 503, true, NULL, 0},
    {"/once/1", BOTH(STAGE_TWICE), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_STRAY_FIRST), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_UNFRAMED), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_UNFRAMED_CUT), 502, true, NULL, 1},
    {"/many/1", BOTH(STAGE_ANSWER), 200, true, "body", 1},
    {"/many/1", BOTH(STAGE_ERROR), 500, true, "fail", 2},
    {"/many/1", BOTH(STAGE_RESET), 502, true, NULL, 2},
    {"/many/1", {STAGE_RESET, STAGE_ANSWER}, 200, true, "body", 0},
    {"/many/1", {STAGE_MUTE, STAGE_ANSWER}, 200, true, "body", 0},
    {"/many/1", {STAGE_SHED, STAGE_ANSWER}, 200, true, "body", 1},
    {"/many/1", {STAGE_UNSEALED, STAGE_ANSWER}, 200, true, "body", 0},
    {"/stream/1", BOTH(STAGE_STREAM), 200, true, EVENTS_ALL, 1},
    {"/stream/1", BOTH(STAGE_STREAM_CUT), 200, false, NULL, 1},
    {"/stream/1", BOTH(STAGE_STREAM_STALL), 200, false, NULL, 1},
    {"/stream/1", BOTH(STAGE_RESET), 502, true, NULL, 1},
    {"/resume/1", BOTH(STAGE_STREAM), 200, true, EVENTS_ALL, 1},
    {"/resume/1", {STAGE_STREAM_CUT, STAGE_STREAM}, 200, true, EVENTS_ALL, 0},
    {"/resume/1",
     {STAGE_STREAM_STALL, STAGE_STREAM},
     200,
     true,
     EVENTS_ALL,
     0},
    {"/resume/1", {STAGE_RESET, STAGE_STREAM}, 200, true, EVENTS_ALL, 0},
};

/* Both endpoints are tried first in turn, so that a case with two modes is
 * met from either side. */
static void
play(const answer_case *with, int turn)
{
    stage_answer answer;
    uint32_t runs;

    stage_start(&stage, 2);
    stage.endpoints[0].mode = with->modes[turn];
    stage.endpoints[1].mode = with->modes[1 - turn];
    stage_ask(&stage, with->path, "", &answer);
    runs = stage.endpoints[0].runs + stage.endpoints[1].runs;
    cr_expect_eq(answer.status, with->status, "%s, modes %d %d: status %u",
                 with->path, with->modes[0], with->modes[1], answer.status);
    cr_expect_eq(answer.is_whole, with->is_whole, "%s", with->path);
    if (with->body != NULL) {
        cr_expect_str_eq(answer.body, with->body, "%s", with->path);
    }
    if (with->runs > 0 || with->status == 503) {
        cr_expect_eq(runs, with->runs, "%s: %u runs", with->path, runs);
    }
    if (with->status == 200 && with->is_whole) {
        cr_expect_not_null(strstr(answer.head, "seal-1"));
    }
    cr_expect_eq(eng_in_flight(&stage.gate.endpoints.endpoints[0]), 0);
    cr_expect_eq(eng_in_flight(&stage.gate.endpoints.endpoints[1]), 0);
    stage_stop(&stage);
}

Test(answers, each_behaviour_of_an_endpoint_has_its_outcome)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        play(&cases[i], 0);
        play(&cases[i], 1);
    }
}

/* A refusal that says not-run is true for every behaviour that runs. */
Test(answers, what_may_have_run_is_never_called_not_run)
{
    for (int mode = STAGE_ANSWER; mode <= STAGE_GARBAGE; mode++) {
        stage_answer answer;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = (stage_mode)mode;
        stage_ask(&stage, "/once/1", "", &answer);
        if (stage.endpoints[0].runs > 0) {
            cr_expect(answer.status != 503 && answer.status != 429 &&
                          answer.status != 408 && answer.status != 421,
                      "mode %d: %u", mode, answer.status);
        }
        cr_expect_leq(stage.endpoints[0].runs, 1);
        stage_stop(&stage);
    }
}

Test(answers, the_next_request_on_a_connection_gets_its_own_answer)
{
    static const stage_mode modes[] = {STAGE_ANSWER, STAGE_TWICE,
                                       STAGE_STRAY_FIRST};

    for (size_t i = 0; i < sizeof modes / sizeof modes[0]; i++) {
        stage_start(&stage, 1);
        stage.endpoints[0].mode = modes[i];
        for (int k = 0; k < 4; k++) {
            stage_answer answer;

            stage_ask(&stage, "/many/1", "", &answer);
            cr_expect_eq(answer.status, 200);
            cr_expect_str_eq(answer.body, "body");
        }
        stage_stop(&stage);
    }
}

static bool
has_request(stage_stage *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
}

static bool
is_cancelled(stage_stage *self, void *context)
{
    (void)context;
    return self->endpoints[0].cancelled > 0;
}

/* A caller that left must not keep its endpoint at work. */
Test(answers, the_run_ends_when_the_caller_leaves)
{
    static const char request[] =
        "POST /stream/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n";
    stage_call call;

    stage_start(&stage, 1);
    stage.endpoints[0].mode = STAGE_MUTE;
    stage_send(&stage, &call, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, has_request, NULL, 2000));
    stage_hang_up(&stage, &call);
    cr_expect(stage_run_until(&stage, is_cancelled, NULL, 400));
    buf_finish(&call.answer);
    stage_stop(&stage);
}

static bool
is_open(stage_stage *self, void *context)
{
    (void)self;
    return ((stage_call *)context)->is_open;
}

/* At a busy instance a caller has left before its request is read. */
Test(answers, nothing_runs_for_a_caller_that_has_left)
{
    static const char request[] =
        "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n";
    stage_answer answer;
    stage_call call;

    stage_start(&stage, 1);
    stage_ask(&stage, "/many/1", "", &answer); /* a connection is kept */
    stage_send(&stage, &call, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, is_open, &call, 2000));
    stage_hang_up(&stage, &call);
    stage_run_for(&stage, 100);
    cr_expect_eq(stage.gate.counts.requests, 2);
    cr_expect_eq(stage.gate.counts.caller_disconnects, 1);
    cr_expect_eq(stage.endpoints[0].requests, 1);
    buf_finish(&call.answer);
    stage_stop(&stage);
}

Test(answers, the_endpoint_gets_what_the_wire_asks_for)
{
    stage_answer answer;
    const stage_endpoint *endpoint = &stage.endpoints[0];

    stage_start(&stage, 1);
    stage_ask(&stage, "/many/x?y=1",
              "Lavenderproxy-Tenant: somebody\r\nConnection: X-Hop\r\n"
              "X-Hop: 1\r\nX-Own: 2\r\nLavenderproxy-Hold: 9\r\n"
              "Kv-From: 1.2.3.4:5/6\r\n",
              &answer);
    cr_expect_eq(answer.status, 200);
    cr_expect_str_eq(endpoint->last_target, "/many/x?y=1");
    cr_expect_eq(endpoint->last_body_size, 5);
    cr_expect_not_null(
        strstr(endpoint->last_head, "Lavenderproxy-Attempt-Id: id-1\n"));
    cr_expect_not_null(
        strstr(endpoint->last_head, "Lavenderproxy-Expect-Runner: e-0\n"));
    cr_expect_not_null(
        strstr(endpoint->last_head, "Lavenderproxy-Tenant: north\n"));
    cr_expect_not_null(strstr(endpoint->last_head, "X-Own: 2\n"));
    cr_expect_null(strstr(endpoint->last_head, "somebody"));
    cr_expect_null(strstr(endpoint->last_head, "k1"));
    cr_expect_null(strstr(endpoint->last_head, "X-Hop"));
    cr_expect_null(strstr(endpoint->last_head, "Hold"));
    cr_expect_null(strstr(endpoint->last_head, "Kv-From"));
    stage_stop(&stage);
}

Test(answers, keys_and_routes)
{
    static const struct {
        const char *path;
        const char *headers;
        uint32_t status;
    } requests[] = {
        {"/many/1", "", 200},
        {"/nowhere", "", 404},
        {"/many", "", 404},
    };

    stage_start(&stage, 1);
    for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++) {
        stage_answer answer;

        stage_ask(&stage, requests[i].path, requests[i].headers, &answer);
        cr_expect_eq(answer.status, requests[i].status, "%s",
                     requests[i].path);
    }
    stage_stop(&stage);
}
