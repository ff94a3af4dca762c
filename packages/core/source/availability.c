#include "lavender/availability.h"

#include <string.h>

#define SLOW_START_STEP (50 * LV_MILLISECOND)

/* Requests in the first step. */
#define SLOW_START_REQUESTS 2u

void
avl_init(avl_state *state)
{
    memset(state, 0, sizeof *state);
}

bool
avl_begin_leaving(avl_state *state)
{
    bool has_changed = !state->is_leaving;

    state->is_leaving = true;
    return has_changed;
}

bool
avl_begin_backoff(avl_state *state, lv_time duration, lv_time now)
{
    if (duration == 0 || now + duration <= state->backoff_until) {
        return false;
    }
    state->backoff_until = now + duration;
    state->returned = 0;
    return true;
}

bool
avl_end_backoff(avl_state *state, lv_time now)
{
    if (state->backoff_until == 0 ||
        now < state->backoff_until + AVL_SLOW_START) {
        return false;
    }
    state->backoff_until = 0;
    return true;
}

uint32_t
avl_places(const avl_state *state, lv_time until)
{
    uint32_t started;

    if (state->is_leaving || until < state->backoff_until) {
        return 0;
    }
    if (state->backoff_until == 0 ||
        until >= state->backoff_until + AVL_SLOW_START) {
        return UINT32_MAX;
    }
    started = SLOW_START_REQUESTS
              << ((until - state->backoff_until) / SLOW_START_STEP);
    return started > state->returned ? started - state->returned : 0;
}

avl_reason
avl_check(const avl_state *state, lv_time now, lv_time *free_at)
{
    if (state->is_leaving) {
        *free_at = LV_TIME_NEVER;
        return AVL_LEAVING;
    }
    if (now < state->backoff_until) {
        *free_at = state->backoff_until;
        return AVL_BACKING_OFF;
    }
    *free_at = now;
    if (avl_places(state, now) > 0) {
        return AVL_AVAILABLE;
    }
    *free_at -= (now - state->backoff_until) % SLOW_START_STEP;
    do {
        *free_at += SLOW_START_STEP;
    } while (avl_places(state, *free_at) == 0);
    return AVL_SLOW_STARTING;
}

void
avl_count_start(avl_state *state, lv_time now)
{
    if (now >= state->backoff_until) {
        state->returned++;
    }
}

const char *
avl_reason_text(avl_reason reason)
{
    switch (reason) {
    case AVL_AVAILABLE:
        return "available";
    case AVL_UNLISTED:
        return "unlisted";
    case AVL_LEAVING:
        return "leaving";
    case AVL_BACKING_OFF:
        return "backing-off";
    case AVL_SLOW_STARTING:
        return "slow-start";
    case AVL_LIMITED:
        return "limited";
    case AVL_EVACUATED:
        return "evacuated";
    case AVL_COLD:
        return "cold";
    }
    return "";
}
