/*
 * Peer links: messages between instances over ZeroMQ on the libuv loop.
 *
 * Each instance binds one ROUTER socket and connects one DEALER socket per
 * peer it talks to. With keys, CURVE authenticates and encrypts; without,
 * only loopback and trusted networks should carry the links. Queues are
 * bounded: what does not fit is dropped and counted.
 */
#ifndef LAVENDER_NET_LINK_H
#define LAVENDER_NET_LINK_H

#include <uv.h>

#include "lavender/message.h"
#include "lavender/world.h"

#define LINK_KEY_SIZE 41 /* Z85 text of a CURVE key and the zero */

typedef struct link_settings {
    lv_id self;                         /* never sent to */
    char bind_address[LV_ADDRESS_SIZE]; /* IP:PORT */
    uint32_t queue_limit;               /* messages kept for one peer */
    lv_time heartbeat_interval; /* finds connections that went silent */
    bool use_curve;
    char public_key[LINK_KEY_SIZE]; /* one key pair for the whole fleet */
    char secret_key[LINK_KEY_SIZE];
} link_settings;

typedef struct link_counts {
    uint64_t sent;
    uint64_t sent_bytes;
    uint64_t received;
    uint64_t received_bytes;
    uint64_t dropped_full; /* no connection, or the peer's queue is full */
    uint64_t dropped_malformed;        /* could not be decoded */
    uint64_t dropped_unknown_receiver; /* no address for the receiver */
    uint64_t refused_keys; /* connections with another fleet's key */
} link_counts;

/* A decoded message; it lives for the call only. */
typedef void link_on_message(void *context, const msg_message *message);

typedef struct link_peer link_peer;

typedef struct link_transport {
    uv_loop_t *loop;
    link_settings settings;
    void *zmq;           /* ZeroMQ context */
    void *router;        /* receives from all peers */
    void *authenticator; /* answers ZeroMQ's questions about client keys */
    uv_poll_t poll;
    uv_poll_t authenticator_poll;
    uv_prepare_t prepare; /* reads what no edge of the descriptor told */
    uv_idle_t idle;       /* keeps the loop turning while more is queued */
    bool is_idle_on;
    link_peer *peers;
    uint32_t peer_count;
    uint32_t learned_count; /* peers that no list has named yet */
    link_on_message *on_message;
    void *context;
    msg_buffer buffer;
    link_counts counts;
} link_transport;

/* Fleets up to this size connect to every peer when it is listed; larger
 * ones when the first message goes there, which may then be lost. */
#define LINK_EAGER_PEERS 64

/* Peers that are learned from their own messages until a list names them. */
#define LINK_LEARNED_PEERS_MAX 16

bool link_init(link_transport *link, uv_loop_t *loop,
               const link_settings *settings, link_on_message *on_message,
               void *context, err_error *error);

/* Close the sockets. The loop must run once more before memory is freed. */
void link_finish(link_transport *link);

/* Learn the peers' addresses; connections to those no longer listed close. */
void link_set_lists(link_transport *link, const lists_snapshot *lists);

/* Send, best effort: never blocks. */
void link_send(link_transport *link, lv_id to, const msg_message *message);

/* Make a CURVE key pair (Z85 text). */
bool link_generate_keys(char public_key[LINK_KEY_SIZE],
                        char secret_key[LINK_KEY_SIZE], err_error *error);

#endif
