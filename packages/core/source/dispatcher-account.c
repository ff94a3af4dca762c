#include <string.h>

#include "dispatcher-imp.h"
#include "lavender/hash.h"
#include "table-imp.h"

enum {
    MAX_CHECKED_PER_TICK = 64,
    SUM_REPEATS = 3 /* SHARD_SUMs that carry a change, against loss */
};

static void
init_account(disp_dispatcher *disp, lv_time now, uint32_t row, lv_id id)
{
    disp_account *account = &disp->accounts[row];

    memset(account, 0, sizeof *account);
    account->id = id;
    account->epoch = disp->epoch;
    account->level = disp->epoch_base;
    account->mean_cost = (int64_t)disp->pool.default_cost;
    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        account->heap_indices[i] = LV_HANDLE_NONE;
    }
    disp_list_init(&account->demand_list);
    disp_list_init(&account->holders);
    account->idle_since = now;
    account->is_idle = true;
    disp_list_add(&disp->idle_list, DISP_ROWS(disp->accounts, idle_link), row);
}

static uint32_t *
demand_heap_index(void *owner, uint32_t row)
{
    disp_dispatcher *disp = owner;

    return &disp->demands[row].heap_index;
}

uint32_t
disp_account_find_or_add(disp_dispatcher *disp, lv_time now, lv_id id)
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
        disp->free_account = disp->accounts[row].idle_link.next;
    }
    init_account(disp, now, row, id);
    heap_init(&disp->accounts[row].demand_heap, demand_heap_index, disp);
    disp_account_apply_catalogue(disp, now, row);
    return row;
}

static void
remove_account(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    while (disp->accounts[row].demand_list.first != LV_HANDLE_NONE) {
        disp_demand_free(disp, now, disp->accounts[row].demand_list.first);
    }
    for (int i = 0; i < DISP_HEAP_COUNT; i++) {
        heap_remove(&disp->heaps[i], row);
    }
    heap_finish(&disp->accounts[row].demand_heap);
    disp_list_remove(&disp->idle_list, DISP_ROWS(disp->accounts, idle_link),
                     row);
    map_remove(&disp->account_map, disp->accounts[row].id);
    disp->accounts[row].id = LV_ID_NONE;
    disp->accounts[row].idle_link.next = disp->free_account;
    disp->free_account = row;
}

static bool
can_remove(const disp_dispatcher *disp, lv_time now, disp_account *account)
{
    if (account->reserved > 0 || account->sums_remaining > 0 ||
        (account->epoch == disp->epoch &&
         account->level > disp->virtual_time)) {
        return false;
    }
    if (account->has_rate_limit) {
        lim_refill(&account->rate_bucket, now);
        return account->rate_bucket.level >= account->rate_bucket.burst;
    }
    return true;
}

void
disp_account_remove_idle(disp_dispatcher *disp, lv_time now)
{
    for (int i = 0; i < MAX_CHECKED_PER_TICK; i++) {
        uint32_t row = disp->idle_list.first;
        disp_account *account;

        if (row == LV_HANDLE_NONE) {
            return;
        }
        account = &disp->accounts[row];
        if (lv_elapsed(now, account->idle_since) < DISP_IDLE_TIMEOUT) {
            return;
        }
        if (can_remove(disp, now, account)) {
            remove_account(disp, now, row);
            continue;
        }
        account->idle_since = now;
        disp_list_remove(&disp->idle_list,
                         DISP_ROWS(disp->accounts, idle_link), row);
        disp_list_add(&disp->idle_list, DISP_ROWS(disp->accounts, idle_link),
                      row);
    }
}

/* One shard alone enforces an account's limits, so that they are exact
 * wherever the requests arrive. */
static bool
is_enforcing_shard(const disp_dispatcher *disp, lv_id account)
{
    return disp->shard_count == 1 ||
           hrw_account_shard(account, disp->shard_slots, disp->shard_count) ==
               disp->shard;
}

static uint32_t
scale_lease_limit(const disp_dispatcher *disp, const disp_account *account,
                  uint64_t in_flight)
{
    uint64_t limit = in_flight;

    if (!account->enforces_limits) {
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
           const cat_account *source)
{
    uint64_t in_flight = 0;
    uint64_t rate = 0;
    uint64_t burst = 0;
    bool is_limited = source->entry_count > 0;
    bool was_rated = account->has_rate_limit;

    account->enforces_limits = is_enforcing_shard(disp, account->id);
    account->has_rate_limit = source->entry_count > 0;
    for (uint32_t i = 0; i < source->entry_count; i++) {
        const cat_limits *limits =
            &disp->catalogue->entries[source->first_entry + i].limits;

        is_limited = is_limited && limits->in_flight > 0;
        in_flight += limits->in_flight;
        account->has_rate_limit =
            account->has_rate_limit && limits->requests_per_second > 0;
        rate += limits->requests_per_second;
        burst +=
            limits->burst > 0 ? limits->burst : limits->requests_per_second;
    }
    account->max_leases =
        is_limited ? scale_lease_limit(disp, account, in_flight) : UINT32_MAX;
    rate = rate * LIM_ONE_PER_SECOND * disp->visible_share / 1000;
    if (account->has_rate_limit && was_rated) {
        lim_configure(&account->rate_bucket, rate, (uint32_t)burst, now);
    }
    else if (account->has_rate_limit) {
        lim_init(&account->rate_bucket, rate, (uint32_t)burst, now);
    }
}

void
disp_account_apply_catalogue(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    account->weight = 1;
    account->max_leases = UINT32_MAX;
    account->catalogue_row = LV_HANDLE_NONE;
    if (disp->catalogue == NULL) {
        return;
    }
    account->catalogue_row = cat_find_account(disp->catalogue, account->id);
    if (account->catalogue_row != LV_HANDLE_NONE) {
        const cat_account *source =
            &disp->catalogue->accounts[account->catalogue_row];

        account->weight = source->weight > 0 ? source->weight : 1;
        set_limits(disp, now, account, source);
    }
}

static void
recall_above_limit(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    while (account->active > 0 && account->active > account->max_leases) {
        uint32_t demand = account->holders.first;

        slot_lease_recall(disp, now, disp->demands[demand].active_list.first,
                          LV_HANDLE_NONE, "limit", 0);
    }
}

void
disp_account_reload_limits(disp_dispatcher *disp, lv_time now)
{
    for (uint32_t row = 0; row < disp->account_count; row++) {
        if (disp->accounts[row].id != LV_ID_NONE) {
            disp_account_apply_catalogue(disp, now, row);
            disp_account_refresh(disp, now, row);
            recall_above_limit(disp, now, row);
        }
    }
}

const char *
disp_account_name(const disp_dispatcher *disp, uint32_t row)
{
    if (row == LV_HANDLE_NONE ||
        disp->accounts[row].catalogue_row == LV_HANDLE_NONE) {
        return NULL;
    }
    return disp->catalogue->accounts[disp->accounts[row].catalogue_row].name;
}

int64_t
disp_account_current_level(disp_dispatcher *disp, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    if (account->epoch != disp->epoch) {
        account->epoch = disp->epoch;
        account->level = disp->epoch_base;
        account->residue = 0;
        account->remote_estimate = 0;
        account->previous_remote_estimate = 0;
    }
    return account->level;
}

static void
set_heap(disp_dispatcher *disp, disp_heap heap, uint32_t row, bool is_included,
         int64_t key)
{
    if (is_included) {
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
        disp_list_add(&disp->idle_list, DISP_ROWS(disp->accounts, idle_link),
                      row);
        disp->active_accounts--;
    }
    else {
        disp_list_remove(&disp->idle_list,
                         DISP_ROWS(disp->accounts, idle_link), row);
        disp->active_accounts++;
    }
}

/* Returns how many other shards are estimated to charge what this one does;
 * none while no counter root corrects the estimate. */
static int64_t
other_shard_count(const disp_dispatcher *disp)
{
    int64_t count = (int64_t)disp->shard_count - 1;

    return disp->root_tenure > 0 && count > 0 ? count : 0;
}

/* An account with urgent requests may lead by the urgent credit before its
 * slots are recalled, because they would be granted to it again. */
static int64_t
holder_key(const disp_dispatcher *disp, const disp_account *account)
{
    int64_t key = -account->level;

    if (account->urgent_ungranted > 0 &&
        disp->pool.urgent_credit > disp->pool.quantum) {
        key += (int64_t)(disp->pool.urgent_credit - disp->pool.quantum);
    }
    return key;
}

void
disp_account_refresh(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];
    int64_t level = disp_account_current_level(disp, row);
    int64_t grant_charge =
        account->mean_cost * (1 + other_shard_count(disp)) / account->weight;
    int64_t ready_key = level + grant_charge * ((int64_t)account->pending +
                                                account->uncharged_grants);
    int64_t uncovered_key = ready_key + grant_charge * account->reserved;
    bool may_get_lease = account->leased < account->max_leases;
    bool may_reserve =
        (uint64_t)account->leased + account->reserved < account->max_leases;

    set_heap(disp, DISP_HEAP_READY, row,
             may_get_lease && account->ungranted > 0, ready_key);
    set_heap(disp, DISP_HEAP_READY_URGENT, row,
             may_get_lease && account->urgent_ungranted > 0, ready_key);
    set_heap(disp, DISP_HEAP_UNCOVERED, row,
             may_reserve && account->uncovered > 0, uncovered_key);
    set_heap(disp, DISP_HEAP_UNCOVERED_URGENT, row,
             may_reserve && account->urgent_uncovered > 0, uncovered_key);
    set_heap(disp, DISP_HEAP_HOLDERS, row, account->active > account->pending,
             holder_key(disp, account));
    set_idle(disp, now, row, account->waiting == 0 && account->leased == 0);
}

static void
mark_dirty(disp_dispatcher *disp, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    if (disp->root == LV_ID_NONE) {
        return;
    }
    if (account->sums_remaining == 0) {
        if (!table_reserve((void **)&disp->dirty, &disp->dirty_capacity,
                           disp->dirty_count + 1, sizeof *disp->dirty)) {
            return;
        }
        disp->dirty[disp->dirty_count++] = row;
    }
    account->sums_remaining = SUM_REPEATS;
}

static void
raise_level(disp_dispatcher *disp, disp_account *account, int64_t amount)
{
    account->level += amount;
    if (account->level > disp->max_level) {
        disp->max_level = account->level;
    }
}

/* Charges of the other shards are reported late. Until then each of them is
 * estimated to charge as much as this shard. Otherwise every shard would make
 * up for an account's whole lag, and all of them for a multiple of it. */
static void
add_remote_estimate(disp_dispatcher *disp, disp_account *account,
                    int64_t charged)
{
    int64_t estimate = charged * other_shard_count(disp);

    if (estimate != 0) {
        account->remote_estimate += estimate;
        raise_level(disp, account, estimate);
    }
}

void
disp_account_expire_estimate(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    disp_account *account = &disp->accounts[row];

    if (account->remote_estimate != 0) {
        disp_account_current_level(disp, row);
        account->level -= account->previous_remote_estimate;
        account->remote_estimate -= account->previous_remote_estimate;
        account->previous_remote_estimate = account->remote_estimate;
        disp_account_refresh(disp, now, row);
    }
}

void
disp_account_charge(disp_dispatcher *disp, uint32_t row, int64_t service)
{
    disp_account *account = &disp->accounts[row];
    int64_t charge;

    if (service == 0) {
        return;
    }
    disp_account_current_level(disp, row);
    account->residue += service;
    charge = account->residue / account->weight;
    account->residue -= charge * account->weight;
    account->charged += charge;
    account->unclaimed += charge;
    raise_level(disp, account, charge);
    add_remote_estimate(disp, account, charge);
    mark_dirty(disp, row);
}

static int64_t
min_waiting_level(const disp_dispatcher *disp)
{
    uint32_t top = heap_top(&disp->heaps[DISP_HEAP_READY]);

    return top != LV_HANDLE_NONE ? disp->accounts[top].level
                                 : disp->virtual_time;
}

static int64_t
max_merged_lead(const disp_dispatcher *disp)
{
    uint64_t lead = disp->pool.quantum > disp->pool.urgent_credit
                        ? disp->pool.quantum
                        : disp->pool.urgent_credit;

    return (int64_t)(lead * DISP_MERGED_LEAD_FACTOR);
}

void
disp_account_limit_leads(disp_dispatcher *disp, lv_time now)
{
    int64_t limit = min_waiting_level(disp) + max_merged_lead(disp);

    if (disp->heaps[DISP_HEAP_READY].count == 0) {
        return;
    }
    for (uint32_t row = 0; row < disp->account_count; row++) {
        if (disp->accounts[row].id != LV_ID_NONE &&
            disp->accounts[row].level > limit) {
            disp->accounts[row].level = limit;
            disp_account_refresh(disp, now, row);
        }
    }
    if (disp->max_level > limit) {
        disp->max_level = limit;
    }
}

void
disp_account_apply_claim(disp_dispatcher *disp, uint32_t row, int64_t level,
                         int64_t service)
{
    disp_account *account = &disp->accounts[row];
    int64_t old = disp_account_current_level(disp, row);

    if (!disp->is_settled) {
        if (level > account->claimed_level) {
            account->claimed_level = level;
        }
        if (account->claimed_level + account->unclaimed > old) {
            raise_level(disp, account,
                        account->claimed_level + account->unclaimed - old);
        }
    }
    else if (level > old) {
        int64_t limit = min_waiting_level(disp) + max_merged_lead(disp);

        level = level < limit ? level : limit;
        raise_level(disp, account, level > old ? level - old : 0);
    }
    disp_account_charge(disp, row, service);
}

void
disp_account_apply_remote(disp_dispatcher *disp, lv_time now, uint32_t row,
                          uint64_t tenure, int64_t remote_charged)
{
    disp_account *account = &disp->accounts[row];

    if (account->remote_tenure == tenure) {
        disp_account_current_level(disp, row);
        raise_level(disp, account, remote_charged - account->remote_charged);
        disp_account_refresh(disp, now, row);
    }
    account->remote_tenure = tenure;
    account->remote_charged = remote_charged;
}

void
disp_account_raise_to_min(disp_dispatcher *disp, uint32_t row)
{
    int64_t min_level = min_waiting_level(disp);
    int64_t level = disp_account_current_level(disp, row);

    if (level < min_level) {
        raise_level(disp, &disp->accounts[row], min_level - level);
    }
}

/* Copies a heap's rows to scratch, because refreshing one moves others. */
static bool
copy_heap_rows(disp_dispatcher *disp, const heap_min_heap *heap)
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
disp_account_begin_epoch(disp_dispatcher *disp, lv_time now)
{
    static const disp_heap heaps[] = {DISP_HEAP_READY, DISP_HEAP_HOLDERS};

    disp->epoch++;
    disp->epoch_base = disp->max_level;
    disp->virtual_time = disp->epoch_base;
    for (size_t i = 0; i < sizeof heaps / sizeof heaps[0]; i++) {
        uint32_t count = disp->heaps[heaps[i]].count;

        if (!copy_heap_rows(disp, &disp->heaps[heaps[i]])) {
            return;
        }
        for (uint32_t n = 0; n < count; n++) {
            disp_account_refresh(disp, now, disp->scratch[n]);
        }
    }
}
