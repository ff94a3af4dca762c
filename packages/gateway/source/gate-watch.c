#include "gate-imp.h"

/* A first piece is overdue when it is this much of the aim later than
 * predicted; requests that may be repeated then go elsewhere. */
#define OVERDUE_PERCENT 200

/* The same for a pause in a stream, of its aim for pauses. */
#define PAUSE_PERCENT 300

static bool
is_stuck(const gate_request *request, lv_time now)
{
    const rt_route *route = request->route;

    if (!rt_may_repeat(route) || request->runs + 1 >= route->max_attempts ||
        request->tried_count + 1 >= ADM_TRIED_MAX) {
        return false;
    }
    if (!request->use.has_first) {
        return now > request->use.expected_first +
                         route->aim * OVERDUE_PERCENT / 100;
    }
    return request->is_stream && !request->is_paused && route->gap_aim > 0 &&
           lv_elapsed(now, request->last_piece_at) >
               route->gap_aim * PAUSE_PERCENT / 100;
}

static void
watch_running(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    eng_endpoint *endpoint = eng_at(&gate->endpoints, request->use.endpoint);

    if (is_stuck(request, now)) {
        gate_leave_silent(request);
        return;
    }
    if (!request->use.has_first) {
        lv_time late = lv_elapsed(now, request->use.expected_first);

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
gate_watch_requests(gate_server *gate, lv_time now)
{
    gate_request *request = gate->requests;

    clear_overdue(&gate->endpoints);
    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_FINISHED) {
            request = next;
            continue;
        }
        if (now >= request->give_up_at) {
            gate_give_up(request, 504, "time-is-up");
        }
        else if (request->state == GATE_RUNNING) {
            watch_running(request, now);
        }
        else if (request->state == GATE_ASKING) {
            gate_watch_ask(request, now);
        }
        else if (request->state == GATE_HELD) {
            gate_decide(request);
        }
        request = next;
    }
}

void
gate_decide_held(gate_server *gate)
{
    gate_request *request = gate->requests;

    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_HELD) {
            gate_decide(request);
        }
        request = next;
    }
}
