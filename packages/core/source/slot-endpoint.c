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
slot_endpoint_place(void *owner, uint32_t row)
{
    disp_dispatcher *disp = owner;

    return &disp->endpoints[row].place;
}

uint32_t
slot_endpoint_make(disp_dispatcher *disp, lv_id id)
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
    endpoint->place = LV_HANDLE_NONE;
    disp_list_init(&endpoint->lease_list);
    return row;
}

static uint32_t
cap_of(const disp_dispatcher *disp, const disp_endpoint *endpoint)
{
    uint32_t share;

    if (!endpoint->is_listed || endpoint->is_leaving ||
        endpoint->is_told_leaving || endpoint->limit == 0) {
        return 0;
    }
    if (disp->visible_share >= 1000) {
        return endpoint->limit;
    }
    share = (uint32_t)((uint64_t)endpoint->limit * disp->visible_share / 1000);
    share = (share > 0 ? share : 1) + endpoint->extra;
    return share < endpoint->limit ? share : endpoint->limit;
}

static void
shed(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_endpoint *endpoint = &disp->endpoints[row];
    bool is_leaving = endpoint->is_leaving || endpoint->is_told_leaving;
    uint32_t lease = endpoint->lease_list.first;

    while (lease != LV_HANDLE_NONE &&
           endpoint->leased - endpoint->recalled > endpoint->cap) {
        if (!disp->leases[lease].is_recalled) {
            slot_lease_recall(disp, now, lease, LV_HANDLE_NONE,
                              is_leaving ? "leaving" : "excess", 0);
        }
        lease = disp->leases[lease].of_endpoint.next;
    }
}

void
slot_endpoint_refresh(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_endpoint *endpoint = &disp->endpoints[row];

    endpoint->cap = cap_of(disp, endpoint);
    if (endpoint->cap > 0 && endpoint->leased < endpoint->cap) {
        heap_set(&disp->free_endpoints, row,
                 (int64_t)endpoint->leased * USE_SCALE / endpoint->cap);
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
        endpoint->free_reports = 0;
        if (++endpoint->queued_reports >= QUEUED_REPORTS) {
            endpoint->queued_reports = 0;
            endpoint->limit =
                endpoint->limit > cut ? endpoint->limit - cut : 1;
        }
    }
    else {
        endpoint->queued_reports = 0;
        if (load->running < endpoint->limit) {
            endpoint->free_reports = 0;
        }
        else if (++endpoint->free_reports >= FREE_REPORTS) {
            endpoint->free_reports = 0;
            endpoint->limit++;
        }
    }
    if (endpoint->limit > bound) {
        endpoint->limit = bound;
    }
}

/* Slots over the visible share, as far as the engine shows room. */
static void
follow_room(const disp_dispatcher *disp, disp_endpoint *endpoint,
            const disp_load *load, uint32_t bound)
{
    if (disp->visible_share >= 1000) {
        endpoint->extra = 0;
        endpoint->room_reports = 0;
    }
    else if (load->queued > 0) {
        endpoint->extra /= 2;
        endpoint->room_reports = 0;
    }
    else if (load->running < bound) {
        if (++endpoint->room_reports >= ROOM_REPORTS &&
            endpoint->extra < bound) {
            endpoint->room_reports = 0;
            endpoint->extra++;
        }
    }
    else {
        endpoint->room_reports = 0;
    }
}

void
disp_take_load(disp_dispatcher *disp, lv_time now, lv_id id,
               const disp_load *load)
{
    uint32_t row = map_find(&disp->endpoint_map, id);
    disp_endpoint *endpoint;
    uint32_t bound;

    if (row == LV_HANDLE_NONE) {
        return;
    }
    endpoint = &disp->endpoints[row];
    bound = endpoint->bound;
    if (load->slots > 0 && load->slots < bound) {
        bound = load->slots;
    }
    follow_queue(endpoint, load, bound);
    follow_room(disp, endpoint, load, bound);
    slot_endpoint_refresh(disp, now, row);
    disp_choose(disp, now);
    disp_send_marked(disp);
}

void
disp_set_leaving(disp_dispatcher *disp, lv_time now, lv_id id, bool leaving)
{
    uint32_t row = map_find(&disp->endpoint_map, id);

    if (row == LV_HANDLE_NONE ||
        disp->endpoints[row].is_told_leaving == leaving) {
        return;
    }
    disp->endpoints[row].is_told_leaving = leaving;
    slot_endpoint_refresh(disp, now, row);
    disp_choose(disp, now);
    disp_send_marked(disp);
}
