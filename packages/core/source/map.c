#include "lavender/map.h"

#include <stdlib.h>
#include <string.h>

enum {
    FIRST_CAPACITY = 16
};

void
map_init(map_map *map)
{
    memset(map, 0, sizeof *map);
}

void
map_finish(map_map *map)
{
    free(map->slots);
    map_init(map);
}

uint64_t
map_mix(uint64_t value)
{
    value ^= value >> 30;
    value *= UINT64_C(0xbf58476d1ce4e5b9);
    value ^= value >> 27;
    value *= UINT64_C(0x94d049bb133111eb);
    value ^= value >> 31;
    return value;
}

/* The key's slot, or the empty one where it belongs. */
static uint32_t
probe(const map_map *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t at = (uint32_t)map_mix(key) & mask;

    while (map->slots[at].key != 0 && map->slots[at].key != key) {
        at = (at + 1) & mask;
    }
    return at;
}

static bool
grow(map_map *map)
{
    uint32_t capacity = map->capacity ? map->capacity * 2 : FIRST_CAPACITY;
    map_map grown = {.count = map->count, .capacity = capacity};

    grown.slots = calloc(capacity, sizeof *grown.slots);
    if (grown.slots == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < map->capacity; i++) {
        if (map->slots[i].key != 0) {
            grown.slots[probe(&grown, map->slots[i].key)] = map->slots[i];
        }
    }
    free(map->slots);
    *map = grown;
    return true;
}

bool
map_set(map_map *map, uint64_t key, uint32_t value)
{
    uint32_t at;

    if (map->count + 1 > map->capacity / 4 * 3 && !grow(map)) {
        return false;
    }
    at = probe(map, key);
    if (map->slots[at].key == 0) {
        map->slots[at].key = key;
        map->count++;
    }
    map->slots[at].value = value;
    return true;
}

uint32_t
map_find(const map_map *map, uint64_t key)
{
    uint32_t at;

    if (map->count == 0) {
        return LV_HANDLE_NONE;
    }
    at = probe(map, key);
    return map->slots[at].key == key ? map->slots[at].value : LV_HANDLE_NONE;
}

void
map_remove(map_map *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t hole;

    if (map->count == 0) {
        return;
    }
    hole = probe(map, key);
    if (map->slots[hole].key == 0) {
        return;
    }
    map->count--;
    for (uint32_t at = (hole + 1) & mask; map->slots[at].key != 0;
         at = (at + 1) & mask) {
        uint32_t home = (uint32_t)map_mix(map->slots[at].key) & mask;

        if (((at - home) & mask) >= ((at - hole) & mask)) {
            map->slots[hole] = map->slots[at];
            hole = at;
        }
    }
    map->slots[hole].key = 0;
}
