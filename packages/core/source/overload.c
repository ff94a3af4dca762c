#include "lavender/overload.h"

#include <string.h>

/* A tick this long after the previous one is far too late: it is half of the
 * shortest latency targets. */
#define LATE_TICK_INTERVAL (100 * LV_MILLISECOND)

/* Consecutive late ticks after which requests are shed, and after which the
 * process counts as overloaded; it does until this long after the last one. */
#define SHED_LATE_TICKS 2
#define OVERLOAD_LATE_TICKS 3
#define OVERLOAD_END_TIME (1500 * LV_MILLISECOND)

/* Percentages of new requests that are shed. The default applies without an
 * account and while no account is short of its share. */
#define SHED_DEFAULT_PERCENT 50
#define LOW_SHARE 0.75
#define SHED_LOW_SHARE_PERCENT 25
#define SHED_HIGH_SHARE_PERCENT 75

void
ovl_init(ovl_detector *detector, lv_time period)
{
    memset(detector, 0, sizeof *detector);
    detector->period = period;
}

lv_time
ovl_record_tick(ovl_detector *detector, lv_time now)
{
    lv_time elapsed = detector->ticked_at != 0
                          ? lv_elapsed(now, detector->ticked_at)
                          : detector->period;

    detector->ticked_at = now;
    if (elapsed < LATE_TICK_INTERVAL) {
        detector->late_ticks = 0;
    }
    else {
        detector->late_ticks++;
        detector->late_at = now;
    }
    if (detector->late_ticks >= OVERLOAD_LATE_TICKS) {
        detector->is_overloaded = true;
    }
    else if (lv_elapsed(now, detector->late_at) >= OVERLOAD_END_TIME) {
        detector->is_overloaded = false;
    }
    return lv_elapsed(elapsed, detector->period);
}

bool
ovl_is_late(const ovl_detector *detector)
{
    return detector->late_ticks > 0;
}

bool
ovl_should_shed(const ovl_detector *detector, double share, uint64_t draw)
{
    uint32_t percent = SHED_DEFAULT_PERCENT;

    if (share > 0) {
        percent = share < LOW_SHARE ? SHED_LOW_SHARE_PERCENT
                                    : SHED_HIGH_SHARE_PERCENT;
    }
    return detector->late_ticks >= SHED_LATE_TICKS && draw % 100 < percent;
}
