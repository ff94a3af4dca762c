/*
 * The ledger: lines by window, merging, and the fairness gap.
 */
#include <criterion/criterion.h>
#include <math.h>

#include "lavender/ledger.h"

#define POOL 7
#define WINDOW LV_SECOND

static ledger_store ledger;

static void
init_ledger(void)
{
    err_error error;

    cr_assert(ledger_init(&ledger, 100, &error));
}

static void
finish_ledger(void)
{
    ledger_finish(&ledger);
}

TestSuite(ledger, .init = init_ledger, .fini = finish_ledger);

/* The weight of an account is its id; account 99 is not in the catalogue. */
static uint32_t
weight_of(void *context, lv_id account)
{
    (void)context;
    return account == 99 ? 0 : (uint32_t)account;
}

static void
add_service(uint64_t window, lv_id account, int64_t service,
            uint64_t backlogged)
{
    ledger_line *line;

    ledger_set_window(&ledger, window);
    line = ledger_find_or_add_line(&ledger, POOL, account);
    line->service += service;
    line->backlogged_time += backlogged;
}

Test(ledger, line_is_added_once)
{
    add_service(1, 1, 10, 0);
    add_service(1, 2, 20, 0);
    add_service(2, 1, 30, 0);
    add_service(1, 1, 5, 0);
    cr_assert_eq(ledger.count, 3);
    cr_assert_eq(ledger.lines[0].service, 15);
    cr_assert_eq(ledger_find_or_add_line(&ledger, POOL + 1, 1)->service, 0);
}

Test(ledger, full_ledger_drops_the_oldest_line)
{
    for (uint64_t window = 1; window <= 1000; window++) {
        add_service(window, 1, (int64_t)window, 0);
        add_service(window, 2, 1, 0);
    }
    cr_assert_eq(ledger.count, 100);
    cr_assert_eq(ledger.dropped, 1900);
    for (uint64_t window = 951; window <= 1000; window++) {
        ledger_set_window(&ledger, window);
        cr_assert_eq(ledger_find_or_add_line(&ledger, POOL, 1)->service,
                     (int64_t)window);
    }
    cr_assert_eq(ledger.dropped, 1900);
}

static void
check_order(void *context, const ledger_line *line)
{
    uint64_t *visited = context; /* previous window, number of lines */

    cr_assert_geq(line->window, visited[0]);
    visited[0] = line->window;
    visited[1]++;
}

Test(ledger, lines_are_visited_in_insertion_order)
{
    uint64_t visited[2] = {0, 0};

    for (uint64_t window = 1; window <= 300; window++) {
        add_service(window, window % 3, 1, 0);
    }
    ledger_for_each_line(&ledger, check_order, visited);
    cr_assert_eq(visited[1], 100);
}

Test(ledger, merge_adds_up_and_keeps_the_maximum_backlog)
{
    ledger_line line = {.pool = POOL,
                        .account = 1,
                        .window = 5,
                        .service = 7,
                        .backlogged_time = 300,
                        .total_wait = 11,
                        .started = 2,
                        .finished = 3,
                        .refused = 4};
    const ledger_line *merged;

    ledger_merge(&ledger, &line);
    line.backlogged_time = 200;
    ledger_merge(&ledger, &line);
    ledger_set_window(&ledger, 5);
    merged = ledger_find_or_add_line(&ledger, POOL, 1);
    cr_assert_eq(merged->service, 14);
    cr_assert_eq(merged->backlogged_time, 300);
    cr_assert_eq(merged->total_wait, 22);
    cr_assert_eq(merged->started, 4);
    cr_assert_eq(merged->finished, 6);
    cr_assert_eq(merged->refused, 8);
}

Test(ledger, gap_covers_accounts_backlogged_in_every_window)
{
    ledger_share shares[8];
    ledger_gap gap;
    uint32_t count;

    for (uint64_t window = 1; window <= 4; window++) {
        add_service(window, 1, 100, WINDOW);
        add_service(window, 2, 220, WINDOW * 95 / 100);
        add_service(window, 3, 900, window == 3 ? WINDOW / 2 : WINDOW);
        add_service(window, 99, 1, WINDOW);
    }
    ledger_set_window(&ledger, 2);
    ledger_find_or_add_line(&ledger, POOL + 1, 1)->service = 12345;
    add_service(9, 1, 777, WINDOW);
    count = ledger_compute_gap(&ledger, POOL, 1, 4, WINDOW, weight_of, NULL,
                               shares, 8, &gap);
    cr_assert_eq(count, 4);
    cr_assert_eq(gap.backlogged_count, 2);
    cr_assert(fabs(gap.max_difference - 40) < 1e-9, "levels 440 and 400");
    cr_assert(fabs(gap.mean - 420) < 1e-9);
    cr_assert(shares[0].is_backlogged && shares[1].is_backlogged);
    cr_assert_not(shares[2].is_backlogged);
    cr_assert_not(shares[3].is_backlogged);
    cr_assert_eq(shares[0].owed, (400 + 880) / 3);
    cr_assert_eq(shares[1].received, 880);
    (void)ledger_compute_gap(&ledger, POOL, 1, 2, WINDOW, weight_of, NULL,
                             shares, 8, &gap);
    cr_assert_eq(gap.backlogged_count, 3);
    cr_assert(fabs(gap.max_difference - 400) < 1e-9, "levels from 200 to 600");
}

Test(ledger, no_backlogged_account_means_no_gap)
{
    ledger_share shares[2];
    ledger_gap gap;

    add_service(1, 1, 100, 0);
    cr_assert_eq(ledger_compute_gap(&ledger, POOL, 1, 1, WINDOW, weight_of,
                                    NULL, shares, 2, &gap),
                 1);
    cr_assert_eq(gap.backlogged_count, 0);
    cr_assert_eq(gap.max_difference, 0);
}

Test(ledger, capacity_zero_is_rejected)
{
    ledger_store invalid;
    err_error error;

    cr_assert_not(ledger_init(&invalid, 0, &error));
    cr_assert_eq(error.kind, ERR_BAD_VALUE);
}
