/*
 * What estimated speeds change for callers: requests in target and in time at
 * emulated engines of different shapes.
 */
#include <criterion/criterion.h>

#include "emulator.h"

static const emu_shape shapes[] = {
    {12, 4096, 3790, 89, 56.6, 414406, 8, 600 * LV_MILLISECOND},
    {16, 1024, 3090, 102, 56.9, 408920, 10, 400 * LV_MILLISECOND},
    {32, 2048, 3370, 11, 61.2, 500000, 10, 400 * LV_MILLISECOND},
    {64, 2048, 3370, 11, 61.2, 1000000, 10, 400 * LV_MILLISECOND},
};

static double
uneven(uint32_t engine, lv_time now)
{
    static const double factors[EMU_ENGINES] = {1, 0.7, 1, 0.7, 1, 1.7};

    (void)now;
    return factors[engine];
}

static double
fraction(uint64_t part, uint64_t total)
{
    return total > 0 ? (double)part / (double)total : 0;
}

/* Fractions, as means over loads and seeds. */
typedef struct outcome {
    double in_target; /* of all */
    double in_time;
    double in_gap;          /* in target, in time and without a long pause */
    double long_in_time;    /* of the largest requests */
    double started_in_time; /* of the started */
} outcome;

static const uint32_t percents[] = {60, 100, 200}; /* of the kinds' rates */

#define LOADS 3
#define SEEDS 6
#define PLAYS (LOADS * SEEDS)

static void
play_one(emu_load *load, uint32_t percent, outcome *to)
{
    lv_time unit =
        load->shape->slots == 12 ? 100 * LV_MILLISECOND : 80 * LV_MILLISECOND;
    emu_kind kinds[] = {
        {20, 40, 5382, 6610, 384, 10 * unit, 12 * LV_SECOND},
        {24, 100, 198, 628, 288, 5 * unit, 12 * LV_SECOND},
        {30, 60, 568, 1800, 24, 6 * unit, 3 * LV_SECOND},
    };
    emu_result result;

    for (int k = 0; k < 3; k++) {
        kinds[k].per_second = kinds[k].per_second * percent / 100 *
                              (load->shape->slots > 16 ? 2 : 1);
    }
    load->kinds = kinds;
    load->kind_count = 3;
    emu_play(load, &result);
    to->in_target += fraction(result.in_aim, result.asked) / PLAYS;
    to->in_time += fraction(result.in_time, result.asked) / PLAYS;
    to->in_gap += fraction(result.in_gap, result.asked) / PLAYS;
    to->long_in_time +=
        fraction(result.long_in_time, result.long_asked) / PLAYS;
    to->started_in_time += fraction(result.in_time, result.started) / PLAYS;
}

static outcome
play(const emu_shape *shape, bool is_uneven, uint32_t learn_slots,
     uint32_t pause_tokens)
{
    outcome mean = {0};

    for (int p = 0; p < LOADS; p++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            emu_load load = {.weights = {4, 3, 2, 2, 1, 1, 1, 1},
                             .length = 30 * LV_SECOND,
                             .seed = seed * 1000,
                             .shape = shape,
                             .speed = is_uneven ? uneven : NULL,
                             .learn_slots = learn_slots,
                             .pause_tokens = pause_tokens};

            play_one(&load, percents[p], &mean);
        }
    }
    cr_log_info("%u slots, %s speeds, learning %s, pauses %s: in target %.3f, "
                "in time %.3f, without pauses %.3f, large in time %.3f, of "
                "the started in time %.3f",
                shape->slots, is_uneven ? "uneven" : "even",
                learn_slots > 0 ? "on" : "off",
                pause_tokens > 0 ? "predicted" : "not predicted",
                mean.in_target, mean.in_time, mean.in_gap, mean.long_in_time,
                mean.started_in_time);
    return mean;
}

/* Guards against rates that are estimated too high: an engine that always has
 * a prompt to prefill generates one token per chunk, and started streams miss
 * their deadlines. */
Test(speed_load, estimated_rates_leave_time_to_decode)
{
    for (size_t s = 0; s < sizeof shapes / sizeof shapes[0]; s++) {
        for (int u = 0; u < 2; u++) {
            uint32_t pause = shapes[s].chunk_tokens * shapes[s].event_tokens;
            outcome off = play(&shapes[s], u, 0, 0);
            outcome on = play(&shapes[s], u, 64, 0);
            outcome with_pauses = play(&shapes[s], u, 64, pause);

            cr_expect_geq(on.started_in_time, 0.95);
            cr_expect_geq(with_pauses.started_in_time, 0.95);
            if (u && shapes[s].slots <= 16) {
                cr_expect_geq(on.in_target, off.in_target);
            }
        }
    }
}
