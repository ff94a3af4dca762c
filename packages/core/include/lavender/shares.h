/*
 * Max-min fair shares of the client accounts over a sliding window, in
 * weighted tokens: a prompt token counts once, a generated token twice. The
 * capacity that is divided is what all accounts were served in the window, not
 * what the engines could process at most. An account that requests less than
 * an even share is due all it requests; the others are due equal parts of the
 * remaining capacity. The shares matter only while capacity is short: accounts
 * over their fair share then yield to the others.
 */
#ifndef LAVENDER_SHARES_H
#define LAVENDER_SHARES_H

#include "lavender/map.h"
#include "lavender/window.h"

/* Weighted tokens that an account requested and was served: at one instance
 * since its process started, or sums of the window. */
typedef struct shr_totals {
    uint32_t requested; /* wraps */
    uint32_t served;    /* wraps; less after shr_return_served */
} shr_totals;

typedef struct shr_account {
    lv_id id;
    shr_totals local;            /* at this instance */
    win_window requested_window; /* at all instances */
    win_window served_window;    /* at all instances */
    shr_totals reported;         /* sums of the window over all instances, as
                                    reported by another instance */
    lv_time reported_at;         /* 0: never */
} shr_account;

typedef struct shr_shares {
    win_shape shape;
    shr_account *accounts;
    uint32_t count;
    uint32_t capacity;
    map_table by_id;
    uint64_t fair_share; /* tokens per window, see shr_fair_share */
    lv_time fair_share_at;
    uint64_t *scratch; /* `capacity` elements, for sorting */
} shr_shares;

void shr_init(shr_shares *shares, lv_time window);
void shr_finish(shr_shares *shares);

/* Returns the index of an account, which is added if it is unknown, or
 * LV_HANDLE_NONE when out of memory. */
lv_handle shr_find_or_add(shr_shares *shares, lv_id account);

/* Counts tokens that an account requested, or was served, at this instance. */
void shr_add_requested(shr_shares *shares, lv_handle account, uint32_t tokens,
                       lv_time now);
void shr_add_served(shr_shares *shares, lv_handle account, uint32_t tokens,
                    lv_time now);

/* Takes back tokens that were counted as served when a request was sent, but
 * whose run did not begin. */
void shr_return_served(shr_shares *shares, lv_handle account, uint32_t tokens,
                       lv_time now);

/* Counts the change of another instance's totals. */
void shr_add_peer(shr_shares *shares, lv_handle account,
                  const shr_totals *added, lv_time now);

/* Writes the sums of the last window over all instances, as counted here. */
void shr_summarize(shr_shares *shares, lv_handle account, lv_time now,
                   shr_totals *sums);

/* Stores the same sums as counted by another instance. They expire after 2
 * seconds. */
void shr_apply_summary(shr_shares *shares, lv_handle account,
                       const shr_totals *sums, lv_time now);

/* Returns what the account was served in the last window as a fraction of its
 * fair share: more than 1 is over the share. A share below the tokens of the
 * request at hand counts as that many, because less cannot be enforced.
 * Returns 0 while every account is served all it requests. */
double shr_ratio(shr_shares *shares, lv_handle account,
                 uint32_t request_tokens, lv_time now);

/* Returns whether the account requested more than its fair share in the last
 * window; false while every account is served all it requests. */
bool shr_requests_over_share(shr_shares *shares, lv_handle account,
                             lv_time now);

/* Returns the tokens that the account was served in the last window. */
uint64_t shr_served(shr_shares *shares, lv_handle account, lv_time now);

/* Returns the tokens per window that each account may be served, or UINT64_MAX
 * while every account is served all it requests. */
uint64_t shr_fair_share(shr_shares *shares, lv_time now);

#endif
