/*
 * Placement: which models each endpoint should have loaded, worked out the
 * same on every router from the catalogue and the lists, and the orders
 * that bring it about. Orders go out slowly enough for the weight store,
 * one in flight per endpoint, never unload the last copy, and carry a
 * fencing number (catalogue revision, list revision).
 *
 * An endpoint gets orders only after it has said what it has loaded, and an
 * order is not given again before its effect could show. Where the
 * deployment ignores fencing numbers, an order goes out only after a quiet
 * view: catalogue, lists and role unchanged for a while. Every order states
 * a wanted state, so that a repeated one does no harm.
 */
#ifndef LAVENDER_PLACEMENT_H
#define LAVENDER_PLACEMENT_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

/* Models that one endpoint can report as loaded; more are ignored. */
#define PLACE_LOADED_MAX 64

typedef struct place_settings {
    lv_time order_interval; /* between two load orders: weight-store rate */
    lv_time order_timeout;
    lv_time quiet_period; /* the view must be unchanged this long before an
                             order */
} place_settings;

typedef struct place_state place_state;

/* What is known of one endpoint of the pools that are ours. */
typedef struct place_row {
    lv_id endpoint;
    lv_handle pool;
    bool is_leaving;
    bool has_reported;
    lv_id loaded[PLACE_LOADED_MAX];
    uint32_t loaded_count;
    bool is_in_flight; /* an order without its answer */
    lv_id order_model; /* of the last order; LV_ID_NONE: none to wait for */
    bool order_is_load;
    lv_time order_at;
    lv_time retry_at;  /* no order before */
    uint32_t failures; /* in a row */
} place_row;

typedef struct place_pool {
    lv_id pool;
    uint32_t shards;      /* of the pool */
    uint32_t shards_mine; /* dispatched here */
    lv_time since;        /* ours from then on */
    lv_time next_load;    /* no load order before */
} place_pool;

typedef struct place_counts {
    uint64_t loads;
    uint64_t unloads;
    uint64_t refused;
    uint64_t timeouts;
} place_counts;

/* Private but for its size, so that the caller can own the memory. */
struct place_state {
    lv_host *host;
    place_settings settings;
    const cat_catalogue *catalogue;
    const lists_snapshot *lists;
    place_pool *pools;
    uint32_t pool_count;
    uint32_t pool_capacity;
    place_row *rows; /* sorted by endpoint */
    uint32_t row_count;
    bool *wanted; /* row_count x model_count */
    lv_time view_changed;
    lv_time next_look;
    place_counts counts;
};

bool place_init(place_state *placement, lv_host *host,
                const place_settings *settings, lv_time now, err_error *error);
void place_finish(place_state *placement);

/* Both stay valid until the next call. */
void place_set_documents(place_state *placement, lv_time now,
                         const cat_catalogue *catalogue,
                         const lists_snapshot *lists);

/* How many of a pool's shards this instance dispatches. Their endpoints are
 * the ones that report here, and so the ones that get orders from here; load
 * orders come as much more slowly as other instances dispatch the rest, so
 * that the pool keeps to one per interval. */
void place_set_pool_shards(place_state *placement, lv_time now, lv_id pool,
                           uint32_t shards_mine, uint32_t shards);

/* What an endpoint says it has loaded (its load report). */
void place_set_loaded_models(place_state *placement, lv_time now,
                             lv_id endpoint, const lv_id *models,
                             uint32_t count);

/* The endpoint answered an order. */
void place_complete_order(place_state *placement, lv_time now, lv_id endpoint,
                          bool accepted);

void place_tick(place_state *placement, lv_time now);
lv_time place_next_tick(const place_state *placement);

/* Is a model wanted at an endpoint (same answer on every router)? Copies go
 * to the endpoints with the highest weight, but to one that has its share of
 * models only when no other is left. Works the whole pool out: for
 * reports, not for each request. */
bool place_is_wanted(const cat_catalogue *catalogue,
                     const lists_snapshot *lists, lv_handle model,
                     lv_handle endpoint);

#endif
