#include <argp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "lavender/map.h"
#include "soak.h"

/* Gateways start and read the store before faults begin. */
#define START_TIME (2 * LV_SECOND)

/* After the faults: recovery, and then some time in which all is served. */
#define CALM_TIME (7 * LV_SECOND)

/* From the last request until nothing may be in hand. */
#define END_TIME (3500 * LV_MILLISECOND)

#define DEFAULT_SECONDS 10
#define DEFAULT_DAEMONS 5
#define CALLERS_PER_DAEMON 8

static soak_world world;

static const char *const plant_names[SOAK_PLANT_COUNT] = {
    "none",  "twice",  "swap",  "cut",    "lie",    "late", "leave",    "old",
    "stale", "budget", "work",  "kept",   "silent", "drop", "close",    "word",
    "again", "limit",  "block", "repeat", "mixed",  "zone", "malformed"};

uint32_t
soak_draw(soak_world *self, uint32_t below)
{
    self->random += 0x9e3779b97f4a7c15u;
    return (uint32_t)(map_mix(self->random) % below);
}

lv_time
soak_draw_time(soak_world *self, lv_time least, lv_time most)
{
    return least + soak_draw(self, (uint32_t)(most - least) + 1);
}

void
soak_log(soak_world *self, const char *format, ...)
{
    static FILE *log;
    char path[512];
    va_list arguments;

    if (log == NULL) {
        snprintf(path, sizeof path, "%s/soak.log", self->folder);
        log = fopen(path, "w");
        if (log == NULL) {
            perror(path);
            exit(2);
        }
    }
    fprintf(log, "%.3f ", (double)(io_now() - self->started_at) / LV_SECOND);
    va_start(arguments, format);
    vfprintf(log, format, arguments);
    va_end(arguments);
    putc('\n', log);
    fflush(log);
}

static void
begin_calm(lv_time now)
{
    if (!world.is_calm) {
        world.is_calm = true;
        world.calm_at = now;
        faults_end(&world);
    }
}

static void
watch_phase(lv_time now)
{
    lv_time calm_at = world.started_at + START_TIME + world.length;
    lv_time end_at = calm_at + CALM_TIME;

    if (now < world.started_at + START_TIME) {
        return;
    }
    if (now < calm_at) {
        faults_tick(&world, now);
        return;
    }
    begin_calm(now);
    world.is_ending = now >= end_at;
    if (now >= end_at + END_TIME) {
        uv_stop(&world.loop);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    lv_time now = io_now();

    (void)timer;
    world.last_tick_at = world.tick_at;
    world.tick_at = now;
    if (world.last_tick_at != 0 &&
        now - world.last_tick_at > world.longest_gap) {
        world.longest_gap = now - world.last_tick_at;
    }
    watch_phase(now);
    store_tick(&world, now);
    front_tick(&world.store.server, now);
    for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
        endpoint_tick(&world.endpoints[i], now);
    }
    for (uint32_t i = 0; i < world.daemon_count; i++) {
        daemon_tick(&world.daemons[i], now);
    }
    callers_tick(&world, now);
}

static void
start_all(void)
{
    char target[LV_ADDRESS_SIZE];
    struct sockaddr_in address;
    int size = sizeof address;

    uv_loop_init(&world.loop);
    uv_timer_init(&world.loop, &world.timer);
    world.started_at = io_now();
    world.random = map_mix(world.seed);
    world.version = 2;
    world.idle_limit = SOAK_IDLE_LONGEST;
    for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
        endpoint_start(&world, i);
    }
    store_start(&world);
    uv_tcp_getsockname(&world.store.server.listener,
                       (struct sockaddr *)&address, &size);
    snprintf(target, sizeof target, "127.0.0.1:%u",
             (unsigned)ntohs(address.sin_port));
    store_show(&world);
    for (uint32_t i = 0; i < world.daemon_count; i++) {
        daemon_init(&world, i);
        link_start(&world.daemons[i].store, &world, target);
    }
    for (uint32_t i = 0; i < world.daemon_count; i++) {
        daemon_start(&world.daemons[i]);
    }
    callers_start(&world);
    uv_timer_start(&world.timer, on_timer, SOAK_TICK_MS, SOAK_TICK_MS);
}

static void
stop_daemons(void)
{
    for (uint32_t i = 0; i < world.daemon_count; i++) {
        if (world.daemons[i].process.pid > 0) {
            proc_signal(&world.daemons[i].process, SIGCONT);
            proc_signal(&world.daemons[i].process, SIGTERM);
        }
    }
    for (uint32_t i = 0; i < world.daemon_count; i++) {
        soak_daemon *daemon = &world.daemons[i];

        if (!proc_wait_end(&daemon->process,
                           (SOAK_GRACE + SOAK_MARGIN) / LV_MILLISECOND)) {
            judge_fault(&world, "router-%u does not end", i);
        }
        proc_kill(&daemon->process);
        fclose(daemon->log);
    }
}

static int
report(void)
{
    printf("seed %llu: %u gateways, %u requests, %u answers, %u refusals, "
           "%u repeats, %u violations%s%s, %.0f bytes/s of datagrams each, "
           "loop late by %u ms at most\n",
           (unsigned long long)world.seed, world.daemon_count,
           world.call_count, world.answers, world.refusals, world.repeats,
           world.violations,
           world.plant != SOAK_PLANT_NONE ? ", planted " : "",
           world.plant != SOAK_PLANT_NONE ? plant_names[world.plant] : "",
           world.peer_rate, (unsigned)(world.longest_gap / LV_MILLISECOND));
    if (world.plant != SOAK_PLANT_NONE) {
        return world.plants_found > 0 ? 0 : 1;
    }
    return world.violations > 0 ? 1 : 0;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    switch (key) {
    case 's':
        world.seed = strtoull(value, NULL, 10);
        return 0;
    case 't':
        world.length = strtoull(value, NULL, 10) * LV_SECOND;
        return 0;
    case 'n':
        world.daemon_count = (uint32_t)strtoul(value, NULL, 10);
        if (world.daemon_count < 1 || world.daemon_count > SOAK_DAEMONS_MAX) {
            argp_error(state, "--daemons: write a number from 1 to %d",
                       SOAK_DAEMONS_MAX);
        }
        return 0;
    case 'f':
        world.folder = value;
        return 0;
    case 'p':
        for (int i = 0; i < SOAK_PLANT_COUNT; i++) {
            if (strcmp(value, plant_names[i]) == 0) {
                world.plant = (soak_plant)i;
                return 0;
            }
        }
        argp_error(state, "--plant: there is no mistake '%s'", value);
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"seed", 's', "N", 0, "of all that is drawn", 0},
        {"seconds", 't', "N", 0, "with faults", 0},
        {"daemons", 'n', "N", 0, "gateways", 0},
        {"folder", 'f', "DIR", 0, "for settings and logs", 0},
        {"plant", 'p', "NAME", 0, "make a mistake; succeeds when it is found",
         0},
        {0}};
    static const struct argp argp = {options, parse_option, NULL, NULL,
                                     NULL,    NULL,         NULL};

    world.seed = 1;
    world.length = DEFAULT_SECONDS * LV_SECOND;
    world.daemon_count = DEFAULT_DAEMONS;
    world.folder = ".";
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    mkdir(world.folder, 0700);
    signal(SIGPIPE, SIG_IGN);
    world.caller_count = world.daemon_count * CALLERS_PER_DAEMON;
    start_all();
    uv_run(&world.loop, UV_RUN_DEFAULT);
    judge_end(&world);
    callers_stop(&world);
    stop_daemons();
    return report();
}
