/*
 * Where a prompt that many requests share goes when its home is busy: the
 * overflow of a hot prompt at 60 engines behind 60 instances, each of which
 * knows its own uses alone.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/admission.h"

#define SERVICE ((lv_id)5)
#define ENGINES 8
#define NOW (100 * LV_SECOND)
#define AIM (800 * LV_MILLISECOND)

static eng_table table;

static void
start(void)
{
    eng_settings settings;

    eng_default_settings(&settings);
    cr_assert(eng_init(&table, &settings, NULL));
    for (lv_id id = 1; id <= ENGINES; id++) {
        eng_spec spec = {.id = map_mix(id), .service = SERVICE, .slots = 32};

        eng_publish(&table, &spec);
    }
    eng_set_service(&table, SERVICE, true, 500000);
}

static void
stop(void)
{
    eng_finish(&table);
}

TestSuite(homes, .init = start, .fini = stop);

static void
make_prompt(eng_prompt *prompt)
{
    memset(prompt, 0, sizeof *prompt);
    prompt->tokens = 12000;
    eng_add_block(prompt, 1, 5400);
    eng_add_block(prompt, 2, 6600);
    eng_find_affinity(&table, SERVICE, prompt);
}

static void
make_queue(lv_handle endpoint, lv_time length)
{
    eng_at(&table, endpoint)->prefill_until = NOW + length;
}

Test(homes, a_busy_home_is_left_for_the_second_alone)
{
    static const struct {
        lv_time home_queue;
        lv_time second_queue;
        bool is_at_home;
        bool is_at_second;
    } cases[] = {
        {0, 0, true, false},
        {200 * LV_MILLISECOND, 0, true, false}, /* a copy costs more */
        {560 * LV_MILLISECOND, 0, false, true},
        {700 * LV_MILLISECOND, 100 * LV_MILLISECOND, false, true},
        {700 * LV_MILLISECOND, 700 * LV_MILLISECOND, false, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        adm_settings settings;
        adm_decision decision;
        eng_prompt prompt;
        adm_request request = {.service = SERVICE,
                               .prompt = &prompt,
                               .received = NOW,
                               .target = AIM};

        adm_default_settings(&settings);
        make_prompt(&prompt);
        make_queue(prompt.affinity, cases[i].home_queue);
        make_queue(prompt.secondary_affinity, cases[i].second_queue);
        for (request.first_row = 0; request.first_row < ENGINES;
             request.first_row++) {
            adm_decide(&settings, &table, &request, NOW, &decision);
            cr_expect_eq(decision.verdict, ADM_START, "case %zu", i);
            cr_expect_eq(decision.endpoint == prompt.affinity,
                         cases[i].is_at_home, "case %zu", i);
            cr_expect_eq(decision.endpoint == prompt.secondary_affinity,
                         cases[i].is_at_second, "case %zu", i);
        }
    }
}

Test(homes, both_are_the_same_for_all_instances)
{
    eng_prompt prompt;

    for (int i = 0; i < 3; i++) {
        make_prompt(&prompt);
        cr_expect_neq(prompt.affinity, prompt.secondary_affinity);
        cr_expect_neq(prompt.secondary_affinity, LV_HANDLE_NONE);
    }
    eng_clear_affinity(&prompt);
    cr_expect_eq(prompt.affinity, LV_HANDLE_NONE);
    cr_expect_eq(prompt.secondary_affinity, LV_HANDLE_NONE);
}
