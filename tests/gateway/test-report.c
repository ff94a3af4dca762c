/*
 * Metrics of completed requests.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

static stage_fixture stage;

static uint64_t
counter_value(const tal_counter *counter, const char *labels)
{
    for (uint32_t i = 0; i < counter->series_count; i++) {
        if (strcmp(counter->series[i].labels, labels) == 0) {
            return counter->series[i].count;
        }
    }
    return 0;
}

Test(report, completed_requests_are_counted_by_reason_and_account)
{
    static const struct {
        stage_mode mode;
        const char *path;
        const char *reason_labels;
        const char *account_labels;
    } cases[] = {
        {STAGE_RESPOND, "/many/1",
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
        stage_response answer;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        stage_exchange(&stage, cases[i].path, "", &answer);
        cr_expect_eq(
            counter_value(&stage.gate.ends_by_reason, cases[i].reason_labels),
            1, "case %zu", i);
        cr_expect_eq(counter_value(&stage.gate.ends_by_account,
                                   cases[i].account_labels),
                     1, "case %zu", i);
        stage_stop(&stage);
    }
}
