/*
 * Input of callers: what is kept behind a request is bounded over all
 * connections, and work for one connection does not grow with their number.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "front-imp.h"
#include "stage.h"

#define REQUEST_HEAD                                                          \
    " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 0\r\n"
#define REQUEST "POST /many/1" REQUEST_HEAD "\r\n"
#define LAST_REFUSED_REQUEST                                                  \
    "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

/* Fits into a receive buffer: the kernel sees a FIN behind it. */
#define INPUT_SIZE (32 * 1024)

static stage_fixture stage;

static bool
has_run(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].runs > 0;
}

static bool
is_idle(stage_fixture *self, void *context)
{
    const front_connection *connection = self->gate.callers.connections;

    (void)context;
    return connection != NULL && connection->phase == FRONT_IDLE;
}

/* Guards against connections that each keep 256 KiB although all together
 * keep more than the server's bound. */
Test(caller_input, pipelined_bytes_count_against_the_total)
{
    static const struct {
        size_t elsewhere; /* kept for other connections */
        size_t max;       /* kept for this one */
    } cases[] = {{0, INPUT_SIZE}, {64 * 1024 * 1024, 0}};
    static char input[INPUT_SIZE];
    stage_client client;

    memset(input, 'x', sizeof input);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        size_t kept;

        stage_start(&stage, 1);
        stage.gate.callers.pipelined_bytes = cases[i].elsewhere;
        stage.endpoints[0].mode = STAGE_NO_RESPONSE;
        stage_send(&stage, &client, REQUEST, sizeof REQUEST - 1);
        cr_assert(stage_run_until(&stage, has_run, NULL, 1000));
        io_write(&client.stream, input, sizeof input);
        stage_run_for(&stage, 200);
        kept = stage.gate.callers.pipelined_bytes - cases[i].elsewhere;
        cr_expect_eq(kept, cases[i].max, "case %zu: %zu bytes", i, kept);
        stage_finish_client(&stage, &client);
        stage_run_for(&stage, 500);
        cr_expect_eq(stage.gate.callers.connection_count, 0,
                     "case %zu: the caller's disconnect is not noticed", i);
        stage_stop(&stage);
    }
}

/* Guards against bytes that are kept for connections read when the bound was
 * passed on another one. */
Test(caller_input, connections_stop_when_another_passes_the_total)
{
    static char input[INPUT_SIZE];
    stage_client client;
    stage_client other;
    size_t kept;

    memset(input, 'x', sizeof input);
    stage_start(&stage, 1);
    stage.endpoints[0].mode = STAGE_NO_RESPONSE;
    stage_send(&stage, &client, REQUEST, sizeof REQUEST - 1);
    stage_send(&stage, &other, REQUEST, sizeof REQUEST - 1);
    stage_run_for(&stage, 100);
    cr_assert_eq(stage.endpoints[0].runs, 2);
    stage.gate.callers.pipelined_bytes = FRONT_MAX_PIPELINED_BYTES;
    io_write(&other.stream, input, 1);
    stage_run_for(&stage, 100);
    io_write(&client.stream, input, sizeof input);
    stage_run_for(&stage, 100);
    kept = stage.gate.callers.pipelined_bytes - FRONT_MAX_PIPELINED_BYTES;
    cr_expect_eq(kept, 1, "%zu bytes", kept);
    stage_finish_client(&stage, &client);
    stage_finish_client(&stage, &other);
    stage_stop(&stage);
}

/* Guards against input that is not read after the last response: the caller's
 * FIN is not seen, and the connection is reset. */
Test(caller_input, last_response_from_the_pipeline_does_not_stop_reading)
{
    static const char head[] = REQUEST LAST_REFUSED_REQUEST;
    static char requests[512 * 1024];
    stage_client client;

    memset(requests, 'x', sizeof requests);
    memcpy(requests, head, sizeof head - 1);
    stage_start(&stage, 1);
    stage_send(&stage, &client, NULL, 0);
    cr_assert(stage_run_until(&stage, is_idle, NULL, 1000));
    stage.gate.callers.pipelined_bytes = 64 * 1024 * 1024;
    stage.endpoints[0].mode = STAGE_STREAM;
    io_write(&client.stream, requests, sizeof requests);
    stage_run_until(&stage, stage_is_closed, &client, 2000);
    cr_expect_not(client.is_reset);
    cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"), 1);
    cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 404"), 1);
    stage_run_for(&stage, 200);
    cr_expect_eq(stage.gate.callers.connection_count, 0,
                 "the caller's FIN is not seen");
    stage_finish_client(&stage, &client);
    stage_stop(&stage);
}

/* Guards against work for each new connection that grows with the number of
 * idle ones: all of them have unread input here, so that none may close. */
Test(caller_input, search_for_the_longest_idle_is_bounded)
{
    enum {
        COUNT = 100
    };
    static stage_client clients[COUNT];
    uint64_t queries;

    stage_start(&stage, 1);
    for (int i = 0; i < COUNT; i++) {
        stage_send(&stage, &clients[i], NULL, 0);
    }
    stage_run_for(&stage, 700);
    cr_assert_eq(stage.gate.callers.connection_count, COUNT);
    for (int i = 0; i < COUNT; i++) {
        io_write(&clients[i].stream, REQUEST, sizeof REQUEST - 1);
    }
    stage_block(STAGE_DELIVERY_MS);
    queries = io_count_unread_queries();
    cr_expect_not(front_close_longest_idle(&stage.gate.callers));
    queries = io_count_unread_queries() - queries;
    cr_expect_leq(queries, 16, "%llu queries", (unsigned long long)queries);
    for (int i = 0; i < COUNT; i++) {
        stage_finish_client(&stage, &clients[i]);
    }
    stage_stop(&stage);
}

/* Guards against an order of idleness that connections in use leave wrong:
 * the first one is used again, so that the second one is idle longest. */
Test(caller_input, connection_that_is_idle_longest_is_closed)
{
    stage_client clients[3];

    stage_start(&stage, 1);
    for (int i = 0; i < 3; i++) {
        stage_send(&stage, &clients[i], NULL, 0);
        stage_run_for(&stage, 20);
    }
    io_write(&clients[0].stream, REQUEST, sizeof REQUEST - 1);
    stage_run_for(&stage, 700);
    for (int i = 0; i < 3; i++) {
        cr_expect(front_close_longest_idle(&stage.gate.callers));
        cr_expect(stage_run_until(&stage, stage_is_closed,
                                  &clients[(i + 1) % 3], 100),
                  "another than %d is closed", (i + 1) % 3);
    }
    cr_expect_not(front_close_longest_idle(&stage.gate.callers));
    for (int i = 0; i < 3; i++) {
        stage_finish_client(&stage, &clients[i]);
    }
    stage_stop(&stage);
}
