#include <stdlib.h>
#include <string.h>

#include "dispatcher-imp.h"
#include "lavender/hash.h"
#include "table-imp.h"

/* Ticks per report interval; each one checks for silent entries. */
enum {
    TICKS_PER_REPORT = 2
};

static uint32_t *
heap_index(void *owner, uint32_t row, disp_heap heap)
{
    disp_dispatcher *disp = owner;

    return &disp->accounts[row].heap_indices[heap];
}

static uint32_t *
ready_index(void *owner, uint32_t row)
{
    return heap_index(owner, row, DISP_HEAP_READY);
}

static uint32_t *
ready_urgent_index(void *owner, uint32_t row)
{
    return heap_index(owner, row, DISP_HEAP_READY_URGENT);
}

static uint32_t *
uncovered_index(void *owner, uint32_t row)
{
    return heap_index(owner, row, DISP_HEAP_UNCOVERED);
}

static uint32_t *
uncovered_urgent_index(void *owner, uint32_t row)
{
    return heap_index(owner, row, DISP_HEAP_UNCOVERED_URGENT);
}

static uint32_t *
holders_index(void *owner, uint32_t row)
{
    return heap_index(owner, row, DISP_HEAP_HOLDERS);
}

static heap_index_lookup *const heap_index_callbacks[DISP_HEAP_COUNT] = {
    [DISP_HEAP_READY] = ready_index,
    [DISP_HEAP_READY_URGENT] = ready_urgent_index,
    [DISP_HEAP_UNCOVERED] = uncovered_index,
    [DISP_HEAP_UNCOVERED_URGENT] = uncovered_urgent_index,
    [DISP_HEAP_HOLDERS] = holders_index,
};

static bool
check_settings(const disp_settings *settings, err_error *error)
{
    if (settings->lease_ttl == 0 || settings->report_interval == 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "set both above zero, for example to 2s and 100ms",
                       "lease_ttl or report_interval is zero");
    }
    if (settings->report_interval * 2 > settings->lease_ttl) {
        return err_set(error, ERR_CONFLICT,
                       "set lease_ttl to at least twice report_interval",
                       "report_interval is more than half of lease_ttl");
    }
    return true;
}

static uint64_t
make_first_lease_id(const disp_dispatcher *disp)
{
    uint64_t id = map_mix(disp->self ^ map_mix(disp->started + 1));

    id = map_mix(id ^ map_mix(disp->pool_id ^ disp->shard));
    id = map_mix(id + disp->tenure);
    return id != 0 ? id : 1;
}

bool
disp_init(disp_dispatcher *disp, lv_host *host, const disp_settings *settings,
          lv_id self, lv_id pool, uint32_t shard, uint64_t tenure, lv_time now,
          err_error *error)
{
    memset(disp, 0, sizeof *disp);
    if (!check_settings(settings, error)) {
        return false;
    }
    disp->host = host;
    disp->settings = *settings;
    disp->self = self;
    disp->pool_id = pool;
    disp->shard = shard;
    disp->shard_count = 1;
    disp->tenure = tenure;
    disp->started = now;
    disp->uncontended_since = now;
    disp->visible_share = 1000;
    disp->first_sequence = now;
    disp->sum_sequence = now;
    disp->next_lease_id = make_first_lease_id(disp);
    disp->free_account = LV_HANDLE_NONE;
    disp->free_demand = LV_HANDLE_NONE;
    disp->free_entry = LV_HANDLE_NONE;
    disp->free_lease = LV_HANDLE_NONE;
    disp_list_init(&disp->idle_list);
    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        heap_init(&disp->heaps[i], heap_index_callbacks[i], disp);
    }
    heap_init(&disp->free_endpoints, slot_endpoint_heap_index, disp);
    return true;
}

void
disp_finish(disp_dispatcher *disp)
{
    for (uint32_t row = 0; row < disp->account_count; row++) {
        heap_finish(&disp->accounts[row].demand_heap);
    }
    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        heap_finish(&disp->heaps[i]);
    }
    heap_finish(&disp->free_endpoints);
    map_finish(&disp->account_map);
    map_finish(&disp->demand_map);
    map_finish(&disp->entry_map);
    map_finish(&disp->lease_map);
    map_finish(&disp->endpoint_map);
    free(disp->accounts);
    free(disp->demands);
    free(disp->entries);
    free(disp->members);
    free(disp->leases);
    free(disp->endpoints);
    free(disp->shard_slots);
    free(disp->scratch);
    free(disp->dirty);
    free(disp->send_queue);
    free(disp->out_grants);
    free(disp->out_recalls);
    free(disp->out_levels);
    free(disp->out_services);
    memset(disp, 0, sizeof *disp);
}

static uint32_t
count_endpoints(const disp_dispatcher *disp, const lists_snapshot *lists)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        count += lists->endpoints[i].pool == disp->pool_id;
    }
    return count;
}

/* Applies a new number of slots at once. Slots that load reports have removed
 * remain so until load reports add them again. */
static void
set_published_slots(disp_endpoint *endpoint, uint32_t slots)
{
    if (endpoint->slot_limit == endpoint->published_slots ||
        endpoint->slot_limit > slots) {
        endpoint->slot_limit = slots;
    }
    if (endpoint->slot_limit == 0 && slots > 0) {
        endpoint->slot_limit = 1;
    }
    endpoint->published_slots = slots;
}

static void
apply_endpoint(disp_dispatcher *disp, const lists_endpoint *listed)
{
    uint32_t slots = listed->slots > 0 ? listed->slots : disp->pool.slots;
    uint32_t shard;
    uint32_t row;

    if (listed->pool != disp->pool_id) {
        return;
    }
    shard = hrw_shard_of(listed->id, disp->shard_count);
    if (!listed->is_leaving) {
        disp->shard_slots[shard] += slots;
    }
    if (shard != disp->shard) {
        return;
    }
    row = slot_endpoint_find_or_add(disp, listed->id);
    if (row != LV_HANDLE_NONE) {
        disp->endpoints[row].is_listed = true;
        disp->endpoints[row].is_listed_leaving = listed->is_leaving;
        set_published_slots(&disp->endpoints[row], slots);
    }
}

static bool
clear_shard_slots(disp_dispatcher *disp, uint32_t shards)
{
    if (!table_reserve((void **)&disp->shard_slots, &disp->shard_slot_capacity,
                       shards, sizeof *disp->shard_slots)) {
        return false;
    }
    memset(disp->shard_slots, 0, shards * sizeof *disp->shard_slots);
    disp->shard_count = shards;
    return true;
}

static void
apply_endpoints(disp_dispatcher *disp, lv_time now,
                const lists_snapshot *lists)
{
    for (uint32_t row = 0; row < disp->endpoint_count; row++) {
        disp->endpoints[row].is_listed = false;
    }
    if (lists != NULL && disp->has_pool &&
        clear_shard_slots(disp, hrw_shard_count(count_endpoints(disp, lists),
                                                disp->pool.shard_endpoints))) {
        for (uint32_t i = 0; i < lists->endpoint_count; i++) {
            apply_endpoint(disp, &lists->endpoints[i]);
        }
    }
    for (uint32_t row = 0; row < disp->endpoint_count; row++) {
        slot_endpoint_refresh(disp, now, row);
    }
}

void
disp_set_documents(disp_dispatcher *disp, lv_time now,
                   const cat_catalogue *catalogue, const lists_snapshot *lists)
{
    lv_handle pool = LV_HANDLE_NONE;

    disp->catalogue = catalogue;
    if (catalogue != NULL) {
        pool = cat_find_pool(catalogue, disp->pool_id);
    }
    disp->has_pool = pool != LV_HANDLE_NONE;
    if (disp->has_pool) {
        disp->pool = catalogue->pools[pool];
    }
    apply_endpoints(disp, now, lists);
    disp_account_reload_limits(disp, now);
    disp_assign_slots(disp, now);
    disp_send_flush(disp);
}

void
disp_set_root(disp_dispatcher *disp, lv_id root)
{
    disp->root = root;
}

bool
disp_receive_pool_sum(disp_dispatcher *disp, lv_time now,
                      const msg_message *message)
{
    if (message->kind != MSG_POOL_SUM || message->pool != disp->pool_id ||
        message->tenure < disp->root_tenure ||
        (message->tenure == disp->root_tenure &&
         message->sequence <= disp->root_sequence)) {
        disp->events.stale_reports++;
        return false;
    }
    disp->root_tenure = message->tenure;
    disp->root_sequence = message->sequence;
    for (uint32_t i = 0; i < message->level_count; i++) {
        uint32_t row =
            map_find(&disp->account_map, message->levels[i].account);

        if (row != LV_HANDLE_NONE) {
            disp_account_apply_remote(disp, now, row, message->tenure,
                                      message->levels[i].level);
        }
    }
    disp_assign_slots(disp, now);
    disp_send_flush(disp);
    return true;
}

void
disp_tick(disp_dispatcher *disp, lv_time now)
{
    disp_check_settled(disp, now);
    disp_entry_check_timeouts(disp, now);
    disp_account_remove_idle(disp, now);
    disp_assign_slots(disp, now);
    disp_send_flush(disp);
    disp_send_shard_sum(disp, now);
    disp->next_tick = now + disp->settings.report_interval / TICKS_PER_REPORT;
}

lv_time
disp_next_tick(const disp_dispatcher *disp)
{
    lv_time settled = disp->started + disp->settings.settle_timeout;

    if (!disp->is_settled && settled < disp->next_tick) {
        return settled;
    }
    return disp->next_tick;
}
