/*
 * Token buckets for request rates, in integer arithmetic on lv_time.
 *
 * A bucket counts in billionths of a request, so that a rate in thousandths of
 * a request per second adds a whole number of units per microsecond. The level
 * may become negative when requests are admitted without a token; the refill
 * then covers this debt first.
 */
#ifndef LAVENDER_LIMITS_H
#define LAVENDER_LIMITS_H

#include "lavender/types.h"

/* Level units of one request. */
#define LIM_UNITS_PER_REQUEST INT64_C(1000000000)

/* Rate units of one request per second. */
#define LIM_ONE_PER_SECOND UINT64_C(1000)

/* Maximum rate, in rate units, and maximum burst, in requests. Greater values
 * are reduced to them. */
#define LIM_RATE_MAX (UINT64_C(1000000) * LIM_ONE_PER_SECOND)
#define LIM_BURST_MAX UINT32_C(1000000000)

typedef struct lim_bucket {
    int64_t level; /* billionths of a request; negative: debt */
    int64_t burst; /* maximum level */
    uint64_t rate; /* thousandths of a request per second */
    lv_time last_refill;
} lim_bucket;

/* Initialises a full bucket. rate is in thousandths of a request per second;
 * burst is in requests, 0 counts as 1. */
void lim_init(lim_bucket *bucket, uint64_t rate, uint32_t burst, lv_time now);

/* Refills the bucket and changes its rate and burst. The level is kept, up to
 * the new burst. */
void lim_configure(lim_bucket *bucket, uint64_t rate, uint32_t burst,
                   lv_time now);

/* Adds the tokens for the time since the last refill. */
void lim_refill(lim_bucket *bucket, lv_time now);

/* Refills like lim_refill, but limits level and reserved requests together to
 * the burst. Reserved requests were consumed and may still be put back with
 * lim_refund. */
void lim_refill_reserving(lim_bucket *bucket, lv_time now, uint32_t reserved);

/* Returns the number of whole requests in the bucket, as of the last
 * refill. */
uint32_t lim_available(const lim_bucket *bucket);

/* Removes count requests if they are available as of the last refill. Returns
 * whether it did. */
bool lim_consume(lim_bucket *bucket, uint32_t count);

/* Removes count requests, whether or not they are available. The debt is
 * limited to the burst. */
void lim_charge(lim_bucket *bucket, uint32_t count);

/* Puts back requests that were consumed and not used, up to the burst. */
void lim_refund(lim_bucket *bucket, uint32_t count);

/* Returns the time from the last refill until one request is available: 0 when
 * it is, LV_TIME_NEVER when the rate is 0. */
lv_time lim_time_until_available(const lim_bucket *bucket);

#endif
