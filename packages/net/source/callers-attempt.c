#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers-imp.h"

#define REQUEST_ID_SIZE (LV_NAME_SIZE + 24)
#define CANCEL_RESPONSE_MAX 4096

static void append_format(call_buffer *head, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
append_format(call_buffer *head, const char *format, ...)
{
    char text[512];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    buffer_append(head, text, (size_t)size);
}

/* Request headers that are not forwarded: credentials, hop-by-hop headers and
 * headers that this router sets or reads itself. */
static const char *const dropped_headers[] = {"authorization",
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
has_control_character(h2o_iovec_t value)
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
append_headers(call_buffer *head, const h2o_req_t *req)
{
    const h2o_header_t *header;
    size_t i;

    for (i = 0; i < req->headers.size; i++) {
        header = &req->headers.entries[i];
        if (header_is_listed(*header->name, dropped_headers) ||
            has_control_character(header->value) ||
            has_control_character(*header->name)) {
            continue;
        }
        buffer_append(head, header->name->base, header->name->len);
        buffer_append(head, ": ", 2);
        buffer_append(head, header->value.base, header->value.len);
        buffer_append(head, "\r\n", 2);
    }
}

static void
write_request_head(call_request *request, call_buffer *head)
{
    const h2o_req_t *req = request->req;
    call_attempt *attempt = &request->attempt;

    if (attempt->is_resume) {
        append_format(head,
                      "POST /v1/streams/%s/resume?offset=%llu HTTP/1.1\r\n",
                      attempt->stream_id,
                      (unsigned long long)request->next_attempt.resume_offset);
    }
    else {
        buffer_append(head, req->method.base, req->method.len);
        buffer_append(head, " ", 1);
        buffer_append(head, req->input.path.base, req->input.path.len);
        append_format(head, " HTTP/1.1\r\n");
        append_headers(head, req);
    }
    append_format(head, "host: %s\r\nlavender-request: %s-%llu\r\n",
                  attempt->address, request->server->instance,
                  (unsigned long long)request->number);
    append_format(head, "lavender-attempt: %u\r\n", attempt->number);
    if (attempt->is_resume || request->body.len > 0 ||
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")) ||
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT"))) {
        append_format(head, "content-length: %zu\r\n",
                      attempt->is_resume ? (size_t)0 : request->body.len);
    }
    buffer_append(head, "\r\n", 2);
}

/* Returns whether the entry role still permits the attempt to be sent. If not,
 * it has withdrawn the attempt, and may have ended the request, which aborts
 * the exchange. */
static bool
on_ready(void *owner)
{
    call_request *request = owner;
    call_server *server = request->server;
    exch_handle *exchange = request->attempt.exchange;

    if (entry_may_send(node_entry(server->node), server->clock(),
                       request->entry_handle, request->attempt.number)) {
        request->was_sent = true;
        return true;
    }
    if (request->attempt.exchange == exchange) {
        request->attempt.exchange = NULL;
        exch_cancel(exchange);
    }
    return false;
}

/* Reports the result of the attempt and its token counts to the entry role. */
static void
report_result(call_request *request, entry_result result)
{
    call_server *server = request->server;
    uint64_t input_units = 0, output_units = 0, base;

    request->attempt.exchange = NULL;
    if (request->is_engine && request->sse != NULL) {
        base = request->attempt.initial_event_count;
        input_units = request->sse->input_units;
        output_units = request->sse->output_units;
        output_units = output_units > base ? output_units - base : 0;
    }
    else if (request->is_engine && result == ENTRY_RESULT_DONE &&
             !request->response.is_started) {
        usage_parse(request->response.pending.bytes,
                    request->response.pending.size, &input_units,
                    &output_units);
    }
    entry_end_attempt(node_entry(server->node), server->clock(),
                      request->entry_handle, request->attempt.number, result,
                      input_units, output_units);
}

/* Cancels the exchange and reports the result. Returns false, which a callback
 * of the exchange passes on. */
static bool
fail_attempt(call_request *request, entry_result result)
{
    exch_cancel(request->attempt.exchange);
    report_result(request, result);
    return false;
}

static bool
is_equal(h2o_iovec_t value, const char *text)
{
    return h2o_memis(value.base, value.len, text, strlen(text));
}

/* Copies the stream id of a response. Returns false when the response echoes a
 * request id or an attempt number that is not that of this attempt. */
static bool
read_echoed_headers(call_request *request, const exch_response_head *head)
{
    call_attempt *attempt = &request->attempt;
    char request_id[REQUEST_ID_SIZE], attempt_number[16];
    const h2o_header_t *header;
    h2o_iovec_t name;
    size_t i;

    snprintf(request_id, sizeof request_id, "%s-%llu",
             request->server->instance, (unsigned long long)request->number);
    snprintf(attempt_number, sizeof attempt_number, "%u", attempt->number);
    for (i = 0; i < head->header_count; i++) {
        header = &head->headers[i];
        name = *header->name;
        if (h2o_lcstris(name.base, name.len, H2O_STRLIT("lavender-request"))) {
            if (!is_equal(header->value, request_id)) {
                return false;
            }
        }
        else if (h2o_lcstris(name.base, name.len,
                             H2O_STRLIT("lavender-attempt"))) {
            if (!is_equal(header->value, attempt_number)) {
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

/* Returns whether the endpoint no longer has the stream, so that another
 * attempt to resume it is of no use. */
static bool
is_stream_lost(int status)
{
    return status == 404 || status == 410;
}

static bool
on_head(void *owner, const exch_response_head *head)
{
    call_request *request = owner;
    call_attempt *attempt = &request->attempt;
    call_server *server = request->server;

    if (!read_echoed_headers(request, head)) {
        server->counts.mismatched_responses++;
        log_event(LOG_LEVEL_WARNING, server->clock(), "answer-mismatch",
                  "request=%llu attempt=%u address=%s",
                  (unsigned long long)request->number, attempt->number,
                  attempt->address);
        return fail_attempt(request, ENTRY_RESULT_INVALID);
    }
    if (!is_stream_id(attempt->stream_id)) {
        attempt->stream_id[0] = '\0';
    }
    if ((head->status == 429 || head->status == 503) &&
        request->is_idempotent) {
        return fail_attempt(request, ENTRY_RESULT_BUSY);
    }
    attempt->is_framed = head->is_framed;
    if (attempt->is_resume) {
        return head->status == 200 ||
               fail_attempt(request, is_stream_lost(head->status)
                                         ? ENTRY_RESULT_INVALID
                                         : ENTRY_RESULT_LOST);
    }
    response_set_head(request, head);
    if (request->response.is_event_stream && request->sse == NULL) {
        request->sse = calloc(1, sizeof *request->sse);
        if (request->sse == NULL) {
            return fail_attempt(request, ENTRY_RESULT_LOST);
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

    if (request->sse != NULL) {
        sse_feed(request->sse, bytes, size);
        units = request->sse->events - request->attempt.initial_event_count;
    }
    if (!response_append_body(request, bytes, size)) {
        return fail_attempt(request, ENTRY_RESULT_LOST);
    }
    entry_update_progress(node_entry(server->node), server->clock(),
                          request->entry_handle, number, units,
                          request->response.delivered_size);
    return true;
}

/* Returns whether the end of the exchange is the end of the response: by the
 * [DONE] event in an event stream of an engine, by the framing otherwise. */
static bool
is_complete(const call_request *request)
{
    if (request->response.is_event_stream && request->is_engine &&
        request->response.status == 200) {
        return request->sse->has_done_event;
    }
    return request->attempt.is_framed;
}

static void
on_end(void *owner, exch_result end)
{
    call_request *request = owner;

    switch (end) {
    case EXCH_CONNECT_FAILED:
        report_result(request, ENTRY_RESULT_UNCONNECTED);
        return;
    case EXCH_PROTOCOL_ERROR:
        report_result(request, ENTRY_RESULT_INVALID);
        return;
    case EXCH_DECLINED:
        request->attempt.exchange = NULL;
        return;
    case EXCH_COMPLETE:
        report_result(request, is_complete(request) ? ENTRY_RESULT_DONE
                                                    : ENTRY_RESULT_LOST);
        return;
    case EXCH_CONNECTION_LOST:
        if (request->sse != NULL && request->sse->has_done_event) {
            report_result(request, ENTRY_RESULT_DONE);
            return;
        }
        report_result(request, ENTRY_RESULT_LOST);
        return;
    }
}

static bool
copy_endpoint_address(call_request *request)
{
    const lists_snapshot *lists =
        doc_lists(node_documents(request->server->node));
    lv_handle endpoint =
        lists == NULL
            ? LV_HANDLE_NONE
            : lists_find_endpoint(lists, request->next_attempt.endpoint);

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
                                 request->next_attempt.needs_new_connection};

    attempt->number = request->next_attempt.number;
    attempt->is_resume = request->next_attempt.resume_offset > 0;
    attempt->initial_event_count =
        request->sse == NULL || !attempt->is_resume ? 0 : request->sse->events;
    if (attempt->is_resume && attempt->stream_id[0] == '\0') {
        report_result(request, ENTRY_RESULT_INVALID);
        return;
    }
    if (!attempt->is_resume) {
        attempt->stream_id[0] = '\0';
        if (request->sse != NULL) {
            memset(request->sse, 0, sizeof *request->sse);
        }
    }
    if (request->req == NULL) {
        entry_cancel(node_entry(request->server->node),
                     request->server->clock(), request->entry_handle);
        return;
    }
    if (!copy_endpoint_address(request)) {
        report_result(request, ENTRY_RESULT_UNCONNECTED);
        return;
    }
    write_request_head(request, &head);
    exchange.address = attempt->address;
    exchange.head = head.bytes;
    exchange.head_size = head.size;
    exchange.body = request->body.base;
    exchange.body_size = attempt->is_resume ? 0 : request->body.len;
    attempt->exchange =
        exch_start(request->server->client, &exchange, &ops, request);
    buffer_finish(&head);
    if (attempt->exchange == NULL) {
        report_result(request, ENTRY_RESULT_UNCONNECTED);
    }
}

void
attempt_abort(call_request *request)
{
    exch_handle *exchange = request->attempt.exchange;

    if (exchange != NULL) {
        request->attempt.exchange = NULL;
        exch_cancel(exchange);
    }
}

static void
on_cancel_response(void *context, const exch_response *response)
{
    (void)context;
    (void)response;
}

void
attempt_cancel(call_request *request)
{
    call_attempt *attempt = &request->attempt;
    char path[LV_NAME_SIZE + 32];
    exch_call_options exchange = {.address = attempt->address,
                                  .method = "DELETE",
                                  .path = path,
                                  .headers = "",
                                  .max_response_size = CANCEL_RESPONSE_MAX};

    if (attempt->exchange == NULL) {
        return;
    }
    attempt_abort(request);
    if (attempt->stream_id[0] != '\0') {
        snprintf(path, sizeof path, "/v1/streams/%s", attempt->stream_id);
        exch_call_start(request->server->client, &exchange, on_cancel_response,
                        NULL);
    }
}
