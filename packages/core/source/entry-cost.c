#include "entry-imp.h"

#define AVERAGE_DIVISOR 8 /* a new value has a weight of 1/8 */

ledger_line *
entry_ledger_line(entry_state *entry, uint32_t flow_index)
{
    const entry_flow *flow = &entry->flows[flow_index];

    if (entry->ledger == NULL) {
        return NULL;
    }
    return ledger_find_or_add_line(entry->ledger, entry->pools[flow->pool].id,
                                   flow->account);
}

void
entry_record_backlog(entry_state *entry, lv_time now, uint32_t flow_index)
{
    entry_flow *flow = &entry->flows[flow_index];
    ledger_line *line = entry_ledger_line(entry, flow_index);

    if (line != NULL) {
        line->backlogged_time += lv_elapsed(now, flow->backlog_since);
    }
    flow->backlog_since = now;
}

/* Sets the flow's queue level: the virtual counter last received, plus the
 * service charged since then divided by the weight. */
void
entry_update_level(entry_state *entry, uint32_t index)
{
    const entry_flow *flow = &entry->flows[index];

    fq_set_level(&entry->queues, index,
                 flow->level +
                     flow->service_since_level / (int64_t)flow->weight);
}

/* Advances the pool's virtual time to the level of a flow that starts a
 * request. Only ENTRY_MODE_LOCAL_FAIR uses it; with leases, the dispatchers
 * keep the virtual counters. */
void
entry_advance_virtual_time(entry_state *entry, uint32_t index)
{
    entry_pool *pool = &entry->pools[entry->flows[index].pool];
    int64_t level = entry->queues.flows[index].level;

    if (level > pool->virtual_time) {
        pool->virtual_time = level;
    }
}

/* Raises the level of a flow that was idle to the pool's virtual time, so that
 * it gains no credit for the idle time. */
void
entry_raise_idle_level(entry_state *entry, uint32_t index)
{
    int64_t behind = entry->pools[entry->flows[index].pool].virtual_time -
                     entry->queues.flows[index].level;

    if (entry->settings.mode == ENTRY_MODE_LOCAL_FAIR && behind > 0) {
        entry->flows[index].level += behind;
        entry_update_level(entry, index);
    }
}

static void
charge_units(entry_state *entry, uint32_t index, int64_t units)
{
    entry_item *item = &entry->items[index];
    entry_lease *lease = &entry->leases[item->lease];
    uint32_t subflow = entry_ensure_subflow(entry, lease->shard, item->flow);
    ledger_line *line = entry_ledger_line(entry, item->flow);

    if (units == 0) {
        return;
    }
    item->charged_units += units;
    if (subflow != NONE) {
        entry->subflows[subflow].service_total += units;
        entry_activate_subflow(entry, subflow);
    }
    if (line != NULL) {
        line->service += units;
    }
    entry->flows[item->flow].service_since_level += units;
    entry_update_level(entry, item->flow);
}

static int64_t
observed_cost(const entry_pool *pool, const entry_item *item, lv_time now)
{
    if (pool->kind == CAT_POOL_SERVICE) {
        return (int64_t)(lv_elapsed(now, item->attempt_started) /
                         LV_MILLISECOND);
    }
    return (int64_t)item->input_units * pool->input_weight +
           (int64_t)(item->prior_output_units + item->output_units) *
               pool->output_weight;
}

/* Charges the predicted cost: the average of the account's class in this pool.
 * A caller's output hint can only lower it. */
void
entry_charge_start(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    const entry_pool *pool = &entry->pools[entry->flows[item->flow].pool];
    int64_t cost = entry->classes[item->cost_class].average_cost;

    if (cost < 0) {
        cost = pool->default_cost;
    }
    if (pool->kind == CAT_POOL_ENGINE) {
        int64_t limit = (int64_t)item->output_hint_units * pool->output_weight;

        if (item->output_hint_units > 0 && limit < cost) {
            cost = limit;
        }
        cost += (int64_t)item->input_units * pool->input_weight;
    }
    item->attempt_started = now;
    item->output_units = 0;
    item->prior_output_units = 0;
    item->charged_units = 0;
    charge_units(entry, index, cost);
}

void
entry_charge_progress(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    const entry_pool *pool = &entry->pools[entry->flows[item->flow].pool];
    int64_t cost = observed_cost(pool, item, now);

    if (cost > item->charged_units) {
        charge_units(entry, index, cost - item->charged_units);
    }
}

static void
update_average_cost(entry_state *entry, const entry_item *item, int64_t cost)
{
    entry_class *class_record = &entry->classes[item->cost_class];

    if (class_record->average_cost < 0) {
        class_record->average_cost = cost;
    }
    else {
        class_record->average_cost +=
            (cost - class_record->average_cost) / AVERAGE_DIVISOR;
    }
}

void
entry_charge_end(entry_state *entry, lv_time now, uint32_t index, bool was_run,
                 bool is_whole, uint64_t input_units, uint64_t output_units)
{
    entry_item *item = &entry->items[index];
    const entry_pool *pool = &entry->pools[entry->flows[item->flow].pool];
    int64_t cost = 0;

    if (input_units > 0 || output_units > 0) {
        item->input_units = input_units;
        item->output_units = output_units;
    }
    if (was_run) {
        cost = observed_cost(pool, item, now);
    }
    if (is_whole) {
        int64_t input = pool->kind == CAT_POOL_ENGINE
                            ? (int64_t)item->input_units * pool->input_weight
                            : 0;

        update_average_cost(entry, item, cost - input);
    }
    charge_units(entry, index, cost - item->charged_units);
}

static void
record_group_backlog(entry_state *entry, lv_time now, uint32_t index)
{
    const fq_group *group = &entry->queues.groups[index];

    for (uint32_t i = 0; i < group->waiting.count; i++) {
        entry_record_backlog(entry, now, group->waiting.nodes[i].item);
    }
}

void
entry_flush_ledger(entry_state *entry, lv_time now)
{
    bool is_fifo = entry->settings.mode == ENTRY_MODE_LOCAL_FIFO;
    uint32_t flow_count = is_fifo ? entry->queues.flow_count : 0;

    for (uint32_t i = 0; i < flow_count; i++) {
        if (entry->flows[i].waiting > 0) {
            entry_record_backlog(entry, now, i);
        }
    }
    for (uint32_t i = 0; i < entry->pool_count && !is_fifo; i++) {
        record_group_backlog(entry, now, entry->pools[i].queue_group);
        record_group_backlog(entry, now, entry->pools[i].limited_group);
    }
}
