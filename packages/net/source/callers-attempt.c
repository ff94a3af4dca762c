#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers-imp.h"

#define NUMBER_SIZE (LV_NAME_SIZE + 24)
#define CANCEL_ANSWER_MAX 4096

static void add_format(call_buffer *head, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_format(call_buffer *head, const char *format, ...)
{
    char text[512];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    buffer_add(head, text, (size_t)size);
}

/* Headers that stay between the caller and this router. */
static const char *const kept_headers[] = {"authorization",
                                           "connection",
                                           "content-length",
                                           "expect",
                                           "host",
                                           "keep-alive",
                                           "lavender-attempt",
                                           "lavender-class",
                                           "lavender-relayed",
                                           "lavender-request",
                                           "proxy-connection",
                                           "proxy-authorization",
                                           "te",
                                           "transfer-encoding",
                                           "trailer",
                                           "upgrade",
                                           "http2-settings",
                                           NULL};

static bool
has_control(h2o_iovec_t value)
{
    size_t i;

    for (i = 0; i < value.len; i++) {
        if ((unsigned char)value.base[i] < ' ' && value.base[i] != '\t') {
            return true;
        }
    }
    return false;
}

static void
add_headers(call_buffer *head, const h2o_req_t *req)
{
    const h2o_header_t *header;
    size_t i;

    for (i = 0; i < req->headers.size; i++) {
        header = &req->headers.entries[i];
        if (header_is_listed(*header->name, kept_headers) ||
            has_control(header->value) || has_control(*header->name)) {
            continue;
        }
        buffer_add(head, header->name->base, header->name->len);
        buffer_add(head, ": ", 2);
        buffer_add(head, header->value.base, header->value.len);
        buffer_add(head, "\r\n", 2);
    }
}

static void
write_head(call_request *request, call_buffer *head)
{
    const h2o_req_t *req = request->req;
    call_attempt *attempt = &request->attempt;

    if (attempt->is_resume) {
        add_format(head, "POST /v1/streams/%s/resume?offset=%llu HTTP/1.1\r\n",
                   attempt->stream_id,
                   (unsigned long long)request->wanted.resume_offset);
    }
    else {
        buffer_add(head, req->method.base, req->method.len);
        buffer_add(head, " ", 1);
        buffer_add(head, req->input.path.base, req->input.path.len);
        add_format(head, " HTTP/1.1\r\n");
        add_headers(head, req);
    }
    add_format(head, "host: %s\r\nlavender-request: %s-%llu\r\n",
               attempt->address, request->server->instance,
               (unsigned long long)request->number);
    add_format(head, "lavender-attempt: %u\r\n", attempt->number);
    if (attempt->is_resume || request->body.len > 0 ||
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")) ||
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT"))) {
        add_format(head, "content-length: %zu\r\n",
                   attempt->is_resume ? (size_t)0 : request->body.len);
    }
    buffer_add(head, "\r\n", 2);
}

static bool
on_ready(void *owner)
{
    call_request *request = owner;
    call_server *server = request->server;
    exch_handle *exchange = request->attempt.exchange;

    if (entry_may_send(node_entry(server->node), server->clock(),
                       request->handle, request->attempt.number)) {
        request->is_sent = true;
        return true;
    }
    if (request->attempt.exchange == exchange) {
        request->attempt.exchange = NULL;
        exch_cancel(exchange);
    }
    return false;
}

static void
end_attempt(call_request *request, entry_result end)
{
    call_server *server = request->server;
    uint64_t input_units = 0, output_units = 0, base;

    request->attempt.exchange = NULL;
    if (request->is_engine && request->stream != NULL) {
        base = request->attempt.first_event;
        input_units = request->stream->input_units;
        output_units = request->stream->output_units;
        output_units = output_units > base ? output_units - base : 0;
    }
    else if (request->is_engine && end == ENTRY_RESULT_DONE &&
             !request->answer.is_started) {
        usage_read(request->answer.pending.bytes, request->answer.pending.size,
                   &input_units, &output_units);
    }
    entry_end_attempt(node_entry(server->node), server->clock(),
                      request->handle, request->attempt.number, end,
                      input_units, output_units);
}

/* End the attempt from within a call of its exchange. */
static bool
break_off(call_request *request, entry_result end)
{
    exch_cancel(request->attempt.exchange);
    end_attempt(request, end);
    return false;
}

static bool
is_value(h2o_iovec_t value, const char *text)
{
    return h2o_memis(value.base, value.len, text, strlen(text));
}

/* Does an echo, where there is one, name this request and attempt? */
static bool
read_own_headers(call_request *request, const exch_response_head *head)
{
    call_attempt *attempt = &request->attempt;
    char number[NUMBER_SIZE], tries[16];
    const h2o_header_t *header;
    h2o_iovec_t name;
    size_t i;

    snprintf(number, sizeof number, "%s-%llu", request->server->instance,
             (unsigned long long)request->number);
    snprintf(tries, sizeof tries, "%u", attempt->number);
    for (i = 0; i < head->header_count; i++) {
        header = &head->headers[i];
        name = *header->name;
        if (h2o_lcstris(name.base, name.len, H2O_STRLIT("lavender-request"))) {
            if (!is_value(header->value, number)) {
                return false;
            }
        }
        else if (h2o_lcstris(name.base, name.len,
                             H2O_STRLIT("lavender-attempt"))) {
            if (!is_value(header->value, tries)) {
                return false;
            }
        }
        else if (h2o_lcstris(name.base, name.len,
                             H2O_STRLIT("lavender-stream")) &&
                 header->value.len < sizeof attempt->stream_id) {
            memcpy(attempt->stream_id, header->value.base, header->value.len);
            attempt->stream_id[header->value.len] = '\0';
        }
    }
    return true;
}

static bool
is_stream_id(const char *id)
{
    return *id != '\0' &&
           strspn(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                      "0123456789-_.") == strlen(id);
}

/* The stream is no longer there: asking again does not help. */
static bool
is_gone(int status)
{
    return status == 404 || status == 410;
}

static bool
on_head(void *owner, const exch_response_head *head)
{
    call_request *request = owner;
    call_attempt *attempt = &request->attempt;
    call_server *server = request->server;

    if (!read_own_headers(request, head)) {
        server->counts.mismatched_responses++;
        log_event(LOG_LEVEL_WARNING, server->clock(), "answer-mismatch",
                  "request=%llu attempt=%u address=%s",
                  (unsigned long long)request->number, attempt->number,
                  attempt->address);
        return break_off(request, ENTRY_RESULT_INVALID);
    }
    if (!is_stream_id(attempt->stream_id)) {
        attempt->stream_id[0] = '\0';
    }
    if ((head->status == 429 || head->status == 503) &&
        request->is_idempotent) {
        return break_off(request, ENTRY_RESULT_BUSY);
    }
    attempt->is_framed = head->is_framed;
    if (attempt->is_resume) {
        return head->status == 200 ||
               break_off(request, is_gone(head->status) ? ENTRY_RESULT_INVALID
                                                        : ENTRY_RESULT_LOST);
    }
    answer_take_head(request, head);
    if (request->answer.is_event_stream && request->stream == NULL) {
        request->stream = calloc(1, sizeof *request->stream);
        if (request->stream == NULL) {
            return break_off(request, ENTRY_RESULT_LOST);
        }
    }
    return true;
}

static bool
on_body(void *owner, const char *bytes, size_t size)
{
    call_request *request = owner;
    call_server *server = request->server;
    uint32_t number = request->attempt.number;
    uint64_t units = 0;

    if (request->stream != NULL) {
        stream_add(request->stream, bytes, size);
        units = request->stream->events - request->attempt.first_event;
    }
    if (!answer_add(request, bytes, size)) {
        return break_off(request, ENTRY_RESULT_LOST);
    }
    entry_update_progress(node_entry(server->node), server->clock(),
                          request->handle, number, units,
                          request->answer.delivered);
    return true;
}

/* An answer is whole when its framing or its end mark says so. */
static bool
is_whole(const call_request *request)
{
    if (request->answer.is_event_stream && request->is_engine &&
        request->answer.status == 200) {
        return request->stream->is_done;
    }
    return request->attempt.is_framed;
}

static void
on_end(void *owner, exch_result end)
{
    call_request *request = owner;

    switch (end) {
    case EXCH_CONNECT_FAILED:
        end_attempt(request, ENTRY_RESULT_UNCONNECTED);
        return;
    case EXCH_PROTOCOL_ERROR:
        end_attempt(request, ENTRY_RESULT_INVALID);
        return;
    case EXCH_DECLINED:
        request->attempt.exchange = NULL;
        return;
    case EXCH_COMPLETE:
        end_attempt(request,
                    is_whole(request) ? ENTRY_RESULT_DONE : ENTRY_RESULT_LOST);
        return;
    case EXCH_CONNECTION_LOST:
        if (request->stream != NULL && request->stream->is_done) {
            end_attempt(request, ENTRY_RESULT_DONE);
            return;
        }
        end_attempt(request, ENTRY_RESULT_LOST);
        return;
    }
}

static bool
find_address(call_request *request)
{
    const lists_snapshot *lists =
        doc_lists(node_documents(request->server->node));
    lv_handle endpoint =
        lists == NULL ? LV_HANDLE_NONE
                      : lists_find_endpoint(lists, request->wanted.endpoint);

    return endpoint != LV_HANDLE_NONE &&
           lv_copy_name(request->attempt.address,
                        sizeof request->attempt.address,
                        lists->endpoints[endpoint].address);
}

void
attempt_start(call_request *request)
{
    static const exch_ops ops = {.on_connected = on_ready,
                                 .on_head = on_head,
                                 .on_body = on_body,
                                 .on_end = on_end};
    call_attempt *attempt = &request->attempt;
    call_buffer head = {.bytes = NULL};
    exch_request exchange = {.is_head_method = request->is_head_method,
                             .needs_new_connection =
                                 request->wanted.needs_new_connection};

    attempt->number = request->wanted.number;
    attempt->is_resume = request->wanted.resume_offset > 0;
    attempt->first_event = request->stream == NULL || !attempt->is_resume
                               ? 0
                               : request->stream->events;
    if (attempt->is_resume && attempt->stream_id[0] == '\0') {
        end_attempt(request, ENTRY_RESULT_INVALID);
        return;
    }
    if (!attempt->is_resume) {
        attempt->stream_id[0] = '\0';
        if (request->stream != NULL) {
            memset(request->stream, 0, sizeof *request->stream);
        }
    }
    if (request->req == NULL) {
        entry_cancel(node_entry(request->server->node),
                     request->server->clock(), request->handle);
        return;
    }
    if (!find_address(request)) {
        end_attempt(request, ENTRY_RESULT_UNCONNECTED);
        return;
    }
    write_head(request, &head);
    exchange.address = attempt->address;
    exchange.head = head.bytes;
    exchange.head_size = head.size;
    exchange.body = request->body.base;
    exchange.body_size = attempt->is_resume ? 0 : request->body.len;
    attempt->exchange =
        exch_start(request->server->client, &exchange, &ops, request);
    buffer_finish(&head);
    if (attempt->exchange == NULL) {
        end_attempt(request, ENTRY_RESULT_UNCONNECTED);
    }
}

void
attempt_drop(call_request *request)
{
    exch_handle *exchange = request->attempt.exchange;

    if (exchange != NULL) {
        request->attempt.exchange = NULL;
        exch_cancel(exchange);
    }
}

static void
on_cancelled(void *context, const exch_response *answer)
{
    (void)context;
    (void)answer;
}

void
attempt_cancel(call_request *request)
{
    call_attempt *attempt = &request->attempt;
    char path[LV_NAME_SIZE + 32];
    exch_call_options simple = {.address = attempt->address,
                                .method = "DELETE",
                                .path = path,
                                .headers = "",
                                .max_response_size = CANCEL_ANSWER_MAX};

    if (attempt->exchange == NULL) {
        return;
    }
    attempt_drop(request);
    if (attempt->stream_id[0] != '\0') {
        snprintf(path, sizeof path, "/v1/streams/%s", attempt->stream_id);
        exch_call_start(request->server->client, &simple, on_cancelled, NULL);
    }
}
