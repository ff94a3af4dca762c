#include <string.h>

#include "dispatcher-imp.h"

static size_t
count_table_bytes(const disp_dispatcher *disp)
{
    return disp->account_capacity * sizeof *disp->accounts +
           disp->demand_capacity * sizeof *disp->demands +
           disp->entry_capacity * sizeof *disp->entries +
           disp->member_capacity * sizeof *disp->members +
           disp->lease_capacity * sizeof *disp->leases +
           disp->endpoint_capacity * sizeof *disp->endpoints +
           disp->shard_slot_capacity * sizeof *disp->shard_slots +
           disp->scratch_capacity * sizeof *disp->scratch +
           disp->dirty_capacity * sizeof *disp->dirty +
           disp->send_queue_capacity * sizeof *disp->send_queue +
           disp->out_grant_capacity * sizeof *disp->out_grants +
           disp->out_recall_capacity * sizeof *disp->out_recalls +
           disp->out_level_capacity * sizeof *disp->out_levels +
           disp->out_service_capacity * sizeof *disp->out_services;
}

static size_t
count_index_bytes(const disp_dispatcher *disp)
{
    size_t slots = (size_t)disp->account_map.capacity +
                   disp->demand_map.capacity + disp->entry_map.capacity +
                   disp->lease_map.capacity + disp->endpoint_map.capacity;
    size_t nodes = disp->free_endpoints.capacity;

    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        nodes += disp->heaps[i].capacity;
    }
    for (uint32_t row = 0; row < disp->account_count; row++) {
        if (disp->accounts[row].id != LV_ID_NONE) {
            nodes += disp->accounts[row].demand_heap.capacity;
        }
    }
    return slots * sizeof(map_bucket) + nodes * sizeof(heap_node);
}

static int64_t
max_waiting_lead(const disp_dispatcher *disp)
{
    const heap_min_heap *ready = &disp->heaps[DISP_HEAP_READY];
    int64_t min_level = INT64_MAX;
    int64_t max_level = INT64_MIN;

    for (uint32_t i = 0; i < ready->count; i++) {
        int64_t level = disp->accounts[ready->nodes[i].item].level;

        min_level = level < min_level ? level : min_level;
        max_level = level > max_level ? level : max_level;
    }
    return ready->count > 0 ? max_level - min_level : 0;
}

void
disp_read_counts(const disp_dispatcher *disp, disp_counts *counts)
{
    memset(counts, 0, sizeof *counts);
    counts->grants = disp->events.grants;
    counts->recalls = disp->events.recalls;
    counts->expired = disp->events.expired;
    counts->stale_reports = disp->events.stale_reports;
    counts->decisions = disp->events.decisions;
    for (uint32_t row = 0; row < disp->endpoint_count; row++) {
        counts->slots += disp->endpoints[row].max_leases;
    }
    counts->leased = disp->leased;
    counts->active_accounts = disp->active_accounts;
    counts->lead = max_waiting_lead(disp);
    counts->is_settled = disp->is_settled;
    counts->memory = count_table_bytes(disp) + count_index_bytes(disp);
}
