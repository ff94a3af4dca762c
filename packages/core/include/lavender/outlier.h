/*
 * Failure rate of an endpoint as an exponentially weighted mean: recent
 * results weigh most, and without results the rate decays, so that the
 * endpoint is tried again without a separate health check. The rate is a cost
 * in the choice of an endpoint and never excludes one by itself, because a
 * service whose endpoints all fail must still be served.
 */
#ifndef LAVENDER_OUTLIER_H
#define LAVENDER_OUTLIER_H

#include "lavender/error.h"
#include "lavender/types.h"

typedef struct out_detector {
    double failure_rate; /* at the time updated_at, 0 to 1 */
    lv_time updated_at;
} out_detector;

void out_init(out_detector *detector);

/* Records the result of a request. is_hard: no connection to the endpoint
 * could be made. */
void out_record_success(out_detector *detector, lv_time now);
void out_record_failure(out_detector *detector, bool is_hard, lv_time now);

/* Returns the failure rate, 0 to 1, decayed to the time `now`. */
double out_failure_rate(const out_detector *detector, lv_time now);

#endif
