/*
 * Counters and latency histograms of our own, written out in the usual
 * text format of metrics collectors.
 */
#ifndef LAVENDER_METRICS_H
#define LAVENDER_METRICS_H

#include "lavender/types.h"

/* Log-linear buckets: 16 per power of two, from 1 microsecond to over an
 * hour; the error of a quantile is at most 1/16. */
#define MET_BUCKETS (16 * 32)

typedef struct met_histogram {
    uint64_t counts[MET_BUCKETS];
    uint64_t count;
    uint64_t sum; /* microseconds */
    uint64_t max;
} met_histogram;

void met_histogram_init(met_histogram *histogram);
void met_histogram_add(met_histogram *histogram, lv_time value);

/* The value below which a fraction (0..1) of the values lies. */
lv_time met_histogram_quantile(const met_histogram *histogram,
                               double fraction);
void met_histogram_merge(met_histogram *to, const met_histogram *from);

/* Text writer with a buffer that grows; init, write, finish. */
typedef struct met_writer {
    char *text;
    size_t size;
    size_t capacity;
    bool has_failed; /* memory ended */
} met_writer;

void met_writer_init(met_writer *writer);
void met_writer_finish(met_writer *writer);

/* Text as it is. */
void met_write_text(met_writer *writer, const char *text);

/* "# HELP", "# TYPE" lines; type is "counter", "gauge" or "histogram". */
void met_write_header(met_writer *writer, const char *name, const char *type,
                      const char *help);
/* labels is "" or like "account=\"a\",pool=\"p\"". */
void met_write_sample(met_writer *writer, const char *name, const char *labels,
                      double value);

/* A metric with one value and no labels. */
typedef struct met_scalar {
    const char *name;
    const char *type;
    const char *help;
    double value;
} met_scalar;

void met_write_scalars(met_writer *writer, const met_scalar *values,
                       size_t count);
void met_write_histogram(met_writer *writer, const char *name,
                         const char *labels, const met_histogram *histogram);

#endif
