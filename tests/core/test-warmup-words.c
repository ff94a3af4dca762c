/*
 * What makes an endpoint count as cold: its entries, failures to reach it, and
 * the words of other instances.
 */
#include <criterion/criterion.h>

#include "lavender/warmup.h"

#define START (1000 * LV_SECOND)
#define GIVEN(seconds)                                                        \
    {                                                                         \
        WRM_WORD_GIVEN, (seconds)*LV_SECOND                                   \
    }
#define MISSING                                                               \
    {                                                                         \
        WRM_WORD_MISSING, 0                                                   \
    }
#define INVALID                                                               \
    {                                                                         \
        WRM_WORD_INVALID, 0                                                   \
    }

static const wrm_service service = {10 * LV_SECOND, 7.8, 2};

/* Guards against a cold endpoint that counts as warm, or one that counts as
 * cold for longer than it says. */
Test(warmup_words, entries)
{
    static const struct {
        const char *name;
        wrm_notice first, second;
        uint64_t sequence, started_at; /* of the second, 2 s after the first */
        lv_time left;                  /* then, in seconds */
    } cases[] = {
        {"warm", GIVEN(0), GIVEN(0), 2, 1, 0},
        {"it warms up", GIVEN(5), GIVEN(3), 2, 1, 3},
        {"a repeat", GIVEN(5), GIVEN(5), 1, 1, 3},
        {"an older copy", GIVEN(0), GIVEN(5), 0, 1, 0},
        {"cold again", GIVEN(0), GIVEN(8), 2, 1, 8},
        {"another process", GIVEN(0), GIVEN(8), 1, 2, 8},
        {"missing twice", MISSING, MISSING, 2, 1, 8},
        {"not valid", GIVEN(0), INVALID, 2, 1, 10},
        {"too long", GIVEN(0), GIVEN(1000), 2, 1, 10},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        wrm_state state = {0};
        lv_time later = START + 2 * LV_SECOND;

        wrm_set_service(&state, &service, START);
        wrm_note_entry(&state, &cases[i].first, 1, 1, START);
        wrm_note_entry(&state, &cases[i].second, cases[i].started_at,
                       cases[i].sequence, later);
        cr_expect_eq(wrm_left(&state, later), cases[i].left * LV_SECOND, "%s",
                     cases[i].name);
    }
}

/* Guards against an endpoint that one faulty instance closes to all others. */
Test(warmup_words, another_instance_is_believed_with_a_second_one)
{
    const wrm_notice warm = GIVEN(0);
    const lv_time later = START + 5 * LV_SECOND;
    wrm_state state = {0};

    wrm_set_service(&state, &service, START);
    wrm_note_entry(&state, &warm, 1, 1, START);
    wrm_hear(&state, 4 * LV_SECOND, 1, false, START);
    wrm_hear(&state, 4 * LV_SECOND, 2, false, START);
    cr_expect_eq(wrm_left(&state, START), 0, "its entry is recent");
    wrm_hear(&state, 4 * LV_SECOND, 1, false, later);
    wrm_hear(&state, 4 * LV_SECOND, 1, false, later);
    cr_expect_eq(wrm_left(&state, later), 0, "one instance says so");
    wrm_hear(&state, 3 * LV_SECOND, 2, false, later);
    cr_expect_eq(wrm_left(&state, later), 3 * LV_SECOND);
    cr_expect_eq(wrm_own_left(&state, later), 0, "it is not passed on");
}

/* Guards against an endpoint that returns cold after a failure and counts as
 * warm, or stays cold although a later entry says otherwise. */
Test(warmup_words, a_failure_makes_it_cold_until_a_later_entry)
{
    const wrm_notice warm = GIVEN(0);
    wrm_state state = {0};

    wrm_set_service(&state, &service, START);
    wrm_note_entry(&state, &warm, 1, 1, START);
    wrm_note_failure(&state, START);
    wrm_note_entry(&state, &warm, 1, 2, START + LV_SECOND / 2);
    cr_expect_eq(wrm_left(&state, START + LV_SECOND), 10 * LV_SECOND);
    wrm_note_return(&state, START + LV_SECOND);
    cr_expect_eq(wrm_left(&state, START + 2 * LV_SECOND), 9 * LV_SECOND);
    wrm_note_entry(&state, &warm, 1, 3, START + 3 * LV_SECOND);
    cr_expect_eq(wrm_left(&state, START + 3 * LV_SECOND), 0);
}

/* Guards against permissions that are kept beyond what the bound allows. */
Test(warmup_words, kept_tokens_fit_the_bound)
{
    static const double rates[] = {0.1, 1, 7.8, 30, 1000};

    for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++) {
        double kept = wrm_max_tokens(rates[i], 1.5, 5);

        cr_expect_geq(kept, 1);
        cr_expect_leq(rates[i] * 1.4 + kept, rates[i] * 1.5 + 5, "%.1f",
                      rates[i]);
    }
}
