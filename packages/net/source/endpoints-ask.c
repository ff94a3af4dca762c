#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"

#define HEAD_SIZE_MAX 4096

struct exch_call {
    exch_handle *exchange;
    exch_on_response *done;
    void *context;
    exch_response answer;
    size_t max_answer;
    bool is_framed;
    char *answer_body;
    size_t answer_capacity;
    char body[];
};

static void
free_call(exch_call *call)
{
    free(call->answer_body);
    free(call);
}

static void
copy_value(char *to, size_t size, h2o_iovec_t value)
{
    size_t length = value.len < size ? value.len : size - 1;

    memcpy(to, value.base, length);
    to[length] = '\0';
}

static bool
on_head(void *owner, const exch_response_head *head)
{
    exch_call *call = owner;
    const h2o_header_t *header;
    size_t i;

    call->answer.status = head->status;
    call->is_framed = head->is_framed;
    for (i = 0; i < head->header_count; i++) {
        header = &head->headers[i];
        if (header->name == &H2O_TOKEN_CONTENT_TYPE->buf) {
            copy_value(call->answer.content_type,
                       sizeof call->answer.content_type, header->value);
        }
        else if (h2o_lcstris(header->name->base, header->name->len,
                             H2O_STRLIT("lavender-outcome"))) {
            copy_value(call->answer.outcome, sizeof call->answer.outcome,
                       header->value);
        }
        else if (h2o_lcstris(header->name->base, header->name->len,
                             H2O_STRLIT("retry-after"))) {
            call->answer.retry_after =
                h2o_strtosize(header->value.base, header->value.len) *
                LV_SECOND;
        }
    }
    return true;
}

static void
end_call(exch_call *call, exch_result end)
{
    call->answer.result = end;
    call->answer.is_complete = end == EXCH_COMPLETE && call->is_framed;
    call->answer.body = call->answer_body;
    if (!call->answer.is_complete) {
        call->answer.status = 0;
    }
    call->done(call->context, &call->answer);
    free_call(call);
}

static bool
on_body(void *owner, const char *bytes, size_t size)
{
    exch_call *call = owner;
    size_t needed = call->answer.body_size + size;
    size_t capacity = call->answer_capacity;
    char *grown;

    if (needed > call->max_answer) {
        end_call(call, EXCH_PROTOCOL_ERROR);
        return false;
    }
    if (needed > capacity) {
        capacity = capacity == 0 ? 1024 : capacity;
        while (capacity < needed) {
            capacity *= 2;
        }
        grown = realloc(call->answer_body, capacity);
        if (grown == NULL) {
            end_call(call, EXCH_PROTOCOL_ERROR);
            return false;
        }
        call->answer_body = grown;
        call->answer_capacity = capacity;
    }
    memcpy(call->answer_body + call->answer.body_size, bytes, size);
    call->answer.body_size = needed;
    return true;
}

static void
on_end(void *owner, exch_result end)
{
    end_call(owner, end);
}

exch_call *
exch_call_start(client_context *client, const exch_call_options *simple,
                exch_on_response *done, void *context)
{
    static const exch_ops ops = {
        .on_head = on_head, .on_body = on_body, .on_end = on_end};
    char head[HEAD_SIZE_MAX];
    exch_request request = {.address = simple->address,
                            .needs_new_connection =
                                simple->needs_new_connection,
                            .head = head,
                            .body_size = simple->body_size};
    int size = snprintf(head, sizeof head,
                        "%s %s HTTP/1.1\r\nhost: %s\r\n"
                        "content-length: %zu\r\n%s\r\n",
                        simple->method, simple->path, simple->address,
                        simple->body_size, simple->headers);
    exch_call *call = calloc(1, sizeof *call + simple->body_size);

    if (call == NULL || size < 0 || (size_t)size >= sizeof head) {
        free(call);
        return NULL;
    }
    if (simple->body_size > 0) {
        memcpy(call->body, simple->body, simple->body_size);
    }
    call->done = done;
    call->context = context;
    call->max_answer = simple->max_response_size;
    request.head_size = (size_t)size;
    request.body = call->body;
    call->exchange = exch_start(client, &request, &ops, call);
    if (call->exchange == NULL) {
        free(call);
        return NULL;
    }
    return call;
}

void
exch_call_cancel(exch_call *call)
{
    exch_cancel(call->exchange);
    free_call(call);
}
