/*
 * Failure rate of an endpoint: rises with failures, falls with successes, and
 * decays without results.
 */
#include <criterion/criterion.h>

#include "lavender/outlier.h"

Test(outlier, new_endpoint_has_no_failures)
{
    out_detector detector;

    out_init(&detector);
    cr_assert_float_eq(out_failure_rate(&detector, LV_SECOND), 0, 1e-9);
}

Test(outlier, connection_failure_outweighs_failed_responses)
{
    out_detector soft;
    out_detector hard;

    out_init(&soft);
    out_init(&hard);
    out_record_failure(&soft, false, LV_SECOND);
    out_record_failure(&soft, false, LV_SECOND);
    out_record_failure(&hard, true, LV_SECOND);
    cr_assert_gt(out_failure_rate(&hard, LV_SECOND),
                 out_failure_rate(&soft, LV_SECOND));
}

Test(outlier, steady_failure_rate_is_estimated)
{
    out_detector detector;
    double sum = 0;

    out_init(&detector);
    for (int i = 0; i < 200; i++) {
        lv_time now = (lv_time)i * 20 * LV_MILLISECOND;

        if (i % 5 < 2) {
            out_record_failure(&detector, false, now);
        }
        else {
            out_record_success(&detector, now);
        }
        sum += i >= 100 ? out_failure_rate(&detector, now) : 0;
    }
    cr_assert_float_eq(sum / 100, 0.4, 0.1);
}

Test(outlier, failure_rate_decays_without_results)
{
    out_detector detector;

    out_init(&detector);
    for (int i = 0; i < 50; i++) {
        out_record_failure(&detector, true, LV_SECOND);
    }
    cr_expect_gt(out_failure_rate(&detector, LV_SECOND), 0.9);
    cr_expect_lt(out_failure_rate(&detector, 8 * LV_SECOND), 0.1);
}
