/*
 * A hash map from non-zero 64-bit keys to handles.
 */
#ifndef LAVENDER_MAP_H
#define LAVENDER_MAP_H

#include "lavender/types.h"

typedef struct map_slot {
    uint64_t key; /* 0: empty */
    uint32_t value;
} map_slot;

typedef struct map_map {
    map_slot *slots;
    uint32_t count;
    uint32_t capacity; /* 0 or a power of two */
} map_map;

void map_init(map_map *map);
void map_finish(map_map *map);

/* Set a key's value; false only if memory ends. */
bool map_set(map_map *map, uint64_t key, uint32_t value);

/* The key's value, or LV_HANDLE_NONE. */
uint32_t map_find(const map_map *map, uint64_t key);

void map_remove(map_map *map, uint64_t key);

/* Mix the bits of a number so that near ones lie far apart. */
uint64_t map_mix(uint64_t value);

#endif
