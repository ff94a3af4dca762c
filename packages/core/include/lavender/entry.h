/*
 * The entry role: the life of each request that arrived at this instance,
 * from admission over its attempts to its one final outcome.
 *
 * A request waits in a queue per (pool, account, priority) until a lease
 * for its pool and account is free, is sent as an attempt, and is retried
 * only where that is safe. The entry tells the dispatchers what waits and
 * what was used (entry_make_report) and takes their grants.
 */
#ifndef LAVENDER_ENTRY_H
#define LAVENDER_ENTRY_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/ledger.h"
#include "lavender/ticket.h"
#include "lavender/world.h"

/* How the choices are made; the last two are baselines to measure against. */
typedef enum entry_mode {
    ENTRY_MODE_LEASES,     /* slots leased by dispatchers (the product) */
    ENTRY_MODE_LOCAL_FAIR, /* per-router fair queue, no coordination */
    ENTRY_MODE_LOCAL_FIFO  /* per-router first come, first served */
} entry_mode;

typedef struct entry_settings {
    entry_mode mode;
    uint32_t max_requests;  /* accepted at one time, in all */
    uint32_t max_attempts;  /* for one idempotent request */
    uint32_t retry_percent; /* of recent successes: the retry budget */
    uint32_t local_share;   /* live instances, for the baselines' slots */
} entry_settings;

typedef struct entry_request {
    lv_id account;
    const char *class_name; /* NULL: the account's first entry */
    lv_handle route;
    lv_handle model;      /* LV_HANDLE_NONE when the route names a pool */
    uint64_t prefix_hash; /* of the prompt's beginning; 0: none */
    uint64_t input_units; /* input tokens, estimated; 0 for services */
    uint64_t hint_units;  /* rough output tokens asked for; 0: none */
    uint64_t body_size;
    uint64_t number;    /* for the log; unique on this instance */
    const char *ticket; /* Idempotency-Key, or NULL */
    bool can_resume;    /* the endpoint's protocol resumes streams */
} entry_request;

typedef enum entry_end {
    ENTRY_END_DONE,    /* whole answer received */
    ENTRY_END_CONNECT, /* no connection: no byte was written */
    ENTRY_END_BUSY,    /* endpoint answered 429/503: it did not run */
    ENTRY_END_LOST,    /* connection ended or went silent */
    ENTRY_END_PROTOCOL /* the answer broke the protocol */
} entry_end;

typedef struct entry_entry entry_entry;

/* Admit a request or refuse it. On success *handle is set and the outcome
 * comes later through finish_request; on refusal returns false, *refusal
 * says why, and finish_request is not called. start_attempt may be called
 * before this returns. */
bool entry_submit(entry_entry *entry, lv_time now,
                  const entry_request *request, lv_handle *handle,
                  out_outcome *refusal);

/* May the attempt's first byte be written now? Checks lease, deadline and
 * view against a fresh clock reading. When false, the attempt is already
 * taken back and the request waits again or is finished. When true, the
 * request counts as sent from here on. */
bool entry_may_send(entry_entry *entry, lv_time now, lv_handle request,
                    uint32_t number);

/* More of the answer came: output units so far in this attempt, and bytes
 * of the body delivered to the caller so far in all attempts. */
void entry_progress(entry_entry *entry, lv_time now, lv_handle request,
                    uint32_t number, uint64_t output_units,
                    uint64_t delivered_bytes);

/* The attempt ended. input_units and output_units are the endpoint's own
 * count where it gives one (0 and 0: use what was seen). */
void entry_attempt_end(entry_entry *entry, lv_time now, lv_handle request,
                       uint32_t number, entry_end end, uint64_t input_units,
                       uint64_t output_units);

/* The caller went away: cancel, free the slot, finish. */
void entry_cancel(entry_entry *entry, lv_time now, lv_handle request);

/* The catalogue or the lists changed (or came for the first time). Both stay
 * owned by the caller and valid until the next call. Requests of entries
 * that are gone are refused; limits of those that stay change at once. */
void entry_set_views(entry_entry *entry, lv_time now,
                     const cat_catalogue *catalogue, const world_lists *lists);

/* An endpoint leaves (true) or turned out to be back (false): no new attempt
 * there from now on. */
void entry_set_leaving(entry_entry *entry, lv_time now, lv_id endpoint,
                       bool leaving);

/* Which dispatcher serves a pool shard now, from the membership. A change
 * makes the next report to it a full claim. */
void entry_set_dispatcher(entry_entry *entry, lv_time now, lv_id pool,
                          uint32_t shard, lv_id dispatcher);

/* Take a GRANT. Old or foreign ones are dropped and counted (false). */
bool entry_take_grant(entry_entry *entry, lv_time now,
                      const msg_message *message);

/* Send due REPORTs, expire leases and waiting requests, correct views after
 * a pause. Call at each time entry_next_tick names, or earlier. */
void entry_tick(entry_entry *entry, lv_time now);
lv_time entry_next_tick(const entry_entry *entry);

/* The process was paused: leases have ended, nothing is dispatched until
 * the dispatchers have answered again. */
void entry_mark_stale(entry_entry *entry, lv_time now);

/* Stop taking requests; those accepted run to their end. */
void entry_drain(entry_entry *entry, lv_time now);
bool entry_is_idle(const entry_entry *entry);

/* Counts for status and metrics. */
typedef struct entry_counts {
    uint64_t admitted;
    uint64_t refused[OUT_REASON_COUNT];
    uint64_t finished[OUT_UNKNOWN + 1];
    uint64_t attempts;
    uint64_t retries;
    uint64_t resumes;
    uint64_t stale_answers;  /* of older attempts, dropped */
    uint64_t stale_messages; /* old grants, dropped */
    uint32_t waiting;
    uint32_t running;
    uint32_t leases;
    uint32_t idle_leases;
    size_t memory; /* bytes held */
} entry_counts;

void entry_read_counts(const entry_entry *entry, entry_counts *counts);

bool entry_init(entry_entry *entry, lv_host *host,
                const entry_settings *settings, lv_id self,
                uint64_t incarnation, lv_time now, err_error *error);
void entry_finish(entry_entry *entry);

#endif
