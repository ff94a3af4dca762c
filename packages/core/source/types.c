#include "lavender/types.h"

#include <string.h>
#include <xxhash.h>

lv_id
lv_hash_name(const char *name)
{
    lv_id id = XXH64(name, strlen(name), 0);

    return id == LV_ID_NONE ? 1 : id;
}

bool
lv_copy_name(char *to, size_t size, const char *from)
{
    size_t length = strlen(from);

    if (length >= size) {
        return false;
    }
    memcpy(to, from, length + 1);
    return true;
}

lv_time
lv_elapsed(lv_time now, lv_time then)
{
    return now > then ? now - then : 0;
}
