/*
 * Coordinators of endpoints and accounts in a large fleet, without a network:
 * their selection, start requests, and the sums that they broadcast.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "peer-node.h"

#define NODES 3
#define NOW (50 * LV_SECOND)
#define KEY_COUNT 100
#define UPDATE_INTERVAL (100 * LV_MILLISECOND)
#define LARGE_FLEET_LIVE 100 /* live peers, well above the threshold */

typedef struct test_node {
    peer_node base;
    uint32_t replies;
    peers_start_reply reply; /* the latest */
    bool is_granting;
} test_node;

static test_node nodes[NODES];
static lv_time now;

static bool
deliver(peers_state *peers, const buf_buffer *datagram,
        const struct sockaddr_in *address)
{
    for (int i = 0; i < NODES; i++) {
        if (nodes[i].base.address.sin_port == address->sin_port) {
            peers_receive(&nodes[i].base.peers, &peers->settings.bind,
                          datagram->data, datagram->size, now);
        }
    }
    return true;
}

static void
on_start_request(void *owner, lv_handle endpoint,
                 const peers_start_request *request, peers_start_reply *reply)
{
    test_node *node = owner;

    reply->is_granted = node->is_granting;
    reply->uncached_tokens = request->prompt.tokens;
    reply->service_time = 3 * LV_MILLISECOND;
    eng_summarize(&node->base.endpoints, endpoint, now, &reply->summary);
}

static void
on_start_reply(void *owner, const peers_start_reply *reply)
{
    test_node *node = owner;

    node->replies++;
    node->reply = *reply;
}

static void
start_node(test_node *node, int number)
{
    memset(node, 0, sizeof *node);
    peer_node_start(&node->base, number);
    node->base.peers.settings.interval = 40 * LV_MILLISECOND;
    node->base.peers.max_live_count = LARGE_FLEET_LIVE;
    node->base.peers.can_coordinate = true;
    node->base.peers.send = deliver;
    node->base.peers.on_start_request = on_start_request;
    node->base.peers.on_start_reply = on_start_reply;
    node->base.peers.owner = node;
    node->is_granting = true;
}

/* Delivers a datagram to all other nodes. */
static void
broadcast(test_node *from, peers_datagram_kind kind)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write_datagram(&from->base.peers, kind, now, &datagram);
    for (int i = 0; i < NODES; i++) {
        if (&nodes[i] != from) {
            peers_receive(&nodes[i].base.peers, &from->base.address,
                          datagram.data, datagram.size, now);
        }
    }
    buf_finish(&datagram);
}

static void
broadcast_sums(void)
{
    for (int i = 0; i < NODES; i++) {
        broadcast(&nodes[i], PEERS_SUMS);
    }
}

static void
start(void)
{
    now = NOW;
    for (int i = 0; i < NODES; i++) {
        start_node(&nodes[i], i);
    }
    broadcast_sums();
}

static void
stop(void)
{
    for (int i = 0; i < NODES; i++) {
        peer_node_stop(&nodes[i].base);
    }
}

TestSuite(coordinators, .init = start, .fini = stop);

static test_node *
coordinator_of(lv_id key)
{
    test_node *found = NULL;

    for (int i = 0; i < NODES; i++) {
        if (peers_is_coordinator(&nodes[i].base.peers, key)) {
            cr_assert_null(found, "two coordinators of %llu",
                           (unsigned long long)key);
            found = &nodes[i];
        }
    }
    cr_assert_not_null(found, "no coordinator of %llu",
                       (unsigned long long)key);
    return found;
}

/* A node that is not the coordinator. */
static test_node *
node_other_than(const test_node *coordinator)
{
    return coordinator == &nodes[0] ? &nodes[1] : &nodes[0];
}

static uint32_t
in_flight_at(const test_node *node)
{
    return eng_in_flight(eng_at(&node->base.endpoints, node->base.endpoint));
}

static lv_time
wait_at(const test_node *node)
{
    eng_prompt prompt = {.tokens = 1,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_prediction prediction;

    eng_predict(&node->base.endpoints, node->base.endpoint, &prompt, now,
                &prediction);
    return prediction.wait;
}

static struct sockaddr_in last_address; /* of the latest start request */

static bool
request_start(test_node *from, uint32_t number)
{
    peers_start_request request = {
        .number = number,
        .endpoint = 7,
        .target = 400 * LV_MILLISECOND,
        .prompt = {.tokens = 3000,
                   .affinity = LV_HANDLE_NONE,
                   .secondary_affinity = LV_HANDLE_NONE}};

    eng_add_block(&request.prompt, 5, 3000);
    return peers_request_start(&from->base.peers, &request, false, now,
                               &last_address);
}

static bool
is_address_of(const struct sockaddr_in *address, const test_node *node)
{
    return address->sin_port == node->base.address.sin_port;
}

static void
start_granted(test_node *node, eng_reservation *use)
{
    eng_prompt prompt = {.tokens = 3000,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_prediction prediction = {.uncached_tokens =
                                     node->reply.uncached_tokens};

    eng_start_predicted(&node->base.endpoints, node->base.endpoint, &prompt,
                        &prediction, now, use);
}

static void
send_updates(test_node *node)
{
    now += UPDATE_INTERVAL;
    peers_send_due(&node->base.peers, now);
}

Test(coordinators, every_key_has_one)
{
    uint32_t counts[NODES] = {0};

    for (lv_id key = 1; key <= KEY_COUNT; key++) {
        counts[coordinator_of(map_mix(key)) - nodes]++;
    }
    for (int i = 0; i < NODES; i++) {
        cr_expect_gt(counts[i], KEY_COUNT / NODES / 2,
                     "node %d coordinates %u", i, counts[i]);
    }
}

Test(coordinators, instance_without_endpoint_list_is_none)
{
    test_node *before = coordinator_of(7);

    before->base.peers.can_coordinate = false;
    broadcast_sums();
    cr_expect_neq(coordinator_of(7), before);
}

Test(coordinators, small_fleet_sends_no_start_requests)
{
    test_node *sender = node_other_than(coordinator_of(7));

    sender->base.peers.max_live_count = 5;
    cr_expect_not(request_start(sender, 1));
}

Test(coordinators, granted_request_counts_once)
{
    test_node *coordinator = coordinator_of(7);
    test_node *sender = node_other_than(coordinator);
    lv_time wait;
    eng_reservation use;

    cr_assert(request_start(sender, 5));
    cr_assert_eq(sender->replies, 1);
    cr_expect_eq(sender->reply.number, 5);
    cr_expect(sender->reply.is_granted);
    cr_expect_eq(sender->reply.service_time, 3 * LV_MILLISECOND);
    cr_expect_eq(in_flight_at(coordinator), 1, "before its sender reports it");
    wait = wait_at(coordinator);
    cr_expect_eq(wait, 100 * LV_MILLISECOND, "%llu us",
                 (unsigned long long)wait);
    start_granted(sender, &use);
    send_updates(sender);
    cr_expect_eq(in_flight_at(coordinator), 1);
    cr_expect_eq(wait_at(coordinator), wait - UPDATE_INTERVAL,
                 "the prompt is not counted twice");
    eng_end_request(&sender->base.endpoints, &use, now);
    send_updates(sender);
    cr_expect_eq(in_flight_at(coordinator), 0);
}

Test(coordinators, unused_grant_expires)
{
    test_node *coordinator = coordinator_of(7);

    cr_assert(request_start(node_other_than(coordinator), 1));
    cr_expect_eq(in_flight_at(coordinator), 1);
    now += 4 * LV_SECOND;
    broadcast_sums();
    peers_expire(&coordinator->base.peers, now);
    cr_expect_eq(in_flight_at(coordinator), 0);
}

Test(coordinators, denial_carries_load)
{
    test_node *coordinator = coordinator_of(7);
    test_node *sender = node_other_than(coordinator);
    eng_prompt prompt = {.tokens = 6000,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_reservation use;

    coordinator->is_granting = false;
    eng_start_request(&coordinator->base.endpoints, coordinator->base.endpoint,
                      &prompt, now, &use);
    cr_expect_eq(wait_at(sender), 0);
    cr_assert(request_start(sender, 1));
    cr_expect_not(sender->reply.is_granted);
    cr_expect_eq(in_flight_at(sender), 1);
    cr_expect_eq(wait_at(sender), 200 * LV_MILLISECOND);
    cr_expect_eq(in_flight_at(coordinator), 1,
                 "the denied request does not count");
}

Test(coordinators, unresponsive_one_is_skipped_during_backoff)
{
    test_node *coordinator = coordinator_of(7);
    test_node *sender = node_other_than(coordinator);
    bool is_sent;

    coordinator->base.peers.on_start_request = NULL; /* as if it were paused */
    cr_assert(request_start(sender, 1));
    cr_assert(is_address_of(&last_address, coordinator));
    for (int i = 0; i < 3; i++) { /* several requests timed out */
        struct sockaddr_in silent = coordinator->base.address;

        peers_note_unanswered(&sender->base.peers, &silent, now);
    }
    coordinator->base.peers.on_start_request = on_start_request;
    is_sent = request_start(sender, 1);
    cr_expect(!is_sent || !is_address_of(&last_address, coordinator));
    cr_expect_eq(in_flight_at(coordinator), 0);
    cr_expect_eq(sender->replies, is_sent,
                 "the next candidate replies, unless it is the sender");
    now += 2 * LV_SECOND;
    broadcast_sums();
    cr_assert(request_start(sender, 2));
    cr_expect_eq(in_flight_at(coordinator), 1);
}

Test(coordinators, summaries_are_broadcast_and_expire)
{
    test_node *coordinator = coordinator_of(7);
    test_node *other = node_other_than(coordinator);
    eng_prompt prompt = {.tokens = 9000,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_reservation use;

    eng_start_request(&coordinator->base.endpoints, coordinator->base.endpoint,
                      &prompt, now, &use);
    broadcast_sums();
    cr_expect_eq(in_flight_at(other), 1);
    cr_expect_eq(wait_at(other), 300 * LV_MILLISECOND);
    now += 100 * LV_MILLISECOND;
    cr_expect_eq(wait_at(other), 300 * LV_MILLISECOND,
                 "others keep sending requests there");
    now += 3 * LV_SECOND;
    peers_expire(&other->base.peers, now);
    cr_expect_eq(in_flight_at(other), 0);
    cr_expect_eq(wait_at(other), 0);
}

Test(coordinators, account_sums_are_broadcast)
{
    lv_id id = 55;
    test_node *coordinator = coordinator_of(id);

    for (int i = 0; i < NODES; i++) {
        lv_handle account = shr_find_or_add(&nodes[i].base.shares, id);

        send_updates(&nodes[i]); /* baseline of later totals */
        shr_add_requested(&nodes[i].base.shares, account, 30, now);
        shr_add_served(&nodes[i].base.shares, account, 20, now);
        send_updates(&nodes[i]);
    }
    broadcast(coordinator, PEERS_SUMS);
    for (int i = 0; i < NODES; i++) {
        lv_handle account = shr_find_or_add(&nodes[i].base.shares, id);

        cr_expect_eq(shr_served(&nodes[i].base.shares, account, now),
                     NODES * 20, "node %d: %llu", i,
                     (unsigned long long)shr_served(&nodes[i].base.shares,
                                                    account, now));
    }
}

/* When an account had another coordinator in the meantime, the totals that
 * arrive next must not count as used in the current window. */
Test(coordinators, expired_totals_are_replaced_by_new_baseline)
{
    lv_id id = 55;
    test_node *coordinator = coordinator_of(id);
    test_node *other = node_other_than(coordinator);
    lv_handle account = shr_find_or_add(&other->base.shares, id);

    shr_add_served(&other->base.shares, account, 20, now);
    send_updates(other);
    now += 10 * LV_SECOND;
    broadcast_sums();
    shr_add_served(&other->base.shares, account, 1000, now);
    send_updates(other);
    cr_expect_eq(shr_served(&coordinator->base.shares,
                            shr_find_or_add(&coordinator->base.shares, id),
                            now),
                 0);
}

/* More peers than one datagram can list. */
static void
add_many_peers(test_node *node)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write_datagram(&nodes[1].base.peers, PEERS_SUMS, now, &datagram);
    for (int i = 0; i < 20; i++) {
        struct sockaddr_in address;

        uv_ip4_addr("127.0.0.1", 9100 + i, &address);
        cr_assert(peers_receive(&node->base.peers, &address, datagram.data,
                                datagram.size, now));
    }
    buf_finish(&datagram);
}

/* With 62 peers, the control traffic of an instance is limited to 9 KB/s. Sums
 * go to each peer every 310 ms, so most of these datagrams must fit in 45
 * bytes, without addresses. */
Test(coordinators, sums_are_short_unless_a_peer_joined)
{
    uint32_t with_addresses = 0;

    add_many_peers(&nodes[0]);
    now += 10 * LV_SECOND;
    for (int i = 0; i < 32; i++) {
        buf_buffer datagram;

        buf_init(&datagram);
        peers_write_datagram(&nodes[0].base.peers, PEERS_SUMS, now, &datagram);
        with_addresses += datagram.size > 45;
        buf_finish(&datagram);
    }
    cr_expect_leq(with_addresses, 4, "%u of 32 list addresses",
                  with_addresses);
    cr_expect_geq(with_addresses, 1, "missed peers are never found");
}
