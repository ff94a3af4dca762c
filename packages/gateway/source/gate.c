#include "lavender-gateway/gate.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

/* Minimum time between decisions on the queue outside the timer: a busy
 * instance has updates all the time, and each decision weighs all endpoints.
 * In a large fleet only the timer decides the queue, since most of the known
 * state is older than this anyway. */
#define MIN_DECISION_INTERVAL (5 * LV_MILLISECOND)

/* Two feeds of each instance of a zone, and old connections. */
#define MAX_RELAY_CONNECTIONS 1024

/* Timeouts of connections are checked this often: there are thousands of
 * connections, and the shortest timeout is five times as long. */
#define CONNECTION_CHECK_INTERVAL (100 * LV_MILLISECOND)

/* Limits of the metric series: the three kinds with all outcomes and reasons,
 * and the first accounts seen. Thousands of series would be of no use. */
#define MAX_END_SERIES 128
#define MAX_ACCOUNT_SERIES 256

#define SETTINGS_CHECK_INTERVAL LV_SECOND

/* Share of the leave limit; the rest covers requests in transit. */
#define REMOVAL_GRACE_PERCENT 90

uint64_t
gate_random(gate_server *gate)
{
    gate->prng_state += 0x9e3779b97f4a7c15u;
    return map_mix(gate->prng_state);
}

static void
on_peer_change(void *owner, const char *what, const char *address)
{
    (void)owner;
    log_event(LOG_LEVEL_NOTICE, io_now(), "peer", "change=%s address=%s", what,
              address);
}

static void
reload_settings(gate_server *gate)
{
    static gate_settings settings;
    static err_list errors;
    struct sockaddr_in seeds[PEERS_SEEDS_MAX];
    uint32_t seed_count;

    err_list_init(&errors);
    if (!gate_read_settings(&settings, gate->settings_path, &errors) ||
        !gate_parse_seeds(settings.seeds, seeds, &seed_count, NULL)) {
        log_event(LOG_LEVEL_ERROR, io_now(), "reload",
                  "outcome=kept-old errors=%zu", errors.count);
        return;
    }
    peers_set_seeds(&gate->peers, seeds, seed_count);
    gate->settings.admission = settings.admission;
    log_event(LOG_LEVEL_NOTICE, io_now(), "reload", "outcome=taken seeds=%s",
              settings.seeds);
}

static int64_t
read_modification_time(const char *path)
{
    uv_fs_t request;
    int64_t modified_ns = 0;

    if (uv_fs_stat(NULL, &request, path, NULL) == 0) {
        modified_ns = (int64_t)request.statbuf.st_mtim.tv_sec * 1000000000 +
                      request.statbuf.st_mtim.tv_nsec;
    }
    uv_fs_req_cleanup(&request);
    return modified_ns;
}

static void
check_settings_file(gate_server *gate, lv_time now)
{
    int64_t modified_ns;

    if (gate->settings_path == NULL ||
        lv_elapsed(now, gate->settings_checked_at) < SETTINGS_CHECK_INTERVAL) {
        return;
    }
    gate->settings_checked_at = now;
    modified_ns = read_modification_time(gate->settings_path);
    if (modified_ns != gate->settings_modified_ns) {
        gate->settings_modified_ns = modified_ns;
        reload_settings(gate);
    }
}

static bool
is_drained(const gate_server *gate, lv_time now)
{
    lv_time elapsed = lv_elapsed(now, gate->drain_since);

    return (gate->request_count == 0 && gate->callers.connection_count == 0 &&
            elapsed >= gate->settings.min_drain) ||
           elapsed + gate->settings.drain_reserve >=
               gate->settings.shutdown_grace;
}

static void
check_drain(gate_server *gate, lv_time now)
{
    if (gate->is_draining && is_drained(gate, now)) {
        uv_stop(gate->loop);
    }
}

/* Returns whether the store seems to be down, that is, unreachable from this
 * instance and from at least half of all. Only then may an entry vanish by
 * expiry; otherwise its endpoint has left. */
static bool
is_store_away(const gate_server *gate)
{
    return !gate->peers.is_store_reachable &&
           peers_is_store_unreachable(&gate->peers);
}

static void
note_outage(gate_server *gate, bool is_away, lv_time now)
{
    if (is_away != gate->is_store_away) {
        gate->is_store_away = is_away;
        log_event(LOG_LEVEL_NOTICE, now, "store-outage",
                  "state=%s peers=%u grace_ms=%llu",
                  is_away ? "begun" : "over", gate->peers.live_count,
                  (unsigned long long)(gate->registry.grace / LV_MILLISECOND));
    }
}

/* Reports to the peers whether the store answers, and keeps expired entries
 * after an outage. */
static void
update_store_state(gate_server *gate, lv_time now)
{
    bool is_away;

    gate->peers.is_store_reachable =
        gate->feeds[WIRE_ENDPOINTS].lost_at == 0 && !gate->is_reader_awaited;
    gate->peers.can_coordinate =
        gate->peers.can_coordinate || gate->feeds[WIRE_ENDPOINTS].has_list;
    is_away = is_store_away(gate);
    note_outage(gate, is_away, now);
    if (is_away) {
        reg_start_grace(&gate->registry, now);
    }
}

static void
check_connections(gate_server *gate, lv_time now)
{
    if (lv_elapsed(now, gate->connections_checked_at) >=
        CONNECTION_CHECK_INTERVAL) {
        gate->connections_checked_at = now;
        front_tick(&gate->callers, now);
        front_tick(&gate->readiness, now);
        back_tick(&gate->endpoint_pool, now);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    gate_server *gate = timer->data;
    lv_time now = io_now();
    int i;

    gate_record_tick(gate, now);
    gate_update_readers(gate, now);
    update_store_state(gate, now);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_tick(&gate->feeds[i], now);
    }
    gate_relist_after_copy(gate, now);
    gate_check_config(gate, now);
    gate_relist_zones(gate, now);
    if (reg_remove_expired(&gate->registry, now) > 0) {
        log_event(LOG_LEVEL_NOTICE, now, "endpoint", "change=lapsed");
    }
    gate_end_backoffs(gate, now);
    gate_update_warmup(gate, now);
    gate_update_speeds(gate, now);
    gate_update_quarantine(gate, now);
    gate_update_origins(gate, now);
    gate_update_cached(gate, now);
    fch_note_endpoints(&gate->endpoints, now);
    back_confirm_ends(&gate->endpoint_pool, now);
    gate_tick_requests(gate, now);
    check_connections(gate, now);
    check_settings_file(gate, now);
    check_drain(gate, now);
}

/* Runs before the loop polls: queued requests take the capacity that was
 * freed in this iteration. */
static void
on_prepare(uv_prepare_t *prepare)
{
    gate_server *gate = prepare->data;
    lv_time now = io_now();

    if (!gate->has_pending_updates) {
        return;
    }
    if (!peers_is_large_fleet(&gate->peers) &&
        lv_elapsed(now, gate->queue_decided_at) >= MIN_DECISION_INTERVAL) {
        gate->has_pending_updates = false;
        gate->queue_decided_at = now;
        gate_decide_queued_requests(gate);
    }
    gate_free_finished_requests(gate);
}

static void
begin_drain(gate_server *gate)
{
    if (gate->is_draining) {
        return;
    }
    gate->is_draining = true;
    gate->drain_since = io_now();
    front_drain(&gate->callers);
    log_event(LOG_LEVEL_NOTICE, io_now(), "drain", "in_hand=%u",
              gate->request_count);
}

static void
on_signal(uv_signal_t *handle, int number)
{
    gate_server *gate = handle->data;

    if (number == SIGHUP) {
        reload_settings(gate);
    }
    else {
        begin_drain(gate);
    }
}

static void
init_handles(gate_server *gate)
{
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
    int i;

    uv_timer_init(gate->loop, &gate->timer);
    gate->timer.data = gate;
    uv_timer_start(&gate->timer, on_timer, 0, GATE_TICK / LV_MILLISECOND);
    uv_prepare_init(gate->loop, &gate->prepare);
    gate->prepare.data = gate;
    uv_prepare_start(&gate->prepare, on_prepare);
    for (i = 0; i < 3; i++) {
        uv_signal_init(gate->loop, &gate->signals[i]);
        gate->signals[i].data = gate;
        uv_signal_start(&gate->signals[i], on_signal, numbers[i]);
    }
}

static bool
init_random(gate_server *gate, uint64_t *incarnation, err_error *error)
{
    if (uv_random(NULL, NULL, incarnation, sizeof *incarnation, 0, NULL) !=
            0 ||
        uv_random(NULL, NULL, &gate->prng_state, sizeof gate->prng_state, 0,
                  NULL) != 0) {
        return err_set(error, ERR_SYSTEM, "check the system log",
                       "cannot get random bytes from the system");
    }
    *incarnation |= 1;
    return true;
}

static bool
init_peers(gate_server *gate, uint64_t incarnation, err_error *error)
{
    peers_settings *settings = &gate->settings.peers;

    settings->zone = lv_hash_name(gate->settings.zone);
    if (!io_parse_address(gate->settings.peer_address, &settings->bind,
                          error) ||
        !gate_parse_seeds(gate->settings.seeds, settings->seeds,
                          &settings->seed_count, error) ||
        !peers_init(&gate->peers, gate->loop, settings, &gate->endpoints,
                    &gate->shares, incarnation, error)) {
        return false;
    }
    if (!rly_init(&gate->relay, gate->loop, gate->wire, &settings->bind,
                  MAX_RELAY_CONNECTIONS, error)) {
        /* Others then read from another relay, or from the store. */
        log_event(LOG_LEVEL_WARNING, io_now(), "relay-closed",
                  "address=%s error=\"%s\"", gate->settings.peer_address,
                  error->message);
        err_clear(error);
    }
    gate->relay.server.memory = &gate->memory;
    gate_init_quarantine(gate);
    gate_init_origins(gate);
    gate_init_cached(gate);
    gate_init_evacuation(gate);
    gate_init_zones(gate);
    gate->peers.on_change = on_peer_change;
    gate->peers.on_unlisted = gate_handle_departure;
    gate->peers.on_store_era = gate_begin_store_era;
    gate->peers.on_start_request = gate_handle_grant_request;
    gate->peers.on_start_reply = gate_handle_grant_answer;
    gate->peers.on_cold = gate_hear_cold;
    gate->peers.owner = gate;
    return true;
}

bool
gate_init(gate_server *gate, uv_loop_t *loop, const wire_ops *wire,
          const gate_settings *settings, const char *settings_path,
          err_error *error)
{
    uint64_t incarnation;
    int i;

    memset(gate, 0, sizeof *gate);
    gate->loop = loop;
    gate->wire = wire;
    gate->settings = *settings;
    gate->settings_path = settings_path;
    gate->base_watch_wait = settings->store.watch_wait;
    if (settings_path != NULL) {
        gate->settings_modified_ns = read_modification_time(settings_path);
    }
    if (!init_random(gate, &incarnation, error) ||
        !eng_init(&gate->endpoints, &settings->engine, error)) {
        return false;
    }
    shr_init(&gate->shares, settings->quota_window);
    reg_init(&gate->registry, &gate->endpoints, settings->expiry_grace);
    gate->registry.removal_grace =
        settings->leave_limit * REMOVAL_GRACE_PERCENT / 100;
    for (i = 0; i < RT_KINDS; i++) {
        met_histogram_init(&gate->first_output_times[i]);
    }
    tal_init(&gate->ends_by_reason, "lavender_ends_total",
             "requests that ended, by kind, outcome and reason",
             MAX_END_SERIES);
    tal_init(&gate->ends_by_account, "lavender_account_ends_total",
             "requests that ended, by account and outcome",
             MAX_ACCOUNT_SERIES);
    met_histogram_init(&gate->prediction_errors);
    met_histogram_init(&gate->tick_delays);
    ovl_init(&gate->overload, GATE_TICK);
    back_init(&gate->endpoint_pool, loop, &settings->endpoint_connections,
              wire, &gate->endpoints);
    gate->endpoint_pool.on_response = gate_handle_response;
    gate->endpoint_pool.owner = gate;
    if (!io_parse_address(settings->store_address,
                          &gate->settings.store.address, error) ||
        !gate_start_listeners(gate, error) ||
        !init_peers(gate, incarnation, error)) {
        return false;
    }
    lv_copy_name(gate->settings.store.host, sizeof gate->settings.store.host,
                 settings->store_address);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_init(&gate->feeds[i], &gate_store_ops, wire, loop,
                        &gate->settings.store, (wire_subject)i, gate);
    }
    init_handles(gate);
    log_event(LOG_LEVEL_NOTICE, io_now(), "start",
              "callers=%s peer=%s store=%s incarnation=%016llx",
              settings->caller_address, settings->peer_address,
              settings->store_address, (unsigned long long)incarnation);
    return true;
}

/* Accepts the connections that wait, and then reads them. */
static void
read_arrived(gate_server *gate)
{
    int i;

    for (i = 0; i < 2; i++) {
        uv_run(gate->loop, UV_RUN_NOWAIT);
    }
}

bool
gate_run(gate_server *gate)
{
    uint32_t unfinished;

    do {
        uv_run(gate->loop, UV_RUN_DEFAULT);
        read_arrived(gate);
    } while (gate->is_draining && !is_drained(gate, io_now()));
    unfinished = gate->request_count;
    log_event(LOG_LEVEL_NOTICE, io_now(), "stop", "cut=%u", unfinished);
    return unfinished == 0;
}

void
gate_finish(gate_server *gate)
{
    gate_request *request;
    int i;

    front_drain(&gate->callers);
    for (request = gate->requests; request != NULL; request = request->next) {
        if (request->state != GATE_FINISHED) {
            gate_fail_request(request, 502, "stopped");
        }
    }
    gate_free_finished_requests(gate);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_close(&gate->feeds[i]);
    }
    gate_finish_cached(gate);
    back_close_all(&gate->endpoint_pool);
    rly_close(&gate->relay);
    peers_close(&gate->peers);
    uv_close((uv_handle_t *)&gate->prepare, NULL);
    for (i = 0; i < 3; i++) {
        uv_close((uv_handle_t *)&gate->signals[i], NULL);
    }
    gate_stop_listeners(gate);
    peers_finish(&gate->peers);
    rly_finish(&gate->relay);
    back_finish(&gate->endpoint_pool);
    reg_finish(&gate->registry);
    free(gate->past_changes);
    ver_finish(&gate->versions);
    shr_finish(&gate->shares);
    eng_finish(&gate->endpoints);
    rt_unref(gate->config);
    free(gate->service_budgets);
    tal_finish(&gate->ends_by_reason);
    tal_finish(&gate->ends_by_account);
    gate_finish_zones(gate);
    gate_finish_quarantine(gate);
}
