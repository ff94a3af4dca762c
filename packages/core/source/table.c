#include "table-imp.h"

#include <stdlib.h>
#include <string.h>

enum {
    FIRST_CAPACITY = 4
};

bool
table_grow(void **items, uint32_t *capacity, uint32_t needed, size_t size)
{
    uint32_t wanted = *capacity > 0 ? *capacity : FIRST_CAPACITY;
    char *grown;

    while (wanted < needed) {
        if (wanted > UINT32_MAX / 2) {
            return false;
        }
        wanted *= 2;
    }
    grown = realloc(*items, wanted * size);
    if (grown == NULL) {
        return false;
    }
    memset(grown + *capacity * size, 0, (wanted - *capacity) * size);
    *items = grown;
    *capacity = wanted;
    return true;
}
