/*
 * A growable byte buffer. A failed append is recorded in the buffer, so that
 * several appends can be followed by one check.
 */
#ifndef LAVENDER_BUFFER_H
#define LAVENDER_BUFFER_H

#include "lavender/types.h"

typedef struct buf_buffer {
    char *data; /* owned; NULL before the first append */
    size_t size;
    size_t capacity;
    bool has_failed; /* an append failed; the content is incomplete */
    size_t *counter; /* sum of the capacities of several buffers; or NULL */
} buf_buffer;

void buf_init(buf_buffer *buffer);

/* Includes the capacity of the buffer in `*counter`, now and after each
 * change. To be called once; `counter` may be NULL. */
void buf_count(buf_buffer *buffer, size_t *counter);

/* Frees the memory. The buffer is then empty, can be used again, and keeps its
 * counter. */
void buf_finish(buf_buffer *buffer);

/* Removes the content and resets has_failed. The memory is kept for reuse. */
void buf_clear(buf_buffer *buffer);

/* Appends size bytes. Sets has_failed when memory is exhausted; after that,
 * appends do nothing until buf_clear. */
void buf_append(buf_buffer *buffer, const void *data, size_t size);

/* Appends a string without its terminating zero. */
void buf_append_text(buf_buffer *buffer, const char *text);

/* Appends formatted text of up to 1023 bytes; sets has_failed when it is
 * longer. */
void buf_append_format(buf_buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes size bytes from the front; the buffer holds at least as many. */
void buf_consume(buf_buffer *buffer, size_t size);

#endif
