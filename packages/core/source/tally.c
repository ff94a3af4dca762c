#include "lavender/tally.h"

#include <stdlib.h>
#include <string.h>

void
tal_init(tal_tally *counter, const char *name, const char *help,
         uint32_t max_series)
{
    memset(counter, 0, sizeof *counter);
    counter->name = name;
    counter->help = help;
    counter->max_series = max_series;
    map_init(&counter->by_labels);
}

void
tal_finish(tal_tally *counter)
{
    map_finish(&counter->by_labels);
    free(counter->rows);
}

static tal_row *
add_series(tal_tally *counter, lv_id id, const char *labels)
{
    tal_row *series;

    if (counter->rows == NULL) {
        counter->rows = calloc(counter->max_series, sizeof *counter->rows);
    }
    if (counter->rows == NULL || counter->count == counter->max_series ||
        !map_set(&counter->by_labels, id, counter->count)) {
        return NULL;
    }
    series = &counter->rows[counter->count++];
    lv_copy_name(series->labels, sizeof series->labels, labels);
    return series;
}

void
tal_count(tal_tally *counter, const char *labels)
{
    lv_id id = lv_hash_name(labels);
    uint32_t found = map_find(&counter->by_labels, id);
    tal_row *series = found != LV_HANDLE_NONE
                          ? &counter->rows[found]
                          : add_series(counter, id, labels);

    if (series != NULL) {
        series->count++;
    }
    else {
        counter->other_count++;
    }
}

void
tal_write(const tal_tally *counter, met_writer *writer)
{
    uint32_t i;

    met_write_head(writer, counter->name, "counter", counter->help);
    for (i = 0; i < counter->count; i++) {
        met_write_value(writer, counter->name, counter->rows[i].labels,
                        (double)counter->rows[i].count);
    }
    if (counter->other_count > 0) {
        met_write_value(writer, counter->name, "other=\"1\"",
                        (double)counter->other_count);
    }
}
