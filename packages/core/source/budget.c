#include "lavender/budget.h"

#include <string.h>

/* The part of the budget that is spent. The rest is a margin for requests that
 * an instance has counted and that are not yet in the callers' own counts. */
#define SPENT_PERCENT 80

#define WINDOW_BUCKETS 10

void
bud_init(bud_budget *budget, const bud_settings *settings)
{
    memset(budget, 0, sizeof *budget);
    budget->settings = *settings;
    budget->shape.length = settings->window;
    budget->shape.bucket_count = WINDOW_BUCKETS;
}

void
bud_count_request(bud_budget *budget, lv_time now)
{
    win_add(&budget->requests, &budget->shape, 1, now);
}

uint32_t
bud_retries_left(bud_budget *budget, uint32_t instances, lv_time now)
{
    uint64_t requests = win_sum(&budget->requests, &budget->shape, now);
    uint32_t used = (uint32_t)win_sum(&budget->retries, &budget->shape, now);
    uint32_t allowed =
        (uint32_t)((budget->settings.ratio * (double)requests +
                    (double)budget->settings.slack / instances) *
                   SPENT_PERCENT / 100);

    return used < allowed ? allowed - used : 0;
}

bool
bud_take_retry(bud_budget *budget, uint32_t instances, lv_time now)
{
    if (bud_retries_left(budget, instances, now) == 0) {
        return false;
    }
    win_add(&budget->retries, &budget->shape, 1, now);
    return true;
}
