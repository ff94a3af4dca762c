#include <stdlib.h>
#include <string.h>

#include "dispatcher-imp.h"
#include "table-imp.h"

/* An entry that was not heard for this part of a lease's length gets no
 * grants: they would end before they are used. */
#define FRESH_NUMERATOR 1
#define FRESH_DENOMINATOR 2

static int
compare_ids(const void *left, const void *right)
{
    lv_id a = *(const lv_id *)left;
    lv_id b = *(const lv_id *)right;

    return (a > b) - (a < b);
}

bool
disp_is_member(const disp_dispatcher *disp, lv_id id)
{
    return disp->member_count > 0 &&
           bsearch(&id, disp->members, disp->member_count, sizeof id,
                   compare_ids) != NULL;
}

uint32_t
disp_entry_find(disp_dispatcher *disp, lv_id id)
{
    return map_find(&disp->entry_map, id);
}

static void
start_entry(disp_dispatcher *disp, lv_time now, uint32_t row, lv_id id,
            uint64_t incarnation)
{
    disp_entry *entry = &disp->entries[row];

    memset(entry, 0, sizeof *entry);
    entry->id = id;
    entry->incarnation = incarnation;
    entry->sent = disp->first_sequence;
    entry->heard = now;
    entry->deadline =
        now + disp->settings.lease_ttl + disp->settings.lease_margin;
    entry->is_member = disp_is_member(disp, id);
    disp_list_init(&entry->lease_list);
    disp_list_init(&entry->recall_list);
    disp_list_init(&entry->pending_list);
    disp_list_init(&entry->demand_list);
    disp_list_init(&entry->waiting_list);
    disp_list_init(&entry->reclaim_list);
    disp_list_init(&entry->begun_list);
}

uint32_t
disp_entry_make(disp_dispatcher *disp, lv_time now, lv_id id,
                uint64_t incarnation)
{
    uint32_t row = disp->free_entry;

    if (id == LV_ID_NONE ||
        !table_reserve((void **)&disp->entries, &disp->entry_capacity,
                       disp->entry_count + 1, sizeof *disp->entries)) {
        return LV_HANDLE_NONE;
    }
    if (row == LV_HANDLE_NONE) {
        row = disp->entry_count;
    }
    if (!map_set(&disp->entry_map, id, row)) {
        return LV_HANDLE_NONE;
    }
    if (row == disp->entry_count) {
        disp->entry_count++;
    }
    else {
        disp->free_entry = disp->entries[row].lease_list.first;
    }
    start_entry(disp, now, row, id, incarnation);
    return row;
}

/* Forget what an entry waits for; its leases stay. */
void
disp_entry_silence(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_entry *entry = &disp->entries[row];

    entry->is_fresh = false;
    while (entry->waiting_list.first != LV_HANDLE_NONE) {
        disp_demand_clear(disp, now, entry->waiting_list.first);
    }
}

static void
expire(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_entry *entry = &disp->entries[row];

    while (entry->lease_list.first != LV_HANDLE_NONE) {
        disp->events.expired++;
        slot_lease_free(disp, now, entry->lease_list.first);
    }
}

static bool
has_promises(const disp_dispatcher *disp, const disp_entry *entry)
{
    uint32_t row = entry->demand_list.first;

    while (row != LV_HANDLE_NONE) {
        if (disp->demands[row].reserved > 0) {
            return true;
        }
        row = disp->demands[row].entry_link.next;
    }
    return false;
}

/* A row that follows this one goes on with its sequence of GRANTs. */
void
disp_entry_keep_sequence(disp_dispatcher *disp, uint32_t row)
{
    if (disp->entries[row].sent > disp->first_sequence) {
        disp->first_sequence = disp->entries[row].sent;
    }
}

static void
forget(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_entry *entry = &disp->entries[row];

    disp_entry_keep_sequence(disp, row);

    while (entry->demand_list.first != LV_HANDLE_NONE) {
        disp_demand_free(disp, now, entry->demand_list.first);
    }
    if (!entry->is_gone) {
        map_remove(&disp->entry_map, entry->id);
    }
    entry->id = LV_ID_NONE;
    entry->lease_list.first = disp->free_entry;
    disp->free_entry = row;
}

static void
sweep_entry(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_entry *entry = &disp->entries[row];
    lv_time fresh =
        disp->settings.lease_ttl * FRESH_NUMERATOR / FRESH_DENOMINATOR;
    lv_time silent = lv_elapsed(now, entry->heard);

    if (entry->is_fresh && silent > fresh) {
        disp_entry_silence(disp, now, row);
    }
    if (entry->lease_count > 0 && now >= entry->deadline) {
        expire(disp, now, row);
    }
    if ((entry->is_gone || (!entry->is_member && silent > DISP_FORGET)) &&
        entry->lease_count == 0 && !entry->needs_grant &&
        !has_promises(disp, entry)) {
        forget(disp, now, row);
    }
}

void
disp_entry_sweep(disp_dispatcher *disp, lv_time now)
{
    for (uint32_t row = 0; row < disp->entry_count; row++) {
        if (disp->entries[row].id != LV_ID_NONE) {
            sweep_entry(disp, now, row);
        }
    }
}

static bool
copy_members(disp_dispatcher *disp, const lv_id *instances, uint32_t count)
{
    if (!table_reserve((void **)&disp->members, &disp->member_capacity, count,
                       sizeof *disp->members)) {
        return false;
    }
    if (count > 0) {
        memcpy(disp->members, instances, count * sizeof *instances);
        qsort(disp->members, count, sizeof *disp->members, compare_ids);
    }
    disp->member_count = count;
    return true;
}

static void
set_visible_share(disp_dispatcher *disp, lv_time now, uint32_t share)
{
    if (disp->visible_share == share) {
        return;
    }
    disp->visible_share = share;
    for (uint32_t row = 0; row < disp->endpoint_count; row++) {
        if (share >= 1000) {
            disp->endpoints[row].extra_slots = 0;
        }
        slot_endpoint_refresh(disp, now, row);
    }
    disp_account_limits_changed(disp, now);
}

void
disp_set_members(disp_dispatcher *disp, lv_time now, const lv_id *instances,
                 uint32_t count, uint32_t visible_share)
{
    if (!copy_members(disp, instances, count)) {
        return;
    }
    for (uint32_t row = 0; row < disp->entry_count; row++) {
        disp_entry *entry = &disp->entries[row];

        if (entry->id == LV_ID_NONE || entry->is_gone) {
            continue;
        }
        entry->is_member = disp_is_member(disp, entry->id);
        if (!entry->is_member) {
            disp_entry_silence(disp, now, row);
        }
    }
    set_visible_share(disp, now, visible_share < 1000 ? visible_share : 1000);
    disp_check_settled(disp, now);
    disp_assign_slots(disp, now);
    disp_send_flush(disp);
}
