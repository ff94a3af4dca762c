#include <stdio.h>
#include <string.h>

#include "gate-imp.h"

/* Answers up to this size are buffered until they are whole, so that a broken
 * one is not forwarded. */
#define MAX_BUFFERED_ANSWER ((size_t)1024 * 1024)

/* Reading from an endpoint is paused when its caller leaves this much unread.
 */
#define MAX_UNREAD_BYTES ((size_t)256 * 1024)

static const back_exchange_ops exchange_ops;

static void
write_request_message(const gate_request *request, buf_buffer *to)
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
        .timeout = lv_elapsed(request->answer_deadline, io_now())};

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
report_prompt_block(gate_request *request)
{
    const eng_prompt *prompt = &request->decoded.prompt;

    /* A prompt block is used with all blocks before it, so reporting the last
     * shared one is enough: the last block of a prompt belongs to the request
     * or its session alone. */
    if (prompt->block_count >= 2) {
        uint32_t last_shared = prompt->block_count - 2;

        peers_report_block_use(&request->gate->peers,
                               request->attempt.endpoint,
                               prompt->blocks[last_shared].prefix_hash);
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
    exchange->is_non_repeatable = !rt_may_retry(request->route);
    exchange->is_head_request =
        strcmp(request->connection->head->method, "HEAD") == 0;
    snprintf(exchange->id, sizeof exchange->id, "%s",
             request->decoded.attempt_id != NULL ? request->decoded.attempt_id
                                                 : "");
    buf_init(&message);
    write_request_message(request, &message);
    buf_clear(&request->headers);
    buf_clear(&request->body);
    buf_clear(&request->partial_event);
    request->was_not_run = false;
    request->is_answer_dropped = false;
    request->state = GATE_RUNNING;
    request->sends++;
    request->last_data_at = io_now();
    eng_start_predicted(&gate->endpoints, endpoint, &request->decoded.prompt,
                        &request->decision.prediction, io_now(),
                        &request->attempt);
    report_prompt_block(request);
    is_started = !message.has_failed &&
                 back_start_exchange(&gate->endpoint_pool, exchange, endpoint,
                                     &message);
    buf_finish(&message);
    if (!is_started) {
        eng_end_request(&gate->endpoints, &request->attempt, io_now());
        request->state = GATE_QUEUED;
    }
    return is_started;
}

static void
end_attempt(gate_request *request)
{
    if (request->state == GATE_RUNNING) {
        eng_end_request(&request->gate->endpoints, &request->attempt,
                        io_now());
        request->state = GATE_QUEUED;
        request->gate->has_pending_updates = true;
    }
}

void
gate_cancel_attempt(gate_request *request)
{
    if (request->exchange.connection != NULL) {
        bool may_run =
            back_was_sent(&request->exchange) && !request->was_not_run;

        request->may_have_run = request->may_have_run || may_run;
        request->runs += may_run;
        back_cancel_exchange(&request->exchange);
    }
    end_attempt(request);
}

static void
record_outcome(gate_request *request, bool has_succeeded, bool is_unreachable)
{
    eng_endpoint *endpoint =
        eng_at(&request->gate->endpoints, request->attempt.endpoint);

    if (has_succeeded) {
        out_record_success(&endpoint->outlier, io_now());
    }
    else {
        out_record_failure(&endpoint->outlier, is_unreachable, io_now());
    }
}

static void
record_first_output(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();

    request->has_begun = true;
    if (!request->attempt.has_first_token) {
        met_histogram_add(&gate->first_output_times[request->route->kind],
                          lv_elapsed(now, request->received_at));
        met_histogram_add(&gate->prediction_errors,
                          lv_elapsed(now, request->attempt.first_token_due));
        eng_record_first_token(&gate->endpoints, &request->attempt, now);
        gate->has_pending_updates = true;
    }
}

static void
begin_answer(gate_request *request)
{
    if (!request->has_answer_begun) {
        request->has_answer_begun = true;
        request->is_close_delimited = request->is_unframed;
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
    request->is_answer_dropped = request->was_not_run;
    if (request->is_answer_dropped) {
        return;
    }
    if (is_success(request) && !answer->is_sealed) {
        /* Without a seal it is not the endpoint's own answer. */
        request->is_answer_dropped = true;
        request->status = 0;
        return;
    }
    if (request->has_answer_begun && !is_success(request)) {
        request->is_answer_dropped = true; /* cannot continue the stream */
        return;
    }
    request->gate->wire->write_response(&request->headers, head);
    if (!request->is_stream) {
        record_first_output(request);
    }
}

static void
forward_stream_data(gate_request *request, const char *data, size_t size)
{
    begin_answer(request);
    if (request->route->is_resumable) {
        if (!gate_forward_events(request, data, size)) {
            request->ops->fail(request, 502, "no-memory");
            return;
        }
    }
    else {
        front_send_body(request->connection, data, size);
    }
    if (request->state == GATE_RUNNING &&
        io_write_queue_size(&request->connection->stream) > MAX_UNREAD_BYTES) {
        request->is_paused = true;
        back_pause_exchange(&request->exchange);
    }
}

static void
on_body(back_exchange *exchange, const char *data, size_t size)
{
    gate_request *request = (gate_request *)exchange;

    if (request->is_answer_dropped) {
        return;
    }
    request->last_data_at = io_now();
    record_first_output(request);
    if (request->is_stream && is_success(request)) {
        forward_stream_data(request, data, size);
        return;
    }
    if (request->has_answer_begun) {
        front_send_body(request->connection, data, size);
        return;
    }
    buf_append(&request->body, data, size);
    if (request->body.size > MAX_BUFFERED_ANSWER) {
        begin_answer(request);
        front_send_body(request->connection, request->body.data,
                        request->body.size);
        buf_clear(&request->body);
    }
}

/* Ends the answer to the caller. An answer that ends with its connection may
 * have been cut, so it must not be framed as if it were complete. */
static void
finish_answer(gate_request *request)
{
    gate_server *gate = request->gate;
    bool is_served = request->status < 500;

    if (request->is_unframed) {
        begin_answer(request);
        if (!request->is_close_delimited) {
            request->ops->fail(request, 502, "no-frame");
            return;
        }
        front_send_body(request->connection, request->body.data,
                        request->body.size);
    }
    if (request->has_answer_begun) {
        if (request->partial_event.size > 0) {
            front_send_body(request->connection, request->partial_event.data,
                            request->partial_event.size);
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
    if (is_served) {
        gate->counts.served++;
    }
    else {
        gate->counts.failed++;
    }
    request->ops->end(request, is_served ? "served" : "endpoint-error",
                      "whole");
}

void
gate_exclude_endpoint(gate_request *request)
{
    if (request->tried_count < ADM_TRIED_MAX) {
        request->tried[request->tried_count++] = request->attempt.endpoint;
    }
}

static void
retry_elsewhere(gate_request *request, const char *reason)
{
    gate_exclude_endpoint(request);
    request->ops->retry(request, reason);
}

/* Forwards a whole answer, or retries a request that was not run or failed. */
static void
handle_whole_answer(gate_request *request)
{
    bool is_failure = request->status >= 500 || request->status == 0;

    if (request->was_not_run) {
        /* The endpoint accepts no work now, or its address belongs to another
         * one by now. */
        record_outcome(request, false, false);
        retry_elsewhere(request, "not-run");
        return;
    }
    request->runs++;
    request->may_have_run = true;
    record_outcome(request, !is_failure, false);
    if (request->is_answer_dropped) {
        retry_elsewhere(request, "not-the-endpoints-answer");
        return;
    }
    if (is_failure && request->ops->take_retry(request)) {
        gate_exclude_endpoint(request);
        request->ops->decide(request);
        return;
    }
    finish_answer(request);
}

/* Nothing was sent, so the request goes to another endpoint without using the
 * retry budget, and still counts as not run. */
static void
handle_unreached(gate_request *request, const char *reason)
{
    record_outcome(request, false, true);
    request->sends--;
    gate_exclude_endpoint(request);
    if (request->tried_count == ADM_TRIED_MAX) {
        request->ops->fail(request, 502, reason);
        return;
    }
    request->ops->decide(request);
}

static void
on_end(back_exchange *exchange, back_outcome outcome, const char *reason)
{
    gate_request *request = (gate_request *)exchange;

    end_attempt(request);
    switch (outcome) {
    case BACK_COMPLETE:
        handle_whole_answer(request);
        break;
    case BACK_NOT_SENT:
        handle_unreached(request, reason);
        break;
    case BACK_NO_RESPONSE:
    case BACK_TRUNCATED:
        request->runs++;
        request->may_have_run = true;
        record_outcome(request, false, false);
        retry_elsewhere(request, reason);
        break;
    }
}

static const back_exchange_ops exchange_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};
