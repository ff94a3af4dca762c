#include "lavender/tally.h"

#include <stdlib.h>
#include <string.h>

void
tal_init(tal_counter *counter, const char *name, const char *help,
         uint32_t max_series)
{
    memset(counter, 0, sizeof *counter);
    counter->name = name;
    counter->help = help;
    counter->max_series = max_series;
    map_init(&counter->by_labels);
}

void
tal_finish(tal_counter *counter)
{
    map_finish(&counter->by_labels);
    free(counter->series);
}

static tal_series *
add_series(tal_counter *counter, lv_id id, const char *labels)
{
    tal_series *series;

    if (counter->series == NULL) {
        counter->series = calloc(counter->max_series, sizeof *counter->series);
    }
    if (counter->series == NULL ||
        counter->series_count == counter->max_series ||
        !map_set(&counter->by_labels, id, counter->series_count)) {
        return NULL;
    }
    series = &counter->series[counter->series_count++];
    lv_copy_name(series->labels, sizeof series->labels, labels);
    return series;
}

void
tal_increment(tal_counter *counter, const char *labels)
{
    tal_add(counter, labels, 1);
}

void
tal_add(tal_counter *counter, const char *labels, uint64_t amount)
{
    lv_id id = lv_hash_name(labels);
    uint32_t found = map_find(&counter->by_labels, id);
    tal_series *series = found != LV_HANDLE_NONE
                             ? &counter->series[found]
                             : add_series(counter, id, labels);

    if (series != NULL) {
        series->count += amount;
    }
    else {
        counter->other_count += amount;
    }
}

void
tal_write(const tal_counter *counter, met_writer *writer)
{
    uint32_t i;

    met_write_header(writer, counter->name, "counter", counter->help);
    for (i = 0; i < counter->series_count; i++) {
        met_write_sample(writer, counter->name, counter->series[i].labels,
                         (double)counter->series[i].count);
    }
    if (counter->other_count > 0) {
        met_write_sample(writer, counter->name, "other=\"1\"",
                         (double)counter->other_count);
    }
}
