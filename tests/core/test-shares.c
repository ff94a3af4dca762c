/*
 * Max-min shares: who is over, in cases that can be worked out by hand, and
 * with totals that arrive from other instances.
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

Test(shares, the_level_is_the_max_min_share_of_what_was_got)
{
    static const struct {
        uint32_t asked[ACCOUNTS];
        uint32_t got[ACCOUNTS];
        uint64_t level;
        bool is_over[ACCOUNTS];
    } cases[] = {
        /* all get what they ask: nobody is over */
        {{10, 20, 30, 40}, {10, 20, 30, 40}, UINT64_MAX, {0}},
        /* one floods: 100 were got, of which two small ones are due 20 */
        {{10, 10, 900, 900}, {10, 10, 70, 10}, 40, {0, 0, 1, 0}},
        /* all ask more than an even share */
        {{900, 900, 900, 900}, {10, 10, 10, 70}, 25, {0, 0, 0, 1}},
        /* nothing was got yet */
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
        cr_expect_eq(shr_level(&shares, LV_SECOND), cases[c].level,
                     "case %zu: %llu", c,
                     (unsigned long long)shr_level(&shares, LV_SECOND));
        for (int i = 0; i < ACCOUNTS; i++) {
            cr_expect_eq(shr_ratio(&shares, accounts[i], LV_SECOND) > 1,
                         cases[c].is_over[i], "case %zu account %d", c, i);
        }
    }
}

Test(shares, what_other_instances_gave_counts_too)
{
    shr_totals added = {.requested = 900, .served = 80};

    shr_add_requested(&shares, accounts[0], 100, LV_SECOND);
    shr_add_served(&shares, accounts[0], 20, LV_SECOND);
    shr_add_peer(&shares, accounts[1], &added, LV_SECOND);
    cr_expect(shr_ratio(&shares, accounts[1], LV_SECOND) > 1);
    cr_expect_not(shr_ratio(&shares, accounts[0], LV_SECOND) > 1);
    cr_expect_eq(shares.accounts[accounts[1]].local.served, 0,
                 "a peer's work is not said again as ours");
}

Test(shares, the_window_slides)
{
    shr_add_requested(&shares, accounts[0], 500, LV_SECOND);
    shr_add_served(&shares, accounts[0], 500, LV_SECOND);
    cr_expect_eq(shr_served(&shares, accounts[0], 4 * LV_SECOND), 500);
    cr_expect_eq(shr_served(&shares, accounts[0], 6 * LV_SECOND), 0);
    shr_add_served(&shares, accounts[0], 1, 100 * LV_SECOND);
    cr_expect_eq(shr_served(&shares, accounts[0], 100 * LV_SECOND), 1);
}

Test(shares, thousands_of_accounts_have_their_own_counts)
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
