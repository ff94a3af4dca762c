#include "lavender/outlier.h"

#include <math.h>

/* Weight of one result: about the last five count. */
#define RESULT_WEIGHT 0.2

/* An endpoint that cannot be reached at all counts as mostly failing at
 * once, so that one lost connection attempt moves the work elsewhere. */
#define HARD_SHARE 0.8

/* Without results the share halves in this time: an endpoint that crashed
 * is tried again about when a restarted one is back. */
#define HALF_LIFE (1500 * LV_MILLISECOND)

void
out_init(out_outlier *outlier)
{
    outlier->share = 0;
    outlier->updated = 0;
}

double
out_share(const out_outlier *outlier, lv_time now)
{
    double halves =
        (double)lv_elapsed(now, outlier->updated) / (double)HALF_LIFE;

    return outlier->share <= 0 ? 0 : outlier->share * exp2(-halves);
}

void
out_record_success(out_outlier *outlier, lv_time now)
{
    outlier->share = out_share(outlier, now) * (1 - RESULT_WEIGHT);
    outlier->updated = now;
}

void
out_record_failure(out_outlier *outlier, bool is_hard, lv_time now)
{
    double share = out_share(outlier, now);

    share += (1 - share) * RESULT_WEIGHT;
    if (is_hard && share < HARD_SHARE) {
        share = HARD_SHARE;
    }
    outlier->share = share;
    outlier->updated = now;
}
