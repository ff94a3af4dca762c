/*
 * Pacing of requests to an endpoint that names a limit: how many requests a
 * second it takes from all instances together. The endpoint's coordinator
 * counts the starts of the fleet and lets them begin one by one. An instance
 * that is told to wait passes the endpoint over until then.
 *
 * Tokens accrue at the limit and few are kept, so that a coordinator that
 * knows nothing of the last seconds, because it restarted or took over,
 * exceeds the limit by a few requests at most.
 *
 * The limit is what the endpoint said last to this instance. A coordinator
 * that does not hear from the endpoint believes two other instances that say
 * the same.
 */
#ifndef LAVENDER_PACE_H
#define LAVENDER_PACE_H

#include "lavender/types.h"

/* No limit: the endpoint named none in its latest answer. */
#define PACE_NO_LIMIT (-1.0)

typedef struct pace_state {
    double limit;        /* requests per second, or PACE_NO_LIMIT */
    lv_time heard_at;    /* the answer that the limit is from; 0: none yet */
    double reported;     /* another limit, said by one other instance */
    uint64_t reporter;   /* that instance; 0: none */
    lv_time reported_at; /* when it said so */
    double tokens;       /* requests that may start, at the time filled_at */
    lv_time filled_at;
    lv_time offered_at;   /* time named to the latest that was denied */
    lv_time closed_until; /* the coordinator lets none start until then */
} pace_state;

void pace_init(pace_state *state);

/* Records the limit in an answer to this instance. Returns whether it changed.
 */
bool pace_name(pace_state *state, double limit, lv_time now);

/* Records the limit in an answer that another instance got at a time. */
void pace_hear(pace_state *state, double limit, uint64_t reporter, lv_time at,
               lv_time now);

bool pace_is_limited(const pace_state *state);

/* Returns whether a request may start now, as far as this instance knows, and
 * when one may: now, or a later time. */
bool pace_check(const pace_state *state, lv_time now, lv_time *free_at);

/* Returns how many requests may start up to a time; UINT32_MAX: any number. */
uint32_t pace_places(const pace_state *state, lv_time until);

/* Counts a start of this instance. */
void pace_count_start(pace_state *state, lv_time now);

/* Decides on a start as the coordinator, at a part of the limit in percent:
 * less than 100 while another instance may be coordinating, too. Writes how
 * long to wait if it may not begin. */
bool pace_grant(pace_state *state, uint32_t percent, lv_time now,
                lv_time *wait);

/* Closes the endpoint to this instance, as its coordinator said. */
void pace_close(pace_state *state, lv_time wait, lv_time now);

#endif
