/*
 * A loop that is late: what endpoints sent in time waits in the sockets while
 * the timer of the gateway judges them.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "back-imp.h"
#include "gate-imp.h"
#include "stage.h"

static stage_fixture stage;

typedef struct late_case {
    const char *path;
    stage_mode mode;
    uint64_t delay_ms; /* of the loop */
    const char *body;
} late_case;

static bool
has_request(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests + self->endpoints[1].requests > 0;
}

static bool
is_answered(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.request_count == 0;
}

static void
read_endpoints(bool is_on)
{
    back_connection *connection;

    for (connection = stage.gate.endpoint_pool.connections; connection != NULL;
         connection = connection->next) {
        if (is_on) {
            io_read_start(&connection->stream);
        }
        else {
            io_read_stop(&connection->stream);
        }
    }
}

/* Lets the endpoints go on while the gateway neither reads them nor ticks, and
 * then ticks before it reads. */
static void
delay_loop(uint64_t milliseconds)
{
    uv_timer_stop(&stage.gate.timer);
    read_endpoints(false);
    stage_run_for(&stage, milliseconds);
    gate_tick_requests(&stage.gate, io_now());
    read_endpoints(true);
    uv_timer_again(&stage.gate.timer);
}

/* Guards against a sound answer that is sent elsewhere, or replaced by 504,
 * while its bytes wait to be read. */
Test(late_loop, what_has_arrived_counts_before_silence_and_deadline)
{
    static const late_case cases[] = {
        {"/resume/1", STAGE_STREAM, 500, "piece-5"},
        {"/many/1", STAGE_RESPOND_LATE, 1000, "body"},
        {"/many/1", STAGE_RESPOND_LATE, 1600, "body"},
        {"/once/1", STAGE_RESPOND_LATE, 1600, "body"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char request[256];
        stage_client client;
        int size = snprintf(request, sizeof request,
                            "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
                            "Content-Length: 0\r\n\r\n",
                            cases[i].path);

        stage_start(&stage, 2);
        stage.endpoints[0].mode = stage.endpoints[1].mode = cases[i].mode;
        stage_send(&stage, &client, request, (size_t)size);
        cr_assert(stage_run_until(&stage, has_request, NULL, 1000));
        delay_loop(cases[i].delay_ms);
        cr_assert(stage_run_until(&stage, is_answered, NULL, 1000));
        stage_run_for(&stage, 50);
        buf_append(&client.response, "", 1);
        cr_expect_not_null(strstr(client.response.data, cases[i].body),
                           "case %zu: %s", i, client.response.data);
        cr_expect_eq(stage.gate.counts.stalls, 0, "case %zu", i);
        cr_expect_eq(stage.endpoints[0].requests + stage.endpoints[1].requests,
                     1, "case %zu", i);
        stage_disconnect(&stage, &client);
        buf_finish(&client.response);
        stage_stop(&stage);
    }
}

/* The other half: without bytes to be read the deadline holds. */
Test(late_loop, a_deadline_without_an_answer_ends_the_request_at_once)
{
    static const char request[] = "POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                                  "Api-Key: k1\r\nContent-Length: 0\r\n\r\n";
    stage_client client;

    stage_start(&stage, 1);
    stage.endpoints[0].mode = STAGE_NO_RESPONSE;
    stage_send(&stage, &client, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, has_request, NULL, 1000));
    delay_loop(1600);
    cr_expect_eq(stage.gate.counts.failed, 1);
    stage_disconnect(&stage, &client);
    buf_finish(&client.response);
    stage_stop(&stage);
}
