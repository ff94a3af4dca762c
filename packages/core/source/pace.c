#include "lavender/pace.h"

#include <string.h>

/* Tokens are kept for this time, and one at least. */
#define BURST_TIME (500 * LV_MILLISECOND)

/* With a limit of 0 a request is sent from time to time: only an answer tells
 * that there is no limit any more. */
#define MIN_RATE 0.1

/* Another instance must say the same within this time. */
#define REPORT_TIME (10 * LV_SECOND)

/* Those denied are not sent away for longer: the limit may rise. */
#define MAX_WAIT (2 * LV_SECOND)

void
pace_init(pace_state *state)
{
    memset(state, 0, sizeof *state);
    state->limit = PACE_NO_LIMIT;
}

bool
pace_is_limited(const pace_state *state)
{
    return state->limit >= 0;
}

static double
rate(const pace_state *state)
{
    return state->limit > MIN_RATE ? state->limit : MIN_RATE;
}

static double
tokens_at(const pace_state *state, lv_time now)
{
    double most = rate(state) * (double)BURST_TIME / (double)LV_SECOND;
    double tokens = state->tokens +
                    rate(state) * (double)lv_elapsed(now, state->filled_at) /
                        (double)LV_SECOND;

    most = most > 1 ? most : 1;
    return tokens < most ? tokens : most;
}

static lv_time
time_of_tokens(const pace_state *state, double tokens)
{
    return (lv_time)(tokens / rate(state) * (double)LV_SECOND);
}

static void
refill(pace_state *state, lv_time now)
{
    state->tokens = tokens_at(state, now);
    state->filled_at = now;
}

static void
set_limit(pace_state *state, double limit, lv_time now)
{
    if (pace_is_limited(state)) {
        refill(state, now); /* at the rate so far */
    }
    else {
        state->tokens = 0;
        state->filled_at = now;
    }
    state->limit = limit;
    state->offered_at = 0;
    state->closed_until = 0;
}

bool
pace_name(pace_state *state, double limit, lv_time now)
{
    bool has_changed = limit != state->limit;

    state->heard_at = now;
    state->reporter = 0;
    if (has_changed) {
        set_limit(state, limit, now);
    }
    return has_changed;
}

void
pace_hear(pace_state *state, double limit, uint64_t reporter, lv_time at,
          lv_time now)
{
    if (at <= state->heard_at) {
        return;
    }
    if (limit == state->limit) {
        state->reporter = 0;
        return;
    }
    if (state->reporter != 0 && state->reporter != reporter &&
        state->reported == limit &&
        lv_elapsed(now, state->reported_at) <= REPORT_TIME) {
        state->heard_at = at;
        state->reporter = 0;
        set_limit(state, limit, now);
        return;
    }
    state->reporter = reporter;
    state->reported = limit;
    state->reported_at = now;
}

bool
pace_check(const pace_state *state, lv_time now, lv_time *free_at)
{
    double tokens;

    *free_at = now;
    if (now < state->closed_until) {
        *free_at = state->closed_until;
        return false;
    }
    if (!pace_is_limited(state)) {
        return true;
    }
    tokens = tokens_at(state, now);
    if (tokens >= 1) {
        return true;
    }
    *free_at = now + time_of_tokens(state, 1 - tokens) + 1;
    return false;
}

uint32_t
pace_places(const pace_state *state, lv_time until)
{
    double tokens;

    if (until < state->closed_until) {
        return 0;
    }
    if (state->closed_until != 0 && !pace_is_limited(state)) {
        return 1;
    }
    if (!pace_is_limited(state)) {
        return UINT32_MAX;
    }
    tokens = tokens_at(state, until);
    return tokens > 0 ? (uint32_t)tokens : 0;
}

void
pace_count_start(pace_state *state, lv_time now)
{
    if (pace_is_limited(state)) {
        refill(state, now);
        state->tokens -= 1;
    }
}

/* Returns when to come back: those that were denied come one after the other.
 */
static lv_time
offer(pace_state *state, lv_time now)
{
    lv_time next = now + time_of_tokens(state, 1 - state->tokens) + 1;
    lv_time after = state->offered_at + time_of_tokens(state, 1);

    state->offered_at = state->offered_at > now && after > next ? after : next;
    if (state->offered_at > now + MAX_WAIT) {
        state->offered_at = now + MAX_WAIT;
    }
    return state->offered_at - now;
}

bool
pace_grant(pace_state *state, uint32_t percent, lv_time now, lv_time *wait)
{
    *wait = 0;
    if (!pace_is_limited(state)) {
        return true;
    }
    refill(state, now);
    if (state->tokens < 1) {
        *wait = offer(state, now);
        return false;
    }
    state->tokens -= 100.0 / percent;
    return true;
}

void
pace_close(pace_state *state, lv_time wait, lv_time now)
{
    if (now + wait > state->closed_until) {
        state->closed_until = now + wait;
    }
}
