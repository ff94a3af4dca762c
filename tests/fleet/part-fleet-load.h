/*
 * The parts of the load tool: the plan, the flows of requests, the check of
 * each answer, and the report.
 */
#ifndef PART_FLEET_LOAD_H
#define PART_FLEET_LOAD_H

#include "common-answer.h"
#include "common-http.h"

#define LOAD_FLOWS 128
#define LOAD_ROUTERS 32
#define LOAD_ADDRESSES 80
#define LOAD_ACCOUNTS 64
#define LOAD_NAME_SIZE 64
#define LOAD_INTERVAL_US 100000
#define LOAD_INTERVALS 6000
#define LOAD_SECONDS_MAX 600
#define LOAD_REQUESTS_MAX 1000000

typedef enum load_kind {
    LOAD_ENGINE,
    LOAD_SERVICE,
    LOAD_KIND_COUNT
} load_kind;

/* What became of a request, as its caller sees it. */
typedef enum load_verdict {
    LOAD_PENDING,
    LOAD_WHOLE,      /* the whole answer, its own, byte for byte */
    LOAD_NOT_RUN,    /* said so */
    LOAD_INCOMPLETE, /* said so */
    LOAD_UNKNOWN,    /* said so */
    LOAD_CUT,        /* the connection ended first: the caller knows */
    LOAD_NO_ANSWER,  /* the connection failed before any answer */
    LOAD_WRONG,      /* anything else: a fault */
    LOAD_VERDICT_COUNT
} load_verdict;

typedef struct load_addresses {
    char text[LOAD_ADDRESSES][HTTP_ADDRESS_SIZE];
    uint32_t count;
} load_addresses;

typedef struct load_flow {
    char name[LOAD_NAME_SIZE];
    char account[LOAD_NAME_SIZE];
    char key[LOAD_NAME_SIZE];
    char class_name[LOAD_NAME_SIZE];
    char path[LOAD_NAME_SIZE];
    char model[LOAD_NAME_SIZE];
    load_kind kind;
    bool is_open;
    uint32_t count; /* closed loop: requests outstanding */
    double rate;    /* open loop: requests a second */
    uint32_t burst; /* open loop: that many at once */
    uint32_t prompt;
    uint32_t tokens;
    uint32_t stream_percent;
    uint32_t ticket_percent;
    uint32_t hint_percent; /* the stated length is off by up to this */
    uint32_t weight;       /* of the account, for its share */
    double start;          /* seconds */
    double stop;
    uint32_t skew[LOAD_ROUTERS]; /* weights of the routers */
    uint32_t skew_count;
    uint32_t account_index;
    uint64_t issued;
} load_flow;

typedef struct load_plan {
    load_addresses routers;
    load_addresses engines;   /* admin */
    load_addresses services;  /* admin */
    load_addresses operators; /* of the routers */
    load_addresses pids;      /* of the routers, as numbers */
    char platform[HTTP_ADDRESS_SIZE];
    double seconds;
    double warm_up;
    double window;
    double drain;
    uint32_t requests;
    uint32_t timeout_ms;
    uint64_t seed;
    load_flow flows[LOAD_FLOWS];
    uint32_t flow_count;
} load_plan;

typedef struct load_record {
    uint32_t flow;
    uint32_t router;
    uint64_t number;
    uint64_t start_us;
    uint64_t first_us;
    uint64_t end_us;
    uint32_t prompt; /* tokens */
    uint32_t tokens;
    uint32_t tries;
    bool is_stream;
    int status;
    load_verdict verdict;
    char reason[48];
} load_record;

typedef struct load_account {
    char name[LOAD_NAME_SIZE];
    uint32_t weight;
    uint32_t outstanding[LOAD_KIND_COUNT];
    uint16_t *least[LOAD_KIND_COUNT]; /* outstanding, per interval */
} load_account;

/* What the routers and the platform counted so far. */
typedef struct load_sample {
    uint64_t at_us;
    double control_bytes;
    uint64_t cpu_ms[LOAD_ROUTERS];
    uint64_t memory_kb[LOAD_ROUTERS];
    double platform_calls;
} load_sample;

typedef struct load_load {
    uv_loop_t loop;
    http_client client;
    load_plan plan;
    load_account accounts[LOAD_ACCOUNTS];
    uint32_t account_count;
    load_record *records;
    uint32_t record_count;
    uint32_t outstanding;
    uint64_t random;
    uint64_t start_us;
    uint64_t first_interval;
    bool is_stopping;
    load_sample before;
    load_sample after;
    uv_timer_t sample_timer;
    uv_timer_t stop_timer;
    uv_signal_t stop_signal;
    uint32_t verdicts[LOAD_VERDICT_COUNT];
    uint64_t not_run_but_ran;
    uint64_t done_but_not_run;
    uint64_t doubles;
} load_load;

/* Read the plan; ends the process with a message when it is bad. */
void load_read_plan(load_load *load, const char *path);

/* Run the flows until they and their requests have ended. */
void load_run_flows(load_load *load);

uint64_t load_random(load_load *load);

/* Judge an answer. */
typedef struct load_answer {
    int status;
    bool is_whole;
    const char *outcome; /* header, or "" */
    const char *body;
    size_t size;
} load_answer;

load_verdict load_judge(const load_flow *flow, const char *identity,
                        uint32_t prompt, uint32_t tokens, bool is_stream,
                        const load_answer *answer, char reason[48]);

const char *load_verdict_name(load_verdict verdict);

/* Sample what the routers and the platform counted. */
void load_take_sample(load_load *load, load_sample *sample);

/* Compare with the records of the services, compute, write. */
void load_check_runs(load_load *load);
void load_write_csv(const load_load *load, const char *path);
json_t *load_make_report(load_load *load);
void load_print_report(const load_load *load, json_t *report);

#endif
