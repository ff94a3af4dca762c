/*
 * Latency histograms, and a writer of metrics in the Prometheus text format.
 */
#ifndef LAVENDER_METRICS_H
#define LAVENDER_METRICS_H

#include "lavender/types.h"

/* Log-linear buckets: 16 per power of two, from 1 microsecond to over an
 * hour. A quantile exceeds the exact value by at most 1/16 of it. */
#define MET_BUCKETS (16 * 32)

typedef struct met_histogram {
    uint64_t counts[MET_BUCKETS]; /* values in each bucket */
    uint64_t count;               /* values in all buckets */
    uint64_t sum;                 /* microseconds */
    uint64_t max;                 /* microseconds */
} met_histogram;

void met_histogram_init(met_histogram *histogram);
void met_histogram_add(met_histogram *histogram, lv_time value);

/* Returns an upper bound of the quantile for a fraction in 0..1, or 0 when the
 * histogram is empty. In the last bucket, which takes all larger values, it is
 * the maximum. */
lv_time met_histogram_quantile(const met_histogram *histogram,
                               double fraction);
/* Adds the values of one histogram to another. */
void met_histogram_merge(met_histogram *to, const met_histogram *from);

/* Appends text to a buffer that grows as needed. The buffer belongs to the
 * writer; met_writer_finish frees it. */
typedef struct met_writer {
    char *text;  /* null-terminated; NULL before the first write */
    size_t size; /* without the terminating null byte */
    size_t capacity;
    bool has_failed; /* an allocation failed: text is missing */
} met_writer;

void met_writer_init(met_writer *writer);
void met_writer_finish(met_writer *writer);

/* Appends text without escaping. */
void met_write_text(met_writer *writer, const char *text);

/* Writes the "# HELP" and "# TYPE" lines of a metric; type is "counter",
 * "gauge" or "histogram". */
void met_write_header(met_writer *writer, const char *name, const char *type,
                      const char *help);

/* Writes one sample. labels is "" or a list such as
 * "account=\"a\",pool=\"p\"", already escaped. */
void met_write_sample(met_writer *writer, const char *name, const char *labels,
                      double value);

/* Copies a name into the value of a label, with the characters replaced that
 * would end or escape it. */
void met_copy_label(char *to, size_t size, const char *name);

/* A metric with a single value and no labels. */
typedef struct met_scalar {
    const char *name;
    const char *type;
    const char *help;
    double value;
} met_scalar;

/* Writes the header and the sample of each metric. */
void met_write_scalars(met_writer *writer, const met_scalar *values,
                       size_t count);

/* Writes the cumulative buckets, the sum and the count of a histogram without
 * its header, in seconds. One bucket for each power of two keeps the text
 * short. */
void met_write_histogram(met_writer *writer, const char *name,
                         const char *labels, const met_histogram *histogram);

#endif
