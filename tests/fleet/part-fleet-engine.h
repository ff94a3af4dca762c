/*
 * The parts of the stand-in engine: requests that run in slots, a bounded
 * prefix cache, models and orders, and what tests make it do.
 */
#ifndef PART_FLEET_ENGINE_H
#define PART_FLEET_ENGINE_H

#include "common-answer.h"
#include "common-http.h"
#include "common-usage.h"

#define ENGINE_NAME_SIZE 64
#define ENGINE_MODELS 32
#define ENGINE_EVENTS 4096

typedef struct engine_options {
    const char *listen;
    const char *admin_listen;
    const char *models;
    const char *weights; /* the weight store's address */
    uint32_t slots;
    uint32_t token_us;
    uint32_t prefill_us; /* per input token that is not cached */
    uint32_t cache_entries;
    uint32_t event_lag_ms;
    uint32_t load_lag_ms;
    uint32_t linger_ms; /* a stream without reader is kept this long */
    uint64_t model_bytes;
    double input_weight;
    double output_weight;
    bool checks_fencing;
} engine_options;

typedef struct engine_faults {
    uint64_t cut_after; /* bytes of the body */
    uint32_t cut_count; /* answers still to cut */
    uint32_t refuse_count;
    bool is_stalled;
    bool loses_streams; /* a resume finds nothing */
} engine_faults;

typedef struct engine_counts {
    uint64_t accepted, finished, cancelled, resumed, refused, cut, lost;
    uint64_t orders_accepted, orders_refused, orders_repeated, cache_hits;
    uint32_t running_max;
} engine_counts;

typedef enum engine_state {
    ENGINE_QUEUED,
    ENGINE_RUNNING,
    ENGINE_ENDED
} engine_state;

typedef struct engine_engine engine_engine;
typedef struct engine_job engine_job;

/* The connection that reads a job's answer. Its memory is the request's. */
typedef struct engine_reader {
    h2o_generator_t super;
    engine_job *job; /* NULL once the job let go */
    h2o_req_t *req;
    size_t sent;  /* offset in the body of the next byte */
    size_t begun; /* offset where this reader started */
    bool is_sending;
    bool is_started;
} engine_reader;

struct engine_job {
    engine_engine *engine;
    uint64_t number;
    char identity[ANSWER_IDENTITY_SIZE];
    engine_state state;
    bool is_stream;
    bool is_cut;
    uint32_t prompt;
    uint64_t prefix;
    uint32_t produced; /* tokens */
    uint64_t left_us;  /* when the last reader left; 0: has one */
    uint64_t next_us;  /* when the next token is due */
    usage_account *account;
    answer_answer answer;
    engine_reader *reader;
    engine_job *next;
};

typedef struct engine_model {
    char name[ENGINE_NAME_SIZE];
    bool is_loaded;
    bool is_loading;
    engine_engine *engine;
    http_call call;
} engine_model;

typedef struct engine_event {
    uint64_t number;
    uint64_t prefix;
    uint64_t at_us;
    bool is_kept;
} engine_event;

typedef struct engine_cache_entry {
    uint64_t prefix;
    uint64_t used;
} engine_cache_entry;

typedef struct engine_cache {
    engine_cache_entry *entries;
    uint32_t count;
    uint32_t capacity;
    uint64_t clock;
    engine_event events[ENGINE_EVENTS];
    uint64_t event_number;
    uint64_t event_count;
} engine_cache;

struct engine_engine {
    uv_loop_t loop;
    uv_timer_t tick;
    http_server server;
    http_server admin;
    http_client client;
    engine_options options;
    engine_faults faults;
    engine_counts counts;
    usage_usage usage;
    engine_cache cache;
    engine_model models[ENGINE_MODELS];
    uint32_t model_count;
    uint64_t fence[2];
    engine_job *jobs; /* in order of arrival */
    engine_job **jobs_end;
    uint64_t job_number;
    json_t *runs; /* identity: times it began to run */
    uint32_t running;
    uint32_t queued;
    uint32_t reported_running; /* the lagging load report */
    uint32_t reported_queued;
    uint64_t reported_us;
};

/* Jobs. */
void engine_accept_job(engine_engine *engine, h2o_req_t *req);
void engine_resume_job(engine_engine *engine, h2o_req_t *req, uint64_t number,
                       uint64_t offset);
void engine_cancel_job(engine_engine *engine, h2o_req_t *req, uint64_t number);
void engine_run_jobs(engine_engine *engine, uint64_t now_us);

/* Send what was produced to the reader. */
void engine_send(engine_job *job);
void engine_attach(engine_job *job, h2o_req_t *req, size_t offset);

/* Close the reader's connection, if there is one. */
void engine_detach(engine_job *job);

/* The prefix cache: true when the prefix was kept already. */
bool engine_cache_use(engine_cache *cache, uint64_t prefix, uint64_t now_us);
json_t *engine_cache_to_json(const engine_cache *cache, uint64_t after,
                             uint64_t before_us);

/* Models and orders. */
void engine_init_models(engine_engine *engine);
bool engine_has_model(const engine_engine *engine, const char *name);
void engine_take_order(engine_engine *engine, h2o_req_t *req);
json_t *engine_models_to_json(const engine_engine *engine);

void engine_on_admin(void *context, h2o_req_t *req);

#endif
