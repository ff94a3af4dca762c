/*
 * The speed of one endpoint: the prompt tokens that it prefills in a
 * millisecond while it serves its present load, estimated from first tokens.
 *
 * A sample is an amount of work, which is the prompt tokens of a request and
 * of those queued before it, and the time until the first token. The estimate
 * follows a weighted median of recent samples, of which each other instance
 * has at most one, so that a single instance cannot move it. It falls at once
 * and rises in steps: a rate that is too high floods the endpoint, one that is
 * too low only sends requests elsewhere.
 */
#ifndef LAVENDER_SPEED_H
#define LAVENDER_SPEED_H

#include "lavender/types.h"

#define SPD_SAMPLES 5

/* The source of the samples of this instance. */
#define SPD_LOCAL ((uint64_t)0)

/* Work and time of the recent samples of one instance. They begin again with
 * the first sample after SPD_SUM_TIME, so they need no earlier report to be
 * understood: in a large fleet an instance sees one request of an endpoint in
 * some 10 s. */
typedef struct spd_sums {
    uint32_t tokens;
    uint32_t time; /* us */
} spd_sums;

#define SPD_SUM_TIME (500 * LV_MILLISECOND)

typedef struct spd_sample {
    uint64_t source; /* instance */
    lv_time taken_at;
    double rate;   /* tokens per ms */
    double weight; /* up to 1 */
} spd_sample;

typedef struct spd_state {
    double rate;                     /* tokens per ms; 0: not known */
    spd_sample samples[SPD_SAMPLES]; /* the newest first */
    uint32_t sample_count;
    lv_time sums_began_at; /* of this instance's sums */
    lv_time reported_at;   /* the coordinator's latest estimate; 0: none */
    double announced_rate; /* by spd_has_changed; 0: none yet */
} spd_state;

/* Is the work large enough to tell the rate? The time until the first token of
 * a short prompt is mostly that of other things. */
bool spd_is_usable(uint64_t tokens);

/* Adds a sample of this instance to its sums. */
void spd_add_to_sums(spd_state *state, spd_sums *sums, uint32_t tokens,
                     lv_time time, lv_time now);

/* Moves the estimate by a sample. `setting` is the configured rate, which is
 * used until the rate is known and bounds it. Returns whether the estimate
 * changed. */
bool spd_add_sample(spd_state *state, uint64_t source, const spd_sums *sums,
                    double setting, lv_time now);

/* Takes over the estimate of the endpoint's coordinator. */
void spd_apply_report(spd_state *state, double rate, double setting,
                      lv_time now);

/* Does the coordinator report the estimate? Samples of this instance move it
 * otherwise. */
bool spd_is_reported(const spd_state *state, lv_time now);

/* Is there a report, or are there samples, of the present speed? One sample
 * alone does not move the estimate. */
bool spd_is_recent(const spd_state *state, lv_time now);

/* Moves the estimate towards `prior` by one step of SPD_DRIFT_INTERVAL, or by
 * a part of one, for an endpoint without recent samples: one that was too slow
 * to be sent requests is tried again. */
void spd_drift(spd_state *state, double prior, double part, double setting);

#define SPD_DRIFT_INTERVAL (250 * LV_MILLISECOND)

/* Has the estimate changed by more than a third since the last call that
 * returned true, or from the setting before the first one? Writes the rate of
 * then. */
bool spd_has_changed(spd_state *state, double setting, double *before);

#endif
