/*
 * Fair shares and full use: what the dispatcher promises while many
 * accounts wait, over uneven costs, uneven spread and several entries.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lease-fleet.h"

#define RUN (20 * LV_SECOND)
#define WARM_UP (2 * LV_SECOND)

static fleet_fleet fleet;

typedef struct fair_case {
    char name[40];
    uint64_t seed;
    uint32_t entries;
    uint32_t shards;
    uint32_t endpoints;
    uint32_t slots;
    uint32_t accounts;
    uint32_t least_ms;
    uint32_t most_ms;
    uint32_t spread; /* entries that each account uses; 0: all */
    uint32_t big;    /* backlog of account 0; others have 2 */
    uint32_t heavy;  /* weight of account 0 */
    uint64_t quantum;
    lv_time latency;
    uint32_t lost;
} fair_case;

static fair_case fair_cases[] = {
    {"four rivals", 1, 8, 1, 7, 2, 4, 50, 350, 0, 2, 1, 200, 1000, 0},
    {"more accounts than slots", 2, 8, 1, 7, 2, 16, 50, 350, 0, 2, 1, 200,
     1000, 0},
    {"uneven spread", 3, 8, 1, 7, 2, 8, 50, 350, 2, 2, 1, 200, 1000, 0},
    {"one router each", 4, 8, 1, 7, 2, 8, 50, 350, 1, 2, 1, 200, 1000, 0},
    {"one account 1000 times larger", 5, 8, 1, 7, 2, 8, 50, 350, 1, 2000, 1,
     200, 1000, 0},
    {"weights", 6, 8, 1, 7, 2, 8, 50, 350, 0, 2, 3, 200, 1000, 0},
    {"more slots", 7, 8, 1, 16, 2, 12, 50, 350, 3, 2, 1, 200, 1000, 0},
    {"lost and repeated messages", 8, 8, 1, 7, 2, 8, 50, 350, 2, 2, 1, 200,
     1000, 50},
};

ParameterizedTestParameters(dispatcher_fair, gap_is_bounded)
{
    return cr_make_param_array(fair_case, fair_cases,
                               sizeof fair_cases / sizeof fair_cases[0]);
}

static uint32_t
entry_mask(const fair_case *with, uint32_t account)
{
    uint32_t mask = 0;

    for (uint32_t i = 0; i < with->spread; i++) {
        mask |= 1U << ((account * 3 + i) % with->entries);
    }
    return with->spread > 0 ? mask : (1U << with->entries) - 1;
}

static void
start_case(const fair_case *with, fleet_work work[FLEET_ACCOUNTS])
{
    fleet_plan plan = {
        .seed = with->seed,
        .entries = with->entries,
        .shards = with->shards,
        .endpoints = with->endpoints,
        .slots = with->slots,
        .accounts = with->accounts,
        .work = work,
        .quantum = with->quantum,
        .latency = with->latency,
        .jitter = with->lost > 0 ? 5 * LV_MILLISECOND : 0,
        .lost = with->lost,
        .repeated = with->lost,
    };

    for (uint32_t a = 0; a < with->accounts; a++) {
        work[a] = (fleet_work){
            .weight = a == 0 ? with->heavy : 1,
            .entries = entry_mask(with, a),
            .backlog = a == 0 ? with->big : 2,
            .least_ms = with->least_ms,
            .most_ms = with->most_ms,
        };
    }
    fleet_init(&fleet, &plan);
}

ParameterizedTest(fair_case *with, dispatcher_fair, gap_is_bounded)
{
    static fleet_work work[FLEET_ACCOUNTS];
    lv_time mark[FLEET_ACCOUNTS];
    fleet_gap first;
    fleet_gap second;

    start_case(with, work);
    fleet_run(&fleet, fleet.now + WARM_UP);
    fleet_reset_counts(&fleet);
    fleet_mark(&fleet, mark);
    fleet_run(&fleet, fleet.now + RUN);
    first = fleet_gap_since(&fleet, mark, UINT32_MAX);
    fleet_run(&fleet, fleet.now + 2 * RUN);
    second = fleet_gap_since(&fleet, mark, UINT32_MAX);
    printf("%-32s gap %6.3f s, %4.1f%% of the mean, %6.3f s after 60 s; bound "
           "%.3f s; use %u/1000; %u messages/s\n",
           with->name, (double)first.gap / 1e6,
           100.0 * (double)first.gap / (double)first.mean,
           (double)second.gap / 1e6, (double)fleet_bound(&fleet) / 1e6,
           fleet_use(&fleet), (unsigned)(fleet.sent / 62));
    cr_expect_leq(first.gap, fleet_bound(&fleet), "%s", with->name);
    cr_expect_leq(second.gap, fleet_bound(&fleet), "%s: grows", with->name);
    cr_expect_leq(first.gap * 20, first.mean, "%s: over 5%%", with->name);
    if (with->lost > 0) {
        fleet.plan.lost = 0;
        fleet.plan.repeated = 0;
        fleet.plan.jitter = 0;
        fleet_run(&fleet, fleet.now + WARM_UP);
        fleet_reset_counts(&fleet);
        fleet_run(&fleet, fleet.now + RUN);
    }
    cr_expect_geq(fleet_use(&fleet), 980, "%s: slots idle", with->name);
    cr_expect_eq(fleet.bad_decisions, 0);
    fleet_finish(&fleet);
}
