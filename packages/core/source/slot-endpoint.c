#include <string.h>

#include "dispatcher-imp.h"
#include "table-imp.h"

enum {
    USE_SCALE = 1024,
    /* Load reports in a row that change the number of slots. */
    QUEUED_REPORTS = 2,
    FREE_REPORTS = 3,
    ROOM_REPORTS = 2
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

static uint32_t
cap_of(const disp_dispatcher *disp, const disp_endpoint *endpoint)
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

static void
shed(disp_dispatcher *disp, lv_time now, uint32_t row)
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

    endpoint->max_leases = cap_of(disp, endpoint);
    if (endpoint->max_leases > 0 && endpoint->leased < endpoint->max_leases) {
        heap_set_key(&disp->free_endpoints, row,
                     (int64_t)endpoint->leased * USE_SCALE /
                         endpoint->max_leases);
    }
    else {
        heap_remove(&disp->free_endpoints, row);
    }
    shed(disp, now, row);
}

/* A queue at the engine takes slots away, at least one and half the queue;
 * full reports without a queue give them back one by one. */
static void
follow_queue(disp_endpoint *endpoint, const disp_load *load, uint32_t bound)
{
    uint32_t cut = (load->queued + 1) / 2;

    if (load->queued > 0) {
        endpoint->full_reports = 0;
        if (++endpoint->queued_reports >= QUEUED_REPORTS) {
            endpoint->queued_reports = 0;
            endpoint->slot_limit =
                endpoint->slot_limit > cut ? endpoint->slot_limit - cut : 1;
        }
    }
    else {
        endpoint->queued_reports = 0;
        if (load->running < endpoint->slot_limit) {
            endpoint->full_reports = 0;
        }
        else if (++endpoint->full_reports >= FREE_REPORTS) {
            endpoint->full_reports = 0;
            endpoint->slot_limit++;
        }
    }
    if (endpoint->slot_limit > bound) {
        endpoint->slot_limit = bound;
    }
}

/* Slots over the visible share, as far as the engine shows room. */
static void
follow_room(const disp_dispatcher *disp, disp_endpoint *endpoint,
            const disp_load *load, uint32_t bound)
{
    if (disp->visible_share >= 1000) {
        endpoint->extra_slots = 0;
        endpoint->spare_reports = 0;
    }
    else if (load->queued > 0) {
        endpoint->extra_slots /= 2;
        endpoint->spare_reports = 0;
    }
    else if (load->running < bound) {
        if (++endpoint->spare_reports >= ROOM_REPORTS &&
            endpoint->extra_slots < bound) {
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
    uint32_t bound;

    if (row == LV_HANDLE_NONE) {
        return;
    }
    endpoint = &disp->endpoints[row];
    bound = endpoint->published_slots;
    if (load->slots > 0 && load->slots < bound) {
        bound = load->slots;
    }
    follow_queue(endpoint, load, bound);
    follow_room(disp, endpoint, load, bound);
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
