/*
 * Tables that grow by doubling.
 */
#ifndef LAVENDER_TABLE_IMP_H
#define LAVENDER_TABLE_IMP_H

#include "lavender/types.h"

/* Make room for at least needed items of the given size; what is new is
 * zero. False if memory ends; the table is then as it was. */
bool table_reserve(void **items, uint32_t *capacity, uint32_t needed,
                   size_t size);

#endif
