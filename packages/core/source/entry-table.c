#include "entry-imp.h"

#include "table-imp.h"

#define INITIAL_ITEMS 1024u

/* Makes room for one more row of a table, whose fields are named row_count and
 * row_capacity. */
#define RESERVE_ONE(entry, table, row)                                        \
    table_reserve((void **)&(entry)->table, &(entry)->row##_capacity,         \
                  (entry)->row##_count + 1, sizeof *(entry)->table)

entry_item *
entry_find_item(entry_state *entry, lv_handle handle)
{
    uint32_t index = handle & ITEM_INDEX_MASK;
    entry_item *item;

    if (handle == LV_HANDLE_NONE || index >= entry->item_count) {
        return NULL;
    }
    item = &entry->items[index];
    if (item->state == ITEM_FREE ||
        item->generation != handle >> ITEM_INDEX_BITS) {
        return NULL;
    }
    return item;
}

lv_handle
entry_item_handle(const entry_state *entry, uint32_t item)
{
    return entry->items[item].generation << ITEM_INDEX_BITS | item;
}

/* Free rows are reused oldest first, so that the generation in a handle
 * repeats as late as possible. */
static void
append_free_item(entry_state *entry, uint32_t item)
{
    entry->items[item].next_free = NONE;
    if (entry->free_items.count++ == 0) {
        entry->free_items.first = item;
    }
    else {
        entry->items[entry->free_items.last].next_free = item;
    }
    entry->free_items.last = item;
}

static bool
grow_items(entry_state *entry)
{
    uint32_t count = entry->item_count ? entry->item_count * 2 : INITIAL_ITEMS;

    if (count > ITEM_INDEX_MASK ||
        !table_reserve((void **)&entry->items, &entry->item_capacity, count,
                       sizeof *entry->items) ||
        !fq_reserve(&entry->queues, count) ||
        !table_reserve((void **)&entry->deadlines.nodes,
                       &entry->deadlines.capacity, count,
                       sizeof *entry->deadlines.nodes)) {
        return false;
    }
    while (entry->item_count < count) {
        append_free_item(entry, entry->item_count++);
    }
    return true;
}

uint32_t
entry_new_item(entry_state *entry)
{
    uint32_t index;
    uint32_t generation;

    if (entry->free_items.count == 0 && !grow_items(entry)) {
        return NONE;
    }
    index = entry->free_items.first;
    entry->free_items.first = entry->items[index].next_free;
    entry->free_items.count--;
    generation = entry->items[index].generation;
    entry->items[index] = (entry_item){.generation = generation,
                                       .deadline_heap_index = LV_HANDLE_NONE,
                                       .lease = NONE,
                                       .subflow = NONE};
    return index;
}

void
entry_free_item(entry_state *entry, uint32_t index)
{
    entry_item *item = &entry->items[index];

    item->state = ITEM_FREE;
    item->generation = (item->generation + 1) % ITEM_GENERATION_MAX;
    append_free_item(entry, index);
}

uint64_t
entry_pair_key(uint64_t first, uint64_t second)
{
    uint64_t key = map_mix(first) ^ second;

    return key == 0 ? 1 : key;
}

/* The key includes the shard, as two dispatchers may use the same lease ID. */
uint64_t
entry_lease_key(uint32_t shard, uint64_t id)
{
    return entry_pair_key((uint64_t)shard + 1, id);
}

uint64_t
entry_subflow_key(uint32_t shard, uint32_t flow)
{
    return ((uint64_t)shard << 32 | flow) + 1;
}

uint32_t
entry_ensure_pool(entry_state *entry, lv_id id)
{
    uint32_t index = map_find(&entry->pool_index, id);
    uint32_t queue_group;
    uint32_t limited_group;

    if (index != NONE) {
        return index;
    }
    index = entry->pool_count;
    if (!RESERVE_ONE(entry, pools, pool)) {
        return NONE;
    }
    queue_group = fq_add_group(&entry->queues, 0);
    limited_group = fq_add_group(&entry->queues, 0);
    if (queue_group == NONE || limited_group == NONE ||
        !map_set(&entry->pool_index, id, index)) {
        return NONE;
    }
    entry->pools[index] = (entry_pool){.id = id,
                                       .handle = NONE,
                                       .queue_group = queue_group,
                                       .limited_group = limited_group,
                                       .fifo_flow = NONE,
                                       .first_shard = NONE};
    entry->pool_count++;
    return index;
}

uint32_t
entry_ensure_shard(entry_state *entry, uint32_t pool, uint32_t number)
{
    uint64_t key = entry_pair_key(entry->pools[pool].id, number);
    uint32_t index = map_find(&entry->shard_index, key);

    if (index != NONE) {
        return index;
    }
    index = entry->shard_count;
    if (!RESERVE_ONE(entry, shards, shard) ||
        !map_set(&entry->shard_index, key, index)) {
        return NONE;
    }
    entry->shards[index] = (entry_shard){
        .pool = pool,
        .number = number,
        .next_in_pool = entry->pools[pool].first_shard,
        .next_full = LV_TIME_NEVER,
        .next_progress = LV_TIME_NEVER,
    };
    entry->pools[pool].first_shard = index;
    entry->shard_count++;
    return index;
}

uint32_t
entry_ensure_flow(entry_state *entry, uint32_t pool, lv_id account)
{
    uint64_t key = entry_pair_key(entry->pools[pool].id, account);
    uint32_t index = map_find(&entry->flow_index, key);

    if (index != NONE) {
        return index;
    }
    index = entry->queues.flow_count;
    if (!table_reserve((void **)&entry->flows, &entry->flow_capacity,
                       index + 1, sizeof *entry->flows) ||
        !map_set(&entry->flow_index, key, index)) {
        return NONE;
    }
    if (fq_add_flow(&entry->queues, entry->pools[pool].queue_group) == NONE) {
        map_remove(&entry->flow_index, key);
        return NONE;
    }
    entry->flows[index] = (entry_flow){
        .account = account,
        .account_handle = LV_HANDLE_NONE,
        .pool = pool,
        .weight = 1,
    };
    entry_update_flow(entry, index);
    return index;
}

uint32_t
entry_ensure_subflow(entry_state *entry, uint32_t shard_index, uint32_t flow)
{
    uint64_t key = entry_subflow_key(shard_index, flow);
    uint32_t index = map_find(&entry->subflow_index, key);
    entry_shard *shard = &entry->shards[shard_index];

    if (index != NONE) {
        return index;
    }
    index = entry->subflow_count;
    if (!RESERVE_ONE(entry, subflows, subflow) ||
        !map_set(&entry->subflow_index, key, index)) {
        return NONE;
    }
    entry->subflows[index] = (entry_subflow){
        .shard = shard_index,
        .flow = flow,
        .next = shard->subflows.count > 0 ? shard->subflows.first : NONE,
        .next_active = NONE,
        .previous_active = NONE,
        .next_changed = NONE,
    };
    shard->subflows.first = index;
    shard->subflows.count++;
    entry->subflow_count++;
    return index;
}

uint32_t
entry_ensure_class(entry_state *entry, uint64_t key)
{
    uint32_t index = map_find(&entry->class_index, key);

    if (index != NONE) {
        return index;
    }
    index = entry->class_count;
    if (!RESERVE_ONE(entry, classes, class) ||
        !map_set(&entry->class_index, key, index)) {
        return NONE;
    }
    entry->classes[index] = (entry_class){.average_cost = -1};
    entry->class_count++;
    return index;
}

uint32_t
entry_ensure_endpoint(entry_state *entry, lv_id id)
{
    uint32_t index = map_find(&entry->endpoint_index, id);

    if (index != NONE) {
        return index;
    }
    index = entry->endpoint_count;
    if (!RESERVE_ONE(entry, endpoints, endpoint) ||
        !map_set(&entry->endpoint_index, id, index)) {
        return NONE;
    }
    entry->endpoints[index] = (entry_endpoint){.id = id, .shard = NONE};
    entry->endpoint_count++;
    return index;
}

static size_t
map_memory_usage(const map_table *map)
{
    return map->capacity * sizeof *map->buckets;
}

size_t
entry_memory_usage(const entry_state *entry)
{
    size_t bytes =
        sizeof *entry + sizeof *entry->scratch +
        entry->item_capacity * sizeof *entry->items +
        entry->deadlines.capacity * sizeof(heap_node) +
        fq_memory(&entry->queues) +
        entry->flow_capacity * sizeof *entry->flows +
        entry->class_capacity * sizeof *entry->classes +
        entry->pool_capacity * sizeof *entry->pools +
        entry->shard_capacity * sizeof *entry->shards +
        entry->subflow_capacity * sizeof *entry->subflows +
        entry->lease_capacity * sizeof *entry->leases +
        entry->endpoint_capacity * sizeof *entry->endpoints +
        entry->settings.max_prefixes * sizeof *entry->prefixes +
        entry->live_instance_capacity * sizeof *entry->live_instances;

    for (uint32_t i = 0; i < entry->shard_count; i++) {
        bytes += entry->shards[i].released_capacity * sizeof(uint64_t);
    }
    return bytes + map_memory_usage(&entry->flow_index) +
           map_memory_usage(&entry->class_index) +
           map_memory_usage(&entry->pool_index) +
           map_memory_usage(&entry->shard_index) +
           map_memory_usage(&entry->subflow_index) +
           map_memory_usage(&entry->lease_index) +
           map_memory_usage(&entry->endpoint_index);
}
