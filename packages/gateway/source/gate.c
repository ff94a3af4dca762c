#include "lavender-gateway/gate.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"

/* How often time-outs are looked for and held requests decided anew. */
#define TICK_MS 20

/* Held requests are not decided more often: at a busy instance there is news
 * all the time, and a decision weighs all endpoints. In a large fleet most of
 * what is known is older than that anyway, and the timer's turns do. */
#define HELD_INTERVAL (5 * LV_MILLISECOND)

/* A turn of the timer this long after the one before is far too late: it is
 * half of the shortest aims. */
#define LATE_TICK (100 * LV_MILLISECOND)
#define LATE_TICKS 2

/* Of the requests that come meanwhile, so many are refused unseen, in percent:
 * fewer of accounts below this part of their share, whose callers may know no
 * other instance, and more of the others. */
#define SHED_PERCENT 50
#define SHED_SHARE 0.75
#define SHED_UNDER_PERCENT 25
#define SHED_NEAR_PERCENT 75

/* Callers of the readiness address: the platform and whoever looks. */
#define READINESS_CONNECTIONS 64

/* Time-outs of connections are looked for this often: there are thousands, and
 * the shortest is five times as long. */
#define CONNECTIONS_INTERVAL (100 * LV_MILLISECOND)

/* Series of the metrics: three kinds with all outcomes and their reasons, and
 * the accounts that come first; thousands of series are no help to anybody. */
#define ENDS_MOST 128
#define ACCOUNTS_MOST 256

/* A settings file is looked at for changes this often. */
#define SETTINGS_INTERVAL LV_SECOND

uint64_t
gate_random(gate_server *gate)
{
    gate->prng_state += 0x9e3779b97f4a7c15u;
    return map_mix(gate->prng_state);
}

static void
on_caller_request(front_server *server, front_connection *connection)
{
    gate_take_request(server->owner, connection);
}

static void
on_caller_gone(front_server *server, front_connection *connection)
{
    (void)server;
    if (connection->request != NULL) {
        gate_request_gone(connection->request);
        connection->request = NULL;
    }
}

static void
on_caller_drain(front_server *server, front_connection *connection)
{
    gate_request *request = connection->request;

    (void)server;
    if (request != NULL && request->is_paused) {
        request->is_paused = false;
        request->last_piece_at = io_now();
        back_resume_exchange(&request->exchange);
    }
}

static void
on_caller_rejected(front_server *server, uint32_t status, const char *reason)
{
    (void)server;
    log_event(LOG_LEVEL_INFO, io_now(), "rejected", "status=%u reason=%s",
              status, reason);
}

static const front_ops caller_ops = {.on_request = on_caller_request,
                                     .on_disconnect = on_caller_gone,
                                     .on_drain = on_caller_drain,
                                     .on_rejected = on_caller_rejected};

static void
on_peer_change(void *owner, const char *what, const char *address)
{
    (void)owner;
    log_event(LOG_LEVEL_NOTICE, io_now(), "peer", "change=%s address=%s", what,
              address);
}

static void
on_leaving(void *owner, lv_id id, uint64_t revision)
{
    gate_server *gate = owner;

    if (reg_apply_unlisted(&gate->registry, id, revision)) {
        log_event(LOG_LEVEL_NOTICE, io_now(), "endpoint",
                  "key=%s change=leaving revision=%llu source=peer",
                  eng_at(&gate->endpoints, eng_find(&gate->endpoints, id))
                      ->spec.name,
                  (unsigned long long)revision);
    }
}

static void
reload(gate_server *gate)
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
changed_at(const char *path)
{
    uv_fs_t request;
    int64_t at = 0;

    if (uv_fs_stat(NULL, &request, path, NULL) == 0) {
        at = (int64_t)request.statbuf.st_mtim.tv_sec * 1000000000 +
             request.statbuf.st_mtim.tv_nsec;
    }
    uv_fs_req_cleanup(&request);
    return at;
}

static void
watch_settings(gate_server *gate, lv_time now)
{
    int64_t changed;

    if (gate->settings_path == NULL ||
        lv_elapsed(now, gate->settings_checked_at) < SETTINGS_INTERVAL) {
        return;
    }
    gate->settings_checked_at = now;
    changed = changed_at(gate->settings_path);
    if (changed != gate->settings_changed) {
        gate->settings_changed = changed;
        reload(gate);
    }
}

static void
watch_drain(gate_server *gate, lv_time now)
{
    lv_time passed = lv_elapsed(now, gate->drain_since);

    if (!gate->is_draining) {
        return;
    }
    if ((gate->request_count == 0 && gate->callers.connection_count == 0 &&
         passed >= gate->settings.drain_least) ||
        passed + gate->settings.drain_reserve >= gate->settings.grace) {
        uv_stop(gate->loop);
    }
}

/* The list of endpoints is asked for so many times within the bound for
 * leaving ones, while it changes. */
#define READS_PER_BOUND 3

/* With more peers each waits longer: together they still notice soon when
 * the store went silent. */
#define PEERS_PER_WAIT 8

static void
follow_store(gate_server *gate, lv_time now)
{
    store_settings *store = &gate->settings.store;

    store->min_watch_interval[WIRE_ENDPOINTS] =
        gate->settings.leave_bound / READS_PER_BOUND;
    store->watch_wait =
        gate->store_wait * (1 + gate->peers.live_count / PEERS_PER_WAIT);
    if (store->watch_wait > gate->settings.lost_answer_bound) {
        store->watch_wait = gate->settings.lost_answer_bound;
    }
    gate->peers.is_store_reachable = gate->feeds[WIRE_ENDPOINTS].lost_at == 0;
    gate->peers.can_coordinate =
        gate->peers.can_coordinate || gate->feeds[WIRE_ENDPOINTS].has_list;
    if (peers_is_store_unreachable(&gate->peers)) {
        reg_start_grace(&gate->registry, now);
    }
}

/* One late turn is a pause of the process, after which all is well; several
 * in a row are more work than there is processor for. */
static void
watch_lateness(gate_server *gate, lv_time now)
{
    bool is_late =
        gate->ticked_at != 0 && lv_elapsed(now, gate->ticked_at) >= LATE_TICK;

    gate->late_ticks = is_late ? gate->late_ticks + 1 : 0;
    gate->ticked_at = now;
}

bool
gate_must_shed(gate_server *gate, double share)
{
    uint32_t percent = SHED_PERCENT;

    if (share > 0) {
        percent = share < SHED_SHARE ? SHED_UNDER_PERCENT : SHED_NEAR_PERCENT;
    }
    return gate->late_ticks >= LATE_TICKS && gate_random(gate) % 100 < percent;
}

static void
watch_connections(gate_server *gate, lv_time now)
{
    if (lv_elapsed(now, gate->connections_checked_at) >=
        CONNECTIONS_INTERVAL) {
        gate->connections_checked_at = now;
        front_tick(&gate->callers, now);
        front_tick(&gate->readiness, now);
        back_tick(&gate->back, now);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    gate_server *gate = timer->data;
    lv_time now = io_now();
    int i;

    watch_lateness(gate, now);
    follow_store(gate, now);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_tick(&gate->feeds[i], now);
    }
    if (reg_remove_expired(&gate->registry, now) > 0) {
        log_event(LOG_LEVEL_NOTICE, now, "endpoint", "change=lapsed");
    }
    gate_watch_requests(gate, now);
    watch_connections(gate, now);
    watch_settings(gate, now);
    watch_drain(gate, now);
}

/* Before the loop sleeps: room that was made in this turn is given away. */
static void
on_prepare(uv_prepare_t *prepare)
{
    gate_server *gate = prepare->data;
    lv_time now = io_now();

    if (!gate->has_news) {
        return;
    }
    if (!peers_is_large_fleet(&gate->peers) &&
        lv_elapsed(now, gate->held_at) >= HELD_INTERVAL) {
        gate->has_news = false;
        gate->held_at = now;
        gate_decide_held(gate);
    }
    gate_free_finished(gate);
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
        reload(gate);
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
    uv_timer_start(&gate->timer, on_timer, 0, TICK_MS);
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
        return err_set(error, ERR_SYSTEM, "look at the system's log",
                       "the system gives no random numbers");
    }
    *incarnation |= 1;
    return true;
}

static bool
init_peers(gate_server *gate, uint64_t incarnation, err_error *error)
{
    peers_settings *settings = &gate->settings.peers;

    if (!io_parse_address(gate->settings.peer_address, &settings->bind,
                          error) ||
        !gate_parse_seeds(gate->settings.seeds, settings->seeds,
                          &settings->seed_count, error) ||
        !peers_init(&gate->peers, gate->loop, settings, &gate->endpoints,
                    &gate->shares, incarnation, error)) {
        return false;
    }
    gate->peers.on_change = on_peer_change;
    gate->peers.on_unlisted = on_leaving;
    gate->peers.on_start_request = gate_take_ask;
    gate->peers.on_start_reply = gate_take_answer;
    gate->peers.owner = gate;
    return true;
}

static bool
init_listeners(gate_server *gate, err_error *error)
{
    /* Until a configuration says otherwise. */
    static const rt_limits limits = {.head_bytes = 16384,
                                     .body_bytes = 4194304,
                                     .head_timeout = 3 * LV_SECOND,
                                     .idle_timeout = 15 * LV_SECOND};
    const gate_settings *settings = &gate->settings;
    struct sockaddr_in callers;
    struct sockaddr_in readiness;

    if (!io_parse_address(settings->caller_address, &callers, error) ||
        !io_parse_address(settings->readiness_address, &readiness, error) ||
        !front_listen(&gate->callers, gate->loop, &caller_ops, &callers,
                      settings->connections, gate, error) ||
        !front_listen(&gate->readiness, gate->loop, &gate_readiness_ops,
                      &readiness, READINESS_CONNECTIONS, gate, error)) {
        return false;
    }
    gate->callers.limits = limits;
    gate->readiness.limits = limits;
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
    gate->store_wait = settings->store.watch_wait;
    if (settings_path != NULL) {
        gate->settings_changed = changed_at(settings_path);
    }
    if (!init_random(gate, &incarnation, error) ||
        !eng_init(&gate->endpoints, &settings->engine, error)) {
        return false;
    }
    shr_init(&gate->shares, settings->quota_window);
    reg_init(&gate->registry, &gate->endpoints, settings->lapse_grace);
    for (i = 0; i < RT_KINDS; i++) {
        met_histogram_init(&gate->waits[i]);
    }
    tal_init(&gate->ends_by_reason, "lavender_ends_total",
             "requests that ended, by kind, outcome and reason", ENDS_MOST);
    tal_init(&gate->ends_by_account, "lavender_account_ends_total",
             "requests that ended, by account and outcome", ACCOUNTS_MOST);
    met_histogram_init(&gate->errors);
    back_init(&gate->back, loop, &settings->back, wire, &gate->endpoints);
    if (!io_parse_address(settings->store_address,
                          &gate->settings.store.address, error) ||
        !init_listeners(gate, error) ||
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

bool
gate_run(gate_server *gate)
{
    uint32_t cut;

    uv_run(gate->loop, UV_RUN_DEFAULT);
    cut = gate->request_count;
    log_event(LOG_LEVEL_NOTICE, io_now(), "stop", "cut=%u", cut);
    return cut == 0;
}

void
gate_finish(gate_server *gate)
{
    gate_request *request;
    int i;

    for (request = gate->requests; request != NULL; request = request->next) {
        if (request->state != GATE_FINISHED) {
            gate_end_request(request, "cut", "stopped");
        }
    }
    gate_free_finished(gate);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_close(&gate->feeds[i]);
    }
    back_close_all(&gate->back);
    front_close_all(&gate->callers);
    front_close_all(&gate->readiness);
    front_stop_listening(&gate->callers);
    front_stop_listening(&gate->readiness);
    peers_close(&gate->peers);
    uv_close((uv_handle_t *)&gate->timer, NULL);
    uv_close((uv_handle_t *)&gate->prepare, NULL);
    for (i = 0; i < 3; i++) {
        uv_close((uv_handle_t *)&gate->signals[i], NULL);
    }
    uv_run(gate->loop, UV_RUN_DEFAULT);
    peers_finish(&gate->peers);
    reg_finish(&gate->registry);
    shr_finish(&gate->shares);
    eng_finish(&gate->endpoints);
    rt_release(gate->config);
    free(gate->services);
    tal_finish(&gate->ends_by_reason);
    tal_finish(&gate->ends_by_account);
}
