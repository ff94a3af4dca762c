/*
 * Staleness of the endpoint lists that other instances have used. An instance
 * that cannot reach the store keeps serving with its last list, so the version
 * that began a stream there follows from an old state of the list.
 *
 * "Complete until" is the time up to which a list contains all changes. The
 * record keeps the minimum over all lists in use for each of the last
 * LAG_SLOTS seconds.
 */
#ifndef LAVENDER_LAG_H
#define LAVENDER_LAG_H

#include "lavender/types.h"

#define LAG_SLOTS 128
#define LAG_SLOT_TIME LV_SECOND

typedef struct lag_slot {
    uint64_t number;        /* since the clock's start; 0: unused */
    lv_time complete_until; /* minimum over the lists in use */
} lag_slot;

typedef struct lag_record {
    lag_slot slots[LAG_SLOTS]; /* by number */
} lag_record;

/* Records that an instance used a list between `from` and `now`. */
void lag_note(lag_record *record, lv_time complete_until, lv_time from,
              lv_time now);

/* Returns the minimum of complete_until over all lists used between `since`
 * and `now`; `now` if there are none. */
lv_time lag_find(const lag_record *record, lv_time since, lv_time now);

#endif
