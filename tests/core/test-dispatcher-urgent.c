/*
 * Urgent work starts before deferrable work, within an account always and
 * across accounts up to the urgent credit.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>

#include "lease-fleet.h"

#define RUN (20 * LV_SECOND)
#define WARM_UP (5 * LV_SECOND)

static fleet_fleet fleet;

typedef struct urgent_case {
    char name[48];
    uint64_t seed;
    uint32_t backlog; /* deferrable, at each of 8 entries */
    bool has_backlog; /* the urgent accounts have deferrable work too */
    lv_time interval; /* of the urgent arrivals of each of two accounts */
    uint64_t quantum;
    uint64_t urgent_credit;
    lv_time length; /* of the urgent work */
    uint32_t count; /* urgent requests at least */
} urgent_case;

static urgent_case urgent_cases[] = {
    {"urgent accounts without a backlog", 1, 20, false, 150000, 200, 5000, RUN,
     200},
    {"urgent accounts with a backlog", 2, 20, true, 150000, 200, 5000, RUN,
     200},
    {"a burst of urgent work", 3, 20, false, 50000, 200, 5000, 2 * LV_SECOND,
     70},
    {"slots that stay for long", 5, 20, false, 500000, 20000, 20000, RUN, 70},
};

ParameterizedTestParameters(dispatcher_urgent, waits_a_tenth)
{
    return cr_make_param_array(urgent_case, urgent_cases,
                               sizeof urgent_cases / sizeof urgent_cases[0]);
}

ParameterizedTest(urgent_case *with, dispatcher_urgent, waits_a_tenth)
{
    static fleet_work work[6];
    fleet_plan plan = {
        .seed = with->seed,
        .entries = 8,
        .shards = 1,
        .endpoints = 7,
        .slots = 2,
        .accounts = 6,
        .work = work,
        .quantum = with->quantum,
        .urgent_credit = with->urgent_credit,
        .latency = LV_MILLISECOND,
    };
    lv_time start = 10 * LV_SECOND + WARM_UP;
    lv_time urgent;
    lv_time deferrable;

    for (uint32_t a = 0; a < plan.accounts; a++) {
        bool is_urgent = a < 2;

        work[a] = (fleet_work){
            .entries = 0xff,
            .backlog = is_urgent && !with->has_backlog ? 0 : with->backlog,
            .interval = is_urgent ? with->interval : 0,
            .start = is_urgent && !with->has_backlog ? start : 0,
            .stop = is_urgent ? start + with->length : 0,
            .priority = CAT_URGENT,
            .least_ms = 50,
            .most_ms = 350,
        };
    }
    fleet_init(&fleet, &plan);
    fleet_run(&fleet, fleet.now + WARM_UP);
    fleet_reset_counts(&fleet);
    fleet_run(&fleet, fleet.now + RUN);
    urgent = fleet_wait(&fleet, CAT_URGENT, 950);
    deferrable = fleet_wait(&fleet, CAT_DEFERRABLE, 950);
    printf("%-36s p95 wait %.3f s urgent (%u), %.3f s deferrable (%u); use "
           "%u/1000\n",
           with->name, (double)urgent / 1e6, fleet.waits[CAT_URGENT].count,
           (double)deferrable / 1e6, fleet.waits[CAT_DEFERRABLE].count,
           fleet_use(&fleet));
    cr_expect_geq(fleet.waits[CAT_URGENT].count, with->count);
    cr_expect_leq(urgent * 10, deferrable, "%s", with->name);
    cr_expect_geq(fleet_use(&fleet), 980, "%s", with->name);
    fleet_finish(&fleet);
}

/* The lead of an account with urgent work stays within the credit, so a
 * flood of "urgent" requests takes no more than its share. */
Test(dispatcher_urgent, flood_of_urgent_work_stays_in_the_bound)
{
    static fleet_work work[4];
    fleet_plan plan = {
        .seed = 4,
        .entries = 8,
        .shards = 1,
        .endpoints = 7,
        .slots = 2,
        .accounts = 4,
        .work = work,
        .quantum = 200,
        .urgent_credit = 1000,
        .latency = LV_MILLISECOND,
    };
    lv_time bound;
    lv_time mark[FLEET_ACCOUNTS];
    fleet_gap gap;

    for (uint32_t a = 0; a < plan.accounts; a++) {
        work[a] = (fleet_work){
            .entries = 0xff,
            .backlog = a == 0 ? 0 : 4,
            .interval = a == 0 ? 5 * LV_MILLISECOND : 0,
            .priority = CAT_URGENT,
            .least_ms = 50,
            .most_ms = 350,
        };
    }
    fleet_init(&fleet, &plan);
    bound = fleet_bound(&fleet);
    fleet_run(&fleet, fleet.now + WARM_UP);
    fleet_mark(&fleet, mark);
    for (int i = 0; i < 3; i++) {
        fleet_run(&fleet, fleet.now + RUN);
        gap = fleet_gap_since(&fleet, mark, UINT32_MAX);
        printf("urgent flood: gap %.3f s, bound %.3f s\n",
               (double)gap.gap / 1e6, (double)bound / 1e6);
        cr_expect_leq(gap.gap, bound);
    }
    fleet_finish(&fleet);
}
