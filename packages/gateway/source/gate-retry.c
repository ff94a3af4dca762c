#include "gate-imp.h"

void
gate_exclude_endpoint(gate_request *request)
{
    lv_handle endpoint = request->attempt->reservation.endpoint;
    uint32_t i;

    gate_exclude_source(request);
    for (i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == endpoint) {
            return;
        }
    }
    if (request->tried_count < ADM_TRIED_MAX) {
        request->tried[request->tried_count++] = endpoint;
    }
}

/* Of an answer that has begun only a stream can go on at another endpoint. */
static bool
can_go_on(const gate_request *request)
{
    return !request->has_answer_begun || request->last_event_id[0] != '\0';
}

bool
gate_may_retry(gate_request *request)
{
    gate_server *gate = request->gate;
    gate_service_budget *budget = gate_find_budget(gate, request->service);
    lv_time now = io_now();
    bool has_attempt_left = request->runs < request->route->max_attempts;

    if (request->may_have_run && !rt_may_retry(request->route)) {
        return false;
    }
    if (!can_go_on(request) || !has_attempt_left ||
        request->sends >= GATE_MAX_SENDS ||
        request->tried_count == ADM_TRIED_MAX ||
        now + request->route->target / 4 >= request->answer_deadline) {
        return false;
    }
    request->is_retry_due =
        budget != NULL &&
        bud_retries_left(&budget->budget, peers_max_instances(&gate->peers),
                         now) > 0;
    return request->is_retry_due;
}

bool
gate_spend_retry(gate_request *request)
{
    gate_server *gate = request->gate;
    gate_service_budget *budget = gate_find_budget(gate, request->service);

    if (!request->is_retry_due) {
        return true;
    }
    request->is_retry_due = false;
    if (!bud_take_retry(&budget->budget, peers_max_instances(&gate->peers),
                        io_now())) {
        return false;
    }
    gate->counts.retries++;
    return true;
}

void
gate_retry_request(gate_request *request, const char *reason)
{
    gate_cancel_attempt(request->attempt);
    if (!gate_may_retry(request)) {
        gate_give_up_request(request, 502, reason);
        return;
    }
    gate_log_step(request, "again", reason);
    gate_decide_request(request);
}
