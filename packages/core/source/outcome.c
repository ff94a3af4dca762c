#include "lavender/outcome.h"

typedef struct reason_text {
    const char *name;
    const char *message;
    const char *remedy;
    int status;
} reason_text;

static const reason_text reason_texts[OUT_REASON_COUNT] = {
    [OUT_REASON_NONE] = {"none", "the request ended", "nothing to do", 200},
    [OUT_REASON_BAD_REQUEST] = {"bad-request", "the request is malformed",
                                "correct the request and send it again", 400},
    [OUT_REASON_NO_KEY] = {"no-key", "the request names no client account",
                           "send 'Authorization: Bearer KEY'", 401},
    [OUT_REASON_UNKNOWN_KEY] = {"unknown-key",
                                "the key belongs to no client account",
                                "check the key with your operator", 401},
    [OUT_REASON_UNKNOWN_ROUTE] = {"unknown-route", "no pool serves this path",
                                  "use a path that the catalogue lists", 404},
    [OUT_REASON_UNKNOWN_CLASS] = {"unknown-class",
                                  "the account has no such class of work",
                                  "send a Lavender-Class that the catalogue "
                                  "lists for this account, or none",
                                  400},
    [OUT_REASON_UNKNOWN_MODEL] = {"unknown-model",
                                  "the catalogue has no such model",
                                  "name a model that the catalogue lists",
                                  404},
    [OUT_REASON_NOT_ENTITLED] = {"not-entitled",
                                 "the account has no entry for this work",
                                 "ask the operator for a catalogue entry",
                                 403},
    [OUT_REASON_BODY_TOO_LARGE] = {"body-too-large",
                                   "the body is over the account's limit",
                                   "send a smaller body", 413},
    [OUT_REASON_RATE] = {"rate", "the account's request rate is used up",
                         "wait for the time in Retry-After", 429},
    [OUT_REASON_WAITING_FULL] = {"waiting-full",
                                 "the account has too much work waiting",
                                 "wait for the time in Retry-After", 429},
    [OUT_REASON_DEADLINE] = {"deadline",
                             "the request waited for its whole deadline",
                             "send it again when there is less work", 503},
    [OUT_REASON_DRAINING] = {"draining", "this router is shutting down",
                             "send the request again: another router takes "
                             "it",
                             503},
    [OUT_REASON_NOT_READY] = {"not-ready",
                              "this router has no view of the fleet yet",
                              "send the request again shortly", 503},
    [OUT_REASON_NO_ENDPOINT] = {"no-endpoint", "the pool has no live endpoint",
                                "try again later, or tell the operator", 503},
    [OUT_REASON_MEMORY] = {"memory", "this router has no room for more work",
                           "wait for the time in Retry-After", 503},
    [OUT_REASON_TICKET_NEEDED] = {"ticket-needed", "this work needs a ticket",
                                  "POST /v1/tickets and send the ticket as "
                                  "Idempotency-Key",
                                  428},
    [OUT_REASON_TICKET_INVALID] = {"ticket-invalid",
                                   "the ticket is not one of this fleet for "
                                   "this account and request",
                                   "mint a ticket with POST /v1/tickets", 422},
    [OUT_REASON_TICKET_EXPIRED] = {"ticket-expired", "the ticket expired",
                                   "look up whether the work was done before "
                                   "you mint a new ticket",
                                   409},
    [OUT_REASON_TICKET_ELSEWHERE] = {"ticket-elsewhere",
                                     "the router that minted the ticket does "
                                     "not answer",
                                     "send it again, or look up whether the "
                                     "work was done",
                                     409},
    [OUT_REASON_TICKETS_FULL] = {"tickets-full",
                                 "this router remembers as many tickets as "
                                 "it may",
                                 "wait for the time in Retry-After", 429},
    [OUT_REASON_ENDPOINT_LOST] = {"endpoint-lost",
                                  "the endpoint was lost in the middle",
                                  "look up whether the work was done before "
                                  "you send it again",
                                  502},
    [OUT_REASON_ENDPOINT_FAILED] = {"endpoint-failed",
                                    "the endpoint's answer broke the "
                                    "protocol",
                                    "look up whether the work was done "
                                    "before you send it again",
                                    502},
    [OUT_REASON_RETRIES_SPENT] = {"retries-spent",
                                  "the retry budget is used up",
                                  "wait for the time in Retry-After", 503},
    [OUT_REASON_CALLER_GONE] = {"caller-gone", "the caller went away",
                                "nothing to do", 499},
};

static const reason_text *
get_reason_text(out_reason reason)
{
    if ((unsigned)reason >= OUT_REASON_COUNT) {
        return &reason_texts[OUT_REASON_NONE];
    }
    return &reason_texts[reason];
}

const char *
out_kind_name(out_kind kind)
{
    static const char *const names[] = {"done", "not-run", "incomplete",
                                        "unknown"};

    return (unsigned)kind <= OUT_UNKNOWN ? names[kind] : "unknown";
}

const char *
out_reason_name(out_reason reason)
{
    return get_reason_text(reason)->name;
}

const char *
out_reason_message(out_reason reason)
{
    return get_reason_text(reason)->message;
}

const char *
out_reason_remedy(out_reason reason)
{
    return get_reason_text(reason)->remedy;
}

int
out_reason_status(out_reason reason)
{
    return get_reason_text(reason)->status;
}
