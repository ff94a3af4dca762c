#include "lavender/limits.h"

static uint64_t
bound_rate(uint64_t rate)
{
    return rate < LIM_RATE_MAX ? rate : LIM_RATE_MAX;
}

static int64_t
whole(uint32_t count)
{
    return (count < LIM_BURST_MAX ? count : LIM_BURST_MAX) *
           LIM_UNITS_PER_REQUEST;
}

static int64_t
bound_burst(uint32_t burst)
{
    return whole(burst > 0 ? burst : 1);
}

static void
add(lim_bucket *bucket, int64_t amount)
{
    int64_t room = bucket->burst - bucket->level;

    bucket->level += amount < room ? amount : room;
}

void
lim_init(lim_bucket *bucket, uint64_t rate, uint32_t burst, lv_time now)
{
    bucket->rate = bound_rate(rate);
    bucket->burst = bound_burst(burst);
    bucket->level = bucket->burst;
    bucket->at = now;
}

void
lim_configure(lim_bucket *bucket, uint64_t rate, uint32_t burst, lv_time now)
{
    lim_refill(bucket, now);
    bucket->rate = bound_rate(rate);
    bucket->burst = bound_burst(burst);
    add(bucket, 0);
}

void
lim_refill_reserving(lim_bucket *bucket, lv_time now, uint32_t taken)
{
    lv_time elapsed = lv_elapsed(now, bucket->at);
    int64_t room = bucket->burst - whole(taken) - bucket->level;

    if (elapsed == 0) {
        return;
    }
    bucket->at = now;
    if (room <= 0 || bucket->rate == 0) {
        return;
    }
    if (elapsed > (uint64_t)room / bucket->rate) {
        bucket->level += room;
        return;
    }
    bucket->level += (int64_t)(elapsed * bucket->rate);
}

void
lim_refill(lim_bucket *bucket, lv_time now)
{
    lim_refill_reserving(bucket, now, 0);
}

uint32_t
lim_available(const lim_bucket *bucket)
{
    if (bucket->level < LIM_UNITS_PER_REQUEST) {
        return 0;
    }
    return (uint32_t)(bucket->level / LIM_UNITS_PER_REQUEST);
}

bool
lim_consume(lim_bucket *bucket, uint32_t count)
{
    if (lim_available(bucket) < count) {
        return false;
    }
    bucket->level -= count * LIM_UNITS_PER_REQUEST;
    return true;
}

void
lim_charge(lim_bucket *bucket, uint32_t count)
{
    int64_t lowest = -bucket->burst;

    bucket->level -= whole(count);
    if (bucket->level < lowest) {
        bucket->level = lowest;
    }
}

void
lim_refund(lim_bucket *bucket, uint32_t count)
{
    add(bucket, whole(count));
}

lv_time
lim_time_until_available(const lim_bucket *bucket)
{
    if (bucket->level >= LIM_UNITS_PER_REQUEST) {
        return 0;
    }
    if (bucket->rate == 0) {
        return LV_TIME_NEVER;
    }
    return ((uint64_t)(LIM_UNITS_PER_REQUEST - bucket->level) + bucket->rate -
            1) /
           bucket->rate;
}
