#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "stage-imp.h"

#define ANSWER_MS 4000

static void
on_connect(io_stream *stream)
{
    stage_call *call = (stage_call *)stream;

    call->is_open = true;
    io_read_start(stream);
    if (call->size > 0) {
        io_write(stream, call->bytes, call->size);
    }
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    buf_append(&((stage_call *)stream)->answer, data, size);
}

static void
on_stream_end(io_stream *stream, bool is_error)
{
    stage_call *call = (stage_call *)stream;

    call->is_ended = true;
    call->is_reset = is_error;
    call->has_failed = !call->is_open;
    io_close(stream);
}

static void
on_close(io_stream *stream)
{
    ((stage_call *)stream)->is_closed = true;
}

static void
ignore(io_stream *stream)
{
    (void)stream;
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_stream_end,
                                         .on_drain = ignore,
                                         .on_close = on_close};

void
stage_send(stage_stage *stage, stage_call *call, const char *bytes,
           size_t size)
{
    struct sockaddr_in address;

    memset(call, 0, sizeof *call);
    buf_init(&call->answer);
    cr_assert(io_stream_init(&call->stream, &stream_ops, &stage->loop));
    call->bytes = bytes;
    call->size = size;
    cr_assert(io_parse_address(stage->callers, &address, NULL));
    cr_assert(io_connect(&call->stream, &address, 0));
}

static bool
is_closed(stage_stage *stage, void *context)
{
    (void)stage;
    return ((stage_call *)context)->is_closed;
}

void
stage_hang_up(stage_stage *stage, stage_call *call)
{
    io_close(&call->stream);
    stage_run_until(stage, is_closed, call, 1000);
}

typedef struct reading {
    stage_call *call;
    stage_answer *answer;
    size_t used;
    bool is_done;
} reading;

static bool
on_head(http_reader *reader, const http_head *head)
{
    stage_answer *answer = reader->owner;
    size_t used = 0;
    uint32_t i;

    answer->status = head->status;
    for (i = 0; i < head->header_count; i++) {
        used += (size_t)snprintf(
            answer->head + used, sizeof answer->head - used, "%s: %s\n",
            head->headers[i].name, head->headers[i].value);
    }
    return true;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    stage_answer *answer = reader->owner;
    size_t used = strlen(answer->body);

    cr_assert_lt(used + size, sizeof answer->body);
    memcpy(answer->body + used, data, size);
    answer->body[used + size] = '\0';
    return true;
}

static bool
on_end(http_reader *reader)
{
    (void)reader;
    return true;
}

static const http_reader_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};

/* Read what has come so far from the beginning. */
static bool
is_answered(stage_stage *stage, void *context)
{
    reading *self = context;
    stage_answer *answer = self->answer;
    http_reader reader;
    size_t used;
    http_result result;

    (void)stage;
    memset(answer, 0, sizeof *answer);
    http_reader_init(&reader, &reader_ops, answer, false, 65536);
    result = http_reader_feed(&reader, self->call->answer.data,
                              self->call->answer.size, &used);
    if (result == HTTP_INCOMPLETE && self->call->is_ended &&
        !self->call->is_reset) {
        result = http_reader_feed_eof(&reader);
    }
    http_reader_finish(&reader);
    answer->is_whole = result == HTTP_COMPLETE;
    answer->is_reset = self->call->is_reset;
    return answer->is_whole || self->call->is_ended;
}

void
stage_ask(stage_stage *stage, const char *path, const char *headers,
          stage_answer *answer)
{
    char request[4096];
    stage_call call;
    reading self = {.call = &call, .answer = answer};
    int size = snprintf(request, sizeof request,
                        "POST %s HTTP/1.1\r\nHost: h\r\n"
                        "Lavenderproxy-Attempt-Id: id-1\r\n"
                        "Lavenderproxy-Deadline-Ms: 3000\r\n"
                        "Api-Key: k1\r\nContent-Length: 5\r\n%s\r\nhello",
                        path, headers);

    stage_send(stage, &call, request, (size_t)size);
    stage_run_until(stage, is_answered, &self, ANSWER_MS);
    if (!call.is_closed) {
        stage_hang_up(stage, &call);
    }
    buf_finish(&call.answer);
}
