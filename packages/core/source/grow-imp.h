#ifndef GROW_IMP_H
#define GROW_IMP_H

#include "lavender/types.h"

/* Make room in a malloc'ed table for count records, doubling it; false when
 * memory ends (the table stays as it was). */
bool grow_table(void **table, uint32_t *capacity, uint32_t count, size_t size);

#endif
