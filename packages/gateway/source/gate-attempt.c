#include <stdio.h>
#include <string.h>

#include "gate-imp.h"

/* Answers up to this size are read whole before they are passed on, so that
 * a broken one can be told from a whole one. */
#define WHOLE_ANSWER_MAX ((size_t)1024 * 1024)

/* A caller that leaves so much unread stops its endpoint's stream. */
#define UNREAD_MAX ((size_t)256 * 1024)

static const back_exchange_ops exchange_ops;

static void
write_message(const gate_request *request, buf_buffer *to)
{
    const gate_server *gate = request->gate;
    const http_head *head = request->connection->head;
    const buf_buffer *body = &request->connection->body;
    wire_forward forward = {
        .endpoint =
            eng_at(&gate->endpoints, request->decision.endpoint)->spec.name,
        .account = request->account != NULL ? request->account->name : NULL,
        .last_event_id =
            request->last_event_id[0] != '\0' ? request->last_event_id : NULL,
        .timeout = lv_elapsed(request->give_up_at, io_now())};

    buf_append_text(to, head->method);
    buf_append_text(to, " ");
    buf_append_text(to, head->target);
    buf_append_text(to, " HTTP/1.1\r\n");
    gate->wire->write_request(to, head, &forward);
    if (head->framing != HTTP_NO_BODY) {
        buf_append_format(to, "Content-Length: %zu\r\n", body->size);
    }
    buf_append_text(to, "\r\n");
    buf_append(to, body->data, body->size);
}

static void
note_parts(gate_request *request)
{
    const eng_prompt *prompt = &request->wire.prompt;

    /* A part is used with all before it, so the last shared one says it: the
     * last of all belongs to the request or its session alone. */
    if (prompt->part_count >= 2) {
        uint32_t shared = prompt->part_count - 2;

        peers_report_block_use(&request->gate->peers, request->use.endpoint,
                               prompt->parts[shared].chain);
    }
}

bool
gate_start_attempt(gate_request *request)
{
    gate_server *gate = request->gate;
    back_exchange *exchange = &request->exchange;
    lv_handle endpoint = request->decision.endpoint;
    buf_buffer message;
    bool is_started;

    exchange->ops = &exchange_ops;
    exchange->is_non_repeatable = !rt_may_repeat(request->route);
    exchange->is_head_request =
        strcmp(request->connection->head->method, "HEAD") == 0;
    snprintf(exchange->id, sizeof exchange->id, "%s",
             request->wire.attempt_id != NULL ? request->wire.attempt_id : "");
    buf_init(&message);
    write_message(request, &message);
    buf_clear(&request->headers);
    buf_clear(&request->body);
    buf_clear(&request->piece);
    request->was_not_run = false;
    request->drops_answer = false;
    request->state = GATE_RUNNING;
    request->sends++;
    request->last_piece_at = io_now();
    eng_start_as(&gate->endpoints, endpoint, &request->wire.prompt,
                 &request->decision.prediction, io_now(), &request->use);
    note_parts(request);
    is_started =
        !message.has_failed &&
        back_start_exchange(&gate->back, exchange, endpoint, &message);
    buf_finish(&message);
    if (!is_started) {
        eng_end(&gate->endpoints, &request->use, io_now());
        request->state = GATE_HELD;
    }
    return is_started;
}

static void
end_use(gate_request *request)
{
    if (request->state == GATE_RUNNING) {
        eng_end(&request->gate->endpoints, &request->use, io_now());
        request->state = GATE_HELD;
        request->gate->has_news = true;
    }
}

void
gate_cancel_attempt(gate_request *request)
{
    if (request->exchange.connection != NULL) {
        request->may_have_run = request->may_have_run || !request->was_not_run;
        request->runs += !request->was_not_run;
        back_cancel_exchange(&request->exchange);
    }
    end_use(request);
}

static void
note_outcome(gate_request *request, bool is_good, bool is_hard)
{
    eng_endpoint *endpoint =
        eng_at(&request->gate->endpoints, request->use.endpoint);

    if (is_good) {
        out_success(&endpoint->outlier, io_now());
    }
    else {
        out_failure(&endpoint->outlier, is_hard, io_now());
    }
}

static void
note_first(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();

    if (!request->use.has_first) {
        met_histogram_add(&gate->waits[request->route->kind],
                          lv_elapsed(now, request->received));
        met_histogram_add(&gate->errors,
                          lv_elapsed(now, request->use.expected_first));
        eng_first(&gate->endpoints, &request->use, now);
        gate->has_news = true;
    }
}

static void
begin_stream(gate_request *request)
{
    if (!request->has_begun) {
        request->has_begun = true;
        request->is_close_ended = request->is_unframed;
        front_begin_response(request->connection, request->status,
                             &request->headers,
                             request->is_unframed ? FRONT_SIZE_UNTIL_CLOSE
                                                  : FRONT_SIZE_UNKNOWN);
    }
}

static bool
is_success(const gate_request *request)
{
    return request->status / 100 == 2;
}

static void
on_head(back_exchange *exchange, const http_head *head,
        const wire_response *answer)
{
    gate_request *request = (gate_request *)exchange;

    request->status = head->status;
    request->is_unframed = head->framing == HTTP_UNTIL_CLOSE;
    request->was_not_run = answer->was_not_executed && head->status / 100 != 2;
    request->drops_answer = request->was_not_run;
    if (request->drops_answer) {
        return;
    }
    if (is_success(request) && !answer->is_sealed) {
        /* Not the endpoint's own answer, whatever it is. */
        request->drops_answer = true;
        request->status = 0;
        return;
    }
    if (request->has_begun && !is_success(request)) {
        request->drops_answer = true; /* the stream cannot go on with it */
        return;
    }
    request->gate->wire->write_response(&request->headers, head);
    if (!request->is_stream) {
        note_first(request);
    }
}

static void
pass_piece(gate_request *request, const char *data, size_t size)
{
    begin_stream(request);
    if (request->route->is_resumable) {
        if (!gate_pass_events(request, data, size)) {
            request->steps->give_up(request, 502, "no-memory");
            return;
        }
    }
    else {
        front_send_body(request->connection, data, size);
    }
    if (request->state == GATE_RUNNING &&
        io_write_queue_size(&request->connection->stream) > UNREAD_MAX) {
        request->is_paused = true;
        back_pause_exchange(&request->exchange);
    }
}

static void
on_body(back_exchange *exchange, const char *data, size_t size)
{
    gate_request *request = (gate_request *)exchange;

    if (request->drops_answer) {
        return;
    }
    request->last_piece_at = io_now();
    note_first(request);
    if (request->is_stream && is_success(request)) {
        pass_piece(request, data, size);
        return;
    }
    if (request->has_begun) {
        front_send_body(request->connection, data, size);
        return;
    }
    buf_append(&request->body, data, size);
    if (request->body.size > WHOLE_ANSWER_MAX) {
        begin_stream(request);
        front_send_body(request->connection, request->body.data,
                        request->body.size);
        buf_clear(&request->body);
    }
}

/* An answer that ends with its connection may have been cut. It must not get
 * a frame that says it is whole. */
static void
pass_whole(gate_request *request)
{
    gate_server *gate = request->gate;
    bool is_good = request->status < 500;

    if (request->is_unframed) {
        begin_stream(request);
        if (!request->is_close_ended) {
            request->steps->give_up(request, 502, "no-frame");
            return;
        }
        front_send_body(request->connection, request->body.data,
                        request->body.size);
    }
    if (request->has_begun) {
        if (request->piece.size > 0) {
            front_send_body(request->connection, request->piece.data,
                            request->piece.size);
        }
        front_end_response(request->connection);
    }
    else {
        front_begin_response(request->connection, request->status,
                             &request->headers, request->body.size);
        front_send_body(request->connection, request->body.data,
                        request->body.size);
        front_end_response(request->connection);
    }
    if (is_good) {
        gate->counts.served++;
    }
    else {
        gate->counts.failed++;
    }
    request->steps->end(request, is_good ? "served" : "endpoint-error",
                        "whole");
}

static void
try_elsewhere(gate_request *request, const char *reason)
{
    request->tried[request->tried_count++] = request->use.endpoint;
    request->steps->try_again(request, reason);
}

/* The answer is whole, but is it one to pass on? */
static void
take_whole_answer(gate_request *request)
{
    bool is_failure = request->status >= 500 || request->status == 0;

    if (request->was_not_run) {
        /* It takes no more work for now, or is another one by now. */
        note_outcome(request, false, false);
        try_elsewhere(request, "not-run");
        return;
    }
    request->runs++;
    request->may_have_run = true;
    note_outcome(request, !is_failure, false);
    if (request->drops_answer) {
        try_elsewhere(request, "not-the-endpoints-answer");
        return;
    }
    if (is_failure && request->steps->may_repeat(request)) {
        request->tried[request->tried_count++] = request->use.endpoint;
        request->steps->decide(request);
        return;
    }
    pass_whole(request);
}

/* Nothing was sent, so that neither the budget nor a promise is touched. */
static void
take_unreached(gate_request *request, const char *reason)
{
    note_outcome(request, false, true);
    request->sends--;
    request->tried[request->tried_count++] = request->use.endpoint;
    if (request->tried_count == ADM_TRIED_MAX) {
        request->steps->give_up(request, 502, reason);
        return;
    }
    request->steps->decide(request);
}

static void
on_end(back_exchange *exchange, back_outcome outcome, const char *reason)
{
    gate_request *request = (gate_request *)exchange;

    end_use(request);
    switch (outcome) {
    case BACK_COMPLETE:
        take_whole_answer(request);
        break;
    case BACK_NOT_SENT:
        take_unreached(request, reason);
        break;
    case BACK_NO_RESPONSE:
    case BACK_TRUNCATED:
        request->runs++;
        request->may_have_run = true;
        note_outcome(request, false, false);
        try_elsewhere(request, reason);
        break;
    }
}

static const back_exchange_ops exchange_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};
