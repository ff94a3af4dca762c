/*
 * Fleet-wide limits, idle accounts, and the slots that follow the engine's
 * load report.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lease-fleet.h"

static fleet_fleet fleet;
static fleet_work work[FLEET_ACCOUNTS];

static const fleet_plan base_plan = {
    .entries = 8,
    .shards = 1,
    .endpoints = 7,
    .slots = 2,
    .accounts = 4,
    .work = work,
    .quantum = 200,
    .latency = LV_MILLISECOND,
};

static void
fill_work(uint32_t accounts, uint32_t backlog)
{
    for (uint32_t a = 0; a < accounts; a++) {
        work[a] = (fleet_work){
            .entries = 0xff,
            .backlog = backlog,
            .least_ms = 50,
            .most_ms = 350,
        };
    }
}

static void
start_fleet(uint64_t seed, uint32_t lost)
{
    fleet_plan plan = base_plan;

    plan.seed = seed;
    plan.lost = lost;
    plan.repeated = lost;
    plan.jitter = lost > 0 ? 5 * LV_MILLISECOND : 0;
    fleet_init(&fleet, &plan);
}

typedef struct in_flight_case {
    uint64_t seed;
    uint32_t limit;
    uint32_t lost;
    bool is_alone;
} in_flight_case;

static in_flight_case in_flight_cases[] = {
    {1, 1, 0, false}, {2, 2, 0, false},  {3, 3, 0, true},
    {4, 1, 50, true}, {5, 3, 50, false}, {6, 5, 20, true},
};

ParameterizedTestParameters(dispatcher_limits, in_flight_is_never_exceeded)
{
    return cr_make_param_array(in_flight_case, in_flight_cases,
                               sizeof in_flight_cases /
                                   sizeof in_flight_cases[0]);
}

ParameterizedTest(in_flight_case *with, dispatcher_limits,
                  in_flight_is_never_exceeded)
{
    fill_work(4, with->is_alone ? 0 : 2);
    work[1].backlog = 4;
    work[1].in_flight = with->limit;
    start_fleet(with->seed, with->lost);
    fleet_run(&fleet, fleet.now + 20 * LV_SECOND);
    cr_expect_leq(fleet.most_running[1], with->limit, "%u of %u",
                  fleet.most_running[1], with->limit);
    cr_expect_eq(fleet.most_running[1], with->limit, "the limit is used");
    cr_expect_gt(fleet.service[1] * 10,
                 20 * LV_SECOND * with->limit * (with->lost > 0 ? 5U : 9U));
    fleet_finish(&fleet);
}

typedef struct rate_case {
    uint64_t seed;
    uint32_t rate;
    uint32_t burst;
    lv_time interval; /* of arrivals, over all entries */
    uint32_t entries;
    uint32_t lost;
    bool gets_all; /* the whole rate is used */
} rate_case;

static rate_case rate_cases[] = {
    {1, 50, 20, 5000, 0xff, 0, true},  {2, 50, 20, 5000, 0x01, 0, true},
    {3, 10, 5, 20000, 0xff, 0, true},  {4, 50, 20, 5000, 0xff, 50, false},
    {5, 50, 20, 40000, 0x10, 0, true}, {6, 5, 1, 10000, 0xff, 20, false},
};

ParameterizedTestParameters(dispatcher_limits, rate_is_never_exceeded)
{
    return cr_make_param_array(rate_case, rate_cases,
                               sizeof rate_cases / sizeof rate_cases[0]);
}

ParameterizedTest(rate_case *with, dispatcher_limits, rate_is_never_exceeded)
{
    uint32_t seconds = 20;
    uint64_t most;
    uint64_t offered;
    uint64_t before;

    fill_work(4, 0);
    work[2].interval = with->interval;
    work[2].priority = CAT_DEFERRABLE;
    work[2].entries = with->entries;
    work[2].rate = with->rate;
    work[2].burst = with->burst;
    work[2].least_ms = 5;
    work[2].most_ms = 20;
    start_fleet(with->seed, with->lost);
    fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
    before = fleet.admitted[2];
    for (uint32_t second = 0; second < seconds; second++) {
        uint64_t then = fleet.admitted[2];

        fleet_run(&fleet, fleet.now + LV_SECOND);
        cr_expect_leq(fleet.admitted[2] - then, with->rate + with->burst);
    }
    most = (uint64_t)with->rate * seconds + with->burst;
    offered = seconds * LV_SECOND / with->interval;
    offered = offered < (uint64_t)with->rate * seconds
                  ? offered
                  : (uint64_t)with->rate * seconds;
    printf("rate %u: admitted %u of at most %u in %u s, offered %u\n",
           with->rate, (unsigned)(fleet.admitted[2] - before), (unsigned)most,
           seconds, (unsigned)offered);
    cr_expect_leq(fleet.admitted[2] - before, most);
    if (with->gets_all) {
        cr_expect_geq((fleet.admitted[2] - before) * 100, offered * 95);
    }
    fleet_finish(&fleet);
}

/* An account that used idle capacity owes nothing for it, and one that was
 * idle has no credit: from the moment both wait they get equal parts. */
Test(dispatcher_limits, idle_gives_neither_credit_nor_debt)
{
    lv_time mark[FLEET_ACCOUNTS];
    fleet_gap gap;

    fill_work(4, 0);
    work[0].backlog = 1;
    work[0].entries = 0x07;
    work[1].backlog = 4;
    work[1].start = 25 * LV_SECOND;
    work[2].backlog = 4;
    work[2].start = 25 * LV_SECOND;
    start_fleet(8, 0);
    fleet_run(&fleet, 24 * LV_SECOND);
    cr_expect_gt(fleet.service[0], 20 * LV_SECOND);
    work[0].entries = 0xff;
    work[0].backlog = 4;
    fleet_run(&fleet, 26 * LV_SECOND);
    fleet_mark(&fleet, mark);
    fleet_run(&fleet, 46 * LV_SECOND);
    gap = fleet_gap_since(&fleet, mark, 0x7);
    printf("after idle: gap %.3f s, mean %.3f s\n", (double)gap.gap / 1e6,
           (double)gap.mean / 1e6);
    cr_expect_leq(gap.gap * 20, gap.mean);
    fleet_finish(&fleet);
}

/* Slots that nobody else wanted are no lead to be made up for later. */
Test(dispatcher_limits, use_of_idle_slots_is_no_debt)
{
    lv_time before;

    fill_work(4, 0);
    work[0].backlog = 4;
    work[0].entries = 0x01;
    work[0].in_flight = 2;
    work[1].backlog = 4;
    work[1].start = 30 * LV_SECOND;
    work[2].backlog = 4;
    work[2].start = 30 * LV_SECOND;
    start_fleet(12, 0);
    fleet_run(&fleet, 30 * LV_SECOND);
    before = fleet.service[0];
    fleet_run(&fleet, 35 * LV_SECOND);
    cr_expect_geq(fleet.service[0] - before, 9 * LV_SECOND, "%.3f s",
                  (double)(fleet.service[0] - before) / 1e6);
    fleet_finish(&fleet);
}

/* What one router left unused comes back for another. */
Test(dispatcher_limits, unused_allowance_comes_back)
{
    uint64_t before;

    fill_work(4, 0);
    work[2].interval = 100 * LV_MILLISECOND;
    work[2].priority = CAT_DEFERRABLE;
    work[2].entries = 0x01;
    work[2].rate = 20;
    work[2].burst = 10;
    work[2].least_ms = 5;
    work[2].most_ms = 20;
    start_fleet(13, 0);
    fleet_run(&fleet, fleet.now + 5 * LV_SECOND);
    work[2].entries = 0x08;
    work[2].interval = 10 * LV_MILLISECOND;
    fleet_run(&fleet, fleet.now + 2 * LV_SECOND);
    before = fleet.admitted[2];
    fleet_run(&fleet, fleet.now + 10 * LV_SECOND);
    cr_expect_geq(fleet.admitted[2] - before, 190, "%u of 200",
                  (unsigned)(fleet.admitted[2] - before));
    fleet_finish(&fleet);
}

/* While work waits, a slot that is moved is idle for one round trip and the
 * hold at most, and what the entry takes to gather its news. */
Test(dispatcher_limits, no_slot_idles_while_work_waits)
{
    fleet_plan plan = base_plan;
    lv_time most;

    fill_work(8, 2);
    plan.seed = 14;
    plan.endpoints = 14;
    plan.slots = 1;
    plan.accounts = 8;
    fleet_init(&fleet, &plan);
    most = 2 * plan.latency + fleet.pool.idle_timeout + LV_MILLISECOND +
           2 * FLEET_STEP;
    fleet_run(&fleet, fleet.now + 2 * LV_SECOND);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + 60 * LV_SECOND);
    printf("longest idle %.1f ms of %.1f ms\n",
           (double)fleet.longest_idle / 1e3, (double)most / 1e3);
    cr_expect_leq(fleet.longest_idle, most);
    fleet_finish(&fleet);
}

/* A lone request in a calm pool starts with no message between. */
Test(dispatcher_limits, lone_request_pays_no_round_trip)
{
    fill_work(4, 0);
    work[0].interval = 20 * LV_MILLISECOND;
    work[0].entries = 0x08;
    work[0].priority = CAT_DEFERRABLE;
    work[0].least_ms = 5;
    work[0].most_ms = 10;
    start_fleet(9, 0);
    fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + 10 * LV_SECOND);
    printf("lone requests: wait p50 %.1f ms, p95 %.1f ms\n",
           (double)fleet_wait(&fleet, CAT_DEFERRABLE, 500) / 1e3,
           (double)fleet_wait(&fleet, CAT_DEFERRABLE, 950) / 1e3);
    cr_expect_eq(fleet_wait(&fleet, CAT_DEFERRABLE, 500), 0);
    cr_expect_eq(fleet_wait(&fleet, CAT_DEFERRABLE, 950), 0);
    cr_expect_geq(fleet.entries[3].talks[0].lease_count, 1);
    cr_expect_leq(fleet.entries[3].talks[0].lease_count, 2);
    work[0].interval = 0;
    fleet_run(&fleet, fleet.now + 10 * LV_SECOND);
    cr_expect_eq(fleet.entries[3].talks[0].lease_count, 0,
                 "a quiet router keeps none");
    fleet_finish(&fleet);
}

typedef struct load_step {
    disp_load load;
    uint32_t slots; /* of the pool after it */
} load_step;

Test(dispatcher_limits, slots_follow_the_load_report)
{
    static const load_step steps[] = {
        {{2, 0, 0}, 14}, {{2, 3, 0}, 14}, /* one report is not enough */
        {{2, 3, 0}, 13}, {{1, 0, 0}, 13}, {{1, 0, 0}, 13},
        {{1, 0, 0}, 14},                  /* full, without a queue */
        {{2, 3, 0}, 14}, {{1, 0, 0}, 14}, /* no two in a row */
        {{2, 3, 0}, 14}, {{2, 9, 0}, 13}, {{2, 9, 0}, 13},
        {{2, 9, 0}, 13}, /* never below one */
        {{0, 0, 0}, 13}, {{0, 0, 0}, 13}, {{0, 0, 0}, 13},
        {{1, 0, 0}, 13}, {{1, 0, 0}, 13}, {{1, 0, 0}, 14},
        {{1, 0, 1}, 13}, /* the engine says one */
    };
    disp_counts counts;

    fill_work(4, 2);
    start_fleet(10, 0);
    fleet_run(&fleet, fleet.now + 2 * LV_SECOND);
    for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++) {
        disp_apply_load(&fleet.dispatchers[0].disp, fleet.now, 3000,
                        &steps[i].load);
        disp_read_counts(&fleet.dispatchers[0].disp, &counts);
        cr_expect_eq(counts.slots, steps[i].slots, "step %u: %u slots",
                     (unsigned)i, counts.slots);
        fleet_run(&fleet, fleet.now + 100 * LV_MILLISECOND);
    }
    fleet_run(&fleet, fleet.now + LV_SECOND);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + 5 * LV_SECOND);
    cr_expect_eq(fleet.most_running_at[0], 1);
    fleet_finish(&fleet);
}

/* In a partition the load reports show room on the other side's slots. */
Test(dispatcher_limits, room_is_used_in_a_partition)
{
    static const disp_load room = {.running = 1};
    static const disp_load queue = {.running = 2, .queued = 1};
    disp_counts counts;

    fill_work(4, 2);
    start_fleet(11, 0);
    fleet_run(&fleet, fleet.now + 2 * LV_SECOND);
    fleet_tell_members(&fleet, 0, 500);
    disp_read_counts(&fleet.dispatchers[0].disp, &counts);
    cr_expect_eq(counts.slots, 7);
    for (int i = 0; i < 4; i++) {
        disp_apply_load(&fleet.dispatchers[0].disp, fleet.now, 3000, &room);
    }
    disp_read_counts(&fleet.dispatchers[0].disp, &counts);
    cr_expect_eq(counts.slots, 8);
    for (int i = 0; i < 2; i++) {
        disp_apply_load(&fleet.dispatchers[0].disp, fleet.now, 3000, &queue);
    }
    disp_read_counts(&fleet.dispatchers[0].disp, &counts);
    cr_expect_eq(counts.slots, 7);
    fleet_tell_members(&fleet, 0, 100);
    disp_read_counts(&fleet.dispatchers[0].disp, &counts);
    cr_expect_eq(counts.slots, 7, "never below one slot");
    fleet_finish(&fleet);
}
