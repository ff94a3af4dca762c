/*
 * What the metrics say of requests that ended.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

static stage_stage stage;

static uint64_t
count_of(const tal_counter *tally, const char *labels)
{
    for (uint32_t i = 0; i < tally->series_count; i++) {
        if (strcmp(tally->series[i].labels, labels) == 0) {
            return tally->series[i].count;
        }
    }
    return 0;
}

Test(report, ends_are_counted_by_kind_outcome_and_account)
{
    static const struct {
        stage_mode mode;
        const char *path;
        const char *ends;
        const char *account;
    } cases[] = {
        {STAGE_ANSWER, "/many/1",
         "kind=\"idempotent\",outcome=\"served\",reason=\"whole\"",
         "account=\"north\",outcome=\"served\""},
        {STAGE_STREAM, "/stream/1",
         "kind=\"stream\",outcome=\"served\",reason=\"whole\"",
         "account=\"north\",outcome=\"served\""},
        {STAGE_RESET, "/once/1",
         "kind=\"non-idempotent\",outcome=\"failed\",reason=\"reset\"",
         "account=\"north\",outcome=\"failed\""},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_answer answer;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        stage_ask(&stage, cases[i].path, "", &answer);
        cr_expect_eq(count_of(&stage.gate.ends_by_reason, cases[i].ends), 1,
                     "case %zu", i);
        cr_expect_eq(count_of(&stage.gate.ends_by_account, cases[i].account),
                     1, "case %zu", i);
        stage_stop(&stage);
    }
}
