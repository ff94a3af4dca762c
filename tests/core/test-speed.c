/*
 * The estimated speed of endpoints whose speed changes, while reports are lost
 * or wrong, and while coordinators change.
 */
#include <criterion/criterion.h>

#include "speed-rig.h"

#define TWELVE &speed_twelve_slots
#define SIXTEEN &speed_sixteen_slots

Test(speed, error_is_below_a_fifth_within_two_seconds)
{
    static const speed_case cases[] = {
        {"0.7", TWELVE, {.instances = 80}, 0.7, 0},
        {"1.7", TWELVE, {.instances = 80}, 1.7, 0},
        {"0.4 for 0.6 s",
         TWELVE,
         {.instances = 80},
         0.4,
         600 * LV_MILLISECOND},
        {"0.7, 16 slots", SIXTEEN, {.instances = 80}, 0.7, 0},
        {"1.7, 16 slots", SIXTEEN, {.instances = 80}, 1.7, 0},
        {"lost reports",
         TWELVE,
         {.instances = 80, .lost_percent = 30},
         0.7,
         0},
        {"next coordinator",
         TWELVE,
         {.instances = 80,
          .handover_at = SPEED_CHANGE_AT + 100 * LV_MILLISECOND},
         0.7,
         0},
        {"nonsense", TWELVE, {.instances = 80, .has_liar = true}, 0.7, 0},
        {"nonsense, 1.7", TWELVE, {.instances = 80, .has_liar = true}, 1.7, 0},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        speed_expect_settled(&cases[i]);
    }
}

#define SETTING 30.0

static void
add(spd_state *state, uint64_t source, double rate, lv_time now)
{
    spd_sums sums = {.tokens = 6000, .time = (uint32_t)(6000000 / rate)};

    spd_add_sample(state, source, &sums, SETTING, now);
}

/* Guards against an endpoint that is flooded after one wrong or lucky sample,
 * and against one that is not relieved soon after it became slow. */
Test(speed, rises_in_steps_and_falls_at_once)
{
    static const struct {
        double rates[5]; /* of samples of five instances after 30 tokens/ms */
        double least;
        double most;
    } cases[] = {
        {{90, 30, 30, 30, 30}, 30, 30},   {{5, 30, 30, 30, 30}, 30, 30},
        {{60, 60, 60, 60, 60}, 59, 60},   {{10, 10, 10, 10, 10}, 10, 10},
        {{90, 90, 90, 90, 1000}, 89, 90}, {{1, 1, 1, 1, 1}, 5, 5},
        {{30, 30, 30, 10, 10}, 10, 10},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        spd_state state = {.rate = SETTING};
        double before = state.rate;

        for (uint64_t k = 0; k < 5; k++) {
            add(&state, k + 1, cases[i].rates[k],
                LV_SECOND + k * LV_MILLISECOND);
            cr_expect_leq(state.rate, before * 2.01, "case %zu", i);
            before = state.rate;
        }
        cr_expect(state.rate >= cases[i].least - 0.1 &&
                      state.rate <= cases[i].most + 0.1,
                  "case %zu: %.1f", i, state.rate);
    }
}

/* One instance has one sample, however often it reports. */
Test(speed, one_instance_does_not_move_the_estimate)
{
    spd_state state = {.rate = SETTING};

    for (lv_time now = LV_SECOND; now < 10 * LV_SECOND;
         now += 100 * LV_MILLISECOND) {
        add(&state, 7, 90, now);
    }
    cr_expect_float_eq(state.rate, SETTING, 0.1);
    cr_expect_not(spd_is_recent(&state, 10 * LV_SECOND));
}
