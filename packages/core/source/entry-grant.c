#include "entry-imp.h"

/* Learn who speaks for the shard; a restarted process of the same instance
 * needs a claim like a new one. */
static void
start_claim(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];
    uint32_t part = shard->active.first;

    for (uint32_t i = 0; i < shard->active.count; i++) {
        entry->parts[part].told[CAT_URGENT] = 0;
        entry->parts[part].told[CAT_DEFERRABLE] = 0;
        part = entry->parts[part].next_active;
    }
    shard->seen = 0;
    shard->is_claiming = true;
    shard->claim_sent = 0;
    shard->unanswered_since = 0;
    shard->is_silent = false;
    shard->next_full = now;
    entry_mark_due(entry, index);
}

void
entry_set_dispatcher(entry_state *entry, lv_time now, lv_id pool_id,
                     uint32_t number, lv_id dispatcher)
{
    uint32_t pool = entry_get_pool(entry, pool_id);
    uint32_t index;
    entry_shard *shard;

    if (pool == NONE || entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    index = entry_get_shard(entry, pool, number);
    if (index == NONE || entry->shards[index].dispatcher == dispatcher) {
        return;
    }
    shard = &entry->shards[index];
    shard->dispatcher = dispatcher;
    shard->heard_incarnation = 0;
    if (dispatcher != LV_ID_NONE) {
        start_claim(entry, now, index);
    }
    entry_flush(entry, now);
}

/* Is the message from the shard's dispatcher, and newer than what was
 * heard? */
static bool
accept(entry_state *entry, lv_time now, uint32_t index,
       const msg_message *message)
{
    entry_shard *shard = &entry->shards[index];

    if (message->sender != shard->dispatcher ||
        message->incarnation < shard->heard_incarnation ||
        (message->target_incarnation != 0 &&
         message->target_incarnation != entry->incarnation)) {
        return false;
    }
    if (message->tenure < shard->tenure &&
        message->sender != shard->tenure_from) {
        return false;
    }
    if (message->incarnation > shard->heard_incarnation) {
        if (shard->heard_incarnation != 0) {
            start_claim(entry, now, index);
        }
        shard->heard_incarnation = message->incarnation;
    }
    else if (message->sequence <= shard->seen) {
        return false;
    }
    return message->echo <= shard->full_sent;
}

static void
take_times(entry_shard *shard, const msg_message *message)
{
    lv_time end = message->echo + message->ttl;

    if (message->wants_full ||
        (shard->seen != 0 && message->sequence != shard->seen + 1)) {
        shard->is_full_wanted = true;
    }
    shard->seen = message->sequence;
    if (message->tenure >= shard->tenure) {
        shard->tenure = message->tenure;
        shard->tenure_from = message->sender;
    }
    shard->unanswered_since = 0;
    shard->is_silent = false;
    if (message->echo == 0) {
        return;
    }
    if (shard->claim_sent != 0 && message->echo >= shard->claim_sent) {
        shard->is_claiming = false;
    }
    if (message->echo < shard->fresh_since) {
        return;
    }
    shard->is_stale = false;
    if (end > shard->lease_end) {
        shard->lease_end = end;
    }
}

static void
take_levels(entry_state *entry, lv_time now, uint32_t index,
            const msg_message *message)
{
    const entry_shard *shard = &entry->shards[index];

    for (uint32_t i = 0; i < message->level_count; i++) {
        const msg_level *level = &message->levels[i];
        uint32_t flow = entry_get_flow(entry, shard->pool, level->account);
        uint32_t found =
            flow == NONE ? NONE : entry_get_part(entry, index, flow);
        entry_part *part;

        if (found == NONE) {
            continue;
        }
        part = &entry->parts[found];
        part->level = level->level;
        part->level_total = message->echo == shard->full_sent
                                ? part->told_total
                                : part->previous_total;
        if (entry->flows[flow].is_rated &&
            index == entry_home_shard(entry, flow)) {
            entry->flows[flow].has_allowance = true;
            entry->flows[flow].allowance = level->allowance;
            entry->flows[flow].allowance_time = now;
        }
        entry->flows[flow].level = level->level;
        entry->flows[flow].since = part->total - part->level_total;
        entry_set_level(entry, flow);
    }
}

/* The dispatcher counts one request less as waiting for each grant. */
static void
note_granted(entry_state *entry, uint32_t shard, uint32_t flow)
{
    uint32_t found = entry_get_part(entry, shard, flow);
    entry_part *part;

    if (found == NONE) {
        return;
    }
    part = &entry->parts[found];
    if (part->told[CAT_URGENT] > 0) {
        part->told[CAT_URGENT]--;
    }
    else if (part->told[CAT_DEFERRABLE] > 0) {
        part->told[CAT_DEFERRABLE]--;
    }
}

static void
take_grant(entry_state *entry, lv_time now, uint32_t shard,
           const msg_grant *grant)
{
    uint32_t endpoint = entry_get_endpoint(entry, grant->endpoint);
    uint32_t flow = NONE;
    uint32_t lease;

    if (endpoint == NONE ||
        map_find(&entry->lease_index, entry_lease_key(shard, grant->lease)) !=
            NONE) {
        return;
    }
    if (grant->account != LV_ID_NONE) {
        flow =
            entry_get_flow(entry, entry->shards[shard].pool, grant->account);
        if (flow == NONE) {
            return;
        }
        note_granted(entry, shard, flow);
    }
    lease = entry_add_lease(entry, shard, grant->lease, endpoint, flow);
    if (lease != NONE) {
        entry_settle_lease(entry, now, lease, "granted");
    }
}

static void
take_recall(entry_state *entry, uint32_t shard, uint64_t id)
{
    uint32_t lease = map_find(&entry->lease_index, entry_lease_key(shard, id));

    if (lease == NONE) {
        return;
    }
    entry->leases[lease].is_recalled = true;
    if (entry->leases[lease].item == NONE) {
        entry_give_back(entry, lease);
    }
}

/* After grants the dispatcher may believe that less waits than does. */
static void
correct_demand(entry_state *entry, uint32_t shard, const msg_message *message)
{
    for (uint32_t i = 0; i < message->grant_count; i++) {
        uint32_t flow =
            map_find(&entry->flow_index,
                     entry_pair(message->pool, message->grants[i].account));
        uint32_t found =
            flow == NONE ? NONE : entry_get_part(entry, shard, flow);
        const entry_part *part;

        if (found == NONE) {
            continue;
        }
        part = &entry->parts[found];
        for (int j = 0; j < CAT_PRIORITY_COUNT; j++) {
            if (part->waiting[j] > 0 &&
                part->waiting[j] >= part->told[j] * 2) {
                entry_mark_part(entry, found, true);
            }
        }
    }
}

/* A lost message leaves leases that one side does not know of: the next full
 * report clears that up. */
static void
follow_loss(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];

    if (!shard->is_full_wanted) {
        return;
    }
    shard->is_full_wanted = false;
    shard->next_full = now;
    entry_mark_due(entry, index);
}

bool
entry_receive_grant(entry_state *entry, lv_time now,
                    const msg_message *message)
{
    uint32_t index = map_find(&entry->shard_index,
                              entry_pair(message->pool, message->shard));
    entry_shard *shard;
    bool was_stale;

    if (index == NONE || entry->settings.mode != ENTRY_MODE_LEASES ||
        !accept(entry, now, index, message)) {
        entry->counts.stale_grants++;
        return false;
    }
    shard = &entry->shards[index];
    was_stale = shard->is_stale;
    take_times(shard, message);
    if (shard->lease_end != 0) {
        entry_wake(entry, shard->lease_end);
    }
    shard->is_contended = message->is_contended;
    take_levels(entry, now, index, message);
    for (uint32_t i = 0; i < message->recalled_count; i++) {
        take_recall(entry, index, message->recalled[i]);
    }
    for (uint32_t i = 0; i < message->grant_count; i++) {
        take_grant(entry, now, index, &message->grants[i]);
    }
    if (message->is_contended || was_stale) {
        entry_release_all_idle(entry, now, index);
    }
    correct_demand(entry, index, message);
    follow_loss(entry, now, index);
    entry_flush(entry, now);
    return true;
}

static void
tick_leases(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];

    if (shard->leases.count == 0 || shard->is_stale) {
        return;
    }
    if (now >= shard->lease_end) {
        entry_end_leases(entry, index);
    }
    else {
        entry_wake(entry, shard->lease_end);
    }
}

static void
tick_silence(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];
    lv_time end = shard->unanswered_since + entry->settings.silence_timeout;

    if (shard->unanswered_since == 0 || shard->is_silent) {
        return;
    }
    if (now < end) {
        entry_wake(entry, end);
        return;
    }
    shard->is_silent = true;
    if (entry->pools[shard->pool].shards > 1) {
        entry_replace_demand(entry, now, index);
    }
}

void
entry_tick_shards(entry_state *entry, lv_time now)
{
    if (entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    for (uint32_t i = 0; i < entry->shard_count; i++) {
        entry_shard *shard = &entry->shards[i];

        tick_leases(entry, now, i);
        tick_silence(entry, now, i);
        if (shard->dispatcher == LV_ID_NONE) {
            continue;
        }
        if (shard->next_full <= now || shard->next_progress <= now) {
            entry_mark_due(entry, i);
        }
        else {
            entry_wake(entry, shard->next_full);
            entry_wake(entry, shard->next_progress);
        }
    }
}

void
entry_mark_stale(entry_state *entry, lv_time now)
{
    if (entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    for (uint32_t i = 0; i < entry->shard_count; i++) {
        entry_shard *shard = &entry->shards[i];

        shard->is_stale = true;
        shard->fresh_since = now;
        shard->lease_end = 0;
        shard->unanswered_since = 0;
        shard->is_silent = false;
        entry_end_leases(entry, i);
        shard->next_full = now;
        entry_mark_due(entry, i);
    }
    entry_flush(entry, now);
}
