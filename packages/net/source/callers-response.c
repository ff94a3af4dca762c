#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "callers-imp.h"

#define ERROR_TEXT_SIZE 1024
/* Reading from the endpoint resumes below this many pending bytes. */
#define RESUME_THRESHOLD(limit) ((limit) / 2)

static const char *
reason_phrase(int status)
{
    static const struct {
        int status;
        const char *phrase;
    } phrases[] = {
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {304, "Not Modified"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {409, "Conflict"},
        {410, "Gone"},
        {413, "Payload Too Large"},
        {422, "Unprocessable Content"},
        {428, "Precondition Required"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
    };
    size_t i;

    for (i = 0; i < sizeof phrases / sizeof phrases[0]; i++) {
        if (phrases[i].status == status) {
            return phrases[i].phrase;
        }
    }
    return "Status";
}

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

    h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1,
                          NULL, copy.base, copy.len);
}

static void
add_request_id_header(call_request *request)
{
    char text[LV_NAME_SIZE + 24];

    snprintf(text, sizeof text, "%s-%llu", request->server->instance,
             (unsigned long long)request->number);
    add_header(request->req, "lavender-request", text);
}

static void
record_first_byte(call_request *request)
{
    call_server *server = request->server;

    met_histogram_add(&server->counts.first_byte,
                      lv_elapsed(server->clock(), request->arrival_time));
}

/* Returns whether closing the connection is the only end of the body: h2o uses
 * the chunked encoding only for HTTP/1.1 and status 200. */
static bool
is_close_delimited(const h2o_req_t *req)
{
    return req->res.content_length == SIZE_MAX &&
           (req->version < 0x101 || req->res.status != 200);
}

/* Makes close() reset the connection. A truncated body that ends with the
 * connection would otherwise look complete. */
static void
set_reset_on_close(h2o_req_t *req)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);

    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
               sizeof linger);
}

/* Passes the pending bytes to h2o unless it is still sending earlier ones. */
static void
send_pending(call_request *request)
{
    call_response *response = &request->response;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    call_buffer previous;
    h2o_iovec_t piece;

    if (request->req == NULL || !response->is_started ||
        response->is_sending || response->has_sent_final ||
        (response->pending.size == 0 && !response->has_all_data)) {
        return;
    }
    previous = response->sending;
    response->sending = response->pending;
    response->pending = previous;
    response->pending.size = 0;
    response->is_sending = true;
    response->sending_since = request->server->clock();
    if (response->has_all_data) {
        response->has_sent_final = true;
        state =
            response->is_aborted ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
        if (response->is_aborted && request->req->version < 0x200 &&
            is_close_delimited(request->req)) {
            set_reset_on_close(request->req);
        }
    }
    request->server->counts.body_bytes_out += response->sending.size;
    piece = h2o_iovec_init(response->sending.bytes, response->sending.size);
    h2o_send(request->req, &piece, piece.len > 0 ? 1 : 0, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    call_request *request = (call_request *)generator;

    (void)req;
    request->response.is_sending = false;
    request->response.sending.size = 0;
    send_pending(request);
    if (request->attempt.exchange != NULL &&
        request->response.pending.size <
            RESUME_THRESHOLD(request->server->settings.max_unsent_response)) {
        exch_set_paused(request->attempt.exchange, false);
    }
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    request_on_disconnect((call_request *)generator);
}

static void
start_response(call_request *request, const char *outcome,
               size_t content_length)
{
    call_response *response = &request->response;
    h2o_req_t *req = request->req;
    size_t i;

    req->res.status = response->status;
    req->res.reason = reason_phrase(response->status);
    req->res.content_length = content_length;
    for (i = 0; i < response->headers.size; i++) {
        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              response->headers.entries[i].name->base,
                              response->headers.entries[i].name->len, 1, NULL,
                              response->headers.entries[i].value.base,
                              response->headers.entries[i].value.len);
    }
    add_request_id_header(request);
    if (outcome != NULL) {
        add_header(req, "lavender-outcome", outcome);
    }
    if (request->server->is_draining) {
        req->http1_is_persistent = 0;
    }
    response->is_started = true;
    request->generator.proceed = on_proceed;
    request->generator.stop = on_stop;
    record_first_byte(request);
    h2o_start_response(req, &request->generator);
}

/* Headers of an endpoint's response that are not forwarded: hop-by-hop headers
 * and headers that this router or h2o sets. */
static const char *const dropped_headers[] = {"connection",
                                              "content-length",
                                              "date",
                                              "keep-alive",
                                              "lavender-attempt",
                                              "lavender-outcome",
                                              "lavender-request",
                                              "lavender-replayed",
                                              "lavender-stream",
                                              "proxy-connection",
                                              "server",
                                              "te",
                                              "trailer",
                                              "transfer-encoding",
                                              "upgrade",
                                              NULL};

static void
set_content_type(call_response *response, h2o_iovec_t value)
{
    size_t size = value.len < sizeof response->content_type
                      ? value.len
                      : sizeof response->content_type - 1;

    memcpy(response->content_type, value.base, size);
    response->content_type[size] = '\0';
    response->is_event_stream =
        strncasecmp(response->content_type, "text/event-stream",
                    strlen("text/event-stream")) == 0;
}

bool
response_set_head(call_request *request, const exch_response_head *head)
{
    call_response *response = &request->response;
    const h2o_header_t *header;
    h2o_iovec_t name, value;
    size_t i;

    response_reset(request);
    response->status = head->status;
    response->content_length = head->content_length;
    for (i = 0; i < head->header_count; i++) {
        header = &head->headers[i];
        if (header->name == &H2O_TOKEN_CONTENT_TYPE->buf) {
            set_content_type(response, header->value);
        }
        if (header_is_listed(*header->name, dropped_headers)) {
            continue;
        }
        name =
            h2o_strdup(&response->pool, header->name->base, header->name->len);
        value =
            h2o_strdup(&response->pool, header->value.base, header->value.len);
        h2o_add_header_by_str(&response->pool, &response->headers, name.base,
                              name.len, 0, NULL, value.base, value.len);
    }
    return true;
}

void
response_reset(call_request *request)
{
    call_response *response = &request->response;

    h2o_mem_clear_pool(&response->pool);
    memset(&response->headers, 0, sizeof response->headers);
    response->status = 0;
    response->content_type[0] = '\0';
    response->is_event_stream = false;
    response->pending.size = 0;
    response->retained.size = 0;
    response->is_retained_truncated = false;
    response->delivered_size = 0;
}

/* Copies the body for later requests with the same ticket, up to the limit of
 * the ticket store. */
static void
retain_for_ticket(call_request *request, const char *bytes, size_t size)
{
    call_response *response = &request->response;
    const tkt_store *store = node_tickets(request->server->node);

    if (request->ticket == LV_HANDLE_NONE || response->is_retained_truncated) {
        return;
    }
    if (response->retained.size + size > store->settings.max_answer_size ||
        !buffer_append(&response->retained, bytes, size)) {
        response->is_retained_truncated = true;
    }
}

/* Returns whether the response is to be streamed before it is complete. */
static bool
must_start_response(const call_request *request)
{
    const call_server *server = request->server;
    const call_response *response = &request->response;

    return response->is_event_stream ||
           response->pending.size > server->settings.max_whole_response ||
           server->counts.memory_used > server->settings.max_memory_used;
}

bool
response_append_body(call_request *request, const char *bytes, size_t size)
{
    call_response *response = &request->response;
    size_t old_capacity = response->pending.capacity;
    size_t length = SIZE_MAX;

    retain_for_ticket(request, bytes, size);
    if (request->req == NULL) {
        return true;
    }
    if (!buffer_append(&response->pending, bytes, size)) {
        return false;
    }
    request_charge_memory(request, response->pending.capacity - old_capacity);
    if (!response->is_started && must_start_response(request)) {
        if (!response->is_event_stream &&
            response->content_length != UINT64_MAX) {
            length = response->content_length;
        }
        response->delivered_size = response->pending.size - size;
        start_response(request, NULL, length);
    }
    if (response->is_started) {
        response->delivered_size += size;
        send_pending(request);
        if (request->attempt.exchange != NULL &&
            response->pending.size >=
                request->server->settings.max_unsent_response) {
            exch_set_paused(request->attempt.exchange, true);
        }
    }
    return true;
}

/* Returns whether an event may be appended without first ending a partial one.
 */
static bool
is_at_event_boundary(const call_request *request)
{
    const call_sse_parser *parser = request->sse;

    return parser == NULL ||
           (parser->line_size == 0 && parser->is_last_line_blank);
}

static void
add_outcome_event(call_request *request, const out_outcome *outcome)
{
    char text[ERROR_TEXT_SIZE];
    int size = snprintf(
        text, sizeof text,
        "%sevent: lavender-outcome\ndata: {\"outcome\": \"%s\", "
        "\"kind\": \"%s\", \"message\": \"%s\", \"remedy\": \"%s\"}\n\n",
        is_at_event_boundary(request) ? "" : "\n\n",
        out_kind_name(outcome->kind), out_reason_name(outcome->reason),
        out_reason_message(outcome->reason),
        out_reason_remedy(outcome->reason));

    if (!buffer_append(&request->response.pending, text, (size_t)size)) {
        request->response.is_aborted = true;
    }
}

void
response_end(call_request *request, const out_outcome *outcome)
{
    call_response *response = &request->response;

    if (request->req == NULL) {
        return;
    }
    if (!response->is_started) {
        if (outcome->kind != OUT_DONE || response->status == 0) {
            response_send_refusal(request, outcome);
            return;
        }
        start_response(request, out_kind_name(outcome->kind),
                       response->pending.size);
    }
    else if (response->is_event_stream) {
        add_outcome_event(request, outcome);
    }
    else if (outcome->kind != OUT_DONE) {
        response->is_aborted = true;
    }
    response->has_all_data = true;
    send_pending(request);
}

void
response_send_complete(call_request *request, int status,
                       const char *content_type, const char *outcome,
                       const char *body, size_t size)
{
    h2o_req_t *req = request->req;

    if (req == NULL) {
        return;
    }
    request->response.is_started = true;
    request->response.has_all_data = true;
    request->response.has_sent_final = true;
    req->res.status = status;
    req->res.reason = reason_phrase(status);
    req->res.content_length = size;
    if (content_type[0] != '\0') {
        add_header(req, "content-type", content_type);
    }
    add_request_id_header(request);
    add_header(req, "lavender-outcome", outcome);
    if (request->server->is_draining) {
        req->http1_is_persistent = 0;
    }
    request->server->counts.body_bytes_out += size;
    record_first_byte(request);
    h2o_send_inline(req, body, size);
}

void
response_send_json_error(call_request *request, int status, const char *kind,
                         const char *message, const char *remedy,
                         const char *outcome)
{
    char text[ERROR_TEXT_SIZE];
    int size = snprintf(text, sizeof text,
                        "{\"error\": {\"kind\": \"%s\", \"message\": \"%s\", "
                        "\"remedy\": \"%s\", \"outcome\": \"%s\"}}\n",
                        kind, message, remedy, outcome);

    response_send_complete(request, status, "application/json", outcome, text,
                           (size_t)size);
}

void
response_add_retry_after(call_request *request, lv_time retry_after)
{
    char seconds[24];

    if (request->req == NULL || retry_after == 0) {
        return;
    }
    snprintf(seconds, sizeof seconds, "%llu",
             (unsigned long long)((retry_after + LV_SECOND - 1) / LV_SECOND));
    add_header(request->req, "retry-after", seconds);
}

void
response_send_refusal(call_request *request, const out_outcome *outcome)
{
    response_add_retry_after(request, outcome->retry_after);
    response_send_json_error(
        request, out_reason_status(outcome->reason),
        out_reason_name(outcome->reason), out_reason_message(outcome->reason),
        out_reason_remedy(outcome->reason), out_kind_name(outcome->kind));
}

void
response_send_replay(call_request *request, const tkt_answer *stored)
{
    if (request->req == NULL) {
        return;
    }
    add_header(request->req, "lavender-replayed", "1");
    if (stored->status == 0) {
        response_send_refusal(request, &stored->outcome);
        return;
    }
    if (stored->is_truncated) {
        response_send_json_error(
            request, 410, "answer-not-kept",
            "the work ended, but its answer was longer than "
            "this router remembers",
            "look the result up at the service",
            out_kind_name(stored->outcome.kind));
        return;
    }
    response_send_complete(request, stored->status, stored->content_type,
                           out_kind_name(stored->outcome.kind), stored->body,
                           stored->body_size);
}

void
answer_finish(call_request *request)
{
    h2o_mem_clear_pool(&request->response.pool);
    buffer_finish(&request->response.pending);
    buffer_finish(&request->response.sending);
    buffer_finish(&request->response.retained);
}
