/*
 * An indexed binary heap: the least key on top, and any item can be moved
 * or removed in O(log n), because each item's place is kept by its owner.
 */
#ifndef LAVENDER_HEAP_H
#define LAVENDER_HEAP_H

#include "lavender/types.h"

/* Where the owner keeps an item's place in one heap. The owner sets it to
 * LV_HANDLE_NONE before the item's first use. */
typedef uint32_t *heap_index_lookup(void *owner, uint32_t item);

typedef struct heap_node {
    int64_t key;
    uint32_t item;
} heap_node;

typedef struct heap_min_heap {
    heap_index_lookup *place;
    void *owner;
    heap_node *nodes;
    uint32_t count;
    uint32_t capacity;
} heap_min_heap;

void heap_init(heap_min_heap *heap, heap_index_lookup *place, void *owner);
void heap_finish(heap_min_heap *heap);

/* Insert an item or give it a new key; false only if memory ends. */
bool heap_set_key(heap_min_heap *heap, uint32_t item, int64_t key);

/* Remove an item; nothing happens when it is not in the heap. */
void heap_remove(heap_min_heap *heap, uint32_t item);

/* The item with the least key, or LV_HANDLE_NONE. */
uint32_t heap_top(const heap_min_heap *heap);

/* The least key; the heap has at least one item. */
int64_t heap_top_key(const heap_min_heap *heap);

#endif
