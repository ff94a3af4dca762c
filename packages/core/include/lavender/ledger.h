/*
 * The ledger: what each account waited for, received and was owed, in
 * windows of fixed length, so that the monitor can recompute the fairness
 * gap from the catalogue and the ledgers of all routers alone.
 *
 * Windows are numbered by the host's wall clock for the report only; no
 * decision depends on it. Ledgers of several routers are merged by adding
 * equal windows and accounts. Each line is found, changed or merged in O(1).
 */
#ifndef LAVENDER_LEDGER_H
#define LAVENDER_LEDGER_H

#include "lavender/error.h"
#include "lavender/types.h"

/* What one account got in one window at one router (or merged). */
typedef struct ledger_line {
    lv_id pool;
    lv_id account;
    uint64_t window;          /* wall-clock seconds / window length */
    int64_t service;          /* service units received */
    uint64_t backlogged_time; /* microseconds with work waiting; merged: the
                            longest at one router, so never too much */
    uint64_t total_wait; /* sum of waits of requests started, microseconds */
    uint32_t started;
    uint32_t finished;
    uint32_t refused;
} ledger_line;

typedef struct ledger_store {
    ledger_line *lines; /* ring of lines, oldest first */
    uint32_t capacity;
    uint32_t first;
    uint32_t count;
    uint64_t current_window; /* current */
    uint64_t dropped;        /* lines lost to the bound, counted */
    uint32_t *index;         /* hash index of lines: place + 1, or 0 */
    uint32_t index_size;     /* a power of two */
} ledger_store;

bool ledger_init(ledger_store *ledger, uint32_t capacity, err_error *error);
void ledger_finish(ledger_store *ledger);

/* Move to a window; lines of older ones stay until the ring is full. */
void ledger_set_window(ledger_store *ledger, uint64_t window);

/* The current window's line, made when new. Valid until the next call; when
 * the ring is full, the oldest line makes room and is counted as dropped. */
ledger_line *ledger_find_or_add_line(ledger_store *ledger, lv_id pool,
                                     lv_id account);

/* Visit all lines, in the order they were made: oldest window first, but
 * for merged ones. */
typedef void ledger_visitor(void *context, const ledger_line *line);
void ledger_for_each_line(const ledger_store *ledger, ledger_visitor *visit,
                          void *context);

/* Add a line from another router to this ledger (same window numbering). */
void ledger_merge(ledger_store *ledger, const ledger_line *line);

/* An account counts as backlogged in a window when it had work waiting for
 * at least this part of it. */
#define LEDGER_BACKLOG_PERCENT 95

/* The fairness gap of a pool over windows [from, to]: the largest
 * difference of service / weight among accounts that were backlogged in
 * every one of them. */
typedef struct ledger_share {
    lv_id account;
    uint32_t weight;
    int64_t received;   /* service units */
    int64_t owed;       /* its weighted part of what backlogged accounts got */
    uint32_t windows;   /* in which it was backlogged */
    bool is_backlogged; /* in all windows */
} ledger_share;

typedef struct ledger_gap {
    double max_difference; /* largest difference of received / weight */
    double mean;           /* mean of received / weight */
    uint32_t backlogged_count;
} ledger_gap;

/* weight_of gives an account's weight from the catalogue (0: unknown).
 * shares has room for capacity values; the number written is returned.
 * Accounts that do not fit are left out: give room for all accounts. */
typedef uint32_t ledger_weight_of(void *context, lv_id account);
uint32_t ledger_compute_gap(const ledger_store *ledger, lv_id pool,
                            uint64_t from, uint64_t to, lv_time window_length,
                            ledger_weight_of *weight_of, void *context,
                            ledger_share *shares, uint32_t capacity,
                            ledger_gap *gap);

#endif
