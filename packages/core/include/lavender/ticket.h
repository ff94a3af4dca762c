/*
 * Tickets make it safe to repeat a non-idempotent request. Only the process
 * that minted a ticket may run the request under it, and that process
 * remembers the outcome until the ticket expires.
 *
 * A ticket is a text with the minter's id and incarnation, the account, a
 * serial number and the lifetime, signed with HMAC-SHA-256 under the fleet's
 * key. It is valid for one account and one process: a restarted process does
 * not accept tickets of its earlier incarnations.
 */
#ifndef LAVENDER_TICKET_H
#define LAVENDER_TICKET_H

#include "lavender/error.h"
#include "lavender/map.h"
#include "lavender/outcome.h"
#include "lavender/types.h"

#define TKT_KEY_SIZE 32

/* Maximum size of a ticket's text, with the terminating zero. */
#define TKT_TEXT_SIZE 160

typedef struct tkt_settings {
    uint8_t key[TKT_KEY_SIZE];    /* the same on all instances of the fleet */
    lv_time lifetime;             /* of a ticket */
    uint32_t max_tickets;         /* remembered at the same time */
    size_t max_total_answer_size; /* bytes of the bodies of all answers */
    size_t max_answer_size;       /* bytes of the body of one answer */
} tkt_settings;

typedef enum tkt_state {
    TKT_UNUSED,
    TKT_RUNNING, /* its request is queued or was sent to an endpoint */
    TKT_ENDED    /* its outcome is known */
} tkt_state;

typedef enum tkt_verdict {
    TKT_RUN,    /* first use: run the request */
    TKT_JOIN,   /* the request runs: wait for its answer */
    TKT_REPLAY, /* the request ended: send the remembered answer */
    TKT_RELAY,  /* minted by another instance: relay the request to it */
    TKT_MINTER_RESTARTED, /* minted by an earlier incarnation of this instance:
                             the outcome is unknown */
    TKT_EXPIRED,
    TKT_INVALID, /* malformed, wrong signature or another account's */
    TKT_MISMATCH /* used before with another request */
} tkt_verdict;

/* The answer to a request. In a store, body is owned by the store. */
typedef struct tkt_answer {
    out_outcome outcome;
    int status; /* HTTP status */
    char content_type[LV_NAME_SIZE];
    const char *body;
    size_t body_size;
    bool is_truncated; /* the body was too long to be remembered */
} tkt_answer;

/* A minted ticket. All members are private. */
typedef struct tkt_record {
    tkt_state state;
    bool is_minted; /* false: the record is free */
    bool has_body_hash;
    uint64_t serial;
    lv_id account;
    uint64_t body_hash; /* of the request that used it first */
    lv_time expires;
    tkt_answer answer; /* when ended */
    uint32_t next;     /* by time of expiry; or the next free record */
    uint32_t previous;
} tkt_record;

/* All members are private. */
typedef struct tkt_store {
    tkt_settings settings;
    lv_id self;
    uint64_t incarnation;
    uint64_t next_serial;
    tkt_record *records; /* settings.max_tickets */
    uint32_t count;      /* minted records */
    size_t answer_bytes; /* bytes of the bodies of all answers */
    map_table record_by_serial;
    map_table account_counts; /* number of minted records by account */
    uint32_t free_record;     /* the first one */
    uint32_t oldest;          /* minted records by time of expiry */
    uint32_t newest;
} tkt_store;

/* Initialises a store of the tickets that this process mints. Returns false
 * and sets the error when the settings are out of range or memory is
 * exhausted. */
bool tkt_init(tkt_store *store, const tkt_settings *settings, lv_id self,
              uint64_t incarnation, err_error *error);
void tkt_finish(tkt_store *store);

/* Mints a ticket for an account and writes it to text, which has TKT_TEXT_SIZE
 * bytes. Returns false and sets the error when the maximum number of tickets
 * is reached; no ticket is removed before it expires. When a quarter of the
 * records or less is free, an account must have fewer tickets than records are
 * free, so that one account cannot take all. */
bool tkt_mint(tkt_store *store, lv_time now, lv_id account, char *text,
              err_error *error);

/* Checks a ticket that came with a request and returns what to do with the
 * request. body_hash identifies the request. For TKT_RUN, TKT_JOIN and
 * TKT_REPLAY *handle is set to the ticket's handle; for TKT_RELAY and
 * TKT_MINTER_RESTARTED *minter is set to the instance that minted the ticket.
 * TKT_RELAY is returned for any other instance; the caller checks in the
 * membership whether it is alive. */
tkt_verdict tkt_redeem(tkt_store *store, lv_time now, const char *text,
                       lv_id account, uint64_t body_hash, lv_handle *handle,
                       lv_id *minter);

/* Marks a running ticket as unused, so that the same request may run under it.
 * Call it when the request was abandoned before any byte was sent. */
void tkt_release(tkt_store *store, lv_handle handle);

/* Records the answer to the request of a running ticket and copies its body. A
 * body over the maximum sizes is not remembered; is_truncated is then set. An
 * outcome of OUT_NOT_RUN releases the ticket instead. A ticket that has
 * expired meanwhile stays until the next tkt_remove_expired, so that requests
 * that joined can read the answer. */
void tkt_complete(tkt_store *store, lv_time now, lv_handle handle,
                  const tkt_answer *answer);

/* Reads the remembered answer of a ticket. Returns false when the ticket has
 * not ended. The body is valid until the next call that changes the store. */
bool tkt_read_answer(const tkt_store *store, lv_handle handle,
                     tkt_answer *answer);

/* Removes expired tickets, except those whose request still runs. */
void tkt_remove_expired(tkt_store *store, lv_time now);

#endif
