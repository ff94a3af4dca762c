/*
 * The endpoints of a dispatcher's shard and the number of slots that may be
 * leased at each.
 */
#include <string.h>

#include "dispatcher-imp.h"
#include "table-imp.h"

enum {
    /* Key units of a fully leased endpoint in free_endpoints. */
    USE_SCALE = 1024,
    /* Consecutive load reports after which the number of slots changes. */
    MIN_QUEUED_REPORTS = 2,
    MIN_FULL_REPORTS = 3,
    MIN_SPARE_REPORTS = 2
};

uint32_t *
slot_endpoint_heap_index(void *owner, uint32_t row)
{
    disp_dispatcher *disp = owner;

    return &disp->endpoints[row].heap_index;
}

uint32_t
slot_endpoint_find_or_add(disp_dispatcher *disp, lv_id id)
{
    uint32_t row = map_find(&disp->endpoint_map, id);
    disp_endpoint *endpoint;

    if (row != LV_HANDLE_NONE || id == LV_ID_NONE) {
        return row;
    }
    row = disp->endpoint_count;
    if (!table_reserve((void **)&disp->endpoints, &disp->endpoint_capacity,
                       row + 1, sizeof *disp->endpoints) ||
        !map_set(&disp->endpoint_map, id, row)) {
        return LV_HANDLE_NONE;
    }
    disp->endpoint_count++;
    endpoint = &disp->endpoints[row];
    memset(endpoint, 0, sizeof *endpoint);
    endpoint->id = id;
    endpoint->heap_index = LV_HANDLE_NONE;
    disp_list_init(&endpoint->lease_list);
    return row;
}

/* Returns the maximum number of leases at an endpoint: slot_limit, or during a
 * partition the visible share of it (at least 1) plus extra_slots. An endpoint
 * that is leaving or not listed gets none. */
static uint32_t
compute_max_leases(const disp_dispatcher *disp, const disp_endpoint *endpoint)
{
    uint32_t share;

    if (!endpoint->is_listed || endpoint->is_listed_leaving ||
        endpoint->is_reported_leaving || endpoint->slot_limit == 0) {
        return 0;
    }
    if (disp->visible_share >= 1000) {
        return endpoint->slot_limit;
    }
    share = (uint32_t)((uint64_t)endpoint->slot_limit * disp->visible_share /
                       1000);
    share = (share > 0 ? share : 1) + endpoint->extra_slots;
    return share < endpoint->slot_limit ? share : endpoint->slot_limit;
}

/* Recalls the oldest leases of an endpoint until no more than max_leases are
 * active. */
static void
recall_excess(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_endpoint *endpoint = &disp->endpoints[row];
    bool is_leaving =
        endpoint->is_listed_leaving || endpoint->is_reported_leaving;
    uint32_t lease = endpoint->lease_list.first;

    while (lease != LV_HANDLE_NONE &&
           endpoint->leased - endpoint->recalled > endpoint->max_leases) {
        if (!disp->leases[lease].is_recalled) {
            slot_lease_recall(disp, now, lease, LV_HANDLE_NONE,
                              is_leaving ? "leaving" : "excess", 0);
        }
        lease = disp->leases[lease].endpoint_link.next;
    }
}

void
slot_endpoint_refresh(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_endpoint *endpoint = &disp->endpoints[row];

    endpoint->max_leases = compute_max_leases(disp, endpoint);
    if (endpoint->max_leases > 0 && endpoint->leased < endpoint->max_leases) {
        heap_set_key(&disp->free_endpoints, row,
                     (int64_t)endpoint->leased * USE_SCALE /
                         endpoint->max_leases);
    }
    else {
        heap_remove(&disp->free_endpoints, row);
    }
    recall_excess(disp, now, row);
}

/* Adapts slot_limit to the load reports. MIN_QUEUED_REPORTS consecutive
 * reports with a queue reduce it by half the queue, rounded up, but not
 * below 1. MIN_FULL_REPORTS consecutive reports without a queue and with all
 * slots in use raise it by 1. */
static void
adapt_slot_limit(disp_endpoint *endpoint, const disp_load *load,
                 uint32_t max_slots)
{
    uint32_t reduction = (load->queued + 1) / 2;

    if (load->queued > 0) {
        endpoint->full_reports = 0;
        if (++endpoint->queued_reports >= MIN_QUEUED_REPORTS) {
            endpoint->queued_reports = 0;
            endpoint->slot_limit = endpoint->slot_limit > reduction
                                       ? endpoint->slot_limit - reduction
                                       : 1;
        }
    }
    else {
        endpoint->queued_reports = 0;
        if (load->running < endpoint->slot_limit) {
            endpoint->full_reports = 0;
        }
        else if (++endpoint->full_reports >= MIN_FULL_REPORTS) {
            endpoint->full_reports = 0;
            endpoint->slot_limit++;
        }
    }
    if (endpoint->slot_limit > max_slots) {
        endpoint->slot_limit = max_slots;
    }
}

/* Adapts extra_slots, the slots above the visible share during a partition.
 * MIN_SPARE_REPORTS consecutive reports with a free slot raise them by 1; a
 * report with a queue halves them. */
static void
adapt_extra_slots(const disp_dispatcher *disp, disp_endpoint *endpoint,
                  const disp_load *load, uint32_t max_slots)
{
    if (disp->visible_share >= 1000) {
        endpoint->extra_slots = 0;
        endpoint->spare_reports = 0;
    }
    else if (load->queued > 0) {
        endpoint->extra_slots /= 2;
        endpoint->spare_reports = 0;
    }
    else if (load->running < max_slots) {
        if (++endpoint->spare_reports >= MIN_SPARE_REPORTS &&
            endpoint->extra_slots < max_slots) {
            endpoint->spare_reports = 0;
            endpoint->extra_slots++;
        }
    }
    else {
        endpoint->spare_reports = 0;
    }
}

void
disp_apply_load(disp_dispatcher *disp, lv_time now, lv_id id,
                const disp_load *load)
{
    uint32_t row = map_find(&disp->endpoint_map, id);
    disp_endpoint *endpoint;
    uint32_t max_slots;

    if (row == LV_HANDLE_NONE) {
        return;
    }
    endpoint = &disp->endpoints[row];
    max_slots = endpoint->published_slots;
    if (load->slots > 0 && load->slots < max_slots) {
        max_slots = load->slots;
    }
    adapt_slot_limit(endpoint, load, max_slots);
    adapt_extra_slots(disp, endpoint, load, max_slots);
    slot_endpoint_refresh(disp, now, row);
    disp_assign_slots(disp, now);
    disp_send_flush(disp);
}

void
disp_set_endpoint_leaving(disp_dispatcher *disp, lv_time now, lv_id id,
                          bool leaving)
{
    uint32_t row = map_find(&disp->endpoint_map, id);

    if (row == LV_HANDLE_NONE ||
        disp->endpoints[row].is_reported_leaving == leaving) {
        return;
    }
    disp->endpoints[row].is_reported_leaving = leaving;
    slot_endpoint_refresh(disp, now, row);
    disp_assign_slots(disp, now);
    disp_send_flush(disp);
}
