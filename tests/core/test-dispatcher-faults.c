/*
 * Lost dispatchers and entries, partitions, leaving endpoints: shares stay
 * bounded, slots come back, nothing is counted twice.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lease-fleet.h"

#define WARM_UP (2 * LV_SECOND)

enum {
    ENTRIES = 8,
    ENDPOINTS = 7,
    SLOTS = 2,
    ACCOUNTS = 8
};

static fleet_fleet fleet;
static fleet_work work[FLEET_ACCOUNTS];

static void
start_fleet(uint64_t seed)
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
            .entries = 0x55 << (a & 1), /* every second entry */
            .backlog = 2,
            .least_ms = 50,
            .most_ms = 350,
        };
    }
    fleet_init(&fleet, &plan);
    fleet_run(&fleet, fleet.now + WARM_UP);
    fleet_reset_counts(&fleet);
}

static uint32_t
most_running(void)
{
    uint32_t most = 0;

    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        if (fleet.most_running_at[i] > most) {
            most = fleet.most_running_at[i];
        }
    }
    return most;
}

static void
turn_all(uint32_t dispatcher)
{
    for (uint32_t i = 0; i < ENTRIES; i++) {
        if (fleet.entries[i].is_up &&
            fleet.entries[i].side ==
                fleet.entries[fleet.dispatchers[dispatcher].instance].side) {
            fleet_turn(&fleet, i, dispatcher);
        }
    }
}

typedef struct loss_case {
    char name[40];
    uint64_t seed;
    lv_time without; /* time without a dispatcher */
    uint32_t times;
    uint32_t lost; /* messages */
} loss_case;

static loss_case loss_cases[] = {
    {"found at once", 11, 10 * LV_MILLISECOND, 1, 0},
    {"found after 500 ms", 12, 500 * LV_MILLISECOND, 1, 0},
    {"twice in a row", 13, 300 * LV_MILLISECOND, 2, 0},
    {"with lost messages", 14, 300 * LV_MILLISECOND, 1, 20},
};

ParameterizedTestParameters(dispatcher_faults, dispatcher_is_replaced)
{
    return cr_make_param_array(loss_case, loss_cases,
                               sizeof loss_cases / sizeof loss_cases[0]);
}

ParameterizedTest(loss_case *with, dispatcher_faults, dispatcher_is_replaced)
{
    lv_time mark[FLEET_ACCOUNTS];
    uint32_t running = 0;
    disp_counts counts;
    fleet_gap gap;

    start_fleet(with->seed);
    fleet.plan.lost = with->lost;
    fleet_mark(&fleet, mark);
    fleet_run(&fleet, fleet.now + 5 * LV_SECOND);
    for (uint32_t i = 1; i <= with->times; i++) {
        fleet_stop_dispatcher(&fleet, running);
        fleet_run(&fleet, fleet.now + with->without);
        running = fleet_start_dispatcher(&fleet, 0, i, 1);
        turn_all(running);
        fleet_run(&fleet, fleet.now + 100 * LV_MILLISECOND);
    }
    fleet_run(&fleet, fleet.now + 15 * LV_SECOND);
    gap = fleet_gap_since(&fleet, mark, 0xff);
    disp_read_counts(&fleet.dispatchers[running].disp, &counts);
    printf("%-20s gap %.3f s, %.1f%%, bound %.3f s; use %u/1000; most at one "
           "endpoint %u; tenure %u\n",
           with->name, (double)gap.gap / 1e6,
           100.0 * (double)gap.gap / (double)gap.mean,
           (double)fleet_bound(&fleet) / 1e6, fleet_use(&fleet),
           most_running(), (unsigned)fleet.dispatchers[running].disp.tenure);
    cr_expect_leq(gap.gap, fleet_bound(&fleet));
    cr_expect_leq(gap.gap * 20, gap.mean);
    cr_expect_geq(fleet_use(&fleet), 950);
    cr_expect_leq(most_running(), SLOTS);
    cr_expect_gt(fleet.dispatchers[running].disp.tenure, with->times);
    cr_expect(counts.is_settled);
    cr_expect_eq(counts.slots, ENDPOINTS * SLOTS);
    fleet_finish(&fleet);
}

/* Entries go on under their leases until these end, and stop then. */
Test(dispatcher_faults, leases_end_without_a_dispatcher)
{
    uint64_t before = 0;
    uint64_t after = 0;

    start_fleet(15);
    fleet_stop_dispatcher(&fleet, 0);
    fleet_run(&fleet, fleet.now + 1 * LV_SECOND);
    for (uint32_t a = 0; a < ACCOUNTS; a++) {
        before += fleet.started[a];
    }
    cr_expect_gt(before, 0);
    fleet_run(&fleet, fleet.now + 1 * LV_SECOND);
    before = 0;
    for (uint32_t a = 0; a < ACCOUNTS; a++) {
        before += fleet.started[a];
    }
    fleet_run(&fleet, fleet.now + 5 * LV_SECOND);
    for (uint32_t a = 0; a < ACCOUNTS; a++) {
        after += fleet.started[a];
    }
    cr_expect_eq(before, after);
    fleet_finish(&fleet);
}

Test(dispatcher_faults, lost_entry_gives_its_slots_back)
{
    disp_counts counts;
    lv_time mark[FLEET_ACCOUNTS];

    start_fleet(16);
    fleet_stop_entry(&fleet, 3);
    fleet_tell_members(&fleet, 0, 1000);
    fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
    disp_read_counts(&fleet.dispatchers[0].disp, &counts);
    cr_expect_gt(counts.expired, 0);
    fleet_reset_counts(&fleet);
    fleet_mark(&fleet, mark);
    fleet_run(&fleet, fleet.now + 10 * LV_SECOND);
    cr_expect_geq(fleet_use(&fleet), 980);
    cr_expect_leq(most_running(), SLOTS);
    fleet_finish(&fleet);
}

/* A restarted entry counts its service from zero again. */
Test(dispatcher_faults, restarted_entry_is_not_counted_twice)
{
    lv_time mark[FLEET_ACCOUNTS];
    fleet_gap gap;

    start_fleet(17);
    fleet_mark(&fleet, mark);
    for (uint32_t i = 0; i < 6; i++) {
        fleet_stop_entry(&fleet, i);
        fleet_run(&fleet, fleet.now + 50 * LV_MILLISECOND);
        fleet_start_entry(&fleet, i);
        fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
    }
    fleet_run(&fleet, fleet.now + 10 * LV_SECOND);
    gap = fleet_gap_since(&fleet, mark, 0xff);
    printf("restarted entries: gap %.3f s, bound %.3f s\n",
           (double)gap.gap / 1e6, (double)fleet_bound(&fleet) / 1e6);
    cr_expect_leq(gap.gap, fleet_bound(&fleet));
    cr_expect_leq(most_running(), SLOTS);
    fleet_finish(&fleet);
}

typedef struct partition_case {
    char name[40];
    uint64_t seed;
    lv_time length;
    uint32_t stays; /* dispatcher that stays after the rejoin */
} partition_case;

static partition_case partition_cases[] = {
    {"the old one stays", 21, 10 * LV_SECOND, 0},
    {"the new one stays", 22, 10 * LV_SECOND, 1},
    {"short", 23, 1 * LV_SECOND, 0},
};

ParameterizedTestParameters(dispatcher_faults, both_sides_serve_and_rejoin)
{
    return cr_make_param_array(partition_case, partition_cases,
                               sizeof partition_cases /
                                   sizeof partition_cases[0]);
}

static void
split(uint32_t *other)
{
    for (uint32_t i = ENTRIES / 2; i < ENTRIES; i++) {
        fleet.entries[i].side = 1;
    }
    *other = fleet_start_dispatcher(&fleet, 0, ENTRIES / 2, 1);
    fleet_tell_members(&fleet, 0, 500);
    fleet_tell_members(&fleet, *other, 500);
    turn_all(*other);
}

static void
rejoin(uint32_t goes, uint32_t stays)
{
    for (uint32_t i = 0; i < ENTRIES; i++) {
        fleet.entries[i].side = 0;
    }
    fleet_stop_dispatcher(&fleet, goes);
    fleet_tell_members(&fleet, stays, 1000);
    turn_all(stays);
}

ParameterizedTest(partition_case *with, dispatcher_faults,
                  both_sides_serve_and_rejoin)
{
    lv_time mark[FLEET_ACCOUNTS];
    uint32_t other;
    fleet_gap gap;

    start_fleet(with->seed);
    split(&other);
    fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + with->length);
    printf("%s: apart: use %u/1000, most at one endpoint %u\n", with->name,
           fleet_use(&fleet), most_running());
    cr_expect_geq(fleet_use(&fleet), 980);
    cr_expect_leq(most_running(), SLOTS);
    rejoin(with->stays == 0 ? other : 0, with->stays == 0 ? 0 : other);
    fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
    fleet_reset_counts(&fleet);
    fleet_mark(&fleet, mark);
    fleet_run(&fleet, fleet.now + 20 * LV_SECOND);
    gap = fleet_gap_since(&fleet, mark, 0xff);
    printf("%s: rejoined: gap %.3f s, %.1f%%; use %u/1000, most %u\n",
           with->name, (double)gap.gap / 1e6,
           100.0 * (double)gap.gap / (double)gap.mean, fleet_use(&fleet),
           most_running());
    cr_expect_leq(gap.gap, 2 * fleet_bound(&fleet),
                  "levels of both sides are merged");
    cr_expect_geq(fleet_use(&fleet), 980);
    cr_expect_leq(most_running(), SLOTS);
    fleet_finish(&fleet);
}

/* Accounts that had a side of a partition to themselves got much more; they
 * are not kept waiting for as long afterwards. */
static partition_case long_cases[] = {
    {"the old one stays", 24, 60 * LV_SECOND, 0},
    {"the new one stays", 25, 60 * LV_SECOND, 1},
};

ParameterizedTestParameters(dispatcher_faults,
                            nobody_starves_after_a_long_partition)
{
    return cr_make_param_array(partition_case, long_cases,
                               sizeof long_cases / sizeof long_cases[0]);
}

ParameterizedTest(partition_case *with, dispatcher_faults,
                  nobody_starves_after_a_long_partition)
{
    lv_time mark[FLEET_ACCOUNTS];
    uint32_t other;

    start_fleet(with->seed);
    for (uint32_t a = 0; a < ACCOUNTS; a++) {
        work[a].entries = a < 2 ? 0xf0 : 0x0f;
        work[a].backlog = 8;
    }
    split(&other);
    fleet_run(&fleet, fleet.now + with->length);
    cr_expect_gt(fleet.service[0], 2 * fleet.service[2]);
    rejoin(with->stays == 0 ? other : 0, with->stays == 0 ? 0 : other);
    for (int i = 0; i < 4; i++) {
        fleet_run(&fleet, fleet.now + (i == 0 ? 5 : 2) * LV_SECOND);
        fleet_mark(&fleet, mark);
        fleet_run(&fleet, fleet.now + 3 * LV_SECOND);
        for (uint32_t a = 0; a < ACCOUNTS; a++) {
            cr_expect_gt(fleet.service[a] - mark[a], 2 * LV_SECOND,
                         "account %u: %.3f s of about 5", a,
                         (double)(fleet.service[a] - mark[a]) / 1e6);
        }
    }
    fleet_finish(&fleet);
}

Test(dispatcher_faults, leaving_endpoint_gets_nothing_new)
{
    start_fleet(31);
    disp_set_endpoint_leaving(&fleet.dispatchers[0].disp, fleet.now, 3000 + 2,
                              true);
    fleet_run(&fleet, fleet.now + 3 * LV_MILLISECOND);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + 5 * LV_SECOND);
    cr_expect_eq(fleet.started_at[2], 0);
    cr_expect_eq(fleet.running_at[2], 0);
    cr_expect_gt(fleet.started_at[1], 0);
    disp_set_endpoint_leaving(&fleet.dispatchers[0].disp, fleet.now, 3000 + 2,
                              false);
    fleet_run(&fleet, fleet.now + 1 * LV_SECOND);
    cr_expect_gt(fleet.started_at[2], 0);
    fleet_finish(&fleet);
}
