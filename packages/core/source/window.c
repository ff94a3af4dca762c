#include "lavender/window.h"

#include <string.h>

static uint64_t
step_of(const win_shape *shape, lv_time now)
{
    return now / (shape->length / shape->steps);
}

/* Zero the steps that have begun since the window was last used. */
static void
slide(win_window *window, const win_shape *shape, lv_time now)
{
    uint64_t step = step_of(shape, now);
    uint64_t passed = step - window->step;

    if (passed > shape->steps) {
        memset(window->values, 0, sizeof window->values);
        window->step = step;
    }
    while (window->step < step) {
        window->step++;
        window->values[window->step % (shape->steps + 1)] = 0;
    }
}

void
win_add(win_window *window, const win_shape *shape, uint32_t amount,
        lv_time now)
{
    slide(window, shape, now);
    window->values[window->step % (shape->steps + 1)] += amount;
}

uint64_t
win_sum(win_window *window, const win_shape *shape, lv_time now)
{
    uint64_t total = 0;
    uint32_t i;

    slide(window, shape, now);
    for (i = 0; i <= shape->steps; i++) {
        total += window->values[i];
    }
    return total;
}
