#include "gate-imp.h"

/* The first output is overdue when it is later than predicted by this
 * percentage of the latency target; the request is then rerouted if it may be
 * repeated. */
#define OVERDUE_PERCENT 200

/* The same for the time without data in a stream, as a percentage of its
 * target between two events. */
#define STREAM_GAP_PERCENT 300

static bool
is_silent(const gate_request *request, lv_time now)
{
    const rt_route *route = request->route;
    const gate_attempt *attempt = request->attempt;

    if (!attempt->reservation.has_first_token) {
        return now > attempt->reservation.first_token_due +
                         route->target * OVERDUE_PERCENT / 100;
    }
    return request->is_stream && !request->is_paused &&
           route->gap_target > 0 &&
           lv_elapsed(now, attempt->last_data_at) >
               route->gap_target * STREAM_GAP_PERCENT / 100;
}

static bool
is_stalled(const gate_request *request, lv_time now)
{
    const rt_route *route = request->route;
    const gate_attempt *attempt = request->attempt;
    uint32_t runs = request->runs + !attempt->is_counted_run;

    return rt_may_retry(route) && runs < route->max_attempts &&
           request->tried_count + 1 < ADM_TRIED_MAX &&
           back_was_sent(&attempt->exchange) && is_silent(request, now) &&
           !back_has_unseen_event(&attempt->exchange);
}

static void
record_overdue(const gate_attempt *attempt, lv_time now)
{
    const eng_reservation *reservation = &attempt->reservation;
    eng_endpoint *endpoint;
    lv_time late;

    if (!attempt->is_running || reservation->has_first_token) {
        return;
    }
    endpoint =
        eng_at(&attempt->request->gate->endpoints, reservation->endpoint);
    late = lv_elapsed(now, reservation->first_token_due);
    if (late > endpoint->overdue) {
        endpoint->overdue = late;
    }
}

static bool
has_unseen_event(const gate_request *request)
{
    int i;

    for (i = 0; i < GATE_MAX_SENDS; i++) {
        if (back_has_unseen_event(&request->attempts[i].exchange)) {
            return true;
        }
    }
    return false;
}

/* Bytes that endpoints sent before the deadline may be unread when the loop is
 * late; they are read until the next tick. A failure that was kept is the
 * answer after that. */
static void
end_at_deadline(gate_request *request)
{
    gate_attempt *other = gate_find_set_aside(request);

    if (!request->is_past_deadline && has_unseen_event(request)) {
        request->is_past_deadline = true;
    }
    else if (other != NULL && other->is_whole) {
        gate_go_on_with(other, "time-is-up");
    }
    else {
        gate_fail_request(request, 504, "time-is-up");
    }
}

static void
clear_overdue(eng_table *table)
{
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        table->endpoints[row].overdue = 0;
    }
}

void
gate_resume_paused(gate_request *request)
{
    if (request->is_paused &&
        io_write_queue_size(&request->connection->stream) == 0) {
        request->is_paused = false;
        request->attempt->last_data_at = io_now();
        back_resume_exchange(&request->attempt->exchange);
    }
}

void
gate_tick_requests(gate_server *gate, lv_time now)
{
    gate_request *request = gate->requests;
    int i;

    gate_update_zones(gate);
    clear_overdue(&gate->endpoints);
    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_FINISHED) {
            request = next;
            continue;
        }
        for (i = 0; i < GATE_MAX_SENDS; i++) {
            record_overdue(&request->attempts[i], now);
            if (request->attempts[i].is_running) {
                gate_record_begun(&request->attempts[i], false, now);
            }
        }
        gate_resume_paused(request);
        if (now >= request->answer_deadline) {
            end_at_deadline(request);
        }
        else if (request->state == GATE_RUNNING && is_stalled(request, now)) {
            gate_reroute_request(request);
        }
        else if (request->state == GATE_AWAITING_GRANT) {
            gate_check_grant_deadline(request, now);
        }
        else if (request->state == GATE_AWAITING_ORIGIN) {
            gate_check_origin_deadline(request, now);
        }
        else if (request->state == GATE_QUEUED) {
            gate_decide_request(request);
        }
        request = next;
    }
}

void
gate_decide_queued_requests(gate_server *gate)
{
    gate_request *request = gate->requests;

    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_QUEUED) {
            gate_decide_request(request);
        }
        request = next;
    }
}
