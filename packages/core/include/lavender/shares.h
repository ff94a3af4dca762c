/*
 * Max-min shares of the accounts over a sliding window, in tokens: a token
 * read counts once, a token generated twice. What is shared is what all
 * accounts got in the window, whatever the engines could do in theory. An
 * account that asks for less than an even share is due all it asks; the
 * others are due the same share of what is left. The shares only matter
 * while capacity is short: who is over its share then yields to who is not.
 */
#ifndef LAVENDER_SHARES_H
#define LAVENDER_SHARES_H

#include "lavender/map.h"
#include "lavender/window.h"

/* What an account asked and got at one instance since its process began. */
typedef struct shr_totals {
    uint32_t requested; /* tokens; wraps */
    uint32_t served;    /* tokens; wraps */
} shr_totals;

typedef struct shr_account {
    lv_id id;
    shr_totals local;
    win_window asked; /* by all instances */
    win_window got;
    shr_totals told; /* sums of the window over all instances, as another
                        instance told them */
    lv_time told_at; /* 0: never */
} shr_account;

typedef struct shr_shares {
    win_shape shape;
    shr_account *accounts;
    uint32_t count;
    uint32_t capacity;
    map_table by_id;
    uint64_t level; /* tokens in a window that an account may get */
    lv_time level_at;
    uint64_t *scratch; /* for sorting; as long as accounts */
} shr_shares;

void shr_init(shr_shares *shares, lv_time window);
void shr_finish(shr_shares *shares);

/* The index of an account, which is added when it is new; LV_HANDLE_NONE
 * when memory ended. */
lv_handle shr_find_or_add(shr_shares *shares, lv_id account);

/* Count tokens that a caller of ours asked for, or got. */
void shr_add_requested(shr_shares *shares, lv_handle account, uint32_t tokens,
                       lv_time now);
void shr_add_served(shr_shares *shares, lv_handle account, uint32_t tokens,
                    lv_time now);

/* The same for another instance: what was added to its totals. */
void shr_add_peer(shr_shares *shares, lv_handle account,
                  const shr_totals *added, lv_time now);

/* What an account asked and got in the last window as far as is known here,
 * and the same over all instances as another one tells it. */
void shr_summarize(shr_shares *shares, lv_handle account, lv_time now,
                   shr_totals *sums);
void shr_apply_summary(shr_shares *shares, lv_handle account,
                       const shr_totals *sums, lv_time now);

/* What the account got in the last window, in parts of what it is due: over
 * 1 it got more than its share. 0 while all get what they ask. */
double shr_ratio(shr_shares *shares, lv_handle account, lv_time now);

/* What the account got in the last window, and what each may get. */
uint64_t shr_served(shr_shares *shares, lv_handle account, lv_time now);
uint64_t shr_level(shr_shares *shares, lv_time now);

#endif
