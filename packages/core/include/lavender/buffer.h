/*
 * A growable block of bytes. A failed allocation is remembered, so that a
 * caller may append several times and check once.
 */
#ifndef LAVENDER_BUFFER_H
#define LAVENDER_BUFFER_H

#include "lavender/types.h"

typedef struct buf_buffer {
    char *data;
    size_t size;
    size_t capacity;
    bool has_failed; /* memory ended; the content is not whole */
} buf_buffer;

void buf_init(buf_buffer *buffer);
void buf_finish(buf_buffer *buffer);

/* Forget the content and keep the memory. */
void buf_clear(buf_buffer *buffer);

void buf_append(buf_buffer *buffer, const void *data, size_t size);
void buf_append_text(buf_buffer *buffer, const char *text);
void buf_append_format(buf_buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Drop bytes from the front. */
void buf_consume(buf_buffer *buffer, size_t size);

#endif
