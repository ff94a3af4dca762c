#include "lavender/heap.h"

#include <stdlib.h>
#include <string.h>

#include "table-imp.h"

void
heap_init(heap_min_heap *heap, heap_index_lookup *place, void *owner)
{
    memset(heap, 0, sizeof *heap);
    heap->place = place;
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
put(heap_min_heap *heap, uint32_t at, heap_node node)
{
    heap->nodes[at] = node;
    *heap->place(heap->owner, node.item) = at;
}

static void
sift_up(heap_min_heap *heap, uint32_t at, heap_node node)
{
    while (at > 0) {
        uint32_t parent = (at - 1) / 2;

        if (heap->nodes[parent].key <= node.key) {
            break;
        }
        put(heap, at, heap->nodes[parent]);
        at = parent;
    }
    put(heap, at, node);
}

static void
sift_down(heap_min_heap *heap, uint32_t at, heap_node node)
{
    for (;;) {
        uint32_t child = at * 2 + 1;

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
        put(heap, at, heap->nodes[child]);
        at = child;
    }
    put(heap, at, node);
}

static void
settle(heap_min_heap *heap, uint32_t at, heap_node node)
{
    if (at > 0 && heap->nodes[(at - 1) / 2].key > node.key) {
        sift_up(heap, at, node);
    }
    else {
        sift_down(heap, at, node);
    }
}

bool
heap_set_key(heap_min_heap *heap, uint32_t item, int64_t key)
{
    uint32_t at = *heap->place(heap->owner, item);
    heap_node node = {.key = key, .item = item};

    if (at != LV_HANDLE_NONE) {
        if (heap->nodes[at].key != key) {
            settle(heap, at, node);
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
    uint32_t at = *heap->place(heap->owner, item);

    if (at == LV_HANDLE_NONE) {
        return;
    }
    *heap->place(heap->owner, item) = LV_HANDLE_NONE;
    heap->count--;
    if (at < heap->count) {
        settle(heap, at, heap->nodes[heap->count]);
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
