/*
 * What must always hold, on virtual time: each fault alone, pairs of
 * faults, seeded walks over all of them, and planted faults that the checks
 * must find.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "pump.h"

#define WARM_UP (4 * LV_SECOND)
#define FAULT_TIME (4 * LV_SECOND)
#define HEAL_TIME (5 * LV_SECOND)
#define CLOSE_TIME (20 * LV_SECOND)
#define CLOSE_STEP (500 * LV_MILLISECOND)
#define CATALOGUE_LIMIT (3 * LV_SECOND)
#define WALKS_PER_BLOCK 125
#define WALK_BLOCKS 8
#define FIRST_SEED 1000
#define MUTANT_WALKS 8
#define FLOOD_REQUESTS 150

typedef enum fault {
    FAULT_NONE,
    FAULT_DROP,
    FAULT_DUPLICATE,
    FAULT_DELAY,
    FAULT_PARTITION,
    FAULT_KILL,
    FAULT_KILL_DISPATCHER,
    FAULT_PAUSE,
    FAULT_PAUSE_DISPATCHER,
    FAULT_PLATFORM_DOWN,
    FAULT_PLATFORM_STALE,
    FAULT_SILENT,
    FAULT_CRASH_ENDPOINT,
    FAULT_LEAVING,
    FAULT_RESTART,
    FAULT_DRAIN,
    FAULT_PUBLISH,
    FAULT_SILENT_LINK,
    FAULT_FLOOD,
    FAULT_COUNT
} fault;

static const char *const fault_names[FAULT_COUNT] = {
    "none",
    "drop",
    "duplicate",
    "delay",
    "partition",
    "kill",
    "kill-dispatcher",
    "pause",
    "pause-dispatcher",
    "platform-down",
    "platform-stale",
    "silent",
    "crash-endpoint",
    "leaving",
    "restart",
    "drain",
    "publish",
    "silent-link",
    "flood",
};

static uint32_t
pick_dispatcher(pump_pump *pump)
{
    uint32_t index = pump_find_dispatcher(pump);

    return index < pump->settings.nodes ? index : 0;
}

static void
start_stale(pump_pump *pump)
{
    pump->stale_revision = pump->published;
    pump->stale_lists = pump->list_revision;
    pump_publish(pump);
    pump_run(pump, LV_SECOND);
    pump->is_platform_stale = true;
    pump_kill(pump, 1);
    pump_start(pump, 1);
}

static void
restart(pump_pump *pump, uint32_t index)
{
    pump_kill(pump, index);
    pump_start(pump, index);
}

/* The platform must be able to say so, and one endpoint must stay: without
 * any, requests rightly wait to their deadline. */
static void
leave(pump_pump *pump, uint32_t endpoint)
{
    uint32_t staying = 0;

    for (uint32_t i = 0; i < pump->settings.engines; i++) {
        staying += pump->endpoints[i].leaving_since == 0 ? 1 : 0;
    }
    if (pump->is_platform_up && !pump->is_platform_stale && staying > 1 &&
        pump->endpoints[endpoint].leaving_since == 0) {
        pump_leave_endpoint(pump, endpoint);
    }
}

static void
bring_fault(pump_pump *pump, fault which)
{
    uint32_t nodes = pump->settings.nodes;
    uint32_t node = pump_random(pump, nodes);
    uint32_t endpoint = pump_random(pump, pump->settings.engines);

    switch (which) {
    case FAULT_DROP:
        pump->faults.drop_permille = 200;
        break;
    case FAULT_DUPLICATE:
        pump->faults.duplicate_permille = 300;
        break;
    case FAULT_DELAY:
        pump->faults.delay_permille = 300;
        pump->faults.delay_max = 400 * LV_MILLISECOND;
        break;
    case FAULT_PARTITION:
        pump_split(pump, 1 + node % (nodes - 1));
        break;
    case FAULT_KILL:
        pump_kill(pump, node);
        break;
    case FAULT_KILL_DISPATCHER:
        pump_kill(pump, pick_dispatcher(pump));
        break;
    case FAULT_PAUSE:
        pump_pause(pump, node);
        break;
    case FAULT_PAUSE_DISPATCHER:
        pump_pause(pump, pick_dispatcher(pump));
        break;
    case FAULT_PLATFORM_DOWN:
        pump->is_platform_up = false;
        break;
    case FAULT_PLATFORM_STALE:
        start_stale(pump);
        break;
    case FAULT_SILENT:
        pump_silence_endpoint(pump, endpoint);
        break;
    case FAULT_CRASH_ENDPOINT:
        pump_crash_endpoint(pump, endpoint);
        break;
    case FAULT_LEAVING:
        leave(pump, endpoint);
        break;
    case FAULT_RESTART:
        restart(pump, node);
        break;
    case FAULT_DRAIN:
        pump_drain(pump, node);
        break;
    case FAULT_PUBLISH:
        pump_publish(pump);
        break;
    case FAULT_SILENT_LINK:
        pump->is_cut[node][pump_random(pump, nodes)] = true;
        break;
    case FAULT_FLOOD:
        pump_flood(pump, 0, node, FLOOD_REQUESTS);
        break;
    case FAULT_NONE:
    case FAULT_COUNT:
        break;
    }
}

/* Every live router, all connected now, has the published catalogue. */
static void
check_catalogue(pump_pump *pump)
{
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        const pump_node *node = &pump->nodes[i];

        if (node->node != NULL && node->revision != pump->published) {
            pump_violate(pump, "node %u has catalogue %lu, not %lu", i,
                         (unsigned long)node->revision,
                         (unsigned long)pump->published);
        }
    }
}

static void
end_walk(pump_pump *pump)
{
    lv_time waited = 0;
    uint32_t open = 1;

    pump_heal(pump);
    pump_run(pump, CATALOGUE_LIMIT);
    check_catalogue(pump);
    pump_run(pump, HEAL_TIME - CATALOGUE_LIMIT);
    pump_set_load(pump, false);
    while (open > 0 && waited < CLOSE_TIME) {
        pump_run(pump, CLOSE_STEP);
        waited += CLOSE_STEP;
        open = 0;
        for (uint32_t i = 0; i < pump->request_count; i++) {
            open += pump->requests[i].is_open ? 1 : 0;
        }
    }
    pump_check_open(pump);
}

static pump_pump *
start_walk(uint64_t seed, pump_mutation mutation)
{
    pump_settings settings;
    pump_pump *pump;

    pump_default_settings(&settings, seed);
    settings.mutation = mutation;
    if (seed % 2 == 1) {
        settings.shard_endpoints = 1;
    }
    settings.nodes = 3 + seed / 2 % 3;
    pump = pump_open(&settings);
    pump_run(pump, WARM_UP);
    pump_set_load(pump, true);
    pump_run(pump, LV_SECOND);
    return pump;
}

Test(walk, each_fault_alone)
{
    for (int which = FAULT_NONE; which < FAULT_COUNT; which++) {
        pump_pump *pump = start_walk(1 + which, PUMP_MUTATE_NOTHING);

        bring_fault(pump, which);
        pump_run(pump, FAULT_TIME);
        end_walk(pump);
        cr_expect_eq(pump->violations, 0, "%s: %s", fault_names[which],
                     pump->first_violation);
        cr_expect_gt(pump->request_count, 100, "%s: only %u requests",
                     fault_names[which], pump->request_count);
        pump_close(pump);
    }
}

Test(walk, each_fault_twice)
{
    for (int which = FAULT_NONE; which < FAULT_COUNT; which++) {
        pump_pump *pump = start_walk(101 + which, PUMP_MUTATE_NOTHING);

        bring_fault(pump, which);
        pump_run(pump, FAULT_TIME / 2);
        bring_fault(pump, which);
        pump_run(pump, FAULT_TIME / 2);
        end_walk(pump);
        cr_expect_eq(pump->violations, 0, "%s: %s", fault_names[which],
                     pump->first_violation);
        pump_close(pump);
    }
}

Test(walk, pairs_of_faults)
{
    for (int first = 1; first < FAULT_COUNT; first++) {
        for (int second = first + 1; second < FAULT_COUNT; second++) {
            uint64_t seed = 200 + (uint64_t)first * FAULT_COUNT + second;
            pump_pump *pump = start_walk(seed, PUMP_MUTATE_NOTHING);

            bring_fault(pump, first);
            pump_run(pump, FAULT_TIME / 4);
            bring_fault(pump, second);
            pump_run(pump, FAULT_TIME / 2);
            end_walk(pump);
            cr_expect_eq(pump->violations, 0, "%s and %s: %s",
                         fault_names[first], fault_names[second],
                         pump->first_violation);
            pump_close(pump);
        }
    }
}

static void
walk_seed(uint64_t seed)
{
    pump_pump *pump = start_walk(seed, PUMP_MUTATE_NOTHING);
    uint32_t faults = 2 + pump_random(pump, 3);

    for (uint32_t i = 0; i < faults; i++) {
        bring_fault(pump, 1 + pump_random(pump, FAULT_COUNT - 1));
        pump_run(pump, pump_random(pump, 1500) * LV_MILLISECOND);
    }
    end_walk(pump);
    cr_expect_eq(pump->violations, 0, "seed %lu: %s", (unsigned long)seed,
                 pump->first_violation);
    pump_close(pump);
}

ParameterizedTestParameters(walk, seeded_walks)
{
    static int blocks[WALK_BLOCKS];

    for (int i = 0; i < WALK_BLOCKS; i++) {
        blocks[i] = i;
    }
    return cr_make_param_array(int, blocks, WALK_BLOCKS);
}

ParameterizedTest(int *block, walk, seeded_walks)
{
    for (int i = 0; i < WALKS_PER_BLOCK; i++) {
        walk_seed((uint64_t)FIRST_SEED + *block * WALKS_PER_BLOCK + i);
    }
}

/* Which faults bring a planted mistake out. */
typedef struct mutant_case {
    const char *name;
    pump_mutation mutation;
    fault faults[2];
} mutant_case;

static const mutant_case mutants[] = {
    {"sends twice", PUMP_MUTATE_SEND_TWICE, {FAULT_NONE, FAULT_NONE}},
    {"swaps answers", PUMP_MUTATE_SWAP_ANSWERS, {FAULT_NONE, FAULT_NONE}},
    {"cuts answers", PUMP_MUTATE_CUT_ANSWER, {FAULT_NONE, FAULT_NONE}},
    {"calls unknown not-run",
     PUMP_MUTATE_LIE_NOT_RUN,
     {FAULT_CRASH_ENDPOINT, FAULT_SILENT}},
    {"does not hear of leaving",
     PUMP_MUTATE_IGNORE_LEAVE,
     {FAULT_LEAVING, FAULT_NONE}},
    {"takes an older catalogue",
     PUMP_MUTATE_REVERT,
     {FAULT_PUBLISH, FAULT_NONE}},
    {"cuts at shutdown", PUMP_MUTATE_CUT_AT_DRAIN, {FAULT_DRAIN, FAULT_NONE}},
};

static bool
is_mutant_found(const mutant_case *c, uint64_t seed)
{
    pump_pump *pump = start_walk(seed, c->mutation);
    bool is_found;

    for (int f = 0; f < 2; f++) {
        bring_fault(pump, c->faults[f]);
        pump_run(pump, FAULT_TIME);
    }
    end_walk(pump);
    is_found = pump->violations > 0;
    pump_close(pump);
    return is_found;
}

/* Not every walk has a request in the way of the fault. */
Test(walk, planted_mistakes_are_found)
{
    for (size_t i = 0; i < sizeof mutants / sizeof mutants[0]; i++) {
        const mutant_case *c = &mutants[i];
        bool is_found = false;

        for (uint64_t walk = 0; walk < MUTANT_WALKS && !is_found; walk++) {
            is_found = is_mutant_found(c, 9000 + 100 * i + walk);
        }
        cr_expect(is_found, "nothing noticed: %s", c->name);
    }
}
