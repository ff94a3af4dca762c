/*
 * Tickets make a non-idempotent request safe to send again: the process
 * that minted a ticket is the only one that may run its request, and
 * remembers the outcome until the ticket expires.
 *
 * A ticket is text: minter's id, incarnation, account, serial and lifetime,
 * with an HMAC-SHA-256 under the fleet's key. It is bound to one account and
 * to one process; a restarted process never honours an older one.
 */
#ifndef LAVENDER_TICKET_H
#define LAVENDER_TICKET_H

#include "lavender/error.h"
#include "lavender/map.h"
#include "lavender/outcome.h"
#include "lavender/types.h"

#define TKT_KEY_SIZE 32
#define TKT_TEXT_SIZE 160

typedef struct tkt_settings {
    uint8_t key[TKT_KEY_SIZE];
    lv_time lifetime;             /* of a ticket */
    uint32_t max_tickets;         /* remembered at one time */
    size_t max_total_answer_size; /* bytes of remembered answers in all */
    size_t max_answer_size;       /* bytes of one remembered answer */
} tkt_settings;

typedef enum tkt_state {
    TKT_UNUSED,
    TKT_RUNNING, /* a request under it is queued or sent */
    TKT_ENDED    /* its outcome is known */
} tkt_state;

typedef enum tkt_verdict {
    TKT_RUN,              /* first use: run it */
    TKT_JOIN,             /* it runs now: wait for its answer */
    TKT_REPLAY,           /* it ended: give the remembered answer */
    TKT_RELAY,            /* another live process minted it: relay to it */
    TKT_MINTER_RESTARTED, /* minted by a process that is gone: outcome unknown
                           */
    TKT_EXPIRED,
    TKT_INVALID, /* wrong signature, wrong account or not a ticket */
    TKT_MISMATCH /* the same ticket with another request body */
} tkt_verdict;

/* A remembered answer. body is owned by the store. */
typedef struct tkt_answer {
    out_outcome outcome;
    int status;
    char content_type[LV_NAME_SIZE];
    const char *body;
    size_t body_size;
    bool is_truncated; /* the answer was longer than is remembered */
} tkt_answer;

/* One minted ticket. Private. */
typedef struct tkt_record {
    tkt_state state;
    bool is_minted; /* false: the record is free */
    bool has_body_hash;
    uint64_t serial;
    lv_id account;
    uint64_t body_hash;
    lv_time expires;
    tkt_answer answer;
    uint32_t next; /* in order of expiry, or of free records */
    uint32_t previous;
} tkt_record;

/* All members are private. */
typedef struct tkt_store {
    tkt_settings settings;
    lv_id self;
    uint64_t incarnation;
    uint64_t next_serial;
    tkt_record *records; /* table of settings.max_tickets */
    uint32_t count;
    size_t answer_bytes;
    map_table record_by_serial; /* records by serial */
    map_table account_counts;   /* records of each account, counted */
    uint32_t first_free;
    uint32_t oldest; /* records in order of expiry */
    uint32_t newest;
} tkt_store;

bool tkt_init(tkt_store *store, const tkt_settings *settings, lv_id self,
              uint64_t incarnation, err_error *error);
void tkt_finish(tkt_store *store);

/* Mint a ticket for an account; false when the bound is reached (none is
 * forgotten early). Of the last quarter of the bound an account gets no more
 * tickets than are left, so that one account can not use up all. text has
 * TKT_TEXT_SIZE bytes. */
bool tkt_mint(tkt_store *store, lv_time now, lv_id account, char *text,
              err_error *error);

/* Judge a ticket's use. body_hash tells two different requests apart.
 * *handle is set for RUN, JOIN and REPLAY; *minter for ELSEWHERE and GONE
 * (the caller decides between the two by the membership: ELSEWHERE is
 * returned for any other instance). */
tkt_verdict tkt_redeem(tkt_store *store, lv_time now, const char *text,
                       lv_id account, uint64_t body_hash, lv_handle *handle,
                       lv_id *minter);

/* The request under a ticket was given up with no byte sent: the ticket is
 * unused again, and the same request may run under it. */
void tkt_release(tkt_store *store, lv_handle handle);

/* The request ended. The answer's body is copied; when it is over the bounds
 * the outcome alone is remembered and is_truncated set. An outcome of
 * OUT_NOT_RUN is the same as tkt_release. A ticket that expired meanwhile is
 * remembered until the next tkt_remove_expired, for those that joined. */
void tkt_complete(tkt_store *store, lv_time now, lv_handle handle,
                  const tkt_answer *answer);

/* The remembered answer of an ended ticket; valid until the next call. */
bool tkt_read_answer(const tkt_store *store, lv_handle handle,
                     tkt_answer *answer);

/* Forget what has expired. */
void tkt_remove_expired(tkt_store *store, lv_time now);

#endif
