#include "peer-node.h"

#include <criterion/criterion.h>

#include <string.h>

#include "peers-imp.h"

void
peer_node_start(peer_node *node, int number)
{
    eng_settings settings;
    eng_spec spec = {.id = 7, .service = 1, .slots = 8, .name = "e"};

    memset(node, 0, sizeof *node);
    eng_default_settings(&settings);
    cr_assert(eng_init(&node->endpoints, &settings, NULL));
    shr_init(&node->shares, 4 * LV_SECOND);
    node->endpoint = eng_publish(&node->endpoints, &spec);
    eng_set_service(&node->endpoints, 1, true, 0);
    uv_ip4_addr("127.0.0.1", 9000 + number, &node->address);
    node->peers.settings.bind = node->address;
    node->peers.settings.silence_timeout = LV_SECOND;
    node->peers.settings.forget_timeout = 30 * LV_SECOND;
    node->peers.endpoints = &node->endpoints;
    node->peers.shares = &node->shares;
    node->peers.incarnation = (uint64_t)number + 100;
}

void
peer_node_stop(peer_node *node)
{
    peers_finish(&node->peers);
    shr_finish(&node->shares);
    eng_finish(&node->endpoints);
}

void
peer_node_join(peers_state *peers, const struct sockaddr_in *address,
               lv_id zone)
{
    peers_peer *peer = peers_add(peers, address);

    peer->is_live = true;
    peer->zone = zone;
    peer->received_at = LV_TIME_NEVER / 2;
    peer->is_store_reachable = true;
    peers->live_count++;
}
