/*
 * A pump of messages and calls between real nodes on virtual time, with
 * small fakes for callers, endpoints and the platform, and faults in
 * between. It records what happened, for the checks in pump-check.c.
 */
#ifndef PUMP_H
#define PUMP_H

#include "lavender/node.h"

#define PUMP_NODES_MAX 8
#define PUMP_ENDPOINTS_MAX 16
#define PUMP_ACCOUNTS_MAX 16
#define PUMP_REQUESTS_MAX 200000
#define PUMP_QUEUE_MAX 4096

/* Planted faults, to show that the checks find them. */
typedef enum pump_mutation {
    PUMP_MUTATE_NOTHING,
    PUMP_MUTATE_SEND_TWICE,   /* a request is written a second time */
    PUMP_MUTATE_SWAP_ANSWERS, /* an answer goes to another request */
    PUMP_MUTATE_CUT_ANSWER,   /* half an answer is called whole */
    PUMP_MUTATE_LIE_NOT_RUN,  /* "unknown" is told as "not-run" */
    PUMP_MUTATE_IGNORE_LEAVE, /* an endpoint's leaving is not heard */
    PUMP_MUTATE_REVERT,       /* a router takes an older catalogue */
    PUMP_MUTATE_CUT_AT_DRAIN, /* shutdown drops what is in progress */
    PUMP_MUTATE_HOARD,        /* no recall is ever heard */
    PUMP_MUTATE_STARVE,       /* some accounts' demand is not reported */
    PUMP_MUTATE_COUNT
} pump_mutation;

typedef struct pump_settings {
    uint64_t seed;
    uint32_t nodes;
    uint32_t zones;
    uint32_t engines;
    uint32_t engine_slots;
    uint32_t accounts;
    uint32_t shard_endpoints;
    lv_time latency;      /* one way, between nodes */
    lv_time call_latency; /* one way, node to endpoint */
    uint64_t cost_min;    /* output units of a request */
    uint64_t cost_max;
    lv_time unit_time;        /* per output unit */
    uint32_t backlog;         /* requests each account keeps open at a node */
    uint32_t skew;            /* every skew-th account sits at one node only */
    uint32_t unsafe_permille; /* requests that are not idempotent */
    pump_mutation mutation;
} pump_settings;

typedef struct pump_faults {
    uint32_t drop_permille;
    uint32_t duplicate_permille;
    uint32_t delay_permille; /* reordering follows from it */
    lv_time delay_max;
} pump_faults;

typedef struct pump_request {
    uint32_t account;
    uint32_t node;
    uint64_t incarnation; /* of the node's process */
    lv_handle handle;
    uint32_t attempt;          /* the current one, 0: none */
    uint64_t cost;             /* output units */
    uint32_t runs;             /* times an endpoint began it */
    uint32_t writes;           /* times a byte went out */
    uint32_t answered_attempt; /* whose whole answer came in */
    uint64_t answered_units;
    lv_time submitted;
    lv_time started; /* first write */
    bool is_safe;    /* idempotent */
    bool is_open;
    bool is_accepted;
    bool was_lost; /* its router died */
    out_outcome outcome;
} pump_request;

typedef struct pump_job {
    uint32_t request;
    uint32_t attempt;
    lv_time begun; /* 0: in the endpoint's queue */
    bool is_live;
} pump_job;

typedef struct pump_endpoint {
    lv_id id;
    bool is_up;
    lv_time leaving_since; /* 0: not leaving */
    uint32_t running;
    pump_job queue[PUMP_QUEUE_MAX];
    uint32_t queue_count;
    lv_time busy;   /* slot time worked */
    uint32_t epoch; /* grows when open connections die */
} pump_endpoint;

typedef struct pump_pump pump_pump;

typedef struct pump_node {
    lv_host host; /* first member */
    pump_pump *pump;
    uint32_t index;
    lv_id id;
    char name[LV_NAME_SIZE];
    uint64_t incarnation;
    lv_time clock_offset;
    node_state *node; /* NULL: not running */
    bool is_paused;
    bool is_draining;
    bool is_watching;
    uint32_t group;    /* nodes of different groups can not talk */
    uint64_t revision; /* highest catalogue seen in force here */
    uint32_t *handles; /* request handle slot to request */
} pump_node;

typedef struct pump_event pump_event;

struct pump_pump {
    pump_settings settings;
    pump_faults faults;
    lv_time now;
    uint64_t random;
    pump_node nodes[PUMP_NODES_MAX];
    pump_endpoint endpoints[PUMP_ENDPOINTS_MAX];
    pump_request *requests;
    uint32_t request_count;
    bool is_cut[PUMP_NODES_MAX][PUMP_NODES_MAX]; /* from, to: silent */
    pump_event *events; /* binary heap by time and order */
    uint32_t event_count;
    uint32_t event_capacity;
    uint64_t event_order;
    bool is_loaded; /* callers replace finished requests */
    bool is_platform_up;
    bool is_platform_stale;
    uint64_t published; /* catalogue revision */
    uint64_t list_revision;
    uint64_t stale_revision; /* what a stale platform says */
    uint64_t stale_lists;
    int64_t service[PUMP_ACCOUNTS_MAX]; /* units worked, weighted */
    lv_time last_start[PUMP_ACCOUNTS_MAX];
    lv_time longest_gap[PUMP_ACCOUNTS_MAX]; /* between two starts */
    lv_time idle_while_waiting;             /* slot time */
    lv_time watched;                        /* slot time looked at */
    uint32_t violations;
    char first_violation[256];
    uint64_t messages;
    uint64_t message_bytes;
};

/* Allocates; pump_close frees. All nodes start at once. */
pump_pump *pump_open(const pump_settings *settings);
void pump_close(pump_pump *pump);
void pump_default_settings(pump_settings *settings, uint64_t seed);

/* Let virtual time pass. */
void pump_run(pump_pump *pump, lv_time length);

/* Random number below a bound. */
uint32_t pump_random(pump_pump *pump, uint32_t below);

/* Faults. */
void pump_kill(pump_pump *pump, uint32_t node);
void pump_start(pump_pump *pump, uint32_t node);
void pump_pause(pump_pump *pump, uint32_t node);
void pump_resume(pump_pump *pump, uint32_t node);
void pump_drain(pump_pump *pump, uint32_t node);
void pump_split(pump_pump *pump, uint32_t nodes_in_second_group);
void pump_heal(pump_pump *pump);
void pump_crash_endpoint(pump_pump *pump, uint32_t endpoint);
void pump_revive_endpoint(pump_pump *pump, uint32_t endpoint);
void pump_silence_endpoint(pump_pump *pump, uint32_t endpoint);
void pump_leave_endpoint(pump_pump *pump, uint32_t endpoint);
void pump_publish(pump_pump *pump);
/* One account at one node opens many requests at once. */
void pump_flood(pump_pump *pump, uint32_t account, uint32_t node,
                uint32_t count);
void pump_set_load(pump_pump *pump, bool is_loaded);

/* The node that dispatches the first shard of the engines' pool, or the
 * number of nodes when none does. */
uint32_t pump_find_dispatcher(const pump_pump *pump);

/* Service units worked for an account so far, running requests included. */
int64_t pump_read_service(const pump_pump *pump, uint32_t account);

/* Inside. */
void pump_violate(pump_pump *pump, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void pump_note_finish(pump_pump *pump, pump_request *request,
                      const out_outcome *outcome);
void pump_note_catalogue(pump_pump *pump, pump_node *node);
void pump_note_write(pump_pump *pump, pump_request *request,
                     uint32_t endpoint);
void pump_check_open(pump_pump *pump);
void pump_observe(pump_pump *pump);
lv_time pump_node_clock(const pump_node *node);
char *pump_write_head(const pump_pump *pump, uint64_t revision);
char *pump_write_accounts(const pump_pump *pump);
char *pump_write_lists(const pump_pump *pump, uint64_t revision);

/* Events, in pump-event.c. */
typedef enum pump_event_kind {
    PUMP_EVENT_MESSAGE,  /* to node: an encoded message */
    PUMP_EVENT_CONNECT,  /* node: attempt reaches the endpoint */
    PUMP_EVENT_JOB_END,  /* endpoint: a job is done */
    PUMP_EVENT_ANSWER,   /* node: an attempt's end arrives */
    PUMP_EVENT_PLATFORM, /* node: a part read from the platform */
    PUMP_EVENT_SUBMIT    /* a caller sends its next request */
} pump_event_kind;

struct pump_event {
    lv_time time;
    uint64_t order;
    pump_event_kind kind;
    uint32_t node;
    uint64_t incarnation;
    uint32_t endpoint;
    uint32_t epoch;
    uint32_t request;
    uint32_t attempt;
    entry_result end;
    doc_kind doc;
    uint32_t part;
    char *bytes;
    size_t size;
};

void pump_push(pump_pump *pump, lv_time delay, const pump_event *event);
bool pump_pop(pump_pump *pump, lv_time until, pump_event *event);

/* Callers and endpoints, in pump-call.c. */
void pump_submit(pump_pump *pump, uint32_t account, uint32_t node);
void pump_take_connect(pump_pump *pump, const pump_event *event);
void pump_take_job_end(pump_pump *pump, const pump_event *event);
void pump_take_answer(pump_pump *pump, const pump_event *event);
void pump_start_attempt(lv_host *host, const lv_attempt *attempt);
void pump_cancel_attempt(lv_host *host, lv_handle request, uint32_t number);
void pump_finish_request(lv_host *host, lv_handle request,
                         const out_outcome *outcome);
void pump_lose_node(pump_pump *pump, uint32_t node);
void pump_fail_jobs(pump_pump *pump, uint32_t endpoint, lv_time delay);

#endif
