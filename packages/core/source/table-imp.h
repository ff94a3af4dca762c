/*
 * Tables that grow by doubling.
 */
#ifndef LAVENDER_TABLE_IMP_H
#define LAVENDER_TABLE_IMP_H

#include "lavender/types.h"

/* Make a table larger, as table_reserve does. */
bool table_grow(void **items, uint32_t *capacity, uint32_t needed,
                size_t size);

/* Make room for at least needed items of the given size; what is new is
 * zero. False if memory ends; the table is then as it was. */
static inline bool
table_reserve(void **items, uint32_t *capacity, uint32_t needed, size_t size)
{
    return needed <= *capacity || table_grow(items, capacity, needed, size);
}

#endif
