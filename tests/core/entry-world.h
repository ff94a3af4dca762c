/*
 * An entry on virtual time with a host that records what it is asked to do,
 * and a test that plays the dispatchers.
 */
#ifndef TESTS_ENTRY_WORLD_H
#define TESTS_ENTRY_WORLD_H

#include "lavender/entry.h"

#define EW_EVENTS_MAX 4096
#define EW_TTL LV_SECOND

typedef struct ew_report {
    lv_id to;
    msg_message message; /* arrays are copies below */
    msg_demand demands[16];
    msg_lease held[64];
    uint64_t released[64];
    msg_service services[16];
} ew_report;

typedef struct ew_finish {
    lv_handle request;
    out_outcome outcome;
} ew_finish;

typedef struct ew_world {
    lv_host host; /* must be first */
    entry_state entry;
    ledger_store ledger;
    cat_catalogue catalogue;
    lists_snapshot lists;
    lv_time now;
    uint64_t next_lease;
    uint64_t next_request;
    uint64_t sequence;
    lv_time full_sent[2][2]; /* last full reports for eng and svc, by shard */
    bool was_claim[2];       /* were they claims? */
    uint32_t rated_told;     /* full reports with demand of account "rated" */
    uint32_t report_count;
    ew_report report; /* the last one */
    uint32_t attempt_count;
    lv_attempt attempts[EW_EVENTS_MAX];
    uint32_t cancel_count;
    uint32_t finish_count;
    ew_finish finishes[EW_EVENTS_MAX];
    uint32_t decisions[LV_DECIDE_ORDER + 1];
} ew_world;

/* An assertion for helper functions: it is one call. */
void ew_check(bool holds, const char *what);

/* Pools "eng" (engines e1, e2, two slots each) and "svc" (services s1, s2);
 * routes /chat, /once (both eng), /look and /book (both svc; /once and /book
 * are not idempotent). Accounts: see the catalogue in the source. */
void ew_init(ew_world *world, const entry_settings *settings);
void ew_finish_world(ew_world *world);

/* Parse a catalogue or lists and put them in force. */
void ew_set_catalogue(ew_world *world, const char *text);
void ew_restore_catalogue(ew_world *world);
void ew_set_lists(ew_world *world, const char *text);

lv_id ew_id(const char *name);

/* Submit for an account's class; returns the handle, or LV_HANDLE_NONE with
 * *refusal set. */
lv_handle ew_submit(ew_world *world, const char *account,
                    const char *class_name, const char *path,
                    out_outcome *refusal);

/* Play the dispatcher of shard 0 of a pool: grant one lease (account NULL:
 * any), with the echo of the entry's last full report. Returns its number. */
uint64_t ew_grant_shard(ew_world *world, const char *pool, uint32_t shard,
                        const char *endpoint, const char *account);
uint64_t ew_grant(ew_world *world, const char *pool, const char *endpoint,
                  const char *account);

/* A GRANT without leases. */
msg_message ew_message(ew_world *world, const char *pool);
bool ew_take(ew_world *world, const msg_message *message);

/* Let time pass, calling entry_tick whenever it is due. */
void ew_run(ew_world *world, lv_time length);

/* The last attempt's number and handle; may_send, then end it. */
const lv_attempt *ew_last_attempt(const ew_world *world);
bool ew_send_last(ew_world *world);
void ew_end_last(ew_world *world, entry_result end);

const ew_finish *ew_last_finish(const ew_world *world);
entry_counts ew_counts(const ew_world *world);

#endif
