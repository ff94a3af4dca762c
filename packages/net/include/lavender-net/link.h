/*
 * Peer links: messages between instances over ZeroMQ on the libuv loop.
 *
 * Each instance binds one ROUTER socket, which receives, and connects one
 * DEALER socket to each peer that it sends to. With keys, CURVE authenticates
 * and encrypts the links; without keys, use them only on loopback and trusted
 * networks. Queues are limited: a message that does not fit is dropped and
 * counted.
 */
#ifndef LAVENDER_NET_LINK_H
#define LAVENDER_NET_LINK_H

#include <uv.h>

#include "lavender/message.h"
#include "lavender/world.h"

#define LINK_KEY_SIZE 41 /* Z85 text of a CURVE key, NUL included */

typedef struct link_settings {
    lv_id self; /* no connection is made to this instance */
    char bind_address[LV_ADDRESS_SIZE]; /* IP:PORT */
    uint32_t queue_limit;       /* maximum messages queued for one peer */
    lv_time heartbeat_interval; /* interval of heartbeats, which detect
                          dead connections; one is closed after two
                          intervals without an answer */
    bool use_curve;
    char public_key[LINK_KEY_SIZE]; /* one key pair for the whole fleet */
    char secret_key[LINK_KEY_SIZE];
} link_settings;

typedef struct link_counts {
    uint64_t sent;
    uint64_t sent_bytes;
    uint64_t received;
    uint64_t received_bytes;
    uint64_t dropped_full; /* no connection, the peer's queue is full, or the
                              message could not be encoded */
    uint64_t dropped_malformed;        /* could not be decoded */
    uint64_t dropped_unknown_receiver; /* the receiver has no known address */
    uint64_t refused_keys;      /* connections whose key is not the fleet's */
    uint64_t closed_incomplete; /* connections closed because incomplete
                                   messages took too much memory */
} link_counts;

/* Receives a decoded message, which is valid during the call only. */
typedef void link_on_message(void *context, const msg_message *message);

typedef struct link_peer link_peer;
typedef struct link_inbound link_inbound;

typedef struct link_transport {
    uv_loop_t *loop;
    link_settings settings;
    void *zmq;           /* ZeroMQ context */
    void *router;        /* socket that receives from all peers */
    void *authenticator; /* ZAP socket that checks clients' keys; NULL without
                            CURVE */
    uv_poll_t poll;
    uv_poll_t authenticator_poll;
    uv_prepare_t prepare; /* reads each iteration: the descriptor of a
                             ZeroMQ socket is edge-triggered and may not signal
                             again while messages are queued */
    uv_idle_t idle;       /* keeps the loop from blocking while messages are
                             queued */
    bool is_idle_active;
    link_peer *peers;
    uint32_t peer_count;
    uint32_t learned_count; /* peers learned and not in the lists yet */
    void *monitor; /* socket that tells which connections peers open and close;
                      NULL with CURVE */
    uv_timer_t inbound_timer;
    link_inbound *inbound;  /* these connections, by descriptor */
    uint32_t inbound_count; /* of descriptors */
    uint32_t next_examined;
    uint16_t port; /* of the router socket, in network byte order */
    link_on_message *on_message;
    void *context;
    msg_buffer buffer;
    link_counts counts;
} link_transport;

/* Up to this many listed instances, link_set_lists connects to all of them. In
 * larger fleets link_send connects at the first message to a peer; that
 * message may be lost. */
#define LINK_EAGER_PEERS_MAX 64

/* Maximum number of peers that are not in the lists and whose address was
 * learned from their own messages. */
#define LINK_LEARNED_PEERS_MAX 16

/* Opens the sockets and starts receiving; on_message is called with context
 * for each message. Returns false and fills in error on failure; the
 * sockets are closed then. */
bool link_init(link_transport *link, uv_loop_t *loop,
               const link_settings *settings, link_on_message *on_message,
               void *context, err_error *error);

/* Closes the sockets. The loop must run once more before the memory of link is
 * freed. */
void link_finish(link_transport *link);

/* Takes the peers' addresses from the lists. Closes connections to peers that
 * are no longer listed or have a new address, and forgets learned peers.
 * When out of memory, the peers stay as they are. */
void link_set_lists(link_transport *link, const lists_snapshot *lists);

/* Sends a message, best effort: never blocks. A message that cannot be queued
 * is dropped and counted. */
void link_send(link_transport *link, lv_id to, const msg_message *message);

/* Generates a CURVE key pair (Z85 text). */
bool link_generate_keys(char public_key[LINK_KEY_SIZE],
                        char secret_key[LINK_KEY_SIZE], err_error *error);

#endif
