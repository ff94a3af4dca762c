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
            cr_expect_eq(shr_ratio(&shares, accounts[i], LV_SECOND) > 1,
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
    cr_expect(shr_ratio(&shares, accounts[1], LV_SECOND) > 1);
    cr_expect_not(shr_ratio(&shares, accounts[0], LV_SECOND) > 1);
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
    cr_expect(shr_ratio(&shares, shr_find_or_add(&shares, 77), LV_SECOND) > 1);
    cr_expect_not(shr_ratio(&shares, shr_find_or_add(&shares, 78), LV_SECOND) >
                  1);
}
