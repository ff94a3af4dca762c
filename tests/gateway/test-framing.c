/*
 * Request framing: a malformed or ambiguous request is rejected, its
 * connection is closed, and no part of it is forwarded to an endpoint. Guards
 * against request smuggling.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "stage.h"

static stage_fixture stage;

#define REQUEST_HEAD                                                          \
    "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: a\r\n"
#define SMUGGLED_REQUEST                                                      \
    "POST /once/2 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"

static const struct framing_case {
    const char *bytes;
    uint32_t status;
} cases[] = {
    {REQUEST_HEAD "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
                  "0\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD
     "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD
     "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD "Content-Length: -1\r\n\r\n" SMUGGLED_REQUEST, 400},
    {REQUEST_HEAD "Content-Length: 5x\r\n\r\nhello" SMUGGLED_REQUEST, 400},
    {REQUEST_HEAD "Transfer-Encoding: identity\r\n\r\n" SMUGGLED_REQUEST, 400},
    {REQUEST_HEAD
     "Transfer-Encoding: chunked, identity\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD
     "Transfer-Encoding: chunked\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD
     "X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD "Host: other\r\nContent-Length: 0\r\n\r\n" SMUGGLED_REQUEST,
     400},
    {REQUEST_HEAD "Content-Length : 0\r\n\r\n" SMUGGLED_REQUEST, 400},
    {"POST /many/1 HTTP/1.1\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n", 400},
    {"POST http://h/many/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
     400},
    {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
    {"POST /many/1 HTTP/2.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 400},
    {"nonsense\r\n\r\n", 400},
    {REQUEST_HEAD "Content-Length: 4000\r\n\r\n", 413},
    {REQUEST_HEAD "Content-Length: 99999999999999999999\r\n\r\n", 400},
};

static uint32_t
status_of(const stage_client *client)
{
    uint32_t status = 0;

    if (client->response.size > 12) {
        sscanf(client->response.data, "HTTP/1.1 %u", &status);
    }
    return status;
}

static bool
is_closed(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->is_closed;
}

static void
expect_rejected(const char *bytes, size_t size, uint32_t status)
{
    stage_client client;

    stage_send(&stage, &client, bytes, size);
    cr_expect(stage_run_until(&stage, is_closed, &client, 3000),
              "the connection stays open after: %.200s", bytes);
    buf_append(&client.response, "", 1);
    cr_expect_eq(status_of(&client), status, "%u after: %.200s",
                 status_of(&client), bytes);
    cr_expect_eq(stage.endpoints[0].requests, 0, "forwarded: %.200s", bytes);
    if (!client.is_closed) {
        stage_disconnect(&stage, &client);
    }
    buf_finish(&client.response);
}

Test(framing, ambiguous_or_malformed_requests_are_rejected)
{
    stage_start(&stage, 1);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        expect_rejected(cases[i].bytes, strlen(cases[i].bytes),
                        cases[i].status);
    }
    stage_stop(&stage);
}

Test(framing, oversized_heads_and_bodies_are_rejected)
{
    static char large[8192];
    int size = snprintf(large, sizeof large, REQUEST_HEAD "X-Large: ");

    stage_start(&stage, 1);
    memset(large + size, 'x', sizeof large - (size_t)size);
    expect_rejected(large, sizeof large, 431);
    size = snprintf(large, sizeof large,
                    REQUEST_HEAD "Transfer-Encoding: chunked\r\n\r\n1000\r\n");
    memset(large + size, 'x', sizeof large - (size_t)size);
    expect_rejected(large, sizeof large, 413);
    stage_stop(&stage);
}

Test(framing, slow_requests_time_out)
{
    stage_start(&stage, 1);
    expect_rejected(REQUEST_HEAD, strlen(REQUEST_HEAD), 408);
    expect_rejected(REQUEST_HEAD "Content-Length: 5\r\n\r\nhel",
                    strlen(REQUEST_HEAD "Content-Length: 5\r\n\r\nhel"), 408);
    stage_stop(&stage);
}

static bool
has_two_responses(stage_fixture *self, void *context)
{
    stage_client *client = context;
    const char *first;

    (void)self;
    buf_append(&client->response, "", 1);
    client->response.size--;
    first = strstr(client->response.data, "body");
    return first != NULL && strstr(first + 1, "body") != NULL;
}

Test(framing, pipelined_requests_are_answered_in_order)
{
    static const char two_requests[] =
        REQUEST_HEAD "Transfer-Encoding: "
                     "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" REQUEST_HEAD
                     "Content-Length: 3\r\n\r\nyou";
    stage_client client;

    stage_start(&stage, 1);
    stage_send(&stage, &client, two_requests, sizeof two_requests - 1);
    cr_expect(stage_run_until(&stage, has_two_responses, &client, 2000));
    cr_expect_eq(stage.endpoints[0].requests, 2);
    cr_expect_eq(stage.endpoints[0].last_body_size, 3);
    stage_disconnect(&stage, &client);
    buf_finish(&client.response);
    stage_stop(&stage);
}

/* Callers leave connections idle and open new ones, beyond the connection
 * limit. */
Test(framing, idle_connections_are_closed_for_new_ones)
{
    enum {
        CLIENT_COUNT = 12
    };
    static stage_client clients[CLIENT_COUNT];
    uint32_t closed = 0;

    stage_start(&stage, 1);
    stage.gate.callers.max_connections = 10;
    stage.gate.callers.limits.idle_timeout = 4 * LV_SECOND;
    for (int i = 0; i < CLIENT_COUNT; i++) {
        stage_send(&stage, &clients[i], NULL, 0);
        stage_run_for(&stage, 150);
    }
    for (int i = 0; i < CLIENT_COUNT; i++) {
        closed += clients[i].is_closed;
    }
    cr_expect_lt(stage.gate.callers.connection_count, 10);
    cr_expect(!clients[CLIENT_COUNT - 1].is_closed, "the newest is served");
    cr_expect_gt(closed, 0);
    for (int i = 0; i < CLIENT_COUNT; i++) {
        if (!clients[i].is_closed) {
            stage_disconnect(&stage, &clients[i]);
        }
        buf_finish(&clients[i].response);
    }
    stage_stop(&stage);
}

static bool
is_reading(stage_fixture *self, void *context)
{
    const front_connection *connection = self->gate.callers.connections;

    (void)context;
    return connection != NULL && connection->phase == FRONT_READING &&
           connection->head != NULL;
}

/* Memory that runs out is no fault of the caller, who may try again. */
Test(framing, request_that_memory_is_missing_for_is_refused)
{
    static const char head[] = REQUEST_HEAD "Content-Length: 5\r\n\r\n";
    static const struct {
        bool is_head_lost;
        bool is_body_lost;
    } losses[] = {{false, true}, {true, false}};

    for (size_t i = 0; i < sizeof losses / sizeof losses[0]; i++) {
        stage_client client;
        const char *first = losses[i].is_head_lost ? "POST /many/1" : head;
        const char *second =
            losses[i].is_head_lost ? " HTTP/1.1\r\nHost: h\r\n\r\n" : "hello";

        stage_start(&stage, 1);
        stage_send(&stage, &client, first, strlen(first));
        stage_run_until(&stage, is_reading, NULL, 200);
        cr_assert_not_null(stage.gate.callers.connections);
        stage.gate.callers.connections->reader.head_text.has_failed =
            losses[i].is_head_lost;
        stage.gate.callers.connections->body.has_failed =
            losses[i].is_body_lost;
        io_write(&client.stream, second, strlen(second));
        cr_expect(stage_run_until(&stage, is_closed, &client, 3000));
        buf_append(&client.response, "", 1);
        cr_expect_eq(status_of(&client), 503, "case %zu: %u", i,
                     status_of(&client));
        cr_expect_eq(stage.endpoints[0].requests, 0);
        buf_finish(&client.response);
        stage_stop(&stage);
    }
}

static bool
is_forwarded(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
}

static bool
is_cancelled(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].cancelled_runs > 0;
}

/* More than all connections of a server may have pipelined. */
#define FULL ((size_t)64 * 1024 * 1024)

/* A caller that sends on while it waits is noticed when it leaves. */
Test(framing, caller_that_leaves_behind_many_bytes_is_noticed)
{
    static const struct {
        size_t size;
        bool is_reset;
        size_t pipelined_elsewhere;
    } departures[] = {{100, true, 0},       {300000, true, 0},
                      {1000000, true, 0},   {100, false, 0},
                      {300000, false, 0},   {1000000, false, 0},
                      {100, false, FULL},   {300000, false, FULL},
                      {300000, true, FULL}, {1000000, true, FULL}};
    static const char request[] =
        REQUEST_HEAD "Content-Length: 5\r\n\r\nhello";

    for (size_t i = 0; i < sizeof departures / sizeof departures[0]; i++) {
        static char more[1000000];
        stage_client client;

        stage_start(&stage, 1);
        memset(more, 'x', sizeof more);
        stage.endpoints[0].mode = STAGE_NO_RESPONSE;
        stage.gate.callers.pipelined_bytes = departures[i].pipelined_elsewhere;
        stage_send(&stage, &client, request, sizeof request - 1);
        cr_assert(stage_run_until(&stage, is_forwarded, NULL, 1000));
        io_write(&client.stream, more, departures[i].size);
        stage_run_for(&stage, 200);
        if (departures[i].is_reset) {
            io_reset(&client.stream);
        }
        else {
            io_close(&client.stream);
        }
        cr_expect(stage_run_until(&stage, is_cancelled, NULL, 500), "case %zu",
                  i);
        stage_run_until(&stage, is_closed, &client, 500);
        buf_finish(&client.response);
        stage_stop(&stage);
    }
}
