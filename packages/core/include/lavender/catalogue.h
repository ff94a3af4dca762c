/*
 * The catalogue: client accounts, classes of work with limits, pools, routes
 * and wanted models. It is parsed and validated whole, and is read-only from
 * then on.
 *
 * A catalogue is one head part and any number of account parts, each an INI
 * text of at most CAT_PART_SIZE bytes, so that it can be cut over several
 * keys of the platform's configuration service. Sections:
 *
 *   [catalogue]  revision, parts           (head; parts = number of account
 *                                           parts, default 0)
 *   [digest]     N = hex XXH64 of part N   (head; one line per part)
 *   [pool NAME]  kind = engine|service, slots, input_weight, output_weight,
 *                quantum, urgent_credit, hold, fencing = checked|ignored,
 *                default_cost, shard_endpoints
 *   [route PATH] pool = NAME|by-model, idempotent = yes|no, match =
 *                exact|prefix
 *   [model NAME] pool, copies = N|all, size
 *   [account NAME] weight, key_digest = hex SHA-256 of the bearer key
 *   [entry ACCOUNT/CLASS] priority = urgent|deferrable, requests_per_second,
 *                burst, in_flight, waiting, body, deadline
 *
 * Lengths of time carry a unit (5ms, 30s, 2m), sizes too (64KiB, 1MiB, 12B).
 */
#ifndef LAVENDER_CATALOGUE_H
#define LAVENDER_CATALOGUE_H

#include "lavender/error.h"
#include "lavender/types.h"

#define CAT_PART_SIZE ((size_t)1000000)
#define CAT_KEY_DIGEST_SIZE 32

typedef enum cat_priority {
    CAT_URGENT,
    CAT_DEFERRABLE,
    CAT_PRIORITY_COUNT
} cat_priority;

typedef enum cat_pool_kind {
    CAT_POOL_ENGINE, /* service is weighted tokens */
    CAT_POOL_SERVICE /* service is slot-milliseconds */
} cat_pool_kind;

typedef struct cat_pool {
    char name[LV_NAME_SIZE];
    lv_id id;
    cat_pool_kind kind;
    uint32_t slots;           /* per endpoint, when its list line has none */
    uint32_t input_weight;    /* service units per input token */
    uint32_t output_weight;   /* service units per output token */
    uint64_t quantum;         /* service units: lead that recalls a slot */
    uint64_t urgent_credit;   /* service units an urgent account may lead */
    uint64_t default_cost;    /* service units: first prediction */
    lv_time idle_timeout;     /* an idle lease stays this long unneeded */
    uint32_t shard_endpoints; /* at most 64 */
    bool checks_fencing;
} cat_pool;

typedef struct cat_route {
    char path[LV_NAME_SIZE * 2];
    bool is_prefix;
    bool idempotent;
    lv_handle pool; /* LV_HANDLE_NONE: the body's model names it */
} cat_route;

typedef struct cat_model {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_handle pool;
    uint32_t copies; /* 0: every endpoint of the pool */
    uint64_t size;   /* bytes of weights */
} cat_model;

typedef struct cat_account {
    char name[LV_NAME_SIZE];
    lv_id id;
    uint32_t weight; /* share, at least 1 */
    uint8_t key_digest[CAT_KEY_DIGEST_SIZE];
    lv_handle first_entry; /* its entries are first_entry .. + entry_count */
    uint32_t entry_count;
} cat_account;

/* Limits are fleet-wide, but for waiting, which holds at each router, and for
 * body and deadline, which hold for each request. Zero means "no limit" for
 * the first four. */
typedef struct cat_limits {
    uint32_t requests_per_second;
    uint32_t burst;
    uint32_t in_flight;
    uint32_t waiting;
    uint64_t body;    /* bytes */
    lv_time deadline; /* from arrival to the end of waiting */
} cat_limits;

typedef struct cat_entry {
    char class_name[LV_NAME_SIZE];
    lv_id id; /* hash of ACCOUNT/CLASS */
    lv_handle account;
    cat_priority priority;
    cat_limits limits;
} cat_entry;

typedef struct cat_catalogue {
    uint64_t revision;
    uint64_t digest; /* XXH64 of the head text */
    cat_pool *pools;
    uint32_t pool_count;
    cat_route *routes;
    uint32_t route_count;
    cat_model *models;
    uint32_t model_count;
    cat_account *accounts; /* sorted by id */
    uint32_t account_count;
    cat_entry *entries; /* grouped by account */
    uint32_t entry_count;
    uint32_t *key_index; /* account handles sorted by key digest */
} cat_catalogue;

/* One part of a catalogue's text; the caller keeps the memory. */
typedef struct cat_part {
    const char *name; /* file or key name, for messages */
    const char *text;
    size_t size;
} cat_part;

/* The number of account parts and their digests that a head asks for. Reads
 * only [catalogue] and [digest]. digests has room for capacity values, or is
 * NULL; *count is set to the number of parts. */
bool cat_read_head(const cat_part *head, uint64_t *revision, uint64_t *digests,
                   size_t capacity, size_t *count, err_error *error);

/* Parse and validate a whole catalogue: parts[0] is the head. On failure the
 * list has every error found, and the catalogue is empty. */
bool cat_init(cat_catalogue *catalogue, const cat_part *parts, size_t count,
              err_list *errors);

/* Account parts as they were read, so that a change costs the reading of the
 * parts that changed only. Zero it before its first use. */
typedef struct cat_cached_part cat_cached_part;

typedef struct cat_cache {
    cat_cached_part *parts;
    uint32_t count;
    uint32_t capacity;
} cat_cache;

/* As cat_init, with the same verdict; afterwards the cache holds the parts of
 * the last catalogue that was good. */
bool cat_init_cached(cat_catalogue *catalogue, cat_cache *cache,
                     const cat_part *parts, size_t count, err_list *errors);
void cat_cache_finish(cat_cache *cache);

/* Bytes held by a cache. */
size_t cat_cache_memory(const cat_cache *cache);

void cat_finish(cat_catalogue *catalogue);

/* The digest of a part's text, as [digest] states it. */
uint64_t cat_digest_part(const char *text, size_t size);

/* Look-ups; LV_HANDLE_NONE when there is none. */
lv_handle cat_find_account(const cat_catalogue *catalogue, lv_id id);
lv_handle cat_find_account_by_key(const cat_catalogue *catalogue,
                                  const uint8_t digest[CAT_KEY_DIGEST_SIZE]);
lv_handle cat_find_pool(const cat_catalogue *catalogue, lv_id id);
lv_handle cat_find_model(const cat_catalogue *catalogue, const char *name);

/* Longest matching route of a path (without its query). */
lv_handle cat_find_route(const cat_catalogue *catalogue, const char *path,
                         size_t length);

/* The entry of an account for a class; class_name NULL takes the first. */
lv_handle cat_find_entry(const cat_catalogue *catalogue, lv_handle account,
                         const char *class_name);

#endif
