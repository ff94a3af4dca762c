/*
 * Placement: the assignment of models to endpoints and the orders to load and
 * unload models until the endpoints match it. Every router computes the same
 * assignment from the catalogue and the lists. Load orders are rate-limited
 * for the weight store, an endpoint has at most one order in flight, the last
 * copy of a model is never unloaded, and each order carries a fencing number
 * (catalogue revision, list revision).
 *
 * An endpoint gets orders only after it has reported its loaded models. The
 * next order is sent once a report shows the effect of the last one or the
 * last one has failed. Load orders of pools whose endpoints ignore fencing
 * numbers, and all unload orders, wait until catalogue, lists and role have
 * been unchanged for the quiet period. Orders are idempotent: each states
 * whether the model is to be loaded.
 */
#ifndef LAVENDER_PLACEMENT_H
#define LAVENDER_PLACEMENT_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

/* Maximum number of loaded models per endpoint; further ones are ignored. */
#define PLACE_MAX_LOADED 64

typedef struct place_settings {
    lv_time order_interval; /* between load orders, for the weight store */
    lv_time order_timeout;  /* until the effect of an order is reported */
    lv_time quiet_period;   /* without changes of the view before an order */
} place_settings;

typedef struct place_state place_state;

/* State of one endpoint of the pools that are dispatched here. */
typedef struct place_endpoint {
    lv_id id;
    lv_handle pool; /* LV_HANDLE_NONE: not in the catalogue */
    bool is_leaving;
    bool has_reported;
    lv_id loaded[PLACE_MAX_LOADED]; /* models, as last reported */
    uint32_t loaded_count;
    bool is_order_in_flight; /* the last order is unanswered */
    lv_id order_model;       /* of the pending order; LV_ID_NONE: none */
    bool order_is_load;
    lv_time ordered_at;
    lv_time retry_at;       /* end of the backoff after a failure */
    uint32_t failure_count; /* consecutive; sets the backoff */
} place_endpoint;

/* A pool with shards that are dispatched here. */
typedef struct place_pool {
    lv_id pool;
    uint32_t shards;       /* of the pool */
    uint32_t local_shards; /* dispatched here, at least 1 */
    lv_time changed_at;    /* last change of the numbers of shards */
    lv_time next_load_at;  /* earliest time of the next load order */
} place_pool;

/* Totals of orders since place_init. */
typedef struct place_counts {
    uint64_t loads;   /* sent */
    uint64_t unloads; /* sent */
    uint64_t refused; /* by the endpoint */
    uint64_t timeouts;
} place_counts;

/* Private; it is defined here so that the caller can allocate it. */
struct place_state {
    lv_host *host;
    place_settings settings;
    const cat_catalogue *catalogue;
    const lists_snapshot *lists;
    place_pool *pools;
    uint32_t pool_count;
    uint32_t pool_capacity;
    place_endpoint *endpoints; /* sorted by id */
    uint32_t endpoint_count;
    bool *assigned; /* endpoint_count x model_count */
    lv_time view_changed_at;
    lv_time next_tick_at; /* LV_TIME_NEVER: none */
    place_counts counts;
};

/* `host` must outlive the placement. Returns false and sets *error if a
 * setting is invalid. */
bool place_init(place_state *placement, lv_host *host,
                const place_settings *settings, lv_time now, err_error *error);
void place_finish(place_state *placement);

/* Sets the catalogue and the lists and computes the assignment. Both must stay
 * valid until the next call. */
void place_set_documents(place_state *placement, lv_time now,
                         const cat_catalogue *catalogue,
                         const lists_snapshot *lists);

/* Sets how many of a pool's shards this instance dispatches; 0 removes the
 * pool. The endpoints of these shards report to this instance and get orders
 * from it. The interval between load orders is multiplied by shards /
 * local_shards, so that all dispatchers of the pool together send one load
 * order per order_interval. */
void place_set_pool_shards(place_state *placement, lv_time now, lv_id pool,
                           uint32_t local_shards, uint32_t shards);

/* Applies the loaded models of an endpoint's load report. */
void place_set_loaded_models(place_state *placement, lv_time now,
                             lv_id endpoint, const lv_id *models,
                             uint32_t count);

/* Handles the endpoint's answer to its order. */
void place_complete_order(place_state *placement, lv_time now, lv_id endpoint,
                          bool accepted);

/* Handles timeouts and sends the orders that are due. */
void place_tick(place_state *placement, lv_time now);

/* Returns when place_tick must be called next; LV_TIME_NEVER: not needed. */
lv_time place_next_tick(const place_state *placement);

/* Returns whether a model is assigned to an endpoint; every router gets the
 * same result. A model goes to the endpoints with the highest rendezvous
 * weight, to those that have their share of models only if no others remain.
 * Computes the assignment of the whole pool, which is too slow for each
 * request. Returns false if memory runs out. */
bool place_is_model_assigned(const cat_catalogue *catalogue,
                             const lists_snapshot *lists, lv_handle model,
                             lv_handle endpoint);

#endif
