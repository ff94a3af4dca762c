#include "lavender/placement.h"

#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"

/* Between two looks at what is loaded and what is wanted. */
#define TICK_INTERVAL (200 * LV_MILLISECOND)

bool
place_init(place_placement *placement, lv_host *host,
           const place_settings *settings, lv_time now, err_error *error)
{
    if (settings->order_timeout == 0) {
        return err_set(error, ERR_BAD_VALUE, "give it a length of time",
                       "the timeout of placement orders is zero");
    }
    memset(placement, 0, sizeof *placement);
    placement->host = host;
    placement->settings = *settings;
    placement->changed = now;
    placement->next_tick = now + TICK_INTERVAL;
    return true;
}

void
place_finish(place_placement *placement)
{
    free(placement->endpoints);
    free(placement->pools);
}

static uint64_t
model_key(const cat_model *model)
{
    return model->id;
}

/* The endpoints of a pool that outrank one for a model. */
static uint32_t
count_better(const world_lists *lists, const cat_model *model,
             const ep_endpoint *endpoint)
{
    uint64_t weight = hrw_weight(endpoint->id, model_key(model));
    uint32_t better = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        const ep_endpoint *other = &lists->endpoints[i];

        if (other->pool == endpoint->pool && !other->leaving &&
            hrw_weight(other->id, model_key(model)) > weight) {
            better++;
        }
    }
    return better;
}

bool
place_is_wanted(const cat_catalogue *catalogue, const world_lists *lists,
                lv_handle model_handle, lv_handle endpoint_handle)
{
    const cat_model *model = &catalogue->models[model_handle];
    const ep_endpoint *endpoint = &lists->endpoints[endpoint_handle];

    if (endpoint->leaving ||
        catalogue->pools[model->pool].id != endpoint->pool) {
        return false;
    }
    return model->copies == 0 ||
           count_better(lists, model, endpoint) < model->copies;
}

static bool
copy_endpoints(place_placement *placement, const world_lists *lists)
{
    place_endpoint *endpoints =
        calloc(lists->endpoint_count + 1, sizeof *endpoints);
    uint32_t old = 0;

    if (endpoints == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        lv_id id = lists->endpoints[i].id;

        while (old < placement->endpoint_count &&
               placement->endpoints[old].id < id) {
            old++;
        }
        if (old < placement->endpoint_count &&
            placement->endpoints[old].id == id) {
            endpoints[i] = placement->endpoints[old];
        }
        endpoints[i].id = id;
    }
    free(placement->endpoints);
    placement->endpoints = endpoints;
    placement->endpoint_count = lists->endpoint_count;
    return true;
}

static place_pool *
find_pool(const place_placement *placement, lv_id id)
{
    for (uint32_t i = 0; i < placement->pool_count; i++) {
        if (placement->pools[i].id == id) {
            return &placement->pools[i];
        }
    }
    return NULL;
}

static bool
copy_pools(place_placement *placement, const cat_catalogue *catalogue)
{
    place_pool *pools = calloc(catalogue->pool_count + 1, sizeof *pools);

    if (pools == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < catalogue->pool_count; i++) {
        const place_pool *old = find_pool(placement, catalogue->pools[i].id);

        pools[i].id = catalogue->pools[i].id;
        pools[i].is_mine = old != NULL && old->is_mine;
    }
    free(placement->pools);
    placement->pools = pools;
    placement->pool_count = catalogue->pool_count;
    return true;
}

void
place_set_views(place_placement *placement, lv_time now,
                const cat_catalogue *catalogue, const world_lists *lists)
{
    bool has_copied =
        copy_endpoints(placement, lists) && copy_pools(placement, catalogue);

    placement->catalogue = has_copied ? catalogue : NULL;
    placement->lists = lists;
    placement->changed = now;
}

void
place_set_pool(place_placement *placement, lv_time now, lv_id id, bool is_mine)
{
    place_pool *pool = find_pool(placement, id);

    if (pool == NULL || pool->is_mine == is_mine) {
        return;
    }
    pool->is_mine = is_mine;
    placement->changed = now;
}

static place_endpoint *
find_endpoint(place_placement *placement, lv_id id)
{
    lv_handle handle;

    if (placement->lists == NULL) {
        return NULL;
    }
    handle = ep_find(placement->lists, id);
    if (handle == LV_HANDLE_NONE || handle >= placement->endpoint_count) {
        return NULL;
    }
    return &placement->endpoints[handle];
}

void
place_take_models(place_placement *placement, lv_time now, lv_id id,
                  const lv_id *models, uint32_t count)
{
    place_endpoint *endpoint = find_endpoint(placement, id);

    (void)now;
    if (endpoint == NULL || models == NULL || count > PLACE_MODELS_MAX) {
        return;
    }
    memcpy(endpoint->models, models, count * sizeof *models);
    endpoint->model_count = count;
    endpoint->is_heard = true;
}

void
place_order_done(place_placement *placement, lv_time now, lv_id id,
                 bool accepted)
{
    place_endpoint *endpoint = find_endpoint(placement, id);

    if (endpoint == NULL || !endpoint->is_ordered) {
        return;
    }
    endpoint->is_ordered = false;
    endpoint->is_heard = false;
    if (!accepted) {
        endpoint->rests_until = now + placement->settings.order_interval;
    }
}

static bool
has_model(const place_endpoint *endpoint, lv_id model)
{
    for (uint32_t i = 0; i < endpoint->model_count; i++) {
        if (endpoint->models[i] == model) {
            return true;
        }
    }
    return false;
}

/* A model is unloaded only when every endpoint that should have it says that
 * it has: so the last copy stays. */
static bool
is_settled_elsewhere(const place_placement *placement, lv_handle model)
{
    lv_id id = placement->catalogue->models[model].id;
    uint32_t copies = 0;

    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        if (!place_is_wanted(placement->catalogue, placement->lists, model,
                             i)) {
            continue;
        }
        if (!placement->endpoints[i].is_heard ||
            !has_model(&placement->endpoints[i], id)) {
            return false;
        }
        copies++;
    }
    return copies > 0;
}

static void
send_order(place_placement *placement, lv_time now, uint32_t index,
           lv_handle model, bool load)
{
    place_endpoint *endpoint = &placement->endpoints[index];
    const cat_model *ordered = &placement->catalogue->models[model];
    lv_order order = {
        .endpoint = endpoint->id,
        .model = ordered->name,
        .load = load,
        .fence_catalogue = placement->catalogue->revision,
        .fence_lists = placement->lists->revision,
    };
    lv_decision decision = {
        .kind = LV_DECIDE_ORDER,
        .reason = load ? "load" : "unload",
        .pool = placement->catalogue->pools[ordered->pool].name,
        .endpoint = endpoint->id,
        .value = ordered->id,
    };

    endpoint->is_ordered = true;
    endpoint->order_ends = now + placement->settings.order_timeout;
    if (load) {
        placement->next_load = now + placement->settings.order_interval;
    }
    placement->host->ops->log_decision(placement->host, &decision);
    placement->host->ops->send_order(placement->host, &order);
}

/* The first order that an endpoint needs: loads before unloads. */
static bool
order_endpoint(place_placement *placement, lv_time now, uint32_t index)
{
    const cat_catalogue *catalogue = placement->catalogue;
    const place_endpoint *endpoint = &placement->endpoints[index];
    lv_id pool = placement->lists->endpoints[index].pool;

    for (int load = 1; load >= 0; load--) {
        if (load == 1 && now < placement->next_load) {
            continue;
        }
        for (uint32_t m = 0; m < catalogue->model_count; m++) {
            bool is_wanted =
                place_is_wanted(catalogue, placement->lists, m, index);

            if (catalogue->pools[catalogue->models[m].pool].id != pool ||
                is_wanted != (load == 1) ||
                has_model(endpoint, catalogue->models[m].id) == is_wanted) {
                continue;
            }
            if (load == 1 || is_settled_elsewhere(placement, m)) {
                send_order(placement, now, index, m, load == 1);
                return true;
            }
        }
    }
    return false;
}

static bool
may_order(place_placement *placement, lv_time now, uint32_t index)
{
    place_endpoint *endpoint = &placement->endpoints[index];
    const place_pool *pool =
        find_pool(placement, placement->lists->endpoints[index].pool);

    if (endpoint->is_ordered && now >= endpoint->order_ends) {
        endpoint->is_ordered = false;
        endpoint->is_heard = false;
    }
    return pool != NULL && pool->is_mine && endpoint->is_heard &&
           !endpoint->is_ordered && now >= endpoint->rests_until;
}

void
place_tick(place_placement *placement, lv_time now)
{
    placement->next_tick = now + TICK_INTERVAL;
    if (placement->catalogue == NULL ||
        lv_elapsed(now, placement->changed) < placement->settings.quiet) {
        return;
    }
    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        if (may_order(placement, now, i)) {
            order_endpoint(placement, now, i);
        }
    }
}

lv_time
place_next_tick(const place_placement *placement)
{
    return placement->next_tick;
}
