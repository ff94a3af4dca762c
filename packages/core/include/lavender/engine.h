/*
 * The endpoints of all services, and a model of what each is doing: requests
 * in flight, prompt tokens that wait to be read, memory, and which parts of
 * prompts it still keeps. Fed by what this instance sends and sees, and by
 * what the other instances say of their own requests; asked for the time
 * until the first token of a request, were it sent now.
 *
 * Plain services use the same table: there the model is slots and the time
 * that a request takes.
 */
#ifndef LAVENDER_ENGINE_H
#define LAVENDER_ENGINE_H

#include "lavender/map.h"
#include "lavender/outlier.h"

#define ENG_BLOCKS_MAX 16

/* What is published of an endpoint. */
typedef struct eng_spec {
    lv_id id;                /* hash of name and time of birth */
    char name[LV_NAME_SIZE]; /* identity that the endpoint knows itself by */
    lv_id service;
    char address[LV_ADDRESS_SIZE];
    lv_id zone;
    uint32_t slots; /* requests that run at once */
    bool is_draining;
} eng_spec;

/* Tunables of the model; the defaults describe the engines in use. */
typedef struct eng_settings {
    double prefill_tokens_per_ms; /* prompt tokens read while others decode */
    lv_time first_token_overhead; /* from prefill's end to the first token */
    uint64_t default_kv_tokens;   /* where the configuration gives none */
} eng_settings;

/* What one instance has at one endpoint. Totals count from the start of the
 * instance's process. */
typedef struct eng_load {
    uint32_t in_flight;
    uint32_t
        prefill_total;  /* prompt tokens sent that were not cached; wraps */
    uint32_t kv_tokens; /* memory of the requests in flight */
} eng_load;

/* What all instances have at one endpoint, as the instance sums it up that
 * keeps the endpoint's account (peers.h). */
typedef struct eng_summary {
    uint32_t in_flight;
    uint32_t kv_tokens;
    lv_time wait; /* until all prompts sent so far have been read */
} eng_summary;

typedef struct eng_endpoint {
    eng_spec spec;
    uint32_t generation; /* of the row's use; rows are used again */
    bool is_used;        /* the row holds an endpoint */
    bool is_listed;      /* published and not draining */
    bool is_engine;
    uint64_t kv_capacity;
    uint32_t references; /* of connections and attempts; keeps the row */
    eng_load local;
    uint32_t peers_in_flight;
    uint64_t peers_kv_tokens;
    eng_summary told; /* zeroes: nobody told lately */
    lv_time told_at;
    uint64_t read_total;   /* by all instances, for the age of cached parts */
    lv_time prefill_until; /* when all prompts sent so far have been read */
    int64_t lag;           /* first tokens come so much later than modelled */
    lv_time overdue;       /* how late the latest unanswered request is */
    lv_time duration;      /* mean time from sending to the end */
    out_outlier outlier;
} eng_endpoint;

/* A prompt as the chain of its parts, each of which presupposes the ones
 * before it. */
typedef struct eng_prompt {
    uint32_t tokens; /* of the whole prompt; 0 for plain services */
    uint32_t output_tokens;
    lv_handle affinity; /* keeps the shared parts, presumably; or none */
    lv_handle
        secondary_affinity; /* the same once the home has no room; or none */
    uint32_t block_count;
    struct {
        uint64_t chain; /* identity of this part after those before it */
        uint32_t tokens;
    } blocks[ENG_BLOCKS_MAX];
} eng_prompt;

typedef struct eng_prediction {
    bool has_capacity;        /* a slot and memory are free */
    lv_time wait;             /* until the endpoint turns to the request */
    lv_time unmodelled_wait;  /* the part of the wait that is not modelled
                                 reading */
    lv_time idle;             /* it has had nothing to read for so long */
    lv_time service_time;     /* from there to the first token or the answer */
    uint32_t uncached_tokens; /* prompt tokens that it would read */
} eng_prediction;

/* What a request takes at an endpoint, kept by its owner from start to
 * end. */
typedef struct eng_reservation {
    lv_handle endpoint;
    lv_time started;
    lv_time first_token_due; /* point in time */
    uint32_t uncached_tokens;
    uint32_t kv_tokens;
    bool has_first_token;
} eng_reservation;

typedef struct eng_cached {
    uint64_t key;
    uint64_t read_total; /* of the endpoint at the last use */
} eng_cached;

typedef struct eng_table {
    eng_settings settings;
    eng_endpoint *endpoints;
    uint32_t capacity; /* rows, used or not */
    uint32_t last_serial;
    uint64_t list_version; /* grows with each change of who is listed */
    map_table by_id;
    map_table cached; /* key of endpoint and part: index in uses */
    eng_cached *uses;
    uint32_t use_next; /* the row that is overwritten next */
} eng_table;

void eng_default_settings(eng_settings *settings);
bool eng_init(eng_table *table, const eng_settings *settings,
              err_error *error);
void eng_finish(eng_table *table);

/* Add an endpoint or take over what is newly published of a known one.
 * Returns its handle, or LV_HANDLE_NONE when memory ended. */
lv_handle eng_publish(eng_table *table, const eng_spec *spec);

/* The endpoint is not published any more. Its row is kept while it has
 * references. */
void eng_withdraw(eng_table *table, lv_id id);

/* The endpoint gets no new requests; what is published of it stays. */
void eng_unlist(eng_table *table, lv_handle endpoint);

/* The kind and memory of a service's endpoints, from its configuration. */
void eng_set_service(eng_table *table, lv_id service, bool is_engine,
                     uint64_t kv_tokens);

/* What this instance knows of all requests at an endpoint, and the same as
 * another instance tells it. What was told is forgotten when it gets old. */
void eng_summarize(const eng_table *table, lv_handle endpoint, lv_time now,
                   eng_summary *summary);
void eng_apply_summary(eng_table *table, lv_handle endpoint,
                       const eng_summary *summary, lv_time now);
void eng_expire_summaries(eng_table *table, lv_time now);

lv_handle eng_find(const eng_table *table, lv_id id);
eng_endpoint *eng_at(const eng_table *table, lv_handle endpoint);
void eng_ref(eng_table *table, lv_handle endpoint);
void eng_unref(eng_table *table, lv_handle endpoint);

/* The chain of a prompt's next part. */
void eng_add_block(eng_prompt *prompt, uint64_t part, uint32_t tokens);

/* Set the endpoint that all instances send a prompt's shared parts to when
 * they know of no other that keeps them; and the one after it. */
void eng_find_affinity(const eng_table *table, lv_id service,
                       eng_prompt *prompt);

/* The prompt is to be looked at without any presumption. */
void eng_clear_affinity(eng_prompt *prompt);

/* Tokens at the front of a prompt that an endpoint still keeps. */
uint32_t eng_cached_tokens(const eng_table *table, lv_handle endpoint,
                           const eng_prompt *prompt);

/* Somebody's request with these parts was sent to an endpoint. */
void eng_touch_block(eng_table *table, lv_handle endpoint, uint64_t chain);

void eng_predict(const eng_table *table, lv_handle endpoint,
                 const eng_prompt *prompt, lv_time now,
                 eng_prediction *prediction);

/* Until the endpoint turns to a request sent now; cheaper than a prediction.
 */
lv_time eng_wait(const eng_table *table, lv_handle endpoint, lv_time now);

/* The prediction if the endpoint kept no part of the prompt; cheaper. */
void eng_predict_unread(const eng_table *table, lv_handle endpoint,
                        const eng_prompt *prompt, lv_time now,
                        eng_prediction *prediction);

/* A request of ours is sent; its first token or answer arrives; it ends. */
void eng_start_request(eng_table *table, lv_handle endpoint,
                       const eng_prompt *prompt, lv_time now,
                       eng_reservation *use);

/* The same with a prediction that is better than this instance's own. */
void eng_start_predicted(eng_table *table, lv_handle endpoint,
                         const eng_prompt *prompt,
                         const eng_prediction *prediction, lv_time now,
                         eng_reservation *use);
void eng_record_first_token(eng_table *table, eng_reservation *use,
                            lv_time now);
void eng_end_request(eng_table *table, const eng_reservation *use,
                     lv_time now);

/* Another instance starts a request with these parts, which this instance
 * let it do: `load`, what it is known to have there, grows by the request. */
void eng_start_peer_request(eng_table *table, lv_handle endpoint,
                            const eng_prompt *prompt, uint32_t uncached,
                            eng_load *load, lv_time now);

/* Another instance's load at an endpoint changed from `before` to `after`.
 * Pass zeroes when it is new or gone. */
void eng_apply_peer_load(eng_table *table, lv_handle endpoint,
                         const eng_load *before, const eng_load *after,
                         lv_time now);

/* Requests in flight of all instances. */
uint32_t eng_in_flight(const eng_endpoint *endpoint);

#endif
