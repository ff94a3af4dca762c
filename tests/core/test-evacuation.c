/*
 * Evacuated zones: notices of the store and of other instances in any order,
 * eras of the store, and the spread of notices in fleets on virtual time.
 */
#include <criterion/criterion.h>

#include "lavender/engine.h"
#include "lavender/hash.h"

#define ZONE 7
#define NOW LV_SECOND

static evc_set set;

static evc_position
at(uint64_t era, uint64_t revision)
{
    evc_position position = {.era = era, .revision = revision};

    return position;
}

static bool
tell(evc_set *to, bool is_evacuated, evc_position position, lv_time now)
{
    evc_notice notice = {
        .zone = ZONE, .position = position, .is_evacuated = is_evacuated};

    return evc_apply_notice(to, &notice, now);
}

static void
list(evc_set *to, bool has_key, evc_position key, evc_position position,
     lv_time now)
{
    evc_begin_list(to);
    if (has_key) {
        evc_apply_item(to, "z", ZONE, true, key, now);
    }
    evc_end_list(to, position, now);
    evc_note_view(to, position, now);
}

/* Guards against a notice that is overtaken by an older one. */
Test(evacuation, the_latest_position_wins_in_any_order)
{
    static const struct {
        evc_position position;
        bool is_evacuated;
    } notices[] = {
        {{1, 400}, true},
        {{2, 20}, false},
        {{2, 30}, true},
        {{3, 10}, false},
    };
    static const uint8_t orders[][4] = {{0, 1, 2, 3}, {3, 2, 1, 0},
                                        {2, 0, 3, 1}, {1, 3, 0, 2},
                                        {3, 0, 1, 2}, {2, 3, 3, 0}};

    for (size_t i = 0; i < sizeof orders / sizeof orders[0]; i++) {
        for (int last = 2; last < 4; last++) {
            evc_init(&set);
            for (int k = 0; k < 4; k++) {
                if (orders[i][k] <= last) {
                    const uint8_t number = orders[i][k];

                    if (k % 2 == 0) {
                        tell(&set, notices[number].is_evacuated,
                             notices[number].position, NOW);
                    }
                    else {
                        evc_apply_item(&set, "z", ZONE,
                                       notices[number].is_evacuated,
                                       notices[number].position, NOW);
                    }
                }
            }
            cr_expect_eq(evc_is_evacuated(&set, ZONE),
                         notices[last].is_evacuated, "order %zu, last %d", i,
                         last);
        }
    }
}

/* Guards against a zone that stays evacuated after its key was deleted while
 * the store's history was not read. */
Test(evacuation, a_list_without_the_key_returns_the_zone)
{
    static const struct {
        evc_position list;
        bool is_evacuated;
    } cases[] = {
        {{1, 500}, false},
        {{1, 400}, true}, /* read before the key was written */
        {{1, 300}, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        evc_init(&set);
        tell(&set, true, at(1, 400), NOW);
        list(&set, false, at(0, 0), cases[i].list, NOW);
        cr_expect_eq(evc_is_evacuated(&set, ZONE), cases[i].is_evacuated,
                     "case %zu", i);
    }
}

/* Guards against a zone that a restored store forgets: the operator needs time
 * to write the key again, and an older copy may have it although it was
 * deleted. */
Test(evacuation, an_older_copy_is_believed_after_its_expiry)
{
    lv_time now = NOW;

    evc_init(&set);
    list(&set, true, at(1, 100), at(1, 400), now);
    list(&set, false, at(0, 0), at(2, 50), now);
    cr_expect(evc_is_evacuated(&set, ZONE));
    list(&set, false, at(0, 0), at(2, 60), now + EVC_COPY_EXPIRY - 1);
    cr_expect(evc_is_evacuated(&set, ZONE));
    cr_expect_not(evc_needs_list(&set, now + EVC_COPY_EXPIRY - 1));
    cr_expect(evc_needs_list(&set, now + EVC_COPY_EXPIRY));
    cr_expect_not(evc_needs_list(&set, now + EVC_COPY_EXPIRY));
    list(&set, false, at(0, 0), at(2, 70), now + EVC_COPY_EXPIRY);
    cr_expect_not(evc_is_evacuated(&set, ZONE));

    list(&set, true, at(3, 10), at(3, 20), now + EVC_COPY_EXPIRY);
    cr_expect(evc_is_evacuated(&set, ZONE));
}

/* Guards against doubts about one copy that are counted for the next one. */
Test(evacuation, a_copy_of_yet_another_era_is_doubted_anew)
{
    lv_time later = NOW + EVC_COPY_EXPIRY;

    evc_init(&set);
    list(&set, true, at(1, 100), at(1, 400), NOW);
    list(&set, false, at(0, 0), at(2, 50), NOW);
    list(&set, false, at(0, 0), at(3, 50), later);
    cr_expect(evc_is_evacuated(&set, ZONE));
    list(&set, false, at(0, 0), at(3, 50), later + EVC_COPY_EXPIRY);
    cr_expect_not(evc_is_evacuated(&set, ZONE));
}

/* Guards against a key that is written again in the new era while the zone is
 * kept, and against one that is deleted there. */
Test(evacuation, a_watch_ends_the_doubt)
{
    for (int is_written = 0; is_written < 2; is_written++) {
        evc_init(&set);
        list(&set, true, at(1, 100), at(1, 400), NOW);
        list(&set, false, at(0, 0), at(2, 50), NOW);
        evc_apply_item(&set, "z", ZONE, is_written, at(2, 55), NOW + 1);
        cr_expect_eq(evc_is_evacuated(&set, ZONE), is_written);
        cr_expect_not(evc_needs_list(&set, NOW + EVC_COPY_EXPIRY));
    }
}

/* Guards against the word of an instance that lost the store long ago. */
Test(evacuation, a_stale_notice_does_not_outweigh_the_own_view)
{
    static const struct {
        bool has_key;
        bool notice;
        evc_position position;
        lv_time after; /* the first list */
        bool is_evacuated;
    } cases[] = {
        {false, true, {2, 300}, 0, false},
        {false, true, {2, 301}, 0, true},
        {true, false, {2, 300}, 0, true},
        {true, false, {2, 301}, 0, false},
        {true, false, {1, 900}, 0, true},
        {true, false, {3, 1}, 0, false},

        /* The view may be an older copy that lacks what was acknowledged. */
        {false, true, {1, 900}, EVC_COPY_EXPIRY - 1, true},
        {false, true, {1, 900}, EVC_COPY_EXPIRY, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        evc_init(&set);
        list(&set, cases[i].has_key, at(2, 200), at(2, 300), NOW);
        tell(&set, cases[i].notice, cases[i].position, NOW + cases[i].after);
        cr_expect_eq(evc_is_evacuated(&set, ZONE), cases[i].is_evacuated,
                     "case %zu", i);
    }
}

/* Guards against a relay that is behind: its list undoes nothing that was read
 * before, and does not make stale notices count. */
Test(evacuation, a_list_from_a_relay_that_is_behind)
{
    evc_init(&set);
    list(&set, true, at(1, 200), at(1, 300), NOW);
    list(&set, false, at(0, 0), at(1, 150), NOW);
    cr_expect(evc_is_evacuated(&set, ZONE));
    evc_apply_item(&set, "z", ZONE, false, at(1, 310), NOW);
    evc_note_view(&set, at(1, 310), NOW);
    list(&set, true, at(1, 200), at(1, 250), NOW);
    cr_expect_not(evc_is_evacuated(&set, ZONE));
    cr_expect_not(tell(&set, true, at(1, 305), NOW));
}

/* Guards against changes that are not logged, or logged twice. */
Test(evacuation, each_change_is_told_once)
{
    static const evc_change expected[] = {EVC_EVACUATED, EVC_KEPT,
                                          EVC_RETURNED, EVC_EVACUATED};
    evc_change change;

    evc_init(&set);
    for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++) {
        lv_time now = NOW + i * EVC_COPY_EXPIRY;

        list(&set, i == 0 || i == 3, at(1 + i / 3, 100 + i),
             at(i == 0 ? 1 : 2, 200 + i), now);
        cr_assert_not_null(evc_take_change(&set, &change), "step %zu", i);
        cr_expect_eq(change, expected[i], "step %zu: %d", i, (int)change);
        cr_expect_null(evc_take_change(&set, &change), "step %zu", i);
        list(&set, i == 0 || i == 3, at(1 + i / 3, 100 + i),
             at(i == 0 ? 1 : 2, 200 + i), now);
        cr_expect_null(evc_take_change(&set, &change), "step %zu", i);
    }
}

/* Guards against an instance that starts with a peer's false word that the
 * zone is in service. */
Test(evacuation, the_first_list_counts_more_than_earlier_notices)
{
    evc_init(&set);
    tell(&set, false, at(1, 150), NOW);
    list(&set, true, at(1, 100), at(1, 200), NOW);
    cr_expect(evc_is_evacuated(&set, ZONE));
    cr_expect_not(tell(&set, false, at(1, 150), NOW));
}

/* Guards against notices of unknown zones that crowd out evacuated ones. */
Test(evacuation, a_full_set_keeps_what_the_store_said)
{
    evc_notice notice = {.position = {1, 500}, .is_evacuated = true};

    evc_init(&set);
    evc_apply_item(&set, "z", ZONE, true, at(1, 100), NOW);
    for (lv_id id = 100; id < 100 + 3 * EVC_ZONES_MAX; id++) {
        notice.zone = id;
        evc_apply_notice(&set, &notice, NOW);
    }
    cr_expect(evc_is_evacuated(&set, ZONE));
    cr_expect(evc_apply_item(&set, "y", 8, true, at(1, 101), NOW));
    cr_expect(evc_is_evacuated(&set, 8));
    cr_expect(evc_is_evacuated(&set, ZONE));
}

/* A fleet whose instances tell each other by datagrams. Some read the store;
 * the others do not reach it. */
#define FLEET_MAX 200
#define STEP (20 * LV_MILLISECOND)

typedef struct fleet {
    evc_set sets[FLEET_MAX];
    uint32_t count;
    uint32_t readers;
    uint32_t loss_percent;
    uint64_t random;
    lv_time now;
} fleet;

static fleet instances;

static uint64_t
next_random(void)
{
    instances.random += 0x9e3779b97f4a7c15u;
    return map_mix(instances.random);
}

/* Each instance tells all others once in the broadcast interval of a fleet of
 * this size, which is 40 ms for each 8 peers. */
static void
run_fleet(lv_time duration)
{
    lv_time interval = 40 * LV_MILLISECOND * (1 + instances.count / 8);
    lv_time end = instances.now + duration;

    for (; instances.now < end; instances.now += STEP) {
        for (uint32_t from = 0; from < instances.count; from++) {
            evc_notice notices[8];
            uint32_t count;

            if ((instances.now / STEP + from) % (interval / STEP) != 0) {
                continue;
            }
            count = evc_collect_notices(&instances.sets[from], instances.now,
                                        notices, 8);
            for (uint32_t to = 0; to < instances.count; to++) {
                if (next_random() % 100 < instances.loss_percent) {
                    continue;
                }
                for (uint32_t i = 0; i < count; i++) {
                    evc_apply_notice(&instances.sets[to], &notices[i],
                                     instances.now);
                }
            }
        }
    }
}

static uint32_t
count_evacuated(void)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < instances.count; i++) {
        count += evc_is_evacuated(&instances.sets[i], ZONE);
    }
    return count;
}

static void
start_fleet(uint32_t count, uint32_t readers, uint32_t loss_percent)
{
    instances.count = count;
    instances.readers = readers;
    instances.loss_percent = loss_percent;
    instances.random = 11;
    instances.now = LV_SECOND;
    for (uint32_t i = 0; i < count; i++) {
        evc_init(&instances.sets[i]);
        list(&instances.sets[i], false, at(0, 0), at(1, 100), instances.now);
    }
}

/* Guards against instances that the store rejects and that go on using the
 * zone, or never use it again. */
Test(evacuation, all_instances_learn_it_within_the_bound)
{
    static const struct {
        uint32_t count;
        uint32_t readers;
        uint32_t loss_percent;
    } cases[] = {
        {8, 8, 0},   {8, 1, 30},   {80, 6, 30},
        {80, 1, 50}, {200, 6, 30}, {200, 1, 50},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        start_fleet(cases[i].count, cases[i].readers, cases[i].loss_percent);
        for (uint32_t k = 0; k < cases[i].readers; k++) {
            evc_apply_item(&instances.sets[k], "z", ZONE, true, at(1, 200),
                           instances.now);
        }
        run_fleet(5 * LV_SECOND);
        cr_expect_eq(count_evacuated(), cases[i].count, "case %zu: %u", i,
                     count_evacuated());
        for (uint32_t k = 0; k < cases[i].readers; k++) {
            evc_apply_item(&instances.sets[k], "z", ZONE, false, at(1, 300),
                           instances.now);
        }
        run_fleet(5 * LV_SECOND);
        cr_expect_eq(count_evacuated(), 0, "case %zu: %u", i,
                     count_evacuated());
    }
}

/* Guards against an instance that starts long after the key was written and
 * whose list is from before, as from a relay that is behind. */
Test(evacuation, a_late_joiner_learns_it)
{
    start_fleet(80, 6, 30);
    instances.count = 79;
    evc_apply_item(&instances.sets[0], "z", ZONE, true, at(1, 200),
                   instances.now);
    run_fleet(60 * LV_SECOND);
    instances.count = 80;
    evc_init(&instances.sets[79]);
    list(&instances.sets[79], false, at(0, 0), at(1, 150), instances.now);
    run_fleet(5 * LV_SECOND);
    cr_expect_eq(count_evacuated(), 80);
}

/* Guards against a fleet of which only those that reach the store again hear
 * of the key, in a new era whose copy lacks what was written before. */
Test(evacuation, a_copy_of_the_store_that_some_instances_read)
{
    start_fleet(80, 40, 30);
    evc_apply_item(&instances.sets[0], "z", ZONE, true, at(1, 200),
                   instances.now);
    run_fleet(2 * LV_SECOND);
    for (uint32_t i = 0; i < 40; i++) {
        list(&instances.sets[i], false, at(0, 0), at(2, 50), instances.now);
    }
    run_fleet(EVC_COPY_EXPIRY - STEP);
    cr_expect_eq(count_evacuated(), 80);
    evc_apply_item(&instances.sets[3], "z", ZONE, true, at(2, 60),
                   instances.now);
    run_fleet(5 * LV_SECOND);
    for (uint32_t i = 0; i < 40; i++) {
        list(&instances.sets[i], true, at(2, 60), at(2, 90), instances.now);
    }
    cr_expect_eq(count_evacuated(), 80);
    evc_apply_item(&instances.sets[3], "z", ZONE, false, at(2, 95),
                   instances.now);
    run_fleet(5 * LV_SECOND);
    cr_expect_eq(count_evacuated(), 0);
}

/* Guards against affinity for endpoints that may be sent no request, and
 * against lists whose version does not tell of the change. */
Test(evacuation, affinity_is_chosen_in_other_zones)
{
    eng_settings settings;
    eng_table table;
    eng_prompt prompt = {.tokens = 300};
    lv_time free_at;

    eng_default_settings(&settings);
    cr_assert(eng_init(&table, &settings, NULL));
    evc_init(&set);
    table.evacuation = &set;
    for (lv_id id = 1; id <= 20; id++) {
        eng_spec spec = {.id = id, .service = 1, .slots = 4};

        spec.zone = id % 2 == 0 ? ZONE : 8;
        eng_publish(&table, &spec);
    }
    evc_apply_item(&set, "z", ZONE, true, at(1, 10), NOW);
    for (lv_handle row = 0; row < 20; row++) {
        uint64_t version = table.list_version;
        bool is_in_zone = eng_at(&table, row)->spec.zone == ZONE;

        cr_expect_eq(eng_update_evacuated(&table, row), is_in_zone);
        cr_expect_eq(table.list_version != version, is_in_zone);
        cr_expect_eq(eng_check_send(&table, row, NOW, &free_at),
                     is_in_zone ? AVL_EVACUATED : AVL_AVAILABLE);
        cr_expect_eq(eng_places(&table, row, NOW) == 0, is_in_zone);
    }
    for (uint64_t block = 1; block < 50; block++) {
        prompt.block_count = 0;
        eng_add_block(&prompt, block, 100);
        eng_add_block(&prompt, block + 1000, 200);
        eng_find_affinity(&table, 1, &prompt);
        cr_expect_eq(eng_at(&table, prompt.affinity)->spec.zone, 8);
        cr_expect_eq(eng_at(&table, prompt.secondary_affinity)->spec.zone, 8);
    }
    eng_finish(&table);
}
