/*
 * Responses of endpoints that RFC 9112 calls valid are passed on to the byte;
 * others reach no caller.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "script-endpoint.h"

#define FIELDS                                                                \
    "Lavenderproxy-Attempt-Id: $\r\nLavenderproxy-Runner-Seal: seal-1\r\n"
#define PASSED_FIELDS                                                         \
    "Connection: close\r\nLavenderproxy-Attempt-Id: id-1\r\n"                 \
    "Lavenderproxy-Runner-Seal: seal-1\r\n"
#define HEAD "HTTP/1.1 200 OK\r\n" FIELDS
#define LENGTH "Content-Length: 2\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define BODY "\r\nok"

static stage_fixture stage;
static script_endpoint scripts[2];

/* Sends a request that closes its connection, and waits until it is closed.
 * The response is terminated. */
static void
ask(const char *method, const char *path, const char *response,
    stage_client *client)
{
    static char request[512];
    static script_step steps[SCRIPT_STEPS];

    steps[0] = (script_step){0, response, 0, SCRIPT_GO_ON};
    steps[1] = (script_step){20, "", 0, SCRIPT_CLOSE};
    script_start_pair(&stage, scripts, steps, NULL);
    snprintf(request, sizeof request,
             "%s %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
             "Connection: close\r\nLavenderproxy-Attempt-Id: id-1\r\n"
             "Content-Length: 0\r\n\r\n",
             method, path);
    stage_send(&stage, client, request, strlen(request));
    cr_expect(stage_run_until(&stage, stage_is_closed, client, 4000),
              "no end: %s", response);
    buf_append(&client->response, "", 1);
}

static void
finish(stage_client *client)
{
    stage_finish_client(&stage, client);
    script_stop_pair(&stage, scripts);
}

typedef struct valid_case {
    const char *what;
    const char *response;
    const char *passed_on;
} valid_case;

#define PASSED(status, fields)                                                \
    "HTTP/1.1 " status "\r\n" PASSED_FIELDS fields "Content-Length: 2\r\n"    \
    "\r\nok"
#define PASSED_EMPTY(status)                                                  \
    "HTTP/1.1 " status "\r\n" PASSED_FIELDS "Content-Length: 0\r\n\r\n"

static const valid_case valid_cases[] = {
    {"200", "HTTP/1.1 200 OK\r\n" FIELDS LENGTH BODY, PASSED("200 OK", "")},
    {"201", "HTTP/1.1 201 Created\r\n" FIELDS LENGTH BODY,
     PASSED("201 Created", "")},
    {"299, not registered", "HTTP/1.1 299 So\r\n" FIELDS LENGTH BODY,
     PASSED("299 <unknown>", "")},
    {"300", "HTTP/1.1 300 So\r\n" FIELDS LENGTH BODY,
     PASSED("300 Multiple Choices", "")},
    {"404", "HTTP/1.1 404 So\r\n" FIELDS LENGTH BODY,
     PASSED("404 Not Found", "")},
    {"499, not registered", "HTTP/1.1 499 So\r\n" FIELDS LENGTH BODY,
     PASSED("499 <unknown>", "")},
    {"500", "HTTP/1.1 500 So\r\n" FIELDS LENGTH BODY,
     PASSED("500 Internal Server Error", "")},
    {"599, not registered", "HTTP/1.1 599 So\r\n" FIELDS LENGTH BODY,
     PASSED("599 <unknown>", "")},
    {"204", "HTTP/1.1 204 No Content\r\n" FIELDS "\r\n",
     PASSED_EMPTY("204 No Content")},
    {"205", "HTTP/1.1 205 So\r\n" FIELDS "Content-Length: 0\r\n\r\n",
     PASSED_EMPTY("205 Reset Content")},
    {"204 with a length, which has no body",
     "HTTP/1.1 204 No Content\r\n" FIELDS LENGTH "\r\n",
     PASSED_EMPTY("204 No Content")},
    {"204 with chunks, which has no body",
     "HTTP/1.1 204 No Content\r\n" FIELDS CHUNKED "\r\n",
     PASSED_EMPTY("204 No Content")},
    {"204 with a body, which is none",
     "HTTP/1.1 204 No Content\r\n" FIELDS LENGTH BODY,
     PASSED_EMPTY("204 No Content")},
    {"304", "HTTP/1.1 304 So\r\n" FIELDS "\r\n",
     PASSED_EMPTY("304 Not Modified")},
    {"304 with the length of the 200",
     "HTTP/1.1 304 So\r\n" FIELDS LENGTH "\r\n",
     PASSED_EMPTY("304 Not Modified")},
    {"304 with the coding of the 200",
     "HTTP/1.1 304 So\r\n" FIELDS CHUNKED "\r\n",
     PASSED_EMPTY("304 Not Modified")},
    {"no reason phrase", "HTTP/1.1 200 \r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"no blank after the status", "HTTP/1.1 200\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"two blanks before the status", "HTTP/1.1  200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"tab and obs-text in the phrase",
     "HTTP/1.1 200 a\tb \xc3\xa9\xff\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"an empty line before", "\r\nHTTP/1.1 200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"lines that end with LF",
     "HTTP/1.1 200 OK\nLavenderproxy-Attempt-Id: $\n"
     "Lavenderproxy-Runner-Seal: seal-1\nContent-Length: 2\n\nok",
     PASSED("200 OK", "")},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"HTTP/1.2", "HTTP/1.2 200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"all characters of a token",
     "HTTP/1.1 200 OK\r\n" FIELDS "x-!#%&'*+.^_`|~9Z: a\r\n" LENGTH BODY,
     PASSED("200 OK", "x-!#%&'*+.^_`|~9Z: a\r\n")},
    {"values: empty, with a tab, obs-text and colons",
     "HTTP/1.1 200 OK\r\n" FIELDS
     "X-A:\r\nX-B: a\tb\r\nX-C: \xc3\xa9\xff\r\nX-D:a:b\r\n" LENGTH BODY,
     PASSED("200 OK",
            "X-A: \r\nX-B: a\tb\r\nX-C: \xc3\xa9\xff\r\nX-D: a:b\r\n")},
    {"interim responses",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
     "HTTP/1.1 200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"an interim response with a length, which has no body",
     "HTTP/1.1 103 Early Hints\r\nContent-Length: 17\r\n\r\n"
     "HTTP/1.1 200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"an interim response with chunks, which has no body",
     "HTTP/1.1 103 Early Hints\r\n" CHUNKED "\r\n"
     "HTTP/1.1 200 OK\r\n" FIELDS LENGTH BODY,
     PASSED("200 OK", "")},
    {"zeros before the length",
     "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 0002 \r\n" BODY,
     PASSED("200 OK", "")},
    {"chunks",
     "HTTP/1.1 200 OK\r\n" FIELDS CHUNKED "\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
     PASSED("200 OK", "")},
    {"chunks in capitals, blanks around",
     "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding:  Chunked \r\n"
     "\r\n2\r\nok\r\n0\r\n\r\n",
     PASSED("200 OK", "")},
    {"extensions, zeros, blanks and trailers of chunks",
     "HTTP/1.1 200 OK\r\n" FIELDS CHUNKED
     "\r\n01;a=b;c=\"d;\t\xff\"\r\no\r\n1 \r\nk\r\n000;e\r\n"
     "X-Sum: 1\r\nX-End:\r\n\r\n",
     PASSED("200 OK", "")},
    {"a body that looks like chunks",
     "HTTP/1.1 200 OK\r\n" FIELDS CHUNKED
     "\r\nA\r\n2\r\nok\r\n0\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 200 OK\r\n" PASSED_FIELDS
     "Content-Length: 10\r\n\r\n2\r\nok\r\n0\r\n"},
    {"no transfer coding",
     "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding:\r\n" BODY,
     PASSED("200 OK", "")},
    {"identity, of RFC 2616",
     "HTTP/1.1 200 OK\r\n" FIELDS "Transfer-Encoding: identity\r\n" BODY,
     PASSED("200 OK", "")},
    {"a body that ends with its connection", "HTTP/1.1 200 OK\r\n" FIELDS BODY,
     PASSED("200 OK", "")},
};

/* Guards against checks that refuse valid responses or change them. */
Test(response_syntax, valid_responses_are_passed_on_to_the_byte)
{
    for (size_t i = 0; i < sizeof valid_cases / sizeof valid_cases[0]; i++) {
        const valid_case *one = &valid_cases[i];
        stage_client client;

        ask("POST", "/once/1", one->response, &client);
        cr_expect_str_eq(client.response.data, one->passed_on, "%s: %s",
                         one->what, client.response.data);
        cr_expect_eq(scripts[0].pair_requests, 1, "%s", one->what);
        finish(&client);
    }
}

typedef struct invalid_case {
    const char *what;
    const char *response;
} invalid_case;

typedef struct route {
    const char *path;
    uint32_t attempts; /* that are made if they fail */
    bool is_stream;
} route;

static const route routes[] = {{"/once/1", 1, false},
                               {"/many/1", 2, false},
                               {"/stream/1", 1, true},
                               {"/resume/1", 2, true}};

#define ROUTES (sizeof routes / sizeof routes[0])

static bool
contains(const stage_client *client, const char *text)
{
    return strstr(client->response.data, text) != NULL;
}

/* The caller gets nothing of the response, and the request counts as possibly
 * executed. */
static void
expect_refused(const route *to, const invalid_case *one)
{
    stage_client client;

    ask("POST", to->path, one->response, &client);
    cr_expect(contains(&client, "HTTP/1.1 502 "), "%s, %s: %.20s", one->what,
              to->path, client.response.data);
    cr_expect_not(contains(&client, "seal-1") || contains(&client, "ok"),
                  "%s, %s: passed on", one->what, to->path);
    cr_expect_eq(scripts[0].pair_requests, to->attempts, "%s, %s: %u attempts",
                 one->what, to->path, scripts[0].pair_requests);
    finish(&client);
}

static void
expect_all_refused(const invalid_case *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        for (size_t k = 0; k < ROUTES; k++) {
            expect_refused(&routes[k], &cases[i]);
        }
    }
}

#define STATUS(line) line "\r\n" FIELDS LENGTH BODY

/* Guards against refusals whose cause and endpoint nobody can find. */
Test(response_syntax, invalid_response_is_logged_and_counted)
{
    static const struct {
        const char *response;
        const char *fault;
    } cases[] = {
        {STATUS("HTTP/1.1 000 So"), "fault=bad-status\n"},
        {STATUS("HTTP/1.1 0200 So"), "fault=bad-status-line\n"},
        {HEAD "X Y: a\r\n" LENGTH BODY, "fault=bad-header\n"},
        {HEAD "Transfer-Encoding: gzip\r\n" BODY, "fault=bad-framing\n"},
        {HEAD CHUNKED "\r\n2\r\nokXY0\r\n\r\n", "fault=bad-chunk\n"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        static char text[65536];
        log_settings settings = {.level = LOG_LEVEL_INFO,
                                 .file = "/tmp/response-syntax-XXXXXX"};
        int file = mkstemp(settings.file);
        stage_client client;
        stage_response metrics;
        const char *line;
        ssize_t size;

        cr_assert(file >= 0 && log_open(&settings, NULL));
        ask("POST", "/once/1", cases[i].response, &client);
        stage_get(&stage, "/metrics", &metrics);
        cr_expect_not_null(
            strstr(metrics.body, "\nlavender_malformed_answers_total 1\n"));
        finish(&client);
        log_close();
        size = read(file, text, sizeof text - 1);
        text[size > 0 ? size : 0] = '\0';
        line = strstr(text, "event=attempt-cut");
        cr_assert_not_null(line, "%s: %s", cases[i].fault, text);
        cr_expect_not_null(strstr(line, cases[i].fault), "%s", line);
        cr_expect_not_null(strstr(line, "endpoint=e"), "%s", line);
        close(file);
        unlink(settings.file);
    }
}

/* Guards against responses whose status is none, which callers would get as
 * that of an answer. */
Test(response_syntax, status_that_is_not_valid_is_refused)
{
    static const invalid_case cases[] = {
        {"000", STATUS("HTTP/1.1 000 So")},
        {"000, said not to be executed",
         "HTTP/1.1 000 So\r\nLavenderproxy-Not-Executed: 1\r\n" FIELDS LENGTH
             BODY},
        {"000 and chunks",
         "HTTP/1.1 000 So\r\n" FIELDS CHUNKED "\r\n2\r\nok\r\n0\r\n\r\n"},
        {"000 until the connection ends", "HTTP/1.1 000 So\r\n" FIELDS BODY},
        {"000 of HTTP/1.0", STATUS("HTTP/1.0 000 So")},
        {"001", STATUS("HTTP/1.1 001 So")},
        {"099", STATUS("HTTP/1.1 099 So")},
        {"600", STATUS("HTTP/1.1 600 So")},
        {"999", STATUS("HTTP/1.1 999 So")},
        {"one digit", STATUS("HTTP/1.1 0 So")},
        {"two digits", STATUS("HTTP/1.1 20 So")},
        {"four digits", STATUS("HTTP/1.1 0200 So")},
        {"a blank between the digits", STATUS("HTTP/1.1 2 00 So")},
        {"a sign", STATUS("HTTP/1.1 -200 So")},
        {"no blank behind", STATUS("HTTP/1.1 200OK")},
        {"a tab behind", STATUS("HTTP/1.1 200\tOK")},
        {"none", STATUS("HTTP/1.1 ")},
        {"none but a phrase", STATUS("HTTP/1.1 OK")},
        {"an interim response before",
         "HTTP/1.1 100 Continue\r\n\r\n" STATUS("HTTP/1.1 000 So")},
    };

    expect_all_refused(cases, sizeof cases / sizeof cases[0]);
}

/* Guards against refusals where another endpoint has the answer. */
Test(response_syntax, another_endpoint_is_tried_where_the_route_allows)
{
    static const script_step invalid[SCRIPT_STEPS] = {
        {0, STATUS("HTTP/1.1 000 So"), 0, SCRIPT_CLOSE}};
    static const script_step valid[SCRIPT_STEPS] = {
        {0, HEAD LENGTH BODY, 0, SCRIPT_GO_ON}};

    for (size_t i = 0; i < ROUTES; i++) {
        stage_response answer;

        script_start_pair(&stage, scripts, invalid, valid);
        stage_exchange(&stage, routes[i].path, "", &answer);
        cr_expect_eq(answer.status, routes[i].attempts > 1 ? 200 : 502,
                     "%s: %u", routes[i].path, answer.status);
        script_stop_pair(&stage, scripts);
    }
}

/* Guards against status lines that another program reads in another way. */
Test(response_syntax, status_line_that_is_not_valid_is_refused)
{
    static const invalid_case cases[] = {
        {"a control byte in the phrase", STATUS("HTTP/1.1 200 O\001K")},
        {"DEL in the phrase", STATUS("HTTP/1.1 200 O\177K")},
        {"CR in the phrase", STATUS("HTTP/1.1 200 OK\rXY: a")},
        {"CR behind the status", STATUS("HTTP/1.1 200\rXY: a")},
        {"a tab before the status", STATUS("HTTP/1.1\t200 OK")},
        {"another protocol", STATUS("ICY 200 OK")},
        {"a protocol in small letters", STATUS("http/1.1 200 OK")},
        {"no minor version", STATUS("HTTP/1 200 OK")},
        {"two digits of a version", STATUS("HTTP/1.10 200 OK")},
        {"HTTP/0.9", STATUS("HTTP/0.9 200 OK")},
        {"HTTP/2.0", STATUS("HTTP/2.0 200 OK")},
    };

    expect_all_refused(cases, sizeof cases / sizeof cases[0]);
}

#define FIELD(line) HEAD line "\r\n" LENGTH BODY

/* Guards against header lines that another program reads in another way. */
Test(response_syntax, header_that_is_not_valid_is_refused)
{
    static const invalid_case cases[] = {
        {"a blank in a name", FIELD("X Y: a")},
        {"a blank in the name of the length",
         HEAD "Content Length: 2\r\n" BODY},
        {"a blank before the colon", FIELD("X : a")},
        {"a blank before the colon of the length",
         HEAD "Content-Length : 2\r\n" BODY},
        {"a tab in a name", FIELD("X\tY: a")},
        {"a tab before the colon", FIELD("X\t: a")},
        {"a control byte in a name", FIELD("X\001Y: a")},
        {"CR in a name", FIELD("X\rY: a")},
        {"DEL in a name", FIELD("X\177: a")},
        {"obs-text in a name", FIELD("X\xff: a")},
        {"a delimiter in a name", FIELD("X(Y): a")},
        {"no name", FIELD(": a")},
        {"no colon", FIELD("X")},
        {"a control byte in a value", FIELD("X: a\001b")},
        {"CR in a value", FIELD("X: a\rb")},
        {"a folded line", FIELD("X: a\r\n b")},
        {"a blank before the first name",
         "HTTP/1.1 200 OK\r\n X: a\r\n" FIELDS LENGTH BODY},
        {"CR without LF at the end of the head", HEAD LENGTH "\r?ok"},
    };

    expect_all_refused(cases, sizeof cases / sizeof cases[0]);
}

#define CODED(line) HEAD line "\r\n\r\n2\r\nok\r\n0\r\n\r\n"

/* Guards against bodies whose end or coding another program reads in another
 * way. */
Test(response_syntax, framing_that_is_not_valid_is_refused)
{
    static const invalid_case cases[] = {
        {"two lengths", HEAD LENGTH "Content-Length: 3\r\n" BODY},
        {"two lengths in a line", HEAD "Content-Length: 2, 3\r\n" BODY},
        {"a length with a sign", HEAD "Content-Length: +2\r\n" BODY},
        {"a negative length", HEAD "Content-Length: -2\r\n" BODY},
        {"a length that is no number", HEAD "Content-Length: 2x\r\n" BODY},
        {"a length with a blank", HEAD "Content-Length: 0 2\r\n" BODY},
        {"no length", HEAD "Content-Length:\r\n" BODY},
        {"a length over 64 bits",
         HEAD "Content-Length: 18446744073709551618\r\n" BODY},
        {"a length and chunks", CODED(LENGTH "Transfer-Encoding: chunked")},
        {"chunks and a length",
         CODED("Transfer-Encoding: chunked\r\nContent-Length: 2")},
        {"a coding", HEAD "Transfer-Encoding: gzip\r\n" BODY},
        {"a coding and a length",
         HEAD "Transfer-Encoding: gzip\r\n" LENGTH BODY},
        {"a coding and chunks", CODED("Transfer-Encoding: gzip, chunked")},
        {"a coding and chunks in two lines",
         CODED("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked")},
        {"chunks and a coding", CODED("Transfer-Encoding: chunked, gzip")},
        {"chunks twice", CODED("Transfer-Encoding: chunked, chunked")},
        {"chunks twice in two lines",
         CODED("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")},
        {"chunks with a parameter", CODED("Transfer-Encoding: chunked;a=b")},
        {"chunks in quotes", CODED("Transfer-Encoding: \"chunked\"")},
        {"another coding", CODED("Transfer-Encoding: chunkedx")},
        {"a coding with chunked in its name",
         CODED("Transfer-Encoding: xchunked")},
    };

    expect_all_refused(cases, sizeof cases / sizeof cases[0]);
}

#define CHUNKS(body) HEAD CHUNKED "\r\n" body

/* A stream may have passed on what came before the fault. */
static void
expect_not_whole(const route *to, const invalid_case *one)
{
    stage_client client;

    ask("POST", to->path, one->response, &client);
    if (contains(&client, "HTTP/1.1 200 OK\r\n")) {
        cr_expect(to->is_stream && contains(&client, CHUNKED) &&
                      !contains(&client, "\r\n0\r\n\r\n"),
                  "%s, %s: whole", one->what, to->path);
    }
    else {
        cr_expect(contains(&client, "HTTP/1.1 502 "), "%s, %s: %.20s",
                  one->what, to->path, client.response.data);
    }
    finish(&client);
}

/* Guards against chunks that another program takes for other ones. */
Test(response_syntax, chunks_that_are_not_valid_are_refused)
{
    static const invalid_case cases[] = {
        {"no line end behind the data", CHUNKS("2\r\nokXY0\r\n\r\n")},
        {"CR without LF behind the data", CHUNKS("2\r\nok\rX0\r\n\r\n")},
        {"LF without CR behind the data", CHUNKS("2\r\nok\n0\r\n\r\n")},
        {"CR without LF behind a size", CHUNKS("2\rXok\r\n0\r\n\r\n")},
        {"LF without CR behind a size", CHUNKS("2\nok\r\n0\r\n\r\n")},
        {"CR without LF behind the last size", CHUNKS("2\r\nok\r\n0\rX\r\n")},
        {"CR without LF at the end", CHUNKS("2\r\nok\r\n0\r\n\rX")},
        {"CR without LF in a trailer",
         CHUNKS("2\r\nok\r\n0\r\nX: a\rb\r\n\r\n")},
        {"CR without LF in an extension", CHUNKS("2;a\rXok\r\n0\r\n\r\n")},
        {"LF without CR in an extension", CHUNKS("2;a\nb\r\nok\r\n0\r\n\r\n")},
        {"a control byte in an extension",
         CHUNKS("2;a\001\r\nok\r\n0\r\n\r\n")},
        {"text behind a size", CHUNKS("2 x\r\nok\r\n0\r\n\r\n")},
        {"a size with a prefix", CHUNKS("0x2\r\nok\r\n0\r\n\r\n")},
        {"a size with a sign", CHUNKS("+2\r\nok\r\n0\r\n\r\n")},
        {"a size that is no number", CHUNKS("g\r\nok\r\n0\r\n\r\n")},
        {"a blank before a size", CHUNKS(" 2\r\nok\r\n0\r\n\r\n")},
        {"no size", CHUNKS("\r\nok\r\n0\r\n\r\n")},
        {"an extension without a size", CHUNKS(";a\r\nok\r\n0\r\n\r\n")},
        {"a size over 64 bits",
         CHUNKS("10000000000000002\r\nok\r\n0\r\n\r\n")},
        {"no last chunk", CHUNKS("2\r\nok\r\n")},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        for (size_t k = 0; k < ROUTES; k++) {
            expect_not_whole(&routes[k], &cases[i]);
        }
    }
}
