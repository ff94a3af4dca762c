#include "dispatcher-imp.h"

/* Idle floating leases that an entry keeps while the pool is uncontended, so
 * that a request starts without a round trip to the dispatcher. They are
 * recalled when nothing has arrived at the entry for FLOATING_TIMEOUT. */
enum {
    MAX_IDLE_FLOATING = 1
};

#define FLOATING_TIMEOUT (5 * LV_SECOND)

static uint32_t
count_alternatives(const heap_min_heap *heap)
{
    return heap->count > 0 ? heap->count - 1 : 0;
}

/* Chooses the account that gets the next free slot: the one with the minimum
 * counter, or one with urgent requests whose counter is at most the urgent
 * credit above that. */
static uint32_t
choose_next_account(disp_dispatcher *disp, const char **reason)
{
    const heap_min_heap *ready = &disp->heaps[DISP_HEAP_READY];
    const heap_min_heap *urgent = &disp->heaps[DISP_HEAP_READY_URGENT];
    uint32_t account = heap_top(ready);

    disp->events.decisions++;
    *reason = "least-counter";
    if (urgent->count > 0 && heap_top_key(urgent) - heap_top_key(ready) <=
                                 (int64_t)disp->pool.urgent_credit) {
        account = heap_top(urgent);
        *reason = "urgent";
    }
    return account;
}

static bool
grant_next_slot(disp_dispatcher *disp, lv_time now)
{
    const char *reason;
    uint32_t endpoint = heap_top(&disp->free_endpoints);
    uint32_t min_account = heap_top(&disp->heaps[DISP_HEAP_READY]);
    uint32_t account;
    uint32_t demand;

    if (endpoint == LV_HANDLE_NONE || min_account == LV_HANDLE_NONE) {
        return false;
    }
    if (disp->accounts[min_account].level > disp->virtual_time) {
        disp->virtual_time = disp->accounts[min_account].level;
    }
    account = choose_next_account(disp, &reason);
    demand = heap_top(&disp->accounts[account].demand_heap);
    return slot_lease_grant(
               disp, now, endpoint, disp->demands[demand].entry, demand,
               reason, count_alternatives(&disp->heaps[DISP_HEAP_READY])) !=
           LV_HANDLE_NONE;
}

/* Finds an active lease that the entry has acknowledged; a pending one would
 * be returned unused. Prefers leases that are idle or run a deferrable
 * request. */
static uint32_t
find_recallable(const disp_dispatcher *disp, uint32_t demand)
{
    uint32_t found = LV_HANDLE_NONE;

    for (uint32_t row = disp->demands[demand].active_list.first;
         row != LV_HANDLE_NONE; row = disp->leases[row].demand_link.next) {
        const disp_lease *lease = &disp->leases[row];

        if (lease->is_pending) {
            continue;
        }
        if (!lease->is_busy || lease->priority == CAT_DEFERRABLE) {
            return row;
        }
        found = row;
    }
    return found;
}

/* Finds an account's lease to recall, from its entries in rotation. */
static uint32_t
choose_lease_to_recall(disp_dispatcher *disp, uint32_t account)
{
    disp_list *holders = &disp->accounts[account].holders;
    disp_rows rows = DISP_ROWS(disp->demands, holder_link);
    uint32_t last_demand = holders->last;
    uint32_t lease;
    uint32_t demand;

    do {
        demand = holders->first;
        lease = find_recallable(disp, demand);
        disp_list_remove(holders, rows, demand);
        disp_list_add(holders, rows, demand);
    } while (lease == LV_HANDLE_NONE && demand != last_demand);
    return lease;
}

static bool
recall_for_lead(disp_dispatcher *disp, lv_time now)
{
    const heap_min_heap *uncovered = &disp->heaps[DISP_HEAP_UNCOVERED];
    const heap_min_heap *holders = &disp->heaps[DISP_HEAP_HOLDERS];
    uint32_t behind = heap_top(uncovered);
    uint32_t leader = heap_top(holders);
    uint32_t lease;
    int64_t lead;

    if (behind == LV_HANDLE_NONE || leader == LV_HANDLE_NONE ||
        behind == leader) {
        return false;
    }
    lead = -heap_top_key(holders) - heap_top_key(uncovered);
    if (lead <= (int64_t)disp->pool.quantum) {
        return false;
    }
    lease = choose_lease_to_recall(disp, leader);
    if (lease == LV_HANDLE_NONE) {
        return false;
    }
    slot_lease_recall(disp, now, lease,
                      heap_top(&disp->accounts[behind].demand_heap), "lead",
                      count_alternatives(holders));
    return true;
}

/* Finds a demand of the account with uncovered urgent requests. */
static uint32_t
find_uncovered_urgent(const disp_dispatcher *disp, uint32_t account)
{
    const heap_min_heap *demands = &disp->accounts[account].demand_heap;

    for (uint32_t i = 0; i < demands->count; i++) {
        uint32_t row = demands->nodes[i].item;

        if (disp->demands[row].urgent_uncovered > 0) {
            return row;
        }
    }
    return LV_HANDLE_NONE;
}

/* Returns whether a lease is taken to run no urgent request. What it runs is
 * known from the last full report. If it ran nothing then, it is taken to run
 * the kind of request that waits for it. */
static bool
may_recall_for_urgent(const disp_dispatcher *disp, uint32_t row)
{
    const disp_lease *lease = &disp->leases[row];

    if (lease->is_busy) {
        return lease->priority != CAT_URGENT;
    }
    return lease->demand == LV_HANDLE_NONE ||
           disp->demands[lease->demand].waiting[CAT_URGENT] == 0;
}

static bool
recall_for_urgent(disp_dispatcher *disp, lv_time now)
{
    const heap_min_heap *urgent = &disp->heaps[DISP_HEAP_UNCOVERED_URGENT];
    const heap_min_heap *holders = &disp->heaps[DISP_HEAP_HOLDERS];
    uint32_t account = heap_top(urgent);
    uint32_t leader = heap_top(holders);
    uint32_t lease;
    uint32_t demand;

    if (account == LV_HANDLE_NONE || leader == LV_HANDLE_NONE ||
        heap_top_key(urgent) - heap_top_key(&disp->heaps[DISP_HEAP_READY]) >
            (int64_t)disp->pool.urgent_credit) {
        return false;
    }
    demand = find_uncovered_urgent(disp, account);
    lease = choose_lease_to_recall(disp, leader);
    if (demand == LV_HANDLE_NONE || lease == LV_HANDLE_NONE ||
        !may_recall_for_urgent(disp, lease)) {
        return false;
    }
    slot_lease_recall(disp, now, lease, demand, "urgent",
                      count_alternatives(holders));
    return true;
}

/* Reports contention to the entries at once, so that they release idle
 * leases. */
static void
begin_contention(disp_dispatcher *disp, lv_time now)
{
    lv_time min_pause =
        disp->settings.report_interval * DISP_UNCONTENDED_REPORTS;

    if (lv_elapsed(now, disp->uncontended_since) >= min_pause) {
        disp_account_begin_epoch(disp, now);
    }
    for (uint32_t row = 0; row < disp->entry_count; row++) {
        if (disp->entries[row].lease_count > 0) {
            disp_send_enqueue(disp, row);
        }
    }
}

static void
update_contended(disp_dispatcher *disp, lv_time now)
{
    bool is_contended = disp->heaps[DISP_HEAP_READY].count > 0;

    if (is_contended == disp->is_contended) {
        return;
    }
    disp->is_contended = is_contended;
    if (is_contended) {
        begin_contention(disp, now);
    }
    else {
        disp->uncontended_since = now;
    }
}

void
disp_assign_slots(disp_dispatcher *disp, lv_time now)
{
    if (!disp->is_settled) {
        return;
    }
    while (grant_next_slot(disp, now)) {
    }
    update_contended(disp, now);
    if (!disp->is_contended) {
        return;
    }
    while (recall_for_urgent(disp, now)) {
    }
    while (recall_for_lead(disp, now)) {
    }
}

static void
recall_idle_floating(disp_dispatcher *disp, lv_time now, uint32_t entry,
                     uint32_t kept_count)
{
    uint32_t row = disp->entries[entry].lease_list.first;

    while (row != LV_HANDLE_NONE) {
        const disp_lease *lease = &disp->leases[row];
        uint32_t next = lease->entry_link.next;

        if (lease->demand != LV_HANDLE_NONE || lease->is_busy) {
            row = next;
            continue;
        }
        if (kept_count > 0) {
            kept_count--;
        }
        else {
            slot_lease_recall(disp, now, row, LV_HANDLE_NONE, "unused", 0);
        }
        row = next;
    }
}

void
disp_adjust_floating(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    const disp_entry *entry = &disp->entries[row];
    uint32_t endpoint = heap_top(&disp->free_endpoints);
    bool is_unused = entry->last_arrival == 0 ||
                     lv_elapsed(now, entry->last_arrival) > FLOATING_TIMEOUT;

    if (entry->idle_floating > 0) {
        recall_idle_floating(disp, now, row,
                             is_unused ? 0 : MAX_IDLE_FLOATING);
    }
    if (!disp->is_settled || disp->is_contended || !entry->is_responsive ||
        is_unused || entry->idle_floating >= MAX_IDLE_FLOATING ||
        endpoint == LV_HANDLE_NONE) {
        return;
    }
    slot_lease_grant(disp, now, endpoint, row, LV_HANDLE_NONE, "float", 0);
}

void
disp_move_leases(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    int64_t quantum = (int64_t)disp->pool.quantum;
    disp_demand *from = &disp->demands[row];
    disp_account *account = &disp->accounts[from->account];

    while (from->service_since_move >= quantum) {
        uint32_t oldest = heap_top(&account->demand_heap);
        uint32_t lease = find_recallable(disp, row);

        if (lease == LV_HANDLE_NONE || oldest == LV_HANDLE_NONE ||
            oldest == row || disp->demands[oldest].uncovered == 0) {
            break;
        }
        slot_lease_recall(disp, now, lease, oldest, "move",
                          count_alternatives(&account->demand_heap));
        from->service_since_move -=
            quantum > 0 ? quantum : from->service_since_move + 1;
    }
    if (from->service_since_move > quantum) {
        from->service_since_move = quantum;
    }
}

void
disp_check_settled(disp_dispatcher *disp, lv_time now)
{
    bool is_settled =
        lv_elapsed(now, disp->started) >= disp->settings.settle_timeout;

    if (disp->is_settled) {
        return;
    }
    if (!is_settled && disp->member_count > 0) {
        is_settled = true;
        for (uint32_t i = 0; i < disp->member_count && is_settled; i++) {
            uint32_t row = disp_entry_find(disp, disp->members[i]);

            is_settled =
                row != LV_HANDLE_NONE && disp->entries[row].has_reported;
        }
    }
    if (is_settled) {
        disp->is_settled = true;
        disp_account_limit_leads(disp, now);
        disp->virtual_time = disp->max_level;
        disp->uncontended_since = now;
    }
}
