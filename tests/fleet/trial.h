/*
 * A fleet test: a fleet, a load that runs on it, and the promises that hold
 * whatever happens.
 */
#ifndef TRIAL_H
#define TRIAL_H

#include "common-fleet.h"

#define TRIAL_WAIT_MS 30000

typedef struct trial_trial {
    fleet_fleet fleet;
    proc_process load;
    json_t *report;
    bool is_started;
} trial_trial;

/* What a load brought, read from its report. */
typedef struct trial_result {
    long long requests, whole, not_run, incomplete, unknown, cut, no_answer;
    long long pending, wrong, not_run_but_ran, done_but_not_run, doubles;
} trial_result;

/* The shape that most tests use: three routers, two engines, a service. */
fleet_shape trial_shape(void);

/* Fail the test unless this holds, and keep the fleet's logs. */
void trial_require(trial_trial *trial, bool holds, const char *what);

/* Start a fleet; a test that can not have one fails. */
void trial_start(trial_trial *trial, const fleet_shape *shape);

/* Start the load and wait until it is answered. It is bounded in count and
 * time by itself. */
void trial_start_load(trial_trial *trial, const char *flows);

/* Stop the load, wait for what it sent; fails unless every promise held. */
trial_result trial_finish_load(trial_trial *trial);

/* The report of the load that has ended; the caller's reference. */
json_t *trial_read_report(const trial_trial *trial);

/* End everything; to be called also after a failure. */
void trial_stop(trial_trial *trial);

/* Answers that the engines finished so far; counts of all that still run. */
long long trial_finished(const trial_trial *trial);

/* Wait until the engines have finished that many more. */
bool trial_wait_progress(const trial_trial *trial, long long more);

/* Wait until a router has answered that many more. */
bool trial_wait_router(const trial_trial *trial, uint32_t router, double more);

/* Wait until a router has this catalogue revision, or sees that many live
 * members. */
bool trial_wait_revision(const trial_trial *trial, uint32_t router,
                         uint64_t revision);
bool trial_wait_members(const trial_trial *trial, uint32_t router,
                        uint32_t members);

/* Flows of four accounts over all routers, with streams and bookings. */
extern const char trial_mixed_flows[];

#endif
