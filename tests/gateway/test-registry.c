/*
 * Entries of endpoints: removal, the grace period after an outage of the
 * store, and reports of peers that are older than the local entry.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender-gateway/registry.h"

#define NOW (100 * LV_SECOND)
#define GRACE (2 * LV_SECOND)

static lv_time now = NOW;
static uint64_t era;      /* of the items that are applied */
static uint64_t sequence; /* of the endpoint, in these */
static eng_table endpoints;
static reg_registry registry;

static void
start(void)
{
    eng_settings settings;

    eng_default_settings(&settings);
    cr_assert(eng_init(&endpoints, &settings, NULL));
    reg_init(&registry, &endpoints, GRACE);
    now = NOW;
    era = 0;
    sequence = 0;
}

static void
stop(void)
{
    reg_finish(&registry);
    eng_finish(&endpoints);
}

TestSuite(registry, .init = start, .fini = stop);

static wire_position
at(uint64_t revision)
{
    return (wire_position){.era = era, .revision = revision};
}

static const char *
apply_item(uint64_t revision, bool is_removed, bool is_draining,
           uint64_t id_offset)
{
    static wire_item item;

    memset(&item, 0, sizeof item);
    lv_copy_name(item.key, sizeof item.key, "servers/e");
    item.position.era = era;
    item.position.revision = revision;
    item.sequence = sequence;
    item.is_removed = is_removed;
    item.has_endpoint = !is_removed;
    item.endpoint.id = 7 + id_offset;
    item.endpoint.is_draining = is_draining;
    item.endpoint.slots = 4;
    return reg_apply_item(&registry, &item, now);
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

/* Guards against requests to an endpoint that left during the grace period
 * after an outage, for longer than the bound for endpoints that leave. */
Test(registry, removal_that_the_store_tells_is_bound_in_the_grace)
{
    static const struct {
        lv_time removal_grace;
        lv_time told_at; /* since the grace began */
        bool is_list;    /* lacks the entry */
        lv_time used_for;
    } cases[] = {
        {GRACE, 0, false, GRACE},         {GRACE / 2, 0, false, GRACE / 2},
        {GRACE / 2, GRACE - 1, false, 1}, {GRACE / 2, 0, true, GRACE},
        {GRACE / 2, GRACE, false, 0},     {GRACE / 2, GRACE, true, 0},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stop();
        start();
        registry.removal_grace = cases[i].removal_grace;
        apply_item(1, false, false, 0);
        reg_start_grace(&registry, now);
        now += cases[i].told_at;
        if (cases[i].is_list) {
            reg_begin_list(&registry);
            reg_end_list(&registry, now);
        }
        else {
            cr_expect_str_eq(apply_item(2, true, false, 0),
                             cases[i].used_for > 0 ? "lapsing" : "gone");
        }
        if (cases[i].used_for > 0) {
            reg_remove_expired(&registry, now + cases[i].used_for - 1);
            cr_expect(is_listed(7), "case %zu", i);
        }
        reg_remove_expired(&registry, now + cases[i].used_for);
        cr_expect_not(is_listed(7), "case %zu", i);
    }
}

Test(registry, report_of_peer_applies_only_when_newer)
{
    apply_item(5, false, false, 0);
    cr_expect_not(reg_apply_unlisted(&registry, 7, at(4)));
    cr_expect(is_listed(7));
    cr_expect(reg_apply_unlisted(&registry, 7, at(6)));
    cr_expect_not(is_listed(7));
    cr_expect_not(reg_apply_unlisted(&registry, 7, at(6)), "already unlisted");
    apply_item(8, false, false, 0);
    cr_expect(is_listed(7));
    cr_expect_not(reg_apply_unlisted(&registry, 7, at(6)),
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

/* The store came back from an older copy, in which the endpoint had not left.
 */
Test(registry, departure_outweighs_an_older_copy)
{
    static const struct {
        bool was_removed; /* or it drained */
        uint64_t era;
        uint64_t first_sequence; /* first seen after the departure */
        uint64_t next_sequence;  /* then; 0: not seen again */
        lv_time elapsed;
        bool is_listed;
    } cases[] = {
        {true, 1, 11, 0, 0, true}, /* the same era: it is back */
        {true, 2, 4, 0, 0, false},
        {true, 2, 10, 0, 0, false},
        {true, 2, 14, 14, LV_SECOND, false},
        {true, 2, 14, 15, LV_SECOND, true}, /* it has written since */
        {true, 2, 4, 4, REG_COPY_EXPIRY, true},
        {false, 1, 11, 0, 0, true},
        {false, 2, 4, 0, 0, false},
        {false, 2, 14, 15, LV_SECOND, true},
        {false, 2, 4, 4, REG_COPY_EXPIRY - 1, false},
        {false, 2, 4, 4, REG_COPY_EXPIRY, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stop();
        start();
        era = 1;
        sequence = 10;
        apply_item(20, false, false, 0);
        apply_item(21, cases[i].was_removed, true, 0);
        cr_expect_not(is_listed(7));
        era = cases[i].era;
        sequence = cases[i].first_sequence;
        apply_item(era == 1 ? 22 : 12, false, false, 0);
        now += cases[i].elapsed;
        if (cases[i].next_sequence != 0) {
            sequence = cases[i].next_sequence;
            apply_item(13, false, false, 0);
        }
        cr_expect_eq(is_listed(7), cases[i].is_listed, "case %zu", i);
    }
}

Test(registry, positions_compare_by_era_first)
{
    static const struct {
        uint64_t entry_era;
        uint64_t entry_revision;
        uint64_t report_era;
        uint64_t report_revision;
        bool is_unlisted;
    } cases[] = {
        {1, 50, 1, 51, true},  {1, 50, 1, 50, false}, {1, 50, 2, 30, true},
        {2, 30, 1, 50, false}, {0, 50, 0, 51, true},  {0, 50, 1, 20, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stop();
        start();
        era = cases[i].entry_era;
        apply_item(cases[i].entry_revision, false, false, 0);
        era = cases[i].report_era;
        cr_expect_eq(
            reg_apply_unlisted(&registry, 7, at(cases[i].report_revision)),
            cases[i].is_unlisted, "case %zu", i);
    }
}

/* In a new era the copy may lack what was written since; it is written again.
 */
Test(registry, entry_that_a_copy_lacks_is_used_during_grace)
{
    era = 1;
    apply_item(20, false, false, 0);
    reg_start_grace(&registry, now);
    reg_begin_list(&registry);
    reg_end_list(&registry, now);
    cr_expect(is_listed(7));
    era = 2;
    sequence = 1;
    apply_item(5, false, false, 0);
    cr_expect_eq(reg_remove_expired(&registry, now + GRACE), 0);
    cr_expect(is_listed(7), "lower revisions of a newer era count");
}
