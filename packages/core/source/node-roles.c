#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"
#include "node-imp.h"

static int
compare_shards(const void *left, const void *right)
{
    const node_shard *a = left;
    const node_shard *b = right;

    if (a->pool != b->pool) {
        return a->pool < b->pool ? -1 : 1;
    }
    if (a->shard != b->shard) {
        return a->shard < b->shard ? -1 : 1;
    }
    return 0;
}

static int
compare_roots(const void *left, const void *right)
{
    const node_root *a = left;
    const node_root *b = right;

    if (a->pool == b->pool) {
        return 0;
    }
    return a->pool < b->pool ? -1 : 1;
}

node_shard *
node_find_shard(node_state *node, lv_id pool, uint32_t shard)
{
    node_shard key = {.pool = pool, .shard = shard};

    if (node->shard_count == 0) {
        return NULL;
    }
    return bsearch(&key, node->shards, node->shard_count, sizeof key,
                   compare_shards);
}

node_root *
node_find_root(node_state *node, lv_id pool)
{
    node_root key = {.pool = pool};

    if (node->root_count == 0) {
        return NULL;
    }
    return bsearch(&key, node->roots, node->root_count, sizeof key,
                   compare_roots);
}

static void
stop_dispatcher(node_state *node, node_shard *shard, const char *reason)
{
    if (shard->dispatcher == NULL) {
        return;
    }
    node_log_role(node, reason, shard->pool, shard->shard, shard->tenure);
    disp_finish(shard->dispatcher);
    free(shard->dispatcher);
    shard->dispatcher = NULL;
    node->counts.role_changes++;
}

static void
stop_root(node_root *root)
{
    if (root->root == NULL) {
        return;
    }
    root_finish(root->root);
    free(root->root);
    root->root = NULL;
}

static uint32_t
count_shards(const cat_pool *pool, const lists_snapshot *lists)
{
    uint32_t endpoints = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        if (lists->endpoints[i].pool == pool->id) {
            endpoints++;
        }
    }
    return hrw_shard_count(endpoints, pool->shard_endpoints);
}

/* Moves the state of a shard from the old table. The dispatcher moves only if
 * the number of shards of the pool is the same. */
static void
move_shard_state(node_state *node, node_shard *shard)
{
    node_shard *old = node_find_shard(node, shard->pool, shard->shard);

    if (old == NULL) {
        return;
    }
    shard->dispatcher_id = old->dispatcher_id;
    shard->tenure = old->tenure;
    if (old->shard_count == shard->shard_count) {
        shard->dispatcher = old->dispatcher;
        old->dispatcher = NULL;
    }
}

static void
move_root_state(node_state *node, node_root *root)
{
    node_root *old = node_find_root(node, root->pool);

    if (old != NULL) {
        *root = *old;
        old->root = NULL;
    }
}

void
node_free_shards(node_state *node)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        stop_dispatcher(node, &node->shards[i], "pool-changed");
    }
    for (uint32_t i = 0; i < node->root_count; i++) {
        stop_root(&node->roots[i]);
    }
    free(node->shards);
    free(node->roots);
    node->shards = NULL;
    node->roots = NULL;
    node->shard_count = 0;
    node->root_count = 0;
}

static bool
replace_tables(node_state *node, const cat_catalogue *catalogue,
               const lists_snapshot *lists)
{
    node_shard *shards;
    node_root *roots;
    uint32_t shard_count = 0;
    uint32_t index = 0;

    for (uint32_t i = 0; i < catalogue->pool_count; i++) {
        shard_count += count_shards(&catalogue->pools[i], lists);
    }
    shards = calloc(shard_count + 1, sizeof *shards);
    roots = calloc(catalogue->pool_count + 1, sizeof *roots);
    if (shards == NULL || roots == NULL) {
        free(shards);
        free(roots);
        return false;
    }
    for (uint32_t i = 0; i < catalogue->pool_count; i++) {
        const cat_pool *pool = &catalogue->pools[i];
        uint32_t count = count_shards(pool, lists);

        roots[i].pool = pool->id;
        move_root_state(node, &roots[i]);
        for (uint32_t s = 0; s < count; s++) {
            shards[index].pool = pool->id;
            shards[index].shard = s;
            shards[index].shard_count = count;
            move_shard_state(node, &shards[index]);
            index++;
        }
    }
    node_free_shards(node);
    qsort(shards, shard_count, sizeof *shards, compare_shards);
    qsort(roots, catalogue->pool_count, sizeof *roots, compare_roots);
    node->shards = shards;
    node->shard_count = shard_count;
    node->roots = roots;
    node->root_count = catalogue->pool_count;
    return true;
}

static bool
reserve_instance_ids(node_state *node, const lists_snapshot *lists)
{
    uint32_t capacity = lists->instance_count + 1;
    lv_id *ids;

    if (node->membership.member_count >= capacity) {
        capacity = node->membership.member_count + 1;
    }
    if (capacity <= node->instance_id_capacity) {
        return true;
    }
    ids = realloc(node->instance_ids, capacity * sizeof *ids);
    if (ids == NULL) {
        return false;
    }
    node->instance_ids = ids;
    node->instance_id_capacity = capacity;
    return true;
}

static void
add_listed_leaving(node_state *node, const lists_snapshot *lists)
{
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        if (lists->endpoints[i].is_leaving) {
            swim_add_leaving(&node->membership, node->now,
                             lists->endpoints[i].id, lists->revision);
        }
    }
}

bool
node_rebuild_shards(node_state *node)
{
    const cat_catalogue *catalogue = doc_catalogue(&node->documents);
    const lists_snapshot *lists = doc_lists(&node->documents);

    if (lists != NULL) {
        swim_set_lists(&node->membership, node->now, lists);
        add_listed_leaving(node, lists);
    }
    if (catalogue == NULL || lists == NULL) {
        return true;
    }
    if (!reserve_instance_ids(node, lists) ||
        !replace_tables(node, catalogue, lists)) {
        return false;
    }
    entry_set_views(&node->entry, node->now, catalogue, lists);
    place_set_documents(&node->placement, node->now, catalogue, lists);
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (node->shards[i].dispatcher != NULL) {
            disp_set_documents(node->shards[i].dispatcher, node->now,
                               catalogue, lists);
        }
    }
    node_assign_roles(node);
    node_apply_leaving(node);
    return true;
}

static void
start_dispatcher(node_state *node, node_shard *shard)
{
    disp_dispatcher *dispatcher = calloc(1, sizeof *dispatcher);

    if (dispatcher == NULL) {
        return;
    }
    shard->tenure++;
    if (!disp_init(dispatcher, &node->role_host, &node->settings.dispatcher,
                   node->settings.self, shard->pool, shard->shard,
                   shard->tenure, node->now, NULL)) {
        free(dispatcher);
        return;
    }
    shard->dispatcher = dispatcher;
    disp_set_documents(dispatcher, node->now, doc_catalogue(&node->documents),
                       doc_lists(&node->documents));
    node->counts.role_changes++;
    node_log_role(node, "dispatcher-taken", shard->pool, shard->shard,
                  shard->tenure);
}

static void
assign_root(node_state *node, node_root *root, lv_id winner)
{
    if (winner != node->settings.self) {
        stop_root(root);
        return;
    }
    if (root->root != NULL) {
        return;
    }
    root->root = calloc(1, sizeof *root->root);
    if (root->root == NULL) {
        return;
    }
    root->tenure++;
    if (!root_init(root->root, &node->role_host, node->settings.self,
                   root->pool, root->tenure, node->now, NULL)) {
        free(root->root);
        root->root = NULL;
    }
}

static void
assign_shard(node_state *node, node_shard *shard, const lv_id *candidates,
             uint32_t count)
{
    uint64_t key = hrw_dispatcher_key(shard->pool, shard->shard);
    lv_id dispatcher_id = hrw_winner(candidates, count, key);

    if (dispatcher_id != node->settings.self) {
        stop_dispatcher(node, shard, "dispatcher-given-up");
    }
    else if (shard->dispatcher == NULL) {
        start_dispatcher(node, shard);
    }
    if (dispatcher_id != shard->dispatcher_id) {
        shard->dispatcher_id = dispatcher_id;
        entry_set_dispatcher(&node->entry, node->now, shard->pool,
                             shard->shard, dispatcher_id);
    }
}

static void
assign_roots(node_state *node, const lv_id *candidates, uint32_t count)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        node_shard *shard = &node->shards[i];
        lv_id root = LV_ID_NONE;

        if (shard->dispatcher == NULL) {
            continue;
        }
        if (shard->shard_count > 1) {
            root = hrw_winner(candidates, count, hrw_root_key(shard->pool));
        }
        disp_set_root(shard->dispatcher, root);
    }
    for (uint32_t i = 0; i < node->root_count; i++) {
        node_root *root = &node->roots[i];
        lv_id winner = LV_ID_NONE;

        if (node_find_shard(node, root->pool, 1) != NULL) {
            winner = hrw_winner(candidates, count, hrw_root_key(root->pool));
        }
        assign_root(node, root, winner);
    }
}

static void
update_live_instances(node_state *node)
{
    uint32_t live_permille = swim_live_permille(&node->membership);
    uint32_t count = swim_collect_live(&node->membership, node->instance_ids,
                                       node->instance_id_capacity);

    entry_set_live_instances(&node->entry, node->now, node->instance_ids,
                             count);
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (node->shards[i].dispatcher != NULL) {
            disp_set_members(node->shards[i].dispatcher, node->now,
                             node->instance_ids, count, live_permille);
        }
    }
}

static uint32_t
count_dispatched_shards(const node_state *node, lv_id pool)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < node->shard_count; i++) {
        count +=
            node->shards[i].pool == pool && node->shards[i].dispatcher != NULL;
    }
    return count;
}

/* The instance that dispatches a shard also sends the placement orders to its
 * endpoints. */
static void
update_placement(node_state *node)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        const node_shard *shard = &node->shards[i];

        if (shard->shard == 0) {
            place_set_pool_shards(&node->placement, node->now, shard->pool,
                                  count_dispatched_shards(node, shard->pool),
                                  shard->shard_count);
        }
    }
}

void
node_assign_roles(node_state *node)
{
    uint32_t count;

    if (node->shard_count == 0 || node->now < node->stale_until) {
        return;
    }
    node->applied_revision = node->membership.revision;
    node->has_stopped_roles = false;
    if (!reserve_instance_ids(node, doc_lists(&node->documents))) {
        return;
    }
    count = swim_collect_candidates(&node->membership, node->instance_ids,
                                    node->instance_id_capacity);
    if (count == 0) {
        count = swim_collect_live(&node->membership, node->instance_ids,
                                  node->instance_id_capacity);
    }
    for (uint32_t i = 0; i < node->shard_count; i++) {
        assign_shard(node, &node->shards[i], node->instance_ids, count);
    }
    assign_roots(node, node->instance_ids, count);
    update_live_instances(node);
    update_placement(node);
}

void
node_stop_roles(node_state *node, const char *reason)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        stop_dispatcher(node, &node->shards[i], reason);
        node->shards[i].dispatcher_id = LV_ID_NONE;
    }
    for (uint32_t i = 0; i < node->root_count; i++) {
        stop_root(&node->roots[i]);
    }
    update_placement(node);
}

static bool
is_reported_leaving(const node_state *node, lv_id endpoint)
{
    uint32_t count = swim_leaving_count(&node->membership);

    for (uint32_t i = 0; i < count; i++) {
        if (swim_leaving_at(&node->membership, i, NULL) == endpoint) {
            return true;
        }
    }
    return false;
}

/* The state of every listed endpoint is passed on, leaving or not, because a
 * rumour ends when the lists contain the endpoint as live again. */
void
node_apply_leaving(node_state *node)
{
    const lists_snapshot *lists = doc_lists(&node->documents);

    if (lists == NULL) {
        return;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        lv_id endpoint = lists->endpoints[i].id;
        bool is_leaving = is_reported_leaving(node, endpoint);

        entry_set_endpoint_leaving(&node->entry, node->now, endpoint,
                                   is_leaving);
        for (uint32_t s = 0; s < node->shard_count; s++) {
            if (node->shards[s].dispatcher != NULL) {
                disp_set_endpoint_leaving(node->shards[s].dispatcher,
                                          node->now, endpoint, is_leaving);
            }
        }
    }
}
