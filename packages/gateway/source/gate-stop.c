#include "gate-imp.h"

/* How long the last answers may take to reach their callers, at most half of
 * the drain reserve. */
#define STOP_TIMEOUT (200 * LV_MILLISECOND)

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
