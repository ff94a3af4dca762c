/*
 * Detects that a process gets too little CPU time for its load, by how late
 * the timer of its loop is, and tells which new requests to shed then.
 *
 * A single late tick is a pause of the process, which is over; several in a
 * row are more work than there is time for. An overloaded instance should
 * leave the rotation, so that its callers are sent to other instances.
 */
#ifndef LAVENDER_OVERLOAD_H
#define LAVENDER_OVERLOAD_H

#include "lavender/types.h"

typedef struct ovl_detector {
    lv_time period;      /* of the timer */
    lv_time ticked_at;   /* latest tick; 0: none */
    lv_time late_at;     /* latest tick that was far too late */
    uint32_t late_ticks; /* consecutive ones */
    bool is_overloaded;
} ovl_detector;

void ovl_init(ovl_detector *detector, lv_time period);

/* Records a tick of the timer. Returns by how much it is late. */
lv_time ovl_record_tick(ovl_detector *detector, lv_time now);

/* Is the latest tick so late that what the process knows of others is out of
 * date? */
bool ovl_is_late(const ovl_detector *detector);

/* Returns whether a new request is to be refused at once. `share` is what its
 * account was served, as in adm_request; `draw` is a random number. Accounts
 * with little of their share lose fewer, since their callers may know no other
 * instance. */
bool ovl_should_shed(const ovl_detector *detector, double share,
                     uint64_t draw);

#endif
