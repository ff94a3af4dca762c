/*
 * Max-min fair shares: cases computed by hand, and totals reported by other
 * instances.
 */
#include <criterion/criterion.h>

#include "lavender/shares.h"

#define ACCOUNTS 4

static shr_shares shares;
static lv_handle accounts[ACCOUNTS];

static void
start(void)
{
    shr_init(&shares, 4 * LV_SECOND);
    for (int i = 0; i < ACCOUNTS; i++) {
        accounts[i] = shr_find_or_add(&shares, (lv_id)i + 1);
    }
}

static void
stop(void)
{
    shr_finish(&shares);
}

TestSuite(shares, .init = start, .fini = stop);

Test(shares, fair_share_is_max_min_of_served_tokens)
{
    static const struct {
        uint32_t asked[ACCOUNTS];
        uint32_t got[ACCOUNTS];
        uint64_t fair_share;
        bool is_over[ACCOUNTS];
    } cases[] = {
        /* every account is served all it requests */
        {{10, 20, 30, 40}, {10, 20, 30, 40}, UINT64_MAX, {0}},
        /* one account floods: of the 100 served, two small accounts are
           due 20 */
        {{10, 10, 900, 900}, {10, 10, 70, 10}, 40, {0, 0, 1, 0}},
        /* all request more than an even share */
        {{900, 900, 900, 900}, {10, 10, 10, 70}, 25, {0, 0, 0, 1}},
        /* nothing was served yet */
        {{10, 10, 10, 10}, {0}, 0, {0}},
    };

    for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++) {
        stop();
        start();
        for (int i = 0; i < ACCOUNTS; i++) {
            shr_add_requested(&shares, accounts[i], cases[c].asked[i],
                              LV_SECOND);
            shr_add_served(&shares, accounts[i], cases[c].got[i], LV_SECOND);
        }
        cr_expect_eq(shr_fair_share(&shares, LV_SECOND), cases[c].fair_share,
                     "case %zu: %llu", c,
                     (unsigned long long)shr_fair_share(&shares, LV_SECOND));
        for (int i = 0; i < ACCOUNTS; i++) {
            cr_expect_eq(shr_ratio(&shares, accounts[i], 0, LV_SECOND) > 1,
                         cases[c].is_over[i], "case %zu account %d", c, i);
        }
    }
}

Test(shares, tokens_served_by_other_instances_count)
{
    shr_totals added = {.requested = 900, .served = 80};

    shr_add_requested(&shares, accounts[0], 100, LV_SECOND);
    shr_add_served(&shares, accounts[0], 20, LV_SECOND);
    shr_add_peer(&shares, accounts[1], &added, LV_SECOND);
    cr_expect(shr_ratio(&shares, accounts[1], 0, LV_SECOND) > 1);
    cr_expect_not(shr_ratio(&shares, accounts[0], 0, LV_SECOND) > 1);
    cr_expect_eq(shares.accounts[accounts[1]].local.served, 0,
                 "totals of a peer are not counted as local");
}

Test(shares, served_tokens_leave_with_the_window)
{
    shr_add_requested(&shares, accounts[0], 500, LV_SECOND);
    shr_add_served(&shares, accounts[0], 500, LV_SECOND);
    cr_expect_eq(shr_served(&shares, accounts[0], 4 * LV_SECOND), 500);
    cr_expect_eq(shr_served(&shares, accounts[0], 6 * LV_SECOND), 0);
    shr_add_served(&shares, accounts[0], 1, 100 * LV_SECOND);
    cr_expect_eq(shr_served(&shares, accounts[0], 100 * LV_SECOND), 1);
}

Test(shares, many_accounts_have_separate_counts)
{
    enum {
        MANY = 36000
    };

    for (lv_id id = 1; id <= MANY; id++) {
        lv_handle account = shr_find_or_add(&shares, id);

        cr_assert_neq(account, LV_HANDLE_NONE);
        shr_add_requested(&shares, account, 10, LV_SECOND);
        shr_add_served(&shares, account, id == 77 ? 1000 : 1, LV_SECOND);
    }
    cr_expect(shr_ratio(&shares, shr_find_or_add(&shares, 77), 0, LV_SECOND) >
              1);
    cr_expect_not(
        shr_ratio(&shares, shr_find_or_add(&shares, 78), 0, LV_SECOND) > 1);
}

/* A share smaller than one request cannot be enforced: in the first moments
 * of a fleet, whoever is served first is not over its share. */
Test(shares, share_below_one_request_is_not_enforced)
{
    enum {
        REQUEST = 10000
    };
    static const struct {
        uint32_t served; /* requests that one account was served */
        uint32_t others; /* accounts that were served nothing */
        bool is_over;
    } cases[] = {{1, 1, false}, {1, 7, false}, {1, 60, false},
                 {2, 7, true},  {8, 7, true},  {60, 60, true}};

    for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++) {
        stop();
        start();
        shr_add_requested(&shares, accounts[0], 1000 * REQUEST, LV_SECOND);
        shr_add_served(&shares, accounts[0], cases[c].served * REQUEST,
                       LV_SECOND);
        for (uint32_t i = 0; i < cases[c].others; i++) {
            shr_add_requested(&shares, shr_find_or_add(&shares, 100 + i),
                              REQUEST, LV_SECOND);
        }
        cr_expect_eq(shr_ratio(&shares, accounts[0], REQUEST, LV_SECOND) > 1,
                     cases[c].is_over, "case %zu: %f", c,
                     shr_ratio(&shares, accounts[0], REQUEST, LV_SECOND));
    }
}

/* A share that was computed before anything was served holds for a moment. */
Test(shares, first_requests_are_not_over_a_share_of_nothing)
{
    shr_add_requested(&shares, accounts[0], 90000, LV_SECOND);
    cr_expect_leq(shr_ratio(&shares, accounts[0], 10000, LV_SECOND), 1);
    shr_add_served(&shares, accounts[0], 10000, LV_SECOND);
    cr_expect_leq(shr_ratio(&shares, accounts[0], 10000, LV_SECOND), 1);
}

Test(shares, returned_tokens_leave_the_sums_of_all_instances)
{
    static const struct {
        lv_time returned_at;
        uint64_t here;
    } cases[] = {{LV_SECOND, 40}, {3 * LV_SECOND, 40}, {6 * LV_SECOND, 0}};

    for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++) {
        lv_time now = cases[c].returned_at;
        shr_totals before;
        shr_totals added;

        stop();
        start();
        shr_add_served(&shares, accounts[0], 100, LV_SECOND);
        before = shares.accounts[accounts[0]].local;
        shr_add_peer(&shares, accounts[1], &before, LV_SECOND);
        shr_return_served(&shares, accounts[0], 60, now);
        cr_expect_eq(shr_served(&shares, accounts[0], now), cases[c].here,
                     "case %zu", c);
        added.requested = 0;
        added.served =
            shares.accounts[accounts[0]].local.served - before.served;
        shr_add_peer(&shares, accounts[1], &added, now);
        cr_expect_eq(shr_served(&shares, accounts[1], now), cases[c].here,
                     "case %zu", c);
    }
}
