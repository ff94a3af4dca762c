/*
 * The reader of responses: the pieces in which a response arrives do not
 * matter.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender-gateway/http.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

typedef struct recorder {
    http_reader reader; /* first member */
    buf_buffer body;
    uint32_t status; /* 0: no head */
} recorder;

static bool
on_head(http_reader *reader, const http_head *head)
{
    ((recorder *)reader)->status = head->status;
    return true;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    buf_append(&((recorder *)reader)->body, data, size);
    return true;
}

static bool
on_end(http_reader *reader)
{
    (void)reader;
    return true;
}

static const http_reader_ops ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};

typedef struct reader_case {
    const char *response;
    http_result result;
    uint32_t status;
    const char *body;
    const char *fault;
} reader_case;

static const reader_case cases[] = {
    {OK "Content-Length: 2\r\n\r\nok", HTTP_COMPLETE, 200, "ok", "none"},
    {"\r\n" OK "Content-Length: 2\r\n\r\nok", HTTP_COMPLETE, 200, "ok",
     "none"},
    {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", HTTP_COMPLETE, 200, "ok",
     "none"},
    {OK "\r\nok", HTTP_INCOMPLETE, 200, "ok", "none"},
    {"HTTP/1.1 204 So\r\nContent-Length: 2\r\n\r\n", HTTP_COMPLETE, 204, "",
     "none"},
    {CHUNKED "1\r\no\r\n01;a=\"\t\xff\"\r\nk\r\n0\r\n\r\n", HTTP_COMPLETE, 200,
     "ok", "none"},
    {CHUNKED "2 \t\r\nok\r\n000 ;a\r\nX: a\r\nY:\n\n", HTTP_COMPLETE, 200,
     "ok", "none"},
    {CHUNKED "A\r\n0123456789\r\nfF\r\n", HTTP_INCOMPLETE, 200, "0123456789",
     "none"},
    {CHUNKED "0000000000000000000002\r\nok\r\n0\r\n\r\n", HTTP_COMPLETE, 200,
     "ok", "none"},
    {"HTTP/1.1 000 So\r\nContent-Length: 2\r\n\r\nok", HTTP_MALFORMED, 0, "",
     "bad-status"},
    {"HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok", HTTP_MALFORMED, 0, "",
     "bad-header"},
    {OK "X Y: a\r\nContent-Length: 2\r\n\r\nok", HTTP_MALFORMED, 0, "",
     "bad-header"},
    {OK "Content-Length: 2\r\n\r?ok", HTTP_MALFORMED, 0, "", "bad-header"},
    {OK "Transfer-Encoding: gzip\r\n\r\nok", HTTP_MALFORMED, 0, "",
     "bad-framing"},
    {CHUNKED "2\r\nok\r?0\r\n\r\n", HTTP_MALFORMED, 200, "ok", "bad-chunk"},
    {CHUNKED "2\r\nok\r\n0\r?\r\n", HTTP_MALFORMED, 200, "ok", "bad-chunk"},
    {CHUNKED "2\r\nok\r\n0\r\n\r?", HTTP_MALFORMED, 200, "ok", "bad-chunk"},
    {CHUNKED "2\r\nok\r\n2 x\r\nno\r\n0\r\n\r\n", HTTP_MALFORMED, 200, "ok",
     "bad-chunk"},
    {CHUNKED "fffffffffffffffff\r\n", HTTP_MALFORMED, 200, "", "bad-chunk"},
};

/* Feeds a piece unless the response has ended. */
static http_result
feed(recorder *self, http_result result, const char *data, size_t size)
{
    size_t used = 0;

    if (result != HTTP_INCOMPLETE || size == 0) {
        return result;
    }
    result = http_reader_feed(&self->reader, data, size, &used);
    cr_expect_leq(used, size);
    return result;
}

static void
expect(const reader_case *one, recorder *self, http_result result)
{
    buf_append(&self->body, "", 1);
    cr_expect_eq((int)result, (int)one->result, "%s: %d", one->response,
                 (int)result);
    cr_expect_eq(self->status, one->status, "%s: %u", one->response,
                 self->status);
    cr_expect_str_eq(self->body.data, one->body, "%s: %s", one->response,
                     self->body.data);
    cr_expect_str_eq(http_reader_fault(&self->reader), one->fault, "%s: %s",
                     one->response, http_reader_fault(&self->reader));
}

/* Feeds a response with a first piece of a size, then in equal pieces. */
static void
check(const reader_case *one, size_t first, size_t piece)
{
    recorder self = {.status = 0};
    http_result result = HTTP_INCOMPLETE;
    size_t size = strlen(one->response);
    size_t i;

    buf_init(&self.body);
    http_reader_init(&self.reader, &ops, &self, false, 4096);
    result = feed(&self, result, one->response, first);
    for (i = first; i < size; i += piece) {
        result = feed(&self, result, one->response + i,
                      size - i < piece ? size - i : piece);
    }
    expect(one, &self, result);
    http_reader_finish(&self.reader);
    buf_finish(&self.body);
}

/* Guards against checks that miss a fault, or refuse a valid response, where
 * it arrives in pieces. */
Test(reader, pieces_do_not_matter)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        size_t size = strlen(cases[i].response);

        check(&cases[i], 0, 1);
        for (size_t first = 0; first <= size; first++) {
            check(&cases[i], first, size);
        }
    }
}
