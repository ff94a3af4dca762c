/*
 * Histograms keep their stated error; the text is what collectors read.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>

#include "lavender/metrics.h"

typedef struct quantile_case {
    uint64_t first;
    uint64_t step;
    uint32_t count;
    double fraction;
} quantile_case;

ParameterizedTestParameters(metrics, quantiles)
{
    static quantile_case cases[] = {
        {0, 1, 16, 0.5},      {1, 0, 1, 0.5},
        {1, 1, 1000, 0.5},    {1, 1, 1000, 0.95},
        {1, 1, 1000, 1.0},    {1, 1, 1000, 0.0},
        {1, 977, 5000, 0.99}, {3600000000, 1000000, 1000, 0.5},
        {15, 1, 2, 0.5},      {0, 0, 10, 0.5},
    };

    return cr_make_param_array(quantile_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* The stated value is at or above the true one, by at most 1/16. */
ParameterizedTest(quantile_case *c, metrics, quantiles)
{
    met_histogram histogram;
    uint64_t rank = (uint64_t)(c->fraction * c->count + 0.999999);
    uint64_t wanted = c->first + c->step * (rank == 0 ? 0 : rank - 1);
    lv_time found;

    met_histogram_init(&histogram);
    for (uint32_t i = 0; i < c->count; i++) {
        met_histogram_add(&histogram, c->first + c->step * i);
    }
    found = met_histogram_quantile(&histogram, c->fraction);
    cr_assert_geq(found, wanted);
    cr_assert_leq(found, wanted + wanted / 16, "%lu for %lu", found, wanted);
}

Test(metrics, an_empty_histogram)
{
    met_histogram histogram;

    met_histogram_init(&histogram);
    cr_assert_eq(met_histogram_quantile(&histogram, 0.5), 0);
}

Test(metrics, values_past_the_last_bucket)
{
    met_histogram histogram;

    met_histogram_init(&histogram);
    met_histogram_add(&histogram, UINT64_MAX);
    cr_assert_eq(met_histogram_quantile(&histogram, 0.5), UINT64_MAX);
    cr_assert_eq(histogram.counts[MET_BUCKETS - 1], 1);
}

Test(metrics, merged_is_as_if_counted_in_one)
{
    met_histogram one;
    met_histogram two;
    met_histogram both;

    met_histogram_init(&one);
    met_histogram_init(&two);
    met_histogram_init(&both);
    for (uint64_t i = 0; i < 1000; i++) {
        met_histogram_add(i % 3 == 0 ? &one : &two, i * i);
        met_histogram_add(&both, i * i);
    }
    met_histogram_merge(&one, &two);
    cr_assert_arr_eq(&one, &both, sizeof one);
}

Test(metrics, text_of_values)
{
    met_writer writer;

    met_writer_init(&writer);
    met_write_header(&writer, "lavender_grants_total", "counter",
                     "Leases granted.");
    met_write_sample(&writer, "lavender_grants_total", "", 3);
    met_write_sample(&writer, "lavender_grants_total", "pool=\"p\"", 0.5);
    cr_assert_str_eq(writer.text, "# HELP lavender_grants_total Leases "
                                  "granted.\n"
                                  "# TYPE lavender_grants_total counter\n"
                                  "lavender_grants_total 3\n"
                                  "lavender_grants_total{pool=\"p\"} 0.5\n");
    cr_assert_eq(writer.size, strlen(writer.text));
    met_writer_finish(&writer);
}

Test(metrics, text_of_a_histogram)
{
    met_histogram histogram;
    met_writer writer;

    met_histogram_init(&histogram);
    met_histogram_add(&histogram, 1000000);
    met_histogram_add(&histogram, 3);
    met_writer_init(&writer);
    met_write_histogram(&writer, "wait_seconds", "pool=\"p\"", &histogram);
    cr_assert_not_null(strstr(
        writer.text, "wait_seconds_bucket{pool=\"p\",le=\"1.5e-05\"} 1\n"));
    cr_assert_not_null(strstr(
        writer.text, "wait_seconds_bucket{pool=\"p\",le=\"0.524287\"} 1\n"));
    cr_assert_not_null(strstr(
        writer.text, "wait_seconds_bucket{pool=\"p\",le=\"1.048575\"} 2\n"));
    cr_assert_not_null(strstr(
        writer.text, "wait_seconds_bucket{pool=\"p\",le=\"+Inf\"} 2\n"));
    cr_assert_not_null(
        strstr(writer.text, "wait_seconds_sum{pool=\"p\"} 1.000003"));
    cr_assert_not_null(
        strstr(writer.text, "wait_seconds_count{pool=\"p\"} 2\n"));
    met_writer_finish(&writer);
}

Test(metrics, long_texts_grow)
{
    met_writer writer;

    met_writer_init(&writer);
    for (int i = 0; i < 10000; i++) {
        met_write_sample(&writer, "a_rather_long_name_of_a_counter", "a=\"b\"",
                         i);
    }
    cr_assert_not(writer.has_failed);
    cr_assert_eq(writer.size, strlen(writer.text));
    met_writer_finish(&writer);
}
