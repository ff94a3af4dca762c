#include "lavender/window.h"

#include <string.h>

static uint64_t
bucket_at(const win_shape *shape, lv_time now)
{
    return now / (shape->length / shape->bucket_count);
}

/* Clears the buckets that have begun since the window was last used. */
static void
advance(win_window *window, const win_shape *shape, lv_time now)
{
    uint64_t newest = bucket_at(shape, now);
    uint64_t elapsed = newest - window->newest;

    if (elapsed > shape->bucket_count) {
        memset(window->sums, 0, sizeof window->sums);
        window->newest = newest;
    }
    while (window->newest < newest) {
        window->newest++;
        window->sums[window->newest % (shape->bucket_count + 1)] = 0;
    }
}

void
win_add(win_window *window, const win_shape *shape, int32_t amount,
        lv_time now)
{
    advance(window, shape, now);
    window->sums[window->newest % (shape->bucket_count + 1)] += amount;
}

uint64_t
win_sum(win_window *window, const win_shape *shape, lv_time now)
{
    int64_t total = 0;
    uint32_t i;

    advance(window, shape, now);
    for (i = 0; i <= shape->bucket_count; i++) {
        total += window->sums[i];
    }
    return total > 0 ? (uint64_t)total : 0;
}
