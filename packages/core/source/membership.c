#include "membership-imp.h"

#include <stdlib.h>
#include <string.h>

#include "rows-imp.h"
#include "table-imp.h"

void
swim_default_settings(swim_settings *settings)
{
    memset(settings, 0, sizeof *settings);
    settings->probe_interval = 150 * LV_MILLISECOND;
    settings->probe_timeout = 80 * LV_MILLISECOND;
    settings->suspicion_timeout = 600 * LV_MILLISECOND;
    settings->forget_timeout = 600 * LV_SECOND;
    settings->indirect_probes = 2;
    settings->max_peers = 16;
    settings->rumours_per_message = 16;
}

static bool
check_settings(const swim_settings *settings, err_error *error)
{
    if (settings->probe_interval == 0 || settings->probe_timeout == 0 ||
        settings->suspicion_timeout == 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "set probe_interval, probe_timeout and suspicion to "
                       "more than zero",
                       "probe_interval, probe_timeout or suspicion is zero");
    }
    if (settings->rumours_per_message == 0 ||
        settings->rumours_per_message > SWIM_RUMOURS_MAX) {
        return err_set(error, ERR_BAD_VALUE,
                       "set rumours_per_message to a number from 1 to 32",
                       "rumours_per_message is %u",
                       settings->rumours_per_message);
    }
    if (settings->probe_timeout * 3 / settings->probe_interval >=
        SWIM_PROBES_MAX) {
        return err_set(error, ERR_CONFLICT,
                       "make probe_timeout shorter or probe_interval longer",
                       "more than %d probes would be outstanding at one "
                       "time",
                       SWIM_PROBES_MAX);
    }
    return true;
}

bool
swim_init(swim_membership *membership, lv_host *host,
          const swim_settings *settings, lv_id self, uint64_t incarnation,
          uint64_t seed, lv_time now, err_error *error)
{
    memset(membership, 0, sizeof *membership);
    if (!check_settings(settings, error)) {
        return false;
    }
    if (incarnation == 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "pass a number that grows with every restart",
                       "the incarnation is 0");
    }
    membership->host = host;
    membership->settings = *settings;
    membership->self = self;
    membership->incarnation = incarnation;
    membership->prng_state = seed ^ self ^ incarnation;
    membership->next_probe_at =
        now + swim_random(membership) % settings->probe_interval;
    membership->next_dead_probe_at = now;
    membership->next_expiry_at = LV_TIME_NEVER;
    membership->last_message_at = now;
    return true;
}

void
swim_finish(swim_membership *membership)
{
    free(membership->members);
    free(membership->peers);
    free(membership->leaving);
    free(membership->member_rumours.ids);
    free(membership->leaving_rumours.ids);
    memset(membership, 0, sizeof *membership);
}

/* SplitMix64. */
uint64_t
swim_random(swim_membership *membership)
{
    uint64_t z = membership->prng_state += 0x9e3779b97f4a7c15U;

    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9U;
    z = (z ^ z >> 27) * 0x94d049bb133111ebU;
    return z ^ z >> 31;
}

void
swim_log(swim_membership *membership, const char *reason, lv_id instance,
         uint64_t incarnation)
{
    lv_decision decision = {
        .kind = LV_DECIDE_MEMBER,
        .reason = reason,
        .instance = instance,
        .value = incarnation,
        .alternatives = membership->live_count,
    };

    membership->host->ops->log_decision(membership->host, &decision);
}

swim_member *
swim_find(const swim_membership *membership, lv_id id)
{
    lv_handle found =
        row_bsearch_id(membership->members, membership->member_count,
                       sizeof(swim_member), offsetof(swim_member, id), id);

    return found == LV_HANDLE_NONE ? NULL : &membership->members[found];
}

bool
swim_is_member_live(const swim_member *member)
{
    return member->state == MSG_MEMBER_ALIVE ||
           member->state == MSG_MEMBER_SUSPECT;
}

static void
update_state_counts(swim_membership *membership, const swim_member *member,
                    bool is_added)
{
    if (swim_is_member_live(member)) {
        membership->live_count += is_added ? 1 : -1U;
    }
    if (member->state == MSG_MEMBER_SUSPECT) {
        membership->suspect_count += is_added ? 1 : -1U;
    }
}

void
swim_set_reported_dead(swim_membership *membership, swim_member *member,
                       bool is_reported_dead)
{
    if (member->is_reported_dead != is_reported_dead) {
        member->is_reported_dead = is_reported_dead;
        membership->reported_dead_count += is_reported_dead ? 1 : -1U;
    }
}

void
swim_set_expiry(swim_membership *membership, swim_member *member,
                lv_time expires_at)
{
    member->expires_at = expires_at;
    if (expires_at < membership->next_expiry_at) {
        membership->next_expiry_at = expires_at;
    }
}

void
swim_set_state(swim_membership *membership, lv_time now, swim_member *member,
               msg_member_state state, const char *reason)
{
    bool was_live = swim_is_member_live(member);

    update_state_counts(membership, member, false);
    member->state = state;
    member->changed_at = now;
    update_state_counts(membership, member, true);
    if (was_live != swim_is_member_live(member)) {
        membership->needs_peer_selection = true;
        membership->revision++;
        if (was_live) {
            membership->counts.deaths++;
        }
        else {
            membership->counts.recoveries++;
        }
    }
    swim_set_reported_dead(membership, member, false);
    if (state == MSG_MEMBER_SUSPECT) {
        swim_set_expiry(membership, member,
                        now + membership->settings.suspicion_timeout);
    }
    swim_queue_member(membership, member);
    swim_log(membership, reason, member->id, member->incarnation);
}

static swim_member *
add_member(swim_membership *membership, uint32_t index, lv_id id, lv_time now)
{
    swim_member *member;

    if (!table_reserve((void **)&membership->members,
                       &membership->member_capacity,
                       membership->member_count + 1, sizeof *member)) {
        return NULL;
    }
    member = &membership->members[index];
    memmove(member + 1, member,
            (membership->member_count - index) * sizeof *member);
    memset(member, 0, sizeof *member);
    member->id = id;
    member->changed_at = now;
    membership->member_count++;
    membership->live_count++;
    membership->needs_peer_selection = true;
    membership->revision++;
    return member;
}

static bool
is_expired(const swim_membership *membership, const swim_member *member,
           lv_time now)
{
    return !member->is_listed && !swim_is_member_live(member) &&
           lv_elapsed(now, member->changed_at) >
               membership->settings.forget_timeout;
}

static void
remove_expired_members(swim_membership *membership, lv_time now)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < membership->member_count; i++) {
        if (!is_expired(membership, &membership->members[i], now)) {
            membership->members[count++] = membership->members[i];
        }
    }
    membership->member_count = count;
}

static void
update_listed_member(swim_membership *membership, swim_member *member,
                     const lists_instance *instance)
{
    member->is_listed = true;
    if (member->is_listed_leaving != instance->is_leaving) {
        member->is_listed_leaving = instance->is_leaving;
        membership->revision++;
    }
}

/* Both tables are sorted by id, so one pass over both finds the new
 * instances. */
void
swim_set_lists(swim_membership *membership, lv_time now,
               const lists_snapshot *lists)
{
    uint32_t index = 0;

    membership->lists = lists;
    for (uint32_t i = 0; i < membership->member_count; i++) {
        membership->members[i].is_listed = false;
    }
    for (uint32_t i = 0; i < lists->instance_count; i++) {
        const lists_instance *instance = &lists->instances[i];
        swim_member *member;

        while (index < membership->member_count &&
               membership->members[index].id < instance->id) {
            index++;
        }
        if (instance->id == membership->self) {
            continue;
        }
        member = &membership->members[index];
        if (index == membership->member_count || member->id != instance->id) {
            member = add_member(membership, index, instance->id, now);
        }
        if (member != NULL) {
            update_listed_member(membership, member, instance);
        }
    }
    remove_expired_members(membership, now);
    swim_remove_superseded_leaving(membership);
}

void
swim_mark_stale(swim_membership *membership, lv_time now)
{
    memset(membership->probes, 0, sizeof membership->probes);
    memset(membership->relays, 0, sizeof membership->relays);
    for (uint32_t i = 0; i < membership->member_count; i++) {
        swim_set_expiry(membership, &membership->members[i],
                        now + membership->settings.suspicion_timeout);
    }
    membership->is_stale = true;
    membership->next_probe_at = now + membership->settings.probe_interval;
    swim_probe_peers(membership, now);
    swim_log(membership, "woke-late", membership->self,
             membership->incarnation);
}

bool
swim_is_stale(const swim_membership *membership)
{
    return membership->is_stale && membership->live_count > 0;
}

void
swim_drain(swim_membership *membership, lv_time now)
{
    if (membership->is_draining) {
        return;
    }
    membership->is_draining = true;
    membership->revision++;
    swim_log(membership, "draining", membership->self,
             membership->incarnation);
    swim_probe_peers(membership, now);
}

void
swim_leave(swim_membership *membership, lv_time now)
{
    if (membership->has_left) {
        return;
    }
    membership->is_draining = true;
    membership->has_left = true;
    membership->revision++;
    swim_log(membership, "left", membership->self, membership->incarnation);
    swim_probe_peers(membership, now);
}

static bool
is_candidate(const swim_member *member)
{
    return swim_is_member_live(member) && !member->is_draining &&
           !member->is_listed_leaving;
}

static bool
is_self_listed_leaving(const swim_membership *membership)
{
    lv_handle self;

    if (membership->lists == NULL) {
        return false;
    }
    self = lists_find_instance(membership->lists, membership->self);
    return self != LV_HANDLE_NONE &&
           membership->lists->instances[self].is_leaving;
}

/* Writes the ids in ascending order, with that of this instance at its place
 * among the members. */
static uint32_t
collect_ids(const swim_membership *membership, bool is_candidates_only,
            bool is_self_included, lv_id *ids, uint32_t capacity)
{
    uint32_t written = 0;
    bool needs_self = is_self_included;

    for (uint32_t i = 0; i <= membership->member_count; i++) {
        const swim_member *member = &membership->members[i];
        bool is_end = i == membership->member_count;

        if (needs_self && (is_end || member->id > membership->self)) {
            needs_self = false;
            if (written < capacity) {
                ids[written++] = membership->self;
            }
        }
        if (!is_end && written < capacity &&
            (is_candidates_only ? is_candidate(member)
                                : swim_is_member_live(member))) {
            ids[written++] = member->id;
        }
    }
    return written;
}

uint32_t
swim_collect_candidates(const swim_membership *membership, lv_id *ids,
                        uint32_t capacity)
{
    bool is_self_included =
        !membership->is_draining && !is_self_listed_leaving(membership);

    return collect_ids(membership, true, is_self_included, ids, capacity);
}

uint32_t
swim_collect_live(const swim_membership *membership, lv_id *ids,
                  uint32_t capacity)
{
    return collect_ids(membership, false, !membership->has_left, ids,
                       capacity);
}

uint32_t
swim_live_permille(const swim_membership *membership)
{
    uint32_t listed = 1;
    uint32_t live = 1;

    for (uint32_t i = 0; i < membership->member_count; i++) {
        const swim_member *member = &membership->members[i];

        if (member->is_listed && member->state != MSG_MEMBER_LEFT) {
            listed++;
            live += swim_is_member_live(member);
        }
    }
    return (uint32_t)((uint64_t)live * 1000 / listed);
}

bool
swim_is_live(const swim_membership *membership, lv_id instance,
             uint64_t *incarnation)
{
    const swim_member *member;

    if (instance == membership->self) {
        if (incarnation != NULL) {
            *incarnation = membership->incarnation;
        }
        return !membership->has_left;
    }
    member = swim_find(membership, instance);
    if (member == NULL || !swim_is_member_live(member)) {
        return false;
    }
    if (incarnation != NULL) {
        *incarnation = member->incarnation;
    }
    return true;
}

size_t
swim_memory(const swim_membership *membership)
{
    return membership->member_capacity * sizeof(swim_member) +
           membership->leaving_capacity * sizeof(swim_leaving) +
           (membership->peer_capacity + membership->member_rumours.capacity +
            membership->leaving_rumours.capacity) *
               sizeof(lv_id);
}
