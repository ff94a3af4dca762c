/*
 * The catalogue: client accounts, their classes of requests with limits,
 * pools, routes and the models to be loaded. It is parsed and validated as a
 * whole and is read-only afterwards.
 *
 * A catalogue is one head part and any number of account parts, each an INI
 * text of at most CAT_PART_SIZE bytes, so that it can be split across several
 * keys of the platform's configuration service. Sections:
 *
 *   [catalogue]  revision, parts           (head; parts = number of account
 *                                           parts, default 0)
 *   [digest]     N = hex XXH64 of part N   (head; one line per account part)
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
 * Durations and sizes have a unit (5ms, 30s, 2m; 12B, 64KiB, 1MiB).
 */
#ifndef LAVENDER_CATALOGUE_H
#define LAVENDER_CATALOGUE_H

#include "lavender/error.h"
#include "lavender/types.h"

#define CAT_PART_SIZE ((size_t)1000000) /* maximum, bytes */
#define CAT_KEY_DIGEST_SIZE 32          /* SHA-256, bytes */

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
    uint32_t slots;           /* per endpoint, unless the lists override it */
    uint32_t input_weight;    /* service units per input token */
    uint32_t output_weight;   /* service units per output token */
    uint64_t quantum;         /* service units: lead at which slots are
                                 recalled */
    uint64_t urgent_credit;   /* service units: maximum lead of an urgent
                                 account */
    uint64_t default_cost;    /* service units: initial cost prediction */
    lv_time idle_timeout;     /* unused leases are returned after this */
    uint32_t shard_endpoints; /* maximum endpoints per shard, at most 64 */
    bool checks_fencing;      /* its endpoints reject stale orders */
} cat_pool;

typedef struct cat_route {
    char path[LV_NAME_SIZE * 2];
    bool is_prefix;
    bool idempotent;
    lv_handle pool; /* LV_HANDLE_NONE: that of the model in the body */
} cat_route;

typedef struct cat_model {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_handle pool;
    uint32_t copies; /* endpoints that load it; 0: all of the pool */
    uint64_t size;   /* of the weights, bytes */
} cat_model;

typedef struct cat_account {
    char name[LV_NAME_SIZE];
    lv_id id;
    uint32_t weight; /* relative share of the service, at least 1 */
    uint8_t key_digest[CAT_KEY_DIGEST_SIZE]; /* SHA-256 of the bearer key */
    lv_handle first_entry; /* of entry_count consecutive entries */
    uint32_t entry_count;
} cat_account;

/* Limits of one account in one class. The first three apply to the whole
 * fleet, waiting to each router, body and deadline to each request. Zero means
 * unlimited for the first four. */
typedef struct cat_limits {
    uint32_t requests_per_second;
    uint32_t burst; /* requests */
    uint32_t in_flight;
    uint32_t waiting; /* queued requests */
    uint64_t body;    /* bytes */
    lv_time deadline; /* maximum time from arrival to the end of queueing */
} cat_limits;

/* One class of an account. */
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

/* The text of one part. The caller owns the memory. */
typedef struct cat_part {
    const char *name; /* file or key name, for error messages */
    const char *text;
    size_t size;
} cat_part;

/* Reads [catalogue] and [digest] of a head and ignores its other sections.
 * Sets *count to the number of account parts and writes their digests to
 * `digests`, which has `capacity` elements or is NULL. Returns false and sets
 * *error if the head is invalid or `digests` is too small. */
bool cat_read_head(const cat_part *head, uint64_t *revision, uint64_t *digests,
                   size_t capacity, size_t *count, err_error *error);

/* Parses and validates a catalogue; parts[0] is the head. Returns false if it
 * is invalid: errors then lists the errors and the catalogue is empty. */
bool cat_init(cat_catalogue *catalogue, const cat_part *parts, size_t count,
              err_list *errors);

/* Parsed account parts, so that after a change only the changed parts are
 * parsed again. Zero-initialise it before the first use. */
typedef struct cat_cached_part cat_cached_part;

typedef struct cat_cache {
    cat_cached_part *parts;
    uint32_t count;
    uint32_t capacity;
} cat_cache;

/* The same as cat_init, with parts taken from the cache where their digest and
 * size match. Afterwards the cache has the parts of the last valid catalogue;
 * parts are missing if memory ran out. cache may be NULL. */
bool cat_init_cached(cat_catalogue *catalogue, cat_cache *cache,
                     const cat_part *parts, size_t count, err_list *errors);
void cat_cache_finish(cat_cache *cache);

/* Returns the memory that the cache uses, in bytes. */
size_t cat_cache_memory(const cat_cache *cache);

void cat_finish(cat_catalogue *catalogue);

/* Returns the XXH64 of a part's text, as listed in [digest]. */
uint64_t cat_digest_part(const char *text, size_t size);

/* Lookups return LV_HANDLE_NONE if nothing matches. */
lv_handle cat_find_account(const cat_catalogue *catalogue, lv_id id);
lv_handle cat_find_account_by_key(const cat_catalogue *catalogue,
                                  const uint8_t digest[CAT_KEY_DIGEST_SIZE]);
lv_handle cat_find_pool(const cat_catalogue *catalogue, lv_id id);
lv_handle cat_find_model(const cat_catalogue *catalogue, const char *name);

/* Finds the longest route that matches a path without its query. */
lv_handle cat_find_route(const cat_catalogue *catalogue, const char *path,
                         size_t length);

/* Finds the entry of an account for a class, or its first entry if class_name
 * is NULL. */
lv_handle cat_find_entry(const cat_catalogue *catalogue, lv_handle account,
                         const char *class_name);

#endif
