/*
 * The entry role: handles each request that arrived at this instance from
 * admission through its attempts to its single final outcome.
 *
 * A request waits in a queue per (pool, account, priority) until a lease for
 * its pool and account is free, is sent to the lease's endpoint as an attempt,
 * and is retried only where that is safe. Leases come from dispatchers, one
 * per shard of a pool: the entry reports its demand, its leases and the
 * service used in REPORT messages, and receives GRANTs.
 *
 * The host may call entry_submit from within finish_request. It calls no other
 * function of this module from within start_attempt, cancel_attempt or send.
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

/* How slots are assigned to requests. The two local modes use no dispatcher;
 * they are baselines for measurements. */
typedef enum entry_mode {
    ENTRY_MODE_LEASES,     /* slots leased by dispatchers (the product) */
    ENTRY_MODE_LOCAL_FAIR, /* fair queue on each instance */
    ENTRY_MODE_LOCAL_FIFO  /* first come, first served on each instance */
} entry_mode;

typedef struct entry_settings {
    entry_mode mode;
    uint32_t max_requests;      /* waiting and running */
    uint32_t max_attempts;      /* of one idempotent request */
    uint32_t retry_percent;     /* retries allowed, in percent of successes */
    uint32_t assumed_instances; /* live instances assumed until
                                   entry_set_live_instances is called */
    lv_time report_interval;    /* between REPORTs of progress */
    lv_time full_interval;      /* between full REPORTs */
    lv_time idle_interval;   /* between full REPORTs with nothing to report */
    lv_time short_interval;  /* minimum between short REPORTs */
    lv_time silence_timeout; /* a dispatcher that left a full REPORT unanswered
                                for this long gets no demand while others
                                answer */
    lv_time backoff;         /* initial backoff of a failed endpoint, doubled
                                with each failure in a row */
    lv_time backoff_max;
    uint32_t max_prefixes; /* rows of the prompt prefix table */
} entry_settings;

/* Fills in the defaults, which suit a fleet of ordinary size. */
void entry_default_settings(entry_settings *settings);

typedef struct entry_request {
    lv_id account;
    const char *class_name; /* NULL: the account's first catalogue entry */
    lv_handle route;
    lv_handle model;      /* LV_HANDLE_NONE when the route names a pool */
    uint64_t prefix_hash; /* of the start of the prompt; 0: none */
    uint64_t input_units; /* estimated input tokens; 0 for services */
    uint64_t output_hint_units; /* output tokens that the caller expects;
                                   0: none */
    uint64_t body_size;         /* bytes */
    uint64_t number;            /* for the log; unique on this instance */
    const char *ticket;         /* Idempotency-Key, or NULL */
    bool can_resume; /* the endpoint's protocol can resume the stream */
} entry_request;

/* How an attempt ended. */
typedef enum entry_result {
    ENTRY_RESULT_DONE,        /* the whole answer was received */
    ENTRY_RESULT_UNCONNECTED, /* no connection: no byte was written */
    ENTRY_RESULT_BUSY,   /* the endpoint answered 429 or 503: it did not run */
    ENTRY_RESULT_LOST,   /* the connection closed or timed out */
    ENTRY_RESULT_INVALID /* the answer violated the protocol */
} entry_result;

typedef struct entry_item entry_item;
typedef struct entry_flow entry_flow;
typedef struct entry_class entry_class;
typedef struct entry_pool entry_pool;
typedef struct entry_shard entry_shard;
typedef struct entry_subflow entry_subflow;
typedef struct entry_lease entry_lease;
typedef struct entry_endpoint entry_endpoint;
typedef struct entry_prefix entry_prefix;
typedef struct entry_scratch entry_scratch;

/* Counters and gauges for the status page and the metrics. */
typedef struct entry_counts {
    uint64_t admitted;
    uint64_t refused[OUT_REASON_COUNT];
    uint64_t finished[OUT_UNKNOWN + 1];
    uint64_t attempts;
    uint64_t retries;
    uint64_t resumes;
    uint64_t stale_answers; /* dropped: from earlier attempts */
    uint64_t stale_grants;  /* GRANTs dropped: old, or not for this process */
    uint64_t reports_full;
    uint64_t reports_progress;
    uint64_t reports_short;
    uint64_t expired_leases;
    uint32_t waiting; /* requests */
    uint32_t running; /* requests */
    uint32_t leases;
    uint32_t idle_leases;
    size_t memory; /* bytes allocated */
} entry_counts;

/* A linked list of rows of one table, by index. */
typedef struct entry_list {
    uint32_t first;
    uint32_t last;
    uint32_t count;
} entry_list;

/* The state of the role. All members are private; it must not move in memory
 * between entry_init and entry_finish. */
typedef struct entry_state {
    lv_host *host;
    entry_settings settings;
    lv_id self;
    uint64_t incarnation;
    ledger_store *ledger;
    const cat_catalogue *catalogue;
    const lists_snapshot *lists;
    bool is_draining;
    bool is_sending; /* within entry_send_due_reports */
    lv_time next_tick;
    lv_time next_ledger; /* next flush of backlogs to the ledger */
    entry_counts counts;

    entry_item *items; /* admitted requests */
    uint32_t item_count;
    uint32_t item_capacity;
    entry_list free_items;
    heap_min_heap deadlines; /* of waiting requests */
    fq_table queues;
    entry_flow *flows; /* (pool, account); same index as in queues */
    uint32_t flow_capacity;
    map_table flow_index;
    entry_class *classes; /* limits and costs of catalogue entries */
    uint32_t class_count;
    uint32_t class_capacity;
    map_table class_index;
    entry_pool *pools;
    uint32_t pool_count;
    uint32_t pool_capacity;
    map_table pool_index;
    entry_shard *shards;
    uint32_t shard_count;
    uint32_t shard_capacity;
    map_table shard_index;
    entry_list due_shards;   /* with a REPORT to send */
    entry_subflow *subflows; /* (shard, account) */
    uint32_t subflow_count;
    uint32_t subflow_capacity;
    map_table subflow_index;
    entry_lease *leases;
    uint32_t lease_count;
    uint32_t lease_capacity;
    entry_list free_leases;
    map_table lease_index;
    entry_endpoint *endpoints;
    uint32_t endpoint_count;
    uint32_t endpoint_capacity;
    map_table endpoint_index;
    uint32_t backoff_count; /* endpoints in backoff */
    lv_time next_backoff_end;
    entry_prefix *prefixes; /* direct-mapped by hash */
    entry_scratch *scratch; /* arrays of the message being built */
    lv_id *live_instances;
    uint32_t live_instance_count;
    uint32_t live_instance_capacity;
    uint64_t last_local_lease; /* ID of the last lease of a local mode */
    uint64_t retry_budget;     /* hundredths of a retry */
    lv_time last_finish;
    lv_time mean_finish_interval; /* moving average; 0: none yet */
} entry_state;

/* Admits or refuses a request. On admission, returns true and sets *handle;
 * the outcome is delivered later through finish_request. On refusal, returns
 * false and sets *refusal; finish_request is not called. start_attempt may be
 * called before this returns. */
bool entry_submit(entry_state *entry, lv_time now,
                  const entry_request *request, lv_handle *handle,
                  out_outcome *refusal);

/* Returns whether the first byte of an attempt may be written now. Checks the
 * lease, the deadline and the view of the fleet against now, which must be a
 * fresh clock reading. If true, the request counts as sent from here on. If
 * false, the attempt has been withdrawn (cancel_attempt is not called for it)
 * and the request waits again or is finished. Call it once per connection: for
 * a request that is not idempotent, a second call for the same attempt returns
 * false and ends the request with the outcome `unknown`. */
bool entry_may_send(entry_state *entry, lv_time now, lv_handle request,
                    uint32_t number);

/* Records progress of the answer: the output units received in this attempt,
 * and the bytes of the body delivered to the caller in all attempts. */
void entry_update_progress(entry_state *entry, lv_time now, lv_handle request,
                           uint32_t number, uint64_t output_units,
                           uint64_t delivered_bytes);

/* Ends an attempt. input_units and output_units are the endpoint's own count:
 * the whole input, and the output of this attempt alone. If both are 0, the
 * counts from entry_request and entry_update_progress are used. */
void entry_end_attempt(entry_state *entry, lv_time now, lv_handle request,
                       uint32_t number, entry_result result,
                       uint64_t input_units, uint64_t output_units);

/* Cancels a request whose caller has disconnected: cancels its attempt, frees
 * its slot and finishes it. */
void entry_cancel(entry_state *entry, lv_time now, lv_handle request);

/* Applies a new catalogue or new lists, also the first ones. Both stay owned
 * by the calling code and must be valid until the next call. Waiting requests
 * whose catalogue entry or pool was removed are refused; changed limits apply
 * at once. */
void entry_set_views(entry_state *entry, lv_time now,
                     const cat_catalogue *catalogue,
                     const lists_snapshot *lists);

/* Marks an endpoint as leaving, or as no longer leaving. A leaving endpoint
 * gets no new attempts. */
void entry_set_endpoint_leaving(entry_state *entry, lv_time now,
                                lv_id endpoint, bool leaving);

/* Sets the dispatcher of a pool shard according to the membership. The next
 * report to a new dispatcher is a full claim. */
void entry_set_dispatcher(entry_state *entry, lv_time now, lv_id pool,
                          uint32_t shard, lv_id dispatcher);

/* Sets the live instances according to the membership. They determine this
 * instance's part of a request rate while it has no allowance, and its slots
 * in the local modes. */
void entry_set_live_instances(entry_state *entry, lv_time now,
                              const lv_id *instances, uint32_t count);

/* Receives a cache event of an engine: a prefix was cached or evicted. Events
 * are numbered; after a gap, all prefixes recorded for the endpoint are
 * invalid. */
void entry_receive_cache_event(entry_state *entry, lv_id endpoint,
                               uint64_t number, uint64_t prefix_hash,
                               bool is_cached);

/* Adds the time that current backlogs have lasted to the ledger's current
 * window. Call it before the ledger moves to the next window. */
void entry_flush_ledger(entry_state *entry, lv_time now);

/* Receives a GRANT. Returns false if the message was dropped, and counted,
 * because it is old or from an instance that is not the dispatcher. */
bool entry_receive_grant(entry_state *entry, lv_time now,
                         const msg_message *message);

/* Sends due REPORTs and expires leases, backoffs and waiting requests. Call it
 * at the time that entry_next_tick returns, or earlier. */
void entry_tick(entry_state *entry, lv_time now);
lv_time entry_next_tick(const entry_state *entry);

/* Call after the process was paused: all leases expire, and no attempt starts
 * on a shard's slots until its dispatcher has answered a new report. */
void entry_mark_stale(entry_state *entry, lv_time now);

/* Refuses new requests from now on; admitted ones run to their end. */
void entry_drain(entry_state *entry, lv_time now);

/* Returns whether no request waits or runs. */
bool entry_is_idle(const entry_state *entry);

void entry_read_counts(const entry_state *entry, entry_counts *counts);

/* Sets up the role. ledger may be NULL. Returns false and sets *error if the
 * settings are invalid or memory runs out; then nothing needs to be freed. */
bool entry_init(entry_state *entry, lv_host *host,
                const entry_settings *settings, ledger_store *ledger,
                lv_id self, uint64_t incarnation, lv_time now,
                err_error *error);
void entry_finish(entry_state *entry);

#endif
