#include "entry-imp.h"

#include "table-imp.h"

void
entry_chain_add(entry_state *entry, entry_list *list, lease_chain chain,
                uint32_t index)
{
    entry_lease *lease = &entry->leases[index];

    lease->next[chain] = NONE;
    lease->previous[chain] = list->count > 0 ? list->last : NONE;
    if (list->count++ > 0) {
        entry->leases[list->last].next[chain] = index;
    }
    else {
        list->first = index;
    }
    list->last = index;
}

void
entry_chain_remove(entry_state *entry, entry_list *list, lease_chain chain,
                   uint32_t index)
{
    entry_lease *lease = &entry->leases[index];
    uint32_t next = lease->next[chain];
    uint32_t previous = lease->previous[chain];

    if (previous != NONE) {
        entry->leases[previous].next[chain] = next;
    }
    else {
        list->first = next;
    }
    if (next != NONE) {
        entry->leases[next].previous[chain] = previous;
    }
    else {
        list->last = previous;
    }
    list->count--;
}

static entry_pool *
pool_of(entry_state *entry, const entry_lease *lease)
{
    return &entry->pools[entry->shards[lease->shard].pool];
}

static entry_list *
idle_list(entry_state *entry, const entry_lease *lease)
{
    if (lease->flow != NONE) {
        return &entry->flows[lease->flow].idle;
    }
    return &pool_of(entry, lease)->idle;
}

static void
set_idle(entry_state *entry, lv_time now, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];
    entry_pool *pool = pool_of(entry, lease);

    lease->is_idle = true;
    lease->idle_since = now;
    entry_chain_add(entry, idle_list(entry, lease), CHAIN_IDLE, index);
    entry_chain_add(entry, &pool->held, CHAIN_HELD, index);
    entry->counts.idle_leases++;
    if (entry->settings.mode == ENTRY_MODE_LEASES) {
        entry_wake(entry, now + pool->hold);
    }
}

static void
set_not_idle(entry_state *entry, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];

    if (!lease->is_idle) {
        return;
    }
    lease->is_idle = false;
    entry_chain_remove(entry, idle_list(entry, lease), CHAIN_IDLE, index);
    entry_chain_remove(entry, &pool_of(entry, lease)->held, CHAIN_HELD, index);
    entry->counts.idle_leases--;
}

uint32_t
entry_add_lease(entry_state *entry, uint32_t shard, uint64_t id,
                uint32_t endpoint, uint32_t flow)
{
    uint32_t index = entry->free_leases.first;

    if (entry->free_leases.count > 0) {
        entry->free_leases.first = entry->leases[index].next[CHAIN_SHARD];
        entry->free_leases.count--;
    }
    else {
        if (!table_reserve((void **)&entry->leases, &entry->lease_capacity,
                           entry->lease_count + 1, sizeof *entry->leases)) {
            return NONE;
        }
        index = entry->lease_count++;
        entry->leases[index].next[CHAIN_SHARD] = NONE;
        entry->free_leases.first = NONE;
    }
    if (!map_set(&entry->lease_index, entry_lease_key(shard, id), index)) {
        entry->leases[index].next[CHAIN_SHARD] = entry->free_leases.first;
        entry->free_leases.first = index;
        entry->free_leases.count++;
        return NONE;
    }
    entry->leases[index] = (entry_lease){.id = id,
                                         .shard = shard,
                                         .endpoint = endpoint,
                                         .flow = flow,
                                         .item = NONE};
    entry_chain_add(entry, &entry->shards[shard].leases, CHAIN_SHARD, index);
    entry->counts.leases++;
    return index;
}

void
entry_drop_lease(entry_state *entry, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];

    set_not_idle(entry, index);
    entry_chain_remove(entry, &entry->shards[lease->shard].leases, CHAIN_SHARD,
                       index);
    map_remove(&entry->lease_index, entry_lease_key(lease->shard, lease->id));
    lease->next[CHAIN_SHARD] = entry->free_leases.first;
    entry->free_leases.first = index;
    entry->free_leases.count++;
    entry->counts.leases--;
}

void
entry_give_back(entry_state *entry, uint32_t index)
{
    entry_lease *lease = &entry->leases[index];
    entry_shard *shard = &entry->shards[lease->shard];

    if (table_reserve((void **)&shard->released, &shard->released_capacity,
                      shard->released_count + 1, sizeof *shard->released)) {
        shard->released[shard->released_count++] = lease->id;
        entry_mark_due(entry, lease->shard);
    }
    entry_drop_lease(entry, index);
}

/* May a new attempt start under this lease? */
bool
entry_may_use(const entry_state *entry, lv_time now, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];
    const entry_shard *shard = &entry->shards[lease->shard];
    const entry_endpoint *endpoint = &entry->endpoints[lease->endpoint];

    return !lease->has_ended && !shard->is_stale && now < shard->lease_end &&
           endpoint->shard != NONE && !endpoint->is_leaving &&
           !endpoint->is_list_leaving;
}

static bool
is_resting(const entry_state *entry, lv_time now, uint32_t lease)
{
    return entry->endpoints[entry->leases[lease].endpoint].rest_until > now;
}

/* The flow that a free lease serves next; NONE when nothing may use it. */
static uint32_t
choose_flow(const entry_state *entry, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];
    const entry_pool *pool = &entry->pools[entry->shards[lease->shard].pool];

    if (lease->flow == NONE) {
        return fq_choose(&entry->queues, pool->group);
    }
    return fq_count(&entry->queues, lease->flow) > 0 ? lease->flow : NONE;
}

/* A stale shard keeps its idle leases, unused, until it has answered. */
static bool
must_go(const entry_state *entry, lv_time now, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];

    if (lease->is_recalled || lease->has_ended) {
        return true;
    }
    return !entry->shards[lease->shard].is_stale &&
           !entry_may_use(entry, now, index);
}

/* A lease is free: start the next request, keep it idle or give it back. */
void
entry_settle_lease(entry_state *entry, lv_time now, uint32_t index,
                   const char *reason)
{
    entry_shard *shard = &entry->shards[entry->leases[index].shard];
    uint32_t flow;

    if (must_go(entry, now, index)) {
        entry_give_back(entry, index);
        return;
    }
    flow = choose_flow(entry, index);
    if (flow != NONE && !shard->is_stale && !is_resting(entry, now, index)) {
        uint32_t waiting = fq_count(&entry->queues, flow);

        set_not_idle(entry, index);
        entry_start_attempt(entry, now, fq_first(&entry->queues, flow), index,
                            0, reason, waiting - 1);
        return;
    }
    if (flow == NONE && shard->is_contended) {
        entry_give_back(entry, index);
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
    uint32_t usable;
} lease_search;

static void
search_list(const entry_state *entry, lv_time now, const entry_item *item,
            const entry_list *list, lease_search *search)
{
    uint32_t wanted = entry_prefix_endpoint(entry, item->prefix_hash);
    uint32_t index = list->first;

    for (uint32_t i = 0; i < list->count && i < IDLE_SCAN; i++) {
        const entry_lease *lease = &entry->leases[index];
        int rank = was_tried(item, lease->endpoint) ? 0 : 2;

        rank += lease->endpoint == wanted;
        if (entry_may_use(entry, now, index) &&
            !is_resting(entry, now, index)) {
            search->usable++;
            if (rank > search->rank) {
                search->best = index;
                search->rank = rank;
            }
        }
        index = lease->next[CHAIN_IDLE];
    }
}

/* The best idle lease for a request: an endpoint that was not tried, then
 * the one that has the prompt's prefix. */
uint32_t
entry_find_lease(entry_state *entry, lv_time now, uint32_t item_index,
                 uint32_t *alternatives, const char **reason)
{
    const entry_item *item = &entry->items[item_index];
    const entry_flow *flow = &entry->flows[item->flow];
    lease_search search = {NONE, -1, 0};

    search_list(entry, now, item, &flow->idle, &search);
    if (!flow->is_limited) {
        search_list(entry, now, item, &entry->pools[flow->pool].idle, &search);
    }
    *alternatives = search.usable > 0 ? search.usable - 1 : 0;
    *reason = (search.rank & 1) == 1 ? "prefix" : "idle-lease";
    return search.best;
}

/* Start waiting requests of a flow on idle leases. */
void
entry_serve_flow(entry_state *entry, lv_time now, uint32_t flow)
{
    uint32_t item = fq_first(&entry->queues, flow);

    while (item != NONE) {
        uint32_t alternatives;
        const char *reason;
        uint32_t lease =
            entry_find_lease(entry, now, item, &alternatives, &reason);

        if (lease == NONE) {
            break;
        }
        set_not_idle(entry, lease);
        entry_start_attempt(entry, now, item, lease, 0, reason, alternatives);
        item = fq_first(&entry->queues, flow);
    }
}

/* Settle every idle lease: some may be usable now, others must go. */
void
entry_serve_all(entry_state *entry, lv_time now)
{
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        uint32_t count = entry->pools[i].held.count;
        uint32_t index = entry->pools[i].held.first;

        for (uint32_t j = 0; j < count && index != NONE; j++) {
            uint32_t next = entry->leases[index].next[CHAIN_HELD];

            entry_settle_lease(entry, now, index, "usable-again");
            index = next;
        }
    }
}

/* The leases of a shard have run out: idle ones go, busy ones end with
 * their request. */
void
entry_end_leases(entry_state *entry, uint32_t shard)
{
    uint32_t index = entry->shards[shard].leases.first;
    uint32_t count = entry->shards[shard].leases.count;

    for (uint32_t i = 0; i < count; i++) {
        entry_lease *lease = &entry->leases[index];
        uint32_t next = lease->next[CHAIN_SHARD];

        if (!lease->has_ended) {
            entry->counts.expired_leases++;
            lease->has_ended = true;
        }
        if (lease->item == NONE) {
            entry_drop_lease(entry, index);
        }
        index = next;
    }
}

/* Somebody waits for this shard's slots: leases that nothing here can use
 * go back, and busy leases for any account are bound to their account. */
void
entry_release_all_idle(entry_state *entry, lv_time now, uint32_t shard)
{
    uint32_t index = entry->shards[shard].leases.first;
    uint32_t count = entry->shards[shard].leases.count;

    for (uint32_t i = 0; i < count && index != NONE; i++) {
        entry_lease *lease = &entry->leases[index];
        uint32_t next = lease->next[CHAIN_SHARD];

        if (lease->item != NONE) {
            if (lease->flow == NONE) {
                lease->flow = entry->items[lease->item].flow;
            }
        }
        else {
            entry_settle_lease(entry, now, index, "usable-again");
        }
        index = next;
    }
}

/* An idle lease stays for the pool's hold time, and longer while a request
 * waits for its resting endpoint; one for any account until the dispatcher
 * wants it back. */
static lv_time
hold_end(const entry_state *entry, lv_time now, uint32_t index)
{
    const entry_lease *lease = &entry->leases[index];
    lv_time hold = entry->pools[entry->shards[lease->shard].pool].hold;
    lv_time end = lease->idle_since + hold;

    if (lease->flow == NONE && !entry->is_draining) {
        return LV_TIME_NEVER;
    }
    if (is_resting(entry, now, index) && choose_flow(entry, index) != NONE) {
        lv_time rest = entry->endpoints[lease->endpoint].rest_until + hold;

        return rest > end ? rest : end;
    }
    return end;
}

static void
expire_pool_holds(entry_state *entry, lv_time now, const entry_pool *pool)
{
    uint32_t index = pool->held.first;
    uint32_t count = pool->held.count;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t next = entry->leases[index].next[CHAIN_HELD];
        lv_time end = hold_end(entry, now, index);

        if (end <= now) {
            entry_give_back(entry, index);
        }
        else {
            entry_wake(entry, end);
        }
        index = next;
    }
}

void
entry_expire_holds(entry_state *entry, lv_time now)
{
    if (entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    for (uint32_t i = 0; i < entry->pool_count; i++) {
        expire_pool_holds(entry, now, &entry->pools[i]);
    }
}
