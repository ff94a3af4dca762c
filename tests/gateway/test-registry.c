/*
 * Entries of endpoints: what ends them at once, what waits for the grace
 * after an outage, and rumours of peers that are older than what is known.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender-gateway/registry.h"

#define NOW (100 * LV_SECOND)
#define GRACE (2 * LV_SECOND)

static eng_table endpoints;
static reg_registry registry;

static void
start(void)
{
    eng_settings settings;

    eng_default_settings(&settings);
    cr_assert(eng_init(&endpoints, &settings, NULL));
    reg_init(&registry, &endpoints, GRACE);
}

static void
stop(void)
{
    reg_finish(&registry);
    eng_finish(&endpoints);
}

TestSuite(registry, .init = start, .fini = stop);

static const char *
say(uint64_t revision, bool is_gone, bool is_draining, uint64_t born)
{
    static wire_item item;

    memset(&item, 0, sizeof item);
    lv_copy_name(item.key, sizeof item.key, "servers/e");
    item.revision = revision;
    item.is_removed = is_gone;
    item.has_endpoint = !is_gone;
    item.endpoint.id = 7 + born;
    item.endpoint.is_draining = is_draining;
    item.endpoint.slots = 4;
    return reg_apply_item(&registry, &item, NOW);
}

static bool
is_listed(lv_id id)
{
    lv_handle row = eng_find(&endpoints, id);

    return row != LV_HANDLE_NONE && eng_at(&endpoints, row)->is_listed;
}

Test(registry, an_entry_that_goes_is_gone_at_once)
{
    cr_expect_str_eq(say(1, false, false, 0), "added");
    cr_expect(is_listed(7));
    cr_expect_str_eq(say(2, false, true, 0), "draining");
    cr_expect_not(is_listed(7));
    say(3, false, false, 0);
    cr_expect_str_eq(say(4, true, false, 0), "gone");
    cr_expect_not(is_listed(7));
}

Test(registry, a_reborn_endpoint_is_another_one)
{
    say(1, false, false, 0);
    cr_expect_str_eq(say(2, false, false, 5), "reborn");
    cr_expect_not(is_listed(7));
    cr_expect(is_listed(12));
}

Test(registry, what_lapsed_in_an_outage_is_kept_for_the_grace)
{
    say(1, false, false, 0);
    reg_start_grace(&registry, NOW);
    say(2, true, false, 0);
    cr_expect(is_listed(7));
    cr_expect_eq(reg_remove_expired(&registry, NOW + GRACE - 1), 0);
    cr_expect_eq(reg_remove_expired(&registry, NOW + GRACE), 1);
    cr_expect_not(is_listed(7));
}

Test(registry, what_comes_back_in_the_grace_stays)
{
    say(1, false, false, 0);
    reg_start_grace(&registry, NOW);
    say(2, true, false, 0);
    say(3, false, false, 0);
    cr_expect_eq(reg_remove_expired(&registry, NOW + 2 * GRACE), 0);
    cr_expect(is_listed(7));
}

Test(registry, a_rumour_counts_only_when_it_is_newer)
{
    say(5, false, false, 0);
    cr_expect_not(reg_apply_unlisted(&registry, 7, 4));
    cr_expect(is_listed(7));
    cr_expect(reg_apply_unlisted(&registry, 7, 6));
    cr_expect_not(is_listed(7));
    cr_expect_not(reg_apply_unlisted(&registry, 7, 6), "known already");
    say(8, false, false, 0);
    cr_expect(is_listed(7));
    cr_expect_not(reg_apply_unlisted(&registry, 7, 6), "told for seconds");
    cr_expect(is_listed(7));
}

Test(registry, a_list_ends_what_it_lacks)
{
    say(1, false, false, 0);
    reg_begin_list(&registry);
    reg_end_list(&registry, NOW);
    cr_expect_not(is_listed(7));
}
