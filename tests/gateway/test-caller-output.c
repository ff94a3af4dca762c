/*
 * Output to callers that read slowly or not at all: complete responses are
 * delivered, cut ones do not look complete, and the queue is bounded.
 */
#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>

#include "front-imp.h"
#include "stage.h"

#define BODY_SIZE ((size_t)16 * 1024 * 1024)
#define TICK_MS 50
#define CLOSING_HEAD "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define KEEPING_HEAD "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static stage_fixture stage; /* only its loop, timer and address are used */
static front_server server;
static uv_timer_t tick_timer;
static char *body;
static uint64_t response_size;

static void
on_request(front_server *self, front_connection *connection)
{
    (void)self;
    front_begin_response(connection, 200, NULL, response_size);
    front_send_body(connection, body, BODY_SIZE);
    front_end_response(connection);
}

static void
ignore_connection(front_server *self, front_connection *connection)
{
    (void)self;
    (void)connection;
}

static void
ignore_rejected(front_server *self, uint32_t status, const char *reason)
{
    (void)self;
    (void)status;
    (void)reason;
}

static const front_ops large_ops = {.on_request = on_request,
                                    .on_disconnect = ignore_connection,
                                    .on_drain = ignore_connection,
                                    .on_rejected = ignore_rejected};

static void
on_tick(uv_timer_t *timer)
{
    (void)timer;
    front_tick(&server, io_now());
}

static void
start_server(const front_ops *ops)
{
    static const rt_limits limits = {.head_bytes = 4096,
                                     .body_bytes = 1024,
                                     .head_timeout = LV_SECOND,
                                     .idle_timeout = 300 * LV_MILLISECOND};
    struct sockaddr_in address;

    memset(&stage, 0, sizeof stage);
    uv_loop_init(&stage.loop);
    uv_timer_init(&stage.loop, &stage.timer);
    stage.timer.data = &stage;
    io_parse_address("127.0.0.1:0", &address, NULL);
    cr_assert(
        front_listen(&server, &stage.loop, ops, &address, 64, NULL, NULL));
    server.limits = limits;
    stage_format_address(&server.listener, stage.callers);
    uv_timer_init(&stage.loop, &tick_timer);
    uv_timer_start(&tick_timer, on_tick, 0, TICK_MS);
    body = calloc(1, BODY_SIZE);
    cr_assert_not_null(body);
}

static void
stop_server(void)
{
    front_close_all(&server);
    front_stop_listening(&server);
    uv_close((uv_handle_t *)&tick_timer, NULL);
    uv_close((uv_handle_t *)&stage.timer, NULL);
    uv_run(&stage.loop, UV_RUN_DEFAULT);
    cr_assert_eq(uv_loop_close(&stage.loop), 0, "a handle is left open");
    free(body);
}

static bool
is_open(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->is_open;
}

/* Guards against a response cut by the linger or idle timeout, or by the
 * caller's FIN, while bytes of it are queued. */
Test(caller_output, queued_responses_are_delivered_to_slow_callers)
{
    static const struct {
        const char *what;
        const char *request;
        uint64_t size;
        bool is_half_closed;
    } cases[] = {
        {"close-delimited", CLOSING_HEAD, FRONT_SIZE_UNTIL_CLOSE, false},
        {"last response", CLOSING_HEAD, BODY_SIZE, false},
        {"idle afterwards", KEEPING_HEAD, BODY_SIZE, false},
        {"half-closed", CLOSING_HEAD, FRONT_SIZE_UNTIL_CLOSE, true},
        {"half-closed, idle afterwards", KEEPING_HEAD, BODY_SIZE, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        start_server(&large_ops);
        response_size = cases[i].size;
        stage_send(&stage, &client, cases[i].request,
                   strlen(cases[i].request));
        cr_assert(stage_run_until(&stage, is_open, &client, 1000));
        io_read_stop(&client.stream);
        if (cases[i].is_half_closed) {
            io_shutdown(&client.stream);
        }
        stage_run_for(&stage, 1000);
        io_read_start(&client.stream);
        cr_expect(stage_run_until(&stage, stage_is_closed, &client, 5000),
                  "%s: not closed", cases[i].what);
        cr_expect_gt(client.response.size, BODY_SIZE, "%s: %zu of %zu bytes",
                     cases[i].what, client.response.size, BODY_SIZE);
        cr_expect_not(client.is_reset, "%s: reset", cases[i].what);
        stage_finish_client(&stage, &client);
        stop_server();
    }
}

/* Guards against a cut response that ends with an orderly close. */
Test(caller_output, a_caller_that_never_reads_is_reset)
{
    stage_client client;

    start_server(&large_ops);
    response_size = FRONT_SIZE_UNTIL_CLOSE;
    stage_send(&stage, &client, CLOSING_HEAD, sizeof CLOSING_HEAD - 1);
    cr_assert(stage_run_until(&stage, is_open, &client, 1000));
    io_read_stop(&client.stream);
    stage_run_for(&stage, FRONT_SILENCE_TIMEOUT / LV_MILLISECOND + 2000);
    cr_expect_eq(server.connection_count, 0, "the connection is still open");
    io_read_start(&client.stream);
    cr_expect(stage_run_until(&stage, stage_is_closed, &client, 2000));
    cr_expect(client.is_reset, "closed after %zu of %zu bytes",
              client.response.size, BODY_SIZE);
    stage_finish_client(&stage, &client);
    stop_server();
}
