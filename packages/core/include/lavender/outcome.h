/*
 * The result of a request as reported to its caller: the outcome, the reason
 * with its message, remedy and HTTP status, and the delay before a retry.
 */
#ifndef LAVENDER_OUTCOME_H
#define LAVENDER_OUTCOME_H

#include "lavender/types.h"

/* The value of the Lavender-Outcome header. */
typedef enum out_kind {
    OUT_DONE,       /* "done": the whole response was delivered */
    OUT_NOT_RUN,    /* "not-run": no byte was sent to an endpoint */
    OUT_INCOMPLETE, /* "incomplete": truncated, marked as such */
    OUT_UNKNOWN     /* "unknown": may have run; not retried */
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
    OUT_REASON_NOT_READY, /* no catalogue or lists yet, or view stale */
    OUT_REASON_NO_ENDPOINT,
    OUT_REASON_MEMORY,
    OUT_REASON_TICKET_NEEDED,
    OUT_REASON_TICKET_INVALID,
    OUT_REASON_TICKET_EXPIRED,
    OUT_REASON_TICKET_ELSEWHERE, /* its minter is unreachable or restarted */
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
    lv_time retry_after; /* delay; 0: no Retry-After header */
} out_outcome;

/* Returns "done", "not-run", "incomplete" or "unknown". */
const char *out_kind_name(out_kind kind);

/* Returns the stable name of a reason, such as "waiting-full". This function
 * and those below treat a reason that is out of range as OUT_REASON_NONE. */
const char *out_reason_name(out_reason reason);

/* Returns one clause for the caller that says why the request ended. */
const char *out_reason_message(out_reason reason);

/* Returns one clause for the caller that says what to do. */
const char *out_reason_remedy(out_reason reason);

/* Returns the HTTP status to send when a request ends for this reason before
 * its response has started. */
int out_reason_status(out_reason reason);

#endif
