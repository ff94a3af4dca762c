/*
 * Routing configuration: which service a request goes to, what may be
 * repeated, which account a key belongs to, and what a caller may send.
 *
 * A table is built once, sealed, and never changed after that; requests hold
 * a reference to the one they were admitted under, so that a new version
 * takes effect for new requests alone.
 */
#ifndef LAVENDER_ROUTING_H
#define LAVENDER_ROUTING_H

#include "lavender/error.h"
#include "lavender/types.h"

#define RT_HOST_SIZE 256
#define RT_PREFIX_SIZE 256
#define RT_KEY_SIZE 128
#define RT_BACKENDS_MAX 8

typedef enum rt_kind {
    RT_IDEMPOTENT,     /* may run more than once */
    RT_NON_IDEMPOTENT, /* runs at most once for each request */
    RT_STREAM,         /* an event stream; at most once unless resumable */
    RT_KINDS
} rt_kind;

/* A word for logs and metrics. */
const char *rt_kind_name(rt_kind kind);

/* One service of a route and its share of the route's requests. */
typedef struct rt_backend {
    lv_id service;
    uint32_t weight;
} rt_backend;

typedef struct rt_route {
    char host[RT_HOST_SIZE];     /* lower case, without a port */
    char prefix[RT_PREFIX_SIZE]; /* begins and ends with a slash */
    rt_kind kind;
    lv_time timeout;    /* longest time until the final answer */
    lv_time target;     /* until the answer, or a stream's first event */
    lv_time gap_target; /* between two events of a stream; 0: none */
    uint32_t priority;  /* 0 is the most urgent */
    uint32_t max_attempts;
    bool is_public;    /* needs no key */
    bool is_resumable; /* a stream that another endpoint may go on with */
    rt_backend backends[RT_BACKENDS_MAX];
    uint32_t backend_count;
} rt_route;

typedef struct rt_service {
    lv_id id; /* hash of the name */
    char name[LV_NAME_SIZE];
    uint32_t max_connections; /* an endpoint takes, from all instances */
    bool is_engine;           /* a model engine that batches */
    uint32_t slots;           /* engines: requests that run at once */
    uint64_t kv_tokens;       /* engines: memory, in tokens */
} rt_service;

typedef struct rt_account {
    lv_id id; /* hash of the name */
    char name[LV_NAME_SIZE];
    bool has_priority; /* takes precedence over the route's */
    uint32_t priority;
} rt_account;

typedef struct rt_key {
    char text[RT_KEY_SIZE];
    uint32_t account; /* index in accounts */
} rt_key;

/* What a caller may send, and how long it may take. */
typedef struct rt_limits {
    uint32_t head_bytes;
    uint64_t body_bytes;
    lv_time head_timeout;
    lv_time idle_timeout;
} rt_limits;

typedef struct rt_table {
    uint32_t references;
    uint64_t version;
    bool has_accounts; /* requests need keys, except on public routes */
    rt_limits limits;
    rt_route *routes; /* sorted by host and prefix once sealed */
    uint32_t route_count;
    rt_service *services;
    uint32_t service_count;
    rt_account *accounts;
    uint32_t account_count;
    rt_key *keys; /* sorted by text once sealed */
    uint32_t key_count;
} rt_table;

/* A new empty table with one reference, or NULL when memory ended. */
rt_table *rt_new(uint64_t version);

/* Add a zeroed row; NULL when memory ended. The pointer lives until the
 * next row of that kind is added. */
rt_route *rt_add_route(rt_table *table);
rt_service *rt_add_service(rt_table *table);
rt_account *rt_add_account(rt_table *table);
rt_key *rt_add_key(rt_table *table);

/* Check and sort the rows; the table is read-only afterwards. */
bool rt_seal(rt_table *table, err_error *error);

rt_table *rt_ref(rt_table *table);
void rt_unref(rt_table *table); /* NULL is allowed */

/* The route of a host (any case, with or without a port) with the longest
 * prefix that begins the path; NULL if there is none. */
const rt_route *rt_find_route(const rt_table *table, const char *host,
                              const char *path, size_t path_size);

/* The account that holds a key, or NULL. */
const rt_account *rt_find_account(const rt_table *table, const char *key);

const rt_service *rt_find_service(const rt_table *table, lv_id service);

/* The service of a route for one request; `draw` is a random number. */
lv_id rt_choose_backend(const rt_route *route, uint64_t draw);

/* May the request run again after it may have begun to run? */
bool rt_may_retry(const rt_route *route);

#endif
