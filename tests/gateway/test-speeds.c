/*
 * Estimated speeds of endpoints in datagrams, without a network: samples reach
 * the coordinator, and its estimate the other instances.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "peer-node.h"

#define NODES 4
#define NOW (50 * LV_SECOND)
#define SETTING 30.0
#define LARGE_FLEET_LIVE 100

static peer_node nodes[NODES];
static lv_time now;

static void
start(void)
{
    now = NOW;
    for (int i = 0; i < NODES; i++) {
        peer_node_start(&nodes[i], i);
        nodes[i].endpoints.settings.learn_speed_slots = 16;
        nodes[i].peers.can_coordinate = true;
    }
}

static void
stop(void)
{
    for (int i = 0; i < NODES; i++) {
        peer_node_stop(&nodes[i]);
    }
}

TestSuite(speeds, .init = start, .fini = stop);

static void
send_to(peer_node *from, peer_node *to, peers_datagram_kind kind)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write_datagram(&from->peers, kind, now, &datagram);
    cr_assert(peers_receive(&to->peers, &from->address, datagram.data,
                            datagram.size, now));
    buf_finish(&datagram);
}

static void
broadcast(peers_datagram_kind kind)
{
    for (int i = 0; i < NODES; i++) {
        for (int k = 0; k < NODES; k++) {
            if (i != k) {
                send_to(&nodes[i], &nodes[k], kind);
            }
        }
    }
}

/* Runs a request at a node's engine at a rate in tokens per ms. */
static void
run(peer_node *node, double rate)
{
    eng_prompt prompt = {.tokens = 6000,
                         .output_tokens = 10,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    lv_time time = (lv_time)(6000 / rate * LV_MILLISECOND);
    eng_reservation use;

    eng_start_request(&node->endpoints, node->endpoint, &prompt, now, &use);
    eng_record_first_token(&node->endpoints, &use,
                           now + time +
                               node->endpoints.settings.first_token_overhead);
    eng_end_request(&node->endpoints, &use, now + time);
}

static double
rate_at(const peer_node *node)
{
    return eng_prefill_rate(&node->endpoints,
                            eng_at(&node->endpoints, node->endpoint));
}

Test(speeds, samples_of_peers_count_in_a_small_fleet)
{
    broadcast(PEERS_FULL);
    for (int i = 1; i < NODES; i++) {
        run(&nodes[i], 12);
        send_to(&nodes[i], &nodes[0], PEERS_UPDATES);
    }
    cr_expect_float_eq(rate_at(&nodes[0]), 12, 0.5, "%.1f",
                       rate_at(&nodes[0]));
}

Test(speeds, repeated_report_is_one_sample)
{
    broadcast(PEERS_FULL);
    run(&nodes[1], 12);
    for (int i = 0; i < 5; i++) {
        send_to(&nodes[1], &nodes[0], PEERS_FULL);
    }
    cr_expect_eq(
        eng_at(&nodes[0].endpoints, nodes[0].endpoint)->speed.sample_count, 1);
    cr_expect_float_eq(rate_at(&nodes[0]), SETTING, 0.1);
}

Test(speeds, coordinator_tells_its_estimate_and_the_next_goes_on_from_it)
{
    peer_node *coordinator = NULL;

    for (int i = 0; i < NODES; i++) {
        nodes[i].peers.max_live_count = LARGE_FLEET_LIVE;
    }
    broadcast(PEERS_SUMS);
    for (int i = 0; i < NODES; i++) {
        if (peers_is_coordinator(&nodes[i].peers, 7)) {
            coordinator = &nodes[i];
        }
    }
    cr_assert_not_null(coordinator);
    for (int i = 0; i < NODES; i++) {
        if (&nodes[i] != coordinator) {
            run(&nodes[i], 12);
            send_to(&nodes[i], coordinator, PEERS_UPDATES);
        }
    }
    cr_expect_float_eq(rate_at(coordinator), 12, 0.5);
    for (int i = 0; i < NODES; i++) {
        if (&nodes[i] != coordinator) {
            send_to(coordinator, &nodes[i], PEERS_SUMS);
            cr_expect_float_eq(rate_at(&nodes[i]), rate_at(coordinator), 0.01);
            run(&nodes[i], 60);
            cr_expect_float_eq(rate_at(&nodes[i]), rate_at(coordinator), 0.01,
                               "the coordinator's estimate counts");
        }
    }
}

Test(speeds, nothing_is_told_of_endpoints_with_more_slots)
{
    for (int i = 0; i < NODES; i++) {
        nodes[i].endpoints.settings.learn_speed_slots = 4;
    }
    broadcast(PEERS_FULL);
    for (int i = 1; i < NODES; i++) {
        run(&nodes[i], 12);
        send_to(&nodes[i], &nodes[0], PEERS_UPDATES);
    }
    cr_expect_float_eq(rate_at(&nodes[0]), SETTING, 0.01);
}
