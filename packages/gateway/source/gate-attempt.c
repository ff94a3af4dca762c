#include <stdio.h>
#include <string.h>

#include "gate-imp.h"

/* Answers up to this size are buffered until they are whole, so that a broken
 * one is not forwarded. */
#define MAX_BUFFERED_ANSWER ((size_t)1024 * 1024)
#define MAX_SCARCE_BUFFERED_ANSWER ((size_t)64 * 1024) /* memory is scarce */

/* Reading from an endpoint is paused when its caller leaves this much unread.
 * The limits exceed what one read can add: only then does a write wait, whose
 * end resumes reading. */
#define MAX_UNREAD_BYTES ((size_t)256 * 1024)
#define MAX_SCARCE_UNREAD_BYTES ((size_t)128 * 1024) /* memory is scarce */

static const back_exchange_ops exchange_ops;

static void
report_prompt_block(const gate_request *request)
{
    const eng_prompt *prompt = &request->decoded.prompt;

    /* A prompt block is used with all blocks before it, so reporting the last
     * shared one is enough: the last block of a prompt belongs to the request
     * or its session alone. */
    if (prompt->block_count >= 2) {
        uint32_t last_shared = prompt->block_count - 2;

        peers_report_block_use(&request->gate->peers,
                               request->attempt->reservation.endpoint,
                               prompt->blocks[last_shared].prefix_hash);
    }
}

static void
end_attempt(gate_attempt *attempt)
{
    gate_request *request = attempt->request;

    if (!attempt->is_running) {
        return;
    }
    attempt->is_running = false;
    eng_end_request(&request->gate->endpoints, &attempt->reservation,
                    io_now());
    request->gate->has_pending_updates = true;
    if (attempt == request->attempt) {
        request->state = GATE_QUEUED;
    }
}

static void
prepare_exchange(gate_request *request, back_exchange *exchange)
{
    exchange->ops = &exchange_ops;
    exchange->is_non_repeatable = !rt_may_retry(request->route);
    exchange->is_head_request =
        strcmp(request->connection->head->method, "HEAD") == 0;
    exchange->id =
        request->decoded.attempt_id != NULL ? request->decoded.attempt_id : "";
}

bool
gate_start_attempt(gate_request *request)
{
    gate_server *gate = request->gate;
    gate_attempt *attempt = request->attempt;
    lv_handle endpoint = request->decision.endpoint;
    buf_buffer message;
    bool is_started;

    prepare_exchange(request, &attempt->exchange);
    buf_init(&message);
    gate_write_request(request, &message);
    buf_clear(&attempt->headers);
    buf_clear(&attempt->body);
    buf_clear(&attempt->partial_event);
    attempt->is_running = true;
    attempt->is_whole = false;
    attempt->is_counted_run = false;
    attempt->is_silence_recorded = false;
    attempt->was_not_run = false;
    attempt->is_answer_dropped = false;
    attempt->last_data_at = io_now();
    attempt->first_output_at = 0;
    attempt->tail_size = 0;
    attempt->bytes = message.size;
    attempt->is_begun_recorded = false;
    attempt->version = eng_at(&gate->endpoints, endpoint)->spec.version_id;
    request->state = GATE_RUNNING;
    request->sends++;
    gate_count_fetch(request);
    eng_start_predicted(&gate->endpoints, endpoint, &request->decoded.prompt,
                        &request->decision.prediction, io_now(),
                        &attempt->reservation);
    report_prompt_block(request);
    is_started = !message.has_failed &&
                 back_start_exchange(&gate->endpoint_pool, &attempt->exchange,
                                     endpoint, &message);
    buf_finish(&message);
    if (!is_started) {
        end_attempt(attempt);
    }
    return is_started;
}

static void
count_run(gate_attempt *attempt)
{
    gate_request *request = attempt->request;

    request->may_have_run = true;
    request->runs += !attempt->is_counted_run;
    attempt->is_counted_run = true;
}

void
gate_count_possible_run(gate_attempt *attempt)
{
    if (back_was_sent(&attempt->exchange) && !attempt->was_not_run) {
        count_run(attempt);
    }
}

void
gate_cancel_attempt(gate_attempt *attempt)
{
    if (attempt->exchange.connection != NULL) {
        gate_count_possible_run(attempt);
        gate_count_traffic(attempt, back_was_sent(&attempt->exchange));
        back_cancel_exchange(&attempt->exchange);
    }
    end_attempt(attempt);
}

static void
record_outcome(const gate_attempt *attempt, bool has_succeeded,
               bool is_unreachable)
{
    eng_endpoint *endpoint = eng_at(&attempt->request->gate->endpoints,
                                    attempt->reservation.endpoint);

    if (has_succeeded) {
        out_record_success(&endpoint->outlier, io_now());
    }
    else {
        out_record_failure(&endpoint->outlier, is_unreachable, io_now());
    }
}

static void
record_first_output(gate_attempt *attempt)
{
    gate_request *request = attempt->request;
    gate_server *gate = request->gate;
    eng_reservation *reservation = &attempt->reservation;
    lv_time now = io_now();

    request->has_begun = true;
    if (attempt->first_output_at == 0) {
        attempt->first_output_at = now;
    }
    if (!reservation->has_first_token) {
        met_histogram_add(&gate->first_output_times[request->route->kind],
                          lv_elapsed(now, request->received_at));
        met_histogram_add(&gate->prediction_errors,
                          lv_elapsed(now, reservation->first_token_due));
        if (!request->is_stream || attempt->status / 100 != 2 ||
            request->has_answer_begun || request->decoded.resumes != NULL) {
            reservation->work_tokens = 0; /* it was more than prefill */
        }
        eng_record_first_token(&gate->endpoints, reservation, now);
        gate->has_pending_updates = true;
    }
}

static void
on_head(back_exchange *exchange, const http_head *head,
        const wire_response *answer)
{
    gate_attempt *attempt = (gate_attempt *)exchange;
    gate_request *request = attempt->request;

    attempt->status = head->status;
    attempt->is_unframed = head->framing == HTTP_UNTIL_CLOSE;
    attempt->was_not_run = answer->was_not_executed && head->status / 100 != 2;
    attempt->is_false_promise = answer->promises_not_executed &&
                                !attempt->was_not_run &&
                                !rt_may_retry(request->route);
    if (gate_is_success(attempt) && !answer->is_sealed) {
        /* Without a seal it is not the endpoint's own answer. */
        attempt->is_answer_dropped = true;
        attempt->status = 0;
        return;
    }
    attempt->is_answer_dropped = gate_must_drop_answer(attempt);
    if (attempt->is_answer_dropped) {
        return;
    }
    request->gate->wire->write_response(&attempt->headers, head);
    if (!request->is_stream) {
        record_first_output(attempt);
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
handle_whole_answer(gate_attempt *attempt)
{
    gate_request *request = attempt->request;

    if (attempt->was_not_run) {
        /* The endpoint accepts no work now, or its address belongs to another
         * one by now. */
        record_outcome(attempt, false, false);
        retry_elsewhere(request, "not-run");
        return;
    }
    count_run(attempt);
    record_outcome(attempt, !gate_is_failure(attempt), false);
    if (attempt->is_answer_dropped) {
        retry_elsewhere(request, attempt->is_false_promise ? "unmarked-refusal"
                                 : attempt->status >= 500
                                     ? "endpoint-error"
                                     : "not-the-endpoints-answer");
        return;
    }
    if (gate_is_failure(attempt) && request->ops->may_retry(request)) {
        gate_exclude_endpoint(request);
        attempt->is_whole = true;
        gate_set_attempt_aside(request);
        request->ops->decide(request);
        return;
    }
    gate_finish_answer(attempt);
}

/* Nothing was sent, so the request goes to another endpoint without using the
 * retry budget, and still counts as not run. */
static void
handle_unreached(gate_attempt *attempt, const char *reason)
{
    gate_request *request = attempt->request;

    record_outcome(attempt, false, true);
    request->sends--;
    attempt->fetch_source = LV_ID_NONE;
    gate_exclude_endpoint(request);
    if (request->tried_count == ADM_TRIED_MAX) {
        request->ops->give_up(request, 502, reason);
        return;
    }
    request->ops->decide(request);
}

/* The endpoint is not at fault and may be used later. */
static void
handle_withheld(gate_attempt *attempt, const char *reason)
{
    gate_request *request = attempt->request;

    request->sends--;
    gate_log_step(request, "again", reason);
    request->ops->decide(request);
}

/* The current attempt, or the decision on it, goes on. */
static void
drop_set_aside(gate_attempt *attempt, back_outcome outcome)
{
    gate_request *request = attempt->request;

    attempt->is_set_aside = false;
    if (outcome == BACK_NOT_SENT || outcome == BACK_WITHHELD) {
        request->sends--;
    }
    else if (!attempt->was_not_run) {
        count_run(attempt);
    }
    if (outcome != BACK_WITHHELD) {
        record_outcome(attempt, false, outcome == BACK_NOT_SENT);
    }
}

/* The endpoint is closed to the attempt, which is tried elsewhere if it may
 * be.
 */
static void
end_endless_attempt(gate_attempt *attempt, const char *reason)
{
    gate_count_traffic(attempt, true);
    back_cancel_exchange(&attempt->exchange);
    gate_log_cut(attempt, reason);
    end_attempt(attempt);
    if (attempt->is_set_aside) {
        drop_set_aside(attempt, BACK_TRUNCATED);
        return;
    }
    count_run(attempt);
    record_outcome(attempt, false, false);
    retry_elsewhere(attempt->request, reason);
}

size_t
gate_choose_limit(const gate_request *request, size_t limit,
                  size_t scarce_limit)
{
    return front_is_memory_scarce(&request->gate->callers) ? scarce_limit
                                                           : limit;
}

static void
pause_for_caller(gate_attempt *attempt)
{
    gate_request *request = attempt->request;

    if (request->state == GATE_RUNNING &&
        io_write_queue_size(&request->connection->stream) >
            gate_choose_limit(request, MAX_UNREAD_BYTES,
                              MAX_SCARCE_UNREAD_BYTES)) {
        request->is_paused = true;
        back_pause_exchange(&attempt->exchange);
    }
}

static void
forward_stream_data(gate_attempt *attempt, const char *data, size_t size)
{
    gate_request *request = attempt->request;

    gate_note_stream_data(attempt, data, size);
    if (request->route->is_resumable) {
        const char *reason = gate_forward_events(attempt, data, size);

        if (reason != NULL) {
            end_endless_attempt(attempt, reason);
            return;
        }
    }
    else {
        gate_begin_answer(attempt);
        front_send_body(request->connection, data, size);
    }
    pause_for_caller(attempt);
}

static void
on_body(back_exchange *exchange, const char *data, size_t size)
{
    gate_attempt *attempt = (gate_attempt *)exchange;
    gate_request *request = attempt->request;

    attempt->bytes += size;
    if (attempt->is_answer_dropped) {
        return;
    }
    if (attempt->first_output_at == 0 || !request->route->is_resumable) {
        attempt->last_data_at = io_now();
        attempt->is_silence_recorded = false;
    }
    record_first_output(attempt);
    if (request->is_stream && gate_is_success(attempt)) {
        forward_stream_data(attempt, data, size);
        return;
    }
    if (request->has_answer_begun) {
        front_send_body(request->connection, data, size);
        pause_for_caller(attempt);
        return;
    }
    buf_append(&attempt->body, data, size);
    if (attempt->body.size > gate_choose_limit(request, MAX_BUFFERED_ANSWER,
                                               MAX_SCARCE_BUFFERED_ANSWER)) {
        gate_begin_answer(attempt);
        front_send_body(request->connection, attempt->body.data,
                        attempt->body.size);
        buf_finish(&attempt->body);
    }
}

static void
on_end(back_exchange *exchange, back_outcome outcome, const char *reason)
{
    gate_attempt *attempt = (gate_attempt *)exchange;

    gate_count_traffic(attempt,
                       outcome != BACK_NOT_SENT && outcome != BACK_WITHHELD);
    end_attempt(attempt);
    if (outcome == BACK_COMPLETE && gate_ends_in_event(attempt)) {
        outcome = BACK_TRUNCATED;
        reason = "event-cut";
    }
    gate_note_outcome(attempt, outcome, reason);
    if (attempt->is_set_aside &&
        (outcome != BACK_COMPLETE || attempt->is_answer_dropped)) {
        drop_set_aside(attempt, outcome);
        return;
    }
    switch (outcome) {
    case BACK_COMPLETE:
        handle_whole_answer(attempt);
        break;
    case BACK_NOT_SENT:
        handle_unreached(attempt, reason);
        break;
    case BACK_WITHHELD:
        handle_withheld(attempt, reason);
        break;
    case BACK_NO_RESPONSE:
    case BACK_TRUNCATED:
        count_run(attempt);
        record_outcome(attempt, false, false);
        if (gate_is_cause_of_crashes(attempt)) {
            attempt->request->ops->give_up(attempt->request, 502, "suspect");
        }
        else {
            retry_elsewhere(attempt->request, reason);
        }
        break;
    }
}

static const back_exchange_ops exchange_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};
