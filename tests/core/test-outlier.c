/*
 * How the share of failures rises, falls with successes, and is forgotten.
 */
#include <criterion/criterion.h>

#include "lavender/outlier.h"

Test(outlier, a_new_endpoint_is_trusted)
{
    out_outlier outlier;

    out_init(&outlier);
    cr_assert_float_eq(out_share(&outlier, LV_SECOND), 0, 1e-9);
}

Test(outlier, one_lost_connection_outweighs_several_failed_answers)
{
    out_outlier soft;
    out_outlier hard;

    out_init(&soft);
    out_init(&hard);
    out_record_failure(&soft, false, LV_SECOND);
    out_record_failure(&soft, false, LV_SECOND);
    out_record_failure(&hard, true, LV_SECOND);
    cr_assert_gt(out_share(&hard, LV_SECOND), out_share(&soft, LV_SECOND));
}

Test(outlier, a_steady_share_of_failures_is_found)
{
    out_outlier outlier;
    double sum = 0;

    out_init(&outlier);
    for (int i = 0; i < 200; i++) {
        lv_time now = (lv_time)i * 20 * LV_MILLISECOND;

        if (i % 5 < 2) {
            out_record_failure(&outlier, false, now);
        }
        else {
            out_record_success(&outlier, now);
        }
        sum += i >= 100 ? out_share(&outlier, now) : 0;
    }
    cr_assert_float_eq(sum / 100, 0.4, 0.1);
}

Test(outlier, without_results_the_endpoint_is_tried_again)
{
    out_outlier outlier;

    out_init(&outlier);
    for (int i = 0; i < 50; i++) {
        out_record_failure(&outlier, true, LV_SECOND);
    }
    cr_expect_gt(out_share(&outlier, LV_SECOND), 0.9);
    cr_expect_lt(out_share(&outlier, 8 * LV_SECOND), 0.1);
}
