/*
 * The store serves some instances and not others, or none: which entries that
 * vanish have expired, and which endpoints have left.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "gate-imp.h"
#include "peer-node.h"
#include "stage.h"

#define ENDPOINTS 2
#define NODES 3

/* Less than the grace of an outage. */
#define SOON_MS 300

static stage_fixture stage;
static peer_node nodes[NODES];

static void
hear_peers(bool is_store_reachable)
{
    for (uint32_t i = 0; i < NODES; i++) {
        buf_buffer datagram;

        nodes[i].peers.is_store_reachable = is_store_reachable;
        buf_init(&datagram);
        peers_write_datagram(&nodes[i].peers, PEERS_FULL, io_now(), &datagram);
        cr_expect(peers_receive(&stage.gate.peers, &nodes[i].address,
                                datagram.data, datagram.size, io_now()));
        buf_finish(&datagram);
    }
}

/* Runs for a while; the peers are heard all the time. */
static void
run_for(uint64_t milliseconds, bool is_store_reachable)
{
    for (uint64_t i = 0; i < milliseconds; i += 100) {
        hear_peers(is_store_reachable);
        stage_run_for(&stage, 100);
    }
}

static uint32_t
count_listed(void)
{
    const eng_table *table = &stage.gate.endpoints;
    uint32_t listed = 0;

    for (uint32_t i = 0; i < table->capacity; i++) {
        listed += table->endpoints[i].is_used && table->endpoints[i].is_listed;
    }
    return listed;
}

typedef struct outage_case {
    const char *name;
    bool is_away_here; /* the store, until the entry has vanished */
    bool do_peers_reach_it;
    uint32_t listed; /* soon after the list lacks an entry */
} outage_case;

static const outage_case cases[] = {
    {"no outage", false, true, 1},
    {"most others miss the store", false, false, 1},
    {"only this instance misses it", true, true, 1},
    {"all miss it", true, false, 2},
};

/* Guards against requests to an endpoint that left, as other instances miss
 * the store; and against dropping all endpoints whose entries expired while it
 * was away. */
Test(partial_outage, an_endpoint_that_left_is_not_taken_for_an_expired_one)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        const outage_case *one = &cases[i];

        for (int j = 0; j < NODES; j++) {
            peer_node_start(&nodes[j], j + 1);
        }
        stage_start(&stage, ENDPOINTS);
        run_for(200, one->do_peers_reach_it);
        if (one->is_away_here) {
            stage.is_store_silent = true;
            stage_cut_store(&stage);
            for (int j = 0;
                 j < 80 && stage.gate.feeds[WIRE_ENDPOINTS].lost_at == 0;
                 j++) {
                run_for(100, one->do_peers_reach_it);
            }
            cr_assert_neq(stage.gate.feeds[WIRE_ENDPOINTS].lost_at, 0);
            run_for(200, one->do_peers_reach_it);
        }
        stage.is_unlisted[1] = true;
        stage.is_store_silent = false;
        stage_advance_revision(&stage);
        if (one->is_away_here) {
            stage_cut_store(&stage);
        }
        for (int j = 0;
             j < 40 && (stage.gate.feeds[WIRE_ENDPOINTS].lost_at != 0 ||
                        stage.gate.feeds[WIRE_ENDPOINTS].position.revision !=
                            stage.revision);
             j++) {
            run_for(100, one->do_peers_reach_it);
        }
        run_for(SOON_MS, one->do_peers_reach_it);
        cr_expect_eq(count_listed(), one->listed, "%s: %u", one->name,
                     count_listed());
        run_for(stage.gate.registry.grace / LV_MILLISECOND + 100,
                one->do_peers_reach_it);
        cr_expect_eq(count_listed(), 1, "%s: %u at last", one->name,
                     count_listed());
        for (int j = 0; j < NODES; j++) {
            peer_node_stop(&nodes[j]);
        }
        stage_stop(&stage);
    }
}
