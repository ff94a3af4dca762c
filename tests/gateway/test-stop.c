/*
 * The end of a gateway: what it answers last reaches its callers, within a
 * bounded time.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

#define REQUEST                                                               \
    "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Content-Length: 0\r\n\r\n"
#define REFUSED_REQUEST "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

static stage_fixture stage;

static bool
has_run(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].runs > 0;
}

/* Guards against an answer that is lost because the gateway ends with a reset,
 * and against a request that it does not answer. */
Test(stop, answers_arrive_over_unread_input)
{
    static const struct {
        const char *what;
        const char *first;  /* read before the stop */
        const char *second; /* not read by then */
        const char *status;
    } cases[] = {
        {"request in hand", REQUEST, "", "HTTP/1.1 502"},
        {"request in hand, another behind it", REQUEST, REQUEST,
         "HTTP/1.1 502"},
        {"unread request", "", REQUEST, "HTTP/1.1 503"},
        {"request read in part", "POST /many/1 HTTP/1.1\r\nHo",
         "st: h\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = STAGE_NO_RESPONSE;
        stage_send(&stage, &client, cases[i].first, strlen(cases[i].first));
        cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
        if (strcmp(cases[i].first, REQUEST) == 0) {
            cr_assert(stage_run_until(&stage, has_run, NULL, 1000));
        }
        else {
            stage_run_for(&stage, STAGE_DELIVERY_MS);
        }
        io_write(&client.stream, cases[i].second, strlen(cases[i].second));
        stage_block(STAGE_DELIVERY_MS);
        stage_stop(&stage);
        cr_expect_eq(stage_count_responses(&client, cases[i].status), 1,
                     "%s: no answer", cases[i].what);
        cr_expect_not(client.is_reset, "%s: reset", cases[i].what);
        buf_finish(&client.response);
    }
}

static stage_client slow_client;
static uv_timer_t slow_timer;
static uint32_t open_connections;

static void
resume_reading(uv_timer_t *timer)
{
    io_read_start(&slow_client.stream);
    uv_close((uv_handle_t *)timer, NULL);
}

static void
close_client(uv_timer_t *timer)
{
    open_connections = stage.gate.callers.connection_count;
    io_close(&slow_client.stream);
    uv_close((uv_handle_t *)timer, NULL);
}

static bool
has_queued_output(stage_fixture *self, void *context)
{
    const front_connection *connection = self->gate.callers.connections;

    (void)context;
    return connection != NULL && io_write_queue_size(&connection->stream) > 0;
}

/* Stops the gateway while a caller does not read what was queued for it;
 * `callback` is called after a while. */
static void
stop_over_queued_output(uv_timer_cb callback, lv_time after)
{
    enum {
        COUNT = 150000 /* 4 MB, with 19 MB of answers */
    };
    static char requests[COUNT * (sizeof REFUSED_REQUEST - 1)];

    for (int i = 0; i < COUNT; i++) {
        memcpy(requests + i * (sizeof REFUSED_REQUEST - 1), REFUSED_REQUEST,
               sizeof REFUSED_REQUEST - 1);
    }
    stage_start(&stage, 1);
    stage_send(&stage, &slow_client, NULL, 0);
    cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
    stage_run_for(&stage, STAGE_DELIVERY_MS);
    io_read_stop(&slow_client.stream);
    io_write(&slow_client.stream, requests, sizeof requests);
    cr_assert(stage_run_until(&stage, has_queued_output, NULL, 3000));
    uv_timer_init(&stage.loop, &slow_timer);
    uv_timer_start(&slow_timer, callback, after / LV_MILLISECOND, 0);
    stage_stop(&stage);
}

/* Guards against queued answers that are dropped when the gateway ends. */
Test(stop, queued_answers_are_delivered)
{
    const buf_buffer *response = &slow_client.response;

    stop_over_queued_output(resume_reading, 50 * LV_MILLISECOND);
    cr_expect_not(slow_client.is_reset);
    cr_assert_gt(response->size, 2);
    cr_expect_eq(memcmp(response->data + response->size - 2, "}\n", 2), 0,
                 "cut after %zu bytes", response->size);
    buf_finish(&slow_client.response);
}

/* Guards against a stop that a caller can delay beyond the reserve. */
Test(stop, a_caller_that_does_not_read_does_not_delay_the_end)
{
    gate_settings *settings = &stage.gate.settings;

    stop_over_queued_output(close_client, 400 * LV_MILLISECOND);
    cr_assert_eq(settings->drain_reserve, 400 * LV_MILLISECOND);
    cr_expect_eq(open_connections, 0);
    buf_finish(&slow_client.response);
}
