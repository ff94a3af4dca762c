/*
 * The dispatcher role of one pool shard: it owns the slots of the shard's
 * endpoints and leases them to entries for accounts, so that the accounts'
 * virtual counters stay together and no slot idles while work waits.
 *
 * See docs/DESIGN.md for the protocol and docs/FAIRNESS.md for the bound.
 */
#ifndef LAVENDER_DISPATCHER_H
#define LAVENDER_DISPATCHER_H

#include "lavender/catalogue.h"
#include "lavender/heap.h"
#include "lavender/host.h"
#include "lavender/limits.h"
#include "lavender/map.h"
#include "lavender/root.h"
#include "lavender/world.h"

#define DISP_SHARD_ENDPOINTS_MAX 64

typedef struct disp_settings {
    lv_time lease_ttl;       /* length of a lease */
    lv_time lease_margin;    /* the dispatcher waits this much longer */
    lv_time report_interval; /* entries report at least this often */
    lv_time settle_timeout;  /* a new dispatcher grants nothing unclaimed
                        until all claims are in, or this long */
} disp_settings;

/* The engine's lagging load report. */
typedef struct disp_load {
    uint32_t running;
    uint32_t queued;
    uint32_t slots; /* 0: the engine does not say */
} disp_load;

/* The heaps that an account can be in. */
typedef enum disp_heap {
    DISP_READY,        /* has demand without a grant, least counter first */
    DISP_READY_URGENT, /* the same for urgent demand */
    DISP_WANT,         /* has demand that no recalled slot is meant for */
    DISP_WANT_URGENT,  /* the same for urgent demand */
    DISP_HOLD,         /* holds slots not recalled, largest counter first */
    DISP_HEAP_COUNT
} disp_heap;

/* Ends of a doubly linked list of table handles. */
typedef struct disp_list {
    uint32_t first;
    uint32_t last;
} disp_list;

typedef struct disp_link {
    uint32_t previous;
    uint32_t next;
} disp_link;

/* A count over this window of time and the one before. */
typedef struct disp_recent {
    uint32_t window;
    uint32_t now;
    uint32_t before;
} disp_recent;

/* One slot leased to an entry. */
typedef struct disp_lease {
    uint64_t id;       /* 0: the place in the table is free */
    uint64_t sequence; /* of the GRANT that carried it; 0: not sent yet */
    uint32_t endpoint;
    uint32_t entry;
    uint32_t demand;       /* LV_HANDLE_NONE: serves any account */
    uint32_t reserved_for; /* demand that its recall shall serve */
    uint32_t stamp;        /* of the full report that listed it last */
    bool is_recalled;
    bool is_recall_sent;
    bool is_pending; /* the entry has not said that it knows of it */
    bool is_busy;
    cat_priority priority;
    disp_link entry_link;
    disp_link endpoint_link;
    disp_link demand_link;  /* while not recalled */
    disp_link recall_link;  /* while recalled */
    disp_link pending_link; /* while pending, in order of sequence */
} disp_lease;

/* What one account waits for, holds and used at one entry. */
typedef struct disp_demand {
    uint32_t entry; /* LV_HANDLE_NONE: the place is free */
    uint32_t account;
    uint32_t waiting[CAT_PRIORITY_COUNT];
    lv_time oldest[CAT_PRIORITY_COUNT]; /* since when the head waits */
    uint32_t pending;                   /* grants on their way */
    uint32_t begun;    /* grants seen since service was last reported */
    uint32_t reserved; /* recalled slots that are meant for it */
    uint32_t active;   /* leases not recalled */
    uint32_t arrivals; /* cumulative, as last reported */
    uint32_t allowance;
    uint32_t reclaimed; /* requests taken off the allowance, until seen */
    uint32_t given;     /* allowance and what is taken off it */
    uint64_t reclaim_sequence; /* GRANT that takes them off; 0: not sent */
    disp_recent recent;        /* reports that listed it, and arrivals */
    uint32_t reported;         /* requests waiting, as last reported */
    uint32_t started; /* requests that left the queue since last charged */
    uint32_t stamp;
    uint32_t answered; /* the answer that carried its level last */
    int64_t total;     /* service as last reported */
    int64_t used;      /* service since a slot was last moved away */
    bool has_arrivals;
    bool has_total;
    bool is_reclaiming;
    bool needs_level; /* its allowance shall be sent at once */
    /* What it adds to its account's sums. */
    uint32_t unmet;
    uint32_t wanted;
    uint32_t urgent_unmet;
    uint32_t urgent_wanted;
    uint32_t heap_index;   /* in the account's heap */
    disp_list active_list; /* not recalled */
    disp_link of_account;
    disp_link holder_link; /* demands of the account that hold leases */
    disp_link entry_link;
    disp_link of_begun;   /* demands of the entry with grants begun */
    disp_link of_reclaim; /* demands of the entry that give back allowance */
    disp_link of_waiting; /* demands of the entry that wait */
    bool is_waiting;
} disp_demand;

typedef struct disp_account {
    lv_id id;            /* LV_ID_NONE: the place is free */
    lv_handle catalogue; /* LV_HANDLE_NONE: not in the catalogue */
    uint32_t weight;
    uint32_t epoch;  /* of the last rebase of its level */
    int64_t level;   /* virtual counter: service / weight */
    int64_t residue; /* service that is less than one unit of level */
    int64_t cost;    /* of a request, service units, averaged */
    int64_t given;   /* service / weight charged by this shard */
    int64_t foreign; /* service / weight that other shards gave */
    int64_t claimed; /* highest level claimed while settling */
    int64_t since;   /* service / weight on top of claimed */
    int64_t guess;   /* what other shards are taken to give at the same time */
    int64_t old_guess;       /* the part of it before the last SHARD_SUM */
    int64_t summed;          /* given, as the last SHARD_SUM had it */
    uint64_t foreign_tenure; /* of the root that foreign came from */
    bool is_rated;
    bool is_home;    /* of several shards this one holds its limits */
    uint8_t dirty;   /* SHARD_SUMs that shall still carry it */
    uint32_t limit;  /* most leases; UINT32_MAX: no limit */
    uint32_t leased; /* all leases bound to it */
    uint32_t active; /* those not recalled */
    uint32_t pending;
    uint32_t begun;
    uint32_t reserved;
    uint32_t waiting;
    uint32_t reported; /* requests waiting, as its entries last said */
    uint32_t unmet;
    uint32_t wanted;
    uint32_t urgent_unmet;
    uint32_t urgent_wanted;
    disp_recent recent; /* sum of its demands' */
    lv_time window_start;
    lv_time reclaimed;  /* when allowances were last taken back */
    uint32_t given_out; /* allowances that its entries have left */
    lim_bucket rate;
    uint32_t places[DISP_HEAP_COUNT];
    heap_min_heap demands; /* with unmet work, oldest request first */
    disp_list demand_list;
    disp_list holders;
    lv_time idle_since;
    disp_link of_idle;
    bool is_idle;
} disp_account;

typedef struct disp_entry {
    lv_id id; /* LV_ID_NONE: the place is free */
    uint64_t incarnation;
    uint64_t sequence;    /* of the last report taken */
    uint64_t sent;        /* sequence of the last GRANT */
    uint64_t sent_before; /* `sent` at the last report of progress */
    lv_time echo;         /* `sent` of the last full report */
    lv_time heard;        /* when that report came */
    lv_time deadline;     /* when its leases end here */
    uint32_t lease_count;
    uint32_t idle_any; /* leases for any account that no request uses */
    lv_time arrived;   /* when an arrival was last reported */
    bool is_member;
    bool is_gone;    /* a later incarnation came */
    bool wants_full; /* a report of its was lost */
    bool is_fresh;   /* heard of lately: may get grants */

    bool has_claimed;
    bool needs_grant; /* something waits to be sent */
    disp_list lease_list;
    disp_list recall_list;
    disp_list pending_list; /* pending leases, oldest grant first */
    disp_list demand_list;
    disp_list waiting_list;
    disp_list reclaim_list;
    disp_list begun_list;
} disp_entry;

typedef struct disp_endpoint {
    lv_id id;                 /* LV_ID_NONE: the place is free */
    uint32_t published_slots; /* published slots */
    uint32_t slot_limit;      /* slots used now, after the load reports */
    uint32_t
        extra_slots; /* slots over the visible share that load shows free */
    uint32_t max_leases; /* leases allowed now */
    uint32_t leased;
    uint32_t recalled;
    uint32_t queued_reports; /* load reports in a row with a queue */
    uint32_t full_reports;   /* load reports in a row, full without one */
    uint32_t spare_reports;  /* load reports in a row that show room */
    uint32_t heap_index;
    bool is_listed;
    bool is_listed_leaving;   /* as the lists say */
    bool is_reported_leaving; /* as disp_set_endpoint_leaving says */
    disp_list lease_list;
} disp_endpoint;

/* Counts of events since the start. */
typedef struct disp_events {
    uint64_t grants;
    uint64_t recalls;
    uint64_t expired;
    uint64_t stale_reports;
    uint64_t decisions;
} disp_events;

/* Public only so that its owner can place it; all members are private. */
typedef struct disp_dispatcher {
    lv_host *host;
    disp_settings settings;
    lv_id self;
    lv_id pool_id;
    uint32_t shard;
    uint32_t shard_count;
    uint32_t *shard_slots; /* as listed, of each shard */
    uint32_t shard_slot_capacity;
    uint64_t tenure;
    lv_time started;
    bool is_settled;
    bool is_contended;
    bool has_pool; /* the catalogue has the pool */
    uint32_t visible_share;
    cat_pool pool;
    const cat_catalogue *catalogue;

    disp_account *accounts;
    uint32_t account_count;
    uint32_t account_capacity;
    uint32_t free_account;
    map_table account_map;
    disp_list idle_list;
    uint32_t active_accounts;
    heap_min_heap heaps[DISP_HEAP_COUNT];

    disp_demand *demands;
    uint32_t demand_count;
    uint32_t demand_capacity;
    uint32_t free_demand;
    map_table demand_map; /* by entry and account */

    disp_entry *entries;
    uint32_t entry_count;
    uint32_t entry_capacity;
    uint32_t free_entry;
    map_table entry_map;
    lv_id *members;
    uint32_t member_count;
    uint32_t member_capacity;

    disp_lease *leases;
    uint32_t lease_count;
    uint32_t lease_capacity;
    uint32_t free_lease;
    map_table lease_map;
    uint64_t next_lease_id;
    uint32_t leased;

    disp_endpoint *endpoints;
    uint32_t endpoint_count;
    uint32_t endpoint_capacity;
    map_table endpoint_map;
    heap_min_heap free_endpoints; /* with room, least used first */

    uint32_t epoch;      /* grows when contention begins after a calm */
    int64_t base;        /* level of all accounts at the epoch's start */
    int64_t virtual_now; /* least level at the last choice */
    int64_t highest;     /* highest level ever charged */
    lv_time calm_since;  /* when contention ended; LV_TIME_NEVER: it lasts */

    uint32_t stamp;
    uint64_t first_sequence; /* of GRANTs and SHARD_SUMs */
    uint64_t sum_sequence;
    lv_time next_sum;
    uint32_t *scratch; /* handles, for the length of one call */
    uint32_t scratch_capacity;
    uint32_t *dirty; /* accounts for the next SHARD_SUM */
    uint32_t dirty_count;
    uint32_t dirty_capacity;
    lv_id root;
    uint64_t root_tenure;
    uint64_t root_sequence;

    uint32_t *touched; /* entries with something to send */
    uint32_t touched_count;
    uint32_t touched_capacity;
    msg_grant *out_grants;
    uint32_t out_grant_capacity;
    uint64_t *out_recalls;
    uint32_t out_recall_capacity;
    msg_level *out_levels;
    uint32_t out_level_count;
    uint32_t out_level_capacity;
    msg_service *out_services;
    uint32_t out_service_capacity;

    disp_events events;
    lv_time next_tick;
} disp_dispatcher;

bool disp_init(disp_dispatcher *dispatcher, lv_host *host,
               const disp_settings *settings, lv_id self, lv_id pool,
               uint32_t shard, uint64_t tenure, lv_time now, err_error *error);
void disp_finish(disp_dispatcher *dispatcher);

/* The catalogue or lists changed; both stay valid until the next call. */
void disp_set_documents(disp_dispatcher *dispatcher, lv_time now,
                        const cat_catalogue *catalogue,
                        const world_lists *lists);

/* Entries that may hold leases, from the membership. A dead one's leases
 * run to their deadline. visible_share: thousandths of every endpoint's
 * slots this side may use (1000 when no partition is seen). */
void disp_set_members(disp_dispatcher *dispatcher, lv_time now,
                      const lv_id *instances, uint32_t count,
                      uint32_t visible_share);

void disp_set_endpoint_leaving(disp_dispatcher *dispatcher, lv_time now,
                               lv_id endpoint, bool leaving);

void disp_apply_load(disp_dispatcher *dispatcher, lv_time now, lv_id endpoint,
                     const disp_load *load);

/* Take a REPORT; false when it was dropped (old, foreign). */
bool disp_receive_report(disp_dispatcher *dispatcher, lv_time now,
                         const msg_message *message);

/* Take the counter root's POOL_SUM. */
bool disp_receive_pool_sum(disp_dispatcher *dispatcher, lv_time now,
                           const msg_message *message);

/* Grant, recall, answer reports, expire leases; also sends SHARD_SUM to the
 * counter root when one is set. Grants that follow from a report are sent
 * by disp_receive_report itself. */
void disp_tick(disp_dispatcher *dispatcher, lv_time now);
lv_time disp_next_tick(const disp_dispatcher *dispatcher);

/* The pool's counter root, or LV_ID_NONE when the pool has one shard. */
void disp_set_root(disp_dispatcher *dispatcher, lv_id root);

typedef struct disp_counts {
    uint64_t grants;
    uint64_t recalls;
    uint64_t expired; /* leases that ran out */
    uint64_t stale_reports;
    uint64_t decisions; /* choices of an account */
    uint32_t slots;
    uint32_t leased;
    uint32_t active_accounts;
    int64_t lead; /* largest counter - smallest, backlogged ones */
    bool is_settled;
    size_t memory; /* bytes held */
} disp_counts;

void disp_read_counts(const disp_dispatcher *dispatcher, disp_counts *counts);

/* What the fairness bound depends on, for one pool shard. */
typedef struct disp_bound_input {
    uint64_t max_request_cost; /* service units of the costliest request */
    uint64_t max_slot_rate;    /* most service units per second of a slot */
    uint32_t slots;            /* of the shard, or of all shards together */
    uint32_t min_weight;       /* least weight of a backlogged account */
    uint64_t quantum;
    uint64_t urgent_credit;
    lv_time recall_delay; /* from a start of a request until the recall that
                           it causes is known at the entry: the report
                           interval and two message delays, and for several
                           shards two intervals of the counter root */
} disp_bound_input;

/* The largest difference of service / weight that two accounts, both
 * backlogged all the time, can have; docs/FAIRNESS.md derives it. */
uint64_t disp_fairness_bound(const disp_bound_input *input);

#endif
