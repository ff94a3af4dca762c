#include "lavender/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY ((size_t)512)

void
buf_init(buf_buffer *buffer)
{
    memset(buffer, 0, sizeof *buffer);
}

void
buf_count(buf_buffer *buffer, size_t *counter)
{
    buffer->counter = counter;
    if (counter != NULL) {
        *counter += buffer->capacity;
    }
}

static void
count_capacity(buf_buffer *buffer, size_t capacity)
{
    if (buffer->counter != NULL) {
        *buffer->counter += capacity - buffer->capacity;
    }
    buffer->capacity = capacity;
}

void
buf_finish(buf_buffer *buffer)
{
    size_t *counter = buffer->counter;

    count_capacity(buffer, 0);
    free(buffer->data);
    buf_init(buffer);
    buffer->counter = counter;
}

void
buf_clear(buf_buffer *buffer)
{
    buffer->size = 0;
    buffer->has_failed = false;
}

static bool
reserve(buf_buffer *buffer, size_t size)
{
    size_t capacity =
        buffer->capacity > 0 ? buffer->capacity : INITIAL_CAPACITY;
    char *data;

    if (buffer->has_failed) {
        return false;
    }
    if (buffer->size + size <= buffer->capacity) {
        return true;
    }
    while (capacity < buffer->size + size) {
        capacity *= 2;
    }
    data = realloc(buffer->data, capacity);
    if (data == NULL) {
        buffer->has_failed = true;
        return false;
    }
    buffer->data = data;
    count_capacity(buffer, capacity);
    return true;
}

void
buf_append(buf_buffer *buffer, const void *data, size_t size)
{
    if (size > 0 && reserve(buffer, size)) {
        memcpy(buffer->data + buffer->size, data, size);
        buffer->size += size;
    }
}

void
buf_append_text(buf_buffer *buffer, const char *text)
{
    buf_append(buffer, text, strlen(text));
}

void
buf_append_format(buf_buffer *buffer, const char *format, ...)
{
    char text[1024];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (size < 0 || (size_t)size >= sizeof text) {
        buffer->has_failed = true;
        return;
    }
    buf_append(buffer, text, (size_t)size);
}

void
buf_consume(buf_buffer *buffer, size_t size)
{
    memmove(buffer->data, buffer->data + size, buffer->size - size);
    buffer->size -= size;
}
