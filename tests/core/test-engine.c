/*
 * The engine model: predictions in cases worked out by hand, the age of
 * cached parts, and what other instances contribute.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/engine.h"

#define SERVICE ((lv_id)5)
#define NOW (100 * LV_SECOND)

static eng_table table;
static eng_settings settings;

static lv_handle
publish(const char *name, uint32_t slots)
{
    eng_spec spec = {.service = SERVICE, .slots = slots};
    lv_handle row;

    lv_copy_name(spec.name, sizeof spec.name, name);
    spec.id = lv_hash_name(name);
    row = eng_publish(&table, &spec);
    eng_set_service(&table, SERVICE, true, 100000);
    return row;
}

static void
start(void)
{
    eng_default_settings(&settings);
    settings.prefill_tokens_per_ms = 10;
    settings.first_token_overhead = 0;
    cr_assert(eng_init(&table, &settings, NULL));
}

static void
stop(void)
{
    eng_finish(&table);
}

TestSuite(engine, .init = start, .fini = stop);

static eng_prompt
prompt_of(uint64_t shared, uint32_t shared_tokens, uint64_t own,
          uint32_t own_tokens)
{
    eng_prompt prompt = {.tokens = shared_tokens + own_tokens,
                         .output_tokens = 100,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_add_block(&prompt, shared, shared_tokens);
    eng_add_block(&prompt, own, own_tokens);
    return prompt;
}

static lv_time
first_token(lv_handle row, const eng_prompt *prompt, lv_time now)
{
    eng_prediction prediction;

    eng_predict(&table, row, prompt, now, &prediction);
    return prediction.wait + prediction.service_time;
}

Test(engine, prompts_queue_behind_each_other)
{
    lv_handle row = publish("one", 8);
    eng_prompt prompt = prompt_of(1, 500, 2, 500);
    eng_prompt other = prompt_of(3, 500, 4, 500);
    eng_reservation use;

    cr_expect_eq(first_token(row, &prompt, NOW), 100 * LV_MILLISECOND);
    eng_start_request(&table, row, &prompt, NOW, &use);
    cr_expect_eq(first_token(row, &other, NOW), 200 * LV_MILLISECOND);
    cr_expect_eq(first_token(row, &other, NOW + 60 * LV_MILLISECOND),
                 140 * LV_MILLISECOND, "reading goes on meanwhile");
    cr_expect_eq(first_token(row, &other, NOW + LV_SECOND),
                 100 * LV_MILLISECOND);
}

Test(engine, a_part_is_kept_only_after_those_before_it)
{
    lv_handle row = publish("one", 8);
    eng_prompt first = prompt_of(1, 500, 2, 500);
    eng_prompt same_session = prompt_of(1, 500, 9, 300);
    eng_prompt other_front = prompt_of(7, 500, 2, 500);
    eng_reservation use;

    eng_start_request(&table, row, &first, NOW, &use);
    cr_expect_eq(eng_cached_tokens(&table, row, &first), 1000);
    cr_expect_eq(eng_cached_tokens(&table, row, &same_session), 500);
    cr_expect_eq(eng_cached_tokens(&table, row, &other_front), 0);
}

Test(engine, parts_yield_when_memory_was_read_over)
{
    lv_handle row = publish("one", 1000);
    eng_prompt kept = prompt_of(1, 500, 2, 500);
    eng_reservation use;

    eng_start_request(&table, row, &kept, NOW, &use);
    eng_end_request(&table, &use, NOW);
    for (uint64_t i = 0; i < 60; i++) {
        eng_prompt filler = prompt_of(100 + i, 500, 200 + i, 500);

        eng_start_request(&table, row, &filler, NOW, &use);
        eng_end_request(&table, &use, NOW);
    }
    cr_expect_eq(eng_cached_tokens(&table, row, &kept), 1000);
    for (uint64_t i = 0; i < 60; i++) {
        eng_prompt filler = prompt_of(300 + i, 500, 400 + i, 500);

        eng_start_request(&table, row, &filler, NOW, &use);
        eng_end_request(&table, &use, NOW);
    }
    cr_expect_eq(eng_cached_tokens(&table, row, &kept), 0);
}

Test(engine, slots_and_memory_bound_the_room)
{
    static const struct {
        uint32_t slots;
        uint32_t requests;
        uint32_t tokens; /* of each */
        bool has_room;
    } cases[] = {
        {8, 7, 100, true},
        {8, 8, 100, false},
        {8, 4, 24000, false},
        {8, 2, 24000, true},
    };

    for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++) {
        lv_handle row;
        eng_prediction prediction;
        eng_prompt prompt = {.tokens = cases[c].tokens};
        eng_reservation use;

        stop();
        start();
        row = publish("one", cases[c].slots);
        for (uint32_t i = 0; i < cases[c].requests; i++) {
            eng_start_request(&table, row, &prompt, NOW, &use);
        }
        eng_predict(&table, row, &prompt, NOW, &prediction);
        cr_expect_eq(prediction.has_capacity, cases[c].has_room, "case %zu",
                     c);
    }
}

Test(engine, what_peers_have_in_flight_counts_and_leaves_with_them)
{
    static const eng_load nothing;
    lv_handle row = publish("one", 8);
    eng_prompt prompt = prompt_of(1, 500, 2, 500);
    eng_load load = {.in_flight = 3, .prefill_total = 2000, .kv_tokens = 5000};
    eng_load left = {.prefill_total = 2000};

    eng_apply_peer_load(&table, row, &nothing, &load, NOW);
    cr_expect_eq(eng_in_flight(eng_at(&table, row)), 3);
    cr_expect_eq(first_token(row, &prompt, NOW), 300 * LV_MILLISECOND);
    eng_apply_peer_load(&table, row, &load, &left, NOW);
    cr_expect_eq(eng_in_flight(eng_at(&table, row)), 0);
    cr_expect_eq(eng_at(&table, row)->peers_kv_tokens, 0);
}

Test(engine, late_first_tokens_raise_later_predictions)
{
    lv_handle row = publish("one", 64);
    eng_prompt prompt = prompt_of(1, 500, 2, 500);
    lv_time before = first_token(row, &prompt, NOW);
    lv_time now = NOW;

    for (int i = 0; i < 40; i++) {
        eng_reservation use;

        eng_start_request(&table, row, &prompt, now, &use);
        now += 2 * LV_SECOND;
        eng_record_first_token(&table, &use, now);
        eng_end_request(&table, &use, now);
    }
    cr_expect_float_eq((double)first_token(row, &prompt, now), 2 * LV_SECOND,
                       0.05 * LV_SECOND);
    cr_expect_lt(before, LV_SECOND);
}

Test(engine, early_first_tokens_do_not_lift_the_cap_on_reading)
{
    lv_handle row = publish("one", 64);
    eng_prompt prompt = prompt_of(1, 500, 2, 500);
    lv_time now = NOW;

    for (int i = 0; i < 40; i++) {
        eng_prompt fresh =
            prompt_of(100 + (uint64_t)i, 500, 200 + (uint64_t)i, 500);
        eng_reservation use;

        eng_start_request(&table, row, &fresh, now, &use);
        eng_record_first_token(&table, &use, now + LV_MILLISECOND);
        eng_end_request(&table, &use, now + LV_MILLISECOND);
        now += LV_SECOND;
    }
    cr_expect_eq(first_token(row, &prompt, now), 100 * LV_MILLISECOND);
}

Test(engine, a_row_in_use_outlives_its_publication)
{
    lv_handle row = publish("one", 8);
    eng_prompt prompt = prompt_of(1, 10, 2, 10);
    eng_reservation use;
    lv_id id = lv_hash_name("one");

    eng_start_request(&table, row, &prompt, NOW, &use);
    eng_withdraw(&table, id);
    cr_expect_not(eng_at(&table, row)->is_listed);
    cr_expect_eq(eng_find(&table, id), row);
    eng_end_request(&table, &use, NOW);
    cr_expect_eq(eng_find(&table, id), LV_HANDLE_NONE);
    cr_expect_eq(publish("two", 8), row, "the row is used again");
}

/* Many instances with few short calls each: what they say is over by then. */
Test(engine, short_calls_of_others_do_not_take_the_room_of_plain_services)
{
    static const eng_load nothing;
    eng_load load = {.in_flight = 40};
    eng_prompt prompt = {.affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    lv_handle row = publish("one", 6);
    eng_prediction prediction;

    eng_set_service(&table, SERVICE, false, 0);
    eng_apply_peer_load(&table, row, &nothing, &load, NOW);
    eng_predict(&table, row, &prompt, NOW, &prediction);
    cr_expect(prediction.has_capacity);
    cr_expect_eq(prediction.wait, 0);
}

/* Peers tell the last shared part of a prompt alone. */
Test(engine, a_part_that_is_kept_speaks_for_those_before_it)
{
    lv_handle row = publish("one", 8);
    eng_prompt prompt = {.tokens = 900,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_add_block(&prompt, 1, 100);
    eng_add_block(&prompt, 2, 300);
    eng_add_block(&prompt, 3, 500);
    eng_touch_block(&table, row, prompt.blocks[1].chain);
    cr_expect_eq(eng_cached_tokens(&table, row, &prompt), 400);
}
