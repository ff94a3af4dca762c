/*
 * The ledger records what each account received, and how long its requests
 * waited, in windows of fixed length. From the catalogue and the ledgers of
 * all routers a monitor can compute the fairness gap without other data.
 *
 * Windows are numbered by the host's wall clock. The numbers are used for
 * reports only; no decision depends on them. Ledgers of several routers are
 * merged by adding up the lines of the same window, pool and account. A line
 * is found, changed or merged in O(1).
 */
#ifndef LAVENDER_LEDGER_H
#define LAVENDER_LEDGER_H

#include "lavender/error.h"
#include "lavender/types.h"

/* One account in one pool and window, at one router or merged. */
typedef struct ledger_line {
    lv_id pool;
    lv_id account;
    uint64_t window;          /* wall-clock time / window length */
    int64_t service;          /* service units received */
    uint64_t backlogged_time; /* microseconds with requests waiting; merged:
                                 the maximum over the routers, which never
                                 overstates the time */
    uint64_t total_wait;      /* sum of the waits of started requests, in
                                 microseconds */
    uint32_t started;         /* requests */
    uint32_t finished;
    uint32_t refused;
} ledger_line;

typedef struct ledger_store {
    ledger_line *lines; /* ring buffer in order of insertion */
    uint32_t capacity;
    uint32_t oldest; /* index in lines */
    uint32_t count;
    uint64_t current_window; /* see ledger_set_window */
    uint64_t dropped;        /* lines dropped because the ring was full */
    uint32_t *buckets;       /* hash table: index in lines plus 1; 0: empty */
    uint32_t bucket_count;   /* a power of two */
} ledger_store;

/* Allocates room for capacity lines. Returns false and sets the error when the
 * capacity is out of range or memory is exhausted. */
bool ledger_init(ledger_store *ledger, uint32_t capacity, err_error *error);
void ledger_finish(ledger_store *ledger);

/* Sets the current window. Lines of earlier windows stay until the ring is
 * full. */
void ledger_set_window(ledger_store *ledger, uint64_t window);

/* Returns the line of an account in the current window, and adds it when there
 * is none. When the ring is full, the oldest line is dropped for it. The
 * pointer is valid until the next call that may add a line. */
ledger_line *ledger_find_or_add_line(ledger_store *ledger, lv_id pool,
                                     lv_id account);

/* Visits all lines in order of insertion. Windows are in ascending order
 * unless lines were merged. */
typedef void ledger_visitor(void *context, const ledger_line *line);
void ledger_for_each_line(const ledger_store *ledger, ledger_visitor *visit,
                          void *context);

/* Adds a line of another router, which numbers windows in the same way. */
void ledger_merge(ledger_store *ledger, const ledger_line *line);

/* An account is backlogged in a window when requests waited for at least this
 * part of it. */
#define LEDGER_BACKLOG_PERCENT 95

/* One account over a range of windows. */
typedef struct ledger_share {
    lv_id account;
    uint32_t weight;
    int64_t received;            /* service units */
    int64_t owed;                /* its share, by weight, of what the
                                    backlogged accounts received; 0 when it is
                                    not backlogged */
    uint32_t backlogged_windows; /* windows in which it was backlogged */
    bool is_backlogged;          /* in all windows, with a known weight */
} ledger_share;

/* The fairness gap of a pool over a range of windows. */
typedef struct ledger_gap {
    double max_difference; /* maximum difference of received / weight among
                              backlogged accounts */
    double mean;           /* mean of received / weight of these accounts */
    uint32_t backlogged_count; /* number of these accounts */
} ledger_gap;

/* Returns the weight of an account from the catalogue; 0 when unknown. */
typedef uint32_t ledger_weight_of(void *context, lv_id account);

/* Computes the fairness gap of a pool over the windows from `from` to `to`,
 * both included. window_length is in microseconds. Writes one share for each
 * account that has a line and returns their number. Accounts beyond the
 * capacity of shares are left out, also from the gap. */
uint32_t ledger_compute_gap(const ledger_store *ledger, lv_id pool,
                            uint64_t from, uint64_t to, lv_time window_length,
                            ledger_weight_of *weight_of, void *context,
                            ledger_share *shares, uint32_t capacity,
                            ledger_gap *gap);

#endif
