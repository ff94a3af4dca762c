/*
 * The router daemon: one instance of the fleet on one libuv loop. It
 * implements lv_host for the core's node: it sends the node's messages, starts
 * its attempts, reads its documents and calls node_tick when a tick is due.
 */
#ifndef LAVENDER_NET_DAEMON_H
#define LAVENDER_NET_DAEMON_H

#include "lavender-net/settings.h"

typedef struct daemon_router {
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
    bool has_client;  /* client is initialised */
    bool has_node;    /* node is initialised */
    bool has_link;    /* link is initialised */
    bool is_watching; /* the platform client watches the documents */
    bool is_draining;
    bool has_drained_long; /* for the least time of a drain */
    bool is_forced;        /* stopped with requests in progress */
    bool is_finished;
} daemon_router;

/* Initialises all modules and opens the listeners. Returns false and fills in
 * error on failure; call daemon_finish in either case. */
bool daemon_init(daemon_router *daemon, uv_loop_t *loop,
                 const set_settings *settings, err_error *error);

/* Runs the loop until the daemon is drained or forced to stop. Returns false
 * when it stopped with accepted requests unanswered. */
bool daemon_run(daemon_router *daemon);

/* Refuses new requests from now on and stops the loop when idle, after half a
 * second at the earliest. Does nothing when already draining. */
void daemon_drain(daemon_router *daemon);

/* Closes and frees what daemon_init opened, also after it failed. A second
 * call does nothing. */
void daemon_finish(daemon_router *daemon);

#endif
