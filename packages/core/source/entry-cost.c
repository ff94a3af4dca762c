#include "entry-imp.h"

#define AVERAGE_PARTS 8 /* a new value counts 1/8 */

ledger_line *
entry_line(entry_state *entry, uint32_t flow_index)
{
    const entry_flow *flow = &entry->flows[flow_index];

    if (entry->ledger == NULL) {
        return NULL;
    }
    return ledger_line_of(entry->ledger, entry->pools[flow->pool].id,
                          flow->account);
}

void
entry_note_backlog(entry_state *entry, lv_time now, uint32_t flow_index)
{
    entry_flow *flow = &entry->flows[flow_index];
    ledger_line *line = entry_line(entry, flow_index);

    if (line != NULL) {
        line->backlogged += lv_elapsed(now, flow->backlog_since);
    }
    flow->backlog_since = now;
}

/* The flow's place among those that wait here follows its counter. */
void
entry_set_level(entry_state *entry, uint32_t index)
{
    const entry_flow *flow = &entry->flows[index];

    fq_set_level(&entry->queues, index,
                 flow->level + flow->since / (int64_t)flow->weight);
}

/* Without a dispatcher the entry keeps the pool's virtual time itself. */
void
entry_note_turn(entry_state *entry, uint32_t index)
{
    entry_pool *pool = &entry->pools[entry->flows[index].pool];
    int64_t level = entry->queues.flows[index].level;

    if (level > pool->virtual_time) {
        pool->virtual_time = level;
    }
}

/* A flow that comes back from idle has no credit from that time. */
void
entry_join_turn(entry_state *entry, uint32_t index)
{
    int64_t behind = entry->pools[entry->flows[index].pool].virtual_time -
                     entry->queues.flows[index].level;

    if (entry->settings.mode == ENTRY_MODE_LOCAL_FAIR && behind > 0) {
        entry->flows[index].level += behind;
        entry_set_level(entry, index);
    }
}

static void
charge(entry_state *entry, uint32_t index, int64_t units)
{
    entry_item *item = &entry->items[index];
    entry_lease *lease = &entry->leases[item->lease];
    uint32_t part = entry_get_part(entry, lease->shard, item->flow);
    ledger_line *line = entry_line(entry, item->flow);

    if (units == 0) {
        return;
    }
    item->charged += units;
    if (part != NONE) {
        entry->parts[part].total += units;
        entry_update_active(entry, part);
    }
    if (line != NULL) {
        line->service += units;
    }
    entry->flows[item->flow].since += units;
    entry_set_level(entry, item->flow);
}

static int64_t
seen_cost(const entry_pool *pool, const entry_item *item, lv_time now)
{
    if (pool->kind == CAT_POOL_SERVICE) {
        return (int64_t)(lv_elapsed(now, item->started) / LV_MILLISECOND);
    }
    return (int64_t)item->input_units * pool->input_weight +
           (int64_t)(item->base_units + item->output_units) *
               pool->output_weight;
}

/* The prediction is the average of the account's class in this pool; a
 * caller's hint can only lower it. */
void
entry_charge_start(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    const entry_pool *pool = &entry->pools[entry->flows[item->flow].pool];
    int64_t cost = entry->classes[item->costs].cost;

    if (cost < 0) {
        cost = pool->default_cost;
    }
    if (pool->kind == CAT_POOL_ENGINE) {
        int64_t bound = (int64_t)item->hint_units * pool->output_weight;

        if (item->hint_units > 0 && bound < cost) {
            cost = bound;
        }
        cost += (int64_t)item->input_units * pool->input_weight;
    }
    item->started = now;
    item->output_units = 0;
    item->base_units = 0;
    item->charged = 0;
    charge(entry, index, cost);
}

void
entry_charge_progress(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    const entry_pool *pool = &entry->pools[entry->flows[item->flow].pool];
    int64_t cost = seen_cost(pool, item, now);

    if (cost > item->charged) {
        charge(entry, index, cost - item->charged);
    }
}

static void
learn_cost(entry_state *entry, const entry_item *item, int64_t cost)
{
    entry_class *costs = &entry->classes[item->costs];

    if (costs->cost < 0) {
        costs->cost = cost;
    }
    else {
        costs->cost += (cost - costs->cost) / AVERAGE_PARTS;
    }
}

void
entry_charge_end(entry_state *entry, lv_time now, uint32_t index, bool ran,
                 bool is_whole, uint64_t input_units, uint64_t output_units)
{
    entry_item *item = &entry->items[index];
    const entry_pool *pool = &entry->pools[entry->flows[item->flow].pool];
    int64_t cost = 0;

    if (input_units > 0 || output_units > 0) {
        item->input_units = input_units;
        item->output_units = output_units;
    }
    if (ran) {
        cost = seen_cost(pool, item, now);
    }
    if (is_whole) {
        int64_t input = pool->kind == CAT_POOL_ENGINE
                            ? (int64_t)item->input_units * pool->input_weight
                            : 0;

        learn_cost(entry, item, cost - input);
    }
    charge(entry, index, cost - item->charged);
}

static void
flush_group(entry_state *entry, lv_time now, uint32_t index)
{
    const fq_group *group = &entry->queues.groups[index];

    for (uint32_t i = 0; i < group->waiting.count; i++) {
        entry_note_backlog(entry, now, group->waiting.nodes[i].item);
    }
}

void
entry_flush_ledger(entry_state *entry, lv_time now)
{
    bool is_fifo = entry->settings.mode == ENTRY_MODE_LOCAL_FIFO;
    uint32_t flows = is_fifo ? entry->queues.flow_count : 0;

    for (uint32_t i = 0; i < flows; i++) {
        if (entry->flows[i].waiting > 0) {
            entry_note_backlog(entry, now, i);
        }
    }
    for (uint32_t i = 0; i < entry->pool_count && !is_fifo; i++) {
        flush_group(entry, now, entry->pools[i].group);
        flush_group(entry, now, entry->pools[i].limited);
    }
}
