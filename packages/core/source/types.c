#include "lavender/types.h"

#include <stdio.h>
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

/* Is the byte inside a character of UTF-8? */
static bool
is_continuation(char byte)
{
    return ((unsigned char)byte & 0xc0) == 0x80;
}

void
lv_shorten_name(char *to, size_t size, const char *from)
{
    char hash[18];
    size_t kept;

    if (lv_copy_name(to, size, from)) {
        return;
    }
    snprintf(hash, sizeof hash, "~%016llx",
             (unsigned long long)lv_hash_name(from));
    kept = size - sizeof hash;
    while (kept > 0 && is_continuation(from[kept])) {
        kept--;
    }
    memcpy(to, from, kept);
    memcpy(to + kept, hash, sizeof hash);
}

lv_time
lv_elapsed(lv_time now, lv_time then)
{
    return now > then ? now - then : 0;
}
