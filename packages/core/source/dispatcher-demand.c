#include <string.h>

#include "dispatcher-imp.h"
#include "table-imp.h"

/* Sorts urgent requests before all deferrable ones of their account. */
#define URGENT_OFFSET (INT64_MAX / 4)

static uint64_t
pair_key(uint32_t entry, uint32_t account)
{
    return ((uint64_t)entry + 1) << 32 | account;
}

uint32_t
disp_demand_find(const disp_dispatcher *disp, uint32_t entry, uint32_t account)
{
    return map_find(&disp->demand_map, pair_key(entry, account));
}

static void
init_demand(disp_dispatcher *disp, uint32_t row, uint32_t entry,
            uint32_t account)
{
    disp_demand *demand = &disp->demands[row];

    memset(demand, 0, sizeof *demand);
    demand->entry = entry;
    demand->account = account;
    demand->heap_index = LV_HANDLE_NONE;
    disp_list_init(&demand->active_list);
    disp_list_add(&disp->accounts[account].demand_list,
                  DISP_ROWS(disp->demands, account_link), row);
    disp_list_add(&disp->entries[entry].demand_list,
                  DISP_ROWS(disp->demands, entry_link), row);
}

uint32_t
disp_demand_find_or_add(disp_dispatcher *disp, uint32_t entry,
                        uint32_t account)
{
    uint32_t row = disp_demand_find(disp, entry, account);

    if (row != LV_HANDLE_NONE) {
        return row;
    }
    if (!table_reserve((void **)&disp->demands, &disp->demand_capacity,
                       disp->demand_count + 1, sizeof *disp->demands)) {
        return LV_HANDLE_NONE;
    }
    row = disp->free_demand;
    if (row == LV_HANDLE_NONE) {
        row = disp->demand_count;
    }
    if (!map_set(&disp->demand_map, pair_key(entry, account), row)) {
        return LV_HANDLE_NONE;
    }
    if (row == disp->demand_count) {
        disp->demand_count++;
    }
    else {
        disp->free_demand = disp->demands[row].account_link.next;
    }
    init_demand(disp, row, entry, account);
    return row;
}

void
disp_demand_free(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];

    disp_demand_clear_waiting(disp, now, row);
    disp_demand_clear_uncharged(disp, row);
    disp->accounts[demand->account].issued_allowance -=
        demand->issued_allowance;
    if (demand->is_reclaiming) {
        disp_list_remove(&disp->entries[demand->entry].reclaim_list,
                         DISP_ROWS(disp->demands, reclaim_link), row);
    }
    disp_list_remove(&disp->accounts[demand->account].demand_list,
                     DISP_ROWS(disp->demands, account_link), row);
    disp_list_remove(&disp->entries[demand->entry].demand_list,
                     DISP_ROWS(disp->demands, entry_link), row);
    map_remove(&disp->demand_map, pair_key(demand->entry, demand->account));
    demand->entry = LV_HANDLE_NONE;
    demand->account_link.next = disp->free_demand;
    disp->free_demand = row;
}

void
disp_demand_add_uncharged(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];

    if (demand->uncharged_grants++ == 0) {
        disp_list_add(&disp->entries[demand->entry].uncharged_list,
                      DISP_ROWS(disp->demands, uncharged_link), row);
    }
    disp->accounts[demand->account].uncharged_grants++;
}

void
disp_demand_clear_uncharged(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];

    if (demand->uncharged_grants > 0) {
        disp->accounts[demand->account].uncharged_grants -=
            demand->uncharged_grants;
        demand->uncharged_grants = 0;
        disp_list_remove(&disp->entries[demand->entry].uncharged_list,
                         DISP_ROWS(disp->demands, uncharged_link), row);
    }
}

static uint32_t
subtract_to_zero(uint32_t from, uint64_t amount)
{
    return from > amount ? from - (uint32_t)amount : 0;
}

int64_t
disp_demand_age_key(const disp_demand *demand)
{
    if (demand->urgent_ungranted > 0) {
        return (int64_t)demand->oldest_arrival[CAT_URGENT] - URGENT_OFFSET;
    }
    if (demand->waiting[CAT_DEFERRABLE] > 0) {
        return (int64_t)demand->oldest_arrival[CAT_DEFERRABLE];
    }
    return (int64_t)demand->oldest_arrival[CAT_URGENT];
}

static void
set_in_waiting_list(disp_dispatcher *disp, uint32_t row, bool is_waiting)
{
    disp_demand *demand = &disp->demands[row];

    if (demand->is_waiting == is_waiting) {
        return;
    }
    demand->is_waiting = is_waiting;
    if (is_waiting) {
        disp_list_add(&disp->entries[demand->entry].waiting_list,
                      DISP_ROWS(disp->demands, waiting_link), row);
    }
    else {
        disp_list_remove(&disp->entries[demand->entry].waiting_list,
                         DISP_ROWS(disp->demands, waiting_link), row);
    }
}

void
disp_demand_refresh(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];
    uint32_t urgent = demand->waiting[CAT_URGENT];
    uint32_t total = urgent + demand->waiting[CAT_DEFERRABLE];
    uint32_t ungranted = subtract_to_zero(total, demand->pending);
    uint32_t uncovered = subtract_to_zero(ungranted, demand->reserved);
    uint32_t urgent_ungranted = subtract_to_zero(urgent, demand->pending);
    uint32_t urgent_uncovered = subtract_to_zero(
        urgent_ungranted, (uint64_t)demand->reserved + demand->active);

    account->ungranted += ungranted - demand->ungranted;
    account->uncovered += uncovered - demand->uncovered;
    account->urgent_ungranted += urgent_ungranted - demand->urgent_ungranted;
    account->urgent_uncovered += urgent_uncovered - demand->urgent_uncovered;
    demand->ungranted = ungranted;
    demand->uncovered = uncovered;
    demand->urgent_ungranted = urgent_ungranted;
    demand->urgent_uncovered = urgent_uncovered;
    if (ungranted > 0) {
        heap_set_key(&account->demand_heap, row, disp_demand_age_key(demand));
    }
    else {
        heap_remove(&account->demand_heap, row);
    }
    set_in_waiting_list(disp, row, total > 0);
    disp_account_refresh(disp, now, demand->account);
}

void
disp_demand_set_waiting(disp_dispatcher *disp, lv_time now, uint32_t row,
                        const uint32_t waiting[CAT_PRIORITY_COUNT],
                        const lv_time arrival[CAT_PRIORITY_COUNT])
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];

    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        account->waiting += waiting[i] - demand->waiting[i];
        demand->waiting[i] = waiting[i];
        demand->oldest_arrival[i] = arrival[i];
    }
    disp_demand_refresh(disp, now, row);
}

void
disp_demand_set_reported_waiting(disp_dispatcher *disp, uint32_t row,
                                 uint32_t reported)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];
    bool was_waiting = account->reported_waiting > 0;

    account->reported_waiting += reported - demand->reported_waiting;
    demand->reported_waiting = reported;
    if (!was_waiting && reported > 0) {
        disp_account_raise_to_min(disp, demand->account);
    }
}

void
disp_demand_clear_waiting(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    static const uint32_t none[CAT_PRIORITY_COUNT];
    static const lv_time never[CAT_PRIORITY_COUNT];

    disp_demand_set_reported_waiting(disp, row, 0);
    disp_demand_set_waiting(disp, now, row, none, never);
}
