/*
 * Placement: which models each endpoint should have loaded, worked out the
 * same on every router from the catalogue and the lists, and the orders
 * that bring it about. Orders go out slowly enough for the weight store,
 * one in flight per endpoint, never unload the last copy, and carry a
 * fencing number (catalogue revision, list revision).
 */
#ifndef LAVENDER_PLACEMENT_H
#define LAVENDER_PLACEMENT_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

typedef struct place_settings {
    lv_time order_interval; /* between two load orders: weight-store rate */
    lv_time order_timeout;
    lv_time quiet; /* the view must be unchanged this long before an order */
} place_settings;

typedef struct place_placement place_placement;

bool place_init(place_placement *placement, lv_host *host,
                const place_settings *settings, lv_time now, err_error *error);
void place_finish(place_placement *placement);

void place_set_views(place_placement *placement, lv_time now,
                     const cat_catalogue *catalogue, const world_lists *lists);

/* Pools this instance dispatches: only these get its orders. */
void place_set_pool(place_placement *placement, lv_time now, lv_id pool,
                    bool is_mine);

/* What an endpoint says it has loaded (its load report). */
void place_take_models(place_placement *placement, lv_time now, lv_id endpoint,
                       const lv_id *models, uint32_t count);

/* The endpoint answered an order. */
void place_order_done(place_placement *placement, lv_time now, lv_id endpoint,
                      bool accepted);

void place_tick(place_placement *placement, lv_time now);
lv_time place_next_tick(const place_placement *placement);

/* Is a model wanted at an endpoint (same answer on every router)? */
bool place_is_wanted(const cat_catalogue *catalogue, const world_lists *lists,
                     lv_handle model, lv_handle endpoint);

#endif
