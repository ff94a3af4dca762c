#include "dispatcher-imp.h"

/* An entry keeps this many idle leases for any account in a calm pool, for
 * this long after its last arrival. */
enum {
    FLOAT_LEASES = 1
};

#define FLOAT_KEEP (5 * LV_SECOND)

static uint32_t
alternatives(const heap_min_heap *heap)
{
    return heap->count > 0 ? heap->count - 1 : 0;
}

/* The account that gets the next free slot. */
static uint32_t
choose_account(disp_dispatcher *disp, const char **reason)
{
    const heap_min_heap *ready = &disp->heaps[DISP_READY];
    const heap_min_heap *urgent = &disp->heaps[DISP_READY_URGENT];
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
grant_one(disp_dispatcher *disp, lv_time now)
{
    const char *reason;
    uint32_t endpoint = heap_top(&disp->free_endpoints);
    uint32_t least = heap_top(&disp->heaps[DISP_READY]);
    uint32_t account;
    uint32_t demand;

    if (endpoint == LV_HANDLE_NONE || least == LV_HANDLE_NONE) {
        return false;
    }
    if (disp->accounts[least].level > disp->virtual_now) {
        disp->virtual_now = disp->accounts[least].level;
    }
    account = choose_account(disp, &reason);
    demand = heap_top(&disp->accounts[account].demands);
    return slot_lease_grant(disp, now, endpoint, disp->demands[demand].entry,
                            demand, reason,
                            alternatives(&disp->heaps[DISP_READY])) !=
           LV_HANDLE_NONE;
}

/* A lease that the entry knows of: one that is recalled on its way would
 * come back unused. A lease whose request is deferrable goes first. */
static uint32_t
pick_known(const disp_dispatcher *disp, uint32_t demand)
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

/* One lease of an account's; its entries take turns. */
static uint32_t
pick_lease(disp_dispatcher *disp, uint32_t account)
{
    disp_list *holders = &disp->accounts[account].holders;
    disp_rows rows = DISP_ROWS(disp->demands, holder_link);
    uint32_t last = holders->last;
    uint32_t lease;
    uint32_t demand;

    do {
        demand = holders->first;
        lease = pick_known(disp, demand);
        disp_list_remove(holders, rows, demand);
        disp_list_add(holders, rows, demand);
    } while (lease == LV_HANDLE_NONE && demand != last);
    return lease;
}

static bool
recall_for_lead(disp_dispatcher *disp, lv_time now)
{
    const heap_min_heap *want = &disp->heaps[DISP_WANT];
    const heap_min_heap *hold = &disp->heaps[DISP_HOLD];
    uint32_t least = heap_top(want);
    uint32_t most = heap_top(hold);
    uint32_t lease;
    int64_t lead;

    if (least == LV_HANDLE_NONE || most == LV_HANDLE_NONE || least == most) {
        return false;
    }
    lead = -heap_top_key(hold) - heap_top_key(want);
    if (lead <= (int64_t)disp->pool.quantum) {
        return false;
    }
    lease = pick_lease(disp, most);
    if (lease == LV_HANDLE_NONE) {
        return false;
    }
    slot_lease_recall(disp, now, lease,
                      heap_top(&disp->accounts[least].demands), "lead",
                      alternatives(hold));
    return true;
}

/* The demand of an account's that has urgent work no recall is meant for. */
static uint32_t
urgent_demand(const disp_dispatcher *disp, uint32_t account)
{
    const heap_min_heap *demands = &disp->accounts[account].demands;

    for (uint32_t i = 0; i < demands->count; i++) {
        uint32_t row = demands->nodes[i].item;

        if (disp->demands[row].urgent_wanted > 0) {
            return row;
        }
    }
    return LV_HANDLE_NONE;
}

/* What runs in a lease is known as of the last full report. A lease that was
 * between two requests then has the kind of work that waits for it. */
static bool
yields_to_urgent(const disp_dispatcher *disp, uint32_t row)
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
    const heap_min_heap *urgent = &disp->heaps[DISP_WANT_URGENT];
    const heap_min_heap *hold = &disp->heaps[DISP_HOLD];
    uint32_t account = heap_top(urgent);
    uint32_t most = heap_top(hold);
    uint32_t lease;
    uint32_t demand;

    if (account == LV_HANDLE_NONE || most == LV_HANDLE_NONE ||
        heap_top_key(urgent) - heap_top_key(&disp->heaps[DISP_READY]) >
            (int64_t)disp->pool.urgent_credit) {
        return false;
    }
    demand = urgent_demand(disp, account);
    lease = pick_lease(disp, most);
    if (demand == LV_HANDLE_NONE || lease == LV_HANDLE_NONE ||
        !yields_to_urgent(disp, lease)) {
        return false;
    }
    slot_lease_recall(disp, now, lease, demand, "urgent", alternatives(hold));
    return true;
}

/* Say at once that the pool is contended, so that idle leases come back. */
static void
begin_contention(disp_dispatcher *disp, lv_time now)
{
    lv_time calm = disp->settings.report_interval * DISP_CALM_REPORTS;

    if (lv_elapsed(now, disp->calm_since) >= calm) {
        disp_account_new_epoch(disp, now);
    }
    for (uint32_t row = 0; row < disp->entry_count; row++) {
        if (disp->entries[row].lease_count > 0) {
            disp_send_enqueue(disp, row);
        }
    }
}

static void
set_contended(disp_dispatcher *disp, lv_time now)
{
    bool is_contended = disp->heaps[DISP_READY].count > 0;

    if (is_contended == disp->is_contended) {
        return;
    }
    disp->is_contended = is_contended;
    if (is_contended) {
        begin_contention(disp, now);
    }
    else {
        disp->calm_since = now;
    }
}

void
disp_assign_slots(disp_dispatcher *disp, lv_time now)
{
    if (!disp->is_settled) {
        return;
    }
    while (grant_one(disp, now)) {
    }
    set_contended(disp, now);
    if (!disp->is_contended) {
        return;
    }
    while (recall_for_urgent(disp, now)) {
    }
    while (recall_for_lead(disp, now)) {
    }
}

static void
recall_floats(disp_dispatcher *disp, lv_time now, uint32_t entry,
              uint32_t kept)
{
    uint32_t row = disp->entries[entry].lease_list.first;

    while (row != LV_HANDLE_NONE) {
        const disp_lease *lease = &disp->leases[row];
        uint32_t next = lease->entry_link.next;

        if (lease->demand != LV_HANDLE_NONE || lease->is_busy) {
            row = next;
            continue;
        }
        if (kept > 0) {
            kept--;
        }
        else {
            slot_lease_recall(disp, now, row, LV_HANDLE_NONE, "unused", 0);
        }
        row = next;
    }
}

void
disp_choose_float(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    const disp_entry *entry = &disp->entries[row];
    uint32_t endpoint = heap_top(&disp->free_endpoints);
    bool is_quiet =
        entry->arrived == 0 || lv_elapsed(now, entry->arrived) > FLOAT_KEEP;

    if (entry->idle_any > 0) {
        recall_floats(disp, now, row, is_quiet ? 0 : FLOAT_LEASES);
    }
    if (!disp->is_settled || disp->is_contended || !entry->is_fresh ||
        is_quiet || entry->idle_any >= FLOAT_LEASES ||
        endpoint == LV_HANDLE_NONE) {
        return;
    }
    slot_lease_grant(disp, now, endpoint, row, LV_HANDLE_NONE, "float", 0);
}

/* Within an account: when its leases at one entry have used a quantum, one
 * goes to the entry whose request waits longest. */
void
disp_choose_move(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    int64_t quantum = (int64_t)disp->pool.quantum;
    disp_demand *from = &disp->demands[row];
    disp_account *account = &disp->accounts[from->account];

    while (from->used >= quantum) {
        uint32_t oldest = heap_top(&account->demands);
        uint32_t lease = pick_known(disp, row);

        if (lease == LV_HANDLE_NONE || oldest == LV_HANDLE_NONE ||
            oldest == row || disp->demands[oldest].wanted == 0) {
            break;
        }
        slot_lease_recall(disp, now, lease, oldest, "move",
                          alternatives(&account->demands));
        from->used -= quantum > 0 ? quantum : from->used + 1;
    }
    if (from->used > quantum) {
        from->used = quantum;
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
                row != LV_HANDLE_NONE && disp->entries[row].has_claimed;
        }
    }
    if (is_settled) {
        disp->is_settled = true;
        disp_account_bound_leads(disp, now);
        disp->virtual_now = disp->highest;
        disp->calm_since = now;
    }
}
