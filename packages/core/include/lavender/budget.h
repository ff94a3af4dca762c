/*
 * The budget of repeated requests: how many requests may be sent to a
 * further endpoint, as a share of the recent ones and a little more. Each
 * instance spends its own part, so nobody has to be asked.
 */
#ifndef LAVENDER_BUDGET_H
#define LAVENDER_BUDGET_H

#include "lavender/window.h"

typedef struct bud_settings {
    lv_time window;
    double ratio;   /* repeats for each request, over the fleet */
    uint32_t slack; /* further repeats in a window, over the fleet */
} bud_settings;

typedef struct bud_budget {
    bud_settings settings;
    win_shape shape;
    win_window requests;
    win_window repeats;
} bud_budget;

void bud_init(bud_budget *budget, const bud_settings *settings);

void bud_count_request(bud_budget *budget, lv_time now);

/* Take one repeat from the budget; false when this instance's part, one of
 * `instances`, is spent. */
bool bud_take_retry(bud_budget *budget, uint32_t instances, lv_time now);

/* Repeats that are left to this instance. */
uint32_t bud_left(bud_budget *budget, uint32_t instances, lv_time now);

#endif
