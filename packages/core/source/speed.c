#include "lavender/speed.h"

#include <math.h>
#include <string.h>

/* Work below this takes about as long as a step of the engine. */
#define MIN_TOKENS 1000

/* Work that counts in full: the prompt of a large request. */
#define FULL_WEIGHT_TOKENS 6000.0

/* No sample weighs as much as two others, so that one instance cannot decide
 * among three samples. */
#define MIN_WEIGHT 0.5

/* Samples older than this tell nothing of the present speed, which may change
 * within half a second. */
#define SAMPLE_LIFETIME (2 * LV_SECOND)

/* An endpoint without samples for this time may have changed its speed. */
#define RECENT_TIME (500 * LV_MILLISECOND)

/* Bounds of samples and of the estimate as factors of the setting. */
#define MAX_FACTOR 3.0
#define MIN_FACTOR (1 / 6.0)

/* The estimate rises by at most this factor with each sample. */
#define MAX_RISE 2.0

/* Samples that decide alone when the rate falls; fewer are filled up with the
 * present estimate. */
#define NEWEST_SAMPLES 3

/* The newest samples decide where they are below the others by this factor;
 * smaller differences are chance. */
#define CLEARLY_LESS 0.8

/* Longer than the interval of a coordinator's sums in a fleet of 1,500. */
#define REPORT_LIFETIME (8 * LV_SECOND)

/* Part of the distance to the prior that one step takes: seven eighths of it
 * in a second. */
#define DRIFT_PART 0.4

#define ANNOUNCED_CHANGE (4 / 3.0)

bool
spd_is_usable(uint64_t tokens)
{
    return tokens >= MIN_TOKENS && tokens < UINT32_MAX;
}

void
spd_add_to_sums(spd_state *state, spd_sums *sums, uint32_t tokens,
                lv_time time, lv_time now)
{
    if (lv_elapsed(now, state->sums_began_at) >= SPD_SUM_TIME) {
        memset(sums, 0, sizeof *sums);
        state->sums_began_at = now;
    }
    sums->tokens += tokens;
    sums->time += (uint32_t)time;
}

static double
bound(double value, double least, double most)
{
    return value < least ? least : value > most ? most : value;
}

static void
set_rate(spd_state *state, double rate, double setting)
{
    state->rate = bound(rate, setting * MIN_FACTOR, setting * MAX_FACTOR);
}

static void
remove_sample(spd_state *state, uint32_t index)
{
    state->sample_count--;
    memmove(&state->samples[index], &state->samples[index + 1],
            (state->sample_count - index) * sizeof state->samples[0]);
}

static void
remove_outdated(spd_state *state, uint64_t source, lv_time now)
{
    uint32_t i;

    for (i = state->sample_count; i > 0; i--) {
        const spd_sample *sample = &state->samples[i - 1];

        if (lv_elapsed(now, sample->taken_at) >= SAMPLE_LIFETIME ||
            (source != SPD_LOCAL && sample->source == source)) {
            remove_sample(state, i - 1);
        }
    }
}

static void
insert_sample(spd_state *state, const spd_sample *sample)
{
    if (state->sample_count == SPD_SAMPLES) {
        state->sample_count--;
    }
    memmove(&state->samples[1], &state->samples[0],
            state->sample_count * sizeof state->samples[0]);
    state->samples[0] = *sample;
    state->sample_count++;
}

/* Returns the lower weighted median of the newest `count` samples; the present
 * estimate stands for those that are missing. */
static double
find_median(const spd_state *state, uint32_t count)
{
    spd_sample sorted[SPD_SAMPLES];
    double half = 0;
    uint32_t i, k;

    for (i = 0; i < count; i++) {
        spd_sample added = {.rate = state->rate, .weight = 1};

        if (i < state->sample_count) {
            added = state->samples[i];
        }
        half += added.weight / 2;
        for (k = i; k > 0 && sorted[k - 1].rate > added.rate; k--) {
            sorted[k] = sorted[k - 1];
        }
        sorted[k] = added;
    }
    for (i = 0; i + 1 < count && sorted[i].weight < half; i++) {
        half -= sorted[i].weight;
    }
    return sorted[i].rate;
}

bool
spd_add_sample(spd_state *state, uint64_t source, const spd_sums *sums,
               double setting, lv_time now)
{
    double before = state->rate > 0 ? state->rate : setting;
    double time_ms = (double)sums->time / 1000;
    spd_sample sample = {.source = source, .taken_at = now};
    uint32_t count;
    double target, newest;

    if (!spd_is_usable(sums->tokens)) {
        return false;
    }
    set_rate(state, before, setting);
    sample.rate = bound((double)sums->tokens / fmax(time_ms, 1),
                        setting * MIN_FACTOR, setting * MAX_FACTOR);
    sample.weight =
        bound((double)sums->tokens / FULL_WEIGHT_TOKENS, MIN_WEIGHT, 1);
    remove_outdated(state, source, now);
    insert_sample(state, &sample);
    count = state->sample_count > NEWEST_SAMPLES ? state->sample_count
                                                 : NEWEST_SAMPLES;
    target = find_median(state, count);
    newest = find_median(state, NEWEST_SAMPLES);
    target = newest < target * CLEARLY_LESS ? newest : target;
    set_rate(state, bound(target, 0, before * MAX_RISE), setting);
    return state->rate != before;
}

void
spd_apply_report(spd_state *state, double rate, double setting, lv_time now)
{
    set_rate(state, rate, setting);
    state->reported_at = now;
}

bool
spd_is_reported(const spd_state *state, lv_time now)
{
    return state->reported_at != 0 &&
           lv_elapsed(now, state->reported_at) < REPORT_LIFETIME;
}

bool
spd_is_recent(const spd_state *state, lv_time now)
{
    return spd_is_reported(state, now) ||
           (state->sample_count > 1 &&
            lv_elapsed(now, state->samples[1].taken_at) < RECENT_TIME);
}

void
spd_drift(spd_state *state, double prior, double part, double setting)
{
    if (state->rate <= 0) {
        set_rate(state, prior, setting);
        return;
    }
    set_rate(state, state->rate * pow(prior / state->rate, DRIFT_PART * part),
             setting);
}

bool
spd_has_changed(spd_state *state, double setting, double *before)
{
    *before = state->announced_rate > 0 ? state->announced_rate : setting;
    if (state->rate <= 0 || (state->rate < *before * ANNOUNCED_CHANGE &&
                             *before < state->rate * ANNOUNCED_CHANGE)) {
        return false;
    }
    state->announced_rate = state->rate;
    return true;
}
