/*
 * Retry budget: limits how many requests are sent to a further endpoint, to a
 * ratio of the recent requests plus a constant. The ratio and the constant
 * apply to the whole fleet; each instance spends only its own part, so that
 * the instances need not coordinate.
 */
#ifndef LAVENDER_BUDGET_H
#define LAVENDER_BUDGET_H

#include "lavender/window.h"

typedef struct bud_settings {
    lv_time window;
    double ratio;   /* retries per request, over the fleet */
    uint32_t slack; /* additional retries per window, over the fleet */
} bud_settings;

typedef struct bud_budget {
    bud_settings settings;
    win_shape shape;
    win_window requests;
    win_window retries;
} bud_budget;

void bud_init(bud_budget *budget, const bud_settings *settings);

void bud_count_request(bud_budget *budget, lv_time now);

/* Takes one retry from the budget. Returns false if the part of this instance,
 * which is one of `instances`, is spent. */
bool bud_take_retry(bud_budget *budget, uint32_t instances, lv_time now);

/* Returns the number of retries that this instance may still take. */
uint32_t bud_retries_left(bud_budget *budget, uint32_t instances, lv_time now);

#endif
