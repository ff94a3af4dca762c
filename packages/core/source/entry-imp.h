#ifndef ENTRY_IMP_H
#define ENTRY_IMP_H

#include "lavender/entry.h"
#include "lavender/limits.h"

#define NONE LV_HANDLE_NONE
#define ITEM_INDEX_BITS 20
#define ITEM_INDEX_MASK ((1u << ITEM_INDEX_BITS) - 1)
#define ITEM_GENERATION_MAX ((1u << (32 - ITEM_INDEX_BITS)) - 2)
#define TRIED_MAX 4
#define IDLE_SCAN 16
#define ENTRY_RETRY_AFTER_MAX (60 * LV_SECOND)

typedef enum item_state {
    ITEM_FREE,
    ITEM_WAITING,
    ITEM_OPENING, /* has a lease; nothing may be written yet */
    ITEM_SENT     /* entry_may_send said yes for this attempt */
} item_state;

struct entry_item {
    item_state state;
    uint32_t generation;
    uint32_t next_free;
    uint32_t deadline_place;
    uint64_t number;
    lv_id entry_id;
    uint32_t limits; /* class record of the catalogue entry */
    uint32_t costs;  /* class record of the entry in this pool */
    uint32_t flow;   /* (pool, account) */
    uint32_t queue;  /* flow in whose queue it stands */
    uint32_t part;   /* where its demand is placed; while it waits */
    cat_priority priority;
    bool idempotent;
    bool can_resume;
    bool was_sent; /* on any attempt */
    lv_time arrived;
    lv_time deadline;
    lv_time started; /* the attempt */
    uint32_t attempt;
    uint32_t failures;
    uint32_t lease;
    uint32_t tried_count;
    uint32_t tried[TRIED_MAX]; /* endpoints */
    uint64_t prefix_hash;
    uint64_t input_units;
    uint64_t hint_units;
    uint64_t output_units; /* seen in this attempt */
    uint64_t delivered;
    uint64_t base_units; /* seen in the attempts that this one resumes */
    int64_t charged;     /* service units, this attempt */
};

/* An account in a pool. */
struct entry_flow {
    lv_id account;
    uint32_t account_handle; /* in the catalogue, or NONE */
    uint32_t pool;
    uint32_t weight;
    entry_list idle; /* leases bound to the account */
    int64_t level;   /* service / weight, as last heard */
    int64_t since;   /* service units after that */
    uint32_t waiting;
    lv_time backlog_since;
    lv_time last_start;  /* or the begin of the backlog */
    lv_time start_gap;   /* average between two starts */
    uint32_t told_later; /* refused callers told to come back */
    uint32_t arrivals;   /* admitted, ever; modulo 2^32 */
    uint32_t allowance;  /* highest value of arrivals */
    bool has_allowance;
    lv_time allowance_time;
    bool is_rated;   /* every class of the account has a rate */
    bool is_limited; /* it may use only leases that are bound to it */
};

/* Limits of a catalogue entry, or its costs in one pool. */
struct entry_class {
    uint32_t waiting;
    bool has_bucket;
    lim_bucket bucket; /* requests that this instance may admit */
    int64_t cost;      /* average: output part for engines, all for services */
};

struct entry_pool {
    lv_id id;
    uint32_t handle; /* in the catalogue, or NONE */
    cat_pool_kind kind;
    int64_t input_weight;
    int64_t output_weight;
    int64_t default_cost;
    lv_time hold;
    uint32_t group;   /* of queues */
    uint32_t limited; /* group of the flows that any-account leases skip */
    uint32_t fifo;    /* the one flow of ENTRY_MODE_LOCAL_FIFO */
    uint32_t first_shard;
    uint32_t shards;    /* in use; their records are a chain by next_in_pool */
    uint32_t endpoints; /* not leaving */
    int64_t virtual_time; /* level of the flow that started last */
    entry_list idle;      /* leases for any account */
    entry_list held;      /* all idle leases, longest idle first */
};

/* The conversation with the dispatcher of one pool shard. */
struct entry_shard {
    uint32_t pool;
    uint32_t number;
    uint32_t next_in_pool;
    uint32_t slots;   /* listed, at endpoints that do not leave */
    uint32_t waiting; /* requests whose demand is placed here */
    lv_id dispatcher;
    uint64_t heard_incarnation; /* of the dispatcher */
    uint64_t sequence;          /* of our reports */
    uint64_t seen;              /* of its grants */
    uint64_t tenure;
    lv_id tenure_from;
    lv_time lease_end;
    lv_time full_sent; /* the last full report; 0: none */
    lv_time previous_full_sent;
    lv_time short_sent;
    lv_time next_full;
    lv_time progress_sent; /* the last report with service totals */
    lv_time next_progress;
    lv_time unanswered_since; /* first full report without an answer; 0 */
    lv_time fresh_since;      /* only answers to reports from then count */
    lv_time claim_sent;
    bool is_claiming;
    bool is_stale; /* dispatch nothing until a fresh answer */
    bool is_contended;
    bool is_full_wanted; /* a message was lost */
    bool is_silent;
    bool is_due; /* in due_shards */
    uint32_t next_due;
    entry_list leases;
    entry_list parts;  /* all */
    entry_list active; /* with demand or service to tell */
    entry_list changed;
    uint64_t *released;
    uint32_t released_count;
    uint32_t released_capacity;
};

/* An account's part in one shard. */
struct entry_part {
    uint32_t shard;
    uint32_t flow;
    uint32_t next; /* in the shard's list of all parts */
    uint32_t next_active;
    uint32_t previous_active;
    uint32_t next_changed;
    bool is_active;
    bool is_changed;
    bool was_refused; /* for its rate, since the last full report */
    uint32_t told_arrivals;
    uint32_t waiting[CAT_PRIORITY_COUNT];
    uint32_t told[CAT_PRIORITY_COUNT]; /* what the dispatcher believes */
    int64_t total;
    int64_t told_total;     /* in the last full report */
    int64_t progress_total; /* in the last report with service totals */
    int64_t previous_total;
    int64_t level;
    int64_t level_total; /* total when the level was made */
};

typedef enum lease_chain {
    CHAIN_SHARD,
    CHAIN_IDLE, /* of the flow or the pool */
    CHAIN_HELD, /* idle ones of the pool in order of time */
    CHAIN_COUNT
} lease_chain;

struct entry_lease {
    uint64_t id;
    uint32_t shard;
    uint32_t endpoint;
    uint32_t flow; /* NONE: any account */
    uint32_t item; /* NONE: idle */
    bool is_idle;
    bool is_recalled;
    bool has_ended; /* expired while its request ran */
    lv_time idle_since;
    uint32_t next[CHAIN_COUNT];
    uint32_t previous[CHAIN_COUNT];
};

struct entry_endpoint {
    lv_id id;
    uint32_t shard;  /* NONE: not listed any more */
    uint32_t shards; /* of its pool, when shard_number was worked out */
    uint32_t shard_number;
    bool is_leaving; /* told by the membership */
    bool is_list_leaving;
    uint32_t failures;
    lv_time rest_until; /* 0: not resting */
    uint64_t cache_number;
    uint64_t cache_epoch; /* prefixes of older ones are forgotten */
};

struct entry_prefix {
    uint64_t hash;
    uint32_t endpoint;
    uint64_t epoch;
};

struct entry_scratch {
    msg_demand demands[MSG_ITEMS_MAX];
    msg_held held[MSG_ITEMS_MAX];
    uint64_t released[MSG_ITEMS_MAX];
    msg_service services[MSG_ITEMS_MAX];
};

/* entry-table.c: records and look-ups */
entry_item *entry_find_item(entry_state *entry, lv_handle handle);
lv_handle entry_item_handle(const entry_state *entry, uint32_t item);
uint32_t entry_new_item(entry_state *entry);
void entry_free_item(entry_state *entry, uint32_t item);
uint64_t entry_pair(uint64_t first, uint64_t second);
uint64_t entry_lease_key(uint32_t shard, uint64_t id);
uint64_t entry_part_key(uint32_t shard, uint32_t flow);
uint32_t entry_get_pool(entry_state *entry, lv_id id);
uint32_t entry_get_shard(entry_state *entry, uint32_t pool, uint32_t number);
uint32_t entry_get_flow(entry_state *entry, uint32_t pool, lv_id account);
uint32_t entry_get_part(entry_state *entry, uint32_t shard, uint32_t flow);
uint32_t entry_get_class(entry_state *entry, uint64_t key);
uint32_t entry_get_endpoint(entry_state *entry, lv_id id);
size_t entry_memory(const entry_state *entry);

/* entry-lease.c: the life of leases */
void entry_chain_add(entry_state *entry, entry_list *list, lease_chain chain,
                     uint32_t lease);
void entry_chain_remove(entry_state *entry, entry_list *list,
                        lease_chain chain, uint32_t lease);
uint32_t entry_add_lease(entry_state *entry, uint32_t shard, uint64_t id,
                         uint32_t endpoint, uint32_t flow);
void entry_drop_lease(entry_state *entry, uint32_t lease);
void entry_give_back(entry_state *entry, uint32_t lease);
void entry_settle_lease(entry_state *entry, lv_time now, uint32_t lease,
                        const char *reason);
uint32_t entry_find_lease(entry_state *entry, lv_time now, uint32_t item,
                          uint32_t *alternatives, const char **reason);
void entry_serve_flow(entry_state *entry, lv_time now, uint32_t flow);
void entry_serve_all(entry_state *entry, lv_time now);
void entry_end_leases(entry_state *entry, uint32_t shard);
bool entry_may_use(const entry_state *entry, lv_time now, uint32_t lease);
void entry_release_all_idle(entry_state *entry, lv_time now, uint32_t shard);
void entry_expire_holds(entry_state *entry, lv_time now);

/* entry-attempt.c: attempts, retries and ends */
void entry_start_attempt(entry_state *entry, lv_time now, uint32_t item,
                         uint32_t lease, uint64_t offset, const char *reason,
                         uint32_t alternatives);
void entry_end_item(entry_state *entry, lv_time now, uint32_t item,
                    out_kind kind, out_reason reason, lv_time retry_after);
void entry_rest_endpoint(entry_state *entry, lv_time now, uint32_t endpoint);
void entry_end_rests(entry_state *entry, lv_time now);

/* entry-wait.c: waiting requests and their demand */
void entry_wait(entry_state *entry, lv_time now, uint32_t item, bool is_new);
void entry_unwait(entry_state *entry, lv_time now, uint32_t item);
void entry_replace_demand(entry_state *entry, lv_time now, uint32_t silent);
void entry_note_rate(entry_state *entry, uint32_t flow, bool was_refused);
void entry_expire_waits(entry_state *entry, lv_time now);
/* The one shard that holds an account's fleet-wide limits, as
 * hrw_home_shard says; NONE while no shard has slots. */
uint32_t entry_home_shard(const entry_state *entry, uint32_t flow);
void entry_ask_allowance(entry_state *entry, uint32_t flow);
uint32_t entry_place(entry_state *entry, lv_time now, uint32_t pool,
                     uint32_t flow);
lv_time entry_drain_time(const entry_state *entry, uint32_t flow,
                         uint32_t places);

/* entry-cost.c: service accounts */
void entry_charge_start(entry_state *entry, lv_time now, uint32_t item);
void entry_charge_progress(entry_state *entry, lv_time now, uint32_t item);
void entry_charge_end(entry_state *entry, lv_time now, uint32_t item, bool ran,
                      bool is_whole, uint64_t input_units,
                      uint64_t output_units);
void entry_set_level(entry_state *entry, uint32_t flow);
void entry_note_turn(entry_state *entry, uint32_t flow);
void entry_join_turn(entry_state *entry, uint32_t flow);
ledger_line *entry_line(entry_state *entry, uint32_t flow);
void entry_note_backlog(entry_state *entry, lv_time now, uint32_t flow);

/* entry-prefix.c: which endpoint served a prompt prefix last */
void entry_note_prefix(entry_state *entry, uint64_t hash, uint32_t endpoint);
uint32_t entry_prefix_endpoint(const entry_state *entry, uint64_t hash);

/* entry-active.c: which parts have something to tell, and when */
void entry_wake(entry_state *entry, lv_time time);
void entry_mark_due(entry_state *entry, uint32_t shard);
void entry_mark_part(entry_state *entry, uint32_t part, bool is_urgent);
void entry_update_active(entry_state *entry, uint32_t part);
bool entry_has_demand(const entry_state *entry, const entry_part *part);
void entry_append_active(entry_state *entry, uint32_t part);
void entry_leave_active(entry_state *entry, uint32_t part);

/* entry-report.c: REPORTs */
void entry_flush(entry_state *entry, lv_time now);
void entry_send_full(entry_state *entry, lv_time now, uint32_t shard);

/* entry-grant.c: GRANTs and the dispatchers they come from */
void entry_tick_shards(entry_state *entry, lv_time now);

/* entry-local.c: the baselines without dispatchers */
void entry_make_local_leases(entry_state *entry, lv_time now);

/* entry-view.c: what the catalogue says about a flow */
void entry_set_flow(entry_state *entry, uint32_t flow);

/* entry-log.c: the decision log */
void entry_log(entry_state *entry, lv_decision_kind kind, const char *reason,
               uint32_t item, uint32_t endpoint, uint64_t value,
               uint32_t alternatives);
void entry_log_refusal(entry_state *entry, const entry_request *request,
                       out_reason reason);

#endif
