#include "lavender/placement.h"

#include <stdlib.h>
#include <string.h>

#include "placement-imp.h"
#include "table-imp.h"

/* The backoff after a failed order is order_interval, doubled for each
 * previous consecutive failure up to this number of times. */
#define MAX_BACKOFF_DOUBLINGS 5

bool
place_init(place_state *placement, lv_host *host,
           const place_settings *settings, lv_time now, err_error *error)
{
    memset(placement, 0, sizeof *placement);
    if (settings->order_interval == 0 || settings->order_timeout == 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "set order_interval and order_timeout to more than "
                       "zero",
                       "order_interval or order_timeout is zero");
    }
    placement->host = host;
    placement->settings = *settings;
    placement->view_changed_at = now;
    placement->next_tick_at = LV_TIME_NEVER;
    return true;
}

void
place_finish(place_state *placement)
{
    free(placement->pools);
    free(placement->endpoints);
    free(placement->assigned);
    memset(placement, 0, sizeof *placement);
}

void
place_set_documents(place_state *placement, lv_time now,
                    const cat_catalogue *catalogue,
                    const lists_snapshot *lists)
{
    placement->catalogue = catalogue;
    placement->lists = lists;
    placement->view_changed_at = now;
    placement->next_tick_at = now;
    place_update_assignment(placement);
}

static place_pool *
find_pool(const place_state *placement, lv_id pool)
{
    for (uint32_t i = 0; i < placement->pool_count; i++) {
        if (placement->pools[i].pool == pool) {
            return &placement->pools[i];
        }
    }
    return NULL;
}

static void
add_pool(place_state *placement, lv_time now, const place_pool *pool)
{
    if (!table_reserve((void **)&placement->pools, &placement->pool_capacity,
                       placement->pool_count + 1, sizeof *placement->pools)) {
        return;
    }
    placement->pools[placement->pool_count] = *pool;
    placement->pools[placement->pool_count++].changed_at = now;
    placement->next_tick_at = now;
    place_update_assignment(placement);
}

void
place_set_pool_shards(place_state *placement, lv_time now, lv_id pool,
                      uint32_t local_shards, uint32_t shards)
{
    place_pool *existing = find_pool(placement, pool);
    place_pool new_pool = {
        .pool = pool, .shards = shards, .local_shards = local_shards};

    if (existing == NULL) {
        if (local_shards > 0) {
            add_pool(placement, now, &new_pool);
        }
        return;
    }
    if (local_shards == 0) {
        *existing = placement->pools[--placement->pool_count];
        place_update_assignment(placement);
        return;
    }
    if (existing->shards != shards || existing->local_shards != local_shards) {
        existing->shards = shards;
        existing->local_shards = local_shards;
        existing->changed_at = now;
        placement->next_tick_at = now;
    }
}

/* Clears the pending order if the reported models show its effect. */
static void
clear_applied_order(place_endpoint *state)
{
    if (state->order_model != LV_ID_NONE && !state->is_order_in_flight &&
        place_has_loaded(state, state->order_model) == state->order_is_load) {
        state->order_model = LV_ID_NONE;
        state->failure_count = 0;
    }
}

void
place_set_loaded_models(place_state *placement, lv_time now, lv_id endpoint,
                        const lv_id *models, uint32_t count)
{
    place_endpoint *state = place_find_endpoint(placement, endpoint);

    if (state == NULL) {
        return;
    }
    if (count > PLACE_MAX_LOADED) {
        count = PLACE_MAX_LOADED;
    }
    if (!state->has_reported || count != state->loaded_count ||
        (count > 0 &&
         memcmp(state->loaded, models, count * sizeof *models) != 0)) {
        placement->next_tick_at = now;
    }
    if (count > 0) {
        memcpy(state->loaded, models, count * sizeof *models);
    }
    state->loaded_count = count;
    state->has_reported = true;
    clear_applied_order(state);
}

static void
record_failure(place_state *placement, lv_time now, place_endpoint *state,
               const char *reason)
{
    lv_decision decision = {
        .kind = LV_DECIDE_ORDER,
        .reason = reason,
        .endpoint = state->id,
        .value = state->failure_count + 1,
    };
    uint32_t doublings = state->failure_count < MAX_BACKOFF_DOUBLINGS
                             ? state->failure_count
                             : MAX_BACKOFF_DOUBLINGS;

    state->retry_at = now + (placement->settings.order_interval << doublings);
    state->failure_count++;
    state->is_order_in_flight = false;
    state->order_model = LV_ID_NONE;
    placement->next_tick_at = now;
    placement->host->ops->log_decision(placement->host, &decision);
}

void
place_complete_order(place_state *placement, lv_time now, lv_id endpoint,
                     bool accepted)
{
    place_endpoint *state = place_find_endpoint(placement, endpoint);

    if (state == NULL || !state->is_order_in_flight) {
        return;
    }
    state->is_order_in_flight = false;
    if (accepted) {
        clear_applied_order(state);
        placement->next_tick_at = now;
        return;
    }
    placement->counts.refused++;
    record_failure(placement, now, state, "order-refused");
}

static void
expire_orders(place_state *placement, lv_time now)
{
    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        place_endpoint *state = &placement->endpoints[i];
        lv_time deadline =
            state->ordered_at + placement->settings.order_timeout;

        if (state->order_model == LV_ID_NONE) {
            continue;
        }
        if (now >= deadline) {
            placement->counts.timeouts++;
            record_failure(placement, now, state, "order-timeout");
        }
        else if (deadline < placement->next_tick_at) {
            placement->next_tick_at = deadline;
        }
    }
}

void
place_tick(place_state *placement, lv_time now)
{
    placement->next_tick_at = LV_TIME_NEVER;
    if (placement->endpoint_count == 0) {
        return;
    }
    expire_orders(placement, now);
    place_send_orders(placement, now);
}

lv_time
place_next_tick(const place_state *placement)
{
    return placement->next_tick_at;
}
