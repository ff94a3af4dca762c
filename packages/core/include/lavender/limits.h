/*
 * Token buckets, in integer arithmetic on lv_time.
 *
 * A bucket holds billionths of a request, so that a rate in thousandths of
 * a request per second refills it exactly with each microsecond. It may be
 * charged below zero: what was admitted without it is paid back first.
 */
#ifndef LAVENDER_LIMITS_H
#define LAVENDER_LIMITS_H

#include "lavender/types.h"

/* One whole request, and one request per second, in a bucket's units. */
#define LIM_UNITS_PER_REQUEST INT64_C(1000000000)
#define LIM_ONE_PER_SECOND UINT64_C(1000)

/* The largest rate and burst that a bucket can hold. */
#define LIM_RATE_MAX (UINT64_C(1000000) * LIM_ONE_PER_SECOND)
#define LIM_BURST_MAX UINT32_C(1000000000)

typedef struct lim_bucket {
    int64_t level; /* billionths of a request */
    int64_t burst; /* largest level */
    uint64_t rate; /* thousandths of a request per second */
    lv_time at;    /* of the last refill */
} lim_bucket;

/* Start full. rate is in thousandths of a request per second; burst is in
 * requests, at least 1. */
void lim_init(lim_bucket *bucket, uint64_t rate, uint32_t burst, lv_time now);

/* Change rate and burst; what is in the bucket stays, up to the burst. */
void lim_configure(lim_bucket *bucket, uint64_t rate, uint32_t burst,
                   lv_time now);

/* Add what the time since the last refill brings. */
void lim_refill(lim_bucket *bucket, lv_time now);

/* The same, but leave room for requests that were taken and may still be
 * given back: they and the level stay within the burst together. */
void lim_refill_reserving(lim_bucket *bucket, lv_time now, uint32_t taken);

/* Whole requests in the bucket. */
uint32_t lim_available(const lim_bucket *bucket);

/* Take count requests if they are there. Refill first. */
bool lim_consume(lim_bucket *bucket, uint32_t count);

/* Take count requests whether they are there or not. */
void lim_charge(lim_bucket *bucket, uint32_t count);

/* Put back what was taken and not used. */
void lim_refund(lim_bucket *bucket, uint32_t count);

/* How long until one request can be taken; 0: now, LV_TIME_NEVER: never. */
lv_time lim_time_until_available(const lim_bucket *bucket);

#endif
