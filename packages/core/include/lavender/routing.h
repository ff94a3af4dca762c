/*
 * Routing configuration: the service of each route, which requests may be
 * retried, the accounts and their keys, and the limits of callers' requests.
 *
 * A table is built once, sealed, and immutable after that. Each request holds
 * a reference to the table under which it was admitted, so that a new version
 * applies to new requests only.
 *
 * Strings and the number of rows are limited only by the size of the
 * configuration. The table owns copies of the strings. An invalid row is
 * ignored and counted; the other rows are used.
 */
#ifndef LAVENDER_ROUTING_H
#define LAVENDER_ROUTING_H

#include "lavender/error.h"
#include "lavender/types.h"

typedef enum rt_kind {
    RT_IDEMPOTENT,     /* may be executed more than once */
    RT_NON_IDEMPOTENT, /* is executed at most once per request */
    RT_STREAM,         /* an event stream; at most once unless resumable */
    RT_KINDS
} rt_kind;

/* Returns the name of a kind in logs and metrics, "unknown" for other
 * values. */
const char *rt_kind_name(rt_kind kind);

/* One service of a route. */
typedef struct rt_backend {
    lv_id service;
    uint32_t weight; /* relative to the sum of the route's backends */
} rt_backend;

typedef struct rt_route {
    const char *host;   /* lower case, without a port */
    const char *prefix; /* begins and ends with a slash */
    rt_kind kind;
    lv_time timeout;    /* maximum time until the end of the response */
    lv_time target;     /* latency target for the response, or for the first
                           event of a stream */
    lv_time gap_target; /* target for the time between two events of a stream;
                           0: none */
    uint32_t priority;  /* 0 is the most urgent */
    uint32_t max_attempts;
    bool is_public;         /* requires no key */
    bool is_resumable;      /* a stream that another endpoint can continue */
    lv_time changed_at;     /* when its services last changed; 0: not known to
                               have; see rt_note_changes */
    uint32_t first_backend; /* index in the table's backends */
    uint32_t backend_count; /* 0: its row was ignored, but for host and
                               prefix */
} rt_route;

typedef struct rt_service {
    lv_id id; /* hash of the name */
    const char *name;
    uint32_t max_connections; /* per endpoint, from all instances */
    bool is_engine;           /* a model engine with batching */
    uint32_t slots;           /* engines: maximum concurrent requests */
    uint64_t kv_tokens;       /* engines: KV cache capacity in tokens */
    lv_time cold_time; /* for which endpoints are cold after a start; 0: never
                          cold */
    double cold_rate;  /* requests per second that a cold endpoint takes */
    uint64_t kv_bytes; /* engines: of one token in the KV cache; 0: not
                          given */
    uint32_t bandwidth_mbps; /* engines: between two of them, in megabits per
                                second; 0: not given */
} rt_service;

typedef struct rt_account {
    lv_id id; /* hash of the name */
    const char *name;
    bool has_priority; /* `priority` overrides the route's */
    uint32_t priority;
} rt_account;

#define RT_ACCOUNT_NONE UINT32_MAX

typedef struct rt_key {
    const char *text;
    uint32_t account; /* index in accounts; RT_ACCOUNT_NONE: several have the
                         key, so that it is nobody's */
} rt_key;

/* Limits of a caller's request. */
typedef struct rt_limits {
    uint32_t head_bytes;
    uint64_t body_bytes;
    lv_time head_timeout; /* maximum time to receive a request and its body */
    lv_time idle_timeout; /* of a connection between two requests */
} rt_limits;

/* A block of the memory that holds the strings of a table. */
typedef struct rt_texts {
    struct rt_texts *next;
    size_t size; /* in bytes */
    size_t used;
    char bytes[];
} rt_texts;

typedef struct rt_table {
    uint32_t reference_count;
    uint64_t version;
    bool has_accounts; /* requests require keys, except on public routes */
    rt_limits limits;
    rt_route *routes; /* sorted by host and prefix once sealed */
    uint32_t route_count;
    rt_service *services;
    uint32_t service_count;
    rt_account *accounts;
    uint32_t account_count;
    rt_key *keys; /* sorted by text once sealed */
    uint32_t key_count;
    rt_backend *backends;
    uint32_t backend_count;
    rt_texts *texts;
    size_t longest_prefix;  /* in bytes; once sealed */
    uint32_t ignored_count; /* rows that cannot be used */
    err_error ignored;      /* why the first one cannot */
} rt_table;

/* Returns a new empty table with one reference, or NULL when out of memory. */
rt_table *rt_new(uint64_t version);

/* Adds a zeroed row. Returns NULL when out of memory. The pointer is valid
 * until the next row of the same type is added. */
rt_route *rt_add_route(rt_table *table);
rt_service *rt_add_service(rt_table *table);
rt_account *rt_add_account(rt_table *table);
rt_key *rt_add_key(rt_table *table);

/* Copies a string into the table's memory; NULL when out of memory. */
const char *rt_copy_text(rt_table *table, const char *text);

/* Adds a service to the route that was added last; false when out of
 * memory. */
bool rt_add_backend(rt_table *table, lv_id service, uint32_t weight);

/* Counts a row that cannot be used, and why. */
void rt_ignore_row(rt_table *table, const err_error *reason);

/* Checks and sorts the rows; the table is read-only afterwards. What is wrong
 * with a row is counted by rt_ignore_row: a route whose prefix is invalid
 * matches no request, one that names an unknown service, or none, has no
 * backends, and a key of two accounts is nobody's. */
void rt_seal(rt_table *table);

/* Adds a reference and returns the table. */
rt_table *rt_ref(rt_table *table);

/* Removes a reference, and frees the table with the last one. `table` may be
 * NULL. */
void rt_unref(rt_table *table);

/* Returns the route of a host with the longest prefix of the path, or NULL.
 * The host may be in any case and with or without a port. */
const rt_route *rt_find_route(const rt_table *table, const char *host,
                              const char *path, size_t path_size);

/* Returns the account of a key, or NULL. */
const rt_account *rt_find_account(const rt_table *table, const char *key);

/* Returns the service with this identity, or NULL. */
const rt_service *rt_find_service(const rt_table *table, lv_id service);

/* Returns one of the route's services, chosen by weight with a uniformly
 * distributed random number; LV_ID_NONE if it has none. */
lv_id rt_choose_backend(const rt_table *table, const rt_route *route,
                        uint64_t random);

/* Compares the services of each route with those in the table before (NULL:
 * none), and sets when they last changed. */
void rt_note_changes(rt_table *table, const rt_table *before, lv_time now);

/* Returns whether the route has several services, or its services have changed
 * since a time. */
bool rt_has_several_services(const rt_table *table, const rt_route *route,
                             lv_time since);

/* Returns whether a request may be executed again after it may already have
 * been executed. */
bool rt_may_retry(const rt_route *route);

#endif
