#include "dispatcher-imp.h"

/* Interest is counted over the current window of this many report intervals
 * and the window before it. */
enum {
    WINDOW_REPORTS = 4
};

/* Returns whether this shard enforces the account's rate limit. */
static bool
enforces_rate(const disp_dispatcher *disp, const disp_demand *demand)
{
    const disp_account *account = &disp->accounts[demand->account];

    return account->enforces_limits && account->has_rate_limit;
}

/* Returns how many more requests the entry may admit according to its last
 * report. */
static uint32_t
unused_allowance(const disp_demand *demand)
{
    int32_t unused = (int32_t)(demand->allowance - demand->arrivals);

    return unused > 0 ? (uint32_t)unused : 0;
}

/* Updates the demand's issued allowance and the account's sum of them. */
static void
update_issued(disp_dispatcher *disp, disp_demand *demand)
{
    uint32_t issued = unused_allowance(demand) + demand->reclaimed;

    if (enforces_rate(disp, demand)) {
        disp->accounts[demand->account].issued_allowance +=
            issued - demand->issued_allowance;
        demand->issued_allowance = issued;
    }
}

static void
refill_bucket(disp_account *account, lv_time now)
{
    lim_refill_reserving(&account->rate_bucket, now,
                         account->issued_allowance);
}

static void
advance_window(disp_window_count *recent, uint32_t window)
{
    if (recent->window == window) {
        return;
    }
    recent->previous = recent->window + 1 == window ? recent->current : 0;
    recent->current = 0;
    recent->window = window;
}

/* Counts arrivals, and one for the report itself: an entry that lists the
 * account has interest even if it could admit nothing. */
static void
record_interest(disp_dispatcher *disp, lv_time now, disp_demand *demand,
                uint32_t arrivals)
{
    disp_account *account = &disp->accounts[demand->account];
    uint32_t window = account->interest.window;

    if (lv_elapsed(now, account->window_start) >=
        WINDOW_REPORTS * disp->settings.report_interval) {
        account->window_start = now;
        window++;
    }
    advance_window(&account->interest, window);
    advance_window(&demand->interest, window);
    account->interest.current += arrivals + 1;
    demand->interest.current += arrivals + 1;
}

/* Returns the demand's interest over the two windows. */
static uint32_t
sum_interest(const disp_dispatcher *disp, const disp_demand *demand)
{
    disp_window_count recent = demand->interest;

    advance_window(&recent, disp->accounts[demand->account].interest.window);
    return recent.current + recent.previous;
}

/* Charges the bucket for requests admitted above the allowance. Those that the
 * reclaimed part covers have been taken from the bucket already. */
static void
charge_overrun(disp_dispatcher *disp, lv_time now, disp_demand *demand)
{
    disp_account *account = &disp->accounts[demand->account];
    int32_t overrun = (int32_t)(demand->arrivals - demand->allowance);
    uint32_t from_reclaimed;

    if (overrun <= 0) {
        return;
    }
    from_reclaimed = demand->reclaimed < (uint32_t)overrun ? demand->reclaimed
                                                           : (uint32_t)overrun;
    demand->reclaimed -= from_reclaimed;
    demand->allowance = demand->arrivals;
    if (enforces_rate(disp, demand)) {
        refill_bucket(account, now);
        lim_charge(&account->rate_bucket, (uint32_t)overrun - from_reclaimed);
    }
}

void
disp_rate_record_arrivals(disp_dispatcher *disp, lv_time now, uint32_t row,
                          uint32_t arrivals, bool is_baseline)
{
    disp_demand *demand = &disp->demands[row];
    uint32_t added = arrivals - demand->arrivals;

    if (!demand->has_arrivals) {
        uint32_t waiting =
            demand->waiting[CAT_URGENT] + demand->waiting[CAT_DEFERRABLE];

        demand->has_arrivals = true;
        added = arrivals < waiting ? arrivals : waiting;
        added = is_baseline ? 0 : added;
        demand->allowance = arrivals - added;
    }
    demand->arrivals = arrivals;
    if (added > 0) {
        demand->started_since_charge += added;
        disp->entries[demand->entry].last_arrival = now;
    }
    record_interest(disp, now, demand, added);
    charge_overrun(disp, now, demand);
    update_issued(disp, demand);
}

void
disp_rate_acknowledge(disp_dispatcher *disp, uint32_t entry, uint64_t seen)
{
    uint32_t row = disp->entries[entry].reclaim_list.first;

    while (row != LV_HANDLE_NONE) {
        disp_demand *demand = &disp->demands[row];
        uint32_t next = demand->reclaim_link.next;

        if (demand->reclaim_sequence != 0 &&
            demand->reclaim_sequence <= seen) {
            lim_refund(&disp->accounts[demand->account].rate_bucket,
                       demand->reclaimed);
            demand->reclaimed = 0;
            demand->reclaim_sequence = 0;
            demand->is_reclaiming = false;
            update_issued(disp, demand);
            disp_list_remove(&disp->entries[entry].reclaim_list,
                             DISP_ROWS(disp->demands, reclaim_link), row);
        }
        row = next;
    }
}

/* Reclaims the part of an entry's unused allowance above its recent
 * interest. */
static void
reclaim_unused(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    uint32_t kept_count = sum_interest(disp, demand);

    if (demand->is_reclaiming || unused_allowance(demand) <= kept_count) {
        return;
    }
    demand->reclaimed = unused_allowance(demand) - kept_count;
    demand->allowance = demand->arrivals + kept_count;
    demand->is_reclaiming = true;
    demand->needs_level = true;
    demand->reclaim_sequence = 0;
    disp_list_add(&disp->entries[demand->entry].reclaim_list,
                  DISP_ROWS(disp->demands, reclaim_link), row);
    disp_send_enqueue(disp, demand->entry);
}

void
disp_rate_issue_allowance(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];
    uint64_t available;
    uint64_t total;
    uint32_t share;

    if (!enforces_rate(disp, demand) || demand->is_reclaiming) {
        return;
    }
    refill_bucket(account, now);
    available = lim_available(&account->rate_bucket);
    total = (uint64_t)account->interest.current + account->interest.previous;
    share = (uint32_t)(available * sum_interest(disp, demand) /
                       (total > 0 ? total : 1));
    if (share == 0 && available > 0 && unused_allowance(demand) == 0) {
        share = 1;
    }
    if (lim_consume(&account->rate_bucket, share)) {
        demand->allowance += share;
        update_issued(disp, demand);
    }
    if (unused_allowance(demand) > 0 ||
        lv_elapsed(now, account->last_reclaim) <
            disp->settings.report_interval) {
        return;
    }
    account->last_reclaim = now;
    for (uint32_t other = account->demand_list.first; other != LV_HANDLE_NONE;
         other = disp->demands[other].account_link.next) {
        if (other != row) {
            reclaim_unused(disp, other);
        }
    }
}
