#include "gate-imp.h"

/* A version that peers have should arrive within this time. */
#define VERSION_TIMEOUT (400 * LV_MILLISECOND)

/* Maximum time for which an instance stays unready because its configuration
 * is older than its peers'. Serving an old version is better than losing every
 * instance that restarts. */
#define MAX_UNREADY_TIME (30 * LV_SECOND)

/* Returns whether the store itself lacks the version that peers have: it was
 * listed since they named it. */
static bool
is_lost_by_store(gate_server *gate, lv_time now)
{
    store_feed *feed = &gate->feeds[WIRE_CONFIG];
    lv_time named_at = gate->config_named_at;

    if (lv_elapsed(now, named_at) < VERSION_TIMEOUT) {
        return false;
    }
    if (feed->checked_at < named_at && feed->lost_at == 0) {
        store_feed_check(feed, named_at);
        feed->has_list = false;
    }
    return feed->checked_at >= named_at && feed->known_at >= feed->checked_at;
}

/* A store that was restored from a backup lacks the newest version until the
 * operator publishes it again. An instance that has started since then, or
 * that missed the version, must not serve the older one. */
static bool
must_await_version(gate_server *gate, uint64_t newest, lv_time now)
{
    if (gate->config->version >= newest) {
        gate->is_config_confirmed = gate->is_config_confirmed || newest != 0;
        gate->config_named_at = 0;
        return false;
    }
    if (gate->config_named_at == 0) {
        gate->config_named_at = now;
    }
    return lv_elapsed(now, gate->config_named_at) < MAX_UNREADY_TIME &&
           (!gate->is_config_confirmed || is_lost_by_store(gate, now));
}

void
gate_check_config(gate_server *gate, lv_time now)
{
    uint64_t newest = peers_newest_config(&gate->peers);
    bool is_awaited;

    if (gate->config == NULL) {
        return;
    }
    is_awaited = must_await_version(gate, newest, now);
    if (is_awaited != gate->is_config_awaited) {
        gate->is_config_awaited = is_awaited;
        log_event(LOG_LEVEL_WARNING, now, "config-awaited",
                  "begun=%d version=%llu named=%llu", is_awaited,
                  (unsigned long long)gate->config->version,
                  (unsigned long long)newest);
    }
}
