#include "speed-rig.h"

#include <criterion/criterion.h>

#include <math.h>
#include <string.h>

#define SETTLE_TIME (2 * LV_SECOND)

const emu_shape speed_twelve_slots = {.slots = 12,
                                      .chunk_tokens = 4096,
                                      .step_us = 3790,
                                      .step_us_per_request = 89,
                                      .read_tokens_per_ms = 56.6,
                                      .memory_tokens = 414406,
                                      .event_tokens = 8,
                                      .gap_aim = 600 * LV_MILLISECOND};
const emu_shape speed_sixteen_slots = {.slots = 16,
                                       .chunk_tokens = 1024,
                                       .step_us = 3090,
                                       .step_us_per_request = 102,
                                       .read_tokens_per_ms = 56.9,
                                       .memory_tokens = 408920,
                                       .event_tokens = 10,
                                       .gap_aim = 400 * LV_MILLISECOND};

static const emu_kind kinds[] = {
    {12, 40, 20, 6610, 384, LV_SECOND, 12 * LV_SECOND},
    {16, 100, 20, 628, 288, 500 * LV_MILLISECOND, 12 * LV_SECOND},
    {20, 60, 20, 1800, 24, 600 * LV_MILLISECOND, 3 * LV_SECOND},
};

/* The rate of an engine that prefills without a break while all slots but one
 * decode. */
static double
busy_rate(const emu_shape *shape)
{
    double step_ms =
        (shape->step_us + (shape->slots - 1) * shape->step_us_per_request) /
        1000.0;

    return shape->chunk_tokens /
           (shape->chunk_tokens / shape->read_tokens_per_ms + step_ms);
}

/* An engine whose slots are all taken starts nothing, and only first tokens of
 * requests that were started since show a change: in a trace an engine that is
 * five times slower gave none for 3 s. So the error counts from the fifth one
 * where that is later: the third moves a median of five, and the rate doubles
 * at most with each of them. */
#define FIRST_TOKENS 5
#define REPORT_TIME (100 * LV_MILLISECOND) /* of the last of them */

#define CHANGING_ENGINES 3
#define SEEDS 5

static const speed_case *current;

typedef struct engine_errors {
    double sum;
    uint32_t count;
    uint32_t late; /* ticks before the error was first below SPEED_MAX_ERROR */
    bool is_settled;
    double factor;    /* settled at it */
    lv_time shown_at; /* of FIRST_TOKENS at this factor; 0: not yet */
} engine_errors;

static engine_errors errors[EMU_ENGINES];

static double
speed(uint32_t engine, lv_time now)
{
    bool is_changed =
        engine < CHANGING_ENGINES && now >= SPEED_CHANGE_AT &&
        (current->lasts == 0 || now < SPEED_CHANGE_AT + current->lasts);

    return is_changed ? current->factor : 1;
}

static void
watch(uint32_t engine, const eng_table *table, double factor,
      uint32_t first_tokens, lv_time now)
{
    engine_errors *of = &errors[engine];
    double truth = busy_rate(current->shape) * factor;
    double error =
        fabs(eng_prefill_rate(table, &table->endpoints[engine]) / truth - 1);
    lv_time end = SPEED_CHANGE_AT + current->lasts;
    lv_time since =
        now - (current->lasts != 0 && now >= end ? end : SPEED_CHANGE_AT);

    if (now < SPEED_CHANGE_AT || now >= SPEED_LENGTH) {
        return;
    }
    if (factor != of->factor) {
        of->factor = factor;
        of->is_settled = false;
        of->shown_at = 0;
    }
    if (of->shown_at == 0 && first_tokens >= FIRST_TOKENS) {
        of->shown_at = now;
    }
    of->is_settled = of->is_settled || error < SPEED_MAX_ERROR;
    if (since >= SETTLE_TIME && of->shown_at != 0 &&
        now >= of->shown_at + REPORT_TIME) {
        of->late += !of->is_settled;
        of->sum += error;
        of->count++;
    }
}

static void
play(const speed_case *one, uint64_t seed)
{
    emu_fleet fleet = one->fleet;
    emu_load load = {.kinds = kinds,
                     .kind_count = 3,
                     .weights = {1, 1, 1, 1, 1, 1, 1, 1},
                     .length = SPEED_LENGTH,
                     .seed = seed,
                     .shape = one->shape,
                     .fleet = &fleet,
                     .speed = speed,
                     .has_no_shares = true,
                     .learn_slots = 16};
    emu_result result;

    current = one;
    fleet.is_pinned = true;
    fleet.watch = watch;
    memset(errors, 0, sizeof errors);
    emu_play(&load, &result);
}

void
speed_expect_settled(const speed_case *one)
{
    double most = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        play(one, seed);
        for (int e = 0; e < CHANGING_ENGINES; e++) {
            double mean = errors[e].sum / errors[e].count;

            most = mean > most ? mean : most;
            cr_expect_gt(errors[e].count, 0);
            cr_expect_eq(errors[e].late, 0,
                         "%s, seed %d, engine %d: late by %u ms", one->name,
                         (int)seed, e, errors[e].late);
            cr_expect_lt(mean, SPEED_MAX_ERROR, "%s, seed %d, engine %d: %.3f",
                         one->name, (int)seed, e, mean);
        }
    }
    cr_log_info("%s: mean error up to %.3f", one->name, most);
}
