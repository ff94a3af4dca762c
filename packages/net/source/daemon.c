#include "lavender-net/daemon.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "daemon-imp.h"

/* Loop iterations of daemon_finish. Connections that are shut down close
 * within a few iterations. */
#define CLOSE_ITERATIONS 16

/* A drain lasts at least this long, so that requests that have arrived by then
 * are read, and the rest of those that have arrived in part. */
#define MIN_DRAIN (500 * LV_MILLISECOND)

lv_time
daemon_now(void)
{
    return uv_hrtime() / 1000;
}

static uint64_t
wall_seconds(void)
{
    return (uint64_t)time(NULL);
}

static uint64_t
wall_microseconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * LV_SECOND + (uint64_t)now.tv_nsec / 1000;
}

static void on_timer(uv_timer_t *timer);

static uint64_t
milliseconds_until(lv_time due, lv_time now)
{
    return (lv_elapsed(due, now) + LV_MILLISECOND - 1) / LV_MILLISECOND;
}

static void
schedule_next_tick(daemon_router *daemon)
{
    lv_time now = daemon_now();
    lv_time next_tick = node_next_tick(&daemon->node);
    lv_time next_poll = load_next_poll_time(daemon->load);

    uv_timer_start(
        &daemon->timer, on_timer,
        milliseconds_until(next_tick < next_poll ? next_tick : next_poll, now),
        0);
}

static void
update_platform_watch(daemon_router *daemon)
{
    bool is_watcher = node_is_watcher(&daemon->node);

    if (daemon->platform != NULL && is_watcher != daemon->is_watching) {
        daemon->is_watching = is_watcher;
        daemon->platform->ops->set_watching(daemon->platform, is_watcher);
    }
}

static void
stop_when_idle(daemon_router *daemon)
{
    if (daemon->has_drained_long && node_is_idle(&daemon->node) &&
        call_active_requests(daemon->callers) == 0) {
        uv_stop(daemon->loop);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    daemon_router *daemon = timer->data;

    node_tick(&daemon->node, daemon_now(), wall_seconds());
    load_tick(daemon->load, daemon_now());
    update_platform_watch(daemon);
}

/* Runs before the loop blocks: starts the attempts that were queued in this
 * iteration. */
static void
on_prepare(uv_prepare_t *prepare)
{
    daemon_router *daemon = prepare->data;

    call_run_deferred(daemon->callers);
    schedule_next_tick(daemon);
    stop_when_idle(daemon);
}

static void
on_message(void *context, const msg_message *message)
{
    daemon_router *daemon = context;

    node_receive_message(&daemon->node, daemon_now(), message);
}

static void
on_document_part(void *context, doc_kind doc, uint32_t part, const char *text,
                 size_t size)
{
    daemon_router *daemon = context;
    doc_store *documents = node_documents(&daemon->node);

    if (text == NULL) {
        log_event(LOG_LEVEL_WARNING, daemon_now(), "platform-read-failed",
                  "document=%s part=%u",
                  doc == DOC_CATALOGUE ? "catalogue" : "lists", part);
        doc_count_platform_failure(documents, daemon_now(), doc);
        return;
    }
    doc_receive_platform_part(documents, daemon_now(), doc, part, text, size);
}

static void
on_drain_timeout(uv_timer_t *timer)
{
    daemon_router *daemon = timer->data;

    log_event(LOG_LEVEL_ERROR, daemon_now(), "drain-timeout", "in_hand=%u",
              call_active_requests(daemon->callers));
    daemon->is_forced = true;
    uv_stop(daemon->loop);
}

static void
on_min_drain(uv_timer_t *timer)
{
    daemon_router *daemon = timer->data;
    lv_time timeout = daemon->settings.drain_timeout;

    daemon->has_drained_long = true;
    uv_timer_start(timer, on_drain_timeout,
                   lv_elapsed(timeout, MIN_DRAIN) / LV_MILLISECOND, 0);
}

void
daemon_drain(daemon_router *daemon)
{
    if (daemon->is_draining) {
        return;
    }
    daemon->is_draining = true;
    log_event(LOG_LEVEL_NOTICE, daemon_now(), "drain", "in_hand=%u",
              call_active_requests(daemon->callers));
    node_drain(&daemon->node, daemon_now());
    call_drain(daemon->callers);
    uv_timer_start(&daemon->drain_timer, on_min_drain,
                   MIN_DRAIN / LV_MILLISECOND, 0);
}

static void
drain_on_request(void *context)
{
    daemon_drain(context);
}

static void
on_signal(uv_signal_t *handle, int number)
{
    daemon_router *daemon = handle->data;

    log_event(LOG_LEVEL_NOTICE, daemon_now(), "signal", "number=%d", number);
    if (daemon->is_draining) {
        daemon->is_forced = true;
        uv_stop(daemon->loop);
        return;
    }
    daemon_drain(daemon);
}

static bool
init_platform(daemon_router *daemon, err_error *error)
{
    bool is_file = daemon->settings.source == SET_SOURCE_FILE;
    void *memory =
        calloc(1, is_file ? plat_files_size() : plat_service_size());
    bool is_initialised;

    if (memory == NULL) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "cannot allocate memory for the platform client");
    }
    daemon->settings.platform.jitter_seed = daemon->settings.node.seed;
    if (is_file) {
        is_initialised =
            plat_files_init(memory, daemon->loop, &daemon->settings.platform,
                            on_document_part, daemon, error);
    }
    else {
        is_initialised =
            plat_service_init(memory, daemon->loop, &daemon->settings.platform,
                              on_document_part, daemon, error);
    }
    if (!is_initialised) {
        free(memory);
        return false;
    }
    daemon->platform = memory;
    return true;
}

static void
init_handles(daemon_router *daemon)
{
    static const int signal_numbers[] = {SIGTERM, SIGINT};
    size_t i;

    uv_prepare_init(daemon->loop, &daemon->prepare);
    daemon->prepare.data = daemon;
    uv_prepare_start(&daemon->prepare, on_prepare);
    uv_timer_init(daemon->loop, &daemon->timer);
    daemon->timer.data = daemon;
    uv_timer_init(daemon->loop, &daemon->drain_timer);
    daemon->drain_timer.data = daemon;
    for (i = 0; i < 2; i++) {
        uv_signal_init(daemon->loop, &daemon->signals[i]);
        daemon->signals[i].data = daemon;
        uv_signal_start(&daemon->signals[i], on_signal, signal_numbers[i]);
    }
}

static void
init_view(daemon_router *daemon)
{
    daemon->view = (oper_view){.instance = daemon->settings.instance,
                               .zone = daemon->settings.zone,
                               .node = &daemon->node,
                               .callers = daemon->callers,
                               .client = &daemon->client,
                               .load = daemon->load,
                               .link = &daemon->link,
                               .platform = daemon->platform,
                               .ledger_window = daemon->settings.ledger_window,
                               .clock = daemon_now,
                               .drain = drain_on_request,
                               .context = daemon};
}

static bool
init_modules(daemon_router *daemon, err_error *error)
{
    set_settings *settings = &daemon->settings;

    if (!client_init(&daemon->client, daemon->loop, &settings->client,
                     error)) {
        return false;
    }
    daemon->has_client = true;
    if (!node_init(&daemon->node, &daemon->host, &settings->node, daemon_now(),
                   error)) {
        return false;
    }
    daemon->has_node = true;
    daemon->load =
        load_new(&daemon->client, &daemon->node, settings->load_poll_interval);
    if (daemon->load == NULL) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "cannot allocate memory to poll the endpoints");
    }
    if (!link_init(&daemon->link, daemon->loop, &settings->link, on_message,
                   daemon, error)) {
        return false;
    }
    daemon->has_link = true;
    daemon->callers =
        call_new(daemon->loop, &settings->callers, &daemon->node,
                 &daemon->client, daemon_now, settings->instance, error);
    return daemon->callers != NULL && init_platform(daemon, error);
}

bool
daemon_init(daemon_router *daemon, uv_loop_t *loop,
            const set_settings *settings, err_error *error)
{
    memset(daemon, 0, sizeof *daemon);
    daemon->host.ops = &daemon_host_ops;
    daemon->settings = *settings;
    daemon->loop = loop;
    daemon->settings.node.incarnation = wall_microseconds();
    daemon->settings.node.seed =
        daemon->settings.node.incarnation ^ daemon->settings.node.self;
    if (!init_modules(daemon, error)) {
        return false;
    }
    init_view(daemon);
    daemon->operator_listener = oper_new(
        loop, &daemon->settings.operator_listener, &daemon->view, error);
    if (daemon->operator_listener == NULL) {
        return false;
    }
    init_handles(daemon);
    daemon->is_watching = node_is_watcher(&daemon->node);
    daemon->platform->ops->set_watching(daemon->platform, daemon->is_watching);
    return oper_listen(daemon->operator_listener, error) &&
           call_listen(daemon->callers, error);
}

bool
daemon_run(daemon_router *daemon)
{
    log_event(LOG_LEVEL_NOTICE, daemon_now(), "start",
              "callers=%s operator=%s peer=%s",
              daemon->callers == NULL ? "" : daemon->settings.callers.address,
              daemon->settings.operator_listener.address,
              daemon->settings.link.bind_address);
    node_tick(&daemon->node, daemon_now(), wall_seconds());
    update_platform_watch(daemon);
    uv_run(daemon->loop, UV_RUN_DEFAULT);
    node_leave(&daemon->node, daemon_now());
    log_event(LOG_LEVEL_NOTICE, daemon_now(), "end", "is_forced=%d",
              daemon->is_forced);
    return !daemon->is_forced;
}

static void
close_handle(uv_handle_t *handle, void *context)
{
    (void)context;
    if (!uv_is_closing(handle)) {
        uv_close(handle, NULL);
    }
}

static void
close_modules(daemon_router *daemon)
{
    if (daemon->callers != NULL) {
        call_close(daemon->callers);
    }
    if (daemon->operator_listener != NULL) {
        oper_close(daemon->operator_listener);
    }
    if (daemon->platform != NULL) {
        daemon->platform->ops->finish(daemon->platform);
    }
    if (daemon->has_link) {
        link_finish(&daemon->link);
    }
    if (daemon->prepare.data != NULL) {
        close_handle((uv_handle_t *)&daemon->prepare, NULL);
        close_handle((uv_handle_t *)&daemon->timer, NULL);
        close_handle((uv_handle_t *)&daemon->drain_timer, NULL);
        close_handle((uv_handle_t *)&daemon->signals[0], NULL);
        close_handle((uv_handle_t *)&daemon->signals[1], NULL);
    }
}

void
daemon_finish(daemon_router *daemon)
{
    int i;

    if (daemon->is_finished) {
        return;
    }
    daemon->is_finished = true;
    if (daemon->has_client) {
        client_abort(&daemon->client);
    }
    close_modules(daemon);
    for (i = 0; i < CLOSE_ITERATIONS; i++) {
        uv_run(daemon->loop, UV_RUN_NOWAIT);
    }
    if (daemon->load != NULL) {
        load_free(daemon->load);
    }
    if (daemon->callers != NULL) {
        call_free(daemon->callers);
    }
    if (daemon->operator_listener != NULL) {
        oper_free(daemon->operator_listener);
    }
    if (daemon->has_client) {
        client_abort(&daemon->client);
        client_finish(&daemon->client);
    }
    if (daemon->has_node) {
        node_finish(&daemon->node);
    }
    uv_run(daemon->loop, UV_RUN_NOWAIT);
    free(daemon->platform);
}
