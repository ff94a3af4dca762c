#include "lavender/budget.h"

#include <string.h>

/* Part of the budget that is spent: the rest is for requests that an
 * instance counted and whose callers' own count lags behind. */
#define SPENT_PERCENT 80

#define STEPS 10 /* that the window slides in */

void
bud_init(bud_budget *budget, const bud_settings *settings)
{
    memset(budget, 0, sizeof *budget);
    budget->settings = *settings;
    budget->shape.length = settings->window;
    budget->shape.steps = STEPS;
}

void
bud_count_request(bud_budget *budget, lv_time now)
{
    win_add(&budget->requests, &budget->shape, 1, now);
}

uint32_t
bud_left(bud_budget *budget, uint32_t instances, lv_time now)
{
    uint64_t requests = win_sum(&budget->requests, &budget->shape, now);
    uint32_t used = (uint32_t)win_sum(&budget->repeats, &budget->shape, now);
    uint32_t allowed =
        (uint32_t)((budget->settings.ratio * (double)requests +
                    (double)budget->settings.slack / instances) *
                   SPENT_PERCENT / 100);

    return used < allowed ? allowed - used : 0;
}

bool
bud_take_retry(bud_budget *budget, uint32_t instances, lv_time now)
{
    if (bud_left(budget, instances, now) == 0) {
        return false;
    }
    win_add(&budget->repeats, &budget->shape, 1, now);
    return true;
}
