/*
 * What a caller is told about its request: the outcome, and for a refusal
 * its kind, remedy and the time to come back.
 */
#ifndef LAVENDER_OUTCOME_H
#define LAVENDER_OUTCOME_H

#include "lavender/types.h"

/* The value of the Lavender-Outcome header. */
typedef enum out_kind {
    OUT_DONE,       /* "done": the whole answer was delivered */
    OUT_NOT_RUN,    /* "not-run": no byte left this router to an endpoint */
    OUT_INCOMPLETE, /* "incomplete": the answer was cut and says so */
    OUT_UNKNOWN     /* "unknown": it may have run; it is not run again */
} out_kind;

typedef enum out_reason {
    OUT_REASON_NONE = 0,
    OUT_REASON_BAD_REQUEST,
    OUT_REASON_NO_KEY,
    OUT_REASON_UNKNOWN_KEY,
    OUT_REASON_UNKNOWN_ROUTE,
    OUT_REASON_UNKNOWN_CLASS,
    OUT_REASON_UNKNOWN_MODEL,
    OUT_REASON_NOT_ENTITLED, /* no catalogue entry for account and class */
    OUT_REASON_BODY_TOO_LARGE,
    OUT_REASON_RATE,
    OUT_REASON_WAITING_FULL,
    OUT_REASON_DEADLINE,
    OUT_REASON_DRAINING,
    OUT_REASON_NOT_READY, /* no catalogue yet, or a stale view */
    OUT_REASON_NO_ENDPOINT,
    OUT_REASON_MEMORY,
    OUT_REASON_TICKET_NEEDED,
    OUT_REASON_TICKET_INVALID,
    OUT_REASON_TICKET_EXPIRED,
    OUT_REASON_TICKET_ELSEWHERE, /* the minter can not be reached */
    OUT_REASON_TICKETS_FULL,
    OUT_REASON_ENDPOINT_LOST,
    OUT_REASON_ENDPOINT_FAILED,
    OUT_REASON_RETRIES_SPENT,
    OUT_REASON_CALLER_GONE,
    OUT_REASON_COUNT
} out_reason;

typedef struct out_outcome {
    out_kind kind;
    out_reason reason;
    lv_time retry_after; /* 0: no Retry-After header */
} out_outcome;

/* "done", "not-run", "incomplete" or "unknown". */
const char *out_kind_name(out_kind kind);

/* A stable word such as "waiting-full". */
const char *out_reason_name(out_reason reason);

/* One sentence for the caller: what happened. */
const char *out_reason_message(out_reason reason);

/* One sentence for the caller: what to do. */
const char *out_reason_remedy(out_reason reason);

/* The HTTP status for a request that ends with this before an answer. */
int out_reason_status(out_reason reason);

#endif
