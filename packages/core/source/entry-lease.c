#include "entry-imp.h"

#include "table-imp.h"

void
entry_lease_list_append(entry_state *entry, entry_list *list, lease_list kind,
                        uint32_t index)
{
    entry_lease *lease = &entry->leases[index];

    lease->next[kind] = NONE;
    lease->previous[kind] = list->count > 0 ? list->last : NONE;
    if (list->count++ > 0) {
        entry->leases[list->last].next[kind] = index;
    }
    else {
        list->first = index;
    }
    list->last = index;
}

void
entry_lease_list_remove(entry_state *entry, entry_list *list, lease_list kind,
                        uint32_t index)
{
    entry_lease *lease = &entry->leases[index];
    uint32_t next = lease->next[kind];
    uint32_t previous = lease->previous[kind];

    if (previous != NONE) {
        entry->leases[previous].next[kind] = next;
    }
    else {
        list->first = next;
    }
    if (next != NONE) {
        entry->leases[next].previous[kind] = previous;
    }
    else {
        list->last = previous;
    }
    list->count--;
}

static entry_pool *
lease_pool(entry_state *entry, const entry_lease *lease)
{
    return &entry->pools[entry->shards[lease->shard].pool];
}

static entry_list *
idle_list(entry_state *entry, const entry_lease *lease)
{
    if (lease->flow != NONE) {
        return &entry->flows[lease->flow].idle;
    }
    return &lease_pool(entry, lease)->idle;
}

static void
set_idle(entry_state *entry, lv_time now, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];
    entry_pool *pool = lease_pool(entry, lease);

    lease->is_idle = true;
    lease->idle_since = now;
    entry_lease_list_append(entry, idle_list(entry, lease), LIST_IDLE, index);
    entry_lease_list_append(entry, &pool->idle_by_age, LIST_IDLE_BY_AGE,
                            index);
    entry->counts.idle_leases++;
    if (entry->settings.mode == ENTRY_MODE_LEASES) {
        entry_schedule_tick(entry, now + pool->idle_timeout);
    }
}

static void
clear_idle(entry_state *entry, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];

    if (!lease->is_idle) {
        return;
    }
    lease->is_idle = false;
    entry_lease_list_remove(entry, idle_list(entry, lease), LIST_IDLE, index);
    entry_lease_list_remove(entry, &lease_pool(entry, lease)->idle_by_age,
                            LIST_IDLE_BY_AGE, index);
    entry->counts.idle_leases--;
}

uint32_t
entry_add_lease(entry_state *entry, uint32_t shard, uint64_t id,
                uint32_t endpoint, uint32_t flow)
{
    uint32_t index = entry->free_leases.first;

    if (entry->free_leases.count > 0) {
        entry->free_leases.first = entry->leases[index].next[LIST_SHARD];
        entry->free_leases.count--;
    }
    else {
        if (!table_reserve((void **)&entry->leases, &entry->lease_capacity,
                           entry->lease_count + 1, sizeof *entry->leases)) {
            return NONE;
        }
        index = entry->lease_count++;
        entry->leases[index].next[LIST_SHARD] = NONE;
        entry->free_leases.first = NONE;
    }
    if (!map_set(&entry->lease_index, entry_lease_key(shard, id), index)) {
        entry->leases[index].next[LIST_SHARD] = entry->free_leases.first;
        entry->free_leases.first = index;
        entry->free_leases.count++;
        return NONE;
    }
    entry->leases[index] = (entry_lease){.id = id,
                                         .shard = shard,
                                         .endpoint = endpoint,
                                         .flow = flow,
                                         .item = NONE};
    entry_lease_list_append(entry, &entry->shards[shard].leases, LIST_SHARD,
                            index);
    entry->counts.leases++;
    return index;
}

void
entry_remove_lease(entry_state *entry, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];

    clear_idle(entry, index);
    entry_lease_list_remove(entry, &entry->shards[lease->shard].leases,
                            LIST_SHARD, index);
    map_remove(&entry->lease_index, entry_lease_key(lease->shard, lease->id));
    lease->next[LIST_SHARD] = entry->free_leases.first;
    entry->free_leases.first = index;
    entry->free_leases.count++;
    entry->counts.leases--;
}

void
entry_release_lease(entry_state *entry, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];
    entry_shard *shard = &entry->shards[lease->shard];

    if (table_reserve((void **)&shard->released, &shard->released_capacity,
                      shard->released_count + 1, sizeof *shard->released)) {
        shard->released[shard->released_count++] = lease->id;
        entry_mark_shard_due(entry, lease->shard);
    }
    entry_remove_lease(entry, index);
}

/* Returns whether a new attempt may start under a lease. */
bool
entry_is_lease_usable(const entry_state *entry, lv_time now, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];
    const entry_shard *shard = &entry->shards[lease->shard];
    const entry_endpoint *endpoint = &entry->endpoints[lease->endpoint];

    return !lease->has_expired && !shard->is_stale &&
           now < shard->lease_expiry && endpoint->shard != NONE &&
           !endpoint->is_leaving && !endpoint->is_list_leaving;
}

static bool
is_backing_off(const entry_state *entry, lv_time now, uint32_t lease)
{
    return entry->endpoints[entry->leases[lease].endpoint].backoff_until > now;
}

/* Returns the flow that a free lease serves next; NONE if no waiting request
 * may use it. */
static uint32_t
choose_flow(const entry_state *entry, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];
    const entry_pool *pool = &entry->pools[entry->shards[lease->shard].pool];

    if (lease->flow == NONE) {
        return fq_choose_flow(&entry->queues, pool->queue_group);
    }
    return fq_count_items(&entry->queues, lease->flow) > 0 ? lease->flow
                                                           : NONE;
}

/* Returns whether a free lease must be released. Leases of a stale shard stay
 * idle and unused until its dispatcher has answered. */
static bool
must_release(const entry_state *entry, lv_time now, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];

    if (lease->is_recalled || lease->has_expired) {
        return true;
    }
    return !entry->shards[lease->shard].is_stale &&
           !entry_is_lease_usable(entry, now, index);
}

/* Uses a free lease for the next waiting request, keeps it idle or releases
 * it. */
void
entry_handle_free_lease(entry_state *entry, lv_time now, uint32_t index,
                        const char *reason)
{
    entry_shard *shard = &entry->shards[entry->leases[index].shard];
    uint32_t flow;

    if (must_release(entry, now, index)) {
        entry_release_lease(entry, index);
        return;
    }
    flow = choose_flow(entry, index);
    if (flow != NONE && !shard->is_stale &&
        !is_backing_off(entry, now, index)) {
        uint32_t waiting = fq_count_items(&entry->queues, flow);

        clear_idle(entry, index);
        entry_start_attempt(entry, now, fq_first_item(&entry->queues, flow),
                            index, 0, reason, waiting - 1);
        return;
    }
    if (flow == NONE && shard->is_contended) {
        entry_release_lease(entry, index);
        return;
    }
    if (!entry->leases[index].is_idle) {
        set_idle(entry, now, index);
    }
}

static bool
was_tried(const entry_item *item, uint32_t endpoint)
{
    uint32_t count =
        item->tried_count < TRIED_MAX ? item->tried_count : TRIED_MAX;

    for (uint32_t i = 0; i < count; i++) {
        if (item->tried[i] == endpoint) {
            return true;
        }
    }
    return false;
}

typedef struct lease_search {
    uint32_t best;
    int rank;
    uint32_t usable_count;
} lease_search;

static void
search_idle_list(const entry_state *entry, lv_time now, const entry_item *item,
                 const entry_list *list, lease_search *search)
{
    uint32_t prefix_endpoint =
        entry_find_prefix_endpoint(entry, item->prefix_hash);
    uint32_t index = list->first;

    for (uint32_t i = 0; i < list->count && i < IDLE_SCAN_MAX; i++) {
        const entry_lease *lease = &entry->leases[index];
        int rank = was_tried(item, lease->endpoint) ? 0 : 2;

        rank += lease->endpoint == prefix_endpoint;
        if (entry_is_lease_usable(entry, now, index) &&
            !is_backing_off(entry, now, index)) {
            search->usable_count++;
            if (rank > search->rank) {
                search->best = index;
                search->rank = rank;
            }
        }
        index = lease->next[LIST_IDLE];
    }
}

/* Returns the best idle lease for a request, or NONE: preferably at an
 * endpoint that was not tried, then at the one that served the prompt's
 * prefix. */
uint32_t
entry_choose_lease(entry_state *entry, lv_time now, uint32_t item_index,
                   uint32_t *alternatives, const char **reason)
{
    const entry_item *item = &entry->items[item_index];
    const entry_flow *flow = &entry->flows[item->flow];
    lease_search search = {NONE, -1, 0};

    search_idle_list(entry, now, item, &flow->idle, &search);
    if (!flow->is_limited) {
        search_idle_list(entry, now, item, &entry->pools[flow->pool].idle,
                         &search);
    }
    *alternatives = search.usable_count > 0 ? search.usable_count - 1 : 0;
    *reason = (search.rank & 1) == 1 ? "prefix" : "idle-lease";
    return search.best;
}

/* Starts waiting requests of a flow on idle leases. */
void
entry_start_waiting(entry_state *entry, lv_time now, uint32_t flow)
{
    uint32_t item = fq_first_item(&entry->queues, flow);

    while (item != NONE) {
        uint32_t alternatives;
        const char *reason;
        uint32_t lease =
            entry_choose_lease(entry, now, item, &alternatives, &reason);

        if (lease == NONE) {
            break;
        }
        clear_idle(entry, lease);
        entry_start_attempt(entry, now, item, lease, 0, reason, alternatives);
        item = fq_first_item(&entry->queues, flow);
    }
}

/* Checks every idle lease again after a change: some can be used now, others
 * must be released. */
void
entry_recheck_idle_leases(entry_state *entry, lv_time now)
{
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        uint32_t count = entry->pools[i].idle_by_age.count;
        uint32_t index = entry->pools[i].idle_by_age.first;

        for (uint32_t j = 0; j < count && index != NONE; j++) {
            uint32_t next = entry->leases[index].next[LIST_IDLE_BY_AGE];

            entry_handle_free_lease(entry, now, index, "usable-again");
            index = next;
        }
    }
}

/* Expires the leases of a shard: removes the idle ones at once, and the busy
 * ones when their request ends. */
void
entry_expire_leases(entry_state *entry, uint32_t shard)
{
    uint32_t index = entry->shards[shard].leases.first;
    uint32_t count = entry->shards[shard].leases.count;

    for (uint32_t i = 0; i < count; i++) {
        entry_lease *lease = &entry->leases[index];
        uint32_t next = lease->next[LIST_SHARD];

        if (!lease->has_expired) {
            entry->counts.expired_leases++;
            lease->has_expired = true;
        }
        if (lease->item == NONE) {
            entry_remove_lease(entry, index);
        }
        index = next;
    }
}

/* Frees slots of a contended shard: releases leases that no request here can
 * use, and binds busy leases for any account to the account that uses them. */
void
entry_release_unused_leases(entry_state *entry, lv_time now, uint32_t shard)
{
    uint32_t index = entry->shards[shard].leases.first;
    uint32_t count = entry->shards[shard].leases.count;

    for (uint32_t i = 0; i < count && index != NONE; i++) {
        entry_lease *lease = &entry->leases[index];
        uint32_t next = lease->next[LIST_SHARD];

        if (lease->item != NONE) {
            if (lease->flow == NONE) {
                lease->flow = entry->items[lease->item].flow;
            }
        }
        else {
            entry_handle_free_lease(entry, now, index, "usable-again");
        }
        index = next;
    }
}

/* Returns when an idle lease is released: after the pool's idle timeout, or
 * later while a request waits for its endpoint to end a backoff. A lease for
 * any account stays until the dispatcher recalls it. */
static lv_time
idle_lease_expiry(const entry_state *entry, lv_time now, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];
    lv_time idle_timeout =
        entry->pools[entry->shards[lease->shard].pool].idle_timeout;
    lv_time expiry = lease->idle_since + idle_timeout;

    if (lease->flow == NONE && !entry->is_draining) {
        return LV_TIME_NEVER;
    }
    if (is_backing_off(entry, now, index) &&
        choose_flow(entry, index) != NONE) {
        lv_time backoff_expiry =
            entry->endpoints[lease->endpoint].backoff_until + idle_timeout;

        return backoff_expiry > expiry ? backoff_expiry : expiry;
    }
    return expiry;
}

static void
expire_pool_idle_leases(entry_state *entry, lv_time now,
                        const entry_pool *pool)
{
    uint32_t index = pool->idle_by_age.first;
    uint32_t count = pool->idle_by_age.count;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t next = entry->leases[index].next[LIST_IDLE_BY_AGE];
        lv_time expiry = idle_lease_expiry(entry, now, index);

        if (expiry <= now) {
            entry_release_lease(entry, index);
        }
        else {
            entry_schedule_tick(entry, expiry);
        }
        index = next;
    }
}

void
entry_expire_idle_leases(entry_state *entry, lv_time now)
{
    if (entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        expire_pool_idle_leases(entry, now, &entry->pools[i]);
    }
}
