/*
 * The router daemon: one instance of the fleet on one libuv loop. It is the
 * host of the core's node: it sends its messages, opens its attempts, reads
 * its documents and calls it when time has come.
 */
#ifndef LAVENDER_NET_DAEMON_H
#define LAVENDER_NET_DAEMON_H

#include "lavender-net/settings.h"

typedef struct daemon_daemon {
    lv_host host; /* first member */
    set_settings settings;
    uv_loop_t *loop;
    node_state node;
    client_context client;
    call_server *callers;
    load_poller *load;
    oper_server *operator_listener;
    oper_view view;
    link_transport link;
    plat_backend *platform;
    uv_prepare_t prepare;
    uv_timer_t timer;
    uv_timer_t drain_timer;
    uv_signal_t signals[2];
    bool has_client;
    bool has_node;
    bool has_link;
    bool is_watching;
    bool is_draining;
    bool is_forced; /* ended before it was idle */
    bool is_closed;
} daemon_daemon;

/* Set everything up and listen. */
bool daemon_init(daemon_daemon *daemon, uv_loop_t *loop,
                 const set_settings *settings, err_error *error);

/* Run until drained or told to stop; returns false when it ended before
 * everything accepted had its answer. */
bool daemon_run(daemon_daemon *daemon);

/* Stop taking requests and end when idle. */
void daemon_drain(daemon_daemon *daemon);

/* Close what daemon_init opened, also after it failed. */
void daemon_finish(daemon_daemon *daemon);

#endif
