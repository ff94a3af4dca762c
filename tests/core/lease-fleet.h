/*
 * A small fleet on virtual time: real dispatchers and counter roots, and
 * entries that follow the entry's side of the lease protocol and run made-up
 * requests. Messages go through the real codec, with delay, loss, repeats
 * and reordering drawn from a seed.
 */
#ifndef LEASE_FLEET_H
#define LEASE_FLEET_H

#include "lavender/dispatcher.h"

enum {
    FLEET_ENTRIES = 16,
    FLEET_SHARDS = 4,
    FLEET_DISPATCHERS = 8,
    FLEET_ACCOUNTS = 32,
    FLEET_ENDPOINTS = 64,
    FLEET_LEASES = 256,
    FLEET_MESSAGES = 8192
};

#define FLEET_STEP (500 * (lv_time)1)

/* What one account's callers do. */
typedef struct fleet_work {
    uint32_t weight;
    uint32_t in_flight; /* 0: no limit */
    uint32_t rate;      /* requests per second; 0: no limit */
    uint32_t burst;
    uint32_t entries;      /* bit mask of the entries they use */
    uint32_t shards;       /* bit mask of those asked for slots; 0: all */
    uint32_t backlog;      /* keep this many deferrable ones waiting at each */
    lv_time interval;      /* an arrival this often, at entries in turn */
    cat_priority priority; /* of those arrivals */
    uint32_t least_ms;     /* cost of a request: evenly between */
    uint32_t most_ms;
    lv_time start;
    lv_time stop; /* 0: never */
} fleet_work;

typedef struct fleet_plan {
    uint64_t seed;
    uint32_t entries;
    uint32_t shards;
    uint32_t endpoints; /* of the whole pool */
    uint32_t slots;     /* of each endpoint */
    uint32_t accounts;
    const fleet_work *work;
    uint64_t quantum; /* slot-milliseconds */
    uint64_t urgent_credit;
    lv_time latency;   /* of a message, one way */
    lv_time jitter;    /* added, evenly: reorders when over a message gap */
    uint32_t lost;     /* of 1000 messages */
    uint32_t repeated; /* of 1000 messages */
    lv_time report_interval;
} fleet_plan;

typedef struct fleet_fleet fleet_fleet;

typedef struct fleet_host {
    lv_host base;
    fleet_fleet *fleet;
    uint32_t instance;
} fleet_host;

typedef struct fleet_request {
    lv_time arrived;
    lv_time cost;
} fleet_request;

typedef struct fleet_queue {
    fleet_request *items;
    uint32_t first;
    uint32_t count;
    uint32_t capacity;
} fleet_queue;

typedef struct fleet_lease {
    uint64_t id; /* 0: ended while its request ran on */
    uint32_t endpoint;
    uint32_t account; /* LV_HANDLE_NONE: any */
    uint32_t running; /* account of the request, or LV_HANDLE_NONE */
    cat_priority priority;
    bool is_recalled;
    lv_time idle_since;
    lv_time began;
    lv_time cost;
    lv_time charged;
} fleet_lease;

/* One entry's conversation with one shard's dispatcher. */
typedef struct fleet_talk {
    uint32_t dispatcher;
    bool is_claiming;
    uint64_t tenure;
    uint64_t sequence; /* of the last REPORT sent */
    uint64_t seen;
    lv_time next_full;
    lv_time last_short;
    lv_time valid_until;
    bool is_contended;
    bool has_news;
    uint32_t lease_count;
    fleet_lease leases[FLEET_LEASES];
    uint32_t released_count;
    uint64_t released[FLEET_LEASES];
    int64_t total[FLEET_ACCOUNTS]; /* microseconds */
    int64_t level[FLEET_ACCOUNTS];
    int64_t level_total[FLEET_ACCOUNTS]; /* total that the level has */
    lv_time full_sent; /* the reports whose totals these are */
    int64_t full_total[FLEET_ACCOUNTS];
    uint32_t allowance[FLEET_ACCOUNTS];
    bool has_allowance[FLEET_ACCOUNTS];
    bool is_changed[FLEET_ACCOUNTS];
    bool has_arrived[FLEET_ACCOUNTS]; /* since the last full report */
    uint32_t said_waiting[FLEET_ACCOUNTS];
} fleet_talk;

typedef struct fleet_entry {
    bool is_up;
    uint32_t side; /* of a partition */
    uint64_t incarnation;
    fleet_queue queues[FLEET_ACCOUNTS][CAT_PRIORITY_COUNT];
    uint32_t arrivals[FLEET_ACCOUNTS]; /* admitted */
    lv_time predicted[FLEET_ACCOUNTS];
    lim_bucket cold[FLEET_ACCOUNTS]; /* until an allowance came */
    fleet_talk talks[FLEET_SHARDS];
} fleet_entry;

typedef struct fleet_dispatcher {
    bool is_up;
    uint32_t shard;
    uint32_t instance;
    fleet_host host;
    disp_dispatcher disp;
} fleet_dispatcher;

typedef struct fleet_message {
    lv_time due;
    uint32_t from;
    uint32_t to;
    char *bytes;
    size_t size;
} fleet_message;

typedef struct fleet_waits {
    lv_time *values;
    uint32_t count;
    uint32_t capacity;
} fleet_waits;

struct fleet_fleet {
    fleet_plan plan;
    uint64_t random;
    lv_time now;
    cat_catalogue catalogue;
    cat_pool pool;
    cat_account accounts[FLEET_ACCOUNTS]; /* sorted by id */
    cat_entry entries_of[FLEET_ACCOUNTS];
    uint32_t order[FLEET_ACCOUNTS]; /* plan's account: place in accounts */
    lists_snapshot lists;
    lists_endpoint endpoints[FLEET_ENDPOINTS];
    uint32_t running_at[FLEET_ENDPOINTS];
    uint32_t most_running_at[FLEET_ENDPOINTS];
    uint64_t started_at[FLEET_ENDPOINTS];
    uint32_t shard_of[FLEET_ENDPOINTS];
    uint32_t home_of[FLEET_ACCOUNTS]; /* shard with the account's limits */
    fleet_entry entries[FLEET_ENTRIES];
    fleet_dispatcher dispatchers[FLEET_DISPATCHERS];
    uint32_t dispatcher_count;
    bool has_root;
    fleet_host root_host;
    root_state root;
    fleet_message messages[FLEET_MESSAGES];
    uint32_t message_count;
    uint64_t sent;
    msg_buffer buffer;
    lv_time next_arrival[FLEET_ACCOUNTS];
    uint32_t next_entry[FLEET_ACCOUNTS];
    lv_time service[FLEET_ACCOUNTS]; /* received, microseconds */
    uint32_t running[FLEET_ACCOUNTS];
    uint32_t most_running[FLEET_ACCOUNTS];
    uint64_t started[FLEET_ACCOUNTS];
    uint64_t admitted[FLEET_ACCOUNTS];
    uint64_t refused[FLEET_ACCOUNTS];
    fleet_waits waits[CAT_PRIORITY_COUNT];
    lv_time slot_time;                  /* while work waited */
    lv_time busy_time;                  /* of it */
    lv_time idle_from[FLEET_ENDPOINTS]; /* with a slot free while work waits */
    lv_time longest_idle;
    uint64_t bad_decisions; /* log lines without a reason */
};

void fleet_init(fleet_fleet *fleet, const fleet_plan *plan);
void fleet_finish(fleet_fleet *fleet);

/* Run until a point of time. */
void fleet_run(fleet_fleet *fleet, lv_time until);

/* Start a dispatcher for a shard at an instance; returns its number. */
uint32_t fleet_start_dispatcher(fleet_fleet *fleet, uint32_t shard,
                                uint32_t instance, uint64_t tenure);
void fleet_stop_dispatcher(fleet_fleet *fleet, uint32_t dispatcher);

/* Let an entry turn to a dispatcher, as its membership would say. */
void fleet_turn(fleet_fleet *fleet, uint32_t entry, uint32_t dispatcher);

/* Tell a dispatcher the entries that are up on its side. */
void fleet_tell_members(fleet_fleet *fleet, uint32_t dispatcher,
                        uint32_t visible_share);

/* End an entry's process; what runs at endpoints ends with it. */
void fleet_stop_entry(fleet_fleet *fleet, uint32_t entry);
void fleet_start_entry(fleet_fleet *fleet, uint32_t entry);

/* Largest difference and mean of service / weight since the snapshot, over
 * the accounts in the mask, in microseconds. */
typedef struct fleet_gap {
    lv_time gap;
    lv_time mean;
} fleet_gap;

void fleet_mark(const fleet_fleet *fleet, lv_time snapshot[FLEET_ACCOUNTS]);
fleet_gap fleet_gap_since(const fleet_fleet *fleet,
                          const lv_time snapshot[FLEET_ACCOUNTS],
                          uint32_t mask);

/* The stated bound of the gap for the fleet's plan, in microseconds. */
lv_time fleet_bound(const fleet_fleet *fleet);

/* Busy thousandths of slot time while work waited, since the last reset. */
uint32_t fleet_use(const fleet_fleet *fleet);
void fleet_reset_counts(fleet_fleet *fleet);

/* A quantile, in thousandths, of the waits of a priority. */
lv_time fleet_wait(fleet_fleet *fleet, cat_priority priority, uint32_t part);

#endif
