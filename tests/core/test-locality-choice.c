/*
 * Zones in single decisions: what leaving costs, which zone takes the excess,
 * and when the own zone is left.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/admission.h"

#define SERVICE ((lv_id)5)
#define OWN ((lv_id)1)
#define NOW (100 * LV_SECOND)
#define BYTES 50000

static const loc_settings settings = {
    .crossing_cost = 300 * LV_MILLISECOND, .zone_delay = 1400, .copy_uses = 4};
static eng_table table;
static loc_state state;

static void
add_endpoints(lv_id zone, lv_id first, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        eng_spec spec = {.id = map_mix(first + i),
                         .service = SERVICE,
                         .zone = zone,
                         .slots = 12};

        eng_publish(&table, &spec);
    }
    eng_set_service(&table, SERVICE, true, 414406);
}

static void
start(void)
{
    eng_settings engine;

    eng_default_settings(&engine);
    cr_assert(eng_init(&table, &engine, NULL));
    loc_init(&state, OWN, 77);
}

static void
stop(void)
{
    eng_finish(&table);
}

TestSuite(locality_choice, .init = start, .fini = stop);

static void
set_wait(lv_id zone, lv_time wait, lv_time now)
{
    for (lv_handle row = 0; row < table.capacity; row++) {
        if (table.endpoints[row].spec.zone == zone) {
            eng_at(&table, row)->prefill_until = now + wait;
        }
    }
}

static loc_request
prepare(const loc_settings *with, lv_time now)
{
    loc_request request;

    loc_prepare(&state, with, &table, SERVICE, BYTES, now, &request);
    return request;
}

/* Guards against a cost while zones are off, or of the own zone, and against
 * a zone that is kept with a single endpoint. */
Test(locality_choice, cost_of_leaving)
{
    loc_settings off = settings;
    loc_request request;

    off.crossing_cost = 0;
    add_endpoints(OWN, 1, 2);
    add_endpoints(2, 11, 2);
    request = prepare(&off, NOW);
    cr_expect_eq(loc_cost(&request, 2), 0);
    request = prepare(&settings, NOW);
    cr_expect_eq(loc_cost(&request, OWN), 0);
    cr_expect_eq(loc_cost(&request, LV_ID_NONE), 0);
    cr_expect_eq(request.spill_zone, 2);
    cr_expect_eq(loc_cost(&request, 2), 150 * LV_MILLISECOND + 2800);
    cr_expect_gt(loc_cost(&request, 3), loc_cost(&request, 2));
    eng_unlist(&table, 0);
    request = prepare(&settings, NOW + LV_SECOND);
    cr_expect_eq(loc_cost(&request, 2), 2800);
}

/* Guards against a zone that is left and preferred in turns while its wait
 * moves about the threshold. */
Test(locality_choice, own_zone_is_left_and_preferred_at_two_thresholds)
{
    static const struct {
        lv_time wait_ms;
        loc_state_of_zone own;
    } steps[] = {{0, LOC_PREFERRED}, {35, LOC_PREFERRED}, {15, LOC_PREFERRED},
                 {60, LOC_CROWDED},  {15, LOC_CROWDED},   {35, LOC_CROWDED},
                 {5, LOC_PREFERRED}, {35, LOC_PREFERRED}, {60, LOC_CROWDED}};
    lv_time now = NOW;

    add_endpoints(OWN, 1, 3);
    add_endpoints(2, 11, 3);
    for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++) {
        for (int k = 0; k < 100; k++) {
            now += 40 * LV_MILLISECOND;
            set_wait(OWN, steps[i].wait_ms * LV_MILLISECOND, now);
            prepare(&settings, now);
        }
        cr_expect_eq(state.services[0].own, steps[i].own, "step %zu", i);
    }
    cr_expect_eq(state.counts.flips, 3);
}

/* Guards against instances of a zone that all send their excess to one. */
Test(locality_choice, excess_is_spread_in_proportion_to_the_room)
{
    uint32_t counts[4] = {0};

    add_endpoints(OWN, 1, 2);
    add_endpoints(2, 11, 9);
    add_endpoints(3, 31, 3);
    for (lv_id i = 0; i < 4000; i++) {
        loc_init(&state, OWN, map_mix(i + 1));
        counts[prepare(&settings, NOW).spill_zone]++;
    }
    cr_expect(counts[2] > 2850 && counts[2] < 3150, "%u of 4000", counts[2]);
    cr_expect_eq(counts[2] + counts[3], 4000);
}

/* Guards against zones that decide whether a request starts, which would give
 * accounts in a crowded zone less. */
Test(locality_choice, verdict_does_not_depend_on_zones)
{
    uint64_t random = 5;
    uint32_t moved = 0;

    add_endpoints(OWN, 1, 3);
    add_endpoints(2, 11, 3);
    add_endpoints(3, 31, 3);
    for (int i = 0; i < 20000; i++) {
        adm_settings admission;
        adm_decision without;
        adm_decision with;
        eng_prompt prompt;
        adm_request request = {.service = SERVICE,
                               .prompt = &prompt,
                               .received = NOW,
                               .target = 500 * LV_MILLISECOND};

        adm_default_settings(&admission);
        memset(&prompt, 0, sizeof prompt);
        random = map_mix(random + 1);
        prompt.tokens = random % 8000;
        eng_add_block(&prompt, random % 5, prompt.tokens / 2);
        eng_add_block(&prompt, random, prompt.tokens / 2);
        eng_find_zone_affinity(&table, SERVICE, OWN, &prompt);
        request.share_ratio = (double)(random >> 20 & 255) / 100;
        for (lv_handle row = 0; row < table.capacity; row++) {
            eng_at(&table, row)->prefill_until =
                NOW + map_mix(random + row) % (600 * LV_MILLISECOND);
        }
        adm_decide(&admission, &table, &request, NOW, &without);
        loc_init(&state, OWN, random);
        request.locality = prepare(&settings, NOW);
        adm_decide(&admission, &table, &request, NOW, &with);
        cr_assert_eq(with.verdict, without.verdict, "play %d", i);
        cr_assert(with.verdict != ADM_REFUSE ||
                      with.retry_after == without.retry_after,
                  "play %d", i);
        cr_assert_eq(with.crossing == LOC_STAYED,
                     eng_at(&table, with.endpoint)->spec.zone == OWN);
        moved += with.endpoint != without.endpoint;
    }
    cr_expect_gt(moved, 1000);
}

/* Guards against instances of a zone that choose different affinity endpoints,
 * and against a copy in the zone of a part that is used once. */
Test(locality_choice, part_used_often_has_an_affinity_endpoint_in_the_zone)
{
    eng_prompt prompt;
    eng_prompt fleet;

    add_endpoints(OWN, 1, 3);
    add_endpoints(2, 11, 30);
    state.zone_instances = 2;
    for (uint64_t part = 1; part < 50; part++) {
        memset(&prompt, 0, sizeof prompt);
        eng_add_block(&prompt, part, 5400);
        eng_add_block(&prompt, 1000 + part, 600);
        fleet = prompt;
        eng_find_affinity(&table, SERVICE, &fleet);
        eng_find_zone_affinity(&table, SERVICE, OWN, &prompt);
        cr_expect_eq(table.endpoints[prompt.affinity].spec.zone, OWN);
        cr_expect(prompt.affinity == fleet.affinity ||
                  prompt.secondary_affinity == fleet.affinity);
        cr_expect_not(loc_count_use(&state, &settings, &prompt, NOW));
        cr_expect_not(loc_count_use(&state, &settings, &prompt, NOW));
        cr_expect(loc_count_use(&state, &settings, &prompt, NOW));
        cr_expect_not(
            loc_count_use(&state, &settings, &prompt, NOW + 30 * LV_SECOND));
    }
    eng_find_zone_affinity(&table, SERVICE, 9, &prompt);
    cr_expect_eq(prompt.affinity, fleet.affinity);
}
