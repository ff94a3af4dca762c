#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>

#include "lavender-net/endpoints.h"
#include "script-server.h"

#define REQUEST "GET / HTTP/1.1\r\nhost: test\r\n\r\n"
#define FILLING_SIZE ((size_t)32 * 1024 * 1024)
#define PAUSED_MS 300

typedef struct watcher {
    uv_loop_t *loop;
    bool is_refused;
    bool is_paused;
    bool is_ended;
    int ready;
    exch_result end;
    exch_response_head head;
    size_t size;
    exch_handle *exchange;
} watcher;

static bool
on_ready(void *owner)
{
    watcher *self = owner;

    self->ready++;
    return !self->is_refused;
}

static bool
on_head(void *owner, const exch_response_head *head)
{
    watcher *self = owner;

    self->head = *head;
    self->head.headers = NULL;
    return true;
}

static bool
on_body(void *owner, const char *bytes, size_t size)
{
    watcher *self = owner;

    (void)bytes;
    self->size += size;
    if (self->is_paused) {
        exch_set_paused(self->exchange, true);
    }
    return true;
}

static void
on_end(void *owner, exch_result end)
{
    watcher *self = owner;

    cr_assert(!self->is_ended);
    self->is_ended = true;
    self->end = end;
    uv_stop(self->loop);
}

static const exch_ops ops = {on_ready, on_head, on_body, on_end};

#define NEVER_MS 3600000
#define SILENCE_MS 300
#define HANG_S 120 /* ends a test whose exchange does not end */

static const client_settings settings = {
    .connect_timeout = 500 * LV_MILLISECOND,
    .first_byte_timeout = 300 * LV_MILLISECOND,
    .idle_timeout = 300 * LV_MILLISECOND,
    .idle_connection_timeout = 5 * LV_SECOND,
    .max_pooled_connections = 4};

static void
ask(client_context *client, watcher *self, const char *address, bool is_fresh)
{
    exch_request request = {.address = address,
                            .needs_new_connection = is_fresh,
                            .head = REQUEST,
                            .head_size = strlen(REQUEST)};

    self->exchange = exch_start(client, &request, &ops, self);
    cr_assert_not_null(self->exchange);
    uv_run(self->loop, UV_RUN_DEFAULT);
}

static void
finish(client_context *client, uv_loop_t *loop)
{
    bool is_idle = client->open_exchange_count == 0;

    client_finish(client);
    uv_run(loop, UV_RUN_DEFAULT);
    cr_expect(uv_loop_close(loop) == 0 && is_idle);
}

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

typedef struct malformed_case {
    char name[48];
    char answer[160];
} malformed_case;

#define LENGTH "content-length: 2\r\n"
#define WITH_STATUS(line) line "\r\n" LENGTH "\r\nok"
#define WITH_FIELD(line) "HTTP/1.1 200 OK\r\n" line "\r\n" LENGTH "\r\nok"

#define WITH_CHUNKS(lines)                                                    \
    "HTTP/1.1 200 OK\r\n" lines "\r\n2\r\nok\r\n0\r\n\r\n"

ParameterizedTestParameters(exchange, malformed)
{
    static malformed_case cases[] = {
        {"status 000", WITH_STATUS("HTTP/1.1 000 So")},
        {"status 000 in chunks",
         "HTTP/1.1 000 So\r\ntransfer-encoding: chunked\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n"},
        {"status 000 until the end", "HTTP/1.1 000 So\r\n\r\nok"},
        {"status 001", WITH_STATUS("HTTP/1.1 001 So")},
        {"status 099", WITH_STATUS("HTTP/1.1 099 So")},
        {"status 600", WITH_STATUS("HTTP/1.1 600 So")},
        {"status 999", WITH_STATUS("HTTP/1.1 999 So")},
        {"one digit", WITH_STATUS("HTTP/1.1 0 So")},
        {"two digits", WITH_STATUS("HTTP/1.1 20 So")},
        {"four digits", WITH_STATUS("HTTP/1.1 0200 So")},
        {"a blank between the digits", WITH_STATUS("HTTP/1.1 2 00 So")},
        {"a sign", WITH_STATUS("HTTP/1.1 -200 So")},
        {"no blank behind", WITH_STATUS("HTTP/1.1 200OK")},
        {"no status", WITH_STATUS("HTTP/1.1 OK")},
        {"a tab before the status", WITH_STATUS("HTTP/1.1\t200 OK")},
        {"a control byte in the phrase", WITH_STATUS("HTTP/1.1 200 O\001K")},
        {"DEL in the phrase", WITH_STATUS("HTTP/1.1 200 O\177K")},
        {"CR in the phrase", WITH_STATUS("HTTP/1.1 200 OK\rX: a")},
        {"another protocol", WITH_STATUS("ICY 200 OK")},
        {"HTTP/2.0", WITH_STATUS("HTTP/2.0 200 OK")},
        {"a blank in a name", WITH_FIELD("x y: a")},
        {"a blank in the name of the length",
         "HTTP/1.1 200 OK\r\ncontent length: 2\r\n\r\nok"},
        {"a blank before the colon", WITH_FIELD("x : a")},
        {"a blank before the colon of the length",
         "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok"},
        {"a tab in a name", WITH_FIELD("x\ty: a")},
        {"a control byte in a name", WITH_FIELD("x\001y: a")},
        {"CR in a name", WITH_FIELD("x\ry: a")},
        {"DEL in a name", WITH_FIELD("x\177: a")},
        {"obs-text in a name", WITH_FIELD("x\xff: a")},
        {"a delimiter in a name", WITH_FIELD("x(y): a")},
        {"no name", WITH_FIELD(": a")},
        {"no colon", WITH_FIELD("x")},
        {"a control byte in a value", WITH_FIELD("x: a\001b")},
        {"CR in a value", WITH_FIELD("x: a\rb")},
        {"a folded line", WITH_FIELD("x: a\r\n b")},
        {"CR without LF at the end", "HTTP/1.1 200 OK\r\n" LENGTH "\r?ok"},
        {"two lengths", WITH_FIELD("content-length: 3")},
        {"two lengths in a line", "HTTP/1.1 200 OK\r\ncontent-length: 2, 3\r\n"
                                  "\r\nok"},
        {"a length with a sign",
         "HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok"},
        {"no length", "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nok"},
        {"a length and chunks",
         WITH_CHUNKS(LENGTH "transfer-encoding: chunked\r\n")},
        {"a length of nothing and chunks",
         WITH_CHUNKS("content-length: 0\r\ntransfer-encoding: chunked\r\n")},
        {"chunks and a length",
         WITH_CHUNKS("transfer-encoding: chunked\r\n" LENGTH)},
        {"chunks twice", WITH_CHUNKS("transfer-encoding: chunked\r\n"
                                     "transfer-encoding: chunked\r\n")},
        {"chunks twice in a line",
         WITH_CHUNKS("transfer-encoding: chunked, chunked\r\n")},
        {"a coding", WITH_FIELD("transfer-encoding: gzip")},
        {"a coding and chunks",
         WITH_CHUNKS("transfer-encoding: gzip, chunked\r\n")},
        {"a coding and chunks in two lines",
         WITH_CHUNKS("transfer-encoding: gzip\r\n"
                     "transfer-encoding: chunked\r\n")},
        {"chunks with a parameter",
         WITH_CHUNKS("transfer-encoding: chunked;a=b\r\n")},
    };

    return cr_make_param_array(malformed_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* A head that RFC 9112 calls invalid is no response, and is counted. */
ParameterizedTest(malformed_case *parameter, exchange, malformed,
                  .timeout = HANG_S)
{
    uv_loop_t loop;
    client_context client;
    watcher self = {.loop = &loop};
    script_server server = {.answer = parameter->answer};

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &settings, NULL));
    script_start(&server);
    ask(&client, &self, server.address, false);
    cr_expect_eq((int)self.end, EXCH_PROTOCOL_ERROR, "%s: end %d",
                 parameter->name, (int)self.end);
    cr_expect_eq(self.head.status, 0, "%s: status %d", parameter->name,
                 self.head.status);
    cr_expect_eq(self.size, 0, "%s: size %zu", parameter->name, self.size);
    cr_expect_eq(client.malformed_answers, 1, "%s", parameter->name);
    script_stop(&server);
    finish(&client, &loop);
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
ParameterizedTest(end_case *parameter, exchange, ends, .timeout = HANG_S)
{
    uv_loop_t loop;
    client_context client;
    client_settings patient = settings;
    watcher self = {.loop = &loop, .is_refused = parameter->is_refused};
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
    ask(&client, &self, server.address, false);
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
    finish(&client, &loop);
}

Test(exchange, refused_connection_writes_nothing)
{
    uv_loop_t loop;
    client_context client;
    watcher self = {.loop = &loop};
    script_server server = {.answer = ""};

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &settings, NULL));
    script_start(&server);
    script_stop(&server); /* its port is free now */
    ask(&client, &self, server.address, true);
    cr_expect_eq((int)self.end, EXCH_CONNECT_FAILED);
    cr_expect_eq(self.ready, 0);
    finish(&client, &loop);
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
    cr_assert(client_init(&client, &loop, &settings, NULL));
    script_start(&server);
    for (i = 0; i < 2; i++) {
        watcher self = {.loop = &loop};

        ask(&client, &self, server.address, steps[i].is_fresh);
        cr_expect_eq((int)self.end, EXCH_COMPLETE);
        cr_expect_eq(atomic_load(&server.connections), steps[i].connections);
    }
    script_stop(&server);
    server = (script_server){.answer = answer, .keeps_open = 0};
    script_start(&server);
    for (i = 2; i < 4; i++) {
        watcher self = {.loop = &loop};

        ask(&client, &self, server.address, steps[i].is_fresh);
        cr_expect_eq((int)self.end, EXCH_COMPLETE);
        cr_expect_eq(atomic_load(&server.connections),
                     steps[i].connections - 1);
    }
    script_stop(&server);
    finish(&client, &loop);
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
    watcher self = {.loop = &loop, .is_paused = true};
    script_server server = {
        .answer = "HTTP/1.1 200 OK\r\ncontent-length: 33554432\r\n\r\n",
        .repeat = FILLING_SIZE,
        .keeps_open = 1};
    size_t paused_at;

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &settings, NULL));
    script_start(&server);
    uv_timer_init(&loop, &timer);
    uv_timer_start(&timer, on_paused, UINT64_C(2) * PAUSED_MS, 0);
    ask(&client, &self, server.address, false);
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
    finish(&client, &loop);
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
