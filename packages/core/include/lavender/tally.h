/*
 * Labelled metric counters with a maximum number of series, whatever labels
 * callers and configurations bring. Counts that would need a further series go
 * to the series "other".
 */
#ifndef LAVENDER_TALLY_H
#define LAVENDER_TALLY_H

#include "lavender/map.h"
#include "lavender/metrics.h"

#define TAL_LABELS_SIZE 192

typedef struct tal_series {
    char labels[TAL_LABELS_SIZE]; /* in the format of met_write_sample */
    uint64_t count;
} tal_series;

typedef struct tal_counter {
    const char *name; /* of the metric */
    const char *help;
    uint32_t max_series; /* without "other" */
    tal_series *series;
    uint32_t series_count;
    uint64_t other_count;
    map_table by_labels;
} tal_counter;

/* Initializes an empty counter. `name` and `help` are not copied. */
void tal_init(tal_counter *counter, const char *name, const char *help,
              uint32_t max_series);
void tal_finish(tal_counter *counter);

/* Adds one to the series with these labels, or to "other" if the limit is
 * reached or there is no memory. A series whose labels have TAL_LABELS_SIZE or
 * more bytes is written without labels. */
void tal_increment(tal_counter *counter, const char *labels);

/* Adds `amount` in the same way. */
void tal_add(tal_counter *counter, const char *labels, uint64_t amount);

/* Writes all series of the counter. */
void tal_write(const tal_counter *counter, met_writer *writer);

#endif
