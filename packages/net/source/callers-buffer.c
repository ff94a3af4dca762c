#include <stdlib.h>
#include <string.h>

#include "callers-imp.h"

#define INITIAL_CAPACITY 1024

bool
buffer_append(call_buffer *buffer, const char *bytes, size_t size)
{
    size_t needed = buffer->size + size;
    size_t capacity = buffer->capacity;
    char *grown;

    if (needed > capacity) {
        capacity = capacity == 0 ? INITIAL_CAPACITY : capacity;
        while (capacity < needed) {
            capacity *= 2;
        }
        grown = realloc(buffer->bytes, capacity);
        if (grown == NULL) {
            return false;
        }
        buffer->bytes = grown;
        buffer->capacity = capacity;
    }
    if (size > 0) {
        memcpy(buffer->bytes + buffer->size, bytes, size);
    }
    buffer->size = needed;
    return true;
}

void
buffer_finish(call_buffer *buffer)
{
    free(buffer->bytes);
    memset(buffer, 0, sizeof *buffer);
}
