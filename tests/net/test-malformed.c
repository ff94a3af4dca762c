/*
 * Responses that RFC 9112 calls invalid, at the client that all programs use.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lavender-net/log.h"
#include "script-server.h"
#include "watcher.h"

typedef struct malformed_case {
    char name[48];
    char answer[160];
} malformed_case;

#define LENGTH "content-length: 2\r\n"
#define WITH_STATUS(line) line "\r\n" LENGTH "\r\nok"
#define WITH_FIELD(line) "HTTP/1.1 200 OK\r\n" line "\r\n" LENGTH "\r\nok"

#define WITH_CHUNKS(lines)                                                    \
    "HTTP/1.1 200 OK\r\n" lines "\r\n2\r\nok\r\n0\r\n\r\n"

ParameterizedTestParameters(malformed, heads)
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
ParameterizedTest(malformed_case *parameter, malformed, heads,
                  .timeout = WATCH_HANG_S)
{
    uv_loop_t loop;
    client_context client;
    watch_watcher self = {.loop = &loop};
    script_server server = {.answer = parameter->answer};

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    watch_ask(&client, &self, server.address, false);
    cr_expect_eq((int)self.end, EXCH_PROTOCOL_ERROR, "%s: end %d",
                 parameter->name, (int)self.end);
    cr_expect_eq(self.head.status, 0, "%s: status %d", parameter->name,
                 self.head.status);
    cr_expect_eq(self.size, 0, "%s: size %zu", parameter->name, self.size);
    cr_expect_eq(client.malformed_answers, 1, "%s", parameter->name);
    script_stop(&server);
    watch_finish(&client, &loop);
}

/* A line names the server and what is wrong with its response. */
Test(malformed, log)
{
    static char text[4096];
    char line[128];
    log_settings log = {.level = LOG_LEVEL_INFO,
                        .file = "/tmp/malformed-XXXXXX"};
    int file = mkstemp(log.file);
    uv_loop_t loop;
    client_context client;
    watch_watcher self = {.loop = &loop};
    script_server server = {.answer = WITH_STATUS("HTTP/1.1 000 So")};

    uv_loop_init(&loop);
    cr_assert(file >= 0 && log_open(&log, NULL));
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    watch_ask(&client, &self, server.address, false);
    log_close();
    cr_assert_geq(read(file, text, sizeof text - 1), 0);
    snprintf(line, sizeof line,
             "event=malformed-answer address=%s fault=bad-status\n",
             server.address);
    cr_expect_not_null(strstr(text, line), "%s", text);
    close(file);
    unlink(log.file);
    script_stop(&server);
    watch_finish(&client, &loop);
}

#define IN_CHUNKS(body)                                                       \
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" body

ParameterizedTestParameters(malformed, chunks)
{
    static malformed_case cases[] = {
        {"no line end behind the data", IN_CHUNKS("2\r\nokXY0\r\n\r\n")},
        {"CR without LF behind the data", IN_CHUNKS("2\r\nok\rX0\r\n\r\n")},
        {"two CR behind the data", IN_CHUNKS("2\r\nok\r\r\n0\r\n\r\n")},
        {"LF without CR behind the data", IN_CHUNKS("2\r\nok\n0\r\n\r\n")},
        {"CR without LF behind a size", IN_CHUNKS("2\rXok\r\n0\r\n\r\n")},
        {"LF without CR behind a size", IN_CHUNKS("2\nok\r\n0\r\n\r\n")},
        {"CR without LF behind the last size",
         IN_CHUNKS("2\r\nok\r\n0\rX\r\n")},
        {"CR without LF at the end", IN_CHUNKS("2\r\nok\r\n0\r\n\rX")},
        {"CR without LF in an extension", IN_CHUNKS("2;a\rXok\r\n0\r\n\r\n")},
        {"LF without CR in an extension",
         IN_CHUNKS("2;a\nb\r\nok\r\n0\r\n\r\n")},
        {"text behind a size", IN_CHUNKS("2 x\r\nok\r\n0\r\n\r\n")},
        {"text at a size", IN_CHUNKS("2x\r\nok\r\n0\r\n\r\n")},
        {"a size with a prefix", IN_CHUNKS("0x2\r\nok\r\n0\r\n\r\n")},
        {"a size with a sign", IN_CHUNKS("+2\r\nok\r\n0\r\n\r\n")},
        {"a size that is no number", IN_CHUNKS("g\r\nok\r\n0\r\n\r\n")},
        {"a blank before a size", IN_CHUNKS(" 2\r\nok\r\n0\r\n\r\n")},
        {"no size", IN_CHUNKS("\r\nok\r\n0\r\n\r\n")},
        {"an extension without a size", IN_CHUNKS(";a\r\nok\r\n0\r\n\r\n")},
        {"a size over 64 bits",
         IN_CHUNKS("10000000000000002\r\nok\r\n0\r\n\r\n")},
        {"no last chunk", IN_CHUNKS("2\r\nok\r\n")},
    };

    return cr_make_param_array(malformed_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* Chunks that RFC 9112 calls invalid do not come to an end. */
ParameterizedTest(malformed_case *parameter, malformed, chunks,
                  .timeout = WATCH_HANG_S)
{
    uv_loop_t loop;
    client_context client;
    watch_watcher self = {.loop = &loop};
    script_server server = {.answer = parameter->answer};

    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    watch_ask(&client, &self, server.address, false);
    cr_expect_eq((int)self.end, EXCH_CONNECTION_LOST, "%s: end %d",
                 parameter->name, (int)self.end);
    cr_expect_leq(self.size, 2, "%s: size %zu", parameter->name, self.size);
    script_stop(&server);
    watch_finish(&client, &loop);
}

#define CHUNK "5\r\nhello\r\n"
#define CHUNK_COUNT 100000
#define PAUSED_MS 50

static void
on_paused(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

/* Runs an exchange of many reads; a paused one stops at its first. */
static void
read_chunks(watch_watcher *self, const char *end)
{
    uv_loop_t loop;
    client_context client;
    uv_timer_t timer;
    script_server server = {.answer = IN_CHUNKS(CHUNK),
                            .filling = CHUNK,
                            .repeat = CHUNK_COUNT * strlen(CHUNK),
                            .tail = end};

    self->loop = &loop;
    uv_loop_init(&loop);
    cr_assert(client_init(&client, &loop, &watch_settings, NULL));
    script_start(&server);
    uv_timer_init(&loop, &timer);
    if (self->is_paused) {
        uv_timer_start(&timer, on_paused, PAUSED_MS, 0);
    }
    watch_ask(&client, self, server.address, false);
    if (self->is_paused) {
        cr_assert(!self->is_ended);
        self->is_paused = false;
        exch_set_paused(self->exchange, false);
        uv_run(&loop, UV_RUN_DEFAULT);
    }
    uv_close((uv_handle_t *)&timer, NULL);
    script_stop(&server);
    watch_finish(&client, &loop);
}

/* The reads of a body, and pauses between them, do not matter. */
Test(malformed, many_chunks)
{
    static const struct {
        const char *end;
        exch_result result;
        size_t size;
    } cases[] = {
        {"0\r\n\r\n", EXCH_COMPLETE, 500005},
        {"2\r\nok\r\r\n0\r\n\r\n", EXCH_CONNECTION_LOST, 500007},
        {"0x2\r\nok\r\n0\r\n\r\n", EXCH_CONNECTION_LOST, 500005},
    };

    for (size_t i = 0; i < 2 * sizeof cases / sizeof cases[0]; i++) {
        watch_watcher self = {.is_paused = i % 2 == 1};

        read_chunks(&self, cases[i / 2].end);
        cr_expect_eq((int)self.end, (int)cases[i / 2].result, "%zu: end %d", i,
                     (int)self.end);
        cr_expect_eq(self.size, cases[i / 2].size, "%zu: size %zu", i,
                     self.size);
    }
}
