/*
 * The table of the endpoints of all services, with a model of the load of each
 * endpoint: requests in flight, prompt tokens queued for prefill, KV cache
 * usage, and the prompt blocks that its prefix cache still holds. The model is
 * updated with the requests of this instance and with the load that the other
 * instances report. It predicts the time to first token of a request that is
 * sent now.
 *
 * Endpoints of plain services are in the same table. Their model is the number
 * of slots and the mean duration of a request.
 */
#ifndef LAVENDER_ENGINE_H
#define LAVENDER_ENGINE_H

#include "lavender/availability.h"
#include "lavender/evacuation.h"
#include "lavender/map.h"
#include "lavender/outlier.h"
#include "lavender/pace.h"
#include "lavender/speed.h"
#include "lavender/warmup.h"

#define ENG_BLOCKS_MAX 16

/* Endpoints without a row of which is remembered what they said. */
#define ENG_DEPARTED_MAX 256

/* An endpoint's own name, at most that of a key of the store, in bytes with
 * the terminating null byte. */
#define ENG_NAME_SIZE 201

/* The published description of an endpoint. Ids are hashes of whole names;
 * `label`, `zone_name` and `version` are for logs and metrics, by
 * lv_shorten_name. */
typedef struct eng_spec {
    lv_id id;                 /* hash of the name and the start time */
    char name[ENG_NAME_SIZE]; /* the endpoint's own name */
    char label[LV_NAME_SIZE]; /* the same */
    lv_id service;
    char address[LV_ADDRESS_SIZE];
    lv_id zone;
    char zone_name[LV_NAME_SIZE];
    char version[LV_NAME_SIZE]; /* of its software; "": not published */
    lv_id version_id;           /* of it and the service; see eng_version_id */
    uint32_t slots;             /* maximum concurrent requests */
    bool is_draining;
    wrm_notice cold; /* what the entry says of the remaining cold time */
} eng_spec;

/* Returns the id of a service's version from the hash of the version's name,
 * and that hash from the id: the function is its own inverse. */
static inline lv_id
eng_version_id(lv_id service, lv_id version)
{
    return version ^ map_mix(service);
}

/* Settings of the model. The defaults describe the engines in use. */
typedef struct eng_settings {
    double prefill_tokens_per_ms; /* while other requests decode */
    lv_time first_token_overhead; /* from the end of prefill to the first
                                     token */
    uint64_t default_kv_tokens;   /* KV cache capacity of endpoints whose
                                     service has none configured */
    uint32_t learn_speed_slots;   /* the prefill rate is estimated for engines
                                     with up to this many slots */
} eng_settings;

/* The load of one instance at one endpoint. */
typedef struct eng_load {
    uint32_t in_flight;
    uint32_t prefill_total; /* uncached prompt tokens sent since the instance's
                               process started; wraps */
    uint32_t kv_tokens;     /* KV cache usage of the requests in flight */
    spd_sums speed;
} eng_load;

/* The load of all instances at one endpoint, as summed up by the endpoint's
 * coordinator (peers.h). */
typedef struct eng_summary {
    uint32_t in_flight;
    uint32_t kv_tokens;
    lv_time wait; /* until all prompts sent so far are prefilled */
} eng_summary;

typedef struct eng_endpoint {
    eng_spec spec;
    uint32_t generation; /* changes each time the row is reused */
    bool is_used;        /* the row holds an endpoint */
    bool is_published;
    bool is_listed;    /* published and not draining */
    bool is_evacuated; /* its zone is; takes no requests */
    bool is_engine;
    uint64_t kv_capacity;     /* in tokens */
    uint32_t reference_count; /* of connections and attempts; the row is not
                                 reused while it is above 0 */
    eng_load local;           /* of this instance */
    uint32_t peers_in_flight;
    uint64_t peers_kv_tokens;
    eng_summary reported;    /* zero if there is no recent report */
    lv_time reported_at;     /* 0: no report */
    uint64_t prefill_total;  /* tokens prefilled for all instances; measures
                                the age of cached blocks */
    lv_time prefill_until;   /* when all prompts sent so far are prefilled */
    int64_t first_token_lag; /* moving mean of the delay of first tokens after
                                the modelled time */
    lv_time first_token_at;  /* of the latest first token that was recorded */
    uint32_t awaited;        /* requests of this instance without one */
    lv_time overdue;         /* maximum delay of a running request without its
                                first token */
    lv_time mean_duration;   /* of requests, from sending to the end */
    lv_time first_seen_at;   /* fch_note_endpoints saw it first; 0: not yet */
    out_detector outlier;
    avl_state availability;
    pace_state pace;
    wrm_state warmup;
    spd_state speed;
} eng_endpoint;

/* An endpoint that was removed, and what it had said of itself: an older list
 * may name it again. */
typedef struct eng_departed {
    lv_id id; /* LV_ID_NONE: unused */
    avl_state availability;
    pace_state pace;
    wrm_state warmup;
} eng_departed;

/* A block of a prompt. */
typedef struct eng_block {
    uint64_t id;          /* of its content, whatever precedes it; 0: not
                             known */
    uint64_t prefix_hash; /* hash of this block and all blocks before it */
    uint32_t tokens;
} eng_block;

/* A prompt as a sequence of blocks. An endpoint can use a cached block only
 * after all blocks before it. */
typedef struct eng_prompt {
    uint32_t tokens; /* of the whole prompt; 0 for plain services */
    uint32_t output_tokens;
    lv_id version;      /* of the endpoints that may have affinity to it;
                           LV_ID_NONE: any */
    lv_handle affinity; /* endpoint that is presumed to cache the shared
                           blocks; or LV_HANDLE_NONE */
    lv_handle secondary_affinity; /* used when the affinity endpoint is busy;
                                     or LV_HANDLE_NONE */
    uint32_t block_count;
    bool has_more_blocks; /* beyond the first ENG_BLOCKS_MAX */
    eng_block last;       /* also of a prompt that has more; without
                             prefix_hash */
    eng_block blocks[ENG_BLOCKS_MAX];
} eng_prompt;

typedef struct eng_prediction {
    bool has_capacity;       /* a slot and KV cache memory are free */
    lv_time wait;            /* until the endpoint starts with the request */
    lv_time unmodelled_wait; /* the part of `wait` beyond the modelled prefill
                                of queued prompts */
    lv_time outdated_wait;   /* the part of `wait` that is a delay of first
                                tokens measured a while ago, and not since */
    lv_time idle_time;       /* since the endpoint finished its last prefill */
    lv_time service_time; /* from the end of `wait` to the first token, or to
                             the response of a plain service */
    uint32_t uncached_tokens; /* prompt tokens to prefill */
    double learned_rate;      /* prompt tokens per ms; 0: not estimated */
} eng_prediction;

/* The resources of a running request at an endpoint. The owner of the request
 * stores it from eng_start_request to eng_end_request. */
typedef struct eng_reservation {
    lv_handle endpoint;
    lv_time started_at;
    lv_time first_token_due;  /* predicted time of the first token */
    uint32_t uncached_tokens; /* prompt tokens to prefill */
    uint32_t work_tokens;     /* with those queued before it; 0: tells nothing
                                 of the endpoint's speed */
    uint32_t kv_tokens;
    bool has_first_token; /* the first token has arrived */
} eng_reservation;

/* A prompt block in the prefix cache of an endpoint. */
typedef struct eng_cache_entry {
    uint64_t key;           /* hash of endpoint and block; 0: unused */
    uint64_t prefill_total; /* of the endpoint at the last use */
} eng_cache_entry;

typedef struct eng_table {
    eng_settings settings;
    eng_endpoint *endpoints;
    uint32_t capacity; /* rows, used or unused */
    uint32_t last_generation;
    uint64_t list_version; /* increases with each change of listed endpoints */
    map_table by_id;
    map_table cache_index; /* key of a cache entry to its index */
    eng_cache_entry *cache_entries;
    uint32_t next_cache_entry; /* index of the entry to overwrite next */
    eng_departed departed[ENG_DEPARTED_MAX];
    uint32_t departed_count;   /* ever; the oldest one is overwritten */
    const evc_set *evacuation; /* set by the owner; NULL: no zone is
                                  evacuated */
    lv_time speeds_updated_at;
} eng_table;

void eng_default_settings(eng_settings *settings);
bool eng_init(eng_table *table, const eng_settings *settings,
              err_error *error);
void eng_finish(eng_table *table);

/* Adds an endpoint, or updates it if it is known. Returns its handle, or
 * LV_HANDLE_NONE when out of memory. */
lv_handle eng_publish(eng_table *table, const eng_spec *spec);

/* Removes an endpoint that is no longer published. Its row remains while it
 * has references. */
void eng_withdraw(eng_table *table, lv_id id);

/* Stops new requests to an endpoint that is still published. */
void eng_unlist(eng_table *table, lv_handle endpoint);

/* Returns why the endpoint may be sent no request of this instance now. Every
 * request is checked before it is sent, also one that has waited since it was
 * decided. `free_at` is set to the time when one may be sent; LV_TIME_NEVER:
 * not known. */
avl_reason eng_check_send(const eng_table *table, lv_handle endpoint,
                          lv_time now, lv_time *free_at);

/* Returns how many requests of this instance may be sent to the endpoint up to
 * a time; UINT32_MAX: any number. */
uint32_t eng_places(const eng_table *table, lv_handle endpoint, lv_time until);

/* Record what the endpoint said of itself: that it is draining, or that it
 * takes no request for some time. The first unlists it, whatever is published
 * later. Return whether the state changed. */
bool eng_begin_leaving(eng_table *table, lv_handle endpoint);
bool eng_begin_backoff(eng_table *table, lv_handle endpoint, lv_time duration,
                       lv_time now);

/* Applies table->evacuation to an endpoint: call it for all of them when the
 * set has changed. Returns whether the endpoint is evacuated now and was not,
 * or the reverse. */
bool eng_update_evacuated(eng_table *table, lv_handle endpoint);

/* Ends a back-off whose slow start is over. Returns its endpoint; call it
 * until it returns LV_HANDLE_NONE. */
lv_handle eng_end_backoff(eng_table *table, lv_time now);

/* Applies the configuration of a service to its known endpoints. `kv_tokens`
 * is the KV cache capacity; 0 leaves it unchanged. */
void eng_set_service(eng_table *table, lv_id service, bool is_engine,
                     uint64_t kv_tokens);

/* Writes the load of all instances at an endpoint, as known here. */
void eng_summarize(const eng_table *table, lv_handle endpoint, lv_time now,
                   eng_summary *summary);

/* Stores the same load as reported by the endpoint's coordinator. */
void eng_apply_summary(eng_table *table, lv_handle endpoint,
                       const eng_summary *summary, lv_time now);

/* Discards reported loads that are older than 2 seconds. */
void eng_expire_summaries(eng_table *table, lv_time now);

/* Returns the handle of an endpoint, or LV_HANDLE_NONE. */
lv_handle eng_find(const eng_table *table, lv_id id);

/* Returns the row of an endpoint. The pointer is valid until the next
 * eng_publish. */
eng_endpoint *eng_at(const eng_table *table, lv_handle endpoint);

/* Adds or removes a reference to an endpoint, which keeps its row in use. */
void eng_ref(eng_table *table, lv_handle endpoint);
void eng_unref(eng_table *table, lv_handle endpoint);

/* Appends a block to a prompt. `block` identifies its content. Of the blocks
 * after the first ENG_BLOCKS_MAX only the last one is kept. */
void eng_add_block(eng_prompt *prompt, uint64_t block, uint32_t tokens);

/* Returns how many blocks at the start of a prompt may be shared with other
 * requests: all but the last, which belongs to the request or its session. */
uint32_t eng_shared_blocks(const eng_prompt *prompt);

/* Sets the affinity endpoint and the secondary affinity endpoint of a prompt,
 * by rendezvous hashing of its shared blocks, which are all but the last. All
 * instances choose the same ones, so that a block is cached at few endpoints
 * also while the instances do not know each other's requests. */
void eng_find_affinity(const eng_table *table, lv_id service,
                       eng_prompt *prompt);

/* The same for the endpoints of one zone. The secondary affinity endpoint is
 * the affinity endpoint for all zones, which has the blocks for others, unless
 * it is in the zone. Without endpoints in the zone it is eng_find_affinity. */
void eng_find_zone_affinity(const eng_table *table, lv_id service, lv_id zone,
                            eng_prompt *prompt);

/* Clears both affinity endpoints of a prompt: no block is presumed cached. */
void eng_clear_affinity(eng_prompt *prompt);

/* Returns the number of tokens at the start of a prompt that are cached at an
 * endpoint. */
uint32_t eng_cached_tokens(const eng_table *table, lv_handle endpoint,
                           const eng_prompt *prompt);

/* Returns how many of the first `limit` blocks of a prompt are cached at an
 * endpoint according to recorded uses; `floor` if it is not more. Nothing is
 * presumed of the affinity endpoints. */
uint32_t eng_known_blocks(const eng_table *table, lv_handle endpoint,
                          const eng_prompt *prompt, uint32_t limit,
                          uint32_t floor);

/* Counts tokens that an endpoint caches without prefilling them: they evict
 * others as prefilled ones do. */
void eng_count_fetched(eng_table *table, lv_handle endpoint, uint32_t tokens);

/* Records the use of a block at an endpoint, by any instance. */
void eng_touch_block(eng_table *table, lv_handle endpoint,
                     uint64_t prefix_hash);

/* Predicts the progress of a request that is sent now. */
void eng_predict(const eng_table *table, lv_handle endpoint,
                 const eng_prompt *prompt, lv_time now,
                 eng_prediction *prediction);

/* Returns `wait` of the prediction for an engine. Of a plain service the wait
 * for a slot is not included. Faster than eng_predict. */
lv_time eng_predict_wait(const eng_table *table, lv_handle endpoint,
                         lv_time now);

/* Predicts as if no block of the prompt was cached. Faster than
 * eng_predict. */
void eng_predict_uncached(const eng_table *table, lv_handle endpoint,
                          const eng_prompt *prompt, lv_time now,
                          eng_prediction *prediction);

/* Counts a request of this instance that is sent now. */
void eng_start_request(eng_table *table, lv_handle endpoint,
                       const eng_prompt *prompt, lv_time now,
                       eng_reservation *use);

/* Same as eng_start_request, with a given prediction, such as that of the
 * endpoint's coordinator, which is better than this instance's own. */
void eng_start_predicted(eng_table *table, lv_handle endpoint,
                         const eng_prompt *prompt,
                         const eng_prediction *prediction, lv_time now,
                         eng_reservation *use);

/* Records the first token of a request, or the response of a plain service.
 * Only the first call for a request has an effect. */
void eng_record_first_token(eng_table *table, eng_reservation *use,
                            lv_time now);

/* Releases the resources of a request. */
void eng_end_request(eng_table *table, const eng_reservation *use,
                     lv_time now);

/* Counts a request of another instance whose start this instance has granted.
 * `load` is the known load of that instance at the endpoint and increases by
 * the request. */
void eng_start_peer_request(eng_table *table, lv_handle endpoint,
                            const eng_prompt *prompt, uint32_t uncached,
                            eng_load *load, lv_time now);

/* Applies a change of another instance's load at an endpoint from `before` to
 * `after`. Zeroes stand for an instance that was not known before or has
 * disconnected. */
void eng_apply_peer_load(eng_table *table, lv_handle endpoint,
                         const eng_load *before, const eng_load *after,
                         lv_time now);

/* Is the prefill rate of the endpoint estimated? */
bool eng_learns_speed(const eng_table *table, lv_handle endpoint);

/* Returns the prefill rate of an endpoint in prompt tokens per ms: the
 * estimate, or the setting. */
double eng_prefill_rate(const eng_table *table, const eng_endpoint *endpoint);

/* Applies a change of another instance's samples of an endpoint's speed.
 * `source` is the instance, not SPD_LOCAL. */
void eng_apply_peer_speed(eng_table *table, lv_handle endpoint,
                          uint64_t source, const spd_sums *before,
                          const spd_sums *after, lv_time now);

/* Stores the prefill rate that the endpoint's coordinator estimates. */
void eng_apply_speed(eng_table *table, lv_handle endpoint, double rate,
                     lv_time now);

/* Moves the rates of endpoints without recent samples towards those of the
 * others of their service. Call it at every tick of a timer. */
void eng_update_speeds(eng_table *table, lv_time now);

/* Returns the number of requests in flight of all instances. */
uint32_t eng_in_flight(const eng_endpoint *endpoint);

#endif
