#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"
#include "membership-imp.h"
#include "table-imp.h"

/* The next live members in the ring of sorted ids are always peers, so that
 * the graph of peers is connected and every instance is probed by others. */
#define RING_PEERS 2

/* A listed dead member is probed once in this many probe intervals. */
#define DEAD_PROBE_INTERVALS 5

/* A probe fails this many probe timeouts after it was sent. */
#define PROBE_TIMEOUTS 3

/* Adds this instance's peer address to a PING: an instance that started while
 * the platform was down has no lists, and so no address to respond to. */
static void
add_self_address(const swim_membership *membership, msg_message *message)
{
    lv_handle self = LV_HANDLE_NONE;

    if (membership->lists != NULL) {
        self = lists_find_instance(membership->lists, membership->self);
    }
    if (self != LV_HANDLE_NONE) {
        message->body = membership->lists->instances[self].peer;
        message->body_size = strlen(message->body);
    }
}

void
swim_send(swim_membership *membership, lv_id to, msg_kind kind, uint64_t probe,
          lv_id subject)
{
    msg_member members[SWIM_RUMOURS_MAX + 2];
    msg_leaving leaving[SWIM_RUMOURS_MAX];
    const swim_member *target = swim_find(membership, to);
    msg_message message = {
        .kind = kind,
        .version = MSG_VERSION,
        .sender = membership->self,
        .incarnation = membership->incarnation,
        .target_incarnation = target == NULL ? 0 : target->incarnation,
        .probe = probe,
        .subject = subject,
        .members = members,
        .leaving = leaving,
    };

    message.member_count = swim_pick_members(membership, to, members);
    message.leaving_count = swim_pick_leaving(membership, leaving);
    if (kind == MSG_PING && target != NULL && !swim_is_member_live(target)) {
        add_self_address(membership, &message);
    }
    membership->host->ops->send(membership->host, to, &message);
}

static uint32_t
count_ring_peers(uint32_t live_count, uint32_t wanted)
{
    uint32_t count = wanted < RING_PEERS ? wanted : RING_PEERS;

    return count < live_count ? count : live_count;
}

/* Adds the live members that follow this one in the ring of sorted ids. */
static void
add_ring_peers(swim_membership *membership, const lv_id *live, uint32_t count,
               uint32_t wanted)
{
    uint32_t start = 0;

    while (start < count && live[start] < membership->self) {
        start++;
    }
    for (uint32_t i = 0; i < wanted; i++) {
        membership->peers[membership->peer_count++] =
            live[(start + i) % count];
    }
}

static bool
is_peer(const swim_membership *membership, lv_id id)
{
    for (uint32_t i = 0; i < membership->peer_count; i++) {
        if (membership->peers[i] == id) {
            return true;
        }
    }
    return false;
}

static void
shuffle_peers(swim_membership *membership)
{
    for (uint32_t i = membership->peer_count; i > 1; i--) {
        uint32_t other = (uint32_t)(swim_random(membership) % i);
        lv_id id = membership->peers[other];

        membership->peers[other] = membership->peers[i - 1];
        membership->peers[i - 1] = id;
    }
    membership->next_peer = 0;
}

static void
choose_peers(swim_membership *membership, const lv_id *live, uint32_t count,
             lv_id *winners)
{
    uint32_t wanted = membership->settings.max_peers;
    uint32_t ring_count;
    uint32_t chosen;

    if (wanted == 0 || wanted >= count) {
        memcpy(membership->peers, live, count * sizeof *live);
        membership->peer_count = count;
        return;
    }
    ring_count = count_ring_peers(count, wanted);
    add_ring_peers(membership, live, count, ring_count);
    chosen = hrw_winners(live, count, membership->self, winners, wanted);
    for (uint32_t i = 0; i < chosen && membership->peer_count < wanted; i++) {
        if (!is_peer(membership, winners[i])) {
            membership->peers[membership->peer_count++] = winners[i];
        }
    }
}

void
swim_select_peers(swim_membership *membership)
{
    uint32_t count = 0;
    lv_id *live;
    lv_id *winners;

    membership->needs_peer_selection = false;
    membership->peer_count = 0;
    live = malloc((membership->member_count + 1) * sizeof *live);
    winners = malloc((membership->settings.max_peers + 1) * sizeof *winners);
    if (live == NULL || winners == NULL ||
        !table_reserve((void **)&membership->peers, &membership->peer_capacity,
                       membership->member_count + 1, sizeof *live)) {
        membership->needs_peer_selection = true;
        goto done;
    }
    for (uint32_t i = 0; i < membership->member_count; i++) {
        if (swim_is_member_live(&membership->members[i])) {
            live[count++] = membership->members[i].id;
        }
    }
    choose_peers(membership, live, count, winners);
    shuffle_peers(membership);
done:
    free(live);
    free(winners);
}

static swim_probe *
find_probe(swim_membership *membership, lv_id target, uint64_t number)
{
    for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++) {
        swim_probe *probe = &membership->probes[i];

        if (probe->target == target &&
            (number == 0 || probe->number == number)) {
            return probe;
        }
    }
    return NULL;
}

static void
start_probe(swim_membership *membership, lv_time now, lv_id target)
{
    swim_probe *probe = find_probe(membership, LV_ID_NONE, 0);

    membership->counts.probes++;
    membership->probe_number++;
    if (probe != NULL) {
        probe->target = target;
        probe->number = membership->probe_number;
        probe->sent_at = now;
        probe->is_indirect = false;
    }
    swim_send(membership, target, MSG_PING, membership->probe_number,
              LV_ID_NONE);
}

void
swim_probe_peers(swim_membership *membership, lv_time now)
{
    if (membership->needs_peer_selection) {
        swim_select_peers(membership);
    }
    for (uint32_t i = 0; i < membership->peer_count; i++) {
        start_probe(membership, now, membership->peers[i]);
    }
}

static void
probe_next_peer(swim_membership *membership, lv_time now)
{
    if (membership->needs_peer_selection) {
        swim_select_peers(membership);
    }
    for (uint32_t i = 0; i < membership->peer_count; i++) {
        lv_id target;

        if (membership->next_peer >= membership->peer_count) {
            shuffle_peers(membership);
        }
        target = membership->peers[membership->next_peer++];
        if (find_probe(membership, target, 0) == NULL) {
            start_probe(membership, now, target);
            return;
        }
    }
}

/* Also pings a suspect peer in every interval, so that it refutes in time. */
static void
ping_suspect(swim_membership *membership)
{
    uint32_t count = membership->peer_count;
    uint32_t start;

    if (membership->suspect_count == 0 || count == 0) {
        return;
    }
    start = (uint32_t)(swim_random(membership) % count);
    for (uint32_t i = 0; i < count; i++) {
        lv_id id = membership->peers[(start + i) % count];
        const swim_member *member = swim_find(membership, id);

        if (member != NULL && member->state == MSG_MEMBER_SUSPECT) {
            membership->probe_number++;
            swim_send(membership, id, MSG_PING, membership->probe_number,
                      LV_ID_NONE);
            return;
        }
    }
}

/* Probes one of the live members that a rumour reports as dead, whether or not
 * it is a peer: it refutes the rumour or becomes a suspect. */
static void
probe_reported_dead(swim_membership *membership, lv_time now)
{
    uint32_t count = membership->member_count;
    uint32_t start;

    if (membership->reported_dead_count == 0) {
        return;
    }
    start = (uint32_t)(swim_random(membership) % count);
    for (uint32_t i = 0; i < count; i++) {
        const swim_member *member = &membership->members[(start + i) % count];

        if (member->is_reported_dead &&
            find_probe(membership, member->id, 0) == NULL) {
            start_probe(membership, now, member->id);
            return;
        }
    }
}

static void
request_indirect_probes(swim_membership *membership, const swim_probe *probe)
{
    uint32_t requested = 0;
    uint32_t start;

    if (membership->peer_count == 0) {
        return;
    }
    start = (uint32_t)(swim_random(membership) % membership->peer_count);
    for (uint32_t i = 0; i < membership->peer_count &&
                         requested < membership->settings.indirect_probes;
         i++) {
        lv_id proxy = membership->peers[(start + i) % membership->peer_count];

        if (proxy != probe->target &&
            find_probe(membership, proxy, 0) == NULL) {
            membership->counts.indirect_requests++;
            requested++;
            swim_send(membership, proxy, MSG_PING_REQ, probe->number,
                      probe->target);
        }
    }
}

/* Suspects the target and pings it at once, so that it can refute this. */
static void
handle_probe_failure(swim_membership *membership, lv_time now, lv_id target)
{
    swim_member *member = swim_find(membership, target);

    if (member == NULL || member->state != MSG_MEMBER_ALIVE) {
        return;
    }
    membership->counts.suspicions++;
    swim_set_state(membership, now, member, MSG_MEMBER_SUSPECT, "suspect");
    membership->probe_number++;
    swim_send(membership, target, MSG_PING, membership->probe_number,
              LV_ID_NONE);
}

static void
check_probe_timeouts(swim_membership *membership, lv_time now)
{
    lv_time timeout = membership->settings.probe_timeout;

    for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++) {
        swim_probe *probe = &membership->probes[i];
        lv_time age = lv_elapsed(now, probe->sent_at);

        if (probe->target == LV_ID_NONE) {
            continue;
        }
        if (age >= PROBE_TIMEOUTS * timeout) {
            lv_id target = probe->target;

            probe->target = LV_ID_NONE;
            handle_probe_failure(membership, now, target);
        }
        else if (age >= timeout && !probe->is_indirect) {
            probe->is_indirect = true;
            request_indirect_probes(membership, probe);
        }
    }
}

static void
expire_suspicions(swim_membership *membership, lv_time now)
{
    if (now < membership->next_expiry_at) {
        return;
    }
    membership->next_expiry_at = LV_TIME_NEVER;
    for (uint32_t i = 0; i < membership->member_count; i++) {
        swim_member *member = &membership->members[i];

        if (member->state != MSG_MEMBER_SUSPECT && !member->is_reported_dead) {
            continue;
        }
        if (now < member->expires_at) {
            swim_set_expiry(membership, member, member->expires_at);
        }
        else if (member->is_reported_dead) {
            swim_set_state(membership, now, member, MSG_MEMBER_SUSPECT,
                           "doubt-not-refuted");
        }
        else {
            swim_set_state(membership, now, member, MSG_MEMBER_DEAD, "dead");
        }
    }
}

/* Pings a randomly chosen dead member that is still listed. */
static void
ping_dead_member(swim_membership *membership)
{
    uint32_t count = membership->member_count;
    uint32_t start;

    if (count == 0 || membership->live_count == count) {
        return;
    }
    start = (uint32_t)(swim_random(membership) % count);
    for (uint32_t i = 0; i < count; i++) {
        const swim_member *member = &membership->members[(start + i) % count];

        if (!swim_is_member_live(member) && member->is_listed) {
            membership->probe_number++;
            swim_send(membership, member->id, MSG_PING,
                      membership->probe_number, LV_ID_NONE);
            return;
        }
    }
}

void
swim_tick(swim_membership *membership, lv_time now)
{
    lv_time interval = membership->settings.probe_interval;

    if (membership->has_left) {
        return;
    }
    check_probe_timeouts(membership, now);
    expire_suspicions(membership, now);
    if (now >= membership->next_probe_at) {
        membership->next_probe_at = now + interval;
        probe_next_peer(membership, now);
        ping_suspect(membership);
        probe_reported_dead(membership, now);
    }
    if (now >= membership->next_dead_probe_at) {
        membership->next_dead_probe_at = now + DEAD_PROBE_INTERVALS * interval;
        ping_dead_member(membership);
    }
}

static lv_time
earlier(lv_time a, lv_time b)
{
    return a < b ? a : b;
}

lv_time
swim_next_tick(const swim_membership *membership)
{
    lv_time timeout = membership->settings.probe_timeout;
    lv_time next =
        earlier(membership->next_probe_at, membership->next_dead_probe_at);

    if (membership->has_left) {
        return LV_TIME_NEVER;
    }
    for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++) {
        const swim_probe *probe = &membership->probes[i];
        lv_time wait = probe->is_indirect ? PROBE_TIMEOUTS * timeout : timeout;

        if (probe->target != LV_ID_NONE) {
            next = earlier(next, probe->sent_at + wait);
        }
    }
    return earlier(next, membership->next_expiry_at);
}

static void
handle_ping_request(swim_membership *membership, lv_time now,
                    const msg_message *message)
{
    swim_relay *relay = &membership->relays[membership->next_relay];

    if (message->subject == membership->self ||
        swim_find(membership, message->subject) == NULL) {
        return;
    }
    membership->next_relay = (membership->next_relay + 1) % SWIM_RELAYS_MAX;
    membership->probe_number++;
    relay->requester = message->sender;
    relay->requester_number = message->probe;
    relay->number = membership->probe_number;
    relay->target = message->subject;
    relay->sent_at = now;
    swim_send(membership, message->subject, MSG_PING, relay->number,
              LV_ID_NONE);
}

static void
forward_ack(swim_membership *membership, const msg_message *message)
{
    for (uint32_t i = 0; i < SWIM_RELAYS_MAX; i++) {
        swim_relay *relay = &membership->relays[i];

        if (relay->requester != LV_ID_NONE &&
            relay->target == message->sender &&
            relay->number == message->probe) {
            swim_send(membership, relay->requester, MSG_ACK,
                      relay->requester_number, relay->target);
            relay->requester = LV_ID_NONE;
            return;
        }
    }
}

static void
handle_ack(swim_membership *membership, const msg_message *message)
{
    lv_id target =
        message->subject != LV_ID_NONE ? message->subject : message->sender;
    swim_probe *probe = find_probe(membership, target, message->probe);

    if (probe != NULL && target != LV_ID_NONE && message->probe != 0) {
        probe->target = LV_ID_NONE;
        membership->is_stale = false;
    }
    if (message->subject == LV_ID_NONE) {
        forward_ack(membership, message);
    }
}

static bool
drop_message(swim_membership *membership, uint64_t *counter)
{
    membership->dropped_messages++;
    (*counter)++;
    return false;
}

static bool
has_invalid_state(const msg_message *message)
{
    for (uint32_t i = 0; i < message->member_count; i++) {
        if (message->members[i].state > MSG_MEMBER_LEFT) {
            return true;
        }
    }
    return false;
}

/* Pings the sender of a PING: both learn each other's incarnation. */
static void
ping_sender(swim_membership *membership, const msg_message *message)
{
    if (message->kind == MSG_PING) {
        membership->probe_number++;
        swim_send(membership, message->sender, MSG_PING,
                  membership->probe_number, LV_ID_NONE);
    }
}

static bool
is_misaddressed(const swim_membership *membership, const msg_message *message)
{
    return message->target_incarnation != 0 &&
           message->target_incarnation != membership->incarnation;
}

static bool
accept_message(swim_membership *membership, const msg_message *message)
{
    swim_counts *counts = &membership->counts;
    const swim_member *sender = swim_find(membership, message->sender);

    if (sender == NULL || message->incarnation == 0) {
        return drop_message(membership, &counts->dropped_unknown);
    }
    if ((message->kind != MSG_PING && message->kind != MSG_ACK &&
         message->kind != MSG_PING_REQ) ||
        has_invalid_state(message)) {
        return drop_message(membership, &counts->dropped_malformed);
    }
    if (message->incarnation < sender->incarnation) {
        ping_sender(membership, message);
        return drop_message(membership, &counts->dropped_stale);
    }
    if (is_misaddressed(membership, message)) {
        if (message->target_incarnation > membership->incarnation) {
            swim_set_superseded(membership, message->target_incarnation);
        }
        else {
            ping_sender(membership, message);
        }
        return drop_message(membership, &counts->dropped_stale);
    }
    return true;
}

bool
swim_receive(swim_membership *membership, lv_time now,
             const msg_message *message)
{
    if (membership->has_left || !accept_message(membership, message)) {
        return false;
    }
    membership->last_message_at = now;
    swim_apply_rumours(membership, now, message);
    if (message->kind == MSG_PING) {
        swim_send(membership, message->sender, MSG_ACK, message->probe,
                  LV_ID_NONE);
    }
    else if (message->kind == MSG_PING_REQ) {
        handle_ping_request(membership, now, message);
    }
    else {
        handle_ack(membership, message);
    }
    return true;
}
