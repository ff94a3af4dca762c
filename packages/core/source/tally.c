#include "lavender/tally.h"

#include <stdlib.h>
#include <string.h>

void
tal_init(tal_tally *tally, const char *name, const char *help, uint32_t most)
{
    memset(tally, 0, sizeof *tally);
    tally->name = name;
    tally->help = help;
    tally->most = most;
    map_init(&tally->by_labels);
}

void
tal_finish(tal_tally *tally)
{
    map_finish(&tally->by_labels);
    free(tally->rows);
}

static tal_row *
add_row(tal_tally *tally, lv_id id, const char *labels)
{
    tal_row *row;

    if (tally->rows == NULL) {
        tally->rows = calloc(tally->most, sizeof *tally->rows);
    }
    if (tally->rows == NULL || tally->count == tally->most ||
        !map_set(&tally->by_labels, id, tally->count)) {
        return NULL;
    }
    row = &tally->rows[tally->count++];
    lv_copy_name(row->labels, sizeof row->labels, labels);
    return row;
}

void
tal_count(tal_tally *tally, const char *labels)
{
    lv_id id = lv_hash_name(labels);
    uint32_t found = map_find(&tally->by_labels, id);
    tal_row *row = found != LV_HANDLE_NONE ? &tally->rows[found]
                                           : add_row(tally, id, labels);

    if (row != NULL) {
        row->count++;
    }
    else {
        tally->others++;
    }
}

void
tal_write(const tal_tally *tally, met_writer *writer)
{
    uint32_t i;

    met_write_head(writer, tally->name, "counter", tally->help);
    for (i = 0; i < tally->count; i++) {
        met_write_value(writer, tally->name, tally->rows[i].labels,
                        (double)tally->rows[i].count);
    }
    if (tally->others > 0) {
        met_write_value(writer, tally->name, "other=\"1\"",
                        (double)tally->others);
    }
}
