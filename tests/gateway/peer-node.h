/*
 * The state of one instance without a socket or an event loop, for tests that
 * deliver the datagrams themselves. It has one engine, "e", whose id is 7.
 */
#ifndef PEER_NODE_H
#define PEER_NODE_H

#include "lavender-gateway/peers.h"

typedef struct peer_node {
    eng_table endpoints;
    shr_shares shares;
    peers_state peers;
    struct sockaddr_in address;
    lv_handle endpoint;
} peer_node;

/* Address and incarnation derive from `number`. */
void peer_node_start(peer_node *node, int number);
void peer_node_stop(peer_node *node);

/* Adds a peer that stays live for the whole test and reaches the store. */
void peer_node_join(peers_state *peers, const struct sockaddr_in *address,
                    lv_id zone);

#endif
