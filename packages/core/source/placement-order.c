#include <string.h>

#include "placement-imp.h"

/* An endpoint counts as full after this many consecutive failed orders. It may
 * then unload an unassigned model that another endpoint has loaded. */
#define FULL_ENDPOINT_FAILURES 2

/* Makes the next tick happen no later than `at`. */
static void
schedule_tick(place_state *placement, lv_time at)
{
    if (at < placement->next_tick_at) {
        placement->next_tick_at = at;
    }
}

static place_pool *
find_pool(const place_state *placement, lv_handle pool)
{
    lv_id id = placement->catalogue->pools[pool].id;

    for (uint32_t i = 0; i < placement->pool_count; i++) {
        if (placement->pools[i].pool == id) {
            return &placement->pools[i];
        }
    }
    return NULL;
}

/* Returns when the quiet period of a pool ends. */
static lv_time
quiet_period_end(const place_state *placement, lv_handle pool)
{
    const place_pool *local_pool = find_pool(placement, pool);
    lv_time changed = placement->view_changed_at;

    if (local_pool != NULL && local_pool->changed_at > changed) {
        changed = local_pool->changed_at;
    }
    return changed + placement->settings.quiet_period;
}

/* Counts the endpoints that have loaded a model and are not leaving,
 * optionally only those that it is assigned to. */
static uint32_t
count_copies(const place_state *placement, uint32_t model, bool only_assigned)
{
    lv_id id = placement->catalogue->models[model].id;
    uint32_t copies = 0;

    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        const place_endpoint *state = &placement->endpoints[i];

        copies += !state->is_leaving && place_has_loaded(state, id) &&
                  (!only_assigned || place_is_assigned(placement, i, model));
    }
    return copies;
}

/* Counts the endpoints that have reported here and that a model is assigned
 * to. */
static uint32_t
count_reporting_assigned(const place_state *placement, uint32_t model)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        count += placement->endpoints[i].has_reported &&
                 place_is_assigned(placement, i, model);
    }
    return count;
}

/* Returns whether an order may be sent to an endpoint now; schedules a tick if
 * it must wait for its backoff or the quiet period. */
static bool
can_order(place_state *placement, lv_time now, const place_endpoint *state,
          bool is_load)
{
    lv_time quiet_end;

    if (state->pool == LV_HANDLE_NONE || !state->has_reported ||
        state->is_leaving || state->is_order_in_flight ||
        state->order_model != LV_ID_NONE) {
        return false;
    }
    if (now < state->retry_at) {
        schedule_tick(placement, state->retry_at);
        return false;
    }
    quiet_end = quiet_period_end(placement, state->pool);
    if (now < quiet_end &&
        (!is_load ||
         !placement->catalogue->pools[state->pool].checks_fencing)) {
        schedule_tick(placement, quiet_end);
        return false;
    }
    return true;
}

static void
send_order(place_state *placement, lv_time now, place_endpoint *state,
           uint32_t model, bool is_load, uint32_t alternatives)
{
    const cat_model *ordered = &placement->catalogue->models[model];
    lv_order order = {
        .endpoint = state->id,
        .model = ordered->name,
        .is_load = is_load,
        .fence_catalogue = placement->catalogue->revision,
        .fence_lists = placement->lists->revision,
    };
    lv_decision decision = {
        .kind = LV_DECIDE_ORDER,
        .reason = is_load ? "load" : "unload",
        .pool = placement->catalogue->pools[state->pool].name,
        .endpoint = state->id,
        .value = ordered->id,
        .alternatives = alternatives,
    };

    state->is_order_in_flight = true;
    state->order_model = ordered->id;
    state->order_is_load = is_load;
    state->ordered_at = now;
    schedule_tick(placement, now + placement->settings.order_timeout);
    placement->host->ops->log_decision(placement->host, &decision);
    placement->host->ops->send_order(placement->host, &order);
}

static bool
needs_load(const place_state *placement, uint32_t endpoint, uint32_t model)
{
    return place_is_assigned(placement, endpoint, model) &&
           !place_has_loaded(&placement->endpoints[endpoint],
                             placement->catalogue->models[model].id);
}

/* The next load order and the number of orders that it was chosen from. */
typedef struct load_choice {
    uint32_t endpoint; /* LV_HANDLE_NONE: no order */
    uint32_t model;
    uint32_t copies; /* endpoints that have loaded the model */
    uint32_t candidate_count;
} load_choice;

/* Updates the choice by the load orders that are due for a model. */
static void
add_load_candidates(place_state *placement, lv_time now, uint32_t model,
                    load_choice *choice)
{
    uint32_t copies = count_copies(placement, model, false);

    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        if (!needs_load(placement, i, model) ||
            !can_order(placement, now, &placement->endpoints[i], true)) {
            continue;
        }
        choice->candidate_count++;
        if (choice->endpoint == LV_HANDLE_NONE || copies < choice->copies) {
            choice->endpoint = i;
            choice->model = model;
            choice->copies = copies;
        }
    }
}

/* Sends one load order for a pool if one is due, of the model with the fewest
 * copies. */
static void
send_load_order(place_state *placement, lv_time now, lv_handle pool)
{
    place_pool *local_pool = find_pool(placement, pool);
    load_choice choice = {.endpoint = LV_HANDLE_NONE};

    if (local_pool == NULL) {
        return;
    }
    for (uint32_t m = 0; m < placement->catalogue->model_count; m++) {
        if (placement->catalogue->models[m].pool == pool) {
            add_load_candidates(placement, now, m, &choice);
        }
    }
    if (choice.endpoint == LV_HANDLE_NONE) {
        return;
    }
    if (now < local_pool->next_load_at) {
        schedule_tick(placement, local_pool->next_load_at);
        return;
    }
    local_pool->next_load_at = now + placement->settings.order_interval *
                                         local_pool->shards /
                                         local_pool->local_shards;
    placement->counts.loads++;
    send_order(placement, now, &placement->endpoints[choice.endpoint],
               choice.model, true, choice.candidate_count - 1);
    if (choice.candidate_count > 1) {
        schedule_tick(placement, local_pool->next_load_at);
    }
}

/* A model may be unloaded once all endpoints that it is assigned to and that
 * report here, at least one, have loaded it. A full endpoint may unload it
 * earlier, unless it has the last copy. */
static bool
can_unload(const place_state *placement, const place_endpoint *state,
           uint32_t model)
{
    uint32_t assigned = count_reporting_assigned(placement, model);

    if (count_copies(placement, model, true) >= assigned && assigned > 0) {
        return true;
    }
    return state->failure_count >= FULL_ENDPOINT_FAILURES &&
           count_copies(placement, model, false) > 1;
}

static void
send_unload_orders(place_state *placement, lv_time now)
{
    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        place_endpoint *state = &placement->endpoints[i];

        for (uint32_t m = 0; m < placement->catalogue->model_count; m++) {
            const cat_model *model = &placement->catalogue->models[m];

            if (model->pool == state->pool &&
                !place_is_assigned(placement, i, m) &&
                place_has_loaded(state, model->id) &&
                can_unload(placement, state, m) &&
                can_order(placement, now, state, false)) {
                placement->counts.unloads++;
                send_order(placement, now, state, m, false, 0);
            }
        }
    }
}

void
place_send_orders(place_state *placement, lv_time now)
{
    send_unload_orders(placement, now);
    for (uint32_t i = 0; i < placement->catalogue->pool_count; i++) {
        send_load_order(placement, now, i);
    }
}
