/*
 * Where requests start while one account asks for much more than its share:
 * engines that nobody else needs are used, and queues are left to the others.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/admission.h"

#define SERVICE ((lv_id)5)
#define ENGINES 4
#define NOW (100 * LV_SECOND)
#define TARGET (800 * LV_MILLISECOND)
#define LONG_AGO (NOW - 10 * LV_SECOND)

static eng_table table;

static void
start(void)
{
    eng_settings settings;

    eng_default_settings(&settings);
    cr_assert(eng_init(&table, &settings, NULL));
    for (lv_id id = 1; id <= ENGINES; id++) {
        eng_spec spec = {.id = map_mix(id), .service = SERVICE, .slots = 12};

        eng_publish(&table, &spec);
    }
    eng_set_service(&table, SERVICE, true, 400000);
}

static void
stop(void)
{
    eng_finish(&table);
}

TestSuite(shortage, .init = start, .fini = stop);

/* Guards against refusals of an account over its share while engines are idle,
 * only because the endpoint that caches its prompt has a queue; and against
 * queues of that account elsewhere. */
Test(shortage, accounts_over_their_share_get_idle_engines_only)
{
    static const struct {
        double share_ratio;
        bool is_fetchable;
        lv_time others_idle_since;
        adm_verdict verdict;
        bool is_at_affinity;
    } cases[] = {
        {1.5, true, LONG_AGO, ADM_START, false},
        {1.5, false, LONG_AGO, ADM_REFUSE, true},
        {1.5, true, NOW - LV_MILLISECOND, ADM_REFUSE, true},
        {0.9, false, NOW, ADM_START, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        adm_settings settings;
        adm_decision decision;
        eng_prompt prompt = {.tokens = 12000, .output_tokens = 400};
        adm_request request = {.service = SERVICE,
                               .prompt = &prompt,
                               .received = NOW,
                               .target = TARGET,
                               .share_ratio = cases[i].share_ratio,
                               .is_fetchable = cases[i].is_fetchable};

        adm_default_settings(&settings);
        eng_add_block(&prompt, 1, 5400);
        eng_add_block(&prompt, 2, 6600);
        eng_find_affinity(&table, SERVICE, &prompt);
        prompt.secondary_affinity = LV_HANDLE_NONE;
        for (lv_handle e = 0; e < ENGINES; e++) {
            eng_at(&table, e)->prefill_until = cases[i].others_idle_since;
        }
        eng_at(&table, prompt.affinity)->prefill_until =
            NOW + 700 * LV_MILLISECOND;
        adm_decide(&settings, &table, &request, NOW, &decision);
        cr_expect_eq(decision.verdict, cases[i].verdict, "case %zu: %d", i,
                     decision.verdict);
        cr_expect_eq(decision.endpoint == prompt.affinity,
                     cases[i].is_at_affinity, "case %zu: at %u", i,
                     decision.endpoint);
    }
}

/* Guards against engines that never count as idle for long, because each
 * report of their load begins the time again. */
Test(shortage, reports_do_not_end_the_idle_time)
{
    static const struct {
        lv_time prefill_until;
        lv_time wait; /* in the report */
        lv_time idle_time;
    } cases[] = {
        {NOW - 3 * LV_SECOND, 0, 3 * LV_SECOND},
        {NOW - 3 * LV_SECOND, 50 * LV_MILLISECOND, 0},
        {NOW + LV_SECOND, 0, 0},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        eng_prompt prompt = {.tokens = 100, .output_tokens = 10};
        eng_summary summary = {.wait = cases[i].wait};
        eng_prediction prediction;

        eng_clear_affinity(&prompt);
        eng_at(&table, 0)->prefill_until = cases[i].prefill_until;
        eng_apply_summary(&table, 0, &summary, NOW);
        eng_predict(&table, 0, &prompt, NOW, &prediction);
        cr_expect_eq(prediction.idle_time, cases[i].idle_time,
                     "case %zu: %llu us", i,
                     (unsigned long long)prediction.idle_time);
        cr_expect_eq(prediction.wait, cases[i].wait, "case %zu", i);
    }
}
