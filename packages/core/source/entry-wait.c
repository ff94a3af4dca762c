#include "entry-imp.h"
#include "lavender/hash.h"

/* Can a shard's dispatcher be asked for slots now? */
static bool
answers(const entry_state *entry, lv_time now, const entry_shard *shard)
{
    return shard->dispatcher != LV_ID_NONE &&
           (shard->unanswered_since == 0 ||
            lv_elapsed(now, shard->unanswered_since) <
                entry->settings.silence_timeout);
}

/* The better place for demand: one that has slots, one that answers, one
 * where nobody waits for a slot. */
static int
place_rank(const entry_state *entry, lv_time now, const entry_shard *shard)
{
    if (shard->slots == 0) {
        return 0;
    }
    if (!answers(entry, now, shard)) {
        return 1;
    }
    return shard->is_contended ? 2 : 3;
}

/* Among equals the one with the least demand for its slots. */
static bool
is_better(const entry_shard *shard, const entry_shard *than)
{
    return (uint64_t)(shard->waiting + 1) * than->slots <
           (uint64_t)(than->waiting + 1) * shard->slots;
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

        if (shard->number >= pool->shards) {
            continue;
        }
        rank = place_rank(entry, now, shard);
        if (rank > best_rank ||
            (rank == best_rank && is_better(shard, &entry->shards[best]))) {
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
    uint32_t nearest = pool->shards;
    uint32_t found = NONE;
    uint32_t home;

    if (pool->shards == 0) {
        return NONE;
    }
    home = hrw_shard_of(entry->flows[flow].account, pool->shards);
    for (uint32_t i = pool->first_shard; i != NONE;
         i = entry->shards[i].next_in_pool) {
        const entry_shard *shard = &entry->shards[i];
        uint32_t distance;

        if (shard->number >= pool->shards || shard->slots == 0) {
            continue;
        }
        distance = (shard->number + pool->shards - home) % pool->shards;
        if (distance < nearest) {
            nearest = distance;
            found = i;
        }
    }
    return found;
}

/* Let the next full report to the account's home list it, so that it gets
 * an allowance also when nothing of it waits there. */
void
entry_ask_allowance(entry_state *entry, uint32_t flow)
{
    uint32_t shard = entry_home_shard(entry, flow);
    uint32_t part = NONE;

    if (shard != NONE) {
        part = entry_get_part(entry, shard, flow);
    }
    if (part != NONE) {
        entry->parts[part].told_arrivals = entry->flows[flow].arrivals - 1;
        entry_update_active(entry, part);
    }
}

uint32_t
entry_place(entry_state *entry, lv_time now, uint32_t pool, uint32_t flow)
{
    const entry_pool *from = &entry->pools[pool];
    uint32_t shard = NONE;

    if (entry->flows[flow].is_limited && from->shards > 1) {
        shard = entry_home_shard(entry, flow);
    }
    if (shard == NONE) {
        shard = choose_shard(entry, now, from);
    }

    return shard == NONE ? NONE : entry_get_part(entry, shard, flow);
}

static void
add_demand(entry_state *entry, uint32_t item_index)
{
    entry_item *item = &entry->items[item_index];
    entry_part *part;
    entry_shard *shard;
    uint32_t waiting;
    uint32_t told;

    if (item->part == NONE) {
        return;
    }
    part = &entry->parts[item->part];
    shard = &entry->shards[part->shard];
    shard->waiting++;
    waiting = ++part->waiting[item->priority];
    told = part->told[item->priority];
    entry_update_active(entry, item->part);
    entry_mark_part(entry, item->part,
                    !shard->is_contended || waiting >= told * 2);
}

static void
remove_demand(entry_state *entry, uint32_t item_index)
{
    entry_item *item = &entry->items[item_index];
    entry_part *part;

    if (item->part == NONE) {
        return;
    }
    part = &entry->parts[item->part];
    part->waiting[item->priority]--;
    entry->shards[part->shard].waiting--;
    entry_update_active(entry, item->part);
    entry_mark_part(entry, item->part,
                    part->waiting[item->priority] == 0 &&
                        part->told[item->priority] > 0);
    item->part = NONE;
}

void
entry_wait(entry_state *entry, lv_time now, uint32_t index, bool is_new)
{
    entry_item *item = &entry->items[index];
    entry_flow *flow = &entry->flows[item->flow];

    item->state = ITEM_WAITING;
    if (flow->waiting++ == 0) {
        flow->backlog_since = now;
        flow->last_start = now;
        entry_join_turn(entry, item->flow);
    }
    if (entry->settings.mode == ENTRY_MODE_LEASES) {
        item->part = entry_place(entry, now, flow->pool, item->flow);
    }
    fq_push(&entry->queues, item->queue, item->priority, index, !is_new);
    flow->arrivals += is_new;
    entry->classes[item->limits].waiting++;
    entry->counts.waiting++;
    if (item->deadline != LV_TIME_NEVER) {
        (void)heap_set(&entry->deadlines, index, (int64_t)item->deadline);
        entry_wake(entry, item->deadline);
    }
    add_demand(entry, index);
    if (is_new && flow->is_rated &&
        entry->settings.mode == ENTRY_MODE_LEASES) {
        entry_ask_allowance(entry, item->flow);
    }
}

void
entry_unwait(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];

    fq_remove(&entry->queues, item->queue, item->priority, index);
    entry_note_backlog(entry, now, item->flow);
    entry->flows[item->flow].waiting--;
    entry->classes[item->limits].waiting--;
    entry->counts.waiting--;
    heap_remove(&entry->deadlines, index);
    remove_demand(entry, index);
}

/* The pool's first shard deals out the rate: it hears of each account that
 * has a rate and sends requests here, also when all were refused. */
void
entry_note_rate(entry_state *entry, uint32_t index, bool was_refused)
{
    const entry_flow *flow = &entry->flows[index];
    uint32_t shard;
    uint32_t part;

    if (!flow->is_rated || entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    shard = entry_get_shard(entry, flow->pool, 0);
    part = shard == NONE ? NONE : entry_get_part(entry, shard, index);
    if (part != NONE) {
        entry->parts[part].was_refused |= was_refused;
        entry_update_active(entry, part);
    }
}

/* Must a waiting request's demand be told to another shard? */
static bool
is_misplaced(const entry_state *entry, const entry_item *item, uint32_t silent)
{
    const entry_shard *shard;
    uint32_t index;

    if (item->part == NONE) {
        return true;
    }
    index = entry->parts[item->part].shard;
    shard = &entry->shards[index];
    if (entry->flows[item->flow].is_limited &&
        index != entry_home_shard(entry, item->flow)) {
        return true;
    }
    return index == silent ||
           shard->number >= entry->pools[shard->pool].shards;
}

/* Move the demand of a shard that is silent (NONE: of no such), and of
 * shards that are no more, to the others of the pool. */
void
entry_replace_demand(entry_state *entry, lv_time now, uint32_t silent)
{
    for (uint32_t i = 0; i < entry->item_count; i++) {
        entry_item *item = &entry->items[i];
        uint32_t place;

        if (item->state != ITEM_WAITING ||
            !is_misplaced(entry, item, silent)) {
            continue;
        }
        place =
            entry_place(entry, now, entry->flows[item->flow].pool, item->flow);
        if (place != item->part) {
            remove_demand(entry, i);
            item->part = place;
            add_demand(entry, i);
        }
    }
}

lv_time
entry_drain_time(const entry_state *entry, uint32_t index, uint32_t places)
{
    const entry_flow *flow = &entry->flows[index];
    lv_time gap = flow->start_gap > 0 ? flow->start_gap : LV_SECOND;
    lv_time time = gap * places;

    if (time > ENTRY_RETRY_AFTER_MAX) {
        return ENTRY_RETRY_AFTER_MAX;
    }
    return time > LV_MILLISECOND ? time : LV_MILLISECOND;
}

void
entry_expire_waits(entry_state *entry, lv_time now)
{
    lv_handle index = heap_top(&entry->deadlines);

    while (index != LV_HANDLE_NONE) {
        entry_item *item = &entry->items[index];
        uint32_t flow = item->flow;

        if (item->deadline > now) {
            entry_wake(entry, item->deadline);
            break;
        }
        entry_unwait(entry, now, index);
        entry_end_item(
            entry, now, index, item->was_sent ? OUT_UNKNOWN : OUT_NOT_RUN,
            OUT_REASON_DEADLINE,
            entry_drain_time(entry, flow,
                             fq_count(&entry->queues, item->queue) + 1));
        index = heap_top(&entry->deadlines);
    }
}
