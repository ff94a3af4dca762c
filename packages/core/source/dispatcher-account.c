#include <string.h>

#include "dispatcher-imp.h"
#include "lavender/hash.h"
#include "table-imp.h"

enum {
    SWEEP_ACCOUNTS = 64,
    SUM_REPEATS = 3
};

static void
start_account(disp_dispatcher *disp, lv_time now, uint32_t row, lv_id id)
{
    disp_account *account = &disp->accounts[row];

    memset(account, 0, sizeof *account);
    account->id = id;
    account->epoch = disp->epoch;
    account->level = disp->base;
    account->cost = (int64_t)disp->pool.default_cost;
    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        account->places[i] = LV_HANDLE_NONE;
    }
    disp_list_init(&account->demand_list);
    disp_list_init(&account->holders);
    account->idle_since = now;
    account->is_idle = true;
    disp_list_add(&disp->idle_list, DISP_ROWS(disp->accounts, of_idle), row);
}

static uint32_t *
demand_place(void *owner, uint32_t row)
{
    disp_dispatcher *disp = owner;

    return &disp->demands[row].heap_index;
}

uint32_t
disp_account_make(disp_dispatcher *disp, lv_time now, lv_id id)
{
    uint32_t row = map_find(&disp->account_map, id);

    if (row != LV_HANDLE_NONE || id == LV_ID_NONE) {
        return row;
    }
    if (!table_reserve((void **)&disp->accounts, &disp->account_capacity,
                       disp->account_count + 1, sizeof *disp->accounts)) {
        return LV_HANDLE_NONE;
    }
    row = disp->free_account;
    if (row == LV_HANDLE_NONE) {
        row = disp->account_count;
    }
    if (!map_set(&disp->account_map, id, row)) {
        return LV_HANDLE_NONE;
    }
    if (row == disp->account_count) {
        disp->account_count++;
    }
    else {
        disp->free_account = disp->accounts[row].of_idle.next;
    }
    start_account(disp, now, row, id);
    heap_init(&disp->accounts[row].demands, demand_place, disp);
    disp_account_set_catalogue(disp, now, row);
    return row;
}

static void
forget(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    while (disp->accounts[row].demand_list.first != LV_HANDLE_NONE) {
        disp_demand_free(disp, now, disp->accounts[row].demand_list.first);
    }
    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        heap_remove(&disp->heaps[i], row);
    }
    heap_finish(&disp->accounts[row].demands);
    disp_list_remove(&disp->idle_list, DISP_ROWS(disp->accounts, of_idle),
                     row);
    map_remove(&disp->account_map, disp->accounts[row].id);
    disp->accounts[row].id = LV_ID_NONE;
    disp->accounts[row].of_idle.next = disp->free_account;
    disp->free_account = row;
}

static bool
can_forget(const disp_dispatcher *disp, lv_time now, disp_account *account)
{
    if (account->reserved > 0 || account->dirty > 0 ||
        (account->epoch == disp->epoch &&
         account->level > disp->virtual_now)) {
        return false;
    }
    if (account->is_rated) {
        lim_refill(&account->rate, now);
        return account->rate.level >= account->rate.burst;
    }
    return true;
}

void
disp_account_sweep(disp_dispatcher *disp, lv_time now)
{
    for (int i = 0; i < SWEEP_ACCOUNTS; i++) {
        uint32_t row = disp->idle_list.first;
        disp_account *account;

        if (row == LV_HANDLE_NONE) {
            return;
        }
        account = &disp->accounts[row];
        if (lv_elapsed(now, account->idle_since) < DISP_FORGET) {
            return;
        }
        if (can_forget(disp, now, account)) {
            forget(disp, now, row);
            continue;
        }
        account->idle_since = now;
        disp_list_remove(&disp->idle_list, DISP_ROWS(disp->accounts, of_idle),
                         row);
        disp_list_add(&disp->idle_list, DISP_ROWS(disp->accounts, of_idle),
                      row);
    }
}

/* Limits are held by one shard alone, the account's home, so they are exact
 * however the demand is spread. */
static bool
is_home(const disp_dispatcher *disp, lv_id account)
{
    return disp->shard_count == 1 ||
           hrw_account_shard(account, disp->shard_slots, disp->shard_count) ==
               disp->shard;
}

static uint32_t
lease_limit(const disp_dispatcher *disp, const disp_account *account,
            uint64_t in_flight)
{
    uint64_t limit = in_flight;

    if (!account->is_home) {
        return 0;
    }
    if (disp->visible_share < 1000) {
        limit = limit * disp->visible_share / 1000;
        limit = limit > 0 ? limit : 1;
    }
    return limit < UINT32_MAX ? (uint32_t)limit : UINT32_MAX - 1;
}

static void
set_limits(disp_dispatcher *disp, lv_time now, disp_account *account,
           const cat_account *from)
{
    uint64_t in_flight = 0;
    uint64_t rate = 0;
    uint64_t burst = 0;
    bool is_limited = from->entry_count > 0;
    bool was_rated = account->is_rated;

    account->is_home = is_home(disp, account->id);
    account->is_rated = from->entry_count > 0;
    for (uint32_t i = 0; i < from->entry_count; i++) {
        const cat_limits *limits =
            &disp->catalogue->entries[from->first_entry + i].limits;

        is_limited = is_limited && limits->in_flight > 0;
        in_flight += limits->in_flight;
        account->is_rated =
            account->is_rated && limits->requests_per_second > 0;
        rate += limits->requests_per_second;
        burst +=
            limits->burst > 0 ? limits->burst : limits->requests_per_second;
    }
    account->limit =
        is_limited ? lease_limit(disp, account, in_flight) : UINT32_MAX;
    rate = rate * LIM_ONE_PER_SECOND * disp->visible_share / 1000;
    if (account->is_rated && was_rated) {
        lim_configure(&account->rate, rate, (uint32_t)burst, now);
    }
    else if (account->is_rated) {
        lim_init(&account->rate, rate, (uint32_t)burst, now);
    }
}

void
disp_account_set_catalogue(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    account->weight = 1;
    account->limit = UINT32_MAX;
    account->catalogue = LV_HANDLE_NONE;
    if (disp->catalogue == NULL) {
        return;
    }
    account->catalogue = cat_find_account(disp->catalogue, account->id);
    if (account->catalogue != LV_HANDLE_NONE) {
        const cat_account *from =
            &disp->catalogue->accounts[account->catalogue];

        account->weight = from->weight > 0 ? from->weight : 1;
        set_limits(disp, now, account, from);
    }
}

/* Recall what an account holds over its limit. */
static void
shed(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    while (account->active > 0 && account->active > account->limit) {
        uint32_t demand = account->holders.first;

        slot_lease_recall(disp, now, disp->demands[demand].active_list.first,
                          LV_HANDLE_NONE, "limit", 0);
    }
}

void
disp_account_limits_changed(disp_dispatcher *disp, lv_time now)
{
    for (uint32_t row = 0; row < disp->account_count; row++) {
        if (disp->accounts[row].id != LV_ID_NONE) {
            disp_account_set_catalogue(disp, now, row);
            disp_account_refresh(disp, now, row);
            shed(disp, now, row);
        }
    }
}

const char *
disp_account_name(const disp_dispatcher *disp, uint32_t row)
{
    if (row == LV_HANDLE_NONE ||
        disp->accounts[row].catalogue == LV_HANDLE_NONE) {
        return NULL;
    }
    return disp->catalogue->accounts[disp->accounts[row].catalogue].name;
}

int64_t
disp_account_level(disp_dispatcher *disp, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    if (account->epoch != disp->epoch) {
        account->epoch = disp->epoch;
        account->level = disp->base;
        account->residue = 0;
        account->guess = 0;
        account->old_guess = 0;
    }
    return account->level;
}

static void
set_place(disp_dispatcher *disp, disp_heap heap, uint32_t row, bool is_in,
          int64_t key)
{
    if (is_in) {
        heap_set_key(&disp->heaps[heap], row, key);
    }
    else {
        heap_remove(&disp->heaps[heap], row);
    }
}

static void
set_idle(disp_dispatcher *disp, lv_time now, uint32_t row, bool is_idle)
{
    disp_account *account = &disp->accounts[row];

    if (account->is_idle == is_idle) {
        return;
    }
    account->is_idle = is_idle;
    if (is_idle) {
        account->idle_since = now;
        disp_list_add(&disp->idle_list, DISP_ROWS(disp->accounts, of_idle),
                      row);
        disp->active_accounts--;
    }
    else {
        disp_list_remove(&disp->idle_list, DISP_ROWS(disp->accounts, of_idle),
                         row);
        disp->active_accounts++;
    }
}

/* How many other shards are taken to give an account what this one gives. */
static int64_t
others_like_this(const disp_dispatcher *disp)
{
    int64_t others = (int64_t)disp->shard_count - 1;

    return disp->root_tenure > 0 && others > 0 ? others : 0;
}

/* Urgent work may lead by the urgent credit before its slots are recalled:
 * they would only be granted to it again. */
static int64_t
hold_key(const disp_dispatcher *disp, const disp_account *account)
{
    int64_t key = -account->level;

    if (account->urgent_unmet > 0 &&
        disp->pool.urgent_credit > disp->pool.quantum) {
        key += (int64_t)(disp->pool.urgent_credit - disp->pool.quantum);
    }
    return key;
}

void
disp_account_refresh(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];
    int64_t level = disp_account_level(disp, row);
    int64_t step =
        account->cost * (1 + others_like_this(disp)) / account->weight;
    int64_t ready =
        level + step * ((int64_t)account->pending + account->begun);
    int64_t want = ready + step * account->reserved;
    bool is_open = account->leased < account->limit;
    bool is_wanting =
        (uint64_t)account->leased + account->reserved < account->limit;

    set_place(disp, DISP_READY, row, is_open && account->unmet > 0, ready);
    set_place(disp, DISP_READY_URGENT, row,
              is_open && account->urgent_unmet > 0, ready);
    set_place(disp, DISP_WANT, row, is_wanting && account->wanted > 0, want);
    set_place(disp, DISP_WANT_URGENT, row,
              is_wanting && account->urgent_wanted > 0, want);
    set_place(disp, DISP_HOLD, row, account->active > account->pending,
              hold_key(disp, account));
    set_idle(disp, now, row, account->waiting == 0 && account->leased == 0);
}

static void
mark_dirty(disp_dispatcher *disp, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    if (disp->root == LV_ID_NONE) {
        return;
    }
    if (account->dirty == 0) {
        if (!table_reserve((void **)&disp->dirty, &disp->dirty_capacity,
                           disp->dirty_count + 1, sizeof *disp->dirty)) {
            return;
        }
        disp->dirty[disp->dirty_count++] = row;
    }
    account->dirty = SUM_REPEATS;
}

static void
raise_level(disp_dispatcher *disp, disp_account *account, int64_t by)
{
    account->level += by;
    if (account->level > disp->highest) {
        disp->highest = account->level;
    }
}

/* What the other shards give comes late. Until it does, they are taken to
 * give as much as this one: without that, every shard would make up for the
 * whole of an account's lag, and all of them together for several times as
 * much. */
static void
guess_foreign(disp_dispatcher *disp, disp_account *account, int64_t given)
{
    int64_t others = given * others_like_this(disp);

    if (others != 0) {
        account->guess += others;
        raise_level(disp, account, others);
    }
}

/* A guess ends after one to two intervals, when the truth is known. */
void
disp_account_drop_guess(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    if (account->guess != 0) {
        disp_account_level(disp, row);
        account->level -= account->old_guess;
        account->guess -= account->old_guess;
        account->old_guess = account->guess;
        disp_account_refresh(disp, now, row);
    }
}

void
disp_account_charge(disp_dispatcher *disp, uint32_t row, int64_t service)
{
    disp_account *account = &disp->accounts[row];
    int64_t part;

    if (service == 0) {
        return;
    }
    disp_account_level(disp, row);
    account->residue += service;
    part = account->residue / account->weight;
    account->residue -= part * account->weight;
    account->given += part;
    account->since += part;
    raise_level(disp, account, part);
    guess_foreign(disp, account, part);
    mark_dirty(disp, row);
}

/* The least level of those that wait. */
static int64_t
least_level(const disp_dispatcher *disp)
{
    uint32_t top = heap_top(&disp->heaps[DISP_READY]);

    return top != LV_HANDLE_NONE ? disp->accounts[top].level
                                 : disp->virtual_now;
}

static int64_t
merged_lead(const disp_dispatcher *disp)
{
    uint64_t lead = disp->pool.quantum > disp->pool.urgent_credit
                        ? disp->pool.quantum
                        : disp->pool.urgent_credit;

    return (int64_t)(lead * DISP_MERGED_LEAD);
}

/* Claims are in: nobody goes on with a lead that starves it. */
void
disp_account_bound_leads(disp_dispatcher *disp, lv_time now)
{
    int64_t most = least_level(disp) + merged_lead(disp);

    if (disp->heaps[DISP_READY].count == 0) {
        return;
    }
    for (uint32_t row = 0; row < disp->account_count; row++) {
        if (disp->accounts[row].id != LV_ID_NONE &&
            disp->accounts[row].level > most) {
            disp->accounts[row].level = most;
            disp_account_refresh(disp, now, row);
        }
    }
    if (disp->highest > most) {
        disp->highest = most;
    }
}

void
disp_account_claim(disp_dispatcher *disp, uint32_t row, int64_t level,
                   int64_t since)
{
    disp_account *account = &disp->accounts[row];
    int64_t old = disp_account_level(disp, row);

    if (!disp->is_settled) {
        if (level > account->claimed) {
            account->claimed = level;
        }
        if (account->claimed + account->since > old) {
            raise_level(disp, account,
                        account->claimed + account->since - old);
        }
    }
    else if (level > old) {
        int64_t most = least_level(disp) + merged_lead(disp);

        level = level < most ? level : most;
        raise_level(disp, account, level > old ? level - old : 0);
    }
    disp_account_charge(disp, row, since);
}

void
disp_account_add_foreign(disp_dispatcher *disp, lv_time now, uint32_t row,
                         uint64_t tenure, int64_t foreign)
{
    disp_account *account = &disp->accounts[row];

    if (account->foreign_tenure == tenure) {
        disp_account_level(disp, row);
        raise_level(disp, account, foreign - account->foreign);
        disp_account_refresh(disp, now, row);
    }
    account->foreign_tenure = tenure;
    account->foreign = foreign;
}

void
disp_account_lift(disp_dispatcher *disp, uint32_t row)
{
    int64_t least = least_level(disp);
    int64_t level = disp_account_level(disp, row);

    if (level < least) {
        raise_level(disp, &disp->accounts[row], least - level);
    }
}

/* Copy the members of a heap, because refreshing one moves the others. */
static bool
copy_heap(disp_dispatcher *disp, const heap_min_heap *heap)
{
    if (!table_reserve((void **)&disp->scratch, &disp->scratch_capacity,
                       heap->count, sizeof *disp->scratch)) {
        return false;
    }
    for (uint32_t i = 0; i < heap->count; i++) {
        disp->scratch[i] = heap->nodes[i].item;
    }
    return true;
}

void
disp_account_new_epoch(disp_dispatcher *disp, lv_time now)
{
    static const disp_heap heaps[] = {DISP_READY, DISP_HOLD};

    disp->epoch++;
    disp->base = disp->highest;
    disp->virtual_now = disp->base;
    for (size_t i = 0; i < sizeof heaps / sizeof heaps[0]; i++) {
        uint32_t count = disp->heaps[heaps[i]].count;

        if (!copy_heap(disp, &disp->heaps[heaps[i]])) {
            return;
        }
        for (uint32_t n = 0; n < count; n++) {
            disp_account_refresh(disp, now, disp->scratch[n]);
        }
    }
}
