#include "gate-imp.h"

/* The first output is overdue when it is later than predicted by this
 * percentage of the latency target; the request is then rerouted if it may be
 * repeated. */
#define OVERDUE_PERCENT 200

/* The same for the time without data in a stream, as a percentage of its
 * target between two events. */
#define STREAM_GAP_PERCENT 300

static bool
is_stalled(const gate_request *request, lv_time now)
{
    const rt_route *route = request->route;

    if (!rt_may_retry(route) || request->runs + 1 >= route->max_attempts ||
        request->tried_count + 1 >= ADM_TRIED_MAX) {
        return false;
    }
    if (!request->attempt.has_first_token) {
        return now > request->attempt.first_token_due +
                         route->target * OVERDUE_PERCENT / 100;
    }
    return request->is_stream && !request->is_paused &&
           route->gap_target > 0 &&
           lv_elapsed(now, request->last_data_at) >
               route->gap_target * STREAM_GAP_PERCENT / 100;
}

static void
check_running(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    eng_endpoint *endpoint =
        eng_at(&gate->endpoints, request->attempt.endpoint);

    if (is_stalled(request, now)) {
        gate_reroute_request(request);
        return;
    }
    if (!request->attempt.has_first_token) {
        lv_time late = lv_elapsed(now, request->attempt.first_token_due);

        if (late > endpoint->overdue) {
            endpoint->overdue = late;
        }
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
gate_tick_requests(gate_server *gate, lv_time now)
{
    gate_request *request = gate->requests;

    clear_overdue(&gate->endpoints);
    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_FINISHED) {
            request = next;
            continue;
        }
        if (now >= request->answer_deadline) {
            gate_fail_request(request, 504, "time-is-up");
        }
        else if (request->state == GATE_RUNNING) {
            check_running(request, now);
        }
        else if (request->state == GATE_AWAITING_GRANT) {
            gate_check_grant_deadline(request, now);
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
