/*
 * Several shards of one pool, kept together by the counter root.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lease-fleet.h"

#define RUN (20 * LV_SECOND)
#define WARM_UP (3 * LV_SECOND)

enum {
    ENTRIES = 8,
    SHARDS = 4,
    ENDPOINTS = 24,
    SLOTS = 1
};

static fleet_fleet fleet;
static fleet_work work[FLEET_ACCOUNTS];

typedef struct shard_case {
    char name[40];
    uint64_t seed;
    uint32_t accounts;
    uint32_t spread; /* entries that each account uses; 0: all */
    uint32_t lost;
    bool restarts; /* one shard's dispatcher and the root are replaced */
    bool has_target;
} shard_case;

static shard_case shard_cases[] = {
    {"all accounts everywhere", 1, 8, 0, 0, false, true},
    {"two entries each", 2, 8, 2, 0, false, true},
    {"one entry each", 3, 8, 1, 0, false, true},
    {"more accounts", 4, 16, 2, 0, false, true},
    {"lost messages", 5, 8, 2, 30, false, false},
    {"dispatcher and root replaced", 6, 8, 2, 0, true, true},
};

ParameterizedTestParameters(dispatcher_shards, stay_together)
{
    return cr_make_param_array(shard_case, shard_cases,
                               sizeof shard_cases / sizeof shard_cases[0]);
}

static void
start_case(const shard_case *with)
{
    fleet_plan plan = {
        .seed = with->seed,
        .entries = ENTRIES,
        .shards = SHARDS,
        .endpoints = ENDPOINTS,
        .slots = SLOTS,
        .accounts = with->accounts,
        .work = work,
        .quantum = 200,
        .latency = LV_MILLISECOND,
        .lost = with->lost,
    };

    for (uint32_t a = 0; a < with->accounts; a++) {
        uint32_t mask = with->spread > 0 ? 0 : (1U << ENTRIES) - 1;

        for (uint32_t i = 0; i < with->spread; i++) {
            mask |= 1U << ((a * 3 + i) % ENTRIES);
        }
        work[a] = (fleet_work){
            .entries = mask,
            .backlog = 4,
            .least_ms = 50,
            .most_ms = 350,
        };
    }
    fleet_init(&fleet, &plan);
}

static lv_time
bound(void)
{
    disp_bound_input input = {
        .max_request_cost = 350,
        .max_slot_rate = 1000,
        .slots = ENDPOINTS * SLOTS,
        .min_weight = 1,
        .quantum = 200,
        .recall_delay = 304 * LV_MILLISECOND,
    };

    return disp_fairness_bound(&input) * LV_MILLISECOND;
}

static void
replace(void)
{
    uint32_t number;

    fleet_stop_dispatcher(&fleet, 1);
    fleet_run(&fleet, fleet.now + 300 * LV_MILLISECOND);
    number = fleet_start_dispatcher(&fleet, 1, 5, 1);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        fleet_turn(&fleet, i, number);
    }
    fleet_run(&fleet, fleet.now + 2 * LV_SECOND);
    root_finish(&fleet.root);
    cr_assert(root_init(&fleet.root, &fleet.root_host.base, 1000,
                        fleet.pool.id, 2, fleet.now, NULL));
}

ParameterizedTest(shard_case *with, dispatcher_shards, stay_together)
{
    lv_time mark[FLEET_ACCOUNTS];
    uint32_t mask = (uint32_t)((UINT64_C(1) << with->accounts) - 1);
    fleet_gap first;
    fleet_gap second;

    start_case(with);
    fleet_run(&fleet, fleet.now + WARM_UP);
    fleet_reset_counts(&fleet);
    fleet_mark(&fleet, mark);
    if (with->restarts) {
        replace();
    }
    fleet_run(&fleet, fleet.now + RUN);
    first = fleet_gap_since(&fleet, mark, mask);
    fleet_run(&fleet, fleet.now + 2 * RUN);
    second = fleet_gap_since(&fleet, mark, mask);
    printf("%-30s gap %.3f s, %.1f%%, %.3f s after 60 s; bound %.3f s; use "
           "%u/1000\n",
           with->name, (double)first.gap / 1e6,
           100.0 * (double)first.gap / (double)first.mean,
           (double)second.gap / 1e6, (double)bound() / 1e6, fleet_use(&fleet));
    cr_expect_leq(first.gap, bound());
    cr_expect_leq(second.gap, bound());
    if (with->has_target) {
        cr_expect_leq(first.gap * 20, first.mean);
        cr_expect_geq(fleet_use(&fleet), 980);
    }
    fleet_finish(&fleet);
}

Test(dispatcher_shards, rate_holds_over_all_shards)
{
    shard_case with = {"", 9, 8, 0, 0, false, true};
    uint64_t before;

    start_case(&with);
    for (uint32_t a = 0; a < 8; a++) {
        work[a].backlog = 0;
    }
    for (uint32_t a = 0; a < 4; a++) {
        work[a].interval = 5 * LV_MILLISECOND;
        work[a].priority = CAT_DEFERRABLE;
        work[a].rate = 40;
        work[a].burst = 10;
        work[a].least_ms = 5;
        work[a].most_ms = 20;
        fleet.entries_of[a].limits.requests_per_second = 40;
        fleet.entries_of[a].limits.burst = 10;
    }
    for (uint32_t i = 0; i < SHARDS; i++) {
        disp_set_documents(&fleet.dispatchers[i].disp, fleet.now,
                           &fleet.catalogue, &fleet.lists);
    }
    fleet_run(&fleet, fleet.now + WARM_UP);
    before = fleet.admitted[1];
    fleet_run(&fleet, fleet.now + RUN);
    cr_expect_leq(fleet.admitted[1] - before, 40 * 20 + 10);
    cr_expect_geq(fleet.admitted[1] - before, 40 * 20 * 95 / 100);
    fleet_finish(&fleet);
}

/* An account that only one shard can serve gets that shard's slots, because
 * the others are served elsewhere. */
Test(dispatcher_shards, service_of_other_shards_counts)
{
    shard_case with = {"", 8, 8, 0, 0, false, true};
    lv_time mark[FLEET_ACCOUNTS];
    uint32_t slots = 0;
    lv_time narrow = 0;

    start_case(&with);
    for (uint32_t a = 0; a < 4; a++) {
        work[a].shards = 0x1;
    }
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        slots += fleet.shard_of[i] == 0;
    }
    fleet_run(&fleet, fleet.now + WARM_UP);
    fleet_mark(&fleet, mark);
    fleet_run(&fleet, fleet.now + RUN);
    for (uint32_t a = 0; a < 4; a++) {
        narrow += fleet.service[a] - mark[a];
    }
    printf("one shard only: %.3f s of its %.3f s\n", (double)narrow / 1e6,
           (double)(slots * RUN) / 1e6);
    cr_expect_geq(narrow * 10, slots * RUN * 9);
    fleet_finish(&fleet);
}

Test(dispatcher_shards, in_flight_holds_over_all_shards)
{
    shard_case with = {"", 7, 8, 0, 0, false, true};

    start_case(&with);
    fleet.entries_of[3].limits.in_flight = 6;
    work[3].in_flight = 6;
    for (uint32_t i = 0; i < SHARDS; i++) {
        disp_set_documents(&fleet.dispatchers[i].disp, fleet.now,
                           &fleet.catalogue, &fleet.lists);
    }
    fleet_run(&fleet, fleet.now + RUN);
    cr_expect_leq(fleet.most_running[3], 6);
    cr_expect_geq(fleet.most_running[3], 4);
    fleet.entries_of[3].limits.in_flight = 1;
    work[3].in_flight = 1;
    for (uint32_t i = 0; i < SHARDS; i++) {
        disp_set_documents(&fleet.dispatchers[i].disp, fleet.now,
                           &fleet.catalogue, &fleet.lists);
    }
    fleet_run(&fleet, fleet.now + LV_SECOND);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + RUN);
    cr_expect_eq(fleet.most_running[3], 1, "less than there are shards");
    fleet_finish(&fleet);
}
