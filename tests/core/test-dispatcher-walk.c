/*
 * Seeded walks over faults, single and together: after a calm of a few
 * seconds every slot is in use again, no lease is lost or doubled and the
 * shares are even.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lease-entry.h"

enum {
    ENTRIES = 6,
    ENDPOINTS = 5,
    SLOTS = 2,
    ACCOUNTS = 6,
    FAULTS = 8,
    WALKS = 40
};

static fleet_fleet fleet;
static fleet_work work[ACCOUNTS];
static uint32_t serving;

typedef enum fault {
    FAULT_LOSS,
    FAULT_DISPATCHER,
    FAULT_ENTRY,
    FAULT_PARTITION,
    FAULT_LEAVING,
    FAULT_QUEUE,
    FAULT_COUNT
} fault;

static uint32_t
draw(uint32_t below)
{
    return (uint32_t)(fleet_random(&fleet) % below);
}

static void
run_for(uint32_t milliseconds)
{
    fleet_run(&fleet, fleet.now + milliseconds * LV_MILLISECOND);
}

static void
serve(uint32_t number)
{
    serving = number;
    for (uint32_t i = 0; i < ENTRIES; i++) {
        if (fleet.entries[i].is_up) {
            fleet_turn(&fleet, i, number);
        }
    }
    fleet_tell_members(&fleet, number, 1000);
}

static void
replace_dispatcher(void)
{
    fleet_stop_dispatcher(&fleet, serving);
    run_for(draw(3000));
    serve(fleet_start_dispatcher(&fleet, 0, draw(ENTRIES), 1));
}

static void
restart_entry(void)
{
    uint32_t entry = draw(ENTRIES);

    if (fleet.dispatchers[serving].instance == entry) {
        return;
    }
    fleet_stop_entry(&fleet, entry);
    run_for(draw(500));
    if (draw(2) == 0) {
        fleet_tell_members(&fleet, serving, 1000);
        run_for(draw(3000));
    }
    fleet_start_entry(&fleet, entry);
    fleet_turn(&fleet, entry, serving);
    fleet_tell_members(&fleet, serving, 1000);
}

static void
partition(void)
{
    uint32_t home = fleet.dispatchers[serving].instance;
    uint32_t away = (home + 1) % ENTRIES;
    uint32_t other;

    for (uint32_t i = 0; i < ENTRIES; i++) {
        fleet.entries[i].side = i == away || (i != home && draw(2) == 0);
    }
    run_for(draw(500));
    other = fleet_start_dispatcher(&fleet, 0, away, 1);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        if (fleet.entries[i].side == 1) {
            fleet_turn(&fleet, i, other);
        }
    }
    fleet_tell_members(&fleet, serving, 500);
    fleet_tell_members(&fleet, other, 500);
    run_for(draw(4000));
    for (uint32_t i = 0; i < ENTRIES; i++) {
        fleet.entries[i].side = 0;
    }
    if (draw(2) == 0) {
        fleet_stop_dispatcher(&fleet, serving);
        serve(other);
    }
    else {
        fleet_stop_dispatcher(&fleet, other);
        serve(serving);
    }
}

static void
leave_and_return(void)
{
    lv_id endpoint = 3000 + draw(ENDPOINTS);
    disp_dispatcher *disp = &fleet.dispatchers[serving].disp;

    disp_set_endpoint_leaving(disp, fleet.now, endpoint, true);
    run_for(draw(1000));
    disp_set_endpoint_leaving(disp, fleet.now, endpoint, false);
}

static void
queue_at_engine(void)
{
    lv_id endpoint = 3000 + draw(ENDPOINTS);
    disp_dispatcher *disp = &fleet.dispatchers[serving].disp;
    disp_load queued = {.running = SLOTS, .queued = 1 + draw(3)};
    disp_load full = {.running = SLOTS};

    disp_apply_load(disp, fleet.now, endpoint, &queued);
    disp_apply_load(disp, fleet.now, endpoint, &queued);
    run_for(draw(1000));
    for (int i = 0; i < 3 * SLOTS; i++) {
        disp_apply_load(disp, fleet.now, endpoint, &full);
    }
}

static void
lose_messages(void)
{
    fleet.plan.lost = draw(200);
    fleet.plan.repeated = draw(200);
    fleet.plan.jitter = draw(20000) + 1;
    run_for(draw(1500));
    if (draw(2) == 0) {
        fleet.plan.lost = 0;
        fleet.plan.repeated = 0;
        fleet.plan.jitter = 0;
    }
}

static void
bring_about(fault kind)
{
    static void (*const faults[FAULT_COUNT])(void) = {
        [FAULT_LOSS] = lose_messages,
        [FAULT_DISPATCHER] = replace_dispatcher,
        [FAULT_ENTRY] = restart_entry,
        [FAULT_PARTITION] = partition,
        [FAULT_LEAVING] = leave_and_return,
        [FAULT_QUEUE] = queue_at_engine,
    };

    if (fleet.dispatcher_count < FLEET_DISPATCHERS ||
        (kind != FAULT_DISPATCHER && kind != FAULT_PARTITION)) {
        faults[kind]();
    }
}

static void
start_walk(uint64_t seed)
{
    fleet_plan plan = {
        .seed = seed,
        .entries = ENTRIES,
        .shards = 1,
        .endpoints = ENDPOINTS,
        .slots = SLOTS,
        .accounts = ACCOUNTS,
        .work = work,
        .quantum = 200,
        .latency = LV_MILLISECOND,
    };

    for (uint32_t a = 0; a < ACCOUNTS; a++) {
        work[a] = (fleet_work){
            .entries = (1U << a) | (1U << (a * 5 + 2) % ENTRIES),
            .backlog = 3,
            .least_ms = 20,
            .most_ms = 200,
        };
    }
    fleet_init(&fleet, &plan);
    serving = 0;
}

static void
check_calm(uint64_t seed)
{
    lv_time mark[FLEET_ACCOUNTS];
    disp_counts counts;
    fleet_gap gap;

    fleet.plan.lost = 0;
    fleet.plan.repeated = 0;
    fleet.plan.jitter = 0;
    run_for(5000);
    fleet_reset_counts(&fleet);
    fleet_mark(&fleet, mark);
    run_for(20000);
    gap = fleet_gap_since(&fleet, mark, UINT32_MAX);
    disp_read_counts(&fleet.dispatchers[serving].disp, &counts);
    cr_expect_eq(counts.slots, ENDPOINTS * SLOTS, "seed %u: %u slots",
                 (unsigned)seed, counts.slots);
    cr_expect_leq(counts.leased, counts.slots, "seed %u", (unsigned)seed);
    cr_expect_geq(fleet_use(&fleet), 980, "seed %u: use %u", (unsigned)seed,
                  fleet_use(&fleet));
    cr_expect_leq(gap.gap, fleet_bound(&fleet), "seed %u", (unsigned)seed);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        cr_expect_leq(fleet.most_running_at[i], SLOTS, "seed %u: endpoint %u",
                      (unsigned)seed, i);
    }
    cr_expect_eq(fleet.bad_decisions, 0, "seed %u", (unsigned)seed);
}

typedef struct walk_case {
    uint64_t first_seed;
} walk_case;

static walk_case walk_cases[] = {{1000}, {2000},  {3000},
                                 {4000}, {11000}, {14000}};

ParameterizedTestParameters(dispatcher_walk, recovers_from_any_faults)
{
    return cr_make_param_array(walk_case, walk_cases,
                               sizeof walk_cases / sizeof walk_cases[0]);
}

ParameterizedTest(walk_case *with, dispatcher_walk, recovers_from_any_faults)
{
    for (uint64_t seed = with->first_seed; seed < with->first_seed + WALKS;
         seed++) {
        start_walk(seed);
        run_for(1000);
        for (int i = 0; i < FAULTS; i++) {
            bring_about((fault)draw(FAULT_COUNT));
            run_for(draw(1000));
        }
        check_calm(seed);
        fleet_finish(&fleet);
    }
}
