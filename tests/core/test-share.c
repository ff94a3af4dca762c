/*
 * Fair shares and full use of a fleet of whole nodes on virtual time, and
 * planted mistakes that these checks must find.
 */
#include <criterion/criterion.h>

#include "pump-share.h"

#define BUSY_FAULT_PERMILLE 950

static const share_case share_cases[] = {
    {"even", 4, 3, 64, 4, 0, LV_MILLISECOND, 0},
    {"half of the accounts at one router", 4, 3, 64, 4, 2, LV_MILLISECOND, 0},
    {"slow links", 4, 3, 64, 4, 2, 2 * LV_MILLISECOND, 0},
    {"lost messages", 4, 3, 64, 4, 2, LV_MILLISECOND, 50},
    {"four shards", 4, 8, 2, 4, 2, LV_MILLISECOND, 0},
};

Test(share, gap_is_bounded_and_slots_are_busy)
{
    for (size_t i = 0; i < sizeof share_cases / sizeof share_cases[0]; i++) {
        share_check(&share_cases[i]);
    }
}

Test(share, slots_stay_busy_when_the_dispatcher_dies)
{
    pump_pump *pump = share_open(&share_cases[1], PUMP_MUTATE_NOTHING);
    uint32_t dispatcher = pump_find_dispatcher(pump);
    share_result result;

    cr_assert_lt(dispatcher, pump->settings.nodes);
    pump_run(pump, LV_SECOND);
    pump_kill(pump, dispatcher);
    result = share_measure(pump, SHARE_WINDOW);
    cr_expect_geq(result.busy_permille, BUSY_FAULT_PERMILLE, "busy %lu",
                  (unsigned long)result.busy_permille);
    cr_expect_eq(pump->violations, 0, "%s", pump->first_violation);
    pump_close(pump);
}

Test(share, slots_stay_busy_when_a_router_is_paused)
{
    pump_pump *pump = share_open(&share_cases[1], PUMP_MUTATE_NOTHING);
    uint32_t dispatcher = pump_find_dispatcher(pump);
    uint32_t paused = (dispatcher + 1) % pump->settings.nodes;
    share_result result;

    pump_pause(pump, paused);
    result = share_measure(pump, 5 * LV_SECOND);
    pump_resume(pump, paused);
    cr_expect_geq(result.busy_permille, BUSY_FAULT_PERMILLE,
                  "busy %lu in the pause",
                  (unsigned long)result.busy_permille);
    result = share_measure(pump, SHARE_WINDOW - 5 * LV_SECOND);
    cr_expect_geq(result.busy_permille, BUSY_FAULT_PERMILLE,
                  "busy %lu after it", (unsigned long)result.busy_permille);
    cr_expect_eq(pump->violations, 0, "%s", pump->first_violation);
    pump_close(pump);
}

/* Roles that end with a pause are assigned again, also to an instance that has
 * no peers whose state could change. */
Test(share, roles_return_after_a_pause)
{
    static const struct {
        uint32_t nodes;
        lv_time pause;
    } cases[] = {
        {1, 1100 * LV_MILLISECOND},
        {1, 11 * LV_SECOND},
        {2, 1100 * LV_MILLISECOND},
        {2, 11 * LV_SECOND},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        pump_settings settings;
        pump_pump *pump;
        uint32_t dispatcher;

        pump_default_settings(&settings, 77);
        settings.nodes = cases[i].nodes;
        pump = pump_open(&settings);
        pump_run(pump, 2 * LV_SECOND);
        dispatcher = pump_find_dispatcher(pump);
        cr_assert_lt(dispatcher, settings.nodes, "case %zu", i);
        pump_pause(pump, dispatcher);
        pump_run(pump, cases[i].pause);
        pump_resume(pump, dispatcher);
        pump_run(pump, 2 * LV_SECOND);
        cr_expect_lt(pump_find_dispatcher(pump), settings.nodes,
                     "case %zu: no dispatcher", i);
        cr_expect_eq(pump->violations, 0, "case %zu: %s", i,
                     pump->first_violation);
        pump_close(pump);
    }
}

Test(share, planted_mistakes_are_found)
{
    const share_case *c = &share_cases[1];
    pump_pump *pump = share_open(c, PUMP_MUTATE_HOARD);
    share_result result = share_measure(pump, SHARE_WINDOW);

    cr_expect_gt(result.gap * SHARE_PERMILLE, result.mean * SHARE_GAP_PERMILLE,
                 "recalls were not heard, and the gap is still %ld of %ld",
                 (long)result.gap, (long)result.mean);
    pump_close(pump);
    pump = share_open(c, PUMP_MUTATE_STARVE);
    result = share_measure(pump, SHARE_WINDOW);
    cr_expect_geq(result.longest_gap, SHARE_STARVED_TIME,
                  "demand was not heard, and the longest wait is %lu",
                  (unsigned long)result.longest_gap);
    pump_close(pump);
}
