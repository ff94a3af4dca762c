#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"
#include "placement-imp.h"
#include "rows-imp.h"

typedef struct candidate {
    uint64_t weight;
    lv_id endpoint;
    uint32_t list_index;  /* in lists->endpoints */
    uint32_t model_count; /* assigned so far */
} candidate;

/* Sorts by decreasing weight, equal weights by decreasing id. */
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

/* Writes the endpoints of a pool that are not leaving; returns their number.
 */
static uint32_t
find_candidates(const lists_snapshot *lists, lv_id pool, candidate *candidates)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        const lists_endpoint *endpoint = &lists->endpoints[i];

        if (endpoint->pool == pool && !endpoint->is_leaving) {
            candidates[count].endpoint = endpoint->id;
            candidates[count].list_index = i;
            candidates[count++].model_count = 0;
        }
    }
    return count;
}

/* Returns how many of the endpoints should load a model. */
static uint32_t
target_copies(const cat_model *model, uint32_t endpoints)
{
    if (model->copies == 0 || model->copies > endpoints) {
        return endpoints;
    }
    return model->copies;
}

/* Returns the mean number of models per endpoint, rounded up. Assignments
 * above it are made only if no endpoint below it remains. */
static uint32_t
model_share(const cat_catalogue *catalogue, lv_handle pool, uint32_t endpoints)
{
    uint64_t copies = 0;

    for (uint32_t m = 0; m < catalogue->model_count; m++) {
        if (catalogue->models[m].pool == pool) {
            copies += target_copies(&catalogue->models[m], endpoints);
        }
    }
    return (uint32_t)((copies + endpoints - 1) / endpoints);
}

/* Assigns a model to the heaviest candidates, first to those that have fewer
 * models than `share`. */
static void
assign_model(const cat_model *model, uint32_t share, candidate *candidates,
             uint32_t count, bool *assigned)
{
    uint64_t key = hrw_model_key(model->id);
    uint32_t remaining = target_copies(model, count);

    for (uint32_t i = 0; i < count; i++) {
        candidates[i].weight = hrw_weight(candidates[i].endpoint, key);
    }
    qsort(candidates, count, sizeof *candidates, compare_weights);
    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < count && remaining > 0; i++) {
            bool is_below = candidates[i].model_count < share;

            if ((is_below || pass == 1) &&
                !assigned[candidates[i].list_index]) {
                assigned[candidates[i].list_index] = true;
                candidates[i].model_count++;
                remaining--;
            }
        }
    }
}

/* Fills a table of model_count x endpoint_count for the models of a pool
 * in the order of their ids, which is the same on every router. Returns false
 * if memory runs out. */
static bool
assign_pool(const cat_catalogue *catalogue, const lists_snapshot *lists,
            lv_handle pool, bool *assigned)
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
            assign_model(model, model_share(catalogue, pool, count),
                         candidates, count,
                         assigned + (size_t)m * lists->endpoint_count);
        }
    }
    free(candidates);
    return true;
}

static bool *
alloc_assignment(const cat_catalogue *catalogue, const lists_snapshot *lists)
{
    return calloc((size_t)catalogue->model_count * lists->endpoint_count + 1,
                  sizeof(bool));
}

bool
place_is_model_assigned(const cat_catalogue *catalogue,
                        const lists_snapshot *lists, lv_handle model,
                        lv_handle endpoint)
{
    bool *assigned = alloc_assignment(catalogue, lists);
    bool is_assigned =
        assigned != NULL &&
        assign_pool(catalogue, lists, catalogue->models[model].pool,
                    assigned) &&
        assigned[(size_t)model * lists->endpoint_count + endpoint];

    free(assigned);
    return is_assigned;
}

place_endpoint *
place_find_endpoint(const place_state *placement, lv_id id)
{
    lv_handle handle = row_bsearch_id(
        placement->endpoints, placement->endpoint_count,
        sizeof(place_endpoint), offsetof(place_endpoint, id), id);

    return handle == LV_HANDLE_NONE ? NULL : &placement->endpoints[handle];
}

bool
place_has_loaded(const place_endpoint *endpoint, lv_id model)
{
    for (uint32_t i = 0; i < endpoint->loaded_count; i++) {
        if (endpoint->loaded[i] == model) {
            return true;
        }
    }
    return false;
}

bool
place_is_assigned(const place_state *placement, uint32_t endpoint,
                  uint32_t model)
{
    return placement
        ->assigned[(size_t)endpoint * placement->catalogue->model_count +
                   model];
}

static bool
is_local_pool(const place_state *placement, lv_id pool)
{
    for (uint32_t i = 0; i < placement->pool_count; i++) {
        if (placement->pools[i].pool == pool) {
            return true;
        }
    }
    return false;
}

/* Fills the endpoints in the order of their ids, as in the lists; returns
 * their number. */
static uint32_t
fill_endpoints(const place_state *placement, place_endpoint *endpoints)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < placement->lists->endpoint_count; i++) {
        const lists_endpoint *endpoint = &placement->lists->endpoints[i];
        const place_endpoint *previous =
            place_find_endpoint(placement, endpoint->id);
        place_endpoint *state = &endpoints[count];

        if (!is_local_pool(placement, endpoint->pool)) {
            continue;
        }
        if (previous != NULL) {
            *state = *previous;
        }
        state->id = endpoint->id;
        state->is_leaving = endpoint->is_leaving;
        state->pool = cat_find_pool(placement->catalogue, endpoint->pool);
        count++;
    }
    return count;
}

static void
copy_assignment(place_state *placement, const bool *assigned)
{
    uint32_t model_count = placement->catalogue->model_count;
    uint32_t listed_count = placement->lists->endpoint_count;

    for (uint32_t i = 0; i < placement->endpoint_count; i++) {
        lv_handle index =
            lists_find_endpoint(placement->lists, placement->endpoints[i].id);

        for (uint32_t m = 0; m < model_count; m++) {
            placement->assigned[(size_t)i * model_count + m] =
                assigned[(size_t)m * listed_count + index];
        }
    }
}

/* If memory runs out, no orders are sent until the catalogue, the lists or the
 * pools change. */
void
place_update_assignment(place_state *placement)
{
    const cat_catalogue *catalogue = placement->catalogue;
    const lists_snapshot *lists = placement->lists;
    place_endpoint *endpoints;
    bool *assigned;
    bool has_memory;

    if (catalogue == NULL || lists == NULL) {
        return;
    }
    endpoints = calloc(lists->endpoint_count + 1, sizeof *endpoints);
    assigned = alloc_assignment(catalogue, lists);
    has_memory = endpoints != NULL && assigned != NULL;
    for (uint32_t i = 0; has_memory && i < placement->pool_count; i++) {
        lv_handle pool = cat_find_pool(catalogue, placement->pools[i].pool);

        has_memory = pool == LV_HANDLE_NONE ||
                     assign_pool(catalogue, lists, pool, assigned);
    }
    if (has_memory) {
        placement->endpoint_count = fill_endpoints(placement, endpoints);
        free(placement->endpoints);
        placement->endpoints = endpoints;
        endpoints = NULL;
        free(placement->assigned);
        placement->assigned = calloc(
            (size_t)placement->endpoint_count * catalogue->model_count + 1,
            sizeof(bool));
        has_memory = placement->assigned != NULL;
    }
    if (has_memory) {
        copy_assignment(placement, assigned);
    }
    else {
        placement->endpoint_count = 0;
    }
    free(endpoints);
    free(assigned);
}
