#include "gate-imp.h"

/* From an attempt that could not start, or failed, to the next. */
#define ATTEMPT_INTERVAL (100 * LV_MILLISECOND)

static gate_attempt *
other_attempt(gate_request *request)
{
    return request->attempt == &request->attempts[0] ? &request->attempts[1]
                                                     : &request->attempts[0];
}

/* The next attempt names the endpoint of the stalled one in the log until it
 * is started. */
static void
set_attempt_aside(gate_request *request)
{
    gate_attempt *stalled = request->attempt;
    gate_attempt *next = other_attempt(request);

    gate_count_possible_run(stalled);
    next->reservation = stalled->reservation;
    next->status = stalled->status;
    next->last_data_at = stalled->last_data_at;
    request->stalled = stalled;
    request->attempt = next;
    request->state = GATE_QUEUED;
    request->grant_denials = 0;
    request->gate->counts.stalls++;
}

/* Also an endpoint that is sound may be silent for a while, so its attempt is
 * cancelled only when another endpoint has answered. */
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
    if (decision.verdict != ADM_START || !request->ops->take_retry(request)) {
        request->next_attempt_after = now + ATTEMPT_INTERVAL;
        return;
    }
    out_record_failure(&eng_at(&gate->endpoints, endpoint)->outlier, false,
                       now);
    gate_exclude_endpoint(request);
    set_attempt_aside(request);
    gate_log_step(request, "again", "silent");
    gate_decide_request(request);
}

void
gate_resume_stalled_attempt(gate_request *request, const char *reason)
{
    gate_cancel_attempt(request->attempt);
    request->attempt = request->stalled;
    request->stalled = NULL;
    request->state = GATE_RUNNING;
    request->decision.endpoint = request->attempt->reservation.endpoint;
    request->next_attempt_after = io_now() + ATTEMPT_INTERVAL;
    request->gate->counts.stalls_resumed++;
    gate_log_step(request, "resume", reason);
}

void
gate_wait_to_resume(gate_request *request, const char *reason)
{
    request->state = GATE_QUEUED;
    request->grant_denials = 0;
    request->next_attempt_after = io_now() + ATTEMPT_INTERVAL;
    gate_log_step(request, "hold", reason);
}

lv_time
gate_waiting_since(const gate_request *request)
{
    return request->has_answer_begun ? request->attempt->last_data_at
                                     : request->received_at;
}
