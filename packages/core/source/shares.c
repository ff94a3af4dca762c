#include "lavender/shares.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_ACCOUNTS 16
#define STEPS 8 /* that the window slides in */

/* How long a computed level is used: a step of the shortest window. */
#define LEVEL_INTERVAL (200 * LV_MILLISECOND)

/* Sums that another instance told are used for so long: some datagrams are
 * lost. */
#define SUMS_LIFE (2 * LV_SECOND)

void
shr_init(shr_shares *shares, lv_time window)
{
    memset(shares, 0, sizeof *shares);
    shares->shape.length = window;
    shares->shape.steps = STEPS;
    map_init(&shares->by_id);
}

void
shr_finish(shr_shares *shares)
{
    map_finish(&shares->by_id);
    free(shares->accounts);
    free(shares->scratch);
}

static bool
grow(shr_shares *shares)
{
    uint32_t capacity =
        shares->capacity > 0 ? shares->capacity * 2 : FIRST_ACCOUNTS;
    shr_account *accounts =
        realloc(shares->accounts, capacity * sizeof *accounts);
    uint64_t *scratch;

    if (accounts == NULL) {
        return false;
    }
    shares->accounts = accounts;
    scratch = realloc(shares->scratch, capacity * sizeof *scratch);
    if (scratch == NULL) {
        return false;
    }
    shares->scratch = scratch;
    shares->capacity = capacity;
    return true;
}

lv_handle
shr_find_or_add(shr_shares *shares, lv_id account)
{
    lv_handle found = map_find(&shares->by_id, account);

    if (found != LV_HANDLE_NONE) {
        return found;
    }
    if (shares->count == shares->capacity && !grow(shares)) {
        return LV_HANDLE_NONE;
    }
    if (!map_set(&shares->by_id, account, shares->count)) {
        return LV_HANDLE_NONE;
    }
    memset(&shares->accounts[shares->count], 0, sizeof *shares->accounts);
    shares->accounts[shares->count].id = account;
    return shares->count++;
}

static void
add(shr_shares *shares, lv_handle account, const shr_totals *added,
    lv_time now)
{
    shr_account *row = &shares->accounts[account];

    win_add(&row->asked, &shares->shape, added->requested, now);
    win_add(&row->got, &shares->shape, added->served, now);
}

void
shr_add_requested(shr_shares *shares, lv_handle account, uint32_t tokens,
                  lv_time now)
{
    shr_totals added = {.requested = tokens};

    shares->accounts[account].local.requested += tokens;
    add(shares, account, &added, now);
}

void
shr_add_served(shr_shares *shares, lv_handle account, uint32_t tokens,
               lv_time now)
{
    shr_totals added = {.served = tokens};

    shares->accounts[account].local.served += tokens;
    add(shares, account, &added, now);
}

void
shr_add_peer(shr_shares *shares, lv_handle account, const shr_totals *added,
             lv_time now)
{
    add(shares, account, added, now);
}

static int
compare_asked(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return a < b ? -1 : a > b;
}

static uint64_t
larger(uint64_t one, uint64_t other)
{
    return one > other ? one : other;
}

/* Sums of the last window over all instances: what was told includes what was
 * counted here, except for the latest. */
static void
sum_all(const shr_shares *shares, shr_account *account, lv_time now,
        uint64_t *asked, uint64_t *got)
{
    *asked = win_sum(&account->asked, &shares->shape, now);
    *got = win_sum(&account->got, &shares->shape, now);
    if (account->told_at != 0 &&
        lv_elapsed(now, account->told_at) < SUMS_LIFE) {
        *asked = larger(*asked, account->told.requested);
        *got = larger(*got, account->told.served);
    }
}

void
shr_summarize(shr_shares *shares, lv_handle account, lv_time now,
              shr_totals *sums)
{
    shr_account *row = &shares->accounts[account];

    sums->requested = (uint32_t)win_sum(&row->asked, &shares->shape, now);
    sums->served = (uint32_t)win_sum(&row->got, &shares->shape, now);
}

void
shr_apply_summary(shr_shares *shares, lv_handle account,
                  const shr_totals *sums, lv_time now)
{
    shares->accounts[account].told = *sums;
    shares->accounts[account].told_at = now;
}

/* What all accounts got is what there was to share. Give each the least of
 * what it asked and an even share of what the ones before it left over. */
static uint64_t
compute_level(shr_shares *shares, lv_time now)
{
    uint64_t left = 0;
    uint32_t i;

    for (i = 0; i < shares->count; i++) {
        uint64_t got;

        sum_all(shares, &shares->accounts[i], now, &shares->scratch[i], &got);
        left += got;
    }
    if (shares->count > 0) {
        qsort(shares->scratch, shares->count, sizeof *shares->scratch,
              compare_asked);
    }
    for (i = 0; i < shares->count; i++) {
        uint64_t even = left / (shares->count - i);

        if (shares->scratch[i] > even) {
            return even;
        }
        left -= shares->scratch[i];
    }
    return UINT64_MAX;
}

uint64_t
shr_level(shr_shares *shares, lv_time now)
{
    if (shares->level_at == 0 ||
        lv_elapsed(now, shares->level_at) >= LEVEL_INTERVAL) {
        shares->level = compute_level(shares, now);
        shares->level_at = now;
    }
    return shares->level;
}

uint64_t
shr_served(shr_shares *shares, lv_handle account, lv_time now)
{
    uint64_t asked;
    uint64_t got;

    sum_all(shares, &shares->accounts[account], now, &asked, &got);
    return got;
}

double
shr_ratio(shr_shares *shares, lv_handle account, lv_time now)
{
    uint64_t level = shr_level(shares, now);
    uint64_t got = shr_served(shares, account, now);

    if (level == UINT64_MAX) {
        return 0;
    }
    return (double)(got > 0 ? got : 1) / (double)(level > 0 ? level : 1);
}
