#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"

#define MAX_HEAD_SIZE 4096

struct exch_call {
    exch_handle *exchange;
    exch_on_response *done;
    void *context;
    exch_response response;
    size_t max_response_size;
    bool is_framed;
    char *body_buffer;
    size_t body_capacity;
    char request_body[];
};

static void
free_call(exch_call *call)
{
    free(call->body_buffer);
    free(call);
}

static void
copy_header_value(char *to, size_t size, h2o_iovec_t value)
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

    call->response.status = head->status;
    call->is_framed = head->is_framed;
    for (i = 0; i < head->header_count; i++) {
        header = &head->headers[i];
        if (header->name == &H2O_TOKEN_CONTENT_TYPE->buf) {
            copy_header_value(call->response.content_type,
                              sizeof call->response.content_type,
                              header->value);
        }
        else if (h2o_lcstris(header->name->base, header->name->len,
                             H2O_STRLIT("lavender-outcome"))) {
            copy_header_value(call->response.outcome,
                              sizeof call->response.outcome, header->value);
        }
        else if (h2o_lcstris(header->name->base, header->name->len,
                             H2O_STRLIT("retry-after"))) {
            call->response.retry_after =
                h2o_strtosize(header->value.base, header->value.len) *
                LV_SECOND;
        }
    }
    return true;
}

static void
complete_call(exch_call *call, exch_result end)
{
    call->response.result = end;
    call->response.is_complete = end == EXCH_COMPLETE && call->is_framed;
    call->response.body = call->body_buffer;
    if (!call->response.is_complete) {
        call->response.status = 0;
    }
    call->done(call->context, &call->response);
    free_call(call);
}

static bool
on_body(void *owner, const char *bytes, size_t size)
{
    exch_call *call = owner;
    size_t needed = call->response.body_size + size;
    size_t capacity = call->body_capacity;
    char *new_body;

    if (needed > call->max_response_size) {
        complete_call(call, EXCH_PROTOCOL_ERROR);
        return false;
    }
    if (needed > capacity) {
        capacity = capacity == 0 ? 1024 : capacity;
        while (capacity < needed) {
            capacity *= 2;
        }
        new_body = realloc(call->body_buffer, capacity);
        if (new_body == NULL) {
            complete_call(call, EXCH_PROTOCOL_ERROR);
            return false;
        }
        call->body_buffer = new_body;
        call->body_capacity = capacity;
    }
    memcpy(call->body_buffer + call->response.body_size, bytes, size);
    call->response.body_size = needed;
    return true;
}

static void
on_end(void *owner, exch_result end)
{
    complete_call(owner, end);
}

exch_call *
exch_call_start(client_context *client, const exch_call_options *options,
                exch_on_response *done, void *context)
{
    static const exch_ops ops = {
        .on_head = on_head, .on_body = on_body, .on_end = on_end};
    char head[MAX_HEAD_SIZE];
    exch_request request = {.address = options->address,
                            .needs_new_connection =
                                options->needs_new_connection,
                            .head = head,
                            .body_size = options->body_size};
    int size = snprintf(head, sizeof head,
                        "%s %s HTTP/1.1\r\nhost: %s\r\n"
                        "content-length: %zu\r\n%s\r\n",
                        options->method, options->path, options->address,
                        options->body_size, options->headers);
    exch_call *call = calloc(1, sizeof *call + options->body_size);

    if (call == NULL || size < 0 || (size_t)size >= sizeof head) {
        free(call);
        return NULL;
    }
    if (options->body_size > 0) {
        memcpy(call->request_body, options->body, options->body_size);
    }
    call->done = done;
    call->context = context;
    call->max_response_size = options->max_response_size;
    request.head_size = (size_t)size;
    request.body = call->request_body;
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
