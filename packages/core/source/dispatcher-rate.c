#include "dispatcher-imp.h"

/* Interest is counted over a window of this many report intervals and the
 * window before. */
enum {
    WINDOW_REPORTS = 4
};

/* Of several shards the account's home alone holds its rate. */
static bool
is_rated(const disp_dispatcher *disp, const disp_demand *demand)
{
    const disp_account *account = &disp->accounts[demand->account];

    return account->is_home && account->is_rated;
}

/* Requests that the entry may admit still, as far as is known here. */
static uint32_t
outstanding(const disp_demand *demand)
{
    int32_t left = (int32_t)(demand->allowance - demand->arrivals);

    return left > 0 ? (uint32_t)left : 0;
}

/* Keep the account's sum of what its entries were given. */
static void
count_given(disp_dispatcher *disp, disp_demand *demand)
{
    uint32_t given = outstanding(demand) + demand->reclaimed;

    if (is_rated(disp, demand)) {
        disp->accounts[demand->account].given_out += given - demand->given;
        demand->given = given;
    }
}

static void
refill(disp_account *account, lv_time now)
{
    lim_refill_reserving(&account->rate, now, account->given_out);
}

static void
move_window(disp_recent *recent, uint32_t window)
{
    if (recent->window == window) {
        return;
    }
    recent->before = recent->window + 1 == window ? recent->now : 0;
    recent->now = 0;
    recent->window = window;
}

/* A report that lists the account shows interest even when the entry could
 * admit nothing. */
static void
note_interest(disp_dispatcher *disp, lv_time now, disp_demand *demand,
              uint32_t arrivals)
{
    disp_account *account = &disp->accounts[demand->account];
    uint32_t window = account->recent.window;

    if (lv_elapsed(now, account->window_start) >=
        WINDOW_REPORTS * disp->settings.report_interval) {
        account->window_start = now;
        window++;
    }
    move_window(&account->recent, window);
    move_window(&demand->recent, window);
    account->recent.now += arrivals + 1;
    demand->recent.now += arrivals + 1;
}

/* The demand's part of its account's interest, as a count. */
static uint32_t
interest(const disp_dispatcher *disp, const disp_demand *demand)
{
    disp_recent recent = demand->recent;

    move_window(&recent, disp->accounts[demand->account].recent.window);
    return recent.now + recent.before;
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
        refill(account, now);
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
        demand->started += came;
        disp->entries[demand->entry].arrived = now;
    }
    note_interest(disp, now, demand, came);
    charge_overdraft(disp, now, demand);
    count_given(disp, demand);
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
            lim_refund(&disp->accounts[demand->account].rate,
                       demand->reclaimed);
            demand->reclaimed = 0;
            demand->reclaim_sequence = 0;
            demand->is_reclaiming = false;
            count_given(disp, demand);
            disp_list_remove(&disp->entries[entry].reclaim_list,
                             DISP_ROWS(disp->demands, of_reclaim), row);
        }
        row = next;
    }
}

/* Take back what an entry has over its interest of late. */
static void
reclaim(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    uint32_t kept = interest(disp, demand);

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
    disp_send_enqueue(disp, demand->entry);
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
    uint64_t total;
    uint32_t part;

    if (!is_rated(disp, demand) || demand->is_reclaiming) {
        return;
    }
    refill(account, now);
    available = lim_available(&account->rate);
    total = (uint64_t)account->recent.now + account->recent.before;
    part = (uint32_t)(available * interest(disp, demand) /
                      (total > 0 ? total : 1));
    if (part == 0 && available > 0 && outstanding(demand) == 0) {
        part = 1;
    }
    if (lim_consume(&account->rate, part)) {
        demand->allowance += part;
        count_given(disp, demand);
    }
    if (outstanding(demand) > 0 ||
        lv_elapsed(now, account->reclaimed) < disp->settings.report_interval) {
        return;
    }
    account->reclaimed = now;
    for (uint32_t other = account->demand_list.first; other != LV_HANDLE_NONE;
         other = disp->demands[other].of_account.next) {
        if (other != row) {
            reclaim(disp, other);
        }
    }
}
