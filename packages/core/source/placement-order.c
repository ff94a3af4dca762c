#include <string.h>

#include "placement-imp.h"

/* After so many refusals in a row an endpoint is taken for full: a model
 * that it should not have makes room, if another endpoint has it. */
#define REFUSALS_OF_A_FULL_ONE 2

static void
look_again(place_state *placement, lv_time at)
{
    if (at < placement->next_look) {
        placement->next_look = at;
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

/* The time from which the view of a pool counts as quiet. */
static lv_time
quiet_from(const place_state *placement, lv_handle pool)
{
    const place_pool *mine = find_pool(placement, pool);
    lv_time changed = placement->view_changed;

    if (mine != NULL && mine->since > changed) {
        changed = mine->since;
    }
    return changed + placement->settings.quiet_period;
}

/* Endpoints known to have a model, and those of them that should. */
static uint32_t
count_copies(const place_state *placement, uint32_t model, bool only_wanted)
{
    lv_id id = placement->catalogue->models[model].id;
    uint32_t copies = 0;

    for (uint32_t i = 0; i < placement->row_count; i++) {
        const place_row *row = &placement->rows[i];

        copies += !row->is_leaving && place_has_loaded(row, id) &&
                  (!only_wanted || place_wants(placement, i, model));
    }
    return copies;
}

/* Of those that report here. */
static uint32_t
count_wanted(const place_state *placement, uint32_t model)
{
    uint32_t wanted = 0;

    for (uint32_t i = 0; i < placement->row_count; i++) {
        wanted += placement->rows[i].has_reported &&
                  place_wants(placement, i, model);
    }
    return wanted;
}

static bool
may_order(place_state *placement, lv_time now, const place_row *row,
          bool is_load)
{
    lv_time quiet;

    if (row->pool == LV_HANDLE_NONE || !row->has_reported || row->is_leaving ||
        row->is_in_flight || row->order_model != LV_ID_NONE) {
        return false;
    }
    if (now < row->retry_at) {
        look_again(placement, row->retry_at);
        return false;
    }
    quiet = quiet_from(placement, row->pool);
    if (now < quiet &&
        (!is_load || !placement->catalogue->pools[row->pool].checks_fencing)) {
        look_again(placement, quiet);
        return false;
    }
    return true;
}

static void
give_order(place_state *placement, lv_time now, place_row *row, uint32_t model,
           bool is_load, uint32_t alternatives)
{
    const cat_model *ordered = &placement->catalogue->models[model];
    lv_order order = {
        .endpoint = row->endpoint,
        .model = ordered->name,
        .is_load = is_load,
        .fence_catalogue = placement->catalogue->revision,
        .fence_lists = placement->lists->revision,
    };
    lv_decision decision = {
        .kind = LV_DECIDE_ORDER,
        .reason = is_load ? "load" : "unload",
        .pool = placement->catalogue->pools[row->pool].name,
        .endpoint = row->endpoint,
        .value = ordered->id,
        .alternatives = alternatives,
    };

    row->is_in_flight = true;
    row->order_model = ordered->id;
    row->order_is_load = is_load;
    row->order_at = now;
    look_again(placement, now + placement->settings.order_timeout);
    placement->host->ops->log_decision(placement->host, &decision);
    placement->host->ops->send_order(placement->host, &order);
}

static bool
needs_load(const place_state *placement, uint32_t row, uint32_t model)
{
    return place_wants(placement, row, model) &&
           !place_has_loaded(&placement->rows[row],
                             placement->catalogue->models[model].id);
}

/* Where a load order is due, and how many others could have been chosen. */
typedef struct load_choice {
    uint32_t row; /* LV_HANDLE_NONE: nowhere */
    uint32_t model;
    uint32_t copies;
    uint32_t candidates;
} load_choice;

static void
consider_model(place_state *placement, lv_time now, uint32_t model,
               load_choice *choice)
{
    uint32_t copies = count_copies(placement, model, false);

    for (uint32_t i = 0; i < placement->row_count; i++) {
        if (!needs_load(placement, i, model) ||
            !may_order(placement, now, &placement->rows[i], true)) {
            continue;
        }
        choice->candidates++;
        if (choice->row == LV_HANDLE_NONE || copies < choice->copies) {
            choice->row = i;
            choice->model = model;
            choice->copies = copies;
        }
    }
}

/* The model with the fewest copies goes first. */
static void
give_load(place_state *placement, lv_time now, lv_handle pool)
{
    place_pool *mine = find_pool(placement, pool);
    load_choice choice = {.row = LV_HANDLE_NONE};

    if (mine == NULL) {
        return;
    }
    for (uint32_t m = 0; m < placement->catalogue->model_count; m++) {
        if (placement->catalogue->models[m].pool == pool) {
            consider_model(placement, now, m, &choice);
        }
    }
    if (choice.row == LV_HANDLE_NONE) {
        return;
    }
    if (now < mine->next_load) {
        look_again(placement, mine->next_load);
        return;
    }
    mine->next_load = now + placement->settings.order_interval * mine->shards /
                                mine->shards_mine;
    placement->counts.loads++;
    give_order(placement, now, &placement->rows[choice.row], choice.model,
               true, choice.candidates - 1);
    if (choice.candidates > 1) {
        look_again(placement, mine->next_load);
    }
}

/* A model goes when every wanted copy of it that is seen here is there, and
 * at least one. A full endpoint may
 * make room earlier, but never with the last copy. */
static bool
may_unload(const place_state *placement, const place_row *row, uint32_t model)
{
    uint32_t wanted = count_wanted(placement, model);

    if (count_copies(placement, model, true) >= wanted && wanted > 0) {
        return true;
    }
    return row->failures >= REFUSALS_OF_A_FULL_ONE &&
           count_copies(placement, model, false) > 1;
}

static void
give_unloads(place_state *placement, lv_time now)
{
    for (uint32_t i = 0; i < placement->row_count; i++) {
        place_row *row = &placement->rows[i];

        for (uint32_t m = 0; m < placement->catalogue->model_count; m++) {
            const cat_model *model = &placement->catalogue->models[m];

            if (model->pool == row->pool && !place_wants(placement, i, m) &&
                place_has_loaded(row, model->id) &&
                may_unload(placement, row, m) &&
                may_order(placement, now, row, false)) {
                placement->counts.unloads++;
                give_order(placement, now, row, m, false, 0);
            }
        }
    }
}

void
place_give_orders(place_state *placement, lv_time now)
{
    give_unloads(placement, now);
    for (uint32_t i = 0; i < placement->catalogue->pool_count; i++) {
        give_load(placement, now, i);
    }
}
