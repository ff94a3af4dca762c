/*
 * Token buckets: exact over long periods, never above the burst size.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "lavender/limits.h"

typedef struct bucket_case {
    uint64_t rate; /* thousandths of a request per second */
    uint32_t burst;
    lv_time step;
} bucket_case;

static bucket_case bucket_cases[] = {
    {1, 1, 1000},          {333, 1, 777},
    {1000, 1, 1000000},    {7 * LIM_ONE_PER_SECOND, 3, 13},
    {LIM_RATE_MAX, 10, 1}, {50 * LIM_ONE_PER_SECOND, 1000000000, 999983},
};

ParameterizedTestParameters(limits, long_term_rate_is_exact)
{
    return cr_make_param_array(bucket_case, bucket_cases,
                               sizeof bucket_cases / sizeof bucket_cases[0]);
}

ParameterizedTest(bucket_case *with, limits, long_term_rate_is_exact)
{
    lim_bucket bucket;
    lv_time now = 5;
    uint64_t taken = 0;
    uint64_t expected;

    lim_init(&bucket, with->rate, with->burst, now);
    while (lim_consume(&bucket, 1)) {
        taken++;
        if (taken == 1000) {
            break;
        }
    }
    taken = 0;
    bucket.level = 0;
    for (int i = 0; i < 100000; i++) {
        now += with->step;
        lim_refill(&bucket, now);
        while (taken < 100000000 && lim_available(&bucket) > 0) {
            uint32_t available = lim_available(&bucket);

            cr_assert(lim_consume(&bucket, available));
            taken += available;
        }
    }
    expected = (now - 5) * with->rate / (uint64_t)LIM_UNITS_PER_REQUEST;
    cr_expect_leq(taken, expected);
    if (with->step * with->rate <=
        with->burst * (uint64_t)LIM_UNITS_PER_REQUEST) {
        cr_expect_geq(taken + 1, expected);
    }
}

Test(limits, level_never_exceeds_the_burst)
{
    lim_bucket bucket;

    lim_init(&bucket, 5 * LIM_ONE_PER_SECOND, 4, 0);
    lim_refill(&bucket, LV_TIME_NEVER / 2);
    cr_expect_eq(lim_available(&bucket), 4);
    cr_expect_not(lim_consume(&bucket, 5));
    cr_expect(lim_consume(&bucket, 4));
    lim_refund(&bucket, 100);
    cr_expect_eq(lim_available(&bucket), 4);
    lim_configure(&bucket, 5 * LIM_ONE_PER_SECOND, 2, LV_TIME_NEVER / 2);
    cr_expect_eq(lim_available(&bucket), 2);
}

Test(limits, refill_leaves_room_for_requests_to_be_returned)
{
    lim_bucket bucket;

    lim_init(&bucket, 5 * LIM_ONE_PER_SECOND, 4, 0);
    cr_assert(lim_consume(&bucket, 4));
    lim_refill_reserving(&bucket, 10 * LV_SECOND, 3);
    cr_expect_eq(lim_available(&bucket), 1);
    lim_refund(&bucket, 3);
    cr_expect_eq(lim_available(&bucket), 4);
}

Test(limits, charge_beyond_the_level_delays_later_requests)
{
    lim_bucket bucket;

    lim_init(&bucket, 2 * LIM_ONE_PER_SECOND, 4, 0);
    cr_assert(lim_consume(&bucket, 4));
    lim_charge(&bucket, 3);
    cr_expect_eq(lim_time_until_available(&bucket), 2 * LV_SECOND);
    lim_refill(&bucket, 2 * LV_SECOND);
    cr_expect_eq(lim_time_until_available(&bucket), 0);
    cr_expect_eq(lim_available(&bucket), 1);
}

Test(limits, wait_is_infinite_without_a_rate)
{
    lim_bucket bucket;

    lim_init(&bucket, 0, 1, 0);
    cr_assert(lim_consume(&bucket, 1));
    lim_refill(&bucket, LV_SECOND);
    cr_expect_eq(lim_time_until_available(&bucket), LV_TIME_NEVER);
}
