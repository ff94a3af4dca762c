#include <stdlib.h>
#include <string.h>

#include "membership-imp.h"
#include "rows-imp.h"
#include "table-imp.h"

/* A rumour is sent this many times log2 of the live instances. */
#define TRANSMISSIONS_FACTOR 3
#define TRANSMISSIONS_MAX (TRANSMISSIONS_FACTOR * 32)

#define LEAVING_MAX 16384

/* A doubt lasts this many times longer than a suspicion. */
#define DOUBT_FACTOR 10

static uint32_t
transmissions_for(const swim_membership *membership)
{
    uint32_t nodes = membership->live_count + 2;
    uint32_t bits = 32 - (uint32_t)__builtin_clz(nodes);

    return TRANSMISSIONS_FACTOR * bits;
}

static void
queue_add(swim_queue *queue, lv_id id)
{
    if (table_reserve((void **)&queue->ids, &queue->capacity, queue->count + 1,
                      sizeof *queue->ids)) {
        queue->ids[queue->count++] = id;
    }
}

void
swim_spread_member(swim_membership *membership, swim_member *member)
{
    if (member->transmissions == 0) {
        queue_add(&membership->member_rumours, member->id);
    }
    member->transmissions = transmissions_for(membership);
}

static void
spread_leaving(swim_membership *membership, swim_leaving *leaving)
{
    if (leaving->transmissions == 0) {
        queue_add(&membership->leaving_rumours, leaving->endpoint);
    }
    leaving->transmissions = transmissions_for(membership);
}

static bool
is_worth_telling(const swim_member *member)
{
    return member->state != MSG_MEMBER_ALIVE || member->is_doubted ||
           member->is_draining;
}

/* For an instance that has come (back): it missed the earlier rumours. */
void
swim_spread_all(swim_membership *membership)
{
    for (uint32_t i = 0; i < membership->member_count; i++) {
        if (is_worth_telling(&membership->members[i]) &&
            membership->members[i].transmissions == 0) {
            swim_spread_member(membership, &membership->members[i]);
        }
    }
    for (uint32_t i = 0; i < membership->leaving_count; i++) {
        if (membership->leaving[i].transmissions == 0) {
            spread_leaving(membership, &membership->leaving[i]);
        }
    }
}

static msg_member
describe(const swim_member *member)
{
    msg_member rumour = {
        .instance = member->id,
        .incarnation = member->incarnation,
        .state = member->is_doubted ? MSG_MEMBER_DEAD : member->state,
        .draining = member->is_draining,
        .refutation = member->refutation,
    };

    return rumour;
}

static msg_member
describe_self(const swim_membership *membership)
{
    msg_member rumour = {
        .instance = membership->self,
        .incarnation = membership->incarnation,
        .state = membership->has_left ? MSG_MEMBER_LEFT : MSG_MEMBER_ALIVE,
        .draining = membership->is_draining,
        .refutation = membership->refutation,
    };

    return rumour;
}

/* One settled fact per message, in turn, reaches those whom every
 * transmission of a rumour missed. */
static uint32_t
pick_background(swim_membership *membership, msg_member *rumour)
{
    for (uint32_t i = 0; i < SWIM_RUMOURS_MAX; i++) {
        const swim_member *member;

        if (membership->member_count == 0) {
            return 0;
        }
        membership->background =
            (membership->background + 1) % membership->member_count;
        member = &membership->members[membership->background];
        if (is_worth_telling(member) && member->transmissions == 0) {
            *rumour = describe(member);
            return 1;
        }
    }
    return 0;
}

/* The least number of transmissions left that a rumour must have to be among
 * the `wanted` that were sent least, and how many at that number fit. */
static uint32_t
find_cutoff(swim_queue *queue, const swim_membership *membership,
            uint32_t wanted, uint32_t *at_cutoff)
{
    uint32_t counts[TRANSMISSIONS_MAX + 1] = {0};
    uint32_t seen = 0;
    uint32_t kept = 0;
    uint32_t left = TRANSMISSIONS_MAX;

    for (uint32_t i = 0; i < queue->count; i++) {
        const swim_member *member = swim_find(membership, queue->ids[i]);

        if (member != NULL && member->transmissions > 0) {
            counts[member->transmissions]++;
            queue->ids[kept++] = queue->ids[i];
        }
    }
    queue->count = kept;
    while (left > 1 && seen + counts[left] < wanted) {
        seen += counts[left--];
    }
    *at_cutoff = wanted - seen;
    return left;
}

/* What was sent least goes first, so that news is not held up by a queue of
 * older rumours. */
static uint32_t
pick_queued(swim_membership *membership, lv_id to, uint32_t wanted,
            msg_member *rumours)
{
    swim_queue *queue = &membership->member_rumours;
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

        if (id == to || member->transmissions < cutoff) {
            continue;
        }
        if (member->transmissions == cutoff && at_cutoff-- == 0) {
            at_cutoff = 0;
            continue;
        }
        rumours[picked++] = describe(member);
        member->transmissions--;
    }
    return picked;
}

/* The receiver hears first about the sender, then what is said about itself,
 * so that it can refute it, then what is in the queue. */
uint32_t
swim_pick_members(swim_membership *membership, lv_id to, msg_member *members)
{
    const swim_member *receiver = swim_find(membership, to);
    uint32_t limit = membership->settings.rumours_per_message;
    uint32_t picked = 0;

    members[picked++] = describe_self(membership);
    if (receiver != NULL && receiver->incarnation != 0 &&
        (receiver->state != MSG_MEMBER_ALIVE || receiver->is_doubted)) {
        members[picked++] = describe(receiver);
    }
    if (picked < limit) {
        picked +=
            pick_queued(membership, to, limit - picked, &members[picked]);
    }
    if (picked < limit) {
        picked += pick_background(membership, &members[picked]);
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
    membership->background_leaving =
        (membership->background_leaving + 1) % membership->leaving_count;
    leaving = &membership->leaving[membership->background_leaving];
    rumour->endpoint = leaving->endpoint;
    rumour->list_revision = leaving->list_revision;
    return 1;
}

/* Moves the first ones behind the others. */
static void
rotate(swim_queue *queue, uint32_t count)
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
    swim_queue *queue = &membership->leaving_rumours;
    uint32_t limit = membership->settings.rumours_per_message;
    uint32_t picked = 0;

    for (uint32_t i = 0; i < queue->count && picked < limit;) {
        swim_leaving *leaving = find_leaving(membership, queue->ids[i]);

        if (leaving == NULL || leaving->transmissions == 0) {
            queue->ids[i] = queue->ids[--queue->count];
            continue;
        }
        rumours[picked].endpoint = leaving->endpoint;
        rumours[picked++].list_revision = leaving->list_revision;
        leaving->transmissions--;
        i++;
    }
    if (picked > 0) {
        rotate(queue, picked);
    }
    if (picked == 0) {
        picked = pick_background_leaving(membership, rumours);
    }
    return picked;
}

void
swim_note_outranked(swim_membership *membership, uint64_t incarnation)
{
    if (incarnation > membership->outranked_by) {
        membership->outranked_by = incarnation;
        swim_log(membership, "incarnation-too-low", membership->self,
                 incarnation);
    }
}

static void
refute(swim_membership *membership, const msg_member *rumour)
{
    if (rumour->incarnation > membership->incarnation) {
        swim_note_outranked(membership, rumour->incarnation);
        return;
    }
    if (rumour->incarnation < membership->incarnation ||
        rumour->refutation < membership->refutation ||
        rumour->state == MSG_MEMBER_ALIVE || membership->has_left) {
        return;
    }
    membership->refutation = rumour->refutation + 1;
    membership->counts.refuted++;
    swim_log(membership, "refuted", membership->self, membership->incarnation);
}

/* A "dead" about an instance that is held alive may come from the other side
 * of a partition, with many others. It is passed on, also to the instance,
 * but counts here only when it is not refuted in time. */
static void
doubt(swim_membership *membership, lv_time now, swim_member *member)
{
    if (member->is_doubted) {
        return;
    }
    swim_set_doubt(membership, member, true);
    swim_set_expiry(membership, member,
                    now +
                        DOUBT_FACTOR * membership->settings.suspicion_timeout);
    swim_spread_member(membership, member);
}

static void
take_state(swim_membership *membership, lv_time now, swim_member *member,
           const msg_member *rumour, const char *reason)
{
    if (rumour->state != MSG_MEMBER_DEAD || !swim_is_up(member)) {
        swim_set_state(membership, now, member, rumour->state, reason);
        return;
    }
    if (member->state == MSG_MEMBER_SUSPECT) {
        swim_set_state(membership, now, member, MSG_MEMBER_ALIVE, reason);
    }
    doubt(membership, now, member);
}

static void
take_restart(swim_membership *membership, lv_time now, swim_member *member,
             const msg_member *rumour)
{
    bool was_known = member->incarnation != 0;
    bool was_up = swim_is_up(member);

    member->incarnation = rumour->incarnation;
    member->refutation = rumour->refutation;
    if (member->is_draining != rumour->draining) {
        member->is_draining = rumour->draining;
        membership->revision++;
    }
    if (was_known) {
        membership->counts.restarts++;
        membership->revision++;
    }
    if (was_known || !was_up || rumour->state != member->state) {
        take_state(membership, now, member, rumour,
                   was_known ? "restarted" : "heard");
        swim_spread_all(membership);
    }
}

static void
take_refutation(swim_membership *membership, lv_time now, swim_member *member,
                const msg_member *rumour)
{
    bool was_up = swim_is_up(member);

    member->refutation = rumour->refutation;
    swim_set_doubt(membership, member, false);
    take_state(membership, now, member, rumour,
               was_up ? "refuted" : "came-back");
    if (!was_up) {
        swim_spread_all(membership);
    }
}

static void
take_same(swim_membership *membership, lv_time now, swim_member *member,
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
        doubt(membership, now, member);
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

/* A rumour that is older than what is known: whoever told it is to hear
 * better. */
static void
correct(swim_membership *membership, swim_member *member,
        const msg_member *rumour)
{
    if (rumour->state != MSG_MEMBER_ALIVE && swim_is_up(member) &&
        member->transmissions == 0) {
        swim_spread_member(membership, member);
    }
}

static void
take_member(swim_membership *membership, lv_time now, const msg_member *rumour)
{
    swim_member *member;

    if (rumour->instance == membership->self) {
        refute(membership, rumour);
        return;
    }
    member = swim_find(membership, rumour->instance);
    if (member == NULL) {
        return;
    }
    if (rumour->incarnation < member->incarnation) {
        correct(membership, member, rumour);
        return;
    }
    if (rumour->incarnation > member->incarnation) {
        take_restart(membership, now, member, rumour);
        return;
    }
    if (member->state == MSG_MEMBER_LEFT) {
        return;
    }
    if (rumour->draining && !member->is_draining) {
        member->is_draining = true;
        membership->revision++;
        swim_spread_member(membership, member);
        swim_log(membership, "draining", member->id, member->incarnation);
    }
    if (rumour->refutation > member->refutation) {
        take_refutation(membership, now, member, rumour);
    }
    else if (rumour->refutation == member->refutation) {
        take_same(membership, now, member, rumour);
    }
    else {
        correct(membership, member, rumour);
    }
}

/* The list overrules a rumour that is older than it. */
static bool
is_overruled(const swim_membership *membership, lv_id endpoint,
             uint64_t list_revision)
{
    lv_handle found;

    if (membership->lists == NULL ||
        membership->lists->revision <= list_revision) {
        return false;
    }
    found = ep_find(membership->lists, endpoint);
    return found == LV_HANDLE_NONE ||
           !membership->lists->endpoints[found].leaving;
}

void
swim_add_leaving(swim_membership *membership, lv_time now, lv_id endpoint,
                 uint64_t list_revision)
{
    swim_leaving *leaving = find_leaving(membership, endpoint);
    uint32_t place = 0;

    (void)now;
    if (is_overruled(membership, endpoint, list_revision)) {
        return;
    }
    if (leaving != NULL) {
        if (list_revision > leaving->list_revision) {
            leaving->list_revision = list_revision;
            spread_leaving(membership, leaving);
        }
        return;
    }
    if (membership->leaving_count == LEAVING_MAX ||
        !table_reserve((void **)&membership->leaving,
                       &membership->leaving_capacity,
                       membership->leaving_count + 1, sizeof *leaving) ||
        membership->leaving == NULL) {
        membership->counts.dropped_foreign++;
        return;
    }
    while (place < membership->leaving_count &&
           membership->leaving[place].endpoint < endpoint) {
        place++;
    }
    leaving = &membership->leaving[place];
    memmove(leaving + 1, leaving,
            (membership->leaving_count - place) * sizeof *leaving);
    memset(leaving, 0, sizeof *leaving);
    leaving->endpoint = endpoint;
    leaving->list_revision = list_revision;
    membership->leaving_count++;
    membership->revision++;
    spread_leaving(membership, leaving);
}

void
swim_check_leaving(swim_membership *membership)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < membership->leaving_count; i++) {
        const swim_leaving *leaving = &membership->leaving[i];

        if (!is_overruled(membership, leaving->endpoint,
                          leaving->list_revision)) {
            membership->leaving[kept++] = *leaving;
        }
    }
    if (kept != membership->leaving_count) {
        membership->leaving_count = kept;
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
swim_take_rumours(swim_membership *membership, lv_time now,
                  const msg_message *message)
{
    for (uint32_t i = 0; i < message->member_count; i++) {
        take_member(membership, now, &message->members[i]);
    }
    for (uint32_t i = 0; i < message->leaving_count; i++) {
        if (message->leaving[i].endpoint != LV_ID_NONE) {
            swim_add_leaving(membership, now, message->leaving[i].endpoint,
                             message->leaving[i].list_revision);
        }
    }
}
