/*
 * Counts by labels, for metrics: a bounded number of series, whatever callers
 * and configurations bring. What finds no room is counted under "other".
 */
#ifndef LAVENDER_TALLY_H
#define LAVENDER_TALLY_H

#include "lavender/map.h"
#include "lavender/metrics.h"

#define TAL_LABELS_SIZE 192

typedef struct tal_series {
    char labels[TAL_LABELS_SIZE]; /* as in met_write_value */
    uint64_t count;
} tal_series;

typedef struct tal_counter {
    const char *name; /* of the metric */
    const char *help;
    uint32_t most; /* series, "other" not counted */
    tal_series *series;
    uint32_t series_count;
    uint64_t others;
    map_table by_labels;
} tal_counter;

void tal_init(tal_counter *tally, const char *name, const char *help,
              uint32_t most);
void tal_finish(tal_counter *tally);

/* Count one; labels are cut to their size. */
void tal_increment(tal_counter *tally, const char *labels);

/* All series of the counter. */
void tal_write(const tal_counter *tally, met_writer *writer);

#endif
