#include "entry-imp.h"
#include "lavender/hash.h"

/* Returns whether a shard has a dispatcher, and none of the full reports to it
 * has been unanswered for the silence timeout. */
static bool
is_responsive(const entry_state *entry, lv_time now, const entry_shard *shard)
{
    return shard->dispatcher != LV_ID_NONE &&
           (shard->unanswered_since == 0 ||
            lv_elapsed(now, shard->unanswered_since) <
                entry->settings.silence_timeout);
}

/* Ranks shards for new demand, higher is better: one that has slots, then one
 * whose dispatcher answers, then one that is not contended. */
static int
shard_rank(const entry_state *entry, lv_time now, const entry_shard *shard)
{
    if (shard->slots == 0) {
        return 0;
    }
    if (!is_responsive(entry, now, shard)) {
        return 1;
    }
    return shard->is_contended ? 2 : 3;
}

/* Compares the demand per slot of two shards of equal rank. */
static bool
is_less_loaded(const entry_shard *shard, const entry_shard *other)
{
    return (uint64_t)(shard->waiting + 1) * other->slots <
           (uint64_t)(other->waiting + 1) * shard->slots;
}

static uint32_t
choose_shard(const entry_state *entry, lv_time now, const entry_pool *pool)
{
    uint32_t best = NONE;
    int best_rank = -1;

    for (uint32_t i = pool->first_shard; i != NONE;
         i = entry->shards[i].next_in_pool) {
        const entry_shard *shard = &entry->shards[i];
        int rank;

        if (shard->number >= pool->shard_count) {
            continue;
        }
        rank = shard_rank(entry, now, shard);
        if (rank > best_rank ||
            (rank == best_rank &&
             is_less_loaded(shard, &entry->shards[best]))) {
            best = i;
            best_rank = rank;
        }
    }
    return best;
}

uint32_t
entry_home_shard(const entry_state *entry, uint32_t flow)
{
    const entry_pool *pool = &entry->pools[entry->flows[flow].pool];
    uint32_t nearest = pool->shard_count;
    uint32_t found = NONE;
    uint32_t home;

    if (pool->shard_count == 0) {
        return NONE;
    }
    home = hrw_shard_of(entry->flows[flow].account, pool->shard_count);
    for (uint32_t i = pool->first_shard; i != NONE;
         i = entry->shards[i].next_in_pool) {
        const entry_shard *shard = &entry->shards[i];
        uint32_t distance;

        if (shard->number >= pool->shard_count || shard->slots == 0) {
            continue;
        }
        distance =
            (shard->number + pool->shard_count - home) % pool->shard_count;
        if (distance < nearest) {
            nearest = distance;
            found = i;
        }
    }
    return found;
}

/* Makes the next full report to the account's home shard list the account, so
 * that it gets an allowance even if none of its requests waits there. */
void
entry_request_allowance(entry_state *entry, uint32_t flow)
{
    uint32_t shard = entry_home_shard(entry, flow);
    uint32_t subflow = NONE;

    if (shard != NONE) {
        subflow = entry_ensure_subflow(entry, shard, flow);
    }
    if (subflow != NONE) {
        entry->subflows[subflow].reported_arrivals =
            entry->flows[flow].arrivals - 1;
        entry_activate_subflow(entry, subflow);
    }
}

uint32_t
entry_choose_subflow(entry_state *entry, lv_time now, uint32_t pool,
                     uint32_t flow)
{
    const entry_pool *pool_record = &entry->pools[pool];
    uint32_t shard = NONE;

    if (entry->flows[flow].is_limited && pool_record->shard_count > 1) {
        shard = entry_home_shard(entry, flow);
    }
    if (shard == NONE) {
        shard = choose_shard(entry, now, pool_record);
    }

    return shard == NONE ? NONE : entry_ensure_subflow(entry, shard, flow);
}

static void
add_item_demand(entry_state *entry, uint32_t item_index)
{
    entry_item *item = &entry->items[item_index];
    entry_subflow *subflow;
    entry_shard *shard;
    uint32_t waiting;
    uint32_t reported;

    if (item->subflow == NONE) {
        return;
    }
    subflow = &entry->subflows[item->subflow];
    shard = &entry->shards[subflow->shard];
    shard->waiting++;
    waiting = ++subflow->waiting[item->priority];
    reported = subflow->reported[item->priority];
    entry_activate_subflow(entry, item->subflow);
    entry_mark_subflow_changed(
        entry, item->subflow, !shard->is_contended || waiting >= reported * 2);
}

static void
remove_item_demand(entry_state *entry, uint32_t item_index)
{
    entry_item *item = &entry->items[item_index];
    entry_subflow *subflow;

    if (item->subflow == NONE) {
        return;
    }
    subflow = &entry->subflows[item->subflow];
    subflow->waiting[item->priority]--;
    entry->shards[subflow->shard].waiting--;
    entry_activate_subflow(entry, item->subflow);
    entry_mark_subflow_changed(entry, item->subflow,
                               subflow->waiting[item->priority] == 0 &&
                                   subflow->reported[item->priority] > 0);
    item->subflow = NONE;
}

void
entry_enqueue(entry_state *entry, lv_time now, uint32_t index, bool is_new)
{
    entry_item *item = &entry->items[index];
    entry_flow *flow = &entry->flows[item->flow];

    item->state = ITEM_WAITING;
    if (flow->waiting++ == 0) {
        flow->backlog_since = now;
        flow->last_start = now;
        entry_raise_idle_level(entry, item->flow);
    }
    if (entry->settings.mode == ENTRY_MODE_LEASES) {
        item->subflow =
            entry_choose_subflow(entry, now, flow->pool, item->flow);
    }
    fq_push(&entry->queues, item->queue_flow, item->priority, index, !is_new);
    flow->arrivals += is_new;
    entry->classes[item->limits_class].waiting++;
    entry->counts.waiting++;
    if (item->deadline != LV_TIME_NEVER) {
        (void)heap_set_key(&entry->deadlines, index, (int64_t)item->deadline);
        entry_schedule_tick(entry, item->deadline);
    }
    add_item_demand(entry, index);
    if (is_new && flow->is_rated &&
        entry->settings.mode == ENTRY_MODE_LEASES) {
        entry_request_allowance(entry, item->flow);
    }
}

void
entry_dequeue(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];

    fq_remove(&entry->queues, item->queue_flow, item->priority, index);
    entry_record_backlog(entry, now, item->flow);
    entry->flows[item->flow].waiting--;
    entry->classes[item->limits_class].waiting--;
    entry->counts.waiting--;
    heap_remove(&entry->deadlines, index);
    remove_item_demand(entry, index);
}

/* Makes the reports to the pool's first shard list an account that has a rate
 * and sends requests here, even if all of them were refused. In a pool of one
 * shard, that shard divides the rate among the instances. */
void
entry_update_rate_demand(entry_state *entry, uint32_t index, bool was_refused)
{
    const entry_flow *flow = &entry->flows[index];
    uint32_t shard;
    uint32_t subflow;

    if (!flow->is_rated || entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    shard = entry_ensure_shard(entry, flow->pool, 0);
    subflow = shard == NONE ? NONE : entry_ensure_subflow(entry, shard, index);
    if (subflow != NONE) {
        entry->subflows[subflow].was_refused |= was_refused;
        entry_activate_subflow(entry, subflow);
    }
}

/* Returns whether a waiting request's demand must move to another shard. */
static bool
is_misplaced(const entry_state *entry, const entry_item *item, uint32_t silent)
{
    const entry_shard *shard;
    uint32_t index;

    if (item->subflow == NONE) {
        return true;
    }
    index = entry->subflows[item->subflow].shard;
    shard = &entry->shards[index];
    if (entry->flows[item->flow].is_limited &&
        index != entry_home_shard(entry, item->flow)) {
        return true;
    }
    return index == silent ||
           shard->number >= entry->pools[shard->pool].shard_count;
}

/* Moves the demand of a silent shard (NONE: no shard is silent) and of shards
 * that no longer exist to the other shards of their pool. */
void
entry_reassign_demand(entry_state *entry, lv_time now, uint32_t silent)
{
    for (uint32_t i = 0; i < entry->item_count; i++) {
        entry_item *item = &entry->items[i];
        uint32_t subflow;

        if (item->state != ITEM_WAITING ||
            !is_misplaced(entry, item, silent)) {
            continue;
        }
        subflow = entry_choose_subflow(
            entry, now, entry->flows[item->flow].pool, item->flow);
        if (subflow != item->subflow) {
            remove_item_demand(entry, i);
            item->subflow = subflow;
            add_item_demand(entry, i);
        }
    }
}

lv_time
entry_estimate_wait(const entry_state *entry, uint32_t index, uint32_t places)
{
    const entry_flow *flow = &entry->flows[index];
    lv_time interval =
        flow->mean_start_interval > 0 ? flow->mean_start_interval : LV_SECOND;
    lv_time time = interval * places;

    if (time > ENTRY_RETRY_AFTER_MAX) {
        return ENTRY_RETRY_AFTER_MAX;
    }
    return time > LV_MILLISECOND ? time : LV_MILLISECOND;
}

void
entry_expire_waiting(entry_state *entry, lv_time now)
{
    lv_handle index = heap_top(&entry->deadlines);

    while (index != LV_HANDLE_NONE) {
        entry_item *item = &entry->items[index];
        uint32_t flow = item->flow;

        if (item->deadline > now) {
            entry_schedule_tick(entry, item->deadline);
            break;
        }
        entry_dequeue(entry, now, index);
        entry_finish_item(
            entry, now, index, item->was_sent ? OUT_UNKNOWN : OUT_NOT_RUN,
            OUT_REASON_DEADLINE,
            entry_estimate_wait(
                entry, flow,
                fq_count_items(&entry->queues, item->queue_flow) + 1));
        index = heap_top(&entry->deadlines);
    }
}
