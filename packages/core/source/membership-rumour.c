#include <stdlib.h>
#include <string.h>

#include "membership-imp.h"
#include "rows-imp.h"
#include "table-imp.h"

/* A rumour is sent this many times log2 of the number of live instances. */
#define TRANSMISSIONS_FACTOR 3
#define MAX_TRANSMISSIONS (TRANSMISSIONS_FACTOR * 32)

#define MAX_LEAVING_ENDPOINTS 16384

/* A dead report can be refuted for this many times the suspicion timeout. */
#define DEAD_REPORT_FACTOR 10

static uint32_t
count_transmissions(const swim_membership *membership)
{
    uint32_t count = membership->live_count + 2;
    uint32_t bits = 32 - (uint32_t)__builtin_clz(count);

    return TRANSMISSIONS_FACTOR * bits;
}

static void
append_to_queue(swim_rumour_queue *queue, lv_id id)
{
    if (table_reserve((void **)&queue->ids, &queue->capacity, queue->count + 1,
                      sizeof *queue->ids)) {
        queue->ids[queue->count++] = id;
    }
}

void
swim_queue_member(swim_membership *membership, swim_member *member)
{
    if (member->remaining_sends == 0) {
        append_to_queue(&membership->member_rumours, member->id);
    }
    member->remaining_sends = count_transmissions(membership);
}

static void
queue_leaving(swim_membership *membership, swim_leaving *leaving)
{
    if (leaving->remaining_sends == 0) {
        append_to_queue(&membership->leaving_rumours, leaving->endpoint);
    }
    leaving->remaining_sends = count_transmissions(membership);
}

static bool
is_reportable(const swim_member *member)
{
    return member->state != MSG_MEMBER_ALIVE || member->is_reported_dead ||
           member->is_draining;
}

void
swim_queue_all(swim_membership *membership)
{
    for (uint32_t i = 0; i < membership->member_count; i++) {
        if (is_reportable(&membership->members[i]) &&
            membership->members[i].remaining_sends == 0) {
            swim_queue_member(membership, &membership->members[i]);
        }
    }
    for (uint32_t i = 0; i < membership->leaving_count; i++) {
        if (membership->leaving[i].remaining_sends == 0) {
            queue_leaving(membership, &membership->leaving[i]);
        }
    }
}

static msg_member
make_member_rumour(const swim_member *member)
{
    msg_member rumour = {
        .instance = member->id,
        .incarnation = member->incarnation,
        .state = member->is_reported_dead ? MSG_MEMBER_DEAD : member->state,
        .is_draining = member->is_draining,
        .refutation = member->refutation,
    };

    return rumour;
}

static msg_member
make_self_rumour(const swim_membership *membership)
{
    msg_member rumour = {
        .instance = membership->self,
        .incarnation = membership->incarnation,
        .state = membership->has_left ? MSG_MEMBER_LEFT : MSG_MEMBER_ALIVE,
        .is_draining = membership->is_draining,
        .refutation = membership->refutation,
    };

    return rumour;
}

/* Picks one rumour without remaining sends, round robin: resending one with
 * each message reaches instances that missed every regular transmission. */
static uint32_t
pick_background_member(swim_membership *membership, msg_member *rumour)
{
    for (uint32_t i = 0; i < SWIM_RUMOURS_MAX; i++) {
        const swim_member *member;

        if (membership->member_count == 0) {
            return 0;
        }
        membership->member_cursor =
            (membership->member_cursor + 1) % membership->member_count;
        member = &membership->members[membership->member_cursor];
        if (is_reportable(member) && member->remaining_sends == 0) {
            *rumour = make_member_rumour(member);
            return 1;
        }
    }
    return 0;
}

/* Returns the minimum remaining sends of the `wanted` least sent rumours, and
 * in at_cutoff how many with that number to pick. Removes finished rumours. */
static uint32_t
find_cutoff(swim_rumour_queue *queue, const swim_membership *membership,
            uint32_t wanted, uint32_t *at_cutoff)
{
    uint32_t counts[MAX_TRANSMISSIONS + 1] = {0};
    uint32_t above_cutoff = 0;
    uint32_t count = 0;
    uint32_t cutoff = MAX_TRANSMISSIONS;

    for (uint32_t i = 0; i < queue->count; i++) {
        const swim_member *member = swim_find(membership, queue->ids[i]);

        if (member != NULL && member->remaining_sends > 0) {
            counts[member->remaining_sends]++;
            queue->ids[count++] = queue->ids[i];
        }
    }
    queue->count = count;
    while (cutoff > 1 && above_cutoff + counts[cutoff] < wanted) {
        above_cutoff += counts[cutoff--];
    }
    *at_cutoff = wanted - above_cutoff;
    return cutoff;
}

/* Picks the least sent rumours: a new one does not wait for older ones. */
static uint32_t
pick_queued_members(swim_membership *membership, lv_id to, uint32_t wanted,
                    msg_member *rumours)
{
    swim_rumour_queue *queue = &membership->member_rumours;
    uint32_t at_cutoff = 0;
    uint32_t cutoff = find_cutoff(queue, membership, wanted, &at_cutoff);
    uint32_t start;
    uint32_t picked = 0;

    if (queue->count == 0) {
        return 0;
    }
    start = (uint32_t)(swim_random(membership) % queue->count);
    for (uint32_t i = 0; i < queue->count && picked < wanted; i++) {
        lv_id id = queue->ids[(start + i) % queue->count];
        swim_member *member = swim_find(membership, id);

        if (id == to || member->remaining_sends < cutoff) {
            continue;
        }
        if (member->remaining_sends == cutoff && at_cutoff-- == 0) {
            at_cutoff = 0;
            continue;
        }
        rumours[picked++] = make_member_rumour(member);
        member->remaining_sends--;
    }
    return picked;
}

/* The order is: the rumour about the sender, the one about the receiver, so
 * that the receiver can refute it, and then queued ones. */
uint32_t
swim_pick_members(swim_membership *membership, lv_id to, msg_member *rumours)
{
    const swim_member *receiver = swim_find(membership, to);
    uint32_t limit = membership->settings.rumours_per_message;
    uint32_t picked = 0;

    rumours[picked++] = make_self_rumour(membership);
    if (receiver != NULL && receiver->incarnation != 0 &&
        (receiver->state != MSG_MEMBER_ALIVE || receiver->is_reported_dead)) {
        rumours[picked++] = make_member_rumour(receiver);
    }
    if (picked < limit) {
        picked += pick_queued_members(membership, to, limit - picked,
                                      &rumours[picked]);
    }
    if (picked < limit) {
        picked += pick_background_member(membership, &rumours[picked]);
    }
    return picked;
}

static swim_leaving *
find_leaving(const swim_membership *membership, lv_id endpoint)
{
    lv_handle found = row_bsearch_id(
        membership->leaving, membership->leaving_count, sizeof(swim_leaving),
        offsetof(swim_leaving, endpoint), endpoint);

    return found == LV_HANDLE_NONE ? NULL : &membership->leaving[found];
}

static uint32_t
pick_background_leaving(swim_membership *membership, msg_leaving *rumour)
{
    const swim_leaving *leaving;

    if (membership->leaving == NULL || membership->leaving_count == 0) {
        return 0;
    }
    membership->leaving_cursor =
        (membership->leaving_cursor + 1) % membership->leaving_count;
    leaving = &membership->leaving[membership->leaving_cursor];
    rumour->endpoint = leaving->endpoint;
    rumour->list_revision = leaving->list_revision;
    return 1;
}

/* Moves the first `count` ids to the end of the queue. */
static void
rotate_queue(swim_rumour_queue *queue, uint32_t count)
{
    lv_id first[SWIM_RUMOURS_MAX];

    memcpy(first, queue->ids, count * sizeof *first);
    memmove(queue->ids, queue->ids + count,
            (queue->count - count) * sizeof *first);
    memcpy(queue->ids + queue->count - count, first, count * sizeof *first);
}

uint32_t
swim_pick_leaving(swim_membership *membership, msg_leaving *rumours)
{
    swim_rumour_queue *queue = &membership->leaving_rumours;
    uint32_t limit = membership->settings.rumours_per_message;
    uint32_t picked = 0;

    for (uint32_t i = 0; i < queue->count && picked < limit;) {
        swim_leaving *leaving = find_leaving(membership, queue->ids[i]);

        if (leaving == NULL || leaving->remaining_sends == 0) {
            queue->ids[i] = queue->ids[--queue->count];
            continue;
        }
        rumours[picked].endpoint = leaving->endpoint;
        rumours[picked++].list_revision = leaving->list_revision;
        leaving->remaining_sends--;
        i++;
    }
    if (picked > 0) {
        rotate_queue(queue, picked);
    }
    if (picked == 0) {
        picked = pick_background_leaving(membership, rumours);
    }
    return picked;
}

void
swim_set_superseded(swim_membership *membership, uint64_t incarnation)
{
    if (incarnation > membership->superseding_incarnation) {
        membership->superseding_incarnation = incarnation;
        swim_log(membership, "incarnation-too-low", membership->self,
                 incarnation);
    }
}

static void
refute_rumour(swim_membership *membership, const msg_member *rumour)
{
    if (rumour->incarnation > membership->incarnation) {
        swim_set_superseded(membership, rumour->incarnation);
        return;
    }
    if (rumour->incarnation < membership->incarnation ||
        rumour->refutation < membership->refutation ||
        rumour->state == MSG_MEMBER_ALIVE || membership->has_left) {
        return;
    }
    membership->refutation = rumour->refutation + 1;
    membership->counts.refutations++;
    swim_log(membership, "refuted", membership->self, membership->incarnation);
}

/* A report of the death of a live member may come from the other side of a
 * partition, along with many others. It is spread further, also to the member
 * itself, and makes the member a suspect only if it is not refuted in time. */
static void
add_dead_report(swim_membership *membership, lv_time now, swim_member *member)
{
    if (member->is_reported_dead) {
        return;
    }
    swim_set_reported_dead(membership, member, true);
    swim_set_expiry(membership, member,
                    now + DEAD_REPORT_FACTOR *
                              membership->settings.suspicion_timeout);
    swim_queue_member(membership, member);
}

static void
apply_state(swim_membership *membership, lv_time now, swim_member *member,
            const msg_member *rumour, const char *reason)
{
    if (rumour->state != MSG_MEMBER_DEAD || !swim_is_member_live(member)) {
        swim_set_state(membership, now, member, rumour->state, reason);
        return;
    }
    if (member->state == MSG_MEMBER_SUSPECT) {
        swim_set_state(membership, now, member, MSG_MEMBER_ALIVE, reason);
    }
    add_dead_report(membership, now, member);
}

static void
apply_restart(swim_membership *membership, lv_time now, swim_member *member,
              const msg_member *rumour)
{
    bool was_known = member->incarnation != 0;
    bool was_live = swim_is_member_live(member);

    member->incarnation = rumour->incarnation;
    member->refutation = rumour->refutation;
    if (member->is_draining != rumour->is_draining) {
        member->is_draining = rumour->is_draining;
        membership->revision++;
    }
    if (was_known) {
        membership->counts.restarts++;
        membership->revision++;
    }
    if (was_known || !was_live || rumour->state != member->state) {
        apply_state(membership, now, member, rumour,
                    was_known ? "restarted" : "heard");
        swim_queue_all(membership);
    }
}

static void
apply_refutation(swim_membership *membership, lv_time now, swim_member *member,
                 const msg_member *rumour)
{
    bool was_live = swim_is_member_live(member);

    member->refutation = rumour->refutation;
    swim_set_reported_dead(membership, member, false);
    apply_state(membership, now, member, rumour,
                was_live ? "refuted" : "came-back");
    if (!was_live) {
        swim_queue_all(membership);
    }
}

/* The incarnation and refutation are known: only a worse state is applied. */
static void
apply_escalation(swim_membership *membership, lv_time now, swim_member *member,
                 const msg_member *rumour)
{
    if (rumour->state <= member->state) {
        return;
    }
    if (rumour->state == MSG_MEMBER_LEFT) {
        swim_set_state(membership, now, member, MSG_MEMBER_LEFT, "left");
    }
    else if (member->state == MSG_MEMBER_ALIVE &&
             rumour->state == MSG_MEMBER_DEAD) {
        add_dead_report(membership, now, member);
    }
    else if (member->state == MSG_MEMBER_ALIVE) {
        swim_set_state(membership, now, member, MSG_MEMBER_SUSPECT,
                       "suspected-by-others");
    }
    else {
        swim_set_state(membership, now, member, MSG_MEMBER_DEAD,
                       "dead-by-others");
    }
}

/* Corrects an outdated rumour: its sender is to receive the current state. */
static void
requeue_current_state(swim_membership *membership, swim_member *member,
                      const msg_member *rumour)
{
    if (rumour->state != MSG_MEMBER_ALIVE && swim_is_member_live(member) &&
        member->remaining_sends == 0) {
        swim_queue_member(membership, member);
    }
}

static void
apply_member(swim_membership *membership, lv_time now,
             const msg_member *rumour)
{
    swim_member *member;

    if (rumour->instance == membership->self) {
        refute_rumour(membership, rumour);
        return;
    }
    member = swim_find(membership, rumour->instance);
    if (member == NULL) {
        return;
    }
    if (rumour->incarnation < member->incarnation) {
        requeue_current_state(membership, member, rumour);
        return;
    }
    if (rumour->incarnation > member->incarnation) {
        apply_restart(membership, now, member, rumour);
        return;
    }
    if (member->state == MSG_MEMBER_LEFT) {
        return;
    }
    if (rumour->is_draining && !member->is_draining) {
        member->is_draining = true;
        membership->revision++;
        swim_queue_member(membership, member);
        swim_log(membership, "draining", member->id, member->incarnation);
    }
    if (rumour->refutation > member->refutation) {
        apply_refutation(membership, now, member, rumour);
    }
    else if (rumour->refutation == member->refutation) {
        apply_escalation(membership, now, member, rumour);
    }
    else {
        requeue_current_state(membership, member, rumour);
    }
}

/* Returns whether newer lists contradict a rumour of a leaving endpoint. */
static bool
is_superseded(const swim_membership *membership, lv_id endpoint,
              uint64_t list_revision)
{
    lv_handle found;

    if (membership->lists == NULL ||
        membership->lists->revision <= list_revision) {
        return false;
    }
    found = lists_find_endpoint(membership->lists, endpoint);
    return found == LV_HANDLE_NONE ||
           !membership->lists->endpoints[found].is_leaving;
}

void
swim_add_leaving(swim_membership *membership, lv_time now, lv_id endpoint,
                 uint64_t list_revision)
{
    swim_leaving *leaving = find_leaving(membership, endpoint);
    uint32_t index = 0;

    (void)now;
    if (is_superseded(membership, endpoint, list_revision)) {
        return;
    }
    if (leaving != NULL) {
        if (list_revision > leaving->list_revision) {
            leaving->list_revision = list_revision;
            queue_leaving(membership, leaving);
        }
        return;
    }
    if (membership->leaving_count == MAX_LEAVING_ENDPOINTS ||
        !table_reserve((void **)&membership->leaving,
                       &membership->leaving_capacity,
                       membership->leaving_count + 1, sizeof *leaving) ||
        membership->leaving == NULL) {
        membership->counts.dropped_unknown++;
        return;
    }
    while (index < membership->leaving_count &&
           membership->leaving[index].endpoint < endpoint) {
        index++;
    }
    leaving = &membership->leaving[index];
    memmove(leaving + 1, leaving,
            (membership->leaving_count - index) * sizeof *leaving);
    memset(leaving, 0, sizeof *leaving);
    leaving->endpoint = endpoint;
    leaving->list_revision = list_revision;
    membership->leaving_count++;
    membership->revision++;
    queue_leaving(membership, leaving);
}

void
swim_remove_superseded_leaving(swim_membership *membership)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < membership->leaving_count; i++) {
        const swim_leaving *leaving = &membership->leaving[i];

        if (!is_superseded(membership, leaving->endpoint,
                           leaving->list_revision)) {
            membership->leaving[count++] = *leaving;
        }
    }
    if (count != membership->leaving_count) {
        membership->leaving_count = count;
        membership->revision++;
    }
}

uint32_t
swim_leaving_count(const swim_membership *membership)
{
    return membership->leaving_count;
}

lv_id
swim_leaving_at(const swim_membership *membership, uint32_t index,
                uint64_t *list_revision)
{
    if (list_revision != NULL) {
        *list_revision = membership->leaving[index].list_revision;
    }
    return membership->leaving[index].endpoint;
}

void
swim_apply_rumours(swim_membership *membership, lv_time now,
                   const msg_message *message)
{
    for (uint32_t i = 0; i < message->member_count; i++) {
        apply_member(membership, now, &message->members[i]);
    }
    for (uint32_t i = 0; i < message->leaving_count; i++) {
        if (message->leaving[i].endpoint != LV_ID_NONE) {
            swim_add_leaving(membership, now, message->leaving[i].endpoint,
                             message->leaving[i].list_revision);
        }
    }
}
