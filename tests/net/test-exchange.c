#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "script-server.h"
#include "watcher.h"

#define FILLING_SIZE ((size_t)32 * 1024 * 1024)
#define PAUSED_MS 300
#define NEVER_MS 3600000
#define SILENCE_MS 300

typedef struct end_case {
    char name[32];
    char answer[160];
    int keeps_open;
    int is_refused;
    int end;
    int status;
    int is_framed;
    size_t size;
    int first_byte_ms; /* the time-out that ends it; 0: none does */
    int idle_ms;
} end_case;

ParameterizedTestParameters(exchange, ends)
{
    static end_case cases[] = {
        {"stated length", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
         1, 0, EXCH_COMPLETE, 200, 1, 5, 0, 0},
        {"chunked",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
         "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
         1, 0, EXCH_COMPLETE, 200, 1, 5, 0, 0},
        {"the same length twice",
         "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n"
         "Content-Length: 5\r\n\r\nhello",
         1, 0, EXCH_COMPLETE, 200, 1, 5, 0, 0},
        {"empty", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 1, 0,
         EXCH_COMPLETE, 200, 1, 0, 0, 0},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", 1, 0, EXCH_COMPLETE,
         204, 1, 0, 0, 0},
        {"no content, with a body",
         "HTTP/1.1 204 No Content\r\ncontent-length: 2\r\n\r\nok", 1, 0,
         EXCH_COMPLETE, 204, 1, 0, 0, 0},
        {"not modified, with a length",
         "HTTP/1.1 304 Not Modified\r\ncontent-length: 2\r\n\r\n", 1, 0,
         EXCH_COMPLETE, 304, 1, 0, 0, 0},
        {"not modified, with a coding",
         "HTTP/1.1 304 Not Modified\r\ntransfer-encoding: chunked\r\n\r\n", 1,
         0, EXCH_COMPLETE, 304, 1, 0, 0, 0},
        {"ends by close", "HTTP/1.1 200 OK\r\n\r\nhello", 0, 0, EXCH_COMPLETE,
         200, 0, 5, 0, 0},
        {"cut length", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello", 0,
         0, EXCH_CONNECTION_LOST, 200, 1, 5, 0, 0},
        {"cut chunks",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
         0, 0, EXCH_CONNECTION_LOST, 200, 1, 5, 0, 0},
        {"bad chunks",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello", 1,
         0, EXCH_CONNECTION_LOST, 200, 1, 0, 0, 0},
        {"no answer", "", 0, 0, EXCH_CONNECTION_LOST, 0, 0, 0, 0, 0},
        {"no HTTP", "hello there\r\n\r\n", 1, 0, EXCH_PROTOCOL_ERROR, 0, 0, 0,
         0, 0},
        {"another coding",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkers\r\n\r\n", 1, 0,
         EXCH_PROTOCOL_ERROR, 0, 0, 0, 0, 0},
        {"no number as length",
         "HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n", 1, 0,
         EXCH_PROTOCOL_ERROR, 0, 0, 0, 0, 0},
        {"a bad head after an interim one",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
         "content-length: many\r\n\r\n",
         1, 0, EXCH_PROTOCOL_ERROR, 0, 0, 0, 0, 0},
        {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", 1,
         0, EXCH_PROTOCOL_ERROR, 0, 0, 0, 0, 0},
        {"huge length",
         "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n", 1,
         0, EXCH_PROTOCOL_ERROR, 0, 0, 0, 0, 0},
        {"silent", "", 1, 0, EXCH_CONNECTION_LOST, 0, 0, 0, SILENCE_MS, 0},
        {"silent in the middle",
         "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello", 1, 0,
         EXCH_CONNECTION_LOST, 200, 1, 5, 0, SILENCE_MS},
        {"not ready", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 1, 1,
         EXCH_DECLINED, 0, 0, 0, 0, 0},
    };

    return cr_make_param_array(end_case, cases,
                               sizeof cases / sizeof cases[0]);
}

static lv_time
to_timeout(int milliseconds)
{
    return (lv_time)(milliseconds == 0 ? NEVER_MS : milliseconds) *
           LV_MILLISECOND;
}

/* Only the time-out under test is short, so that neither a late server nor
 * another time-out can end an exchange in place of what the case names. Times
 * are the loop's, which time-outs are measured by. */
ParameterizedTest(end_case *parameter, exchange, ends, .timeout = WATCH_HANG_S)
{
    uv_loop_t loop;
    client_context client;
    client_settings patient = watch_settings;
    watch_watcher self = {.loop = &loop, .is_refused = parameter->is_refused};
    script_server server = {.answer = parameter->answer,
                            .keeps_open = parameter->keeps_open};
    uint64_t begun;

    patient.connect_timeout = to_timeout(0);
    patient.first_byte_timeout = to_timeout(parameter->first_byte_ms);
    patient.idle_timeout = to_timeout(parameter->idle_ms);
    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &patient, NULL));
    script_start(&server);
    uv_update_time(&loop);
    begun = uv_now(&loop);
    watch_ask(&client, &self, server.address, false);
    cr_expect_geq(uv_now(&loop) - begun,
                  (uint64_t)parameter->first_byte_ms + parameter->idle_ms,
                  "%s: ends too early", parameter->name);
    cr_expect_eq((int)self.end, parameter->end, "%s: end %d", parameter->name,
                 (int)self.end);
    cr_expect_eq(self.head.status, parameter->status, "%s: status %d",
                 parameter->name, self.head.status);
    cr_expect_eq(self.head.is_framed, parameter->is_framed, "%s",
                 parameter->name);
    cr_expect_eq(self.size, parameter->size, "%s: size %zu", parameter->name,
                 self.size);
    if (!parameter->is_refused) {
        script_await_request(&server);
    }
    cr_expect_eq(atomic_load(&server.requests), !parameter->is_refused, "%s",
                 parameter->name);
    script_stop(&server);
    watch_finish(&client, &loop);
}

Test(exchange, refused_connection_writes_nothing)
{
    uv_loop_t loop;
    client_context client;
    watch_watcher self = {.loop = &loop};
    script_server server = {.answer = ""};

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    script_stop(&server); /* its port is free now */
    watch_ask(&client, &self, server.address, true);
    cr_expect_eq((int)self.end, EXCH_CONNECT_FAILED);
    cr_expect_eq(self.ready, 0);
    watch_finish(&client, &loop);
}

/* An idempotent request uses a kept connection again; a fresh one never. */
Test(exchange, fresh_connections_are_new)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    uv_loop_t loop;
    client_context client;
    script_server server = {.answer = answer, .keeps_open = 1};
    static const struct {
        bool is_fresh;
        int connections;
    } steps[] = {{false, 1}, {false, 1}, {true, 2}, {true, 3}};
    size_t i;

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    for (i = 0; i < 2; i++) {
        watch_watcher self = {.loop = &loop};

        watch_ask(&client, &self, server.address, steps[i].is_fresh);
        cr_expect_eq((int)self.end, EXCH_COMPLETE);
        cr_expect_eq(atomic_load(&server.connections), steps[i].connections);
    }
    script_stop(&server);
    server = (script_server){.answer = answer, .keeps_open = 0};
    script_start(&server);
    for (i = 2; i < 4; i++) {
        watch_watcher self = {.loop = &loop};

        watch_ask(&client, &self, server.address, steps[i].is_fresh);
        cr_expect_eq((int)self.end, EXCH_COMPLETE);
        cr_expect_eq(atomic_load(&server.connections),
                     steps[i].connections - 1);
    }
    script_stop(&server);
    watch_finish(&client, &loop);
}

static void
on_paused(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

/* A paused exchange takes no more than the sockets hold; going on brings the
 * whole answer. */
Test(exchange, pausing_stops_the_sender)
{
    uv_loop_t loop;
    client_context client;
    uv_timer_t timer;
    watch_watcher self = {.loop = &loop, .is_paused = true};
    script_server server = {
        .answer = "HTTP/1.1 200 OK\r\ncontent-length: 33554432\r\n\r\n",
        .repeat = FILLING_SIZE,
        .keeps_open = 1};
    size_t paused_at;

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    uv_timer_init(&loop, &timer);
    uv_timer_start(&timer, on_paused, UINT64_C(2) * PAUSED_MS, 0);
    watch_ask(&client, &self, server.address, false);
    cr_assert(!self.is_ended, "a pause is no silence");
    paused_at = self.size;
    cr_expect_lt(paused_at, (size_t)1024 * 1024);
    cr_expect_lt(atomic_load(&server.sent), FILLING_SIZE);
    self.is_paused = false;
    exch_set_paused(self.exchange, false);
    uv_run(&loop, UV_RUN_DEFAULT);
    cr_expect(self.is_ended);
    cr_expect_eq((int)self.end, EXCH_COMPLETE);
    cr_expect_eq(self.size, FILLING_SIZE);
    uv_close((uv_handle_t *)&timer, NULL);
    script_stop(&server);
    watch_finish(&client, &loop);
}

typedef struct address_case {
    char text[48];
    int is_address;
} address_case;

ParameterizedTestParameters(exchange, addresses)
{
    static address_case cases[] = {
        {"127.0.0.1:80", 1},    {"[::1]:80", 1},
        {"127.0.0.1", 0},       {"127.0.0.1:0", 0},
        {"127.0.0.1:65536", 0}, {"localhost:80", 0},
        {"127.0.0.1:8x", 0},    {"", 0},
        {"::1:80", 0},          {"127.0.0.1:", 0},
        {"[::1]", 0},
    };

    return cr_make_param_array(address_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(address_case *parameter, exchange, addresses)
{
    struct sockaddr_storage address;
    socklen_t size;

    cr_expect_eq(addr_parse(parameter->text, &address, &size),
                 parameter->is_address, "%s", parameter->text);
}
