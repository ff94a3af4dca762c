#include "grow-imp.h"

#include <stdlib.h>

#define SMALLEST_CAPACITY 16u

bool
grow_table(void **table, uint32_t *capacity, uint32_t count, size_t size)
{
    uint32_t wanted = *capacity ? *capacity : SMALLEST_CAPACITY;
    void *bigger;

    if (count <= *capacity) {
        return true;
    }
    while (wanted < count) {
        wanted *= 2;
    }
    bigger = realloc(*table, wanted * size);
    if (bigger == NULL) {
        return false;
    }
    *table = bigger;
    *capacity = wanted;
    return true;
}
