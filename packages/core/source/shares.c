#include "lavender/shares.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16
#define WINDOW_BUCKETS 8

/* Interval at which the fair share is computed: one bucket of the shortest
 * window. */
#define FAIR_SHARE_INTERVAL (200 * LV_MILLISECOND)

/* Age at which sums reported by another instance expire; some of the datagrams
 * that renew them are lost. */
#define REPORT_EXPIRY (2 * LV_SECOND)

void
shr_init(shr_shares *shares, lv_time window)
{
    memset(shares, 0, sizeof *shares);
    shares->shape.length = window;
    shares->shape.bucket_count = WINDOW_BUCKETS;
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
        shares->capacity > 0 ? shares->capacity * 2 : INITIAL_CAPACITY;
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
add_to_windows(shr_shares *shares, lv_handle account, const shr_totals *added,
               lv_time now)
{
    shr_account *row = &shares->accounts[account];

    win_add(&row->requested_window, &shares->shape, (int32_t)added->requested,
            now);
    win_add(&row->served_window, &shares->shape, (int32_t)added->served, now);
}

void
shr_add_requested(shr_shares *shares, lv_handle account, uint32_t tokens,
                  lv_time now)
{
    shr_totals added = {.requested = tokens};

    shares->accounts[account].local.requested += tokens;
    add_to_windows(shares, account, &added, now);
}

void
shr_add_served(shr_shares *shares, lv_handle account, uint32_t tokens,
               lv_time now)
{
    shr_totals added = {.served = tokens};

    shares->accounts[account].local.served += tokens;
    add_to_windows(shares, account, &added, now);
}

void
shr_return_served(shr_shares *shares, lv_handle account, uint32_t tokens,
                  lv_time now)
{
    shr_add_served(shares, account, 0 - tokens, now);
}

void
shr_add_peer(shr_shares *shares, lv_handle account, const shr_totals *added,
             lv_time now)
{
    add_to_windows(shares, account, added, now);
}

static int
compare_tokens(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;

    return a < b ? -1 : a > b;
}

static uint64_t
max_u64(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* Computes the sums of the last window over all instances. The reported sums
 * include what was counted here, except for the latest counts, so the larger
 * of both is the better estimate. */
static void
estimate_sums(const shr_shares *shares, shr_account *account, lv_time now,
              uint64_t *requested, uint64_t *served)
{
    *requested = win_sum(&account->requested_window, &shares->shape, now);
    *served = win_sum(&account->served_window, &shares->shape, now);
    if (account->reported_at != 0 &&
        lv_elapsed(now, account->reported_at) < REPORT_EXPIRY) {
        *requested = max_u64(*requested, account->reported.requested);
        *served = max_u64(*served, account->reported.served);
    }
}

void
shr_summarize(shr_shares *shares, lv_handle account, lv_time now,
              shr_totals *sums)
{
    shr_account *row = &shares->accounts[account];

    sums->requested =
        (uint32_t)win_sum(&row->requested_window, &shares->shape, now);
    sums->served = (uint32_t)win_sum(&row->served_window, &shares->shape, now);
}

void
shr_apply_summary(shr_shares *shares, lv_handle account,
                  const shr_totals *sums, lv_time now)
{
    shares->accounts[account].reported = *sums;
    shares->accounts[account].reported_at = now;
}

/* Divides what all accounts were served by max-min fairness: in the order of
 * their requested tokens, each account is due the minimum of what it requested
 * and an even share of the remaining capacity. */
static uint64_t
compute_fair_share(shr_shares *shares, lv_time now)
{
    uint64_t remaining = 0;
    uint32_t i;

    for (i = 0; i < shares->count; i++) {
        uint64_t served;

        estimate_sums(shares, &shares->accounts[i], now, &shares->scratch[i],
                      &served);
        remaining += served;
    }
    if (shares->count > 0) {
        qsort(shares->scratch, shares->count, sizeof *shares->scratch,
              compare_tokens);
    }
    for (i = 0; i < shares->count; i++) {
        uint64_t even_share = remaining / (shares->count - i);

        if (shares->scratch[i] > even_share) {
            return even_share;
        }
        remaining -= shares->scratch[i];
    }
    return UINT64_MAX;
}

uint64_t
shr_fair_share(shr_shares *shares, lv_time now)
{
    if (shares->fair_share_at == 0 ||
        lv_elapsed(now, shares->fair_share_at) >= FAIR_SHARE_INTERVAL) {
        shares->fair_share = compute_fair_share(shares, now);
        shares->fair_share_at = now;
    }
    return shares->fair_share;
}

uint64_t
shr_served(shr_shares *shares, lv_handle account, lv_time now)
{
    uint64_t requested;
    uint64_t served;

    estimate_sums(shares, &shares->accounts[account], now, &requested,
                  &served);
    return served;
}

bool
shr_requests_over_share(shr_shares *shares, lv_handle account, lv_time now)
{
    uint64_t requested;
    uint64_t served;

    estimate_sums(shares, &shares->accounts[account], now, &requested,
                  &served);
    return requested > shr_fair_share(shares, now);
}

double
shr_ratio(shr_shares *shares, lv_handle account, uint32_t request_tokens,
          lv_time now)
{
    uint64_t fair_share = shr_fair_share(shares, now);
    uint64_t served = shr_served(shares, account, now);

    if (fair_share == UINT64_MAX) {
        return 0;
    }
    if (fair_share == 0) {
        return 1; /* nothing was served yet when the share was computed */
    }
    return (double)max_u64(served, 1) /
           (double)max_u64(fair_share, request_tokens);
}
