/*
 * Keepers of endpoints and accounts in a large fleet, without a network: who
 * is one, what it is told and asked, and what it tells.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "peer-node.h"

#define NODES 3
#define NOW (50 * LV_SECOND)
#define KEYS 100
#define NEWS_TIME (100 * LV_MILLISECOND)
#define LARGE 100 /* instances, surely a large fleet */

typedef struct node {
    peer_node at;
    uint32_t answers;
    peers_start_reply answer; /* the latest */
    bool grants;
} node;

static node nodes[NODES];
static lv_time now;

static bool
deliver(peers_state *peers, const buf_buffer *datagram,
        const struct sockaddr_in *address)
{
    for (int i = 0; i < NODES; i++) {
        if (nodes[i].at.address.sin_port == address->sin_port) {
            peers_take(&nodes[i].at.peers, &peers->settings.bind,
                       datagram->data, datagram->size, now);
        }
    }
    return true;
}

static void
on_ask(void *owner, lv_handle endpoint, const peers_start_request *ask,
       peers_start_reply *answer)
{
    node *self = owner;

    answer->is_granted = self->grants;
    answer->uncached_tokens = ask->prompt.tokens;
    answer->service_time = 3 * LV_MILLISECOND;
    eng_summarize(&self->at.endpoints, endpoint, now, &answer->summary);
}

static void
on_answer(void *owner, const peers_start_reply *answer)
{
    node *self = owner;

    self->answers++;
    self->answer = *answer;
}

static void
start_node(node *self, int number)
{
    memset(self, 0, sizeof *self);
    peer_node_start(&self->at, number);
    self->at.peers.settings.interval = 40 * LV_MILLISECOND;
    self->at.peers.max_live_count = LARGE;
    self->at.peers.can_coordinate = true;
    self->at.peers.send = deliver;
    self->at.peers.on_start_request = on_ask;
    self->at.peers.on_start_reply = on_answer;
    self->at.peers.owner = self;
    self->grants = true;
}

/* A datagram of every kind that a node sends to all. */
static void
tell(node *from, peers_kind kind)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write(&from->at.peers, kind, now, &datagram);
    for (int i = 0; i < NODES; i++) {
        if (&nodes[i] != from) {
            peers_take(&nodes[i].at.peers, &from->at.address, datagram.data,
                       datagram.size, now);
        }
    }
    buf_finish(&datagram);
}

static void
tell_states(void)
{
    for (int i = 0; i < NODES; i++) {
        tell(&nodes[i], PEERS_STATE);
    }
}

static void
start(void)
{
    now = NOW;
    for (int i = 0; i < NODES; i++) {
        start_node(&nodes[i], i);
    }
    tell_states();
}

static void
stop(void)
{
    for (int i = 0; i < NODES; i++) {
        peer_node_stop(&nodes[i].at);
    }
}

TestSuite(keepers, .init = start, .fini = stop);

static node *
keeper_of(lv_id key)
{
    node *found = NULL;

    for (int i = 0; i < NODES; i++) {
        if (peers_is_coordinator(&nodes[i].at.peers, key)) {
            cr_assert_null(found, "two keepers of %llu",
                           (unsigned long long)key);
            found = &nodes[i];
        }
    }
    cr_assert_not_null(found, "no keeper of %llu", (unsigned long long)key);
    return found;
}

/* A node that does not keep the endpoint. */
static node *
other_than(const node *keeper)
{
    return keeper == &nodes[0] ? &nodes[1] : &nodes[0];
}

static uint32_t
in_flight_at(const node *self)
{
    return eng_in_flight(eng_at(&self->at.endpoints, self->at.endpoint));
}

static lv_time
wait_at(const node *self)
{
    eng_prompt prompt = {.tokens = 1,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_prediction prediction;

    eng_predict(&self->at.endpoints, self->at.endpoint, &prompt, now,
                &prediction);
    return prediction.wait;
}

static struct sockaddr_in asked_at; /* the latest question */

static bool
ask(node *from, uint32_t number)
{
    peers_start_request asked = {
        .number = number,
        .endpoint = 7,
        .target = 400 * LV_MILLISECOND,
        .prompt = {.tokens = 3000,
                   .affinity = LV_HANDLE_NONE,
                   .secondary_affinity = LV_HANDLE_NONE}};

    eng_add_block(&asked.prompt, 5, 3000);
    return peers_request_start(&from->at.peers, &asked, now, &asked_at);
}

static bool
is_at(const struct sockaddr_in *address, const node *self)
{
    return address->sin_port == self->at.address.sin_port;
}

static void
begin_granted(node *self, eng_reservation *use)
{
    eng_prompt prompt = {.tokens = 3000,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_prediction prediction = {.uncached_tokens =
                                     self->answer.uncached_tokens};

    eng_start_predicted(&self->at.endpoints, self->at.endpoint, &prompt,
                        &prediction, now, use);
}

static void
send_news(node *self)
{
    now += NEWS_TIME;
    peers_tell(&self->at.peers, now);
}

Test(keepers, every_key_has_one)
{
    uint32_t kept[NODES] = {0};

    for (lv_id key = 1; key <= KEYS; key++) {
        kept[keeper_of(map_mix(key)) - nodes]++;
    }
    for (int i = 0; i < NODES; i++) {
        cr_expect_gt(kept[i], KEYS / NODES / 2, "node %d keeps %u", i,
                     kept[i]);
    }
}

Test(keepers, who_knows_no_endpoints_is_none)
{
    node *before = keeper_of(7);

    before->at.peers.can_coordinate = false;
    tell_states();
    cr_expect_neq(keeper_of(7), before);
}

Test(keepers, in_a_small_fleet_nobody_is_asked)
{
    node *asker = other_than(keeper_of(7));

    asker->at.peers.max_live_count = 5;
    cr_expect_not(ask(asker, 1));
}

Test(keepers, a_granted_request_counts_once)
{
    node *keeper = keeper_of(7);
    node *asker = other_than(keeper);
    lv_time wait;
    eng_reservation use;

    cr_assert(ask(asker, 5));
    cr_assert_eq(asker->answers, 1);
    cr_expect_eq(asker->answer.number, 5);
    cr_expect(asker->answer.is_granted);
    cr_expect_eq(asker->answer.service_time, 3 * LV_MILLISECOND);
    cr_expect_eq(in_flight_at(keeper), 1, "before its sender tells");
    wait = wait_at(keeper);
    cr_expect_eq(wait, 100 * LV_MILLISECOND, "%llu us",
                 (unsigned long long)wait);
    begin_granted(asker, &use);
    send_news(asker);
    cr_expect_eq(in_flight_at(keeper), 1);
    cr_expect_eq(wait_at(keeper), wait - NEWS_TIME,
                 "its prompt is not read twice");
    eng_end_request(&asker->at.endpoints, &use, now);
    send_news(asker);
    cr_expect_eq(in_flight_at(keeper), 0);
}

Test(keepers, a_grant_that_is_not_used_is_forgotten)
{
    node *keeper = keeper_of(7);

    cr_assert(ask(other_than(keeper), 1));
    cr_expect_eq(in_flight_at(keeper), 1);
    now += 4 * LV_SECOND;
    tell_states();
    peers_expire(&keeper->at.peers, now);
    cr_expect_eq(in_flight_at(keeper), 0);
}

Test(keepers, a_denial_tells_the_queue)
{
    node *keeper = keeper_of(7);
    node *asker = other_than(keeper);
    eng_prompt prompt = {.tokens = 6000,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_reservation use;

    keeper->grants = false;
    eng_start_request(&keeper->at.endpoints, keeper->at.endpoint, &prompt, now,
                      &use);
    cr_expect_eq(wait_at(asker), 0);
    cr_assert(ask(asker, 1));
    cr_expect_not(asker->answer.is_granted);
    cr_expect_eq(in_flight_at(asker), 1);
    cr_expect_eq(wait_at(asker), 200 * LV_MILLISECOND);
    cr_expect_eq(in_flight_at(keeper), 1, "it is not counted");
}

Test(keepers, a_silent_keeper_is_passed_over_for_a_while)
{
    node *keeper = keeper_of(7);
    node *asker = other_than(keeper);
    bool is_asked;

    keeper->at.peers.on_start_request = NULL; /* it is paused */
    cr_assert(ask(asker, 1));
    cr_assert(is_at(&asked_at, keeper));
    for (int i = 0; i < 3; i++) { /* so many requests waited for it */
        struct sockaddr_in silent = keeper->at.address;

        peers_note_unanswered(&asker->at.peers, &silent, now);
    }
    keeper->at.peers.on_start_request = on_ask;
    is_asked = ask(asker, 1);
    cr_expect(!is_asked || !is_at(&asked_at, keeper));
    cr_expect_eq(in_flight_at(keeper), 0);
    cr_expect_eq(asker->answers, is_asked,
                 "the next one is asked, unless it is the asker itself");
    now += 2 * LV_SECOND;
    tell_states();
    cr_assert(ask(asker, 2));
    cr_expect_eq(in_flight_at(keeper), 1);
}

Test(keepers, sums_are_told_to_all_and_forgotten_when_old)
{
    node *keeper = keeper_of(7);
    node *other = other_than(keeper);
    eng_prompt prompt = {.tokens = 9000,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    eng_reservation use;

    eng_start_request(&keeper->at.endpoints, keeper->at.endpoint, &prompt, now,
                      &use);
    tell_states();
    cr_expect_eq(in_flight_at(other), 1);
    cr_expect_eq(wait_at(other), 300 * LV_MILLISECOND);
    now += 100 * LV_MILLISECOND;
    cr_expect_eq(wait_at(other), 300 * LV_MILLISECOND,
                 "others go on sending there");
    now += 3 * LV_SECOND;
    peers_expire(&other->at.peers, now);
    cr_expect_eq(in_flight_at(other), 0);
    cr_expect_eq(wait_at(other), 0);
}

Test(keepers, accounts_are_summed_up)
{
    lv_id id = 55;
    node *keeper = keeper_of(id);

    for (int i = 0; i < NODES; i++) {
        lv_handle account = shr_find_or_add(&nodes[i].at.shares, id);

        send_news(&nodes[i]); /* the base that later totals count from */
        shr_add_requested(&nodes[i].at.shares, account, 30, now);
        shr_add_served(&nodes[i].at.shares, account, 20, now);
        send_news(&nodes[i]);
    }
    tell(keeper, PEERS_STATE);
    for (int i = 0; i < NODES; i++) {
        lv_handle account = shr_find_or_add(&nodes[i].at.shares, id);

        cr_expect_eq(
            shr_served(&nodes[i].at.shares, account, now), NODES * 20,
            "node %d: %llu", i,
            (unsigned long long)shr_served(&nodes[i].at.shares, account, now));
    }
}

/* A keeper takes totals of long ago for no work of now when it was another's
 * turn in between. */
Test(keepers, totals_after_a_pause_are_a_new_base)
{
    lv_id id = 55;
    node *keeper = keeper_of(id);
    node *other = other_than(keeper);
    lv_handle account = shr_find_or_add(&other->at.shares, id);

    shr_add_served(&other->at.shares, account, 20, now);
    send_news(other);
    now += 10 * LV_SECOND;
    tell_states();
    shr_add_served(&other->at.shares, account, 1000, now);
    send_news(other);
    cr_expect_eq(shr_served(&keeper->at.shares,
                            shr_find_or_add(&keeper->at.shares, id), now),
                 0);
}

/* So many others that a datagram has no room to name all of them. */
static void
join_many(node *self)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write(&nodes[1].at.peers, PEERS_STATE, now, &datagram);
    for (int i = 0; i < 20; i++) {
        struct sockaddr_in address;

        uv_ip4_addr("127.0.0.1", 9100 + i, &address);
        cr_assert(peers_take(&self->at.peers, &address, datagram.data,
                             datagram.size, now));
    }
    buf_finish(&datagram);
}

/* With 62 others, an instance has 9 KB a second for all it says: sums go to
 * each every 310 ms, which leaves 45 bytes for most of them. */
Test(keepers, sums_are_short_when_nobody_joins)
{
    uint32_t long_ones = 0;

    join_many(&nodes[0]);
    now += 10 * LV_SECOND;
    for (int i = 0; i < 32; i++) {
        buf_buffer datagram;

        buf_init(&datagram);
        peers_write(&nodes[0].at.peers, PEERS_STATE, now, &datagram);
        long_ones += datagram.size > 45;
        buf_finish(&datagram);
    }
    cr_expect_leq(long_ones, 4, "%u of 32 name others", long_ones);
    cr_expect_geq(long_ones, 1, "who was missed is never found");
}
