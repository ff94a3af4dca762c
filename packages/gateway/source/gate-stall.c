#include "gate-imp.h"

/* From an attempt that could not start, or failed, to the next. */
#define ATTEMPT_INTERVAL (100 * LV_MILLISECOND)

/* There is one: an attempt set aside was sent, and another one is decided only
 * while fewer than GATE_MAX_SENDS were. */
static gate_attempt *
find_free_attempt(gate_request *request)
{
    gate_attempt *attempt = request->attempts;

    while (attempt->is_set_aside) {
        attempt++;
    }
    return attempt;
}

/* Until the next attempt is started, the log names the endpoint of this one
 * for it. */
void
gate_set_attempt_aside(gate_request *request)
{
    gate_attempt *attempt = request->attempt;
    gate_attempt *next;

    gate_count_possible_run(attempt);
    attempt->is_set_aside = true;
    if (attempt->exchange.has_response_head && !attempt->is_whole) {
        attempt->is_answer_dropped =
            attempt->is_answer_dropped || gate_must_drop_answer(attempt);
    }
    next = find_free_attempt(request);
    next->reservation = attempt->reservation;
    next->status = attempt->status;
    next->last_data_at = attempt->last_data_at;
    request->attempt = next;
    request->state = GATE_QUEUED;
    request->grant_denials = 0;
    request->limit_denials = 0;
    request->cold_denials = 0;
}

gate_attempt *
gate_find_set_aside(const gate_request *request)
{
    const gate_attempt *found = NULL;
    int i;

    for (i = 0; i < GATE_MAX_SENDS; i++) {
        const gate_attempt *attempt = &request->attempts[i];

        if (attempt->is_set_aside && (found == NULL || found->is_whole)) {
            found = attempt;
        }
    }
    return (gate_attempt *)found;
}

static void
record_silence(gate_attempt *attempt, lv_time now)
{
    eng_table *endpoints = &attempt->request->gate->endpoints;

    if (!attempt->is_silence_recorded) {
        attempt->is_silence_recorded = true;
        out_record_failure(
            &eng_at(endpoints, attempt->reservation.endpoint)->outlier, false,
            now);
    }
}

/* A sound endpoint may be silent for a while, too, so its attempt is cancelled
 * only when another endpoint has answered. */
void
gate_reroute_request(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_handle endpoint = request->attempt->reservation.endpoint;
    lv_time now = io_now();
    adm_request admission;
    adm_decision decision;

    if (now < request->next_attempt_after) {
        return;
    }
    gate_fill_admission(request, now, &admission);
    admission.tried[admission.tried_count++] = endpoint;
    adm_decide(&gate->settings.admission, &gate->endpoints, &admission, now,
               &decision);
    if (decision.verdict != ADM_START || !gate_may_retry(request)) {
        request->next_attempt_after = now + ATTEMPT_INTERVAL;
        return;
    }
    record_silence(request->attempt, now);
    gate_exclude_endpoint(request);
    gate->counts.stalls++;
    gate_set_attempt_aside(request);
    gate_log_step(request, "again", "silent");
    gate_decide_request(request);
}

void
gate_go_on_with(gate_attempt *attempt, const char *reason)
{
    gate_request *request = attempt->request;

    gate_cancel_attempt(request->attempt);
    attempt->is_set_aside = false;
    request->attempt = attempt;
    request->state = GATE_RUNNING;
    request->decision.endpoint = attempt->reservation.endpoint;
    request->grant_denials = 0;
    request->limit_denials = 0;
    request->is_retry_due = false;
    request->next_attempt_after = io_now() + ATTEMPT_INTERVAL;
    gate_log_step(request, "resume", reason);
    if (attempt->is_whole) {
        gate_finish_answer(attempt);
    }
    else {
        request->gate->counts.stalls_resumed++;
    }
}

void
gate_choose_attempt(gate_attempt *attempt)
{
    gate_request *request = attempt->request;
    gate_attempt *other;

    if (attempt->is_set_aside) {
        gate_go_on_with(attempt, "answered");
    }
    while ((other = gate_find_set_aside(request)) != NULL) {
        gate_cancel_attempt(other);
        other->is_set_aside = false;
    }
}

void
gate_wait_to_resume(gate_request *request, const char *reason)
{
    request->state = GATE_QUEUED;
    request->grant_denials = 0;
    request->limit_denials = 0;
    request->next_attempt_after = io_now() + ATTEMPT_INTERVAL;
    gate_log_step(request, "hold", reason);
}

lv_time
gate_waiting_since(const gate_request *request)
{
    return request->has_answer_begun ? request->attempt->last_data_at
                                     : request->received_at;
}
