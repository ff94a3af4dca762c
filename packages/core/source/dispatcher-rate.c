#include "dispatcher-imp.h"

/* The pool's rates are held by its first shard alone. */
static bool
is_rated(const disp_dispatcher *disp, const disp_demand *demand)
{
    return disp->shard == 0 && disp->accounts[demand->account].is_rated;
}

/* Requests that the entry may admit still, as far as is known here. */
static uint32_t
outstanding(const disp_demand *demand)
{
    int32_t left = (int32_t)(demand->allowance - demand->arrivals);

    return left > 0 ? (uint32_t)left : 0;
}

static void
decay(disp_dispatcher *disp, disp_demand *demand, uint32_t arrivals)
{
    disp_account *account = &disp->accounts[demand->account];
    uint32_t recent = demand->recent / 2 + arrivals;

    account->recent += recent - demand->recent;
    demand->recent = recent;
}

static void
charge_overdraft(disp_dispatcher *disp, lv_time now, disp_demand *demand)
{
    disp_account *account = &disp->accounts[demand->account];
    int32_t over = (int32_t)(demand->arrivals - demand->allowance);
    uint32_t free_again;

    if (over <= 0) {
        return;
    }
    free_again = demand->reclaimed < (uint32_t)over ? demand->reclaimed
                                                    : (uint32_t)over;
    demand->reclaimed -= free_again;
    demand->allowance = demand->arrivals;
    if (is_rated(disp, demand)) {
        lim_refill(&account->rate, now);
        lim_charge(&account->rate, (uint32_t)over - free_again);
    }
}

void
disp_rate_note(disp_dispatcher *disp, lv_time now, uint32_t row,
               uint32_t arrivals, bool is_baseline)
{
    disp_demand *demand = &disp->demands[row];
    uint32_t came = arrivals - demand->arrivals;

    if (!demand->has_arrivals) {
        uint32_t waiting =
            demand->waiting[CAT_URGENT] + demand->waiting[CAT_DEFERRABLE];

        demand->has_arrivals = true;
        came = arrivals < waiting ? arrivals : waiting;
        came = is_baseline ? 0 : came;
        demand->allowance = arrivals - came;
    }
    demand->arrivals = arrivals;
    if (came > 0) {
        demand->arrived = now;
        demand->started += came;
        disp->entries[demand->entry].recent += came;
    }
    decay(disp, demand, came);
    charge_overdraft(disp, now, demand);
}

/* Once the entry knows of the lower allowance, what was taken off it and
 * not used before is free again. */
void
disp_rate_seen(disp_dispatcher *disp, uint32_t entry, uint64_t seen)
{
    uint32_t row = disp->entries[entry].reclaim_list.first;

    while (row != LV_HANDLE_NONE) {
        disp_demand *demand = &disp->demands[row];
        uint32_t next = demand->of_reclaim.next;

        if (demand->reclaim_sequence != 0 &&
            demand->reclaim_sequence <= seen) {
            lim_give_back(&disp->accounts[demand->account].rate,
                          demand->reclaimed);
            demand->reclaimed = 0;
            demand->reclaim_sequence = 0;
            demand->is_reclaiming = false;
            disp_list_remove(&disp->entries[entry].reclaim_list,
                             DISP_ROWS(disp->demands, of_reclaim), row);
        }
        row = next;
    }
}

/* What an entry keeps when others need the account's allowance. */
static uint32_t
needed(const disp_dispatcher *disp, lv_time now, const disp_demand *demand)
{
    if (lv_elapsed(now, demand->arrived) >
        2 * disp->settings.report_interval) {
        return 0;
    }
    return 2 * demand->recent + 1;
}

static void
reclaim(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    uint32_t kept = needed(disp, now, demand);

    if (demand->is_reclaiming || outstanding(demand) <= kept) {
        return;
    }
    demand->reclaimed = outstanding(demand) - kept;
    demand->allowance = demand->arrivals + kept;
    demand->is_reclaiming = true;
    demand->needs_level = true;
    demand->reclaim_sequence = 0;
    disp_list_add(&disp->entries[demand->entry].reclaim_list,
                  DISP_ROWS(disp->demands, of_reclaim), row);
    disp_send_mark(disp, demand->entry);
}

/* Give the entry its part of what the account's bucket has, by recent
 * arrivals; when that is nothing, take back what other entries leave
 * unused. */
void
disp_rate_share(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];
    uint64_t available;
    uint32_t part;

    if (!is_rated(disp, demand) || demand->is_reclaiming) {
        return;
    }
    lim_refill(&account->rate, now);
    available = lim_available(&account->rate);
    part = (uint32_t)(available * (demand->recent + 1) /
                      ((uint64_t)account->recent + 1));
    if (part == 0 && available > 0 && outstanding(demand) == 0) {
        part = 1;
    }
    if (lim_take(&account->rate, part)) {
        demand->allowance += part;
    }
    if (outstanding(demand) > 0) {
        return;
    }
    for (uint32_t other = account->demand_list.first; other != LV_HANDLE_NONE;
         other = disp->demands[other].of_account.next) {
        if (other != row) {
            reclaim(disp, now, other);
        }
    }
}
