/*
 * Retry budget: the retries of all instances never exceed the ratio of the
 * recent requests plus the slack, in any window.
 */
#include <criterion/criterion.h>

#include "lavender/budget.h"

#define INSTANCES 7

static const bud_settings settings = {
    .window = 10 * LV_SECOND, .ratio = 0.2, .slack = 54};

Test(budget, slack_is_divided_among_the_instances)
{
    bud_budget budget;
    uint32_t taken = 0;

    bud_init(&budget, &settings);
    while (bud_take_retry(&budget, INSTANCES, LV_SECOND)) {
        taken++;
    }
    cr_assert_geq(taken, 1);
    cr_assert_leq(taken * INSTANCES, settings.slack);
}

Test(budget, requests_add_to_the_budget_until_they_leave_the_window)
{
    bud_budget budget;
    uint32_t with_requests;

    bud_init(&budget, &settings);
    for (int i = 0; i < 1000; i++) {
        bud_count_request(&budget, 5 * LV_SECOND);
    }
    with_requests = bud_retries_left(&budget, 1, 5 * LV_SECOND);
    cr_expect_geq(with_requests, 150);
    cr_expect_leq(with_requests, 200 + settings.slack);
    cr_expect_leq(bud_retries_left(&budget, 1, 17 * LV_SECOND),
                  settings.slack);
}

/* Each instance of a fleet takes as many retries as its budget allows; every
 * window of 10 s is checked. */
Test(budget, fleet_never_exceeds_the_limit_in_any_window)
{
    enum {
        SECONDS = 60,
        RATE = 40
    };
    static bud_budget budgets[INSTANCES];
    static uint32_t retries[SECONDS * 10];
    static uint32_t requests[SECONDS * 10];

    for (int i = 0; i < INSTANCES; i++) {
        bud_init(&budgets[i], &settings);
    }
    for (int step = 0; step < SECONDS * 10; step++) {
        lv_time now = (lv_time)step * 100 * LV_MILLISECOND + 1;

        for (int i = 0; i < INSTANCES; i++) {
            for (int k = 0; k < RATE / 10; k++) {
                bud_count_request(&budgets[i], now);
                requests[step]++;
            }
            while (bud_take_retry(&budgets[i], INSTANCES, now)) {
                retries[step]++;
            }
        }
    }
    for (int begin = 0; begin + 100 <= SECONDS * 10; begin++) {
        uint32_t request_sum = 0;
        uint32_t retry_sum = 0;

        for (int step = begin; step < begin + 100; step++) {
            request_sum += requests[step];
            retry_sum += retries[step];
        }
        cr_assert_leq(retry_sum, settings.ratio * request_sum + settings.slack,
                      "from step %d", begin);
    }
}

Test(budget, budget_is_restored_after_a_long_idle_time)
{
    bud_budget budget;

    bud_init(&budget, &settings);
    while (bud_take_retry(&budget, 1, LV_SECOND)) {
    }
    cr_expect_eq(bud_retries_left(&budget, 1, 2 * LV_SECOND), 0);
    cr_expect_gt(bud_retries_left(&budget, 1, 100 * LV_SECOND), 0);
}
