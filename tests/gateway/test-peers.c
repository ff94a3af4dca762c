/*
 * Datagrams between two instances, without a network: totals that make up for
 * lost datagrams, restarts, the silence timeout, and malformed datagrams.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "peer-node.h"

#define NODES 2
#define NOW (50 * LV_SECOND)

static peer_node nodes[NODES];

static void
start(void)
{
    for (int i = 0; i < NODES; i++) {
        peer_node_start(&nodes[i], i);
    }
}

static void
stop(void)
{
    for (int i = 0; i < NODES; i++) {
        peer_node_stop(&nodes[i]);
    }
}

TestSuite(peers, .init = start, .fini = stop);

static void
send_datagram(bool is_full, bool is_lost, lv_time now)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write_datagram(&nodes[0].peers, is_full ? PEERS_FULL : PEERS_UPDATES,
                         now, &datagram);
    if (!is_lost) {
        cr_assert(peers_receive(&nodes[1].peers, &nodes[0].address,
                                datagram.data, datagram.size, now));
    }
    buf_finish(&datagram);
}

static void
begin_request(uint32_t tokens, eng_reservation *use)
{
    eng_prompt prompt = {.tokens = tokens,
                         .output_tokens = 10,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_start_request(&nodes[0].endpoints, nodes[0].endpoint, &prompt, NOW,
                      use);
}

static uint32_t
known_in_flight(void)
{
    return eng_in_flight(eng_at(&nodes[1].endpoints, nodes[1].endpoint));
}

Test(peers, updates_carry_requests_in_flight)
{
    eng_reservation uses[2];

    send_datagram(true, false, NOW);
    begin_request(1000, &uses[0]);
    begin_request(1000, &uses[1]);
    send_datagram(false, false, NOW);
    cr_expect_eq(known_in_flight(), 2);
    cr_expect_gt(eng_at(&nodes[1].endpoints, nodes[1].endpoint)->prefill_until,
                 NOW);
    eng_end_request(&nodes[0].endpoints, &uses[0], NOW);
    send_datagram(false, false, NOW);
    cr_expect_eq(known_in_flight(), 1);
}

Test(peers, full_report_makes_up_for_lost_datagram)
{
    eng_reservation use;

    send_datagram(true, false, NOW);
    begin_request(1000, &use);
    send_datagram(false, true, NOW);
    cr_expect_eq(known_in_flight(), 0);
    send_datagram(true, false, NOW);
    cr_expect_eq(known_in_flight(), 1);
}

Test(peers, silence_timeout_removes_load_of_peer)
{
    eng_reservation use;

    begin_request(1000, &use);
    send_datagram(true, false, NOW);
    cr_expect_eq(known_in_flight(), 1);
    peers_expire(&nodes[1].peers, NOW + 2 * LV_SECOND);
    cr_expect_eq(known_in_flight(), 0);
    cr_expect_eq(nodes[1].peers.live_count, 0);
    cr_expect_eq(peers_max_instances(&nodes[1].peers), 2,
                 "a silent peer may still be serving");
    send_datagram(true, false, NOW + 3 * LV_SECOND);
    cr_expect_eq(known_in_flight(), 1, "the peer is reachable again");
}

Test(peers, restart_of_peer_removes_its_load)
{
    eng_reservation use;

    begin_request(1000, &use);
    send_datagram(true, false, NOW);
    peer_node_stop(&nodes[0]);
    peer_node_start(&nodes[0], 0);
    nodes[0].peers.incarnation = 999;
    send_datagram(true, false, NOW);
    cr_expect_eq(known_in_flight(), 0);
}

Test(peers, republished_endpoint_starts_without_load)
{
    eng_spec spec = {.id = 7, .service = 1, .slots = 8, .name = "e"};
    eng_reservation use;

    begin_request(1000, &use);
    send_datagram(true, false, NOW);
    eng_withdraw(&nodes[1].endpoints, 7);
    nodes[1].endpoint = eng_publish(&nodes[1].endpoints, &spec);
    eng_end_request(&nodes[0].endpoints, &use, NOW);
    send_datagram(true, false, NOW);
    cr_expect_eq(known_in_flight(), 0);
}

Test(peers, stale_and_malformed_datagrams_are_rejected)
{
    buf_buffer first;
    static const char *const malformed[] = {"", "x", "\x93\x01\x02\x03",
                                            "\xdd\xff\xff\xff\xff"};

    buf_init(&first);
    peers_write_datagram(&nodes[0].peers, PEERS_FULL, NOW, &first);
    send_datagram(true, false, NOW);
    cr_expect_not(peers_receive(&nodes[1].peers, &nodes[0].address, first.data,
                                first.size, NOW));
    buf_finish(&first);
    for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++) {
        cr_expect_not(peers_receive(&nodes[1].peers, &nodes[0].address,
                                    malformed[i], strlen(malformed[i]), NOW));
    }
}

Test(peers, account_totals_count_once)
{
    lv_handle account = shr_find_or_add(&nodes[0].shares, 5);
    lv_handle known;

    shr_add_served(&nodes[0].shares, account, 100, NOW);
    send_datagram(true, false, NOW);
    shr_add_served(&nodes[0].shares, account, 50, NOW);
    send_datagram(true, false, NOW);
    send_datagram(true, false, NOW);
    known = shr_find_or_add(&nodes[1].shares, 5);
    cr_expect_eq(shr_served(&nodes[1].shares, known, NOW), 50,
                 "the first report is the baseline to count from");
}

Test(peers, new_account_counts_in_full)
{
    lv_handle account;
    lv_handle known;

    send_datagram(true, false, NOW);
    account = shr_find_or_add(&nodes[0].shares, 6);
    shr_add_served(&nodes[0].shares, account, 100, NOW);
    send_datagram(false, false, NOW);
    send_datagram(true, false, NOW);
    known = shr_find_or_add(&nodes[1].shares, 6);
    cr_expect_eq(shr_served(&nodes[1].shares, known, NOW), 100);
}

Test(peers, updates_carry_cached_prompt_blocks)
{
    eng_prompt prompt = {.tokens = 100,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_add_block(&prompt, 1, 60);
    peers_report_block_use(&nodes[0].peers, nodes[0].endpoint,
                           prompt.blocks[0].prefix_hash);
    send_datagram(false, false, NOW);
    cr_expect_eq(
        eng_cached_tokens(&nodes[1].endpoints, nodes[1].endpoint, &prompt),
        60);
}

/* An instance that just started must not count the totals of a long-running
 * peer as prompt tokens that still wait to be processed. */
Test(peers, totals_before_first_full_report_are_baseline)
{
    eng_reservation use;

    for (int i = 0; i < 100; i++) {
        begin_request(10000, &use);
        eng_end_request(&nodes[0].endpoints, &use, NOW);
    }
    send_datagram(false, false, NOW);
    cr_expect_leq(
        eng_at(&nodes[1].endpoints, nodes[1].endpoint)->prefill_until, NOW);
    send_datagram(true, false, NOW);
    begin_request(3000, &use);
    send_datagram(false, false, NOW);
    cr_expect_eq(eng_at(&nodes[1].endpoints, nodes[1].endpoint)->prefill_until,
                 NOW + 100 * LV_MILLISECOND);
}

/* At least half of the instances miss the store: then it, and not their way
 * to it, is taken to be down. */
Test(peers, store_is_unreachable_when_half_of_the_instances_miss_it)
{
    static const struct {
        uint32_t peers;
        uint32_t peers_missing;
        bool is_reachable_here;
        bool is_unreachable;
    } cases[] = {
        {0, 0, true, false},  {0, 0, false, true}, {1, 0, true, false},
        {1, 0, false, true},  {1, 1, true, true},  {1, 1, false, true},
        {2, 0, false, false}, {2, 1, true, false}, {2, 1, false, true},
        {3, 1, false, true},  {3, 1, true, false}, {3, 2, true, true},
        {6, 3, true, false},  {6, 3, false, true}, {7, 3, false, true},
        {7, 3, true, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        peers_peer rows[8] = {0};
        peers_state state = {.peers = rows,
                             .count = cases[i].peers + 1,
                             .live_count = cases[i].peers,
                             .is_store_reachable = cases[i].is_reachable_here};

        for (uint32_t k = 0; k < cases[i].peers; k++) {
            rows[k].is_live = true;
            rows[k].is_store_reachable = k >= cases[i].peers_missing;
        }
        cr_expect_eq(peers_is_store_unreachable(&state),
                     cases[i].is_unreachable, "case %zu", i);
    }
}

/* A loop that is late finds the datagrams of its peers unread, so their
 * silence is its own. */
Test(peers, silence_while_the_loop_is_late_does_not_count)
{
    static const struct {
        lv_time tick;   /* interval between ticks */
        uint32_t ticks; /* without a datagram */
        bool is_lost;
    } cases[] = {
        {20 * LV_MILLISECOND, 30, false}, {20 * LV_MILLISECOND, 60, true},
        {150 * LV_MILLISECOND, 8, false}, {150 * LV_MILLISECOND, 20, true},
        {700 * LV_MILLISECOND, 8, false}, {700 * LV_MILLISECOND, 20, true},
        {5 * LV_SECOND, 1, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        lv_time now = NOW;

        stop();
        start();
        peers_expire(&nodes[1].peers, now);
        send_datagram(true, false, now);
        for (uint32_t k = 0; k < cases[i].ticks; k++) {
            now += cases[i].tick;
            peers_expire(&nodes[1].peers, now);
        }
        cr_expect_eq(nodes[1].peers.live_count, cases[i].is_lost ? 0 : 1,
                     "case %zu", i);
        /* once it runs in time again, silence counts */
        for (uint32_t k = 0; k < 60; k++) {
            now += 20 * LV_MILLISECOND;
            peers_expire(&nodes[1].peers, now);
        }
        cr_expect_eq(nodes[1].peers.live_count, 0, "case %zu", i);
    }
}

static uint64_t heard_era;

static void
hear_era(void *owner, uint64_t store_era)
{
    peers_state *peers = owner;

    heard_era = store_era;
    peers->store_era = store_era;
}

/* An instance that the store turns away follows the era that others name. */
Test(peers, datagrams_name_the_era_of_the_store)
{
    static const struct {
        uint64_t known;
        uint64_t named;
        uint64_t heard; /* 0: nothing new */
    } cases[] = {{0, 0, 0}, {0, 3, 3}, {3, 3, 0}, {3, 4, 4}, {4, 3, 0}};

    nodes[1].peers.owner = &nodes[1].peers;
    nodes[1].peers.on_store_era = hear_era;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        heard_era = 0;
        nodes[0].peers.store_era = cases[i].named;
        nodes[1].peers.store_era = cases[i].known;
        send_datagram(true, false, NOW);
        cr_expect_eq(heard_era, cases[i].heard, "case %zu", i);
    }
}
