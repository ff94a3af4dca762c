/*
 * A hash map from non-zero 64-bit keys to handles, with open addressing and
 * linear probing.
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
    uint32_t capacity; /* buckets; 0 or a power of two */
} map_table;

void map_init(map_table *map);

/* Frees the memory and leaves an empty map that can be used again. */
void map_finish(map_table *map);

/* Sets the value of a key. Returns false when memory is exhausted, possibly
 * also for a key that is in the map. */
bool map_set(map_table *map, uint64_t key, uint32_t value);

/* Returns the value of a key, or LV_HANDLE_NONE. */
uint32_t map_find(const map_table *map, uint64_t key);

/* Removes a key. Does nothing when the key is not in the map. */
void map_remove(map_table *map, uint64_t key);

/* Mixes the bits of a number so that similar numbers hash to unrelated values.
 * This is the finalizer of SplitMix64; it maps 0 to 0. */
uint64_t map_mix(uint64_t value);

#endif
