/*
 * An HTTP listener: h2o on the libuv loop, with a maximum number of
 * connections.
 */
#ifndef LAVENDER_NET_LISTEN_IMP_H
#define LAVENDER_NET_LISTEN_IMP_H

#include <h2o.h>

#include "lavender/error.h"
#include "lavender/types.h"

/* Size of receive buffers, and the most that one read can return: the kernel
 * allows twice as much, for data and overhead. */
#define LISTEN_RECEIVE_BUFFER_BYTES ((size_t)32 * 1024)
#define LISTEN_MAX_READ_BYTES (2 * LISTEN_RECEIVE_BUFFER_BYTES)

typedef struct listen_settings {
    const char *address;       /* IP:PORT */
    const char *listener_name; /* name in error messages, such as "callers" */
    uint32_t connection_limit; /* maximum number open at a time */
    size_t body_limit;         /* maximum size of a request's body, in bytes;
                                  includes chunks that are not decoded yet */
    lv_time head_timeout;      /* for a request to arrive */
    lv_time idle_timeout;      /* of HTTP/2 connections */
    SSL_CTX *tls;              /* the listener takes ownership; NULL: no TLS */
} listen_settings;

typedef struct listen_connection listen_connection;

/* An accepted connection: on_close.data of its h2o_socket_t. */
struct listen_connection {
    uv_tcp_t tcp; /* first member: h2o passes it to on_connection_closed */
    struct listen_listener *listener;
    listen_connection *next;
    listen_connection *previous;
    uint64_t scanned;         /* see callers-memory.c */
    uint64_t received_before; /* likewise */
};

typedef struct listen_listener {
    listen_settings settings;
    uv_loop_t *loop;
    uv_tcp_t tcp;
    h2o_globalconf_t config;
    h2o_hostconf_t *host;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool is_open; /* listen_open has set up context and tcp */
    listen_connection *first_connection;
    uint32_t connections; /* open now */
    uint64_t accepted;
    uint64_t refused;         /* beyond the maximum */
    uint64_t accept_failures; /* could not be accepted */
} listen_listener;

/* Initialises h2o's configuration. The caller adds its handlers and filters to
 * host before listen_open. */
void listen_init(listen_listener *listener, uv_loop_t *loop,
                 const listen_settings *settings);

/* Binds the address and starts accepting connections. Returns false and fills
 * in error on failure. */
bool listen_open(listen_listener *listener, err_error *error);

/* Stops accepting connections and shuts down those that are open. They close
 * in later iterations of the loop. */
void listen_close(listen_listener *listener);

/* Frees the memory. The loop must have closed the handles. When h2o still
 * waits for open connections, nothing is freed until the process exits. */
void listen_finish(listen_listener *listener);

#endif
