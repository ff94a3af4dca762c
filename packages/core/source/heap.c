#include "lavender/heap.h"

#include <stdlib.h>
#include <string.h>

#include "table-imp.h"

void
heap_init(heap_min_heap *heap, heap_index_lookup *index_of, void *owner)
{
    memset(heap, 0, sizeof *heap);
    heap->index_of = index_of;
    heap->owner = owner;
}

void
heap_finish(heap_min_heap *heap)
{
    free(heap->nodes);
    heap->nodes = NULL;
    heap->count = 0;
    heap->capacity = 0;
}

static void
place_node(heap_min_heap *heap, uint32_t index, heap_node node)
{
    heap->nodes[index] = node;
    *heap->index_of(heap->owner, node.item) = index;
}

static void
sift_up(heap_min_heap *heap, uint32_t index, heap_node node)
{
    while (index > 0) {
        uint32_t parent = (index - 1) / 2;

        if (heap->nodes[parent].key <= node.key) {
            break;
        }
        place_node(heap, index, heap->nodes[parent]);
        index = parent;
    }
    place_node(heap, index, node);
}

static void
sift_down(heap_min_heap *heap, uint32_t index, heap_node node)
{
    for (;;) {
        uint32_t child = index * 2 + 1;

        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count &&
            heap->nodes[child + 1].key < heap->nodes[child].key) {
            child++;
        }
        if (heap->nodes[child].key >= node.key) {
            break;
        }
        place_node(heap, index, heap->nodes[child]);
        index = child;
    }
    place_node(heap, index, node);
}

static void
sift(heap_min_heap *heap, uint32_t index, heap_node node)
{
    if (index > 0 && heap->nodes[(index - 1) / 2].key > node.key) {
        sift_up(heap, index, node);
    }
    else {
        sift_down(heap, index, node);
    }
}

bool
heap_set_key(heap_min_heap *heap, uint32_t item, int64_t key)
{
    uint32_t index = *heap->index_of(heap->owner, item);
    heap_node node = {.key = key, .item = item};

    if (index != LV_HANDLE_NONE) {
        if (heap->nodes[index].key != key) {
            sift(heap, index, node);
        }
        return true;
    }
    if (!table_reserve((void **)&heap->nodes, &heap->capacity, heap->count + 1,
                       sizeof *heap->nodes)) {
        return false;
    }
    sift_up(heap, heap->count++, node);
    return true;
}

void
heap_remove(heap_min_heap *heap, uint32_t item)
{
    uint32_t index = *heap->index_of(heap->owner, item);

    if (index == LV_HANDLE_NONE) {
        return;
    }
    *heap->index_of(heap->owner, item) = LV_HANDLE_NONE;
    heap->count--;
    if (index < heap->count) {
        sift(heap, index, heap->nodes[heap->count]);
    }
}

uint32_t
heap_top(const heap_min_heap *heap)
{
    return heap->count > 0 ? heap->nodes[0].item : LV_HANDLE_NONE;
}

int64_t
heap_top_key(const heap_min_heap *heap)
{
    return heap->nodes[0].key;
}
