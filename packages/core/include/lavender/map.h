/*
 * A hash map from non-zero 64-bit keys to handles.
 */
#ifndef LAVENDER_MAP_H
#define LAVENDER_MAP_H

#include "lavender/types.h"

typedef struct map_bucket {
    uint64_t key; /* 0: empty */
    uint32_t value;
} map_bucket;

typedef struct map_table {
    map_bucket *buckets;
    uint32_t count;
    uint32_t capacity; /* 0 or a power of two */
} map_table;

void map_init(map_table *map);
void map_finish(map_table *map);

/* Set a key's value; false only if memory ends. */
bool map_set(map_table *map, uint64_t key, uint32_t value);

/* The key's value, or LV_HANDLE_NONE. */
uint32_t map_find(const map_table *map, uint64_t key);

void map_remove(map_table *map, uint64_t key);

/* Mix the bits of a number so that near ones lie far apart. */
uint64_t map_mix(uint64_t value);

#endif
