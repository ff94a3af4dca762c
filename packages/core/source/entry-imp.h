/*
 * Private records and functions of the entry role. Records are rows of tables
 * and refer to each other by index; NONE stands for no row. A pointer to a row
 * is valid until the next call that may add a row to its table.
 */
#ifndef ENTRY_IMP_H
#define ENTRY_IMP_H

#include "lavender/entry.h"
#include "lavender/limits.h"

#define NONE LV_HANDLE_NONE
#define ITEM_INDEX_BITS 20
#define ITEM_INDEX_MASK ((1u << ITEM_INDEX_BITS) - 1)
#define ITEM_GENERATION_MAX ((1u << (32 - ITEM_INDEX_BITS)) - 2)
#define TRIED_MAX 4      /* endpoints remembered as tried, per request */
#define IDLE_SCAN_MAX 16 /* idle leases examined in one list, per request */
#define ENTRY_RETRY_AFTER_MAX (60 * LV_SECOND)

typedef enum item_state {
    ITEM_FREE,
    ITEM_WAITING,
    ITEM_OPENING, /* has a lease; nothing may be written yet */
    ITEM_SENT     /* entry_may_send returned true for this attempt */
} item_state;

/* An admitted request; an item of the queues. */
struct entry_item {
    item_state state;
    uint32_t generation;
    uint32_t next_free;
    uint32_t deadline_heap_index;
    uint64_t number;
    lv_id entry_id;        /* catalogue entry */
    uint32_t limits_class; /* class record of the catalogue entry */
    uint32_t cost_class; /* class record of the catalogue entry in the pool */
    uint32_t flow;       /* (pool, account) */
    uint32_t queue_flow; /* flow whose queue the request uses */
    uint32_t subflow;    /* where its demand is counted while it waits */
    cat_priority priority;
    bool idempotent;
    bool can_resume;
    bool was_sent; /* on any attempt */
    lv_time arrived;
    lv_time deadline;
    lv_time attempt_started;
    uint32_t attempt; /* number of the current one; 0: none yet */
    uint32_t failures;
    uint32_t lease;
    uint32_t tried_count;
    uint32_t tried[TRIED_MAX]; /* endpoints of failed attempts, a ring */
    uint64_t prefix_hash;
    uint64_t input_units;
    uint64_t output_hint_units;
    uint64_t output_units; /* received in this attempt */
    uint64_t delivered_bytes;
    uint64_t prior_output_units; /* of the attempts that this one resumes */
    int64_t charged_units;       /* service units, this attempt */
};

/* An account in a pool. */
struct entry_flow {
    lv_id account;
    uint32_t account_handle; /* in the catalogue, or NONE */
    uint32_t pool;
    uint32_t weight;
    entry_list idle; /* idle leases bound to the account */
    int64_t level;   /* virtual counter (service / weight) last received */
    int64_t service_since_level; /* service units charged after that */
    uint32_t waiting;
    lv_time backlog_since;
    lv_time last_start;          /* or the start of the backlog */
    lv_time mean_start_interval; /* moving average; 0: none yet */
    uint32_t retry_after_count;  /* refusals with Retry-After, less starts */
    uint32_t arrivals;           /* requests admitted, modulo 2^32 */
    uint32_t allowance;          /* limit of arrivals */
    bool has_allowance;
    lv_time allowance_received;
    bool is_rated;   /* every class of the account has a rate */
    bool is_limited; /* may use only leases that are bound to it */
};

/* The limits of a catalogue entry, or its average cost in one pool. */
struct entry_class {
    uint32_t waiting;
    bool has_bucket;
    lim_bucket bucket;    /* requests that this instance may admit */
    int64_t average_cost; /* service units, without the input for engines;
                             -1: none yet */
};

struct entry_pool {
    lv_id id;
    uint32_t handle; /* in the catalogue, or NONE */
    cat_pool_kind kind;
    int64_t input_weight;
    int64_t output_weight;
    int64_t default_cost;
    lv_time idle_timeout;    /* of an idle lease that is bound to an account */
    uint32_t queue_group;    /* flows that leases for any account may serve */
    uint32_t limited_group;  /* flows that they may not serve */
    uint32_t fifo_flow;      /* the single flow of ENTRY_MODE_LOCAL_FIFO */
    uint32_t first_shard;    /* of a list linked by next_in_pool */
    uint32_t shard_count;    /* in use; the list may contain more */
    uint32_t endpoint_count; /* not leaving */
    int64_t virtual_time;    /* highest level of a flow that has started */
    entry_list idle;         /* idle leases for any account */
    entry_list idle_by_age;  /* all idle leases, longest idle first */
};

/* The state of the exchange with the dispatcher of one pool shard. */
struct entry_shard {
    uint32_t pool;
    uint32_t number;
    uint32_t next_in_pool;
    uint32_t slots;   /* listed, at endpoints that are not leaving */
    uint32_t waiting; /* requests whose demand is counted here */
    lv_id dispatcher;
    uint64_t dispatcher_incarnation; /* last received; 0: none yet */
    uint64_t report_sequence;        /* last sent */
    uint64_t grant_sequence;         /* last received; 0: none yet */
    uint64_t tenure;                 /* highest received */
    lv_id tenure_holder;             /* dispatcher that sent it */
    lv_time lease_expiry;
    lv_time last_full_sent;   /* time of the last full report; 0: none */
    lv_time last_report_sent; /* of any kind */
    lv_time next_full;
    lv_time last_progress_sent; /* the last report with service totals */
    lv_time next_progress;
    lv_time unanswered_since; /* first full report without an answer;
                                 0: none */
    lv_time min_echo;         /* answers to earlier reports renew no leases */
    lv_time claim_sent;
    bool is_claiming;
    bool is_stale; /* start no attempt until a current answer arrives */
    bool is_contended;
    bool needs_full_report; /* a message was lost */
    bool is_silent;         /* the silence timeout has passed */
    bool is_due;            /* in due_shards */
    uint32_t next_due;
    entry_list leases;
    entry_list subflows; /* all */
    entry_list active;   /* subflows with demand or service to report */
    entry_list changed;  /* subflows whose demand changed */
    uint64_t *released;  /* leases to list as released */
    uint32_t released_count;
    uint32_t released_capacity;
};

/* The demand and service of a flow at one shard of its pool. */
struct entry_subflow {
    uint32_t shard;
    uint32_t flow;
    uint32_t next; /* in the shard's list of all subflows */
    uint32_t next_active;
    uint32_t previous_active;
    uint32_t next_changed;
    bool is_active;
    bool is_changed;
    bool was_refused; /* for its rate, since the last full report */
    uint32_t reported_arrivals;
    uint32_t waiting[CAT_PRIORITY_COUNT];
    uint32_t reported[CAT_PRIORITY_COUNT]; /* waiting, as the dispatcher counts
                                              it */
    int64_t service_total;                 /* service units charged */
    int64_t reported_total;                /* in the last full report */
    int64_t progress_total;                /* in the last report with totals */
    int64_t previous_reported_total; /* in the full report before the last */
    int64_t level;                   /* virtual counter last received */
    int64_t total_at_level; /* service total that the level includes */
};

/* The lists that a lease can be in. */
typedef enum lease_list {
    LIST_SHARD,
    LIST_IDLE,        /* of the flow or the pool */
    LIST_IDLE_BY_AGE, /* of the pool, longest idle first */
    LIST_COUNT
} lease_list;

struct entry_lease {
    uint64_t id;
    uint32_t shard;
    uint32_t endpoint;
    uint32_t flow; /* NONE: any account */
    uint32_t item; /* NONE: no attempt uses it */
    bool is_idle;  /* in the idle lists */
    bool is_recalled;
    bool has_expired; /* while its request ran */
    lv_time idle_since;
    uint32_t next[LIST_COUNT];
    uint32_t previous[LIST_COUNT];
};

struct entry_endpoint {
    lv_id id;
    uint32_t shard;              /* NONE: no longer listed */
    uint32_t hashed_shard_count; /* for which shard_number was computed */
    uint32_t shard_number;
    bool is_leaving;      /* according to the membership */
    bool is_list_leaving; /* according to the lists */
    uint32_t failures;
    lv_time backoff_until; /* 0: no backoff */
    uint64_t last_cache_event;
    uint64_t cache_epoch; /* prefix records of earlier epochs are invalid */
};

struct entry_prefix {
    uint64_t hash;
    uint32_t endpoint;
    uint64_t epoch; /* cache_epoch of the endpoint */
};

struct entry_scratch {
    msg_demand demands[MSG_ITEMS_MAX];
    msg_lease held[MSG_ITEMS_MAX];
    uint64_t released[MSG_ITEMS_MAX];
    msg_service services[MSG_ITEMS_MAX];
};

/* entry-table.c: tables and indexes. The ensure functions return the row's
 * index, adding a row when there is none; NONE when out of memory. */
entry_item *entry_find_item(entry_state *entry, lv_handle handle);
lv_handle entry_item_handle(const entry_state *entry, uint32_t item);
uint32_t entry_new_item(entry_state *entry);
void entry_free_item(entry_state *entry, uint32_t item);
uint64_t entry_pair_key(uint64_t first, uint64_t second);
uint64_t entry_lease_key(uint32_t shard, uint64_t id);
uint64_t entry_subflow_key(uint32_t shard, uint32_t flow);
uint32_t entry_ensure_pool(entry_state *entry, lv_id id);
uint32_t entry_ensure_shard(entry_state *entry, uint32_t pool,
                            uint32_t number);
uint32_t entry_ensure_flow(entry_state *entry, uint32_t pool, lv_id account);
uint32_t entry_ensure_subflow(entry_state *entry, uint32_t shard,
                              uint32_t flow);
uint32_t entry_ensure_class(entry_state *entry, uint64_t key);
uint32_t entry_ensure_endpoint(entry_state *entry, lv_id id);
size_t entry_memory_usage(const entry_state *entry);

/* entry-lease.c: adding, choosing, releasing and expiring leases */
void entry_lease_list_append(entry_state *entry, entry_list *list,
                             lease_list kind, uint32_t lease);
void entry_lease_list_remove(entry_state *entry, entry_list *list,
                             lease_list kind, uint32_t lease);
uint32_t entry_add_lease(entry_state *entry, uint32_t shard, uint64_t id,
                         uint32_t endpoint, uint32_t flow);
void entry_remove_lease(entry_state *entry, uint32_t lease);
void entry_release_lease(entry_state *entry, uint32_t lease);
void entry_handle_free_lease(entry_state *entry, lv_time now, uint32_t lease,
                             const char *reason);
uint32_t entry_choose_lease(entry_state *entry, lv_time now, uint32_t item,
                            uint32_t *alternatives, const char **reason);
void entry_start_waiting(entry_state *entry, lv_time now, uint32_t flow);
void entry_recheck_idle_leases(entry_state *entry, lv_time now);
void entry_expire_leases(entry_state *entry, uint32_t shard);
bool entry_is_lease_usable(const entry_state *entry, lv_time now,
                           uint32_t lease);
void entry_release_unused_leases(entry_state *entry, lv_time now,
                                 uint32_t shard);
void entry_expire_idle_leases(entry_state *entry, lv_time now);

/* entry-attempt.c: attempts, retries and outcomes */
void entry_start_attempt(entry_state *entry, lv_time now, uint32_t item,
                         uint32_t lease, uint64_t offset, const char *reason,
                         uint32_t alternatives);
void entry_finish_item(entry_state *entry, lv_time now, uint32_t item,
                       out_kind kind, out_reason reason, lv_time retry_after);
void entry_back_off_endpoint(entry_state *entry, lv_time now,
                             uint32_t endpoint);
void entry_end_backoffs(entry_state *entry, lv_time now);

/* entry-wait.c: waiting requests and the shards that count their demand */
void entry_enqueue(entry_state *entry, lv_time now, uint32_t item,
                   bool is_new);
void entry_dequeue(entry_state *entry, lv_time now, uint32_t item);
void entry_reassign_demand(entry_state *entry, lv_time now, uint32_t silent);
void entry_update_rate_demand(entry_state *entry, uint32_t flow,
                              bool was_refused);
void entry_expire_waiting(entry_state *entry, lv_time now);
/* Returns the only shard that applies an account's fleet-wide limits, the same
 * as hrw_account_shard returns; NONE while no shard has slots. */
uint32_t entry_home_shard(const entry_state *entry, uint32_t flow);
void entry_request_allowance(entry_state *entry, uint32_t flow);
uint32_t entry_choose_subflow(entry_state *entry, lv_time now, uint32_t pool,
                              uint32_t flow);
lv_time entry_estimate_wait(const entry_state *entry, uint32_t flow,
                            uint32_t places);

/* entry-cost.c: cost prediction and service accounting */
void entry_charge_start(entry_state *entry, lv_time now, uint32_t item);
void entry_charge_progress(entry_state *entry, lv_time now, uint32_t item);
void entry_charge_end(entry_state *entry, lv_time now, uint32_t item,
                      bool was_run, bool is_whole, uint64_t input_units,
                      uint64_t output_units);
void entry_update_level(entry_state *entry, uint32_t flow);
void entry_advance_virtual_time(entry_state *entry, uint32_t flow);
void entry_raise_idle_level(entry_state *entry, uint32_t flow);
ledger_line *entry_ledger_line(entry_state *entry, uint32_t flow);
void entry_record_backlog(entry_state *entry, lv_time now, uint32_t flow);

/* entry-prefix.c: the endpoint that last served a prompt prefix */
void entry_record_prefix(entry_state *entry, uint64_t hash, uint32_t endpoint);
uint32_t entry_find_prefix_endpoint(const entry_state *entry, uint64_t hash);

/* entry-active.c: the subflows and shards with something to report */
void entry_schedule_tick(entry_state *entry, lv_time time);
void entry_mark_shard_due(entry_state *entry, uint32_t shard);
void entry_mark_subflow_changed(entry_state *entry, uint32_t subflow,
                                bool is_urgent);
void entry_activate_subflow(entry_state *entry, uint32_t subflow);
bool entry_has_pending_demand(const entry_state *entry,
                              const entry_subflow *subflow);
void entry_append_active_subflow(entry_state *entry, uint32_t subflow);
void entry_remove_active_subflow(entry_state *entry, uint32_t subflow);

/* entry-report.c: REPORTs */
void entry_send_due_reports(entry_state *entry, lv_time now);
void entry_send_full_report(entry_state *entry, lv_time now, uint32_t shard);

/* entry-grant.c: GRANTs, and the dispatchers that send them */
void entry_tick_shards(entry_state *entry, lv_time now);

/* entry-local.c: the baseline modes, which use no dispatcher */
void entry_update_local_leases(entry_state *entry, lv_time now);

/* entry-view.c: applying the catalogue and the lists */
void entry_update_flow(entry_state *entry, uint32_t flow);

/* entry-log.c: the decision log */
void entry_log(entry_state *entry, lv_decision_kind kind, const char *reason,
               uint32_t item, uint32_t endpoint, uint64_t value,
               uint32_t alternatives);
void entry_log_refusal(entry_state *entry, const entry_request *request,
                       out_reason reason);

#endif
