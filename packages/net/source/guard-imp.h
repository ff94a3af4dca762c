/*
 * Bounds what an h2o client takes of a response that does not progress: a head
 * without end, and the framing of chunks without a body. h2o collects the one
 * and reads the other for as long as bytes arrive.
 */
#ifndef LAVENDER_NET_GUARD_IMP_H
#define LAVENDER_NET_GUARD_IMP_H

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdbool.h>

/* The head of a response, in bytes; what arrives in the same read is let
 * through. */
#define GUARD_HEAD_MAX ((size_t)64 * 1024)

/* Framing beyond GUARD_FRAMING_RATIO times the body, in bytes. */
#define GUARD_FRAMING_MAX ((size_t)64 * 1024)
#define GUARD_FRAMING_RATIO 16

typedef struct guard_state guard_state;

/* The first member of the object that the client's `data` points to. */
struct guard_state {
    /* The head is too long, or h2o does not support it; cancels the client. */
    void (*on_bad_head)(guard_state *guard);
    h2o_http1client_t *http;
    h2o_timeout_entry_t install_timer;
    h2o_socket_cb write_callback; /* h2o's, replaced until the head is read */
    h2o_socket_cb read_callback;
    uint64_t head_bytes;
    uint64_t framing_bytes;
    uint64_t body_bytes;
};

/* Watches the response to the request that the client is about to send; to be
 * called from its callback for the connection. `zero_timeout` is one of 0 ms.
 */
void guard_start(guard_state *guard, h2o_http1client_t *http, h2o_loop_t *loop,
                 h2o_timeout_t *zero_timeout);

/* To be called before the object is freed. */
void guard_stop(guard_state *guard);

/* Counts a read of the body, of which `size` bytes are content. Returns false
 * when the response is to be given up. */
bool guard_accepts_body(guard_state *guard, size_t size);

/* Whether h2o's client can parse this start of a response. True while the head
 * is incomplete and has no unsupported line. */
bool guard_supports_head(const char *bytes, size_t size);

#endif
