#include "lavender/map.h"

#include <stdlib.h>

#define SMALLEST_CAPACITY 16u

static uint64_t
mix(uint64_t key)
{
    key ^= key >> 33;
    key *= 0xff51afd7ed558ccdu;
    key ^= key >> 33;
    key *= 0xc4ceb9fe1a85ec53u;
    return key ^ (key >> 33);
}

uint64_t
map_pair(uint64_t first, uint64_t second)
{
    return mix(first + 0x9e3779b97f4a7c15u) ^ second;
}

void
map_init(map_map *map)
{
    *map = (map_map){0};
}

void
map_finish(map_map *map)
{
    free(map->cells);
    map_init(map);
}

/* The cell of a key, or the empty cell where it would go. */
static uint32_t
find_cell(const map_map *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t at = (uint32_t)mix(key) & mask;

    while (map->cells[at].value != LV_HANDLE_NONE &&
           map->cells[at].key != key) {
        at = (at + 1) & mask;
    }
    return at;
}

static bool
grow(map_map *map)
{
    map_map bigger = {0};

    bigger.capacity = map->capacity ? map->capacity * 2 : SMALLEST_CAPACITY;
    bigger.cells = malloc(bigger.capacity * sizeof *bigger.cells);
    if (bigger.cells == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < bigger.capacity; i++) {
        bigger.cells[i] = (map_cell){0, LV_HANDLE_NONE};
    }
    for (uint32_t i = 0; i < map->capacity; i++) {
        if (map->cells[i].value != LV_HANDLE_NONE) {
            bigger.cells[find_cell(&bigger, map->cells[i].key)] =
                map->cells[i];
        }
    }
    bigger.count = map->count;
    free(map->cells);
    *map = bigger;
    return true;
}

bool
map_reserve(map_map *map)
{
    if (map->capacity != 0 && map->count < map->capacity / 2) {
        return true;
    }
    return grow(map);
}

bool
map_put(map_map *map, uint64_t key, lv_handle value)
{
    uint32_t at;

    if (!map_reserve(map)) {
        return false;
    }
    at = find_cell(map, key);
    if (map->cells[at].value == LV_HANDLE_NONE) {
        map->count++;
    }
    map->cells[at] = (map_cell){key, value};
    return true;
}

lv_handle
map_get(const map_map *map, uint64_t key)
{
    if (map->capacity == 0) {
        return LV_HANDLE_NONE;
    }
    return map->cells[find_cell(map, key)].value;
}

void
map_remove(map_map *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t hole;
    uint32_t at;

    if (map_get(map, key) == LV_HANDLE_NONE) {
        return;
    }
    hole = find_cell(map, key);
    at = hole;
    for (;;) {
        uint32_t home;

        at = (at + 1) & mask;
        if (map->cells[at].value == LV_HANDLE_NONE) {
            break;
        }
        home = (uint32_t)mix(map->cells[at].key) & mask;
        if (((at - home) & mask) >= ((at - hole) & mask)) {
            map->cells[hole] = map->cells[at];
            hole = at;
        }
    }
    map->cells[hole].value = LV_HANDLE_NONE;
    map->count--;
}
