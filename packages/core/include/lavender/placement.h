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

/* The most models that one endpoint may report. */
#define PLACE_MODELS_MAX 32

/* An endpoint of a pool that this instance gives orders to. */
typedef struct place_endpoint {
    lv_id id;
    lv_id models[PLACE_MODELS_MAX]; /* loaded, as last reported */
    uint32_t model_count;
    bool is_heard;       /* it has reported what it has loaded */
    bool is_ordered;     /* one order is on its way */
    lv_time order_ends;  /* then the order counts as lost */
    lv_time rests_until; /* after a refusal */
} place_endpoint;

/* A pool with orders from this instance. */
typedef struct place_pool {
    lv_id id;
    bool is_mine;
} place_pool;

/* Fields are private. */
typedef struct place_placement {
    lv_host *host;
    place_settings settings;
    const cat_catalogue *catalogue;
    const world_lists *lists;
    place_endpoint *endpoints; /* same order as in the lists */
    uint32_t endpoint_count;
    place_pool *pools; /* same order as in the catalogue */
    uint32_t pool_count;
    lv_time changed;   /* when the view last changed */
    lv_time next_load; /* no load order before this */
    lv_time next_tick;
} place_placement;

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
