#include "lavender/metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Each power of two is divided into SUB_BUCKETS buckets of equal width. */
#define SUB_BITS 4
#define SUB_BUCKETS (1U << SUB_BITS)
#define MICROSECONDS_PER_SECOND 1e6
#define INITIAL_CAPACITY 4096

void
met_histogram_init(met_histogram *histogram)
{
    memset(histogram, 0, sizeof *histogram);
}

/* Values below SUB_BUCKETS have a bucket each; each power of two above has
 * SUB_BUCKETS. */
static uint32_t
bucket_index(lv_time value)
{
    uint32_t power;
    uint32_t bucket;

    if (value < SUB_BUCKETS) {
        return (uint32_t)value;
    }
    power = 63 - (uint32_t)__builtin_clzll(value);
    bucket = (power - SUB_BITS + 1) * SUB_BUCKETS +
             (uint32_t)(value >> (power - SUB_BITS) & (SUB_BUCKETS - 1));
    return bucket < MET_BUCKETS ? bucket : MET_BUCKETS - 1;
}

/* Returns the largest value of a bucket. */
static lv_time
bucket_max(uint32_t bucket)
{
    uint32_t group = bucket / SUB_BUCKETS;
    uint64_t sub = bucket % SUB_BUCKETS;

    if (group == 0) {
        return bucket;
    }
    return ((SUB_BUCKETS + sub + 1) << (group - 1)) - 1;
}

void
met_histogram_add(met_histogram *histogram, lv_time value)
{
    histogram->counts[bucket_index(value)]++;
    histogram->count++;
    histogram->sum += value;
    if (value > histogram->max) {
        histogram->max = value;
    }
}

lv_time
met_histogram_quantile(const met_histogram *histogram, double fraction)
{
    double rank = fraction * (double)histogram->count;
    uint64_t cumulative = 0;

    for (uint32_t i = 0; i < MET_BUCKETS; i++) {
        cumulative += histogram->counts[i];
        if (cumulative > 0 && (double)cumulative >= rank) {
            lv_time upper = bucket_max(i);

            return upper < histogram->max && i < MET_BUCKETS - 1
                       ? upper
                       : histogram->max;
        }
    }
    return histogram->max;
}

void
met_histogram_merge(met_histogram *to, const met_histogram *from)
{
    for (uint32_t i = 0; i < MET_BUCKETS; i++) {
        to->counts[i] += from->counts[i];
    }
    to->count += from->count;
    to->sum += from->sum;
    if (from->max > to->max) {
        to->max = from->max;
    }
}

void
met_writer_init(met_writer *writer)
{
    memset(writer, 0, sizeof *writer);
}

void
met_writer_finish(met_writer *writer)
{
    free(writer->text);
    memset(writer, 0, sizeof *writer);
}

void
met_write_text(met_writer *writer, const char *text)
{
    size_t length = strlen(text);
    size_t capacity =
        writer->capacity == 0 ? INITIAL_CAPACITY : writer->capacity;
    char *new_text;

    while (writer->size + length + 1 > capacity) {
        capacity *= 2;
    }
    if (capacity != writer->capacity) {
        new_text = realloc(writer->text, capacity);
        if (new_text == NULL) {
            writer->has_failed = true;
            return;
        }
        writer->text = new_text;
        writer->capacity = capacity;
    }
    memcpy(writer->text + writer->size, text, length + 1);
    writer->size += length;
}

void
met_write_header(met_writer *writer, const char *name, const char *type,
                 const char *help)
{
    met_write_text(writer, "# HELP ");
    met_write_text(writer, name);
    met_write_text(writer, " ");
    met_write_text(writer, help);
    met_write_text(writer, "\n# TYPE ");
    met_write_text(writer, name);
    met_write_text(writer, " ");
    met_write_text(writer, type);
    met_write_text(writer, "\n");
}

/* Writes one sample; the suffix is appended to the name and last_label, when
 * it is not empty, to the labels. */
static void
write_sample(met_writer *writer, const char *name, const char *suffix,
             const char *labels, const char *last_label, double value)
{
    char number[40];
    bool has_both = labels[0] != '\0' && last_label[0] != '\0';

    met_write_text(writer, name);
    met_write_text(writer, suffix);
    if (labels[0] != '\0' || last_label[0] != '\0') {
        met_write_text(writer, "{");
        met_write_text(writer, labels);
        met_write_text(writer, has_both ? "," : "");
        met_write_text(writer, last_label);
        met_write_text(writer, "}");
    }
    snprintf(number, sizeof number, " %.17g\n", value);
    met_write_text(writer, number);
}

void
met_write_sample(met_writer *writer, const char *name, const char *labels,
                 double value)
{
    write_sample(writer, name, "", labels, "", value);
}

void
met_write_scalars(met_writer *writer, const met_scalar *values, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        met_write_header(writer, values[i].name, values[i].type,
                         values[i].help);
        met_write_sample(writer, values[i].name, "", values[i].value);
    }
}

void
met_write_histogram(met_writer *writer, const char *name, const char *labels,
                    const met_histogram *histogram)
{
    uint64_t cumulative = 0;
    char le_label[40];

    for (uint32_t i = 0; i < MET_BUCKETS - 1; i++) {
        cumulative += histogram->counts[i];
        if (i % SUB_BUCKETS == SUB_BUCKETS - 1) {
            snprintf(le_label, sizeof le_label, "le=\"%.9g\"",
                     (double)bucket_max(i) / MICROSECONDS_PER_SECOND);
            write_sample(writer, name, "_bucket", labels, le_label,
                         (double)cumulative);
        }
    }
    write_sample(writer, name, "_bucket", labels, "le=\"+Inf\"",
                 (double)histogram->count);
    write_sample(writer, name, "_sum", labels, "",
                 (double)histogram->sum / MICROSECONDS_PER_SECOND);
    write_sample(writer, name, "_count", labels, "", (double)histogram->count);
}

void
met_copy_label(char *to, size_t size, const char *name)
{
    char *cursor;

    lv_shorten_name(to, size, name);
    for (cursor = to; *cursor != '\0'; cursor++) {
        if (*cursor == '"' || *cursor == '\\' || *cursor == '\n') {
            *cursor = '_';
        }
    }
}
