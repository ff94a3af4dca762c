#include "lavender/map.h"

#include <stdlib.h>
#include <string.h>

enum {
    FIRST_CAPACITY = 16
};

void
map_init(map_table *map)
{
    memset(map, 0, sizeof *map);
}

void
map_finish(map_table *map)
{
    free(map->buckets);
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
probe(const map_table *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t at = (uint32_t)map_mix(key) & mask;

    while (map->buckets[at].key != 0 && map->buckets[at].key != key) {
        at = (at + 1) & mask;
    }
    return at;
}

static bool
grow(map_table *map)
{
    uint32_t capacity = map->capacity ? map->capacity * 2 : FIRST_CAPACITY;
    map_table grown = {.count = map->count, .capacity = capacity};

    grown.buckets = calloc(capacity, sizeof *grown.buckets);
    if (grown.buckets == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < map->capacity; i++) {
        if (map->buckets[i].key != 0) {
            grown.buckets[probe(&grown, map->buckets[i].key)] =
                map->buckets[i];
        }
    }
    free(map->buckets);
    *map = grown;
    return true;
}

bool
map_set(map_table *map, uint64_t key, uint32_t value)
{
    uint32_t at;

    if (map->count + 1 > map->capacity / 4 * 3 && !grow(map)) {
        return false;
    }
    at = probe(map, key);
    if (map->buckets[at].key == 0) {
        map->buckets[at].key = key;
        map->count++;
    }
    map->buckets[at].value = value;
    return true;
}

uint32_t
map_find(const map_table *map, uint64_t key)
{
    uint32_t at;

    if (map->count == 0) {
        return LV_HANDLE_NONE;
    }
    at = probe(map, key);
    return map->buckets[at].key == key ? map->buckets[at].value
                                       : LV_HANDLE_NONE;
}

void
map_remove(map_table *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t hole;

    if (map->count == 0) {
        return;
    }
    hole = probe(map, key);
    if (map->buckets[hole].key == 0) {
        return;
    }
    map->count--;
    for (uint32_t at = (hole + 1) & mask; map->buckets[at].key != 0;
         at = (at + 1) & mask) {
        uint32_t home = (uint32_t)map_mix(map->buckets[at].key) & mask;

        if (((at - home) & mask) >= ((at - hole) & mask)) {
            map->buckets[hole] = map->buckets[at];
            hole = at;
        }
    }
    map->buckets[hole].key = 0;
}
