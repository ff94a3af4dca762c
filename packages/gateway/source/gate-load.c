#include "gate-imp.h"

/* Delays below this are not logged, others at most this often. */
#define LOGGED_DELAY (80 * LV_MILLISECOND)
#define DELAY_LOG_INTERVAL LV_SECOND

static void
log_delay(gate_server *gate, lv_time delay, lv_time now)
{
    if (delay > gate->worst_delay) {
        gate->worst_delay = delay;
    }
    if (gate->worst_delay < LOGGED_DELAY ||
        lv_elapsed(now, gate->delay_logged_at) < DELAY_LOG_INTERVAL) {
        return;
    }
    log_event(LOG_LEVEL_WARNING, now, "late",
              "worst_ms=%llu late_ticks=%u in_hand=%u callers=%u "
              "endpoint_connections=%u",
              (unsigned long long)(gate->worst_delay / LV_MILLISECOND),
              gate->overload.late_ticks, gate->request_count,
              gate->callers.connection_count,
              gate->endpoint_pool.connection_count);
    gate->delay_logged_at = now;
    gate->worst_delay = 0;
}

void
gate_record_tick(gate_server *gate, lv_time now)
{
    ovl_detector *overload = &gate->overload;
    bool was_overloaded = overload->is_overloaded;
    lv_time delay = ovl_record_tick(overload, now);

    met_histogram_add(&gate->tick_delays, delay);
    if (ovl_is_late(overload)) {
        peers_drain(&gate->peers);
    }
    if (overload->is_overloaded != was_overloaded) {
        log_event(LOG_LEVEL_WARNING, now, "overload", "change=%s in_hand=%u",
                  overload->is_overloaded ? "begins" : "ends",
                  gate->request_count);
    }
    log_delay(gate, delay, now);
}
