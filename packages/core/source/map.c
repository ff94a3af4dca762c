#include "lavender/map.h"

#include <stdlib.h>
#include <string.h>

enum {
    INITIAL_CAPACITY = 16
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

/* Returns the index of the key's bucket, or of the empty bucket where the key
 * would be inserted. */
static uint32_t
find_bucket(const map_table *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t index = (uint32_t)map_mix(key) & mask;

    while (map->buckets[index].key != 0 && map->buckets[index].key != key) {
        index = (index + 1) & mask;
    }
    return index;
}

static bool
grow(map_table *map)
{
    uint32_t capacity = map->capacity ? map->capacity * 2 : INITIAL_CAPACITY;
    map_table grown = {.count = map->count, .capacity = capacity};

    grown.buckets = calloc(capacity, sizeof *grown.buckets);
    if (grown.buckets == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < map->capacity; i++) {
        if (map->buckets[i].key != 0) {
            grown.buckets[find_bucket(&grown, map->buckets[i].key)] =
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
    uint32_t index;

    if (map->count + 1 > map->capacity / 4 * 3 && !grow(map)) {
        return false;
    }
    index = find_bucket(map, key);
    if (map->buckets[index].key == 0) {
        map->buckets[index].key = key;
        map->count++;
    }
    map->buckets[index].value = value;
    return true;
}

uint32_t
map_find(const map_table *map, uint64_t key)
{
    uint32_t index;

    if (map->count == 0) {
        return LV_HANDLE_NONE;
    }
    index = find_bucket(map, key);
    return map->buckets[index].key == key ? map->buckets[index].value
                                          : LV_HANDLE_NONE;
}

void
map_remove(map_table *map, uint64_t key)
{
    uint32_t mask = map->capacity - 1;
    uint32_t free_bucket;

    if (map->count == 0) {
        return;
    }
    free_bucket = find_bucket(map, key);
    if (map->buckets[free_bucket].key == 0) {
        return;
    }
    map->count--;
    /* Shifts back the keys whose probe sequence passes the free bucket. */
    for (uint32_t index = (free_bucket + 1) & mask;
         map->buckets[index].key != 0; index = (index + 1) & mask) {
        uint32_t home_bucket =
            (uint32_t)map_mix(map->buckets[index].key) & mask;

        if (((index - home_bucket) & mask) >= ((index - free_bucket) & mask)) {
            map->buckets[free_bucket] = map->buckets[index];
            free_bucket = index;
        }
    }
    map->buckets[free_bucket].key = 0;
}
