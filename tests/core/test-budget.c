/*
 * The retry budget: a share of the recent requests and the slack, over all
 * instances never more than the fleet may spend in any window.
 */
#include <criterion/criterion.h>

#include "lavender/budget.h"

#define INSTANCES 7

static const bud_settings settings = {
    .window = 10 * LV_SECOND, .ratio = 0.2, .slack = 54};

Test(budget, the_slack_alone_is_divided_among_the_instances)
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

Test(budget, requests_add_their_share_and_leave_with_the_window)
{
    bud_budget budget;
    uint32_t with_requests;

    bud_init(&budget, &settings);
    for (int i = 0; i < 1000; i++) {
        bud_count_request(&budget, 5 * LV_SECOND);
    }
    with_requests = bud_left(&budget, 1, 5 * LV_SECOND);
    cr_expect_geq(with_requests, 150);
    cr_expect_leq(with_requests, 200 + settings.slack);
    cr_expect_leq(bud_left(&budget, 1, 17 * LV_SECOND), settings.slack);
}

/* Every request of a fleet is repeated as often as the budget lets it; the
 * worst window is found by looking at all of them. */
Test(budget, no_window_of_the_fleet_exceeds_the_bound)
{
    enum {
        SECONDS = 60,
        RATE = 40
    };
    static bud_budget budgets[INSTANCES];
    static uint32_t repeats[SECONDS * 10];
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
                repeats[step]++;
            }
        }
    }
    for (int begin = 0; begin + 100 <= SECONDS * 10; begin++) {
        uint32_t all = 0;
        uint32_t again = 0;

        for (int step = begin; step < begin + 100; step++) {
            all += requests[step];
            again += repeats[step];
        }
        cr_assert_leq(again, settings.ratio * all + settings.slack,
                      "from step %d", begin);
    }
}

Test(budget, a_long_rest_forgets_everything)
{
    bud_budget budget;

    bud_init(&budget, &settings);
    while (bud_take_retry(&budget, 1, LV_SECOND)) {
    }
    cr_expect_eq(bud_left(&budget, 1, 2 * LV_SECOND), 0);
    cr_expect_gt(bud_left(&budget, 1, 100 * LV_SECOND), 0);
}
