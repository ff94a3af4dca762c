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
#include "lavender/heap.h"
#include "lavender/host.h"
#include "lavender/ledger.h"
#include "lavender/map.h"
#include "lavender/queue.h"
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
    uint32_t max_requests;      /* accepted at one time, in all */
    uint32_t max_attempts;      /* for one idempotent request */
    uint32_t retry_percent;     /* of recent successes: the retry budget */
    uint32_t assumed_instances; /* live instances, until
                                   entry_set_live_instances says */
    lv_time report_interval;    /* between REPORTs of progress */
    lv_time full_interval;      /* between full REPORTs */
    lv_time idle_interval;      /* the same, when there is nothing to report */
    lv_time short_interval;     /* at least, between short REPORTs */
    lv_time silence_timeout;    /* a dispatcher that has not answered a REPORT
                           for so long gets no demand */
    lv_time backoff;            /* after a failure an endpoint gets no attempt
                                for so long; doubles with each failure */
    lv_time backoff_max;
    uint32_t max_prefixes; /* prompt prefixes whose endpoint is remembered */
} entry_settings;

/* Settings that suit a fleet of the ordinary size. */
void entry_default_settings(entry_settings *settings);

typedef struct entry_request {
    lv_id account;
    const char *class_name; /* NULL: the account's first entry */
    lv_handle route;
    lv_handle model;      /* LV_HANDLE_NONE when the route names a pool */
    uint64_t prefix_hash; /* of the prompt's beginning; 0: none */
    uint64_t input_units; /* input tokens, estimated; 0 for services */
    uint64_t output_hint_units; /* rough output tokens asked for; 0: none */
    uint64_t body_size;
    uint64_t number;    /* for the log; unique on this instance */
    const char *ticket; /* Idempotency-Key, or NULL */
    bool can_resume;    /* the endpoint's protocol resumes streams */
} entry_request;

/* The host may call entry_submit from finish_request; it calls no other
 * function here from within start_attempt, cancel_attempt or send. */
typedef enum entry_result {
    ENTRY_RESULT_DONE,        /* whole answer received */
    ENTRY_RESULT_UNCONNECTED, /* no connection: no byte was written */
    ENTRY_RESULT_BUSY,        /* endpoint answered 429/503: it did not run */
    ENTRY_RESULT_LOST,        /* connection ended or went silent */
    ENTRY_RESULT_INVALID      /* the answer broke the protocol */
} entry_result;

typedef struct entry_item entry_item;
typedef struct entry_flow entry_flow;
typedef struct entry_class entry_class;
typedef struct entry_pool entry_pool;
typedef struct entry_shard entry_shard;
typedef struct entry_part entry_part;
typedef struct entry_lease entry_lease;
typedef struct entry_endpoint entry_endpoint;
typedef struct entry_prefix entry_prefix;
typedef struct entry_scratch entry_scratch;

/* Counts for status and metrics. */
typedef struct entry_counts {
    uint64_t admitted;
    uint64_t refused[OUT_REASON_COUNT];
    uint64_t finished[OUT_UNKNOWN + 1];
    uint64_t attempts;
    uint64_t retries;
    uint64_t resumes;
    uint64_t stale_answers; /* of older attempts, dropped */
    uint64_t stale_grants;  /* old grants, dropped */
    uint64_t reports_full;
    uint64_t reports_progress;
    uint64_t reports_short;
    uint64_t expired_leases;
    uint32_t waiting;
    uint32_t running;
    uint32_t leases;
    uint32_t idle_leases;
    size_t memory; /* bytes held */
} entry_counts;

/* A chain of records of one table, by index. */
typedef struct entry_list {
    uint32_t first;
    uint32_t last;
    uint32_t count;
} entry_list;

/* All members are private; it must not move between init and finish. */
typedef struct entry_state {
    lv_host *host;
    entry_settings settings;
    lv_id self;
    uint64_t incarnation;
    ledger_ledger *ledger;
    const cat_catalogue *catalogue;
    const world_lists *lists;
    bool is_draining;
    bool is_sending;
    lv_time next_tick;
    lv_time next_ledger;
    entry_counts counts;

    entry_item *items; /* requests */
    uint32_t item_count;
    uint32_t item_capacity;
    entry_list free_items;
    heap_heap deadlines;
    fq_table queues;
    entry_flow *flows; /* (pool, account); same index as in queues */
    uint32_t flow_capacity;
    map_map flow_index;
    entry_class *classes; /* catalogue entries, and those in one pool */
    uint32_t class_count;
    uint32_t class_capacity;
    map_map class_index;
    entry_pool *pools;
    uint32_t pool_count;
    uint32_t pool_capacity;
    map_map pool_index;
    entry_shard *shards;
    uint32_t shard_count;
    uint32_t shard_capacity;
    map_map shard_index;
    entry_list due_shards; /* with a REPORT to send */
    entry_part *parts;     /* (shard, account) */
    uint32_t part_count;
    uint32_t part_capacity;
    map_map part_index;
    entry_lease *leases;
    uint32_t lease_count;
    uint32_t lease_capacity;
    entry_list free_leases;
    map_map lease_index;
    entry_endpoint *endpoints;
    uint32_t endpoint_count;
    uint32_t endpoint_capacity;
    map_map endpoint_index;
    uint32_t resting; /* endpoints */
    lv_time next_rest;
    entry_prefix *prefixes; /* direct-mapped by hash */
    entry_scratch *scratch; /* arrays of the message being made */
    lv_id *live;            /* instances */
    uint32_t live_count;
    uint32_t live_capacity;
    uint64_t local_leases; /* number of the baselines' last lease */
    uint64_t budget;       /* retries, in hundredths */
    lv_time last_finish;
    lv_time finish_gap; /* average between two ends of requests */
} entry_state;

/* Admit a request or refuse it. On success *handle is set and the outcome
 * comes later through finish_request; on refusal returns false, *refusal
 * says why, and finish_request is not called. start_attempt may be called
 * before this returns. */
bool entry_submit(entry_state *entry, lv_time now,
                  const entry_request *request, lv_handle *handle,
                  out_outcome *refusal);

/* May the attempt's first byte be written now? Checks lease, deadline and
 * view against a fresh clock reading. When false, the attempt is already
 * taken back (cancel_attempt is not called for it) and the request waits
 * again or is finished. When true, the request counts as sent from here on.
 * Ask once per connection: for a request that is not idempotent a second
 * question about the same attempt is answered with false and `unknown`. */
bool entry_may_send(entry_state *entry, lv_time now, lv_handle request,
                    uint32_t number);

/* More of the answer came: output units so far in this attempt, and bytes
 * of the body delivered to the caller so far in all attempts. */
void entry_update_progress(entry_state *entry, lv_time now, lv_handle request,
                           uint32_t number, uint64_t output_units,
                           uint64_t delivered_bytes);

/* The attempt ended. input_units and output_units are the endpoint's own
 * count where it gives one (0 and 0: use what was seen): the whole input,
 * and the output of this attempt alone. */
void entry_end_attempt(entry_state *entry, lv_time now, lv_handle request,
                       uint32_t number, entry_result end, uint64_t input_units,
                       uint64_t output_units);

/* The caller went away: cancel, free the slot, finish. */
void entry_cancel(entry_state *entry, lv_time now, lv_handle request);

/* The catalogue or the lists changed (or came for the first time). Both stay
 * owned by the caller and valid until the next call. Requests of entries
 * that are gone are refused; limits of those that stay change at once. */
void entry_set_views(entry_state *entry, lv_time now,
                     const cat_catalogue *catalogue, const world_lists *lists);

/* An endpoint leaves (true) or turned out to be back (false): no new attempt
 * there from now on. */
void entry_set_endpoint_leaving(entry_state *entry, lv_time now,
                                lv_id endpoint, bool leaving);

/* Which dispatcher serves a pool shard now, from the membership. A change
 * makes the next report to it a full claim. */
void entry_set_dispatcher(entry_state *entry, lv_time now, lv_id pool,
                          uint32_t shard, lv_id dispatcher);

/* The live instances, from the membership: shares of limits that are local
 * guesses, and the baselines' slots, follow them. */
void entry_set_live_instances(entry_state *entry, lv_time now,
                              const lv_id *instances, uint32_t count);

/* An engine's cache event: the prefix is kept or was dropped there. After a
 * gap in the numbers everything known about the endpoint is dropped. */
void entry_receive_cache_event(entry_state *entry, lv_id endpoint,
                               uint64_t number, uint64_t prefix_hash,
                               bool is_kept);

/* Add the running backlogs to the ledger's current window. Call before the
 * ledger moves to the next one. */
void entry_flush_ledger(entry_state *entry, lv_time now);

/* Take a GRANT. Old or foreign ones are dropped and counted (false). */
bool entry_receive_grant(entry_state *entry, lv_time now,
                         const msg_message *message);

/* Send due REPORTs, expire leases and waiting requests, correct views after
 * a pause. Call at each time entry_next_tick names, or earlier. */
void entry_tick(entry_state *entry, lv_time now);
lv_time entry_next_tick(const entry_state *entry);

/* The process was paused: leases have ended, nothing is dispatched until
 * the dispatchers have answered again. */
void entry_mark_stale(entry_state *entry, lv_time now);

/* Stop taking requests; those accepted run to their end. */
void entry_drain(entry_state *entry, lv_time now);
bool entry_is_idle(const entry_state *entry);

void entry_read_counts(const entry_state *entry, entry_counts *counts);

/* ledger may be NULL. */
bool entry_init(entry_state *entry, lv_host *host,
                const entry_settings *settings, ledger_ledger *ledger,
                lv_id self, uint64_t incarnation, lv_time now,
                err_error *error);
void entry_finish(entry_state *entry);

#endif
