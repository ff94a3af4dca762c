/*
 * A binary min-heap of table indices by a signed key. The owner of the
 * table keeps each item's place in the heap, told through a callback, so
 * that any item can be changed or removed in O(log n).
 */
#ifndef LAVENDER_HEAP_H
#define LAVENDER_HEAP_H

#include "lavender/types.h"

#define HEAP_NO_PLACE UINT32_MAX

/* An item's place changed; HEAP_NO_PLACE when it left the heap. */
typedef void heap_moved(void *context, lv_handle item, uint32_t place);

typedef struct heap_node {
    int64_t key;
    lv_handle item;
} heap_node;

typedef struct heap_heap {
    heap_node *nodes;
    uint32_t count;
    uint32_t capacity;
    heap_moved *moved;
    void *context;
} heap_heap;

void heap_init(heap_heap *heap, heap_moved *moved, void *context);
void heap_finish(heap_heap *heap);

/* Make room for this many items in all; false when memory ends. */
bool heap_reserve(heap_heap *heap, uint32_t count);

/* Add an item; room must have been reserved. */
void heap_push(heap_heap *heap, lv_handle item, int64_t key);
void heap_remove(heap_heap *heap, uint32_t place);
void heap_change(heap_heap *heap, uint32_t place, int64_t key);

/* The item of the least key; LV_HANDLE_NONE when empty. */
lv_handle heap_least(const heap_heap *heap);

#endif
