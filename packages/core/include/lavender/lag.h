/*
 * How far the lists of endpoints of other instances lagged behind the store
 * while they were in use. An instance that misses the store serves on with the
 * list that it has, so that what it began follows from an old state of the
 * list.
 *
 * A list is complete up to a time: all changes until then are in it. For each
 * second in which lists were in use the earliest of these times is kept, for
 * LAG_SLOTS seconds.
 */
#ifndef LAVENDER_LAG_H
#define LAVENDER_LAG_H

#include "lavender/types.h"

#define LAG_SLOTS 128
#define LAG_SLOT_TIME LV_SECOND

typedef struct lag_slot {
    uint64_t number;        /* since the clock's start; 0: unused */
    lv_time complete_until; /* the earliest of the lists in use */
} lag_slot;

typedef struct lag_record {
    lag_slot slots[LAG_SLOTS]; /* by number */
} lag_record;

/* Records that a list that was complete up to a time was in use from `from` to
 * `now`. */
void lag_note(lag_record *record, lv_time complete_until, lv_time from,
              lv_time now);

/* Returns up to when all lists were complete that have been in use since a
 * time, or `now` if none is known of. */
lv_time lag_find(const lag_record *record, lv_time since, lv_time now);

#endif
