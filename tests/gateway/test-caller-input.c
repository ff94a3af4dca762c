/*
 * Input of callers: it is read after the last response, and work for one
 * connection does not grow with their number.
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

static stage_fixture stage;

static bool
is_idle(stage_fixture *self, void *context)
{
    const front_connection *connection = self->gate.callers.connections;

    (void)context;
    return connection != NULL && connection->phase == FRONT_IDLE;
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
