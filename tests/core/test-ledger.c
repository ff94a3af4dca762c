/*
 * The ledger: lines by window, merging, and the judgement of fairness.
 */
#include <criterion/criterion.h>
#include <math.h>

#include "lavender/ledger.h"

#define POOL 7
#define SECOND_LONG LV_SECOND

static ledger_store ledger;

static void
start(void)
{
    err_error error;

    cr_assert(ledger_init(&ledger, 100, &error));
}

static void
stop(void)
{
    ledger_finish(&ledger);
}

TestSuite(ledger, .init = start, .fini = stop);

static uint32_t
weight_of(void *context, lv_id account)
{
    (void)context;
    return account == 99 ? 0 : (uint32_t)account;
}

static void
add(uint64_t window, lv_id account, int64_t service, uint64_t backlogged)
{
    ledger_line *line;

    ledger_set_window(&ledger, window);
    line = ledger_find_or_add_line(&ledger, POOL, account);
    line->service += service;
    line->backlogged_time += backlogged;
}

Test(ledger, a_line_is_found_again)
{
    add(1, 1, 10, 0);
    add(1, 2, 20, 0);
    add(2, 1, 30, 0);
    add(1, 1, 5, 0);
    cr_assert_eq(ledger.count, 3);
    cr_assert_eq(ledger.lines[0].service, 15);
    cr_assert_eq(ledger_find_or_add_line(&ledger, POOL + 1, 1)->service, 0);
}

Test(ledger, the_oldest_line_makes_room_and_is_counted)
{
    for (uint64_t window = 1; window <= 1000; window++) {
        add(window, 1, (int64_t)window, 0);
        add(window, 2, 1, 0);
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
count_lines(void *context, const ledger_line *line)
{
    uint64_t *last = context;

    cr_assert_geq(line->window, last[0]);
    last[0] = line->window;
    last[1]++;
}

Test(ledger, lines_are_visited_in_order)
{
    uint64_t last[2] = {0, 0};

    for (uint64_t window = 1; window <= 300; window++) {
        add(window, window % 3, 1, 0);
    }
    ledger_for_each_line(&ledger, count_lines, last);
    cr_assert_eq(last[1], 100);
}

Test(ledger, merging_adds_and_keeps_the_longest_backlog)
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

Test(ledger, the_gap_is_among_accounts_backlogged_in_every_window)
{
    ledger_share shares[8];
    ledger_gap gap;
    uint32_t count;

    for (uint64_t window = 1; window <= 4; window++) {
        add(window, 1, 100, SECOND_LONG);
        add(window, 2, 220, SECOND_LONG * 95 / 100);
        add(window, 3, 900, window == 3 ? SECOND_LONG / 2 : SECOND_LONG);
        add(window, 99, 1, SECOND_LONG); /* not in the catalogue */
    }
    ledger_set_window(&ledger, 2);
    ledger_find_or_add_line(&ledger, POOL + 1, 1)->service = 12345;
    add(9, 1, 777, SECOND_LONG);
    count = ledger_compute_gap(&ledger, POOL, 1, 4, SECOND_LONG, weight_of,
                               NULL, shares, 8, &gap);
    cr_assert_eq(count, 4);
    cr_assert_eq(gap.backlogged_count, 2);
    cr_assert(fabs(gap.max_difference - 40) < 1e-9,
              "440 and 400 for equal parts");
    cr_assert(fabs(gap.mean - 420) < 1e-9);
    cr_assert(shares[0].is_backlogged && shares[1].is_backlogged);
    cr_assert_not(shares[2].is_backlogged);
    cr_assert_not(shares[3].is_backlogged);
    cr_assert_eq(shares[0].owed, (400 + 880) / 3);
    cr_assert_eq(shares[1].received, 880);
    (void)ledger_compute_gap(&ledger, POOL, 1, 2, SECOND_LONG, weight_of, NULL,
                             shares, 8, &gap);
    cr_assert_eq(gap.backlogged_count, 3);
    cr_assert(fabs(gap.max_difference - 400) < 1e-9,
              "600 for the third, 200 the least");
}

Test(ledger, nobody_backlogged_is_no_gap)
{
    ledger_share shares[2];
    ledger_gap gap;

    add(1, 1, 100, 0);
    cr_assert_eq(ledger_compute_gap(&ledger, POOL, 1, 1, SECOND_LONG,
                                    weight_of, NULL, shares, 2, &gap),
                 1);
    cr_assert_eq(gap.backlogged_count, 0);
    cr_assert_eq(gap.max_difference, 0);
}

Test(ledger, a_ledger_without_lines_is_refused)
{
    ledger_store none;
    err_error error;

    cr_assert_not(ledger_init(&none, 0, &error));
    cr_assert_eq(error.kind, ERR_BAD_VALUE);
}
