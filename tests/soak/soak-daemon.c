#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

/* A process that begins, or goes on after a pause, has so long to read what it
 * missed before its promises are judged. */
#define SETTLE_TIME (2 * LV_SECOND)

/* Settings that leave next to no budget for repeats, in percent. */
#define TIGHT_PERCENT 30

#define FIRST_PORT 20000
#define METRICS_SIZE ((size_t)64 * 1024)

static char output_bytes[65536];

static void
settings_path(const soak_daemon *daemon, char *path, size_t size)
{
    snprintf(path, size, "%s/router-%u.ini", daemon->world->folder,
             daemon->number);
}

static void
write_settings(const soak_daemon *daemon)
{
    const soak_world *world = daemon->world;
    bool is_planted = world->plant == SOAK_PLANT_BUDGET;
    const char *ratio = is_planted ? "10.0" : "0.20";
    unsigned slack = is_planted ? 100000 : SOAK_BUDGET_SLACK;
    char path[512];
    FILE *file;

    settings_path(daemon, path, sizeof path);
    file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
        exit(2);
    }
    fprintf(file, "[instance]\nname = router-%u\nzone = z\n", daemon->number);
    fprintf(file, "[listen]\ncallers = %s\nreadiness = %s\npeer = %s\n",
            daemon->callers, daemon->readiness, daemon->peer);
    fprintf(file, "[peers]\nseeds = %s, %s\n", world->daemons[0].peer,
            world->daemons[world->daemon_count - 1].peer);
    fprintf(file, "[store]\naddress = %s\n", daemon->store.address);
    fprintf(file, "lost_answer_bound = %ums\n",
            (unsigned)(SOAK_CONTACT / LV_MILLISECOND));
    fprintf(file, "leave_bound = %ums\n",
            (unsigned)(SOAK_LEAVE_BOUND / LV_MILLISECOND));
    if (world->plant == SOAK_PLANT_NONE &&
        soak_draw(daemon->world, 100) < TIGHT_PERCENT) {
        ratio = "0.01";
        slack = 0;
    }
    fprintf(file, "[budget]\nwindow = 10s\nratio = %s\nslack = %u\n", ratio,
            slack);
    fprintf(file, "[shutdown]\ngrace = %us\n",
            (unsigned)(SOAK_GRACE / LV_SECOND));
    fclose(file);
}

/* Soaks that run at the same time have loopback addresses of their own. */
static void
write_address(const soak_daemon *daemon, unsigned place, char *text)
{
    unsigned own = (unsigned)getpid();

    snprintf(text, LV_ADDRESS_SIZE, "127.%u.%u.1:%u", 1 + own / 250 % 250,
             1 + own % 250, FIRST_PORT + daemon->number * 3 + place);
}

void
daemon_init(soak_world *world, uint32_t number)
{
    soak_daemon *daemon = &world->daemons[number];
    char path[512];

    daemon->world = world;
    daemon->number = number;
    write_address(daemon, 0, daemon->callers);
    write_address(daemon, 1, daemon->readiness);
    write_address(daemon, 2, daemon->peer);
    snprintf(path, sizeof path, "%s/router-%u.log", world->folder, number);
    daemon->log = fopen(path, "w");
    if (daemon->log == NULL) {
        perror(path);
        exit(2);
    }
}

static void
allocate(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(output_bytes, sizeof output_bytes);
}

static void
on_output(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    soak_daemon *daemon = stream->data;

    if (size > 0) {
        daemon->has_logged = true;
        fwrite(buffer->base, 1, (size_t)size, daemon->log);
    }
    else if (size < 0) {
        uv_read_stop(stream);
    }
}

static void
follow_output(soak_daemon *daemon)
{
    uv_pipe_init(&daemon->world->loop, &daemon->output, 0);
    daemon->output.data = daemon;
    uv_pipe_open(&daemon->output, dup(daemon->process.output));
    uv_read_start((uv_stream_t *)&daemon->output, allocate, on_output);
    daemon->has_output = true;
}

void
daemon_start(soak_daemon *daemon)
{
    proc_command command;
    char path[512];
    char log[512];

    if (daemon->has_output && uv_is_closing((uv_handle_t *)&daemon->output)) {
        return; /* the loop is not done with the one before */
    }
    write_settings(daemon);
    settings_path(daemon, path, sizeof path);
    snprintf(log, sizeof log, "%s/router-%u.err", daemon->world->folder,
             daemon->number);
    proc_command_init(&command, SOAK_DAEMON);
    proc_command_add(&command, "--gateway");
    proc_command_add(&command, "--config");
    proc_command_add(&command, "%s", path);
    if (!proc_start(&daemon->process, &command, log)) {
        fputs("a gateway cannot be started\n", stderr);
        exit(2);
    }
    follow_output(daemon);
    daemon->start_at = 0;
    daemon->has_logged = false;
    daemon->is_stopped = false;
    daemon->state = DAEMON_RUNNING;
    daemon->begun_at = io_now();
    daemon->good_since = daemon->begun_at;
    if (daemon->world->plant != SOAK_PLANT_OLD || daemon->life == 0) {
        daemon->life++;
        daemon->version = 0;
    }
    soak_log(daemon->world, "router-%u starts, life %u", daemon->number,
             daemon->life);
}

void
daemon_pause(soak_daemon *daemon)
{
    proc_signal(&daemon->process, SIGSTOP);
    if (daemon->world->plant == SOAK_PLANT_LATE) {
        return;
    }
    daemon->is_stopped = true;
    if (daemon->state == DAEMON_RUNNING) {
        daemon->state = DAEMON_PAUSED;
    }
}

void
daemon_go_on(soak_daemon *daemon)
{
    if (!daemon->is_stopped) {
        return;
    }
    proc_signal(&daemon->process, SIGCONT);
    daemon->is_stopped = false;
    daemon->good_since = io_now();
    if (daemon->state == DAEMON_PAUSED) {
        daemon->state = DAEMON_RUNNING;
    }
}

static void
on_output_closed(uv_handle_t *handle)
{
    soak_daemon *daemon = handle->data;

    daemon->has_output = false;
}

static void
set_down(soak_daemon *daemon)
{
    daemon->state = DAEMON_DOWN;
    daemon->is_stopped = false;
    daemon->good_since = io_now();
    if (daemon->has_output) {
        uv_close((uv_handle_t *)&daemon->output, on_output_closed);
    }
}

void
daemon_kill(soak_daemon *daemon)
{
    if (daemon->process.pid > 0) {
        proc_kill(&daemon->process);
        set_down(daemon);
    }
}

void
daemon_terminate(soak_daemon *daemon)
{
    proc_signal(&daemon->process, SIGTERM);
    if (daemon->state != DAEMON_STOPPING) {
        daemon->state = DAEMON_STOPPING;
        daemon->stop_at = io_now();
    }
}

void
daemon_reload(soak_daemon *daemon)
{
    write_settings(daemon);
    /* Before a program begins, the signal ends it, whatever the program is. */
    if (daemon->has_logged) {
        proc_signal(&daemon->process, SIGHUP);
    }
}

/* A process that was stopped handles SIGTERM when it goes on. */
static lv_time
grace_from(const soak_daemon *daemon)
{
    return daemon->good_since > daemon->stop_at ? daemon->good_since
                                                : daemon->stop_at;
}

static void
watch_end(soak_daemon *daemon, lv_time now)
{
    bool is_ended =
        daemon->process.pid > 0 && proc_wait_end(&daemon->process, 0);

    if (is_ended && daemon->state != DAEMON_STOPPING) {
        judge_fault(daemon->world, "router-%u ended by itself, status %d",
                    daemon->number, daemon->process.status);
    }
    if (is_ended && daemon->state == DAEMON_STOPPING &&
        daemon->process.status != 0) {
        soak_log(daemon->world, "router-%u stopped with status %d",
                 daemon->number, daemon->process.status);
    }
    if (is_ended) {
        set_down(daemon);
    }
    else if (daemon->state == DAEMON_STOPPING && !daemon->is_stopped &&
             now > grace_from(daemon) + SOAK_GRACE + SOAK_MARGIN) {
        judge_fault(daemon->world, "router-%u runs on after its grace",
                    daemon->number);
        daemon_kill(daemon);
    }
}

void
daemon_tick(soak_daemon *daemon, lv_time now)
{
    watch_end(daemon, now);
    link_tick(&daemon->store, now);
    if (daemon->state == DAEMON_DOWN && daemon->start_at != 0 &&
        now >= daemon->start_at) {
        daemon_start(daemon);
    }
}

static bool
is_store_there(const soak_daemon *daemon)
{
    const soak_store *store = &daemon->world->store;

    return store->mood == STORE_GOOD ||
           (store->mood == STORE_OLD &&
            daemon->begun_at < store->good_since) ||
           daemon->world->plant == SOAK_PLANT_STALE;
}

lv_time
daemon_reached_since(const soak_daemon *daemon)
{
    const soak_store *store = &daemon->world->store;
    lv_time since = daemon->good_since;

    if (daemon->state != DAEMON_RUNNING || daemon->store.fault != LINK_GOOD ||
        !is_store_there(daemon)) {
        return LV_TIME_NEVER;
    }
    if (daemon->store.good_since > since) {
        since = daemon->store.good_since;
    }
    return store->good_since > since ? store->good_since : since;
}

lv_time
daemon_calm_since(const soak_daemon *daemon)
{
    lv_time since = daemon->world->store.mood != STORE_OLD
                        ? daemon_reached_since(daemon)
                        : LV_TIME_NEVER;

    return since != LV_TIME_NEVER ? since + SETTLE_TIME : since;
}

static int
connect_readiness(const soak_daemon *daemon)
{
    static const struct timeval patience = {.tv_sec = 2};
    struct sockaddr_in address;
    int self = socket(AF_INET, SOCK_STREAM, 0);

    io_parse_address(daemon->readiness, &address, NULL);
    setsockopt(self, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    setsockopt(self, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    if (connect(self, (const struct sockaddr *)&address, sizeof address) !=
        0) {
        close(self);
        return -1;
    }
    return self;
}

double
daemon_metric(const soak_daemon *daemon, const char *name)
{
    static const char request[] =
        "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    static char text[METRICS_SIZE];
    char wanted[128];
    int self = connect_readiness(daemon);
    size_t size = 0;
    ssize_t count = 1;
    const char *found;

    if (self < 0) {
        return -1;
    }
    if (send(self, request, sizeof request - 1, MSG_NOSIGNAL) < 0) {
        count = 0;
    }
    while (count > 0 && size < sizeof text - 1) {
        count = recv(self, text + size, sizeof text - 1 - size, 0);
        size += count > 0 ? (size_t)count : 0;
    }
    close(self);
    text[size] = '\0';
    snprintf(wanted, sizeof wanted, "\n%s ", name);
    found = strstr(text, wanted);
    return found != NULL ? strtod(found + strlen(wanted), NULL) : -1;
}
