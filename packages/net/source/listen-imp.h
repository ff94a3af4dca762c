/*
 * An HTTP listener: h2o on the libuv loop, with a bound on its connections.
 */
#ifndef LAVENDER_NET_LISTEN_IMP_H
#define LAVENDER_NET_LISTEN_IMP_H

#include <h2o.h>

#include "lavender/error.h"
#include "lavender/types.h"

typedef struct listen_settings {
    const char *address;       /* IP:PORT */
    const char *listener_name; /* for messages, such as "callers" */
    uint32_t connection_limit;
    size_t body_limit;
    lv_time head_timeout;
    lv_time idle_timeout;
    SSL_CTX *tls; /* owned from then on; NULL: none */
} listen_settings;

typedef struct listen_connection listen_connection;

typedef struct listen_listener {
    listen_settings settings;
    uv_loop_t *loop;
    uv_tcp_t tcp;
    h2o_globalconf_t config;
    h2o_hostconf_t *host;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool is_open;
    listen_connection *first;
    uint32_t connections;
    uint64_t accepted;
    uint64_t refused;
    uint64_t accept_failures; /* could not be accepted */
} listen_listener;

/* Set up h2o's configuration; handlers and filters are added to host. */
void listen_init(listen_listener *listener, uv_loop_t *loop,
                 const listen_settings *settings);

/* Take connections. */
bool listen_open(listen_listener *listener, err_error *error);

/* Take no more, and end the connections there are. They close as the loop
 * goes on. */
void listen_close(listen_listener *listener);

/* After the loop closed the handles. When connections are left, for which
 * h2o waits, their memory stays to the end of the process. */
void listen_finish(listen_listener *listener);

#endif
