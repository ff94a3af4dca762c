#include "entry-imp.h"

#include <string.h>

#include "lavender/hash.h"
#include "table-imp.h"

static void
update_pool(entry_state *entry, uint32_t handle)
{
    const cat_pool *source = &entry->catalogue->pools[handle];
    uint32_t index = entry_ensure_pool(entry, source->id);
    entry_pool *pool;

    if (index == NONE) {
        return;
    }
    pool = &entry->pools[index];
    pool->handle = handle;
    pool->kind = source->kind;
    pool->input_weight = source->input_weight;
    pool->output_weight = source->output_weight;
    pool->default_cost = (int64_t)source->default_cost;
    pool->idle_timeout = source->idle_timeout;
    fq_set_urgent_credit(&entry->queues, pool->queue_group,
                         (int64_t)source->urgent_credit);
    if (entry->settings.mode == ENTRY_MODE_LOCAL_FIFO &&
        pool->fifo_flow == NONE) {
        pool->fifo_flow = entry_ensure_flow(entry, index, LV_ID_NONE);
    }
}

static uint32_t
count_endpoints(const lists_snapshot *lists, lv_id pool, bool include_leaving)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        count += lists->endpoints[i].pool == pool &&
                 (include_leaving || !lists->endpoints[i].is_leaving);
    }
    return count;
}

static void
update_shards(entry_state *entry, uint32_t index)
{
    entry_pool *pool = &entry->pools[index];
    const cat_pool *source;
    uint32_t listed_count;

    if (pool->handle == NONE) {
        pool->endpoint_count = 0;
        return;
    }
    source = &entry->catalogue->pools[pool->handle];
    listed_count = count_endpoints(entry->lists, pool->id, true);
    pool->endpoint_count = count_endpoints(entry->lists, pool->id, false);
    pool->shard_count = hrw_shard_count(listed_count, source->shard_endpoints);
    for (uint32_t i = 0; i < pool->shard_count; i++) {
        (void)entry_ensure_shard(entry, index, i);
    }
}

/* Computing an endpoint's shard takes time linear in the number of shards, so
 * the result is cached until that number changes. */
static uint32_t
cached_shard_number(entry_endpoint *endpoint, uint32_t shard_count)
{
    if (endpoint->hashed_shard_count != shard_count) {
        endpoint->hashed_shard_count = shard_count;
        endpoint->shard_number = hrw_shard_of(endpoint->id, shard_count);
    }
    return endpoint->shard_number;
}

static void
update_endpoint(entry_state *entry, const lists_endpoint *source)
{
    uint32_t index = entry_ensure_endpoint(entry, source->id);
    uint32_t pool = map_find(&entry->pool_index, source->pool);
    uint32_t shard;

    if (index == NONE || pool == NONE || entry->pools[pool].handle == NONE ||
        entry->pools[pool].shard_count == 0) {
        return;
    }
    shard = entry_ensure_shard(
        entry, pool,
        cached_shard_number(&entry->endpoints[index],
                            entry->pools[pool].shard_count));
    entry->endpoints[index].shard = shard;
    entry->endpoints[index].is_list_leaving = source->is_leaving;
    if (shard != NONE && !source->is_leaving) {
        entry->shards[shard].slots +=
            source->slots > 0
                ? source->slots
                : entry->catalogue->pools[entry->pools[pool].handle].slots;
    }
}

/* The fleet-wide limits of an account are the sums of its classes' limits. If
 * one class has no limit, neither has the account. */
static void
update_limits(entry_state *entry, entry_flow *flow, const cat_account *account)
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
entry_update_flow(entry_state *entry, uint32_t index)
{
    entry_flow *flow = &entry->flows[index];
    const entry_pool *pool = &entry->pools[flow->pool];

    flow->account_handle = LV_HANDLE_NONE;
    if (entry->catalogue != NULL) {
        flow->account_handle =
            cat_find_account(entry->catalogue, flow->account);
    }
    if (flow->account_handle != LV_HANDLE_NONE) {
        update_limits(entry, flow,
                      &entry->catalogue->accounts[flow->account_handle]);
    }
    fq_move_flow(&entry->queues, index,
                 flow->is_limited ? pool->limited_group : pool->queue_group);
    entry_update_level(entry, index);
}

static const cat_entry *
find_item_class(const entry_state *entry, const entry_item *item)
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

/* Refuses a waiting request whose catalogue entry or pool was removed. */
static void
refuse_unlisted_item(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    out_reason reason = OUT_REASON_NONE;

    if (item->state != ITEM_WAITING) {
        return;
    }
    if (find_item_class(entry, item) == NULL) {
        reason = OUT_REASON_NOT_ENTITLED;
    }
    else if (entry->pools[entry->flows[item->flow].pool].handle == NONE) {
        reason = OUT_REASON_UNKNOWN_ROUTE;
    }
    if (reason != OUT_REASON_NONE) {
        entry_dequeue(entry, now, index);
        entry_finish_item(entry, now, index,
                          item->was_sent ? OUT_UNKNOWN : OUT_NOT_RUN, reason,
                          0);
    }
}

void
entry_set_views(entry_state *entry, lv_time now,
                const cat_catalogue *catalogue, const lists_snapshot *lists)
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
        update_pool(entry, i);
    }
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        update_shards(entry, i);
    }
    for (uint32_t i = 0; i < entry->shard_count; i++) {
        entry->shards[i].slots = 0;
    }
    for (uint32_t i = 0; i < entry->endpoint_count; i++) {
        entry->endpoints[i].shard = NONE;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        update_endpoint(entry, &lists->endpoints[i]);
    }
    for (uint32_t i = 0; i < entry->queues.flow_count; i++) {
        entry_update_flow(entry, i);
    }
    for (uint32_t i = 0; i < entry->item_count; i++) {
        refuse_unlisted_item(entry, now, i);
    }
    if (entry->settings.mode == ENTRY_MODE_LEASES) {
        entry_reassign_demand(entry, now, NONE);
    }
    entry_update_local_leases(entry, now);
    entry_recheck_idle_leases(entry, now);
    entry_send_due_reports(entry, now);
}

void
entry_set_endpoint_leaving(entry_state *entry, lv_time now, lv_id id,
                           bool leaving)
{
    uint32_t index = entry_ensure_endpoint(entry, id);

    if (index == NONE || entry->endpoints[index].is_leaving == leaving) {
        return;
    }
    entry->endpoints[index].is_leaving = leaving;
    entry_update_local_leases(entry, now);
    entry_recheck_idle_leases(entry, now);
    entry_send_due_reports(entry, now);
}

void
entry_set_live_instances(entry_state *entry, lv_time now,
                         const lv_id *instances, uint32_t count)
{
    if (!table_reserve((void **)&entry->live_instances,
                       &entry->live_instance_capacity, count,
                       sizeof *entry->live_instances)) {
        return;
    }
    if (count > 0) {
        memcpy(entry->live_instances, instances, count * sizeof *instances);
    }
    entry->live_instance_count = count;
    entry_update_local_leases(entry, now);
    entry_recheck_idle_leases(entry, now);
}
