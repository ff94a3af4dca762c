/*
 * Requests that would make the streams at an engine pause for longer than the
 * target between two events.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/admission.h"

#define SERVICE ((lv_id)9)
#define NOW (100 * LV_SECOND)

/* 32,768 tokens at 50 tokens/ms take 655 ms, at 60 tokens/ms 546 ms. */
#define PAUSE_TOKENS 32768
#define GAP_TARGET (600 * LV_MILLISECOND)

typedef struct pause_case {
    const char *name;
    double rate;           /* estimated, tokens per ms; 0: not */
    uint32_t queued_ms;    /* of prompts at the engine */
    uint32_t tokens;       /* of the request */
    uint32_t pause_tokens; /* the setting */
    double share_ratio;
    adm_verdict verdict;
} pause_case;

/* Guards against pauses beyond the target, and against rules that starve the
 * largest requests or an account far under its share. */
Test(admission_pause, streams_do_not_pause_beyond_the_target)
{
    static const pause_case cases[] = {
        {"short queue", 50, 200, 5000, PAUSE_TOKENS, 0, ADM_START},
        {"long queue", 50, 550, 5000, PAUSE_TOKENS, 0, ADM_QUEUE},
        {"fast engine", 60, 550, 5000, PAUSE_TOKENS, 0, ADM_START},
        {"not estimated", 0, 550, 2000, PAUSE_TOKENS, 0, ADM_START},
        {"off", 50, 550, 5000, 0, 0, ADM_START},
        {"idle engine, large", 50, 0, 60000, PAUSE_TOKENS, 0, ADM_START},
        {"short queue, large", 50, 250, 60000, PAUSE_TOKENS, 0, ADM_START},
        {"under its share", 50, 550, 5000, PAUSE_TOKENS, 0.3, ADM_START},
    };
    static eng_table table;

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        const pause_case *one = &cases[i];
        eng_spec spec = {.id = 1, .service = SERVICE, .slots = 12};
        eng_prompt prompt = {.tokens = one->tokens,
                             .affinity = LV_HANDLE_NONE,
                             .secondary_affinity = LV_HANDLE_NONE};
        adm_request request = {.service = SERVICE,
                               .prompt = &prompt,
                               .received = NOW,
                               .target = 2 * LV_SECOND,
                               .gap_target = GAP_TARGET,
                               .share_ratio = one->share_ratio};
        eng_settings settings;
        adm_settings admission;
        adm_decision decision;

        eng_default_settings(&settings);
        settings.learn_speed_slots = 16;
        adm_default_settings(&admission);
        admission.pause_tokens = one->pause_tokens;
        cr_assert(eng_init(&table, &settings, NULL));
        cr_assert_eq(eng_publish(&table, &spec), 0);
        eng_set_service(&table, SERVICE, true, 0);
        if (one->rate > 0) {
            eng_apply_speed(&table, 0, one->rate, NOW);
        }
        eng_at(&table, 0)->prefill_until =
            NOW + one->queued_ms * LV_MILLISECOND;
        adm_decide(&admission, &table, &request, NOW, &decision);
        cr_expect_eq(decision.verdict, one->verdict, "%s: %s", one->name,
                     decision.reason);
        cr_expect(one->verdict == ADM_START ||
                  strcmp(decision.reason, "pause") == 0);
        eng_finish(&table);
    }
}
