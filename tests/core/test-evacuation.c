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

static void
list(evc_set *to, bool has_key, evc_position position, lv_time now)
{
    evc_position key = {position.era, 10};

    evc_begin_list(to);
    if (has_key) {
        evc_apply_item(to, "z", ZONE, true, key, now);
    }
    evc_end_list(to, position, now);
    evc_note_view(to, position, now);
}

typedef enum source {
    END,
    ITEM,   /* a watch of the store */
    NOTICE, /* another instance */
    LIST    /* is_evacuated: it has the key, at revision 10 */
} source;

typedef struct step {
    source source;
    bool is_evacuated;
    evc_position position;
    lv_time at; /* in ms */
    bool expected;
} step;

static void
apply(const step *one, lv_time now)
{
    evc_notice notice = {ZONE, one->position, one->is_evacuated};

    if (one->source == LIST) {
        list(&set, one->is_evacuated, one->position, now);
    }
    else if (one->source == NOTICE) {
        evc_apply_notice(&set, &notice, now);
    }
    else {
        evc_apply_item(&set, "z", ZONE, one->is_evacuated, one->position, now);
        evc_note_view(&set, one->position, now);
    }
}

Test(evacuation, notices_in_any_order)
{
    static const step cases[][7] = {
        /* A notice is overtaken by an older one. */
        {{NOTICE, true, {1, 400}, 0, true},
         {NOTICE, false, {1, 300}, 0, true},
         {ITEM, false, {1, 500}, 0, false},
         {NOTICE, true, {1, 450}, 0, false},
         {ITEM, true, {2, 5}, 0, true},
         {NOTICE, false, {1, 900}, 0, true}},
        /* A zone stays evacuated after its key was deleted unseen. */
        {{NOTICE, true, {1, 400}, 0, true},
         {LIST, false, {1, 400}, 0, true}, /* read before */
         {LIST, false, {1, 401}, 0, false}},
        /* A restored store forgets a zone, in two eras. */
        {{LIST, true, {1, 400}, 0, true},
         {LIST, false, {2, 50}, 0, true},
         {LIST, false, {2, 60}, 4999, true},
         {LIST, false, {3, 50}, 5000, true},
         {LIST, false, {3, 60}, 10000, false},
         {LIST, true, {4, 20}, 10000, true}},
        /* The key is written again in the new era, or deleted there. */
        {{LIST, true, {1, 400}, 0, true},
         {LIST, false, {2, 50}, 0, true},
         {ITEM, true, {2, 55}, 10, true},
         {LIST, true, {2, 60}, 6000, true},
         {LIST, false, {3, 50}, 6000, true},
         {ITEM, false, {3, 55}, 6000, false}},
        /* Stale words of an instance that lost the store long ago. */
        {{LIST, false, {2, 300}, 0, false},
         {NOTICE, true, {2, 300}, 0, false},
         {NOTICE, true, {1, 900}, 5000, false},
         {NOTICE, true, {2, 301}, 5000, true}},
        /* The first list is an older copy that lacks what others know of. */
        {{LIST, false, {2, 300}, 0, false},
         {NOTICE, true, {1, 900}, 4999, true},
         {LIST, false, {2, 310}, 5000, false}},
        /* A restart with a stale word that the zone is in service. */
        {{NOTICE, false, {2, 150}, 0, false},
         {LIST, true, {2, 200}, 0, true},
         {NOTICE, false, {2, 200}, 0, true},
         {NOTICE, false, {1, 900}, 0, true},
         {NOTICE, false, {2, 201}, 0, false}},
        /* A relay that is behind what was read before. */
        {{LIST, true, {1, 300}, 0, true},
         {LIST, false, {1, 5}, 0, true},
         {ITEM, false, {1, 310}, 0, false},
         {LIST, true, {1, 250}, 0, false},
         {NOTICE, true, {1, 305}, 0, false}},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        evc_init(&set);
        for (int k = 0; cases[i][k].source != END; k++) {
            const step *one = &cases[i][k];
            bool before = evc_is_evacuated(&set, ZONE);
            evc_change change = EVC_KEPT;

            apply(one, NOW + one->at * LV_MILLISECOND);
            cr_expect_eq(evc_is_evacuated(&set, ZONE), one->expected,
                         "case %zu, step %d", i, k);
            evc_take_change(&set, &change);
            cr_expect_eq(change, one->expected == before ? EVC_KEPT
                                 : before                ? EVC_RETURNED
                                                         : EVC_EVACUATED);
        }
    }
}

/* Guards against a copy that is never believed, and against repeated lists. */
Test(evacuation, an_older_copy_is_listed_again_once)
{
    evc_init(&set);
    list(&set, true, (evc_position){1, 400}, NOW);
    list(&set, false, (evc_position){2, 50}, NOW);
    cr_expect_not(evc_needs_list(&set, NOW + EVC_COPY_EXPIRY - 1));
    cr_expect(evc_needs_list(&set, NOW + EVC_COPY_EXPIRY));
    cr_expect_not(evc_needs_list(&set, NOW + EVC_COPY_EXPIRY));
}

/* Guards against notices of unknown zones that crowd out evacuated ones. */
Test(evacuation, a_full_set_keeps_what_the_store_said)
{
    evc_notice notice = {.position = {1, 500}, .is_evacuated = true};

    evc_init(&set);
    list(&set, true, (evc_position){1, 100}, NOW);
    for (notice.zone = 100; notice.zone < 300; notice.zone++) {
        evc_apply_notice(&set, &notice, NOW);
    }
    cr_expect(evc_apply_item(&set, "y", 8, true, notice.position, NOW));
    cr_expect(evc_is_evacuated(&set, 8));
    cr_expect(evc_is_evacuated(&set, ZONE));
}

/* Instances that tell each other by datagrams. Some read the store; the others
 * do not reach it. */
#define FLEET_MAX 200
#define STEP (20 * LV_MILLISECOND)

static evc_set fleet[FLEET_MAX];
static uint64_t random_state;
static lv_time now;

/* Each instance tells all others once in the broadcast interval of a fleet of
 * this size, which is 40 ms for each 8 peers. */
static void
run_fleet(uint32_t size, uint32_t loss_percent, lv_time duration)
{
    lv_time interval = 40 * LV_MILLISECOND * (1 + size / 8);
    lv_time end = now + duration;

    for (; now < end; now += STEP) {
        for (uint32_t from = 0; from < size; from++) {
            evc_notice notice;

            if ((now / STEP + from) % (interval / STEP) != 0 ||
                evc_collect_notices(&fleet[from], now, &notice, 1) == 0) {
                continue;
            }
            for (uint32_t to = 0; to < size; to++) {
                random_state += 0x9e3779b97f4a7c15u;
                if (map_mix(random_state) % 100 >= loss_percent) {
                    evc_apply_notice(&fleet[to], &notice, now);
                }
            }
        }
    }
}

static void
write_key(uint32_t readers, bool is_evacuated, uint64_t revision)
{
    evc_position position = {1, revision};

    for (uint32_t i = 0; i < readers; i++) {
        evc_apply_item(&fleet[i], "z", ZONE, is_evacuated, position, now);
    }
}

static uint32_t
count_evacuated(uint32_t size)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < size; i++) {
        count += evc_is_evacuated(&fleet[i], ZONE);
    }
    return count;
}

/* Guards against instances that the store rejects, or that start later with a
 * list from before, and that go on using the zone or never use it again. */
Test(evacuation, all_instances_learn_it_within_the_bound)
{
    static const struct {
        uint32_t size;
        uint32_t readers;
        uint32_t loss_percent;
    } cases[] = {
        {8, 8, 0},   {8, 1, 30},   {80, 6, 30},
        {80, 1, 50}, {200, 6, 30}, {200, 1, 50},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        uint32_t size = cases[i].size;

        now = NOW;
        random_state = 11;
        for (uint32_t k = 0; k < size; k++) {
            evc_init(&fleet[k]);
            list(&fleet[k], false, (evc_position){1, 100}, now);
        }
        write_key(cases[i].readers, true, 200);
        run_fleet(size, cases[i].loss_percent, 5 * LV_SECOND);
        cr_expect_eq(count_evacuated(size), size, "case %zu: %u", i,
                     count_evacuated(size));
        run_fleet(size, cases[i].loss_percent, 60 * LV_SECOND);
        evc_init(&fleet[size - 1]);
        list(&fleet[size - 1], false, (evc_position){1, 150}, now);
        run_fleet(size, cases[i].loss_percent, 5 * LV_SECOND);
        cr_expect_eq(count_evacuated(size), size, "case %zu: late", i);
        write_key(cases[i].readers, false, 300);
        run_fleet(size, cases[i].loss_percent, 5 * LV_SECOND);
        cr_expect_eq(count_evacuated(size), 0, "case %zu: %u", i,
                     count_evacuated(size));
    }
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
    list(&set, true, (evc_position){1, 20}, NOW);
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
