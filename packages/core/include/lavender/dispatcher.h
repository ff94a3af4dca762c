/*
 * The dispatcher role of one pool shard. It owns the slots of the shard's
 * endpoints and leases them to entries on behalf of accounts, so that the
 * accounts' virtual counters stay within the fairness bound of each other and
 * no slot is idle while requests wait.
 *
 * docs/DESIGN.md describes the protocol, docs/FAIRNESS.md derives the bound.
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

typedef struct disp_settings {
    lv_time lease_ttl;       /* time a lease is valid without a new report */
    lv_time lease_margin;    /* added to lease_ttl on the dispatcher's side */
    lv_time report_interval; /* maximum time between reports of an entry */
    lv_time settle_timeout;  /* maximum time for which a new dispatcher waits
                                for claims; until then it only adopts claimed
                                leases */
} disp_settings;

/* An engine's load report. It lags behind the engine's state. */
typedef struct disp_load {
    uint32_t running;
    uint32_t queued;
    uint32_t slots; /* 0: not reported */
} disp_load;

/* Heaps of accounts, ordered by virtual counter. The heaps of accounts with
 * demand have the minimum on top, with the expected cost of granted requests
 * added to the counter; DISP_HEAP_HOLDERS has the maximum on top. disp_demand
 * explains ungranted and uncovered. */
typedef enum disp_heap {
    DISP_HEAP_READY, /* accounts with ungranted demand */
    DISP_HEAP_READY_URGENT,
    DISP_HEAP_UNCOVERED, /* accounts with uncovered demand */
    DISP_HEAP_UNCOVERED_URGENT,
    DISP_HEAP_HOLDERS, /* accounts with active leases not pending */
    DISP_HEAP_COUNT
} disp_heap;

/* The two ends of a doubly linked list of table rows. */
typedef struct disp_list {
    uint32_t first;
    uint32_t last;
} disp_list;

typedef struct disp_link {
    uint32_t previous;
    uint32_t next;
} disp_link;

/* A count over the current time window and the one before it. */
typedef struct disp_window_count {
    uint32_t window; /* number of the current window */
    uint32_t current;
    uint32_t previous;
} disp_window_count;

/* One slot leased to an entry. The lease is pending until the entry
 * acknowledges the GRANT, and active until it is recalled. */
typedef struct disp_lease {
    uint64_t id;             /* 0: the row is free */
    uint64_t grant_sequence; /* GRANT that carried it; 0: not sent yet */
    uint32_t endpoint;
    uint32_t entry;
    uint32_t demand;        /* LV_HANDLE_NONE: floating, serves any account */
    uint32_t reserved_for;  /* demand that gets the slot after the recall */
    uint32_t listed_report; /* number of the last full report that lists it */
    bool is_recalled;
    bool is_recall_sent;
    bool is_pending;
    bool is_busy;          /* as of the last full report */
    cat_priority priority; /* of the request that runs, when busy */
    disp_link entry_link;
    disp_link endpoint_link;
    disp_link demand_link;  /* while active */
    disp_link recall_link;  /* while recalled */
    disp_link pending_link; /* while pending, by grant_sequence */
} disp_lease;

/* The demand of one account at one entry: what waits, runs and was used.
 * Waiting requests are ungranted as far as they exceed the pending grants;
 * ungranted requests are uncovered as far as they exceed the recalled slots
 * that are reserved for them. */
typedef struct disp_demand {
    uint32_t entry; /* LV_HANDLE_NONE: the row is free */
    uint32_t account;
    uint32_t waiting[CAT_PRIORITY_COUNT];
    lv_time oldest_arrival[CAT_PRIORITY_COUNT]; /* of the waiting requests */
    uint32_t pending;
    uint32_t uncharged_grants; /* acknowledged after the last service report */
    uint32_t reserved;         /* recalled slots reserved for it */
    uint32_t active;           /* active leases */
    uint32_t arrivals;         /* cumulative, as last reported */
    uint32_t allowance;        /* maximum arrivals, see msg_level */
    uint32_t reclaimed; /* taken off the allowance, not yet acknowledged */
    uint32_t issued_allowance;     /* unused allowance plus reclaimed */
    uint64_t reclaim_sequence;     /* GRANT that reclaims; 0: not sent */
    disp_window_count interest;    /* arrivals, and reports that list it */
    uint32_t reported_waiting;     /* requests, as last reported */
    uint32_t started_since_charge; /* requests that left the queue */
    uint32_t listed_report;     /* number of the last report that lists it */
    uint32_t level_report;      /* number of the last report answered with its
                                   level */
    int64_t service_total;      /* as last reported */
    int64_t service_since_move; /* since a lease moved to another entry */
    bool has_arrivals;
    bool has_service_total;
    bool is_reclaiming;
    bool needs_level; /* its lower allowance has not been sent */
    /* Requests, added up in the account's fields of the same names. */
    uint32_t ungranted;
    uint32_t uncovered;
    uint32_t urgent_ungranted;
    uint32_t urgent_uncovered; /* not counting one for each active lease */
    uint32_t heap_index;       /* in the account's demand_heap */
    disp_list active_list;     /* active */
    disp_link account_link;
    disp_link holder_link; /* the account's demands with active leases */
    disp_link entry_link;
    disp_link uncharged_link; /* the entry's demands with uncharged grants */
    disp_link reclaim_link;   /* the entry's demands that are reclaiming */
    disp_link waiting_link;   /* the entry's demands with waiting requests */
    bool is_waiting;
} disp_demand;

/* An account's level is its virtual counter. Levels, charges and estimates are
 * in service units divided by the account's weight. */
typedef struct disp_account {
    lv_id id;                /* LV_ID_NONE: the row is free */
    lv_handle catalogue_row; /* LV_HANDLE_NONE: not in the catalogue */
    uint32_t weight;
    uint32_t epoch; /* in which the level was last reset to epoch_base */
    int64_t level;
    int64_t residue;         /* service below one unit of level */
    int64_t mean_cost;       /* service units of a request */
    int64_t charged;         /* by this shard */
    int64_t remote_charged;  /* by the other shards, from POOL_SUM */
    int64_t claimed_level;   /* of the claims received while settling */
    int64_t unclaimed;       /* by this shard, not in a claimed level */
    int64_t remote_estimate; /* of what the other shards charged that no
                                POOL_SUM has reported */
    int64_t previous_remote_estimate; /* its part older than the last
                                         SHARD_SUM */
    int64_t reported_charged;         /* charged, as in the last SHARD_SUM */
    uint64_t remote_tenure; /* of the root that sent remote_charged */
    bool has_rate_limit;
    bool enforces_limits;   /* this shard alone enforces its limits */
    uint8_t sums_remaining; /* SHARD_SUMs that still have to carry it */
    uint32_t max_leases;    /* UINT32_MAX: no limit */
    uint32_t leased;        /* all its leases, also pending and recalled */
    uint32_t active;        /* active leases */
    uint32_t pending;
    uint32_t uncharged_grants;
    uint32_t reserved;
    uint32_t waiting;
    uint32_t reported_waiting;
    uint32_t ungranted;
    uint32_t uncovered;
    uint32_t urgent_ungranted;
    uint32_t urgent_uncovered;
    disp_window_count interest; /* sum over its demands */
    lv_time window_start;       /* of the interest's window */
    lv_time last_reclaim;       /* of unused allowances */
    uint32_t issued_allowance;  /* sum over its demands */
    lim_bucket rate_bucket;
    uint32_t heap_indices[DISP_HEAP_COUNT];
    heap_min_heap demand_heap; /* ungranted demands, oldest request on top */
    disp_list demand_list;
    disp_list holders; /* demands with active leases */
    lv_time idle_since;
    disp_link idle_link;
    bool is_idle; /* no waiting requests and no leases */
} disp_account;

/* One process (incarnation) of an instance in the entry role. */
typedef struct disp_entry {
    lv_id id; /* LV_ID_NONE: the row is free */
    uint64_t incarnation;
    uint64_t report_sequence;   /* of the last report received */
    uint64_t grant_sequence;    /* of the last GRANT sent */
    uint64_t grant_at_progress; /* the same at the last progress report */
    lv_time echo;               /* `sent` of the last full report */
    lv_time last_full_report;   /* when it was received */
    lv_time lease_deadline;     /* when the dispatcher frees its leases */
    uint32_t lease_count;
    uint32_t idle_floating; /* floating leases that run no request */
    lv_time last_arrival;   /* when one was last reported; 0: never */
    bool is_member;
    bool is_superseded;     /* by a later incarnation */
    bool needs_full_report; /* one of its reports was lost */
    bool is_responsive;     /* reported recently enough to get grants */
    bool has_reported;
    bool needs_grant; /* a GRANT has to be sent */
    disp_list lease_list;
    disp_list recall_list;
    disp_list pending_list; /* pending leases, oldest GRANT first */
    disp_list demand_list;
    disp_list waiting_list;
    disp_list reclaim_list;
    disp_list uncharged_list;
} disp_entry;

typedef struct disp_endpoint {
    lv_id id;                 /* LV_ID_NONE: the row is free */
    uint32_t published_slots; /* in the list of endpoints or the catalogue */
    uint32_t slot_limit;      /* slots in use, adapted to the load reports */
    uint32_t extra_slots; /* slots above the visible share that load reports
                             allow */
    uint32_t max_leases;  /* leases above this number are recalled */
    uint32_t leased;
    uint32_t recalled;
    uint32_t queued_reports; /* consecutive load reports with a queue */
    uint32_t full_reports;   /* consecutive ones with all slots in use and no
                                queue */
    uint32_t spare_reports;  /* consecutive ones with a free slot */
    uint32_t heap_index;     /* in free_endpoints */
    bool is_listed;
    bool is_listed_leaving;   /* according to the list of endpoints */
    bool is_reported_leaving; /* according to disp_set_endpoint_leaving */
    disp_list lease_list;
} disp_endpoint;

/* Events since the start, see disp_counts. */
typedef struct disp_events {
    uint64_t grants;
    uint64_t recalls;
    uint64_t expired;
    uint64_t stale_reports;
    uint64_t decisions;
} disp_events;

/* Public only so that its owner can allocate it; all members are private.
 * Entries, demands, leases and accounts keep their rows in tables; a free row
 * links to the next one. */
typedef struct disp_dispatcher {
    lv_host *host;
    disp_settings settings;
    lv_id self;
    lv_id pool_id;
    uint32_t shard;
    uint32_t shard_count;
    uint32_t *shard_slots; /* listed slots of each shard */
    uint32_t shard_slot_capacity;
    uint64_t tenure;
    lv_time started;
    bool is_settled;        /* claims are in: leases may be granted */
    bool is_contended;      /* ungranted requests wait */
    bool has_pool;          /* the pool is in the catalogue */
    uint32_t visible_share; /* thousandths, see disp_set_members */
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
    map_table entry_map; /* by instance, the last incarnation only */
    lv_id *members;      /* sorted */
    uint32_t member_count;
    uint32_t member_capacity;

    disp_lease *leases;
    uint32_t lease_count;
    uint32_t lease_capacity;
    uint32_t free_lease;
    map_table lease_map;
    uint64_t next_lease_id;
    uint32_t leased; /* leases in the table */

    disp_endpoint *endpoints;
    uint32_t endpoint_count;
    uint32_t endpoint_capacity;
    map_table endpoint_map;
    heap_min_heap free_endpoints; /* with a free slot, minimum use on top */

    uint32_t epoch;            /* grows when contention begins after a pause */
    int64_t epoch_base;        /* level of all accounts at the epoch's start */
    int64_t virtual_time;      /* minimum waiting level at the last grant */
    int64_t max_level;         /* maximum level of any account so far */
    lv_time uncontended_since; /* end of the last contention; not used while
                                  is_contended */

    uint32_t report_number;  /* of reports received */
    uint64_t first_sequence; /* where the GRANTs of a new entry row start */
    uint64_t sum_sequence;   /* of the last SHARD_SUM */
    lv_time next_sum;
    uint32_t *scratch; /* rows, valid during one call */
    uint32_t scratch_capacity;
    uint32_t *dirty; /* accounts that the next SHARD_SUM reports */
    uint32_t dirty_count;
    uint32_t dirty_capacity;
    lv_id root;
    uint64_t root_tenure;   /* of the last POOL_SUM; 0: none received */
    uint64_t root_sequence; /* of the last POOL_SUM */

    uint32_t *send_queue; /* entries that a GRANT has to be sent to */
    uint32_t send_queue_count;
    uint32_t send_queue_capacity;
    /* Arrays of the message that is being built. */
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

/* Initialises a dispatcher that has no documents, members or claims yet. The
 * host must outlive it. The tenure is raised above any other that a report
 * names. Returns false and sets the error when the settings contradict each
 * other. */
bool disp_init(disp_dispatcher *dispatcher, lv_host *host,
               const disp_settings *settings, lv_id self, lv_id pool,
               uint32_t shard, uint64_t tenure, lv_time now, err_error *error);

/* Frees all memory. Leases that entries hold expire there. */
void disp_finish(disp_dispatcher *dispatcher);

/* Applies a new catalogue or new lists; either may be NULL. Both must stay
 * valid until the next call. */
void disp_set_documents(disp_dispatcher *dispatcher, lv_time now,
                        const cat_catalogue *catalogue,
                        const lists_snapshot *lists);

/* Sets the instances that may hold leases. Leases of an instance that is no
 * longer a member run to their deadline. visible_share is the part of every
 * endpoint's slots that this side of a partition may use, in thousandths; 1000
 * without a partition. */
void disp_set_members(disp_dispatcher *dispatcher, lv_time now,
                      const lv_id *instances, uint32_t count,
                      uint32_t visible_share);

/* Sets whether an endpoint is reported as leaving ahead of the lists. The
 * slots of a leaving endpoint are recalled and not granted again. */
void disp_set_endpoint_leaving(disp_dispatcher *dispatcher, lv_time now,
                               lv_id endpoint, bool leaving);

/* Adapts the number of an endpoint's slots to its load report. */
void disp_apply_load(disp_dispatcher *dispatcher, lv_time now, lv_id endpoint,
                     const disp_load *load);

/* Applies a REPORT and sends the GRANTs that follow from it. Returns false
 * when it is dropped because it is old or for another pool or shard. */
bool disp_receive_report(disp_dispatcher *dispatcher, lv_time now,
                         const msg_message *message);

/* Applies a POOL_SUM of the counter root. Returns false when it is dropped
 * because it is old or for another pool. */
bool disp_receive_pool_sum(disp_dispatcher *dispatcher, lv_time now,
                           const msg_message *message);

/* Expires leases, removes idle entries and accounts, grants and recalls, and
 * sends a SHARD_SUM when a counter root is set and the sum is due. */
void disp_tick(disp_dispatcher *dispatcher, lv_time now);

/* Returns when disp_tick is due. */
lv_time disp_next_tick(const disp_dispatcher *dispatcher);

/* Sets the pool's counter root, LV_ID_NONE when the pool has one shard. */
void disp_set_root(disp_dispatcher *dispatcher, lv_id root);

/* Counters and gauges for the status page and the metrics. */
typedef struct disp_counts {
    uint64_t grants;
    uint64_t recalls;
    uint64_t expired;       /* leases */
    uint64_t stale_reports; /* messages dropped */
    uint64_t decisions;     /* choices of an account */
    uint32_t slots;
    uint32_t leased; /* slots */
    uint32_t active_accounts;
    int64_t lead; /* maximum minus minimum counter of the waiting accounts */
    bool is_settled;
    size_t memory; /* bytes allocated */
} disp_counts;

void disp_read_counts(const disp_dispatcher *dispatcher, disp_counts *counts);

/* What the fairness bound of one pool shard depends on. */
typedef struct disp_bound_input {
    uint64_t max_request_cost; /* service units of the costliest request */
    uint64_t max_slot_rate; /* maximum service units per second of one slot */
    uint32_t slots;         /* of the shard, or of all shards together */
    uint32_t min_weight;    /* minimum weight of a backlogged account */
    uint64_t quantum;
    uint64_t urgent_credit;
    lv_time recall_delay; /* from the start of a request until the recall that
                             it causes reaches the entry: the report interval
                             and two message delays; with several shards, two
                             intervals of the counter root more */
} disp_bound_input;

/* Returns the maximum difference of service / weight between two accounts that
 * are both backlogged all the time. docs/FAIRNESS.md derives it. */
uint64_t disp_fairness_bound(const disp_bound_input *input);

#endif
