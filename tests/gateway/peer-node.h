/*
 * What an instance knows, and its peers, without a socket or a loop: for
 * tests that carry the datagrams themselves. It has one engine, "e".
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

/* Numbers tell the nodes' addresses and incarnations apart. */
void peer_node_start(peer_node *self, int number);
void peer_node_stop(peer_node *self);

#endif
