#include "table-imp.h"

#include <stdlib.h>
#include <string.h>

enum {
    INITIAL_CAPACITY = 4
};

bool
table_grow(void **items, uint32_t *capacity, uint32_t needed, size_t size)
{
    uint32_t new_capacity = *capacity > 0 ? *capacity : INITIAL_CAPACITY;
    char *new_items;

    while (new_capacity < needed) {
        if (new_capacity > UINT32_MAX / 2) {
            return false;
        }
        new_capacity *= 2;
    }
    new_items = realloc(*items, new_capacity * size);
    if (new_items == NULL) {
        return false;
    }
    memset(new_items + *capacity * size, 0, (new_capacity - *capacity) * size);
    *items = new_items;
    *capacity = new_capacity;
    return true;
}
