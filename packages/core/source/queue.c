#include "lavender/queue.h"

#include <stdlib.h>

#include "table-imp.h"

static uint32_t *
waiting_place(void *owner, uint32_t item)
{
    return &((fq_table *)owner)->flows[item].waiting_place;
}

static uint32_t *
urgent_place(void *owner, uint32_t item)
{
    return &((fq_table *)owner)->flows[item].urgent_place;
}

static bool
reserve_heap(heap_min_heap *heap, uint32_t count)
{
    return table_reserve((void **)&heap->nodes, &heap->capacity, count,
                         sizeof *heap->nodes);
}

void
fq_init(fq_table *table)
{
    *table = (fq_table){0};
}

void
fq_finish(fq_table *table)
{
    for (uint32_t i = 0; i < table->group_count; i++) {
        heap_finish(&table->groups[i].waiting);
        heap_finish(&table->groups[i].urgent);
    }
    free(table->links);
    free(table->flows);
    free(table->groups);
    fq_init(table);
}

bool
fq_reserve(fq_table *table, uint32_t count)
{
    return table_reserve((void **)&table->links, &table->link_capacity, count,
                         sizeof *table->links);
}

lv_handle
fq_add_group(fq_table *table, int64_t urgent_credit)
{
    fq_group *group;

    if (!table_reserve((void **)&table->groups, &table->group_capacity,
                       table->group_count + 1, sizeof *table->groups)) {
        return LV_HANDLE_NONE;
    }
    group = &table->groups[table->group_count];
    heap_init(&group->waiting, waiting_place, table);
    heap_init(&group->urgent, urgent_place, table);
    group->urgent_credit = urgent_credit;
    group->flow_count = 0;
    return table->group_count++;
}

lv_handle
fq_add_flow(fq_table *table, lv_handle group_handle)
{
    fq_group *group = &table->groups[group_handle];
    fq_flow *flow;

    if (!table_reserve((void **)&table->flows, &table->flow_capacity,
                       table->flow_count + 1, sizeof *table->flows) ||
        !reserve_heap(&group->waiting, group->flow_count + 1) ||
        !reserve_heap(&group->urgent, group->flow_count + 1)) {
        return LV_HANDLE_NONE;
    }
    group->flow_count++;
    flow = &table->flows[table->flow_count];
    *flow = (fq_flow){.group = group_handle,
                      .waiting_place = LV_HANDLE_NONE,
                      .urgent_place = LV_HANDLE_NONE};
    for (int priority = 0; priority < CAT_PRIORITY_COUNT; priority++) {
        flow->first[priority] = LV_HANDLE_NONE;
        flow->last[priority] = LV_HANDLE_NONE;
    }
    return table->flow_count++;
}

void
fq_set_urgent_credit(fq_table *table, lv_handle group, int64_t urgent_credit)
{
    table->groups[group].urgent_credit = urgent_credit;
}

void
fq_set_level(fq_table *table, lv_handle handle, int64_t level)
{
    fq_flow *flow = &table->flows[handle];
    fq_group *group = &table->groups[flow->group];

    flow->level = level;
    if (flow->waiting_place != LV_HANDLE_NONE) {
        (void)heap_set_key(&group->waiting, handle, level);
    }
    if (flow->urgent_place != LV_HANDLE_NONE) {
        (void)heap_set_key(&group->urgent, handle, level);
    }
}

/* Enter the flow into the heaps that it belongs to, or take it out. */
static void
update_heaps(fq_table *table, lv_handle handle)
{
    fq_flow *flow = &table->flows[handle];
    fq_group *group = &table->groups[flow->group];
    bool has_urgent = flow->count[CAT_URGENT] > 0;
    bool has_any = has_urgent || flow->count[CAT_DEFERRABLE] > 0;

    if (has_any && flow->waiting_place == LV_HANDLE_NONE) {
        (void)heap_set_key(&group->waiting, handle, flow->level);
    }
    else if (!has_any && flow->waiting_place != LV_HANDLE_NONE) {
        heap_remove(&group->waiting, handle);
    }
    if (has_urgent && flow->urgent_place == LV_HANDLE_NONE) {
        (void)heap_set_key(&group->urgent, handle, flow->level);
    }
    else if (!has_urgent && flow->urgent_place != LV_HANDLE_NONE) {
        heap_remove(&group->urgent, handle);
    }
}

void
fq_move_flow(fq_table *table, lv_handle handle, lv_handle group_handle)
{
    fq_flow *flow = &table->flows[handle];
    fq_group *from = &table->groups[flow->group];
    fq_group *to = &table->groups[group_handle];

    if (from == to || !reserve_heap(&to->waiting, to->flow_count + 1) ||
        !reserve_heap(&to->urgent, to->flow_count + 1)) {
        return;
    }
    heap_remove(&from->waiting, handle);
    heap_remove(&from->urgent, handle);
    from->flow_count--;
    to->flow_count++;
    flow->group = group_handle;
    update_heaps(table, handle);
}

void
fq_push(fq_table *table, lv_handle handle, cat_priority priority,
        lv_handle item, bool at_front)
{
    fq_flow *flow = &table->flows[handle];
    fq_link *link = &table->links[item];

    link->next = at_front ? flow->first[priority] : LV_HANDLE_NONE;
    link->previous = at_front ? LV_HANDLE_NONE : flow->last[priority];
    if (link->previous != LV_HANDLE_NONE) {
        table->links[link->previous].next = item;
    }
    else {
        flow->first[priority] = item;
    }
    if (link->next != LV_HANDLE_NONE) {
        table->links[link->next].previous = item;
    }
    else {
        flow->last[priority] = item;
    }
    flow->count[priority]++;
    update_heaps(table, handle);
}

void
fq_remove(fq_table *table, lv_handle handle, cat_priority priority,
          lv_handle item)
{
    fq_flow *flow = &table->flows[handle];
    fq_link *link = &table->links[item];

    if (link->previous != LV_HANDLE_NONE) {
        table->links[link->previous].next = link->next;
    }
    else {
        flow->first[priority] = link->next;
    }
    if (link->next != LV_HANDLE_NONE) {
        table->links[link->next].previous = link->previous;
    }
    else {
        flow->last[priority] = link->previous;
    }
    flow->count[priority]--;
    update_heaps(table, handle);
}

lv_handle
fq_first_item(const fq_table *table, lv_handle handle)
{
    const fq_flow *flow = &table->flows[handle];

    return flow->count[CAT_URGENT] > 0 ? flow->first[CAT_URGENT]
                                       : flow->first[CAT_DEFERRABLE];
}

uint32_t
fq_count_items(const fq_table *table, lv_handle handle)
{
    const fq_flow *flow = &table->flows[handle];

    return flow->count[CAT_URGENT] + flow->count[CAT_DEFERRABLE];
}

lv_handle
fq_choose_flow(const fq_table *table, lv_handle handle)
{
    const fq_group *group = &table->groups[handle];
    lv_handle least = heap_top(&group->waiting);
    lv_handle urgent = heap_top(&group->urgent);

    if (urgent == LV_HANDLE_NONE || urgent == least) {
        return least;
    }
    if (table->flows[urgent].level - table->flows[least].level <
        group->urgent_credit) {
        return urgent;
    }
    return least;
}

size_t
fq_memory(const fq_table *table)
{
    size_t bytes = table->link_capacity * sizeof *table->links +
                   table->flow_capacity * sizeof *table->flows +
                   table->group_capacity * sizeof *table->groups;

    for (uint32_t i = 0; i < table->group_count; i++) {
        bytes += (table->groups[i].waiting.capacity +
                  table->groups[i].urgent.capacity) *
                 sizeof(heap_node);
    }
    return bytes;
}
