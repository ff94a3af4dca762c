/*
 * Checks of responses that h2o's client lacks: of the head and of chunks, and
 * limits for responses that never complete: the size of the head, and the
 * bytes of chunk framing (sizes, extensions, trailers) that arrive without
 * body data.
 */
#ifndef LAVENDER_NET_GUARD_IMP_H
#define LAVENDER_NET_GUARD_IMP_H

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdbool.h>

#include "lavender-net/syntax.h"

/* Size of a head in bytes, checked before each read: the read that exceeds it
 * is still accepted. */
#define GUARD_HEAD_MAX ((size_t)64 * 1024)

/* Framing bytes allowed in addition to GUARD_FRAMING_RATIO times the body. */
#define GUARD_FRAMING_MAX ((size_t)64 * 1024)
#define GUARD_FRAMING_RATIO 16

typedef struct guard_state guard_state;

/* The first member of the object that the client's `data` points to. */
struct guard_state {
    /* Called when the head is too large, malformed or not supported by h2o,
     * or, with SYN_BAD_CHUNK, when the body is malformed; must cancel the
     * client. */
    void (*on_fault)(guard_state *guard);
    h2o_http1client_t *http;
    h2o_timeout_entry_t install_timer;
    h2o_socket_cb write_callback; /* h2o's, replaced until the head is read */
    h2o_socket_cb read_callback;  /* h2o's, replaced */
    bool *was_stopped;            /* set by guard_stop; NULL: nobody asks */
    syn_fault fault;              /* why on_fault is called */
    bool is_chunked;              /* the head is read, and chunks follow */
    syn_chunks chunks;
    uint64_t head_bytes;
    uint64_t framing_bytes;
    uint64_t body_bytes;
};

/* Starts to check the response. Must be called in the client's callback for
 * the established connection. `zero_timeout` is a timeout of 0 ms. */
void guard_start(guard_state *guard, h2o_http1client_t *http, h2o_loop_t *loop,
                 h2o_timeout_t *zero_timeout);

/* Must be called before the object is freed. */
void guard_stop(guard_state *guard);

/* Has the next read of a chunked body checked. Must be called after reading
 * was started again with h2o's callback. */
void guard_resume(guard_state *guard);

/* Counts the last read, of which `size` bytes are body data. Returns false
 * when the framing limit is exceeded. */
bool guard_accepts_body(guard_state *guard, size_t size);

/* Logs a malformed response of a server; without a fault of the guard it is
 * one that h2o's client found. */
void guard_log_fault(const guard_state *guard, const char *address);

typedef struct guard_head {
    size_t size; /* in bytes, 0: it is incomplete */
    bool is_chunked;
} guard_head;

/* Returns why this start of a response must not reach h2o's client.
 * SYN_NO_FAULT while the head is incomplete and has no such line. */
syn_fault guard_check_head(const char *bytes, size_t size, guard_head *head);

#endif
