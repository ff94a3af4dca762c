#include "gate-imp.h"

/* A change that peers name should arrive here within this time and the pace of
 * the watches; later, its reply is taken for lost. */
#define CHANGE_TIMEOUT (400 * LV_MILLISECOND)

/* Time with the same reader elected. */
#define SETTLE_TIME (1500 * LV_MILLISECOND)

/* Longest wait of a watch at a relay. Peers name changes, so that a silent
 * relay is noticed sooner. */
#define RELAY_WAIT (4 * LV_SECOND)

/* Lower bound of wait_limit. */
#define MIN_WAIT_LIMIT (100 * LV_MILLISECOND)

/* While the list of endpoints changes, it is read this many times within the
 * leave limit. */
#define LIST_READS_PER_LEAVE_LIMIT 3

/* The wait of a watch grows by its base value for every so many live peers,
 * when all of them watch: together they still notice soon that the store is
 * silent. */
#define PEERS_PER_BASE_WAIT 8

/* An instance that loses its relay waits before it reads the store itself, so
 * that not all instances call the store at once. In RELAY_WAIT_TIME the
 * readers' datagrams tell whether they reach the store. If none does, it waits
 * for READER_WAIT_TIME, or until a reader has the store back. */
#define RELAY_WAIT_TIME (700 * LV_MILLISECOND)
#define READER_WAIT_TIME (2 * LV_SECOND)

/* Time between own attempts while no reader reaches the store. */
#define ATTEMPT_INTERVAL (3 * LV_SECOND)

/* Attempts are spread over this time. */
#define ATTEMPT_SPREAD LV_SECOND

static unsigned long long
to_ms(lv_time time)
{
    return (unsigned long long)(time / LV_MILLISECOND);
}

/* Returns the maximum duration of a watch. A lost reply is detected one
 * timeout after it, and the change must be in force within the bound even if
 * the next request times out too. */
static lv_time
wait_limit(const gate_settings *settings)
{
    const store_settings *store = &settings->store;
    lv_time recovery = store->timeout + store->backoff + store->timeout;

    return settings->lost_answer_bound > recovery + MIN_WAIT_LIMIT
               ? settings->lost_answer_bound - recovery
               : MIN_WAIT_LIMIT;
}

static void
set_pace(gate_server *gate, peers_reader reader)
{
    store_settings *store = &gate->settings.store;
    lv_time limit = wait_limit(&gate->settings);

    store->relay_wait = limit < RELAY_WAIT ? limit : RELAY_WAIT;
    store->min_watch_interval[WIRE_ENDPOINTS] =
        gate->settings.leave_limit / LIST_READS_PER_LEAVE_LIMIT;
    store->watch_wait = gate->base_watch_wait;
    if (reader != PEERS_READS_ITSELF) {
        store->watch_wait *= 1 + gate->peers.live_count / PEERS_PER_BASE_WAIT;
    }
    if (store->watch_wait > limit) {
        store->watch_wait = limit;
    }
}

/* An instance turns to a reader once it has read the store for itself and has
 * found the same one for a while: after a start in common the instances know
 * only some of each other, and elect readers that do not know it. */
static bool
is_settled(gate_server *gate, const struct sockaddr_in *relay, lv_time now)
{
    if (gate->elected_relay.sin_port != relay->sin_port ||
        gate->elected_relay.sin_addr.s_addr != relay->sin_addr.s_addr) {
        gate->elected_relay = *relay;
        gate->elected_at = now;
    }
    return lv_elapsed(now, gate->elected_at) >= SETTLE_TIME;
}

/* An instance that has not read the store yet does not wait. */
static void
hold_feed(const gate_server *gate, store_feed *feed)
{
    lv_time spread = gate->attempt_spread;

    if (feed->counts.lists_read == 0 || gate->relayless_since == 0) {
        return;
    }
    if (!gate->is_reader_awaited) {
        store_feed_hold(feed, gate->relayless_since + RELAY_WAIT_TIME);
        return;
    }
    store_feed_hold(feed, gate->relayless_since + READER_WAIT_TIME + spread);
    store_feed_hold(feed, feed->last_request_at + ATTEMPT_INTERVAL + spread);
}

static void
note_reader(gate_server *gate, peers_reader reader, lv_time now)
{
    bool is_awaited = reader == PEERS_AWAITS_READER;

    if (reader == PEERS_READS_ITSELF || reader == PEERS_READS_RELAY) {
        gate->relayless_since = 0;
    }
    else if (gate->relayless_since == 0) {
        gate->relayless_since = now;
        gate->attempt_spread = gate_random(gate) % ATTEMPT_SPREAD;
    }
    if (is_awaited && !gate->is_reader_awaited) {
        log_event(LOG_LEVEL_NOTICE, now, "reader-awaited", "peers=%u",
                  gate->peers.live_count);
    }
    gate->is_reader_awaited = is_awaited;
}

static void
choose_sources(gate_server *gate, lv_time now)
{
    struct sockaddr_in relay;
    peers_reader reader = peers_choose_reader(&gate->peers, now, &relay);
    bool may_join =
        reader == PEERS_READS_RELAY && is_settled(gate, &relay, now);
    int i;

    set_pace(gate, reader);
    note_reader(gate, reader, now);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed *feed = &gate->feeds[i];

        if (feed->past.is_reading || feed->is_checking) {
            continue; /* the store itself was asked */
        }
        if (reader != PEERS_READS_RELAY) {
            store_feed_set_relay(feed, NULL);
        }
        else if (feed->counts.lists_read > 0 &&
                 (feed->is_relayed || feed->lost_at != 0 || may_join)) {
            store_feed_set_relay(feed, &relay);
        }
        hold_feed(gate, feed);
    }
}

static void
fail_relay(gate_server *gate, const store_feed *feed, const char *reason,
           lv_time now)
{
    peers_note_relay_failed(&gate->peers, &feed->source, now);
    log_event(LOG_LEVEL_NOTICE, now, "relay-failed",
              "subject=%s reason=\"%s\"", gate_subject_name(feed->subject),
              reason);
}

void
gate_handle_relay_failed(store_feed *feed, const char *reason)
{
    fail_relay(feed->owner, feed, reason, io_now());
}

static void
log_behind(const gate_server *gate, const store_feed *feed, uint64_t named,
           lv_time now)
{
    log_event(LOG_LEVEL_WARNING, now, "store-behind",
              "subject=%s revision=%llu named=%llu behind_ms=%llu "
              "asked_ms=%llu relayed=%d",
              gate_subject_name(feed->subject),
              (unsigned long long)feed->position.revision,
              (unsigned long long)named,
              to_ms(lv_elapsed(now, gate->behind_since[feed->subject])),
              to_ms(lv_elapsed(now, feed->last_request_at)), feed->is_relayed);
}

/* Peers name no later change than this instance has. */
static void
note_caught_up(gate_server *gate, const store_feed *feed, lv_time now)
{
    lv_time *since = &gate->behind_since[feed->subject];

    if (*since != 0 && gate->renewed_for[feed->subject] != 0) {
        log_event(LOG_LEVEL_NOTICE, now, "store-caught-up",
                  "subject=%s revision=%llu behind_ms=%llu",
                  gate_subject_name(feed->subject),
                  (unsigned long long)feed->position.revision,
                  to_ms(lv_elapsed(now, *since)));
    }
    *since = 0;
    gate->renewed_for[feed->subject] = 0;
}

/* Looks for a change that peers name and that did not arrive here. */
static void
check_changes(gate_server *gate, wire_subject subject, lv_time now)
{
    store_feed *feed = &gate->feeds[subject];
    uint64_t named = gate->peers.named_changes[subject];
    lv_time timeout =
        CHANGE_TIMEOUT + gate->settings.store.min_watch_interval[subject];

    gate->peers.own_changes[subject] = feed->last_change;
    if (named <= feed->position.revision) {
        note_caught_up(gate, feed, now);
        return;
    }
    if (!feed->has_list || feed->past.is_reading) {
        return;
    }
    if (gate->behind_since[subject] == 0) {
        gate->behind_since[subject] = now;
    }
    if (lv_elapsed(now, gate->behind_since[subject]) < timeout ||
        gate->renewed_for[subject] == named) {
        return;
    }
    gate->renewed_for[subject] = named;
    gate->counts.store_renewals++;
    log_behind(gate, feed, named, now);
    if (feed->is_relayed) {
        fail_relay(gate, feed, "behind", now);
    }
    store_feed_renew(feed);
}

static void
update_serving(gate_server *gate, wire_subject subject)
{
    const store_feed *feed = &gate->feeds[subject];

    rly_set_serving(&gate->relay, subject,
                    !feed->is_relayed && feed->lost_at == 0 &&
                        feed->counts.lists_read > 0 && !gate->is_draining &&
                        !gate->overload.is_overloaded);
}

/* What was read from a relay is as complete as the relay's list. */
static void
note_list(gate_server *gate, const store_feed *feed)
{
    lv_time complete_until = feed->complete_until;

    if (feed->is_relayed) {
        lv_time relay = peers_find_list(&gate->peers, &feed->source);

        complete_until = relay < complete_until ? relay : complete_until;
    }
    if (complete_until > gate->peers.list_complete_until) {
        gate->peers.list_complete_until = complete_until;
    }
}

void
gate_handle_applied(store_feed *feed)
{
    gate_server *gate = feed->owner;

    gate->peers.own_changes[feed->subject] = feed->last_change;
    if (feed->subject == WIRE_CONFIG) {
        gate_note_zone_view(gate, feed->position);
    }
    else {
        note_list(gate, feed);
    }
    rly_publish(&gate->relay, feed->subject, feed->position);
}

void
gate_update_readers(gate_server *gate, lv_time now)
{
    int i;

    choose_sources(gate, now);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        check_changes(gate, (wire_subject)i, now);
        update_serving(gate, (wire_subject)i);
    }
    rly_tick(&gate->relay, now);
}
