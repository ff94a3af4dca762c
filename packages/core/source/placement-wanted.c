#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"
#include "placement-imp.h"
#include "rows-imp.h"

typedef struct candidate {
    uint64_t weight;
    lv_id endpoint;
    uint32_t place; /* in the lists */
    uint32_t models;
} candidate;

/* The heaviest first; ties go to the greater identity. */
static int
compare_weights(const void *a, const void *b)
{
    const candidate *left = a;
    const candidate *right = b;

    if (left->weight != right->weight) {
        return left->weight > right->weight ? -1 : 1;
    }
    if (left->endpoint != right->endpoint) {
        return left->endpoint > right->endpoint ? -1 : 1;
    }
    return 0;
}

static uint32_t
find_candidates(const lists_snapshot *lists, lv_id pool, candidate *candidates)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        const lists_endpoint *endpoint = &lists->endpoints[i];

        if (endpoint->pool == pool && !endpoint->is_leaving) {
            candidates[count].endpoint = endpoint->id;
            candidates[count].place = i;
            candidates[count++].models = 0;
        }
    }
    return count;
}

static uint32_t
copies_of(const cat_model *model, uint32_t endpoints)
{
    if (model->copies == 0 || model->copies > endpoints) {
        return endpoints;
    }
    return model->copies;
}

/* The models that one endpoint takes before the others have as many. */
static uint32_t
find_share(const cat_catalogue *catalogue, lv_handle pool, uint32_t endpoints)
{
    uint64_t copies = 0;

    for (uint32_t m = 0; m < catalogue->model_count; m++) {
        if (catalogue->models[m].pool == pool) {
            copies += copies_of(&catalogue->models[m], endpoints);
        }
    }
    return (uint32_t)((copies + endpoints - 1) / endpoints);
}

/* Takes the heaviest candidates, first those that are below their share. */
static void
assign_model(const cat_model *model, uint32_t share, candidate *candidates,
             uint32_t count, bool *wanted)
{
    uint64_t key = hrw_model_key(model->id);
    uint32_t left = copies_of(model, count);

    for (uint32_t i = 0; i < count; i++) {
        candidates[i].weight = hrw_weight(candidates[i].endpoint, key);
    }
    qsort(candidates, count, sizeof *candidates, compare_weights);
    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < count && left > 0; i++) {
            bool is_below = candidates[i].models < share;

            if ((is_below || pass == 1) && !wanted[candidates[i].place]) {
                wanted[candidates[i].place] = true;
                candidates[i].models++;
                left--;
            }
        }
    }
}

/* Fills a table of model_count x endpoint_count for the models of a pool, in
 * the order of their identities, which is the same everywhere. */
static bool
assign_pool(const cat_catalogue *catalogue, const lists_snapshot *lists,
            lv_handle pool, bool *wanted)
{
    candidate *candidates =
        calloc(lists->endpoint_count + 1, sizeof *candidates);
    uint32_t count;

    if (candidates == NULL) {
        return false;
    }
    count = find_candidates(lists, catalogue->pools[pool].id, candidates);
    for (uint32_t m = 0; count > 0 && m < catalogue->model_count; m++) {
        const cat_model *model = &catalogue->models[m];

        if (model->pool == pool) {
            assign_model(model, find_share(catalogue, pool, count), candidates,
                         count, wanted + (size_t)m * lists->endpoint_count);
        }
    }
    free(candidates);
    return true;
}

static bool *
make_table(const cat_catalogue *catalogue, const lists_snapshot *lists)
{
    return calloc((size_t)catalogue->model_count * lists->endpoint_count + 1,
                  sizeof(bool));
}

bool
place_is_wanted(const cat_catalogue *catalogue, const lists_snapshot *lists,
                lv_handle model, lv_handle endpoint)
{
    bool *wanted = make_table(catalogue, lists);
    bool is_wanted =
        wanted != NULL &&
        assign_pool(catalogue, lists, catalogue->models[model].pool, wanted) &&
        wanted[(size_t)model * lists->endpoint_count + endpoint];

    free(wanted);
    return is_wanted;
}

place_row *
place_find(const place_state *placement, lv_id endpoint)
{
    lv_handle found = row_bsearch_id(placement->rows, placement->row_count,
                                     sizeof(place_row),
                                     offsetof(place_row, endpoint), endpoint);

    return found == LV_HANDLE_NONE ? NULL : &placement->rows[found];
}

bool
place_has_loaded(const place_row *row, lv_id model)
{
    for (uint32_t i = 0; i < row->loaded_count; i++) {
        if (row->loaded[i] == model) {
            return true;
        }
    }
    return false;
}

bool
place_wants(const place_state *placement, uint32_t row, uint32_t model)
{
    return placement
        ->wanted[(size_t)row * placement->catalogue->model_count + model];
}

static bool
is_mine(const place_state *placement, lv_id pool)
{
    for (uint32_t i = 0; i < placement->pool_count; i++) {
        if (placement->pools[i].pool == pool) {
            return true;
        }
    }
    return false;
}

/* Endpoints stand in order of identity in the lists, and so do the rows. */
static uint32_t
fill_rows(const place_state *placement, place_row *rows)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < placement->lists->endpoint_count; i++) {
        const lists_endpoint *endpoint = &placement->lists->endpoints[i];
        const place_row *known = place_find(placement, endpoint->id);
        place_row *row = &rows[count];

        if (!is_mine(placement, endpoint->pool)) {
            continue;
        }
        if (known != NULL) {
            *row = *known;
        }
        row->endpoint = endpoint->id;
        row->is_leaving = endpoint->is_leaving;
        row->pool = cat_find_pool(placement->catalogue, endpoint->pool);
        count++;
    }
    return count;
}

static void
copy_wanted(place_state *placement, const bool *wanted)
{
    uint32_t models = placement->catalogue->model_count;
    uint32_t endpoints = placement->lists->endpoint_count;

    for (uint32_t i = 0; i < placement->row_count; i++) {
        lv_handle place =
            lists_find_endpoint(placement->lists, placement->rows[i].endpoint);

        for (uint32_t m = 0; m < models; m++) {
            placement->wanted[(size_t)i * models + m] =
                wanted[(size_t)m * endpoints + place];
        }
    }
}

/* Without memory nothing is ordered until the next change of views. */
void
place_rebuild(place_state *placement)
{
    const cat_catalogue *catalogue = placement->catalogue;
    const lists_snapshot *lists = placement->lists;
    place_row *rows;
    bool *wanted;
    bool has_memory;

    if (catalogue == NULL || lists == NULL) {
        return;
    }
    rows = calloc(lists->endpoint_count + 1, sizeof *rows);
    wanted = make_table(catalogue, lists);
    has_memory = rows != NULL && wanted != NULL;
    for (uint32_t i = 0; has_memory && i < placement->pool_count; i++) {
        lv_handle pool = cat_find_pool(catalogue, placement->pools[i].pool);

        has_memory = pool == LV_HANDLE_NONE ||
                     assign_pool(catalogue, lists, pool, wanted);
    }
    if (has_memory) {
        placement->row_count = fill_rows(placement, rows);
        free(placement->rows);
        placement->rows = rows;
        rows = NULL;
        free(placement->wanted);
        placement->wanted =
            calloc((size_t)placement->row_count * catalogue->model_count + 1,
                   sizeof(bool));
        has_memory = placement->wanted != NULL;
    }
    if (has_memory) {
        copy_wanted(placement, wanted);
    }
    else {
        placement->row_count = 0;
    }
    free(rows);
    free(wanted);
}
