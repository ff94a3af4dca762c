/*
 * What instances tell each other, without a network: totals that make lost
 * datagrams good, restarts, silence, and foreign bytes.
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
tell(bool is_full, bool is_lost, lv_time now)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write(&nodes[0].peers, is_full ? PEERS_FULL : PEERS_NEWS, now,
                &datagram);
    if (!is_lost) {
        cr_assert(peers_take(&nodes[1].peers, &nodes[0].address, datagram.data,
                             datagram.size, now));
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
seen_in_flight(void)
{
    return eng_in_flight(eng_at(&nodes[1].endpoints, nodes[1].endpoint));
}

Test(peers, what_is_in_flight_is_known_to_the_others)
{
    eng_reservation uses[2];

    tell(true, false, NOW);
    begin_request(1000, &uses[0]);
    begin_request(1000, &uses[1]);
    tell(false, false, NOW);
    cr_expect_eq(seen_in_flight(), 2);
    cr_expect_gt(eng_at(&nodes[1].endpoints, nodes[1].endpoint)->prefill_until,
                 NOW);
    eng_end_request(&nodes[0].endpoints, &uses[0], NOW);
    tell(false, false, NOW);
    cr_expect_eq(seen_in_flight(), 1);
}

Test(peers, a_lost_datagram_is_made_good_by_a_full_one)
{
    eng_reservation use;

    tell(true, false, NOW);
    begin_request(1000, &use);
    tell(false, true, NOW);
    cr_expect_eq(seen_in_flight(), 0);
    tell(true, false, NOW);
    cr_expect_eq(seen_in_flight(), 1);
}

Test(peers, a_silent_peer_takes_its_requests_with_it)
{
    eng_reservation use;

    begin_request(1000, &use);
    tell(true, false, NOW);
    cr_expect_eq(seen_in_flight(), 1);
    peers_expire(&nodes[1].peers, NOW + 2 * LV_SECOND);
    cr_expect_eq(seen_in_flight(), 0);
    cr_expect_eq(nodes[1].peers.live_count, 0);
    cr_expect_eq(peers_max_instances(&nodes[1].peers), 2,
                 "it may still be serving");
    tell(true, false, NOW + 3 * LV_SECOND);
    cr_expect_eq(seen_in_flight(), 1, "back after a cut");
}

Test(peers, a_restarted_peer_begins_anew)
{
    eng_reservation use;

    begin_request(1000, &use);
    tell(true, false, NOW);
    peer_node_stop(&nodes[0]);
    peer_node_start(&nodes[0], 0);
    nodes[0].peers.incarnation = 999;
    tell(true, false, NOW);
    cr_expect_eq(seen_in_flight(), 0);
}

Test(peers, an_endpoint_that_is_listed_anew_counts_from_nothing)
{
    eng_spec spec = {.id = 7, .service = 1, .slots = 8, .name = "e"};
    eng_reservation use;

    begin_request(1000, &use);
    tell(true, false, NOW);
    eng_withdraw(&nodes[1].endpoints, 7);
    nodes[1].endpoint = eng_publish(&nodes[1].endpoints, &spec);
    eng_end_request(&nodes[0].endpoints, &use, NOW);
    tell(true, false, NOW);
    cr_expect_eq(seen_in_flight(), 0);
}

Test(peers, old_and_foreign_datagrams_change_nothing)
{
    buf_buffer first;
    static const char *const foreign[] = {"", "x", "\x93\x01\x02\x03",
                                          "\xdd\xff\xff\xff\xff"};

    buf_init(&first);
    peers_write(&nodes[0].peers, PEERS_FULL, NOW, &first);
    tell(true, false, NOW);
    cr_expect_not(peers_take(&nodes[1].peers, &nodes[0].address, first.data,
                             first.size, NOW));
    buf_finish(&first);
    for (size_t i = 0; i < sizeof foreign / sizeof foreign[0]; i++) {
        cr_expect_not(peers_take(&nodes[1].peers, &nodes[0].address,
                                 foreign[i], strlen(foreign[i]), NOW));
    }
}

Test(peers, what_accounts_got_elsewhere_counts_once)
{
    lv_handle account = shr_find_or_add(&nodes[0].shares, 5);
    lv_handle seen;

    shr_add_served(&nodes[0].shares, account, 100, NOW);
    tell(true, false, NOW);
    shr_add_served(&nodes[0].shares, account, 50, NOW);
    tell(true, false, NOW);
    tell(true, false, NOW);
    seen = shr_find_or_add(&nodes[1].shares, 5);
    cr_expect_eq(shr_served(&nodes[1].shares, seen, NOW), 50,
                 "the first word of it is the base to count from");
}

Test(peers, news_of_a_new_account_counts_at_once)
{
    lv_handle account;
    lv_handle seen;

    tell(true, false, NOW);
    account = shr_find_or_add(&nodes[0].shares, 6);
    shr_add_served(&nodes[0].shares, account, 100, NOW);
    tell(false, false, NOW);
    tell(true, false, NOW);
    seen = shr_find_or_add(&nodes[1].shares, 6);
    cr_expect_eq(shr_served(&nodes[1].shares, seen, NOW), 100);
}

Test(peers, cached_parts_are_known_to_the_others)
{
    eng_prompt prompt = {.tokens = 100,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_add_block(&prompt, 1, 60);
    peers_report_block_use(&nodes[0].peers, nodes[0].endpoint,
                           prompt.blocks[0].chain);
    tell(false, false, NOW);
    cr_expect_eq(
        eng_cached_tokens(&nodes[1].endpoints, nodes[1].endpoint, &prompt),
        60);
}

/* The receiver has just started and hears news of a peer with a long life:
 * its totals are no work to be done now. */
Test(peers, totals_of_long_ago_are_no_work_for_a_new_instance)
{
    eng_reservation use;

    for (int i = 0; i < 100; i++) {
        begin_request(10000, &use);
        eng_end_request(&nodes[0].endpoints, &use, NOW);
    }
    tell(false, false, NOW);
    cr_expect_leq(
        eng_at(&nodes[1].endpoints, nodes[1].endpoint)->prefill_until, NOW);
    tell(true, false, NOW);
    begin_request(3000, &use);
    tell(false, false, NOW);
    cr_expect_eq(eng_at(&nodes[1].endpoints, nodes[1].endpoint)->prefill_until,
                 NOW + 100 * LV_MILLISECOND);
}
