#include "peers-imp.h"

/* The encoded size of an unsigned number, from its first byte; 0 when it is
 * not a number. */
static size_t
number_size(unsigned char first)
{
    if (first < 0x80) {
        return 1;
    }
    return first >= 0xcc && first <= 0xcf ? 1 + ((size_t)1 << (first - 0xcc))
                                          : 0;
}

/* The size of a list's header, whose element count goes to `length`; 0 when it
 * is not a list. */
static size_t
list_size(const unsigned char *data, size_t size, size_t *length)
{
    if ((data[0] & 0xf0) == 0x90) {
        *length = data[0] & 0x0f;
        return 1;
    }
    if (data[0] == 0xdc && size >= 3) {
        *length = (size_t)data[1] << 8 | data[2];
        return 3;
    }
    return 0;
}

/* The msgpack decoder allocates memory for as many elements as a list's header
 * announces, so the header must not announce more elements than there are
 * bytes left. */
bool
peers_has_only_numbers(const char *data, size_t size)
{
    const unsigned char *at = (const unsigned char *)data;

    while (size > 0) {
        size_t length = 0;
        size_t used = number_size(at[0]);

        if (used == 0) {
            used = list_size(at, size, &length);
        }
        if (used == 0 || used + length > size) {
            return false;
        }
        at += used;
        size -= used;
    }
    return true;
}
