#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "callers-imp.h"

#define ERROR_SIZE 1024
#define RESUME_BELOW(buffer) ((buffer) / 2)

static const char *
phrase_of(int status)
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
add_number_header(call_request *request)
{
    char text[LV_NAME_SIZE + 24];

    snprintf(text, sizeof text, "%s-%llu", request->server->instance,
             (unsigned long long)request->number);
    add_header(request->req, "lavender-request", text);
}

static void
count_first_byte(call_request *request)
{
    call_server *server = request->server;

    met_histogram_add(&server->counts.first_byte,
                      lv_elapsed(server->clock(), request->arrived));
}

/* h2o sends chunks to HTTP/1.1 and with status 200 alone. */
static bool
ends_by_close(const h2o_req_t *req)
{
    return req->res.content_length == SIZE_MAX &&
           (req->version < 0x101 || req->res.status != 200);
}

/* A body that ends with the connection looks whole when it was cut, unless
 * the connection is reset. */
static void
reset_on_close(h2o_req_t *req)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);

    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
               sizeof linger);
}

static void
pump(call_request *request)
{
    call_answer *answer = &request->answer;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    call_buffer swap;
    h2o_iovec_t piece;

    if (request->req == NULL || !answer->is_started || answer->is_sending ||
        answer->is_final || (answer->pending.size == 0 && !answer->is_ended)) {
        return;
    }
    swap = answer->sending;
    answer->sending = answer->pending;
    answer->pending = swap;
    answer->pending.size = 0;
    answer->is_sending = true;
    answer->sending_since = request->server->clock();
    if (answer->is_ended) {
        answer->is_final = true;
        state = answer->is_cut ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
        if (answer->is_cut && request->req->version < 0x200 &&
            ends_by_close(request->req)) {
            reset_on_close(request->req);
        }
    }
    request->server->counts.body_bytes_out += answer->sending.size;
    piece = h2o_iovec_init(answer->sending.bytes, answer->sending.size);
    h2o_send(request->req, &piece, piece.len > 0 ? 1 : 0, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    call_request *request = (call_request *)generator;

    (void)req;
    request->answer.is_sending = false;
    request->answer.sending.size = 0;
    pump(request);
    if (request->attempt.exchange != NULL &&
        request->answer.pending.size <
            RESUME_BELOW(request->server->settings.max_unsent_response)) {
        exch_set_paused(request->attempt.exchange, false);
    }
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    request_gone((call_request *)generator);
}

static void
start(call_request *request, const char *outcome, size_t content_length)
{
    call_answer *answer = &request->answer;
    h2o_req_t *req = request->req;
    size_t i;

    req->res.status = answer->status;
    req->res.reason = phrase_of(answer->status);
    req->res.content_length = content_length;
    for (i = 0; i < answer->headers.size; i++) {
        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              answer->headers.entries[i].name->base,
                              answer->headers.entries[i].name->len, 1, NULL,
                              answer->headers.entries[i].value.base,
                              answer->headers.entries[i].value.len);
    }
    add_number_header(request);
    if (outcome != NULL) {
        add_header(req, "lavender-outcome", outcome);
    }
    if (request->server->is_draining) {
        req->http1_is_persistent = 0;
    }
    answer->is_started = true;
    request->generator.proceed = on_proceed;
    request->generator.stop = on_stop;
    count_first_byte(request);
    h2o_start_response(req, &request->generator);
}

static const char *const own_headers[] = {"connection",
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
take_content_type(call_answer *answer, h2o_iovec_t value)
{
    size_t size = value.len < sizeof answer->content_type
                      ? value.len
                      : sizeof answer->content_type - 1;

    memcpy(answer->content_type, value.base, size);
    answer->content_type[size] = '\0';
    answer->is_event_stream =
        strncasecmp(answer->content_type, "text/event-stream",
                    strlen("text/event-stream")) == 0;
}

bool
answer_take_head(call_request *request, const exch_response_head *head)
{
    call_answer *answer = &request->answer;
    const h2o_header_t *header;
    h2o_iovec_t name, value;
    size_t i;

    answer_reset(request);
    answer->status = head->status;
    answer->content_length = head->content_length;
    for (i = 0; i < head->header_count; i++) {
        header = &head->headers[i];
        if (header->name == &H2O_TOKEN_CONTENT_TYPE->buf) {
            take_content_type(answer, header->value);
        }
        if (header_is_listed(*header->name, own_headers)) {
            continue;
        }
        name =
            h2o_strdup(&answer->pool, header->name->base, header->name->len);
        value =
            h2o_strdup(&answer->pool, header->value.base, header->value.len);
        h2o_add_header_by_str(&answer->pool, &answer->headers, name.base,
                              name.len, 0, NULL, value.base, value.len);
    }
    return true;
}

void
answer_reset(call_request *request)
{
    call_answer *answer = &request->answer;

    h2o_mem_clear_pool(&answer->pool);
    memset(&answer->headers, 0, sizeof answer->headers);
    answer->status = 0;
    answer->content_type[0] = '\0';
    answer->is_event_stream = false;
    answer->pending.size = 0;
    answer->kept.size = 0;
    answer->is_kept_short = false;
    answer->delivered = 0;
}

static void
keep(call_request *request, const char *bytes, size_t size)
{
    call_answer *answer = &request->answer;
    const tkt_store *store = node_tickets(request->server->node);

    if (request->ticket == LV_HANDLE_NONE || answer->is_kept_short) {
        return;
    }
    if (answer->kept.size + size > store->settings.max_answer_size ||
        !buffer_add(&answer->kept, bytes, size)) {
        answer->is_kept_short = true;
    }
}

static bool
must_start(const call_request *request)
{
    const call_server *server = request->server;
    const call_answer *answer = &request->answer;

    return answer->is_event_stream ||
           answer->pending.size > server->settings.max_whole_response ||
           server->counts.memory_used > server->settings.max_memory_used;
}

bool
answer_add(call_request *request, const char *bytes, size_t size)
{
    call_answer *answer = &request->answer;
    size_t before = answer->pending.capacity;
    size_t length = SIZE_MAX;

    keep(request, bytes, size);
    if (request->req == NULL) {
        return true;
    }
    if (!buffer_add(&answer->pending, bytes, size)) {
        return false;
    }
    request_add_memory(request, answer->pending.capacity - before);
    if (!answer->is_started && must_start(request)) {
        if (!answer->is_event_stream && answer->content_length != UINT64_MAX) {
            length = answer->content_length;
        }
        answer->delivered = answer->pending.size - size;
        start(request, NULL, length);
    }
    if (answer->is_started) {
        answer->delivered += size;
        pump(request);
        if (request->attempt.exchange != NULL &&
            answer->pending.size >=
                request->server->settings.max_unsent_response) {
            exch_set_paused(request->attempt.exchange, true);
        }
    }
    return true;
}

static bool
is_between_events(const call_request *request)
{
    const call_stream *stream = request->stream;

    return stream == NULL || (stream->line_size == 0 && stream->is_blank);
}

static void
add_outcome_event(call_request *request, const out_outcome *outcome)
{
    char text[ERROR_SIZE];
    int size = snprintf(
        text, sizeof text,
        "%sevent: lavender-outcome\ndata: {\"outcome\": \"%s\", "
        "\"kind\": \"%s\", \"message\": \"%s\", \"remedy\": \"%s\"}\n\n",
        is_between_events(request) ? "" : "\n\n", out_kind_name(outcome->kind),
        out_reason_name(outcome->reason), out_reason_message(outcome->reason),
        out_reason_remedy(outcome->reason));

    if (!buffer_add(&request->answer.pending, text, (size_t)size)) {
        request->answer.is_cut = true;
    }
}

void
answer_end(call_request *request, const out_outcome *outcome)
{
    call_answer *answer = &request->answer;

    if (request->req == NULL) {
        return;
    }
    if (!answer->is_started) {
        if (outcome->kind != OUT_DONE || answer->status == 0) {
            answer_refuse(request, outcome);
            return;
        }
        start(request, out_kind_name(outcome->kind), answer->pending.size);
    }
    else if (answer->is_event_stream) {
        add_outcome_event(request, outcome);
    }
    else if (outcome->kind != OUT_DONE) {
        answer->is_cut = true;
    }
    answer->is_ended = true;
    pump(request);
}

void
answer_text(call_request *request, int status, const char *content_type,
            const char *outcome, const char *body, size_t size)
{
    h2o_req_t *req = request->req;

    if (req == NULL) {
        return;
    }
    request->answer.is_started = true;
    request->answer.is_ended = true;
    request->answer.is_final = true;
    req->res.status = status;
    req->res.reason = phrase_of(status);
    req->res.content_length = size;
    if (content_type[0] != '\0') {
        add_header(req, "content-type", content_type);
    }
    add_number_header(request);
    add_header(req, "lavender-outcome", outcome);
    if (request->server->is_draining) {
        req->http1_is_persistent = 0;
    }
    request->server->counts.body_bytes_out += size;
    count_first_byte(request);
    h2o_send_inline(req, body, size);
}

void
answer_json_error(call_request *request, int status, const char *kind,
                  const char *message, const char *remedy, const char *outcome)
{
    char text[ERROR_SIZE];
    int size = snprintf(text, sizeof text,
                        "{\"error\": {\"kind\": \"%s\", \"message\": \"%s\", "
                        "\"remedy\": \"%s\", \"outcome\": \"%s\"}}\n",
                        kind, message, remedy, outcome);

    answer_text(request, status, "application/json", outcome, text,
                (size_t)size);
}

void
answer_add_retry_after(call_request *request, lv_time retry_after)
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
answer_refuse(call_request *request, const out_outcome *outcome)
{
    answer_add_retry_after(request, outcome->retry_after);
    answer_json_error(
        request, out_reason_status(outcome->reason),
        out_reason_name(outcome->reason), out_reason_message(outcome->reason),
        out_reason_remedy(outcome->reason), out_kind_name(outcome->kind));
}

void
answer_remembered(call_request *request, const tkt_answer *answer)
{
    if (request->req == NULL) {
        return;
    }
    add_header(request->req, "lavender-replayed", "1");
    if (answer->status == 0) {
        answer_refuse(request, &answer->outcome);
        return;
    }
    if (answer->is_truncated) {
        answer_json_error(request, 410, "answer-not-kept",
                          "the work ended, but its answer was longer than "
                          "this router remembers",
                          "look the result up at the service",
                          out_kind_name(answer->outcome.kind));
        return;
    }
    answer_text(request, answer->status, answer->content_type,
                out_kind_name(answer->outcome.kind), answer->body,
                answer->body_size);
}

void
answer_finish(call_request *request)
{
    h2o_mem_clear_pool(&request->answer.pool);
    buffer_finish(&request->answer.pending);
    buffer_finish(&request->answer.sending);
    buffer_finish(&request->answer.kept);
}
