#include "lavender/placement.h"

#include <stdlib.h>
#include <string.h>

#include "placement-imp.h"
#include "table-imp.h"

/* A refused order is tried again after the interval, doubled as often. */
#define BACKOFF_DOUBLINGS_MAX 5

bool
place_init(place_state *placement, lv_host *host,
           const place_settings *settings, lv_time now, err_error *error)
{
    memset(placement, 0, sizeof *placement);
    if (settings->order_interval == 0 || settings->order_timeout == 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "set order_interval and order_timeout to more than "
                       "zero",
                       "a length of time of the placement is zero");
    }
    placement->host = host;
    placement->settings = *settings;
    placement->view_changed = now;
    placement->next_look = LV_TIME_NEVER;
    return true;
}

void
place_finish(place_state *placement)
{
    free(placement->pools);
    free(placement->rows);
    free(placement->wanted);
    memset(placement, 0, sizeof *placement);
}

void
place_set_documents(place_state *placement, lv_time now,
                    const cat_catalogue *catalogue,
                    const lists_snapshot *lists)
{
    placement->catalogue = catalogue;
    placement->lists = lists;
    placement->view_changed = now;
    placement->next_look = now;
    place_rebuild(placement);
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
    placement->pools[placement->pool_count++].since = now;
    placement->next_look = now;
    place_rebuild(placement);
}

void
place_set_pool_shards(place_state *placement, lv_time now, lv_id pool,
                      uint32_t shards_mine, uint32_t shards)
{
    place_pool *known = find_pool(placement, pool);
    place_pool wanted = {
        .pool = pool, .shards = shards, .shards_mine = shards_mine};

    if (known == NULL) {
        if (shards_mine > 0) {
            add_pool(placement, now, &wanted);
        }
        return;
    }
    if (shards_mine == 0) {
        *known = placement->pools[--placement->pool_count];
        place_rebuild(placement);
        return;
    }
    if (known->shards != shards || known->shards_mine != shards_mine) {
        known->shards = shards;
        known->shards_mine = shards_mine;
        known->since = now;
        placement->next_look = now;
    }
}

/* The effect of the last order shows, so that a further one may follow. */
static void
settle_order(place_row *row)
{
    if (row->order_model != LV_ID_NONE && !row->is_in_flight &&
        place_has_loaded(row, row->order_model) == row->order_is_load) {
        row->order_model = LV_ID_NONE;
        row->failures = 0;
    }
}

void
place_set_loaded_models(place_state *placement, lv_time now, lv_id endpoint,
                        const lv_id *models, uint32_t count)
{
    place_row *row = place_find(placement, endpoint);

    if (row == NULL) {
        return;
    }
    if (count > PLACE_LOADED_MAX) {
        count = PLACE_LOADED_MAX;
    }
    if (!row->has_reported || count != row->loaded_count ||
        (count > 0 &&
         memcmp(row->loaded, models, count * sizeof *models) != 0)) {
        placement->next_look = now;
    }
    if (count > 0) {
        memcpy(row->loaded, models, count * sizeof *models);
    }
    row->loaded_count = count;
    row->has_reported = true;
    settle_order(row);
}

static void
note_failure(place_state *placement, lv_time now, place_row *row,
             const char *reason)
{
    lv_decision decision = {
        .kind = LV_DECIDE_ORDER,
        .reason = reason,
        .endpoint = row->endpoint,
        .value = row->failures + 1,
    };
    uint32_t doublings = row->failures < BACKOFF_DOUBLINGS_MAX
                             ? row->failures
                             : BACKOFF_DOUBLINGS_MAX;

    row->retry_at = now + (placement->settings.order_interval << doublings);
    row->failures++;
    row->is_in_flight = false;
    row->order_model = LV_ID_NONE;
    placement->next_look = now;
    placement->host->ops->log_decision(placement->host, &decision);
}

void
place_complete_order(place_state *placement, lv_time now, lv_id endpoint,
                     bool accepted)
{
    place_row *row = place_find(placement, endpoint);

    if (row == NULL || !row->is_in_flight) {
        return;
    }
    row->is_in_flight = false;
    if (accepted) {
        settle_order(row);
        placement->next_look = now;
        return;
    }
    placement->counts.refused++;
    note_failure(placement, now, row, "order-refused");
}

static void
check_timeouts(place_state *placement, lv_time now)
{
    for (uint32_t i = 0; i < placement->row_count; i++) {
        place_row *row = &placement->rows[i];
        lv_time end = row->order_at + placement->settings.order_timeout;

        if (row->order_model == LV_ID_NONE) {
            continue;
        }
        if (now >= end) {
            placement->counts.timeouts++;
            note_failure(placement, now, row, "order-timeout");
        }
        else if (end < placement->next_look) {
            placement->next_look = end;
        }
    }
}

void
place_tick(place_state *placement, lv_time now)
{
    placement->next_look = LV_TIME_NEVER;
    if (placement->row_count == 0) {
        return;
    }
    check_timeouts(placement, now);
    place_give_orders(placement, now);
}

lv_time
place_next_tick(const place_state *placement)
{
    return placement->next_look;
}
