/*
 * A sum over a sliding time window, kept as sums of equal time buckets. All
 * windows of one owner have the same shape, which the owner passes to each
 * call.
 */
#ifndef LAVENDER_WINDOW_H
#define LAVENDER_WINDOW_H

#include "lavender/types.h"

#define WIN_BUCKETS_MAX 10

typedef struct win_shape {
    lv_time length;
    uint32_t bucket_count; /* buckets in `length`, at most WIN_BUCKETS_MAX */
} win_shape;

/* A window with all fields zero is empty. */
typedef struct win_window {
    int32_t sums[WIN_BUCKETS_MAX + 1]; /* a ring; the extra bucket is the one
                                          that is partly out of the window */
    uint64_t newest; /* number of the newest bucket, counted from time 0 */
} win_window;

/* Adds an amount to the newest bucket; a negative one takes back what an
 * earlier call added. */
void win_add(win_window *window, const win_shape *shape, int32_t amount,
             lv_time now);

/* Returns the sum of the window and of the bucket that is partly out of it, or
 * 0 when more was taken back than added in that time. */
uint64_t win_sum(win_window *window, const win_shape *shape, lv_time now);

#endif
