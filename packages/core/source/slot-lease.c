/*
 * The leases of a dispatcher, and their sums in endpoints, entries, demands
 * and accounts.
 */
#include <string.h>

#include "dispatcher-imp.h"
#include "table-imp.h"

/* Adds a row for a lease and returns it, or LV_HANDLE_NONE when memory is
 * exhausted. Free rows are linked through entry_link. */
static uint32_t
add_row(disp_dispatcher *disp, uint64_t id)
{
    uint32_t row = disp->free_lease;

    if (!table_reserve((void **)&disp->leases, &disp->lease_capacity,
                       disp->lease_count + 1, sizeof *disp->leases)) {
        return LV_HANDLE_NONE;
    }
    if (row == LV_HANDLE_NONE) {
        row = disp->lease_count;
    }
    if (!map_set(&disp->lease_map, id, row)) {
        return LV_HANDLE_NONE;
    }
    if (row == disp->lease_count) {
        disp->lease_count++;
    }
    else {
        disp->free_lease = disp->leases[row].entry_link.next;
    }
    memset(&disp->leases[row], 0, sizeof disp->leases[row]);
    disp->leases[row].id = id;
    disp->leases[row].demand = LV_HANDLE_NONE;
    disp->leases[row].reserved_for = LV_HANDLE_NONE;
    return row;
}

/* Adds an active lease to a demand and its account. */
static void
bind_to_demand(disp_dispatcher *disp, uint32_t row, uint32_t demand_row)
{
    disp_demand *demand = &disp->demands[demand_row];
    disp_account *account = &disp->accounts[demand->account];

    disp->leases[row].demand = demand_row;
    if (demand->active++ == 0) {
        disp_list_add(&account->holders, DISP_ROWS(disp->demands, holder_link),
                      demand_row);
    }
    disp_list_add(&demand->active_list, DISP_ROWS(disp->leases, demand_link),
                  row);
    account->active++;
    account->leased++;
}

/* Removes a lease from the active leases of its demand and account, because it
 * is recalled, freed or bound to another demand. */
static void
deactivate(disp_dispatcher *disp, uint32_t row)
{
    uint32_t demand_row = disp->leases[row].demand;
    disp_demand *demand = &disp->demands[demand_row];
    disp_account *account = &disp->accounts[demand->account];

    disp_list_remove(&demand->active_list,
                     DISP_ROWS(disp->leases, demand_link), row);
    if (--demand->active == 0) {
        disp_list_remove(&account->holders,
                         DISP_ROWS(disp->demands, holder_link), demand_row);
    }
    account->active--;
}

/* Removes a lease from its demand and account. */
static void
unbind_from_demand(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_lease *lease = &disp->leases[row];
    uint32_t demand_row = lease->demand;
    disp_account *account;

    if (demand_row == LV_HANDLE_NONE) {
        return;
    }
    if (!lease->is_recalled) {
        deactivate(disp, row);
    }
    account = &disp->accounts[disp->demands[demand_row].account];
    account->leased--;
    if (lease->is_pending) {
        disp->demands[demand_row].pending--;
        account->pending--;
    }
    lease->demand = LV_HANDLE_NONE;
    disp_demand_refresh(disp, now, demand_row);
}

/* Adds a lease to the lists and counts of its endpoint and entry. */
static void
link_lease(disp_dispatcher *disp, uint32_t row, uint32_t endpoint,
           uint32_t entry)
{
    disp_lease *lease = &disp->leases[row];

    lease->endpoint = endpoint;
    lease->entry = entry;
    disp_list_add(&disp->entries[entry].lease_list,
                  DISP_ROWS(disp->leases, entry_link), row);
    disp_list_add(&disp->endpoints[endpoint].lease_list,
                  DISP_ROWS(disp->leases, endpoint_link), row);
    disp->entries[entry].lease_count++;
    disp->endpoints[endpoint].leased++;
    disp->leased++;
}

static void
log_lease(disp_dispatcher *disp, lv_decision_kind kind, uint32_t row,
          const char *reason, uint32_t alternatives)
{
    const disp_lease *lease = &disp->leases[row];
    uint32_t account = lease->demand == LV_HANDLE_NONE
                           ? LV_HANDLE_NONE
                           : disp->demands[lease->demand].account;
    lv_decision decision = {
        .kind = kind,
        .reason = reason,
        .account = disp_account_name(disp, account),
        .pool = disp->has_pool ? disp->pool.name : NULL,
        .endpoint = disp->endpoints[lease->endpoint].id,
        .instance = disp->entries[lease->entry].id,
        .value = lease->id,
        .alternatives = alternatives,
    };

    disp->host->ops->log_decision(disp->host, &decision);
}

uint32_t
slot_lease_grant(disp_dispatcher *disp, lv_time now, uint32_t endpoint,
                 uint32_t entry, uint32_t demand, const char *reason,
                 uint32_t alternatives)
{
    uint32_t row = add_row(disp, disp->next_lease_id);

    if (row == LV_HANDLE_NONE) {
        return row;
    }
    if (++disp->next_lease_id == 0) {
        disp->next_lease_id = 1;
    }
    link_lease(disp, row, endpoint, entry);
    disp->leases[row].is_pending = true;
    disp_list_add(&disp->entries[entry].pending_list,
                  DISP_ROWS(disp->leases, pending_link), row);
    if (demand != LV_HANDLE_NONE) {
        bind_to_demand(disp, row, demand);
        disp->demands[demand].pending++;
        disp->accounts[disp->demands[demand].account].pending++;
        disp_demand_refresh(disp, now, demand);
    }
    slot_endpoint_refresh(disp, now, endpoint);
    disp->events.grants++;
    log_lease(disp, LV_DECIDE_GRANT, row, reason, alternatives);
    disp_send_enqueue(disp, entry);
    return row;
}

uint32_t
slot_lease_adopt(disp_dispatcher *disp, lv_time now, uint32_t entry,
                 const msg_lease *held)
{
    uint32_t endpoint = slot_endpoint_find_or_add(disp, held->endpoint);
    uint32_t row;

    if (endpoint == LV_HANDLE_NONE || held->lease == 0) {
        return LV_HANDLE_NONE;
    }
    row = add_row(disp, held->lease);
    if (row != LV_HANDLE_NONE) {
        link_lease(disp, row, endpoint, entry);
        slot_endpoint_refresh(disp, now, endpoint);
    }
    return row;
}

void
slot_lease_bind(disp_dispatcher *disp, lv_time now, uint32_t row,
                uint32_t demand)
{
    disp_lease *lease = &disp->leases[row];

    if (lease->demand == demand || lease->is_recalled || lease->is_pending) {
        return;
    }
    unbind_from_demand(disp, now, row);
    if (demand != LV_HANDLE_NONE) {
        bind_to_demand(disp, row, demand);
        disp_demand_refresh(disp, now, demand);
    }
}

/* Sets the demand that the slot of a recalled lease is reserved for. */
static void
set_reserved_for(disp_dispatcher *disp, lv_time now, uint32_t row,
                 uint32_t demand)
{
    uint32_t old_demand = disp->leases[row].reserved_for;

    disp->leases[row].reserved_for = demand;
    if (old_demand != LV_HANDLE_NONE) {
        disp->demands[old_demand].reserved--;
        disp->accounts[disp->demands[old_demand].account].reserved--;
        disp_demand_refresh(disp, now, old_demand);
    }
    if (demand != LV_HANDLE_NONE) {
        disp->demands[demand].reserved++;
        disp->accounts[disp->demands[demand].account].reserved++;
        disp_demand_refresh(disp, now, demand);
    }
}

void
slot_lease_recall(disp_dispatcher *disp, lv_time now, uint32_t row,
                  uint32_t meant_for, const char *reason,
                  uint32_t alternatives)
{
    disp_lease *lease = &disp->leases[row];

    if (lease->is_recalled) {
        return;
    }
    if (lease->demand != LV_HANDLE_NONE) {
        deactivate(disp, row);
    }
    lease->is_recalled = true;
    disp_list_add(&disp->entries[lease->entry].recall_list,
                  DISP_ROWS(disp->leases, recall_link), row);
    disp->endpoints[lease->endpoint].recalled++;
    set_reserved_for(disp, now, row, meant_for);
    if (lease->demand != LV_HANDLE_NONE) {
        disp_demand_refresh(disp, now, lease->demand);
    }
    disp->events.recalls++;
    log_lease(disp, LV_DECIDE_RECALL, row, reason, alternatives);
    disp_send_enqueue(disp, lease->entry);
}

/* Also subtracts one waiting request, which the entry has started on the
 * lease: an urgent one if any waits. */
void
slot_lease_acknowledge(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_lease *lease = &disp->leases[row];
    disp_demand *demand;
    int priority;

    lease->is_pending = false;
    disp_list_remove(&disp->entries[lease->entry].pending_list,
                     DISP_ROWS(disp->leases, pending_link), row);
    if (lease->demand == LV_HANDLE_NONE) {
        return;
    }
    demand = &disp->demands[lease->demand];
    demand->pending--;
    disp->accounts[demand->account].pending--;
    disp_demand_add_uncharged(disp, lease->demand);
    priority = demand->waiting[CAT_URGENT] > 0 ? CAT_URGENT : CAT_DEFERRABLE;
    if (demand->waiting[priority] > 0) {
        demand->waiting[priority]--;
        disp->accounts[demand->account].waiting--;
    }
    disp_demand_refresh(disp, now, lease->demand);
}

void
slot_lease_free(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_lease *lease = &disp->leases[row];
    uint32_t endpoint = lease->endpoint;

    set_reserved_for(disp, now, row, LV_HANDLE_NONE);
    unbind_from_demand(disp, now, row);
    if (lease->is_pending) {
        disp_list_remove(&disp->entries[lease->entry].pending_list,
                         DISP_ROWS(disp->leases, pending_link), row);
    }
    disp_list_remove(&disp->entries[lease->entry].lease_list,
                     DISP_ROWS(disp->leases, entry_link), row);
    disp_list_remove(&disp->endpoints[endpoint].lease_list,
                     DISP_ROWS(disp->leases, endpoint_link), row);
    disp->entries[lease->entry].lease_count--;
    disp->endpoints[endpoint].leased--;
    if (lease->is_recalled) {
        disp_list_remove(&disp->entries[lease->entry].recall_list,
                         DISP_ROWS(disp->leases, recall_link), row);
        disp->endpoints[endpoint].recalled--;
    }
    disp->leased--;
    map_remove(&disp->lease_map, lease->id);
    lease->id = 0;
    lease->entry_link.next = disp->free_lease;
    disp->free_lease = row;
    slot_endpoint_refresh(disp, now, endpoint);
}
