/*
 * A sum over a sliding window, kept as the sums of its steps. All windows of
 * an owner share a shape, which the owner passes in.
 */
#ifndef LAVENDER_WINDOW_H
#define LAVENDER_WINDOW_H

#include "lavender/types.h"

#define WIN_STEPS_MAX 10

typedef struct win_shape {
    lv_time length;
    uint32_t steps; /* that it slides in, at most WIN_STEPS_MAX */
} win_shape;

/* All zeroes is an empty window. */
typedef struct win_window {
    uint32_t values[WIN_STEPS_MAX + 1]; /* one more: the step that leaves */
    uint64_t step; /* the step that the newest value belongs to */
} win_window;

void win_add(win_window *window, const win_shape *shape, uint32_t amount,
             lv_time now);
uint64_t win_sum(win_window *window, const win_shape *shape, lv_time now);

#endif
