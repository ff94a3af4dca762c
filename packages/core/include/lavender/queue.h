/*
 * Fair queues of waiting requests. A flow is an account in a pool and has one
 * FIFO queue for each priority. The flows of a pool form a group; the flow
 * with the minimum level (virtual counter) of a group is served next.
 *
 * Items are indices into the caller's table of requests. An item is in at most
 * one queue.
 */
#ifndef LAVENDER_QUEUE_H
#define LAVENDER_QUEUE_H

#include "lavender/catalogue.h"
#include "lavender/heap.h"

/* Neighbours of an item in its queue. */
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
    uint32_t waiting_index; /* in the group's heap `waiting` */
    uint32_t urgent_index;  /* in the group's heap `urgent` */
} fq_flow;

typedef struct fq_group {
    heap_min_heap waiting; /* flows with any item, by level */
    heap_min_heap urgent;  /* flows with an urgent item, by level */
    int64_t urgent_credit;
    uint32_t flow_count;
} fq_group;

typedef struct fq_table {
    fq_link *links; /* by item */
    uint32_t link_capacity;
    fq_flow *flows;
    uint32_t flow_count;
    uint32_t flow_capacity;
    fq_group *groups;
    uint32_t group_count;
    uint32_t group_capacity;
} fq_table;

/* Initialises an empty table. It must not be moved in memory until fq_finish,
 * because the heaps refer to it. */
void fq_init(fq_table *table);
void fq_finish(fq_table *table);

/* Makes room for items 0 to count - 1. Returns false when memory is
 * exhausted. */
bool fq_reserve(fq_table *table, uint32_t count);

/* Adds a group. Returns LV_HANDLE_NONE when memory is exhausted. */
lv_handle fq_add_group(fq_table *table, int64_t urgent_credit);

/* Adds an empty flow with level 0. Returns LV_HANDLE_NONE when memory is
 * exhausted. */
lv_handle fq_add_flow(fq_table *table, lv_handle group);

/* Moves a flow with its items to another group. The flow stays in its group
 * when memory is exhausted. */
void fq_move_flow(fq_table *table, lv_handle flow, lv_handle group);

/* Sets the urgent credit of a group: a flow with urgent items is preferred
 * while its level exceeds the minimum level by less than the credit. */
void fq_set_urgent_credit(fq_table *table, lv_handle group,
                          int64_t urgent_credit);
void fq_set_level(fq_table *table, lv_handle flow, int64_t level);

/* Appends an item to a queue, or inserts it at the front. Room for the item
 * must be reserved. */
void fq_push(fq_table *table, lv_handle flow, cat_priority priority,
             lv_handle item, bool at_front);

/* Removes an item from the queue that it is in. */
void fq_remove(fq_table *table, lv_handle flow, cat_priority priority,
               lv_handle item);

/* Returns the next item of a flow, urgent items first, or LV_HANDLE_NONE. */
lv_handle fq_first_item(const fq_table *table, lv_handle flow);

/* Returns the number of items of a flow. */
uint32_t fq_count_items(const fq_table *table, lv_handle flow);

/* Returns the flow to serve next, or LV_HANDLE_NONE: the flow with urgent
 * items and the minimum level among these, if the urgent credit allows it,
 * otherwise the flow with the minimum level. */
lv_handle fq_choose_flow(const fq_table *table, lv_handle group);

/* Returns the allocated memory in bytes. */
size_t fq_memory(const fq_table *table);

#endif
