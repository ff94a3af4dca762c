#include "lavender/heap.h"

#include <stdlib.h>

#define SMALLEST_CAPACITY 16u

void
heap_init(heap_heap *heap, heap_moved *moved, void *context)
{
    *heap = (heap_heap){.moved = moved, .context = context};
}

void
heap_finish(heap_heap *heap)
{
    free(heap->nodes);
    heap->nodes = NULL;
    heap->count = 0;
    heap->capacity = 0;
}

bool
heap_reserve(heap_heap *heap, uint32_t count)
{
    uint32_t capacity = heap->capacity ? heap->capacity : SMALLEST_CAPACITY;
    heap_node *nodes;

    if (count <= heap->capacity) {
        return true;
    }
    while (capacity < count) {
        capacity *= 2;
    }
    nodes = realloc(heap->nodes, capacity * sizeof *nodes);
    if (nodes == NULL) {
        return false;
    }
    heap->nodes = nodes;
    heap->capacity = capacity;
    return true;
}

static void
set_node(heap_heap *heap, uint32_t place, heap_node node)
{
    heap->nodes[place] = node;
    heap->moved(heap->context, node.item, place);
}

static void
sift_up(heap_heap *heap, uint32_t place, heap_node node)
{
    while (place > 0) {
        uint32_t parent = (place - 1) / 2;

        if (heap->nodes[parent].key <= node.key) {
            break;
        }
        set_node(heap, place, heap->nodes[parent]);
        place = parent;
    }
    set_node(heap, place, node);
}

static void
sift_down(heap_heap *heap, uint32_t place, heap_node node)
{
    for (;;) {
        uint32_t child = place * 2 + 1;

        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count &&
            heap->nodes[child + 1].key < heap->nodes[child].key) {
            child++;
        }
        if (node.key <= heap->nodes[child].key) {
            break;
        }
        set_node(heap, place, heap->nodes[child]);
        place = child;
    }
    set_node(heap, place, node);
}

static void
place_node(heap_heap *heap, uint32_t place, heap_node node)
{
    if (place > 0 && node.key < heap->nodes[(place - 1) / 2].key) {
        sift_up(heap, place, node);
    }
    else {
        sift_down(heap, place, node);
    }
}

void
heap_push(heap_heap *heap, lv_handle item, int64_t key)
{
    sift_up(heap, heap->count++, (heap_node){key, item});
}

void
heap_remove(heap_heap *heap, uint32_t place)
{
    lv_handle item = heap->nodes[place].item;
    heap_node last = heap->nodes[--heap->count];

    if (place < heap->count) {
        place_node(heap, place, last);
    }
    heap->moved(heap->context, item, HEAP_NO_PLACE);
}

void
heap_change(heap_heap *heap, uint32_t place, int64_t key)
{
    place_node(heap, place, (heap_node){key, heap->nodes[place].item});
}

lv_handle
heap_least(const heap_heap *heap)
{
    return heap->count > 0 ? heap->nodes[0].item : LV_HANDLE_NONE;
}
