#include "soak.h"

#define GAP_LEAST (50 * LV_MILLISECOND)
#define GAP_MOST (600 * LV_MILLISECOND)
#define LENGTH_LEAST (200 * LV_MILLISECOND)
#define LENGTH_MOST (2500 * LV_MILLISECOND)
#define DOWN_MOST LV_SECOND
#define DELAY_MOST (400 * LV_MILLISECOND)

/* An endpoint that leaves by its word stays for longer than the bound. */
#define WORD_LEAST (3 * LV_SECOND)
#define WORD_MOST (5 * LV_SECOND)

/* The operator writes again this long after the store came back. */
#define OLD_LEAST LV_SECOND
#define OLD_MOST (9 * LV_SECOND)

/* A limit, a deadly block and an evacuation last beyond their bounds. */
#define LONG_LEAST (8 * LV_SECOND)
#define LONG_MOST (12 * LV_SECOND)

/* In units of SOAK_LIMIT_LEAST. */
#define LIMIT_MOST 40

/* Between two steps of a series. */
#define STEP_LEAST (20 * LV_MILLISECOND)
#define STEP_MOST (400 * LV_MILLISECOND)

typedef enum fault_kind {
    FAULT_NONE,
    FAULT_PAUSE,
    FAULT_KILL,
    FAULT_HERD_KILL,
    FAULT_TERMINATE,
    FAULT_RELOAD,
    FAULT_STORE_LINK,
    FAULT_ENDPOINT_LINK,
    FAULT_MOOD,
    FAULT_LEAVE,
    FAULT_STORE,
    FAULT_VERSION,
    FAULT_SILENCE,
    FAULT_SERIES,  /* at one gateway */
    FAULT_WORD,    /* an endpoint leaves by its own word */
    FAULT_LIMIT,   /* an endpoint names a limit */
    FAULT_BLOCK,   /* a block of prompts crashes endpoints */
    FAULT_REPEAT,  /* so does a request that comes again and again */
    FAULT_RELEASE, /* half of the endpoints get new software */
    FAULT_ZONE,    /* a zone is evacuated */
    FAULT_KINDS
} fault_kind;

static const char *const names[FAULT_KINDS] = {
    "none",   "pause",      "kill",          "herd-kill", "terminate",
    "reload", "store-link", "endpoint-link", "mood",      "leave",
    "store",  "version",    "silence",       "series",    "word",
    "limit",  "block",      "repeat",        "release",   "zone"};

static link_fault
draw_store_link_fault(soak_world *world)
{
    return LINK_DELAYED + soak_draw(world, LINK_REFUSES - LINK_DELAYED + 1);
}

/* Of endpoints: a kept connection that carries nothing after the fault is not
 * told from a silent endpoint. */
static link_fault
draw_link_fault(soak_world *world)
{
    link_fault fault = draw_store_link_fault(world);

    return fault == LINK_LOSES ? LINK_SILENT : fault;
}

/* A paused or ending one too. */
static soak_daemon *
live_daemon(soak_world *world, uint32_t target)
{
    soak_daemon *daemon = &world->daemons[target];

    return daemon->state != DAEMON_DOWN ? daemon : NULL;
}

void
fault_kill_and_restart(soak_world *world, soak_daemon *daemon)
{
    daemon_kill(daemon);
    daemon->start_at = io_now() + soak_draw_time(world, 0, DOWN_MOST);
}

static void
kill_many(soak_world *world)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        if (soak_draw(world, 2) == 0 && live_daemon(world, i) != NULL) {
            fault_kill_and_restart(world, &world->daemons[i]);
        }
    }
}

void
fault_terminate(soak_daemon *daemon)
{
    daemon_terminate(daemon);
    daemon->start_at = io_now(); /* as soon as it has ended */
}

void
fault_show_version(soak_world *world)
{
    static const lv_time idle_limits[] = {SOAK_IDLE_LEAST, LV_SECOND,
                                          5 * LV_SECOND, SOAK_IDLE_LONGEST};

    if (world->store.mood == STORE_OLD) {
        return; /* it is written again first */
    }
    world->version++;
    if (world->plant == SOAK_PLANT_NONE) {
        world->idle_limit = idle_limits[soak_draw(world, 4)];
    }
    soak_log(world, "version %u, idle limit %u ms", world->version,
             (unsigned)(world->idle_limit / LV_MILLISECOND));
    world->version_at[world->version % SOAK_VERSIONS_MAX] = io_now();
    store_show(world);
}

static void
set_listed(soak_endpoint *endpoint, bool is_listed)
{
    endpoint->is_listed = is_listed;
    endpoint->births += is_listed;
    endpoint->changed_at = io_now();
    if (is_listed) {
        notice_set_leaving(endpoint, false);
    }
    store_show(endpoint->world);
}

void
fault_release(soak_world *world)
{
    uint32_t software = 0;

    for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
        if (world->endpoints[i].software > software) {
            software = world->endpoints[i].software;
        }
    }
    for (uint32_t i = soak_draw(world, 2); i < SOAK_ENDPOINTS; i += 2) {
        soak_endpoint *endpoint = &world->endpoints[i];

        endpoint->software = software + 1;
        endpoint->births++;
        endpoint->changed_at = io_now();
        notice_set_leaving(endpoint, false);
        limit_set(endpoint, 0);
    }
    store_show(world);
}

/* One endpoint, or all at a time, with a change of the configuration beside
 * it. */
static void
fall_silent(soak_world *world, soak_endpoint *endpoint)
{
    if (soak_draw(world, 2) == 0) {
        fault_show_version(world);
    }
    if (soak_draw(world, 4) != 0) {
        endpoint_fall_silent(endpoint);
        return;
    }
    for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
        endpoint_fall_silent(&world->endpoints[i]);
    }
}

/* The next step of a series: signals, restarts and configurations. */
static void
step_series(soak_world *world, soak_fault *fault)
{
    soak_daemon *daemon = live_daemon(world, fault->target);
    uint32_t drawn = soak_draw(world, 100);

    fault->next_at = io_now() + soak_draw_time(world, STEP_LEAST, STEP_MOST);
    if (drawn < 30) {
        fault_show_version(world);
    }
    else if (daemon == NULL) {
        return;
    }
    else if (daemon->is_stopped) {
        daemon_go_on(daemon);
    }
    else if (drawn < 60) {
        daemon_reload(daemon);
    }
    else if (drawn < 75) {
        daemon_pause(daemon);
    }
    else if (drawn < 95) {
        fault_terminate(daemon);
    }
    else {
        fault_kill_and_restart(world, daemon);
    }
}

/* Only a store that names its era comes back from an older copy. */
static void
disturb_store(soak_world *world, soak_fault *fault)
{
    uint32_t moods = world->store.era != 0 ? STORE_OLD : STORE_DEAF;
    store_mood mood = STORE_DOWN + soak_draw(world, moods);

    if (mood == STORE_OLD) {
        fault->until = io_now() + soak_draw_time(world, OLD_LEAST, OLD_MOST);
    }
    store_set(world, mood);
}

static void
begin_on_daemon(soak_world *world, fault_kind kind, soak_daemon *daemon)
{
    switch (kind) {
    case FAULT_PAUSE:
        daemon_pause(daemon);
        break;
    case FAULT_KILL:
        fault_kill_and_restart(world, daemon);
        break;
    case FAULT_TERMINATE:
        fault_terminate(daemon);
        break;
    case FAULT_RELOAD:
        daemon_reload(daemon);
        break;
    default:
        link_set(&daemon->store, draw_store_link_fault(world),
                 soak_draw_time(world, 0, DELAY_MOST));
        break;
    }
}

static void
begin_fault(soak_world *world, soak_fault *fault)
{
    soak_endpoint *endpoint =
        &world->endpoints[fault->target % SOAK_ENDPOINTS];
    soak_daemon *daemon = live_daemon(world, fault->target);

    soak_log(world, "fault %s at %u", names[fault->kind], fault->target);
    switch ((fault_kind)fault->kind) {
    case FAULT_NONE:
    case FAULT_KINDS:
        break;
    case FAULT_HERD_KILL:
        kill_many(world);
        break;
    case FAULT_ENDPOINT_LINK:
        link_set(&endpoint->link, draw_link_fault(world),
                 soak_draw_time(world, 0, DELAY_MOST));
        break;
    case FAULT_MOOD:
        endpoint->mood = 1 + soak_draw(world, ENDPOINT_MOODS - 1);
        break;
    case FAULT_LEAVE:
        set_listed(endpoint, false);
        break;
    case FAULT_STORE:
        disturb_store(world, fault);
        break;
    case FAULT_VERSION:
        fault_show_version(world);
        break;
    case FAULT_SILENCE:
        fall_silent(world, endpoint);
        break;
    case FAULT_SERIES:
        fault->next_at = io_now();
        break;
    case FAULT_WORD:
        notice_set_leaving(endpoint, true);
        break;
    case FAULT_LIMIT:
        limit_set(endpoint,
                  (double)soak_draw_time(world, SOAK_LIMIT_LEAST, LIMIT_MOST) /
                      SOAK_LIMIT_LEAST);
        break;
    case FAULT_BLOCK:
        block_set_deadly(&world->block, true);
        break;
    case FAULT_REPEAT:
        block_set_deadly(&world->request, true);
        break;
    case FAULT_RELEASE:
        fault_release(world);
        break;
    case FAULT_ZONE:
        zone_set_evacuated(world, fault->target % SOAK_ZONES, true);
        break;
    default:
        if (daemon != NULL) {
            begin_on_daemon(world, fault->kind, daemon);
        }
        else {
            fault->kind = FAULT_NONE;
        }
        break;
    }
}

static void
end_fault(soak_world *world, soak_fault *fault)
{
    soak_endpoint *endpoint =
        &world->endpoints[fault->target % SOAK_ENDPOINTS];
    soak_daemon *daemon = &world->daemons[fault->target];

    switch ((fault_kind)fault->kind) {
    case FAULT_PAUSE:
    case FAULT_SERIES:
        daemon_go_on(daemon);
        break;
    case FAULT_STORE_LINK:
        link_set(&daemon->store, LINK_GOOD, 0);
        break;
    case FAULT_ENDPOINT_LINK:
        link_set(&endpoint->link, LINK_GOOD, 0);
        break;
    case FAULT_MOOD:
        endpoint->mood = ENDPOINT_GOOD;
        break;
    case FAULT_LEAVE:
        set_listed(endpoint, true);
        break;
    case FAULT_WORD:
        if (endpoint->is_leaving && endpoint->is_listed) {
            set_listed(endpoint, true); /* another one at its address */
        }
        break;
    case FAULT_LIMIT:
        limit_set(endpoint, 0);
        break;
    case FAULT_BLOCK:
        block_set_deadly(&world->block, false);
        break;
    case FAULT_REPEAT:
        block_set_deadly(&world->request, false);
        break;
    case FAULT_STORE:
        store_set(world, STORE_GOOD);
        break;
    case FAULT_ZONE:
        zone_set_evacuated(world, fault->target % SOAK_ZONES, false);
        break;
    default:
        break;
    }
    fault->kind = FAULT_NONE;
}

/* Faults of one kind do not overlap at one target. */
static bool
is_on(const soak_world *world, uint32_t kind, uint32_t target)
{
    for (int i = 0; i < SOAK_FAULTS_MAX; i++) {
        const soak_fault *fault = &world->faults[i];
        bool is_endpoint = kind == FAULT_ENDPOINT_LINK || kind == FAULT_MOOD ||
                           kind == FAULT_LEAVE || kind == FAULT_SILENCE ||
                           kind == FAULT_WORD || kind == FAULT_LIMIT;
        bool is_same = is_endpoint ? fault->target % SOAK_ENDPOINTS ==
                                         target % SOAK_ENDPOINTS
                                   : fault->target == target;

        if (fault->kind == kind &&
            (is_same || kind == FAULT_STORE || kind == FAULT_BLOCK ||
             kind == FAULT_REPEAT || kind == FAULT_ZONE)) {
            return true;
        }
    }
    return false;
}

static void
add_fault(soak_world *world, uint32_t kind, uint32_t target, lv_time until)
{
    for (int i = 0; i < SOAK_FAULTS_MAX && !is_on(world, kind, target); i++) {
        soak_fault *fault = &world->faults[i];

        if (fault->kind == FAULT_NONE) {
            fault->kind = kind;
            fault->target = target;
            fault->until = until;
            begin_fault(world, fault);
            return;
        }
    }
}

static void
draw_fault(soak_world *world, lv_time now)
{
    uint32_t kind = 1 + soak_draw(world, FAULT_KINDS - 1);
    uint32_t target = soak_draw(world, world->daemon_count);
    lv_time until = now + soak_draw_time(world, LENGTH_LEAST, LENGTH_MOST);

    if (kind == FAULT_LIMIT || kind == FAULT_BLOCK || kind == FAULT_REPEAT ||
        kind == FAULT_ZONE) {
        until = now + soak_draw_time(world, LONG_LEAST, LONG_MOST);
    }
    if (kind == FAULT_WORD) {
        until = now + soak_draw_time(world, WORD_LEAST, WORD_MOST);
        if (soak_draw(world, 3) != 0) {
            add_fault(world, FAULT_STORE, target, until);
        }
    }
    add_fault(world, kind, target, until);
}

void
faults_tick(soak_world *world, lv_time now)
{
    if (world->plant != SOAK_PLANT_NONE) {
        plant_tick(world, now);
        return;
    }
    for (int i = 0; i < SOAK_FAULTS_MAX; i++) {
        if (world->faults[i].kind != FAULT_NONE &&
            now >= world->faults[i].until) {
            end_fault(world, &world->faults[i]);
        }
        if (world->faults[i].kind == FAULT_SERIES &&
            now >= world->faults[i].next_at) {
            step_series(world, &world->faults[i]);
        }
    }
    if (now >= world->next_fault_at) {
        draw_fault(world, now);
        world->next_fault_at =
            now + soak_draw_time(world, GAP_LEAST, GAP_MOST);
    }
}

void
faults_end(soak_world *world)
{
    for (int i = 0; i < SOAK_FAULTS_MAX; i++) {
        if (world->faults[i].kind != FAULT_NONE) {
            end_fault(world, &world->faults[i]);
        }
    }
    soak_log(world, "the faults are over");
}
