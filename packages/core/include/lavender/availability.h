/*
 * What an endpoint has said of itself in its answers: that it is draining, or
 * that it takes no request from this instance for some time (a back-off). The
 * first holds for good, since another process at the same address is another
 * endpoint. After a back-off requests return a few at a time: the number that
 * may have started doubles with each step of the slow start.
 */
#ifndef LAVENDER_AVAILABILITY_H
#define LAVENDER_AVAILABILITY_H

#include "lavender/types.h"

/* From the end of a back-off until requests are not limited. */
#define AVL_SLOW_START (500 * LV_MILLISECOND)

/* Why an endpoint is sent no request now. */
typedef enum avl_reason {
    AVL_AVAILABLE,
    AVL_UNLISTED,      /* not published, or draining according to the list */
    AVL_LEAVING,       /* draining by its own word */
    AVL_BACKING_OFF,   /* until the time that it named */
    AVL_SLOW_STARTING, /* as many as may start now have started */
    AVL_LIMITED,       /* by the limit that it named (pace.h) */
    AVL_EVACUATED,     /* its zone is (evacuation.h) */
    AVL_COLD           /* by the rate of a cold endpoint (warmup.h) */
} avl_reason;

typedef struct avl_state {
    bool is_leaving;
    lv_time backoff_until; /* 0: no back-off, or its slow start is over */
    uint32_t returned;     /* requests started since then */
} avl_state;

void avl_init(avl_state *state);

/* Return whether the state changed; a shorter back-off than the current one
 * does not change it. */
bool avl_begin_leaving(avl_state *state);
bool avl_begin_backoff(avl_state *state, lv_time duration, lv_time now);

/* Ends a back-off whose slow start is over. Returns whether it did. */
bool avl_end_backoff(avl_state *state, lv_time now);

/* Returns why no request may be sent now. `free_at` is set to the time when
 * one may be: now if AVL_AVAILABLE, LV_TIME_NEVER if AVL_LEAVING. */
avl_reason avl_check(const avl_state *state, lv_time now, lv_time *free_at);

/* Counts a request that is sent now. */
void avl_count_start(avl_state *state, lv_time now);

/* Returns how many requests may start up to a time; UINT32_MAX: any number. */
uint32_t avl_places(const avl_state *state, lv_time until);

/* Returns the reason as a static string for logs and metrics. */
const char *avl_reason_text(avl_reason reason);

#endif
