#include "lavender/warmup.h"

/* Tokens are kept for this time, and three at least: fewer are lost while the
 * instances that were told to come back have no request yet. */
#define KEEP_TIME (50 * LV_MILLISECOND)
#define MIN_TOKENS_KEPT 3.0

/* Requests granted in this time may arrive together: a reply is waited for up
 * to 45 ms, twice, and a connection for 300 ms. */
#define ARRIVAL_SPREAD (400 * LV_MILLISECOND)

/* Those denied are not sent away for longer: the endpoint may turn warm. */
#define MAX_WAIT (2 * LV_SECOND)

/* Wait of those that ask an instance that does not grant: until the views of
 * the two agree. */
#define BLOCKED_WAIT (100 * LV_MILLISECOND)

/* A role that was not renewed for this long is no longer relied on: the
 * process was paused, and another instance may have taken over. */
#define ROLE_TIME (500 * LV_MILLISECOND)

/* An entry reaches all instances within this time of being written. One that
 * comes sooner after a failure may be older than that, and other instances may
 * not have read it yet. */
#define ENTRY_DELAY LV_SECOND

/* The full rate is granted if less than this part of the known instances is
 * missing, otherwise in proportion: two instances that each see three quarters
 * of the fleet, but not each other, then grant 1.5 times the rate. */
#define MISSING_PARTS 6

double
wrm_max_tokens(double rate, double overshoot, double slack)
{
    double wanted = rate * (double)KEEP_TIME / (double)LV_SECOND;
    double most = rate * (overshoot - 1) + slack -
                  rate * (double)ARRIVAL_SPREAD / (double)LV_SECOND;

    wanted = wanted > MIN_TOKENS_KEPT ? wanted : MIN_TOKENS_KEPT;
    most = most > 1 ? most : 1;
    return wanted < most ? wanted : most;
}

static lv_time
earlier(lv_time one, lv_time other)
{
    return one < other ? one : other;
}

static bool
may_be_cold(const wrm_state *state)
{
    return state->service.cold_time > 0 && state->service.rate > 0;
}

static void
clear_tokens(wrm_state *state, lv_time now)
{
    state->tokens = 0;
    state->filled_at = now;
    state->offered_at = 0;
}

/* Clears the tokens and the role if the endpoint was warm until now: what it
 * was sent since then was not counted. */
static void
begin_if_warm(wrm_state *state, lv_time left_before, lv_time now)
{
    if (left_before == 0 && wrm_left(state, now) > 0) {
        state->role = WRM_BLOCKED;
        state->role_at = 0;
        state->closed_until = 0;
        clear_tokens(state, now);
    }
}

void
wrm_set_service(wrm_state *state, const wrm_service *service, lv_time now)
{
    lv_time left_before = wrm_left(state, now);

    if (service->rate != state->service.rate) {
        clear_tokens(state, now);
    }
    state->service = *service;
    begin_if_warm(state, left_before, now);
}

static bool
is_newer(const wrm_state *state, const wrm_notice *notice, uint64_t started_at,
         uint64_t sequence)
{
    if (state->notice.word == WRM_WORD_NONE ||
        started_at != state->started_at) {
        return true;
    }
    if (sequence == 0 && state->sequence == 0) {
        return notice->word != state->notice.word ||
               notice->remaining != state->notice.remaining;
    }
    return sequence > state->sequence;
}

void
wrm_note_entry(wrm_state *state, const wrm_notice *notice, uint64_t started_at,
               uint64_t sequence, lv_time now)
{
    lv_time left_before = wrm_left(state, now);
    bool is_repeated_fault = notice->word != WRM_WORD_GIVEN &&
                             state->notice.word != WRM_WORD_GIVEN &&
                             state->notice.word != WRM_WORD_NONE &&
                             started_at == state->started_at;

    if (!is_newer(state, notice, started_at, sequence)) {
        return;
    }
    if (!is_repeated_fault) {
        state->noticed_at = now;
    }
    state->notice = *notice;
    state->started_at = started_at;
    state->sequence = sequence;
    state->heard_until = 0;
    state->reporter = 0;
    if (lv_elapsed(now, state->failed_at) >= ENTRY_DELAY) {
        state->failed_at = 0;
    }
    begin_if_warm(state, left_before, now);
}

void
wrm_note_answer(wrm_state *state, lv_time remaining, lv_time now)
{
    lv_time left_before = wrm_left(state, now);

    state->notice.word = WRM_WORD_GIVEN;
    state->notice.remaining = remaining;
    state->noticed_at = now;
    state->failed_at = 0;
    state->heard_until = 0;
    state->reporter = 0;
    begin_if_warm(state, left_before, now);
}

void
wrm_note_failure(wrm_state *state, lv_time now)
{
    lv_time left_before = wrm_left(state, now);

    if (may_be_cold(state)) {
        state->failed_at = now;
        state->returned_at = 0;
        begin_if_warm(state, left_before, now);
    }
}

void
wrm_note_return(wrm_state *state, lv_time now)
{
    if (state->failed_at != 0 && state->returned_at == 0) {
        state->returned_at = now;
    }
}

static bool
has_recent_entry(const wrm_state *state, lv_time now)
{
    return state->notice.word == WRM_WORD_GIVEN &&
           lv_elapsed(now, state->noticed_at) < ENTRY_DELAY;
}

void
wrm_hear(wrm_state *state, lv_time left, uint64_t reporter, bool is_only_one,
         lv_time now)
{
    lv_time until = now + earlier(left, state->service.cold_time);
    lv_time left_before = wrm_left(state, now);

    /* The others may have read the entry later, and hold it to be cold for
     * that much longer. */
    if (!may_be_cold(state) || left < ENTRY_DELAY ||
        has_recent_entry(state, now)) {
        return;
    }
    if (is_only_one) {
        state->heard_until = until;
    }
    else if (state->reporter != 0 && state->reporter != reporter &&
             state->reported_until > now) {
        state->heard_until = earlier(until, state->reported_until);
    }
    if (state->reporter != reporter || until > state->reported_until) {
        state->reporter = reporter;
        state->reported_until = until;
    }
    begin_if_warm(state, left_before, now);
}

void
wrm_hear_coordinator(wrm_state *state, lv_time left, lv_time now)
{
    lv_time left_before = wrm_left(state, now);

    if (may_be_cold(state) && left > 0) {
        state->heard_until = now + earlier(left, state->service.cold_time);
        begin_if_warm(state, left_before, now);
    }
}

static lv_time
noticed_until(const wrm_state *state)
{
    switch (state->notice.word) {
    case WRM_WORD_NONE:
        return 0;
    case WRM_WORD_GIVEN:
        return state->noticed_at +
               earlier(state->notice.remaining, state->service.cold_time);
    case WRM_WORD_MISSING:
    case WRM_WORD_INVALID:
        break;
    }
    return state->noticed_at + state->service.cold_time;
}

static lv_time
failed_until(const wrm_state *state, lv_time now)
{
    lv_time returned_at = state->returned_at != 0 ? state->returned_at : now;

    return state->failed_at != 0 ? returned_at + state->service.cold_time : 0;
}

lv_time
wrm_own_left(const wrm_state *state, lv_time now)
{
    lv_time noticed, failed;

    if (!may_be_cold(state)) {
        return 0;
    }
    noticed = noticed_until(state);
    failed = failed_until(state, now);
    return lv_elapsed(noticed > failed ? noticed : failed, now);
}

lv_time
wrm_left(const wrm_state *state, lv_time now)
{
    lv_time own = wrm_own_left(state, now);
    lv_time heard =
        may_be_cold(state) ? lv_elapsed(state->heard_until, now) : 0;

    return own > heard ? own : heard;
}

wrm_source
wrm_find_source(const wrm_state *state, lv_time now)
{
    if (wrm_left(state, now) == 0) {
        return WRM_SOURCE_NONE;
    }
    if (noticed_until(state) > now) {
        return state->notice.word == WRM_WORD_GIVEN     ? WRM_SOURCE_ENTRY
               : state->notice.word == WRM_WORD_MISSING ? WRM_SOURCE_MISSING
                                                        : WRM_SOURCE_INVALID;
    }
    return failed_until(state, now) > now ? WRM_SOURCE_FAILURE
                                          : WRM_SOURCE_PEER;
}

bool
wrm_note_change(wrm_state *state, lv_time now)
{
    wrm_source source = wrm_find_source(state, now);
    bool has_changed = source != state->logged;

    state->logged = source;
    return has_changed;
}

static uint32_t
granted_percent(const wrm_view *view)
{
    uint32_t known = view->known > view->live ? view->known : view->live;
    uint32_t fleet = known > view->max_instances ? known : view->max_instances;

    if (view->had_coordinator || view->joined_for < WRM_JOIN_TIME ||
        view->live * 2 <= fleet) {
        return 0;
    }
    return (known - view->live) * MISSING_PARTS < known
               ? 100
               : view->live * 100 / known;
}

static double
rate(const wrm_state *state)
{
    return state->service.rate * state->percent / 100;
}

static double
tokens_at(const wrm_state *state, lv_time now)
{
    double tokens = state->tokens +
                    rate(state) * (double)lv_elapsed(now, state->filled_at) /
                        (double)LV_SECOND;

    return tokens < state->service.tokens_max ? tokens
                                              : state->service.tokens_max;
}

static lv_time
time_of_tokens(const wrm_state *state, double tokens)
{
    return (lv_time)(tokens / rate(state) * (double)LV_SECOND);
}

static void
refill(wrm_state *state, lv_time now)
{
    state->tokens = tokens_at(state, now);
    state->filled_at = now;
}

void
wrm_set_view(wrm_state *state, const wrm_view *view, lv_time now)
{
    uint32_t percent = view->has_coordinator ? 0 : granted_percent(view);
    wrm_role role = view->has_coordinator ? WRM_ASKS
                    : percent > 0         ? WRM_COORDINATES
                                          : WRM_BLOCKED;
    bool is_kept = role == WRM_COORDINATES && state->role == role &&
                   lv_elapsed(now, state->role_at) < ROLE_TIME;

    if (is_kept) {
        refill(state, now); /* at the rate so far */
    }
    else {
        clear_tokens(state, now);
    }
    state->role = role;
    state->role_at = now;
    state->percent = percent;
}

bool
wrm_check(const wrm_state *state, lv_time now, lv_time *free_at)
{
    lv_time left = wrm_left(state, now);
    double tokens;

    *free_at = now;
    if (left == 0) {
        return true;
    }
    if (now < state->closed_until) {
        *free_at = state->closed_until;
        return false;
    }
    if (state->role == WRM_ASKS) {
        return true;
    }
    if (state->role == WRM_BLOCKED) {
        *free_at = now + earlier(left, LV_SECOND);
        return false;
    }
    tokens = tokens_at(state, now);
    if (tokens >= 1) {
        return true;
    }
    *free_at = now + time_of_tokens(state, 1 - tokens) + 1;
    return false;
}

uint32_t
wrm_places(const wrm_state *state, lv_time until)
{
    double tokens;

    if (wrm_left(state, until) == 0) {
        return UINT32_MAX;
    }
    if (state->role == WRM_ASKS) {
        return until >= state->closed_until;
    }
    if (state->role == WRM_BLOCKED) {
        return 0;
    }
    tokens = tokens_at(state, until);
    return tokens > 0 ? (uint32_t)tokens : 0;
}

void
wrm_count_start(wrm_state *state, lv_time now)
{
    if (state->role == WRM_COORDINATES && wrm_left(state, now) > 0) {
        refill(state, now);
        state->tokens -= 1;
    }
}

/* Returns when to come back: those that were denied come one after the other.
 */
static lv_time
offer(wrm_state *state, lv_time now)
{
    lv_time next = now + time_of_tokens(state, 1 - state->tokens) + 1;
    lv_time after = state->offered_at + time_of_tokens(state, 1);

    state->offered_at = state->offered_at > now && after > next ? after : next;
    state->offered_at = earlier(state->offered_at, now + MAX_WAIT);
    return state->offered_at - now;
}

static bool
was_granted(const wrm_state *state, uint64_t key)
{
    uint32_t i;

    for (i = 0; i < WRM_GRANTS_KEPT; i++) {
        if (state->granted[i] == key) {
            return true;
        }
    }
    return false;
}

bool
wrm_grant(wrm_state *state, uint64_t key, lv_time now, lv_time *wait)
{
    *wait = 0;
    if (wrm_left(state, now) == 0) {
        return true;
    }
    if (state->role != WRM_COORDINATES) {
        *wait = BLOCKED_WAIT;
        return false;
    }
    if (was_granted(state, key)) {
        return true;
    }
    refill(state, now);
    if (state->tokens < 1) {
        *wait = offer(state, now);
        return false;
    }
    state->tokens -= 1;
    state->granted[state->granted_count++ % WRM_GRANTS_KEPT] = key;
    return true;
}

void
wrm_return_grant(wrm_state *state)
{
    state->tokens += 1;
    state->granted[--state->granted_count % WRM_GRANTS_KEPT] = 0;
}

void
wrm_close(wrm_state *state, lv_time wait, lv_time now)
{
    if (now + wait > state->closed_until) {
        state->closed_until = now + wait;
    }
}

const char *
wrm_source_text(wrm_source source)
{
    switch (source) {
    case WRM_SOURCE_NONE:
        return "none";
    case WRM_SOURCE_ENTRY:
        return "entry";
    case WRM_SOURCE_MISSING:
        return "entry-without-time";
    case WRM_SOURCE_INVALID:
        return "entry-not-valid";
    case WRM_SOURCE_FAILURE:
        return "failure";
    case WRM_SOURCE_PEER:
        return "peer";
    }
    return "";
}
