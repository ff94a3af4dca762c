/*
 * Responses that RFC 9112 calls invalid, at the client that all programs use.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

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
