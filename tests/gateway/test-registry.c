/*
 * Entries of endpoints: removal, the grace period after an outage of the
 * store, and reports of peers that are older than the local entry.
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
apply_item(uint64_t revision, bool is_removed, bool is_draining,
           uint64_t id_offset)
{
    static wire_item item;

    memset(&item, 0, sizeof item);
    lv_copy_name(item.key, sizeof item.key, "servers/e");
    item.revision = revision;
    item.is_removed = is_removed;
    item.has_endpoint = !is_removed;
    item.endpoint.id = 7 + id_offset;
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

Test(registry, removed_entry_is_unlisted_at_once)
{
    cr_expect_str_eq(apply_item(1, false, false, 0), "added");
    cr_expect(is_listed(7));
    cr_expect_str_eq(apply_item(2, false, true, 0), "draining");
    cr_expect_not(is_listed(7));
    apply_item(3, false, false, 0);
    cr_expect_str_eq(apply_item(4, true, false, 0), "gone");
    cr_expect_not(is_listed(7));
}

Test(registry, restarted_endpoint_replaces_the_previous_one)
{
    apply_item(1, false, false, 0);
    cr_expect_str_eq(apply_item(2, false, false, 5), "reborn");
    cr_expect_not(is_listed(7));
    cr_expect(is_listed(12));
}

Test(registry, entry_expired_in_outage_is_used_during_grace)
{
    apply_item(1, false, false, 0);
    reg_start_grace(&registry, NOW);
    apply_item(2, true, false, 0);
    cr_expect(is_listed(7));
    cr_expect_eq(reg_remove_expired(&registry, NOW + GRACE - 1), 0);
    cr_expect_eq(reg_remove_expired(&registry, NOW + GRACE), 1);
    cr_expect_not(is_listed(7));
}

Test(registry, entry_republished_during_grace_stays)
{
    apply_item(1, false, false, 0);
    reg_start_grace(&registry, NOW);
    apply_item(2, true, false, 0);
    apply_item(3, false, false, 0);
    cr_expect_eq(reg_remove_expired(&registry, NOW + 2 * GRACE), 0);
    cr_expect(is_listed(7));
}

Test(registry, report_of_peer_applies_only_when_newer)
{
    apply_item(5, false, false, 0);
    cr_expect_not(reg_apply_unlisted(&registry, 7, 4));
    cr_expect(is_listed(7));
    cr_expect(reg_apply_unlisted(&registry, 7, 6));
    cr_expect_not(is_listed(7));
    cr_expect_not(reg_apply_unlisted(&registry, 7, 6), "already unlisted");
    apply_item(8, false, false, 0);
    cr_expect(is_listed(7));
    cr_expect_not(reg_apply_unlisted(&registry, 7, 6),
                  "reports repeat for seconds");
    cr_expect(is_listed(7));
}

Test(registry, list_removes_entries_that_it_lacks)
{
    apply_item(1, false, false, 0);
    reg_begin_list(&registry);
    reg_end_list(&registry, NOW);
    cr_expect_not(is_listed(7));
}
