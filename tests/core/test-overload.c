/*
 * Ticks of a loop's timer: pauses, load beyond the CPU time, and which new
 * requests are shed.
 */
#include <criterion/criterion.h>

#include "lavender/overload.h"

#define PERIOD (20 * LV_MILLISECOND)
#define LATE (150 * LV_MILLISECOND)
#define DRAWS 1000

static ovl_detector detector;
static lv_time now;

static void
start(void)
{
    ovl_init(&detector, PERIOD);
    now = 50 * LV_SECOND;
    ovl_record_tick(&detector, now);
}

TestSuite(overload, .init = start);

static void
tick(uint32_t count, lv_time interval)
{
    for (uint32_t i = 0; i < count; i++) {
        now += interval;
        ovl_record_tick(&detector, now);
    }
}

Test(overload, begins_with_consecutive_late_ticks_and_ends_after_a_while)
{
    static const struct {
        uint32_t late;
        uint32_t timely;
        uint32_t late_again;
        bool is_late;
        bool is_overloaded;
    } cases[] = {
        {0, 10, 0, false, false}, {1, 0, 0, true, false},
        {2, 0, 0, true, false},   {2, 1, 2, true, false},
        {3, 0, 0, true, true},    {3, 1, 0, false, true},
        {3, 50, 0, false, true},  {3, 80, 0, false, false},
        {3, 50, 1, true, true},   {3, 80, 1, true, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        start();
        tick(cases[i].late, LATE);
        tick(cases[i].timely, PERIOD);
        tick(cases[i].late_again, LATE);
        cr_expect_eq(ovl_is_late(&detector), cases[i].is_late, "case %zu", i);
        cr_expect_eq(detector.is_overloaded, cases[i].is_overloaded,
                     "case %zu", i);
    }
}

Test(overload, delay_is_beyond_the_period)
{
    cr_expect_eq(ovl_record_tick(&detector, now + PERIOD), 0);
    cr_expect_eq(ovl_record_tick(&detector, now + 2 * PERIOD + 5), 5);
    cr_expect_eq(ovl_record_tick(&detector, now + 3 * PERIOD), 0);
}

Test(overload, accounts_with_little_of_their_share_lose_fewer_requests)
{
    static const struct {
        uint32_t late;
        double share;
        uint32_t shed; /* of DRAWS */
    } cases[] = {
        {0, 2, 0},
        {1, 2, 0},
        {2, 0, DRAWS / 2},
        {2, 0.5, DRAWS / 4},
        {2, 0.8, DRAWS * 3 / 4},
        {9, 2, DRAWS * 3 / 4},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        uint32_t shed = 0;

        start();
        tick(cases[i].late, LATE);
        for (uint64_t k = 0; k < DRAWS; k++) {
            shed += ovl_should_shed(&detector, cases[i].share, k);
        }
        cr_expect_eq(shed, cases[i].shed, "case %zu: %u", i, shed);
    }
}
