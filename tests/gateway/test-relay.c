/*
 * Which instances of a large fleet read the store, and which source the others
 * choose when readers fail.
 */
#include <criterion/criterion.h>

#include <openssl/evp.h>

#include "peer-node.h"
#include "peers-imp.h"

#define ZONE 7
#define OTHER_ZONE 8
#define NOW (50 * LV_SECOND)

static void
set_address(struct sockaddr_in *address, int number)
{
    uv_ip4_addr("127.0.0.1", 9000 + number, address);
}

Test(relay, each_zone_has_two_readers)
{
    static const struct {
        int zone_size; /* with the instance itself */
        int others;
        bool is_large;
        int readers;
    } cases[] = {
        {1, 29, true, 1},  {2, 28, true, 2}, {3, 27, true, 2},
        {20, 10, true, 2}, {30, 0, true, 2}, {10, 0, false, 10},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        int readers = 0;

        for (int self = 0; self < cases[i].zone_size; self++) {
            static peer_node node;
            struct sockaddr_in address;
            struct sockaddr_in relay;

            peer_node_start(&node, self);
            node.peers.settings.zone = ZONE;
            for (int k = 0; k < cases[i].zone_size + cases[i].others; k++) {
                if (k != self) {
                    set_address(&address, k);
                    peer_node_join(&node.peers, &address,
                                   k < cases[i].zone_size ? ZONE : OTHER_ZONE);
                }
            }
            node.peers.max_live_count = cases[i].is_large ? 29 : 9;
            readers += peers_choose_reader(&node.peers, NOW, &relay) ==
                       PEERS_READS_ITSELF;
            peer_node_stop(&node);
        }
        cr_expect_eq(readers, cases[i].readers, "case %zu: %d", i, readers);
    }
}

Test(relay, failed_readers_are_passed_over_for_a_while)
{
    static peer_node node;
    struct sockaddr_in address;
    struct sockaddr_in first;
    struct sockaddr_in second;
    int self = -1;

    /* An instance that is no reader. */
    do {
        if (self >= 0) {
            peer_node_stop(&node);
        }
        peer_node_start(&node, ++self);
        node.peers.settings.zone = ZONE;
        node.peers.max_live_count = 29;
        for (int k = 0; k < 30; k++) {
            set_address(&address, k);
            if (k != self) {
                peer_node_join(&node.peers, &address, ZONE);
            }
        }
    } while (peers_choose_reader(&node.peers, NOW, &first) !=
             PEERS_READS_RELAY);
    peers_note_relay_failed(&node.peers, &first, NOW);
    cr_expect_eq(peers_choose_reader(&node.peers, NOW, &second),
                 PEERS_READS_RELAY);
    cr_expect_neq(first.sin_port, second.sin_port);
    peers_note_relay_failed(&node.peers, &second, NOW);
    cr_expect_eq(peers_choose_reader(&node.peers, NOW, &address),
                 PEERS_HAS_NO_READER);
    cr_expect_eq(
        peers_choose_reader(&node.peers, NOW + 4 * LV_SECOND, &address),
        PEERS_READS_RELAY);
    cr_expect_eq(address.sin_port, first.sin_port);
    peer_node_stop(&node);
}

/* The words of readers, by zone; each case is one failure of the store. */
Test(relay, another_zone_or_nobody_reads_when_the_own_readers_cannot)
{
    static const struct {
        const char *name;
        bool is_reached;           /* by readers of the own zone */
        bool is_reached_elsewhere; /* by those of the other zone */
        bool have_failed;          /* relays of the other zone */
        peers_reader reader;
        lv_id zone; /* of the relay */
    } cases[] = {
        {"all reach it", true, true, false, PEERS_READS_RELAY, ZONE},
        {"the own zone does not", false, true, false, PEERS_READS_RELAY,
         OTHER_ZONE},
        {"the other zone does not", true, false, false, PEERS_READS_RELAY,
         ZONE},
        {"none does", false, false, false, PEERS_AWAITS_READER, LV_ID_NONE},
        {"relays elsewhere fail", false, true, true, PEERS_HAS_NO_READER,
         LV_ID_NONE},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        for (int self = 0; self < 4; self++) {
            static peer_node node;
            struct sockaddr_in address;
            struct sockaddr_in relay;
            peers_reader reader;

            peer_node_start(&node, self);
            node.peers.settings.zone = ZONE;
            node.peers.max_live_count = 29;
            for (int k = 0; k < 30; k++) {
                set_address(&address, k);
                if (k != self) {
                    peer_node_join(&node.peers, &address,
                                   k < 15 ? ZONE : OTHER_ZONE);
                }
            }
            for (uint32_t k = 0; k < node.peers.count; k++) {
                peers_peer *peer = &node.peers.peers[k];

                peer->is_store_reachable = peer->zone == ZONE
                                               ? cases[i].is_reached
                                               : cases[i].is_reached_elsewhere;
                if (peer->zone == OTHER_ZONE && cases[i].have_failed) {
                    peer->relay_failed_at = NOW;
                }
            }
            reader = peers_choose_reader(&node.peers, NOW, &relay);
            if (reader != PEERS_READS_ITSELF) {
                cr_expect_eq(reader, cases[i].reader, "%s: %d", cases[i].name,
                             reader);
                cr_expect(reader != PEERS_READS_RELAY ||
                              peers_find(&node.peers, &relay)->zone ==
                                  cases[i].zone,
                          "%s", cases[i].name);
            }
            peer_node_stop(&node);
        }
    }
}
