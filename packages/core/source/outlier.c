#include "lavender/outlier.h"

#include <math.h>

/* Weight of one result: the mean covers about the last five results. */
#define RESULT_WEIGHT 0.2

/* Minimum failure rate after a failed connection attempt, so that a single one
 * moves the requests to other endpoints. */
#define HARD_FAILURE_RATE 0.8

/* Half-life of the failure rate without results: a crashed endpoint is tried
 * again at about the time when a restarted one accepts requests. */
#define HALF_LIFE (1500 * LV_MILLISECOND)

void
out_init(out_detector *detector)
{
    detector->failure_rate = 0;
    detector->updated_at = 0;
}

double
out_failure_rate(const out_detector *detector, lv_time now)
{
    double half_lives =
        (double)lv_elapsed(now, detector->updated_at) / (double)HALF_LIFE;

    return detector->failure_rate <= 0
               ? 0
               : detector->failure_rate * exp2(-half_lives);
}

void
out_record_success(out_detector *detector, lv_time now)
{
    detector->failure_rate =
        out_failure_rate(detector, now) * (1 - RESULT_WEIGHT);
    detector->updated_at = now;
}

void
out_record_failure(out_detector *detector, bool is_hard, lv_time now)
{
    double rate = out_failure_rate(detector, now);

    rate += (1 - rate) * RESULT_WEIGHT;
    if (is_hard && rate < HARD_FAILURE_RATE) {
        rate = HARD_FAILURE_RATE;
    }
    detector->failure_rate = rate;
    detector->updated_at = now;
}
