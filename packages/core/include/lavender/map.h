/*
 * A hash map from 64-bit keys to table indices, with open addressing. It
 * grows by doubling, so that additions allocate seldom and look-ups never.
 */
#ifndef LAVENDER_MAP_H
#define LAVENDER_MAP_H

#include "lavender/types.h"

typedef struct map_cell {
    uint64_t key;
    lv_handle value; /* LV_HANDLE_NONE: empty */
} map_cell;

typedef struct map_map {
    map_cell *cells;
    uint32_t capacity; /* a power of two, or 0 */
    uint32_t count;
} map_map;

void map_init(map_map *map);
void map_finish(map_map *map);

/* Make room for one more key; false when memory ends. */
bool map_reserve(map_map *map);

/* Set a key's value; false when memory ends. */
bool map_put(map_map *map, uint64_t key, lv_handle value);

/* LV_HANDLE_NONE when the key is not there. */
lv_handle map_get(const map_map *map, uint64_t key);

void map_remove(map_map *map, uint64_t key);

/* One key out of two, for maps of pairs. */
uint64_t map_pair(uint64_t first, uint64_t second);

#endif
