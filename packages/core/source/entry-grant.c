#include "entry-imp.h"

/* Makes the next report to a new dispatcher a full claim. A restarted process
 * of the same instance needs one too, as it has lost its state. */
static void
start_claim(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];
    uint32_t subflow = shard->active.first;

    for (uint32_t i = 0; i < shard->active.count; i++) {
        entry->subflows[subflow].reported[CAT_URGENT] = 0;
        entry->subflows[subflow].reported[CAT_DEFERRABLE] = 0;
        subflow = entry->subflows[subflow].next_active;
    }
    shard->grant_sequence = 0;
    shard->is_claiming = true;
    shard->claim_sent = 0;
    shard->unanswered_since = 0;
    shard->is_silent = false;
    shard->next_full = now;
    entry_mark_shard_due(entry, index);
}

void
entry_set_dispatcher(entry_state *entry, lv_time now, lv_id pool_id,
                     uint32_t number, lv_id dispatcher)
{
    uint32_t pool = entry_ensure_pool(entry, pool_id);
    uint32_t index;
    entry_shard *shard;

    if (pool == NONE || entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    index = entry_ensure_shard(entry, pool, number);
    if (index == NONE || entry->shards[index].dispatcher == dispatcher) {
        return;
    }
    shard = &entry->shards[index];
    shard->dispatcher = dispatcher;
    shard->dispatcher_incarnation = 0;
    if (dispatcher != LV_ID_NONE) {
        start_claim(entry, now, index);
    }
    entry_send_due_reports(entry, now);
}

/* Returns whether a message is from the shard's dispatcher and newer than the
 * last one. Starts a claim if the dispatcher has restarted. */
static bool
accept_message(entry_state *entry, lv_time now, uint32_t index,
               const msg_message *message)
{
    entry_shard *shard = &entry->shards[index];

    if (message->sender != shard->dispatcher ||
        message->incarnation < shard->dispatcher_incarnation ||
        (message->target_incarnation != 0 &&
         message->target_incarnation != entry->incarnation)) {
        return false;
    }
    if (message->tenure < shard->tenure &&
        message->sender != shard->tenure_holder) {
        return false;
    }
    if (message->incarnation > shard->dispatcher_incarnation) {
        if (shard->dispatcher_incarnation != 0) {
            start_claim(entry, now, index);
        }
        shard->dispatcher_incarnation = message->incarnation;
    }
    else if (message->sequence <= shard->grant_sequence) {
        return false;
    }
    return message->echo <= shard->last_full_sent;
}

static void
apply_timing(entry_shard *shard, const msg_message *message)
{
    lv_time expiry = message->echo + message->ttl;

    if (message->wants_full ||
        (shard->grant_sequence != 0 &&
         message->sequence != shard->grant_sequence + 1)) {
        shard->needs_full_report = true;
    }
    shard->grant_sequence = message->sequence;
    if (message->tenure >= shard->tenure) {
        shard->tenure = message->tenure;
        shard->tenure_holder = message->sender;
    }
    shard->unanswered_since = 0;
    shard->is_silent = false;
    if (message->echo == 0) {
        return;
    }
    if (shard->claim_sent != 0 && message->echo >= shard->claim_sent) {
        shard->is_claiming = false;
    }
    if (message->echo < shard->min_echo) {
        return;
    }
    shard->is_stale = false;
    if (expiry > shard->lease_expiry) {
        shard->lease_expiry = expiry;
    }
}

static void
apply_levels(entry_state *entry, lv_time now, uint32_t index,
             const msg_message *message)
{
    const entry_shard *shard = &entry->shards[index];

    for (uint32_t i = 0; i < message->level_count; i++) {
        const msg_level *level = &message->levels[i];
        uint32_t flow = entry_ensure_flow(entry, shard->pool, level->account);
        uint32_t found =
            flow == NONE ? NONE : entry_ensure_subflow(entry, index, flow);
        entry_subflow *subflow;

        if (found == NONE) {
            continue;
        }
        subflow = &entry->subflows[found];
        subflow->level = level->level;
        subflow->total_at_level = message->echo == shard->last_full_sent
                                      ? subflow->reported_total
                                      : subflow->previous_reported_total;
        if (entry->flows[flow].is_rated &&
            index == entry_home_shard(entry, flow)) {
            entry->flows[flow].has_allowance = true;
            entry->flows[flow].allowance = level->allowance;
            entry->flows[flow].allowance_received = now;
        }
        entry->flows[flow].level = level->level;
        entry->flows[flow].service_since_level =
            subflow->service_total - subflow->total_at_level;
        entry_update_level(entry, flow);
    }
}

/* Mirrors the dispatcher, which counts one waiting request less for each
 * grant. */
static void
count_granted_request(entry_state *entry, uint32_t shard, uint32_t flow)
{
    uint32_t found = entry_ensure_subflow(entry, shard, flow);
    entry_subflow *subflow;

    if (found == NONE) {
        return;
    }
    subflow = &entry->subflows[found];
    if (subflow->reported[CAT_URGENT] > 0) {
        subflow->reported[CAT_URGENT]--;
    }
    else if (subflow->reported[CAT_DEFERRABLE] > 0) {
        subflow->reported[CAT_DEFERRABLE]--;
    }
}

static void
apply_grant(entry_state *entry, lv_time now, uint32_t shard,
            const msg_grant *grant)
{
    uint32_t endpoint = entry_ensure_endpoint(entry, grant->endpoint);
    uint32_t flow = NONE;
    uint32_t lease;

    if (endpoint == NONE ||
        map_find(&entry->lease_index, entry_lease_key(shard, grant->lease)) !=
            NONE) {
        return;
    }
    if (grant->account != LV_ID_NONE) {
        flow = entry_ensure_flow(entry, entry->shards[shard].pool,
                                 grant->account);
        if (flow == NONE) {
            return;
        }
        count_granted_request(entry, shard, flow);
    }
    lease = entry_add_lease(entry, shard, grant->lease, endpoint, flow);
    if (lease != NONE) {
        entry_handle_free_lease(entry, now, lease, "granted");
    }
}

static void
apply_recall(entry_state *entry, uint32_t shard, uint64_t id)
{
    uint32_t lease = map_find(&entry->lease_index, entry_lease_key(shard, id));

    if (lease == NONE) {
        return;
    }
    entry->leases[lease].is_recalled = true;
    if (entry->leases[lease].item == NONE) {
        entry_release_lease(entry, lease);
    }
}

/* Reports demand at once where, after the grants, the dispatcher counts at
 * most half of the requests that wait. */
static void
mark_underreported_demand(entry_state *entry, uint32_t shard,
                          const msg_message *message)
{
    for (uint32_t i = 0; i < message->grant_count; i++) {
        uint32_t flow = map_find(
            &entry->flow_index,
            entry_pair_key(message->pool, message->grants[i].account));
        uint32_t found =
            flow == NONE ? NONE : entry_ensure_subflow(entry, shard, flow);
        const entry_subflow *subflow;

        if (found == NONE) {
            continue;
        }
        subflow = &entry->subflows[found];
        for (int j = 0; j < CAT_PRIORITY_COUNT; j++) {
            if (subflow->waiting[j] > 0 &&
                subflow->waiting[j] >= subflow->reported[j] * 2) {
                entry_mark_subflow_changed(entry, found, true);
            }
        }
    }
}

/* After a lost message, one side may not know of some leases: a full report
 * makes both sides agree again. */
static void
schedule_full_after_loss(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];

    if (!shard->needs_full_report) {
        return;
    }
    shard->needs_full_report = false;
    shard->next_full = now;
    entry_mark_shard_due(entry, index);
}

bool
entry_receive_grant(entry_state *entry, lv_time now,
                    const msg_message *message)
{
    uint32_t index = map_find(&entry->shard_index,
                              entry_pair_key(message->pool, message->shard));
    entry_shard *shard;
    bool was_stale;

    if (index == NONE || entry->settings.mode != ENTRY_MODE_LEASES ||
        !accept_message(entry, now, index, message)) {
        entry->counts.stale_grants++;
        return false;
    }
    shard = &entry->shards[index];
    was_stale = shard->is_stale;
    apply_timing(shard, message);
    if (shard->lease_expiry != 0) {
        entry_schedule_tick(entry, shard->lease_expiry);
    }
    shard->is_contended = message->is_contended;
    apply_levels(entry, now, index, message);
    for (uint32_t i = 0; i < message->recalled_count; i++) {
        apply_recall(entry, index, message->recalled[i]);
    }
    for (uint32_t i = 0; i < message->grant_count; i++) {
        apply_grant(entry, now, index, &message->grants[i]);
    }
    if (message->is_contended || was_stale) {
        entry_release_unused_leases(entry, now, index);
    }
    mark_underreported_demand(entry, index, message);
    schedule_full_after_loss(entry, now, index);
    entry_send_due_reports(entry, now);
    return true;
}

static void
check_lease_expiry(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];

    if (shard->leases.count == 0 || shard->is_stale) {
        return;
    }
    if (now >= shard->lease_expiry) {
        entry_expire_leases(entry, index);
    }
    else {
        entry_schedule_tick(entry, shard->lease_expiry);
    }
}

static void
check_silence(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];
    lv_time expiry = shard->unanswered_since + entry->settings.silence_timeout;

    if (shard->unanswered_since == 0 || shard->is_silent) {
        return;
    }
    if (now < expiry) {
        entry_schedule_tick(entry, expiry);
        return;
    }
    shard->is_silent = true;
    if (entry->pools[shard->pool].shard_count > 1) {
        entry_reassign_demand(entry, now, index);
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

        check_lease_expiry(entry, now, i);
        check_silence(entry, now, i);
        if (shard->dispatcher == LV_ID_NONE) {
            continue;
        }
        if (shard->next_full <= now || shard->next_progress <= now) {
            entry_mark_shard_due(entry, i);
        }
        else {
            entry_schedule_tick(entry, shard->next_full);
            entry_schedule_tick(entry, shard->next_progress);
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
        shard->min_echo = now;
        shard->lease_expiry = 0;
        shard->unanswered_since = 0;
        shard->is_silent = false;
        entry_expire_leases(entry, i);
        shard->next_full = now;
        entry_mark_shard_due(entry, i);
    }
    entry_send_due_reports(entry, now);
}
