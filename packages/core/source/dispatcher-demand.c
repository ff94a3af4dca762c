#include <string.h>

#include "dispatcher-imp.h"
#include "table-imp.h"

/* Urgent requests sort before all deferrable ones of their account. */
#define URGENT_LEAD (INT64_MAX / 4)

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
start_demand(disp_dispatcher *disp, uint32_t row, uint32_t entry,
             uint32_t account)
{
    disp_demand *demand = &disp->demands[row];

    memset(demand, 0, sizeof *demand);
    demand->entry = entry;
    demand->account = account;
    demand->heap_index = LV_HANDLE_NONE;
    disp_list_init(&demand->active_list);
    disp_list_add(&disp->accounts[account].demand_list,
                  DISP_ROWS(disp->demands, of_account), row);
    disp_list_add(&disp->entries[entry].demand_list,
                  DISP_ROWS(disp->demands, entry_link), row);
}

uint32_t
disp_demand_make(disp_dispatcher *disp, uint32_t entry, uint32_t account)
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
        disp->free_demand = disp->demands[row].of_account.next;
    }
    start_demand(disp, row, entry, account);
    return row;
}

void
disp_demand_free(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];

    disp_demand_clear(disp, now, row);

    disp_demand_end_begun(disp, row);
    disp->accounts[demand->account].given_out -= demand->given;
    if (demand->is_reclaiming) {
        disp_list_remove(&disp->entries[demand->entry].reclaim_list,
                         DISP_ROWS(disp->demands, of_reclaim), row);
    }
    disp_list_remove(&disp->accounts[demand->account].demand_list,
                     DISP_ROWS(disp->demands, of_account), row);
    disp_list_remove(&disp->entries[demand->entry].demand_list,
                     DISP_ROWS(disp->demands, entry_link), row);
    map_remove(&disp->demand_map, pair_key(demand->entry, demand->account));
    demand->entry = LV_HANDLE_NONE;
    demand->of_account.next = disp->free_demand;
    disp->free_demand = row;
}

/* A grant has begun a request, whose charge comes with the next full
 * report. */
void
disp_demand_add_uncharged(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];

    if (demand->begun++ == 0) {
        disp_list_add(&disp->entries[demand->entry].begun_list,
                      DISP_ROWS(disp->demands, of_begun), row);
    }
    disp->accounts[demand->account].begun++;
}

void
disp_demand_end_begun(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];

    if (demand->begun > 0) {
        disp->accounts[demand->account].begun -= demand->begun;
        demand->begun = 0;
        disp_list_remove(&disp->entries[demand->entry].begun_list,
                         DISP_ROWS(disp->demands, of_begun), row);
    }
}

static uint32_t
less(uint32_t from, uint64_t by)
{
    return from > by ? from - (uint32_t)by : 0;
}

int64_t
disp_demand_age_key(const disp_demand *demand)
{
    if (demand->urgent_unmet > 0) {
        return (int64_t)demand->oldest[CAT_URGENT] - URGENT_LEAD;
    }
    if (demand->waiting[CAT_DEFERRABLE] > 0) {
        return (int64_t)demand->oldest[CAT_DEFERRABLE];
    }
    return (int64_t)demand->oldest[CAT_URGENT];
}

static void
set_waiting_place(disp_dispatcher *disp, uint32_t row, bool is_waiting)
{
    disp_demand *demand = &disp->demands[row];

    if (demand->is_waiting == is_waiting) {
        return;
    }
    demand->is_waiting = is_waiting;
    if (is_waiting) {
        disp_list_add(&disp->entries[demand->entry].waiting_list,
                      DISP_ROWS(disp->demands, of_waiting), row);
    }
    else {
        disp_list_remove(&disp->entries[demand->entry].waiting_list,
                         DISP_ROWS(disp->demands, of_waiting), row);
    }
}

void
disp_demand_refresh(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];
    uint32_t urgent = demand->waiting[CAT_URGENT];
    uint32_t total = urgent + demand->waiting[CAT_DEFERRABLE];
    uint32_t unmet = less(total, demand->pending);
    uint32_t wanted = less(unmet, demand->reserved);
    uint32_t urgent_unmet = less(urgent, demand->pending);
    uint32_t urgent_wanted =
        less(urgent_unmet, (uint64_t)demand->reserved + demand->active);

    account->unmet += unmet - demand->unmet;
    account->wanted += wanted - demand->wanted;
    account->urgent_unmet += urgent_unmet - demand->urgent_unmet;
    account->urgent_wanted += urgent_wanted - demand->urgent_wanted;
    demand->unmet = unmet;
    demand->wanted = wanted;
    demand->urgent_unmet = urgent_unmet;
    demand->urgent_wanted = urgent_wanted;
    if (unmet > 0) {
        heap_set_key(&account->demands, row, disp_demand_age_key(demand));
    }
    else {
        heap_remove(&account->demands, row);
    }
    set_waiting_place(disp, row, total > 0);
    disp_account_refresh(disp, now, demand->account);
}

void
disp_demand_set_waiting(disp_dispatcher *disp, lv_time now, uint32_t row,
                        const uint32_t waiting[CAT_PRIORITY_COUNT],
                        const lv_time oldest[CAT_PRIORITY_COUNT])
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];

    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        account->waiting += waiting[i] - demand->waiting[i];
        demand->waiting[i] = waiting[i];
        demand->oldest[i] = oldest[i];
    }

    disp_demand_refresh(disp, now, row);
}

/* What the entry says, without the grants that were seen since. An account
 * that said it waits nowhere, and waits now, comes back from idle. */
void
disp_demand_set_reported(disp_dispatcher *disp, uint32_t row,
                         uint32_t reported)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];
    bool was_waiting = account->reported > 0;

    account->reported += reported - demand->reported;
    demand->reported = reported;
    if (!was_waiting && reported > 0) {
        disp_account_lift(disp, demand->account);
    }
}

void
disp_demand_clear(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    static const uint32_t none[CAT_PRIORITY_COUNT];
    static const lv_time never[CAT_PRIORITY_COUNT];

    disp_demand_set_reported(disp, row, 0);
    disp_demand_set_waiting(disp, now, row, none, never);
}
