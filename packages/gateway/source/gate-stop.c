#include "gate-imp.h"

/* How long the last answers may take to reach their callers, at most half of
 * the drain reserve. */
#define STOP_TIMEOUT (200 * LV_MILLISECOND)

/* A request that is passed on from now on must have its answer before the
 * process exits. */
static bool
is_late_in_drain(const gate_server *gate, lv_time now)
{
    return gate->is_draining &&
           lv_elapsed(now, gate->drain_since) >= gate->settings.min_drain;
}

static lv_time
stop_time(const gate_server *gate)
{
    return gate->drain_since + gate->settings.shutdown_grace -
           gate->settings.drain_reserve;
}

bool
gate_refuse_late_in_drain(gate_request *request)
{
    gate_server *gate = request->gate;

    if (!is_late_in_drain(gate, io_now()) ||
        request->answer_deadline < stop_time(gate) || request->may_have_run ||
        request->has_answer_begun || gate_find_set_aside(request) != NULL) {
        return false;
    }
    gate_refuse_request(request, 503, gate->settings.admission.min_retry_after,
                        "draining");
    return true;
}

static void
close_connections(gate_server *gate)
{
    front_close_all(&gate->callers);
    front_close_all(&gate->readiness);
}

static void
on_stop_timeout(uv_timer_t *timer)
{
    close_connections(timer->data);
}

void
gate_stop_listeners(gate_server *gate)
{
    lv_time timeout = gate->settings.drain_reserve / 2;

    if (timeout > STOP_TIMEOUT) {
        timeout = STOP_TIMEOUT;
    }
    front_stop_listening(&gate->callers);
    front_stop_listening(&gate->readiness);
    front_stop(&gate->callers);
    front_stop(&gate->readiness);
    uv_timer_start(&gate->timer, on_stop_timeout, timeout / LV_MILLISECOND, 0);
    uv_unref((uv_handle_t *)&gate->timer);
    uv_run(gate->loop, UV_RUN_DEFAULT);
    /* The loop does not wait for connections that are not read. */
    close_connections(gate);
    uv_close((uv_handle_t *)&gate->timer, NULL);
    uv_run(gate->loop, UV_RUN_DEFAULT);
}
