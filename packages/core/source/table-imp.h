/*
 * Growable arrays of rows, with a capacity that doubles.
 */
#ifndef LAVENDER_TABLE_IMP_H
#define LAVENDER_TABLE_IMP_H

#include "lavender/types.h"

/* Reallocates the array; called by table_reserve only, which describes it. */
bool table_grow(void **items, uint32_t *capacity, uint32_t needed,
                size_t size);

/* Ensures a capacity of at least needed items of size bytes each. New items
 * are set to zero. Returns false when memory is exhausted; the array is then
 * unchanged. */
static inline bool
table_reserve(void **items, uint32_t *capacity, uint32_t needed, size_t size)
{
    return needed <= *capacity || table_grow(items, capacity, needed, size);
}

#endif
