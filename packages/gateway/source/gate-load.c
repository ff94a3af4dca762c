#include "gate-imp.h"

/* A tick this long after the previous one is far too late: it is half of the
 * shortest latency targets. Requests are shed after MIN_LATE_TICKS of them in
 * a row. */
#define LATE_TICK_INTERVAL (100 * LV_MILLISECOND)
#define MIN_LATE_TICKS 2

/* Percentages of new requests that are refused at once while the process is
 * overloaded. The default applies without an account and while no account is
 * short of its share. An account that got less than LOW_SHARE of its share
 * loses fewer, as its callers may know no other instance; one above, more. */
#define SHED_DEFAULT_PERCENT 50
#define LOW_SHARE 0.75
#define SHED_LOW_SHARE_PERCENT 25
#define SHED_HIGH_SHARE_PERCENT 75

/* The instance leaves the rotation after this many late ticks in a row, and
 * returns this long after the last one: the platform sends its new connections
 * to the other instances of the zone, and their callers learn of several. */
#define OVERLOAD_LATE_TICKS 3
#define OVERLOAD_END_TIME (1500 * LV_MILLISECOND)

/* Late ticks are logged at most this often. */
#define LATE_LOG_INTERVAL LV_SECOND

static void
log_late_ticks(gate_server *gate, lv_time delay, lv_time now)
{
    if (delay > gate->worst_delay) {
        gate->worst_delay = delay;
    }
    if (gate->worst_delay < LATE_TICK_INTERVAL ||
        lv_elapsed(now, gate->late_logged_at) < LATE_LOG_INTERVAL) {
        return;
    }
    log_event(LOG_LEVEL_WARNING, now, "late",
              "worst_ms=%llu late_ticks=%u in_hand=%u callers=%u "
              "endpoint_connections=%u",
              (unsigned long long)(gate->worst_delay / LV_MILLISECOND),
              gate->late_ticks, gate->request_count,
              gate->callers.connection_count,
              gate->endpoint_pool.connection_count);
    gate->late_logged_at = now;
    gate->worst_delay = 0;
}

static void
update_overload(gate_server *gate, lv_time now)
{
    bool was_overloaded = gate->is_overloaded;

    if (gate->late_ticks >= OVERLOAD_LATE_TICKS) {
        gate->is_overloaded = true;
    }
    else if (lv_elapsed(now, gate->late_at) >= OVERLOAD_END_TIME) {
        gate->is_overloaded = false;
    }
    if (gate->is_overloaded != was_overloaded) {
        log_event(LOG_LEVEL_WARNING, now, "overload", "change=%s in_hand=%u",
                  gate->is_overloaded ? "begins" : "ends",
                  gate->request_count);
    }
}

/* A single late tick is a pause of the process, which is over; several in a
 * row are more work than the process has CPU time for. */
void
gate_record_tick(gate_server *gate, lv_time now)
{
    lv_time elapsed =
        gate->ticked_at != 0 ? lv_elapsed(now, gate->ticked_at) : GATE_TICK;

    met_histogram_add(&gate->tick_delays, lv_elapsed(elapsed, GATE_TICK));
    gate->ticked_at = now;
    if (elapsed < LATE_TICK_INTERVAL) {
        gate->late_ticks = 0;
    }
    else {
        gate->late_ticks++;
        gate->late_at = now;
        peers_drain(&gate->peers);
    }
    update_overload(gate, now);
    log_late_ticks(gate, elapsed, now);
}

bool
gate_should_shed(gate_server *gate, double share)
{
    uint32_t percent = SHED_DEFAULT_PERCENT;

    if (share > 0) {
        percent = share < LOW_SHARE ? SHED_LOW_SHARE_PERCENT
                                    : SHED_HIGH_SHARE_PERCENT;
    }
    return gate->late_ticks >= MIN_LATE_TICKS &&
           gate_random(gate) % 100 < percent;
}
