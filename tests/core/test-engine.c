/*
 * The engine model: predictions computed by hand, eviction of cached blocks,
 * and the load reported by other instances.
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
make_prompt(uint64_t shared, uint32_t shared_tokens, uint64_t unique,
            uint32_t unique_tokens)
{
    eng_prompt prompt = {.tokens = shared_tokens + unique_tokens,
                         .output_tokens = 100,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_add_block(&prompt, shared, shared_tokens);
    eng_add_block(&prompt, unique, unique_tokens);
    return prompt;
}

static lv_time
time_to_first_token(lv_handle row, const eng_prompt *prompt, lv_time now)
{
    eng_prediction prediction;

    eng_predict(&table, row, prompt, now, &prediction);
    return prediction.wait + prediction.service_time;
}

Test(engine, prompts_are_prefilled_in_order)
{
    lv_handle row = publish("one", 8);
    eng_prompt prompt = make_prompt(1, 500, 2, 500);
    eng_prompt other = make_prompt(3, 500, 4, 500);
    eng_reservation use;

    cr_expect_eq(time_to_first_token(row, &prompt, NOW), 100 * LV_MILLISECOND);
    eng_start_request(&table, row, &prompt, NOW, &use);
    cr_expect_eq(time_to_first_token(row, &other, NOW), 200 * LV_MILLISECOND);
    cr_expect_eq(time_to_first_token(row, &other, NOW + 60 * LV_MILLISECOND),
                 140 * LV_MILLISECOND, "the queue shrinks with time");
    cr_expect_eq(time_to_first_token(row, &other, NOW + LV_SECOND),
                 100 * LV_MILLISECOND);
}

Test(engine, block_is_cached_only_after_the_blocks_before_it)
{
    lv_handle row = publish("one", 8);
    eng_prompt first = make_prompt(1, 500, 2, 500);
    eng_prompt same_session = make_prompt(1, 500, 9, 300);
    eng_prompt other_prefix = make_prompt(7, 500, 2, 500);
    eng_reservation use;

    eng_start_request(&table, row, &first, NOW, &use);
    cr_expect_eq(eng_cached_tokens(&table, row, &first), 1000);
    cr_expect_eq(eng_cached_tokens(&table, row, &same_session), 500);
    cr_expect_eq(eng_cached_tokens(&table, row, &other_prefix), 0);
}

Test(engine, old_blocks_are_evicted)
{
    lv_handle row = publish("one", 1000);
    eng_prompt old = make_prompt(1, 500, 2, 500);
    eng_reservation use;

    eng_start_request(&table, row, &old, NOW, &use);
    eng_end_request(&table, &use, NOW);
    for (uint64_t i = 0; i < 60; i++) {
        eng_prompt filler = make_prompt(100 + i, 500, 200 + i, 500);

        eng_start_request(&table, row, &filler, NOW, &use);
        eng_end_request(&table, &use, NOW);
    }
    cr_expect_eq(eng_cached_tokens(&table, row, &old), 1000);
    for (uint64_t i = 0; i < 60; i++) {
        eng_prompt filler = make_prompt(300 + i, 500, 400 + i, 500);

        eng_start_request(&table, row, &filler, NOW, &use);
        eng_end_request(&table, &use, NOW);
    }
    cr_expect_eq(eng_cached_tokens(&table, row, &old), 0);
}

Test(engine, capacity_is_limited_by_slots_and_memory)
{
    static const struct {
        uint32_t slots;
        uint32_t requests;
        uint32_t tokens; /* of each */
        bool has_capacity;
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
        cr_expect_eq(prediction.has_capacity, cases[c].has_capacity,
                     "case %zu", c);
    }
}

Test(engine, load_of_a_peer_is_added_and_removed)
{
    static const eng_load no_load;
    lv_handle row = publish("one", 8);
    eng_prompt prompt = make_prompt(1, 500, 2, 500);
    eng_load load = {.in_flight = 3, .prefill_total = 2000, .kv_tokens = 5000};
    eng_load ended = {.prefill_total = 2000};

    eng_apply_peer_load(&table, row, &no_load, &load, NOW);
    cr_expect_eq(eng_in_flight(eng_at(&table, row)), 3);
    cr_expect_eq(time_to_first_token(row, &prompt, NOW), 300 * LV_MILLISECOND);
    eng_apply_peer_load(&table, row, &load, &ended, NOW);
    cr_expect_eq(eng_in_flight(eng_at(&table, row)), 0);
    cr_expect_eq(eng_at(&table, row)->peers_kv_tokens, 0);
}

Test(engine, late_first_tokens_increase_later_predictions)
{
    lv_handle row = publish("one", 64);
    eng_prompt prompt = make_prompt(1, 500, 2, 500);
    lv_time before = time_to_first_token(row, &prompt, NOW);
    lv_time now = NOW;

    for (int i = 0; i < 40; i++) {
        eng_reservation use;

        eng_start_request(&table, row, &prompt, now, &use);
        now += 2 * LV_SECOND;
        eng_record_first_token(&table, &use, now);
        eng_end_request(&table, &use, now);
    }
    cr_expect_float_eq((double)time_to_first_token(row, &prompt, now),
                       2 * LV_SECOND, 0.05 * LV_SECOND);
    cr_expect_lt(before, LV_SECOND);
}

Test(engine, early_first_tokens_do_not_raise_the_prefill_rate)
{
    lv_handle row = publish("one", 64);
    eng_prompt prompt = make_prompt(1, 500, 2, 500);
    lv_time now = NOW;

    for (int i = 0; i < 40; i++) {
        eng_prompt fresh =
            make_prompt(100 + (uint64_t)i, 500, 200 + (uint64_t)i, 500);
        eng_reservation use;

        eng_start_request(&table, row, &fresh, now, &use);
        eng_record_first_token(&table, &use, now + LV_MILLISECOND);
        eng_end_request(&table, &use, now + LV_MILLISECOND);
        now += LV_SECOND;
    }
    cr_expect_eq(time_to_first_token(row, &prompt, now), 100 * LV_MILLISECOND);
}

Test(engine, referenced_row_remains_after_withdrawal)
{
    lv_handle row = publish("one", 8);
    eng_prompt prompt = make_prompt(1, 10, 2, 10);
    eng_reservation use;
    lv_id id = lv_hash_name("one");

    eng_start_request(&table, row, &prompt, NOW, &use);
    eng_withdraw(&table, id);
    cr_expect_not(eng_at(&table, row)->is_listed);
    cr_expect_eq(eng_find(&table, id), row);
    eng_end_request(&table, &use, NOW);
    cr_expect_eq(eng_find(&table, id), LV_HANDLE_NONE);
    cr_expect_eq(publish("two", 8), row, "the row is reused");
}

/* Guards against refusals by stale reports: with many instances that send few
 * short requests each, most reported requests have ended already. */
Test(engine, peer_requests_to_plain_services_do_not_use_local_slots)
{
    static const eng_load no_load;
    eng_load load = {.in_flight = 40};
    eng_prompt prompt = {.affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    lv_handle row = publish("one", 6);
    eng_prediction prediction;

    eng_set_service(&table, SERVICE, false, 0);
    eng_apply_peer_load(&table, row, &no_load, &load, NOW);
    eng_predict(&table, row, &prompt, NOW, &prediction);
    cr_expect(prediction.has_capacity);
    cr_expect_eq(prediction.wait, 0);
}

/* Peers report only the last shared block of a prompt. */
Test(engine, cached_block_implies_the_blocks_before_it)
{
    lv_handle row = publish("one", 8);
    eng_prompt prompt = {.tokens = 900,
                         .affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};

    eng_add_block(&prompt, 1, 100);
    eng_add_block(&prompt, 2, 300);
    eng_add_block(&prompt, 3, 500);
    eng_touch_block(&table, row, prompt.blocks[1].prefix_hash);
    cr_expect_eq(eng_cached_tokens(&table, row, &prompt), 400);
}
