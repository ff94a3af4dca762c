#include "entry-imp.h"

#include <string.h>

#include "lavender/hash.h"
#include "table-imp.h"

static void
set_pool(entry_state *entry, uint32_t handle)
{
    const cat_pool *from = &entry->catalogue->pools[handle];
    uint32_t index = entry_get_pool(entry, from->id);
    entry_pool *pool;

    if (index == NONE) {
        return;
    }
    pool = &entry->pools[index];
    pool->handle = handle;
    pool->kind = from->kind;
    pool->input_weight = from->input_weight;
    pool->output_weight = from->output_weight;
    pool->default_cost = (int64_t)from->default_cost;
    pool->hold = from->hold;
    fq_set_credit(&entry->queues, pool->group, (int64_t)from->urgent_credit);
    if (entry->settings.mode == ENTRY_MODE_LOCAL_FIFO && pool->fifo == NONE) {
        pool->fifo = entry_get_flow(entry, index, LV_ID_NONE);
    }
}

static uint32_t
count_endpoints(const world_lists *lists, lv_id pool, bool also_leaving)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        count += lists->endpoints[i].pool == pool &&
                 (also_leaving || !lists->endpoints[i].leaving);
    }
    return count;
}

static void
set_shards(entry_state *entry, uint32_t index)
{
    entry_pool *pool = &entry->pools[index];
    const cat_pool *from;
    uint32_t listed;

    if (pool->handle == NONE) {
        pool->endpoints = 0;
        return;
    }
    from = &entry->catalogue->pools[pool->handle];
    listed = count_endpoints(entry->lists, pool->id, true);
    pool->endpoints = count_endpoints(entry->lists, pool->id, false);
    pool->shards = hrw_shard_count(listed, from->shard_endpoints);
    for (uint32_t i = 0; i < pool->shards; i++) {
        (void)entry_get_shard(entry, index, i);
    }
}

/* Working out an endpoint's shard costs as much as there are shards, so it
 * is kept while their number stays. */
static uint32_t
shard_number(entry_endpoint *endpoint, uint32_t shards)
{
    if (endpoint->shards != shards) {
        endpoint->shards = shards;
        endpoint->shard_number = hrw_shard_of(endpoint->id, shards);
    }
    return endpoint->shard_number;
}

static void
set_endpoint(entry_state *entry, const ep_endpoint *from)
{
    uint32_t index = entry_get_endpoint(entry, from->id);
    uint32_t pool = map_find(&entry->pool_index, from->pool);
    uint32_t shard;

    if (index == NONE || pool == NONE || entry->pools[pool].handle == NONE ||
        entry->pools[pool].shards == 0) {
        return;
    }
    shard = entry_get_shard(
        entry, pool,
        shard_number(&entry->endpoints[index], entry->pools[pool].shards));
    entry->endpoints[index].shard = shard;
    entry->endpoints[index].is_list_leaving = from->leaving;
    if (shard != NONE && !from->leaving) {
        entry->shards[shard].slots +=
            from->slots > 0
                ? from->slots
                : entry->catalogue->pools[entry->pools[pool].handle].slots;
    }
}

/* The fleet-wide limits of an account are the sums of its classes'; a class
 * without one lifts the account's. */
static void
set_limits(entry_state *entry, entry_flow *flow, const cat_account *account)
{
    flow->weight = account->weight > 0 ? account->weight : 1;
    flow->is_rated = account->entry_count > 0;
    flow->is_limited =
        account->entry_count > 0 && entry->settings.mode == ENTRY_MODE_LEASES;
    for (uint32_t i = 0; i < account->entry_count; i++) {
        const cat_limits *limits =
            &entry->catalogue->entries[account->first_entry + i].limits;

        flow->is_rated = flow->is_rated && limits->requests_per_second > 0;
        flow->is_limited = flow->is_limited && limits->in_flight > 0;
    }
}

void
entry_set_flow(entry_state *entry, uint32_t index)
{
    entry_flow *flow = &entry->flows[index];
    const entry_pool *pool = &entry->pools[flow->pool];

    flow->account_handle = LV_HANDLE_NONE;
    if (entry->catalogue != NULL) {
        flow->account_handle =
            cat_find_account(entry->catalogue, flow->account);
    }
    if (flow->account_handle != LV_HANDLE_NONE) {
        set_limits(entry, flow,
                   &entry->catalogue->accounts[flow->account_handle]);
    }
    fq_set_group(&entry->queues, index,
                 flow->is_limited ? pool->limited : pool->group);
    entry_set_level(entry, index);
}

static const cat_entry *
find_entry(const entry_state *entry, const entry_item *item)
{
    const cat_catalogue *catalogue = entry->catalogue;
    lv_handle handle = entry->flows[item->flow].account_handle;
    const cat_account *account;

    if (handle == LV_HANDLE_NONE) {
        return NULL;
    }
    account = &catalogue->accounts[handle];
    for (uint32_t i = 0; i < account->entry_count; i++) {
        const cat_entry *found = &catalogue->entries[account->first_entry + i];

        if (found->id == item->entry_id) {
            return found;
        }
    }
    return NULL;
}

/* A waiting request whose entry or pool is gone is refused. */
static void
review_item(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    out_reason reason = OUT_REASON_NONE;

    if (item->state != ITEM_WAITING) {
        return;
    }
    if (find_entry(entry, item) == NULL) {
        reason = OUT_REASON_NOT_ENTITLED;
    }
    else if (entry->pools[entry->flows[item->flow].pool].handle == NONE) {
        reason = OUT_REASON_UNKNOWN_ROUTE;
    }
    if (reason != OUT_REASON_NONE) {
        entry_unwait(entry, now, index);
        entry_end_item(entry, now, index,
                       item->was_sent ? OUT_UNKNOWN : OUT_NOT_RUN, reason, 0);
    }
}

void
entry_set_views(entry_state *entry, lv_time now,
                const cat_catalogue *catalogue, const world_lists *lists)
{
    entry->catalogue = catalogue;
    entry->lists = lists;
    if (catalogue == NULL || lists == NULL) {
        return;
    }
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        entry->pools[i].handle = NONE;
    }
    for (uint32_t i = 0; i < catalogue->pool_count; i++) {
        set_pool(entry, i);
    }
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        set_shards(entry, i);
    }
    for (uint32_t i = 0; i < entry->shard_count; i++) {
        entry->shards[i].slots = 0;
    }
    for (uint32_t i = 0; i < entry->endpoint_count; i++) {
        entry->endpoints[i].shard = NONE;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        set_endpoint(entry, &lists->endpoints[i]);
    }
    for (uint32_t i = 0; i < entry->queues.flow_count; i++) {
        entry_set_flow(entry, i);
    }
    for (uint32_t i = 0; i < entry->item_count; i++) {
        review_item(entry, now, i);
    }
    if (entry->settings.mode == ENTRY_MODE_LEASES) {
        entry_replace_demand(entry, now, NONE);
    }
    entry_make_local_leases(entry, now);
    entry_serve_all(entry, now);
    entry_flush(entry, now);
}

void
entry_set_endpoint_leaving(entry_state *entry, lv_time now, lv_id id,
                           bool leaving)
{
    uint32_t index = entry_get_endpoint(entry, id);

    if (index == NONE || entry->endpoints[index].is_leaving == leaving) {
        return;
    }
    entry->endpoints[index].is_leaving = leaving;
    entry_make_local_leases(entry, now);
    entry_serve_all(entry, now);
    entry_flush(entry, now);
}

void
entry_set_live_instances(entry_state *entry, lv_time now,
                         const lv_id *instances, uint32_t count)
{
    if (!table_reserve((void **)&entry->live, &entry->live_capacity, count,
                       sizeof *entry->live)) {
        return;
    }
    if (count > 0) {
        memcpy(entry->live, instances, count * sizeof *instances);
    }
    entry->live_count = count;
    entry_make_local_leases(entry, now);
    entry_serve_all(entry, now);
}
