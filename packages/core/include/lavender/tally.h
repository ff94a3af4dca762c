/*
 * Counts by labels, for metrics: a bounded number of series, whatever callers
 * and configurations bring. What finds no room is counted under "other".
 */
#ifndef LAVENDER_TALLY_H
#define LAVENDER_TALLY_H

#include "lavender/map.h"
#include "lavender/metrics.h"

#define TAL_LABELS_SIZE 192

typedef struct tal_row {
    char labels[TAL_LABELS_SIZE]; /* as in met_write_value */
    uint64_t count;
} tal_row;

typedef struct tal_tally {
    const char *name; /* of the metric */
    const char *help;
    uint32_t most; /* series, "other" not counted */
    tal_row *rows;
    uint32_t count;
    uint64_t others;
    map_map by_labels;
} tal_tally;

void tal_init(tal_tally *tally, const char *name, const char *help,
              uint32_t most);
void tal_finish(tal_tally *tally);

/* Count one; labels are cut to their size. */
void tal_count(tal_tally *tally, const char *labels);

/* All series of the counter. */
void tal_write(const tal_tally *tally, met_writer *writer);

#endif
