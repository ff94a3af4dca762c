#include "lavender/tally.h"

#include <stdlib.h>
#include <string.h>

void
tal_init(tal_counter *tally, const char *name, const char *help, uint32_t most)
{
    memset(tally, 0, sizeof *tally);
    tally->name = name;
    tally->help = help;
    tally->most = most;
    map_init(&tally->by_labels);
}

void
tal_finish(tal_counter *tally)
{
    map_finish(&tally->by_labels);
    free(tally->series);
}

static tal_series *
add_row(tal_counter *tally, lv_id id, const char *labels)
{
    tal_series *row;

    if (tally->series == NULL) {
        tally->series = calloc(tally->most, sizeof *tally->series);
    }
    if (tally->series == NULL || tally->series_count == tally->most ||
        !map_set(&tally->by_labels, id, tally->series_count)) {
        return NULL;
    }
    row = &tally->series[tally->series_count++];
    lv_copy_name(row->labels, sizeof row->labels, labels);
    return row;
}

void
tal_increment(tal_counter *tally, const char *labels)
{
    lv_id id = lv_hash_name(labels);
    uint32_t found = map_find(&tally->by_labels, id);
    tal_series *row = found != LV_HANDLE_NONE ? &tally->series[found]
                                              : add_row(tally, id, labels);

    if (row != NULL) {
        row->count++;
    }
    else {
        tally->others++;
    }
}

void
tal_write(const tal_counter *tally, met_writer *writer)
{
    uint32_t i;

    met_write_head(writer, tally->name, "counter", tally->help);
    for (i = 0; i < tally->series_count; i++) {
        met_write_value(writer, tally->name, tally->series[i].labels,
                        (double)tally->series[i].count);
    }
    if (tally->others > 0) {
        met_write_value(writer, tally->name, "other=\"1\"",
                        (double)tally->others);
    }
}
