/*
 * An indexed binary min-heap. The owner stores the index of each item's node,
 * so that any item can be updated or removed in O(log n).
 */
#ifndef LAVENDER_HEAP_H
#define LAVENDER_HEAP_H

#include "lavender/types.h"

/* Returns the address where the owner stores the index of an item's node. The
 * owner sets the index to LV_HANDLE_NONE before the first use of the item. An
 * item that can be in several heaps has one index for each. */
typedef uint32_t *heap_index_lookup(void *owner, uint32_t item);

typedef struct heap_node {
    int64_t key;
    uint32_t item;
} heap_node;

typedef struct heap_min_heap {
    heap_index_lookup *index_of;
    void *owner; /* passed to index_of */
    heap_node *nodes;
    uint32_t count;
    uint32_t capacity;
} heap_min_heap;

void heap_init(heap_min_heap *heap, heap_index_lookup *index_of, void *owner);

/* Frees the nodes. The indices that the owner stores are not reset. */
void heap_finish(heap_min_heap *heap);

/* Inserts an item, or changes its key when it is in the heap. Returns false
 * when memory is exhausted; changing a key always succeeds. */
bool heap_set_key(heap_min_heap *heap, uint32_t item, int64_t key);

/* Removes an item. Does nothing when the item is not in the heap. */
void heap_remove(heap_min_heap *heap, uint32_t item);

/* Returns the item with the minimum key, or LV_HANDLE_NONE. */
uint32_t heap_top(const heap_min_heap *heap);

/* Returns the minimum key. The heap must not be empty. */
int64_t heap_top_key(const heap_min_heap *heap);

#endif
