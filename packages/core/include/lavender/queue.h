/*
 * Queues of waiting requests: one per (flow, priority), where a flow is an
 * account in a pool. Flows are collected in groups, one per pool; a group
 * tells which flow is next by the least virtual level.
 *
 * Items are indices into the caller's table of requests. An item stands in
 * at most one queue.
 */
#ifndef LAVENDER_QUEUE_H
#define LAVENDER_QUEUE_H

#include "lavender/catalogue.h"
#include "lavender/heap.h"

typedef struct fq_link {
    lv_handle next;
    lv_handle previous;
} fq_link;

typedef struct fq_flow {
    int64_t level;
    lv_handle group;
    lv_handle first[CAT_PRIORITY_COUNT];
    lv_handle last[CAT_PRIORITY_COUNT];
    uint32_t count[CAT_PRIORITY_COUNT];
    uint32_t waiting_place; /* in the group's heaps */
    uint32_t urgent_place;
} fq_flow;

typedef struct fq_group {
    heap_min_heap waiting; /* flows with any item */
    heap_min_heap urgent;  /* flows with an urgent item */
    int64_t urgent_credit;
    uint32_t flow_count;
} fq_group;

typedef struct fq_table {
    fq_link *links;
    uint32_t link_capacity;
    fq_flow *flows;
    uint32_t flow_count;
    uint32_t flow_capacity;
    fq_group *groups;
    uint32_t group_count;
    uint32_t group_capacity;
} fq_table;

/* The table must not move in memory between init and finish. */
void fq_init(fq_table *table);
void fq_finish(fq_table *table);

/* Make room for items 0 .. count - 1; false when memory ends. */
bool fq_reserve(fq_table *table, uint32_t count);

/* LV_HANDLE_NONE when memory ends. */
lv_handle fq_add_group(fq_table *table, int64_t urgent_credit);
lv_handle fq_add_flow(fq_table *table, lv_handle group);

/* Move a flow with all that waits in it to another group; it stays where it
 * is when memory ends. */
void fq_move_flow(fq_table *table, lv_handle flow, lv_handle group);

/* The level that an urgent flow may lead the least one by. */
void fq_set_urgent_credit(fq_table *table, lv_handle group,
                          int64_t urgent_credit);
void fq_set_level(fq_table *table, lv_handle flow, int64_t level);

/* Append an item, or put it back at the front. */
void fq_push(fq_table *table, lv_handle flow, cat_priority priority,
             lv_handle item, bool at_front);
void fq_remove(fq_table *table, lv_handle flow, cat_priority priority,
               lv_handle item);

/* The next item of a flow, urgent before deferrable. */
lv_handle fq_first_item(const fq_table *table, lv_handle flow);
uint32_t fq_count_items(const fq_table *table, lv_handle flow);

/* The flow to serve next: the least level; a flow with urgent items goes
 * first while its lead over the least one is below the credit. */
lv_handle fq_choose_flow(const fq_table *table, lv_handle group);

/* Bytes held. */
size_t fq_memory(const fq_table *table);

#endif
