#include "lavender/routing.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

/* Of a block of strings; a longer string has a block of its own. */
#define TEXT_BLOCK_SIZE ((size_t)16384)

rt_table *
rt_new(uint64_t version)
{
    rt_table *table = calloc(1, sizeof *table);

    if (table != NULL) {
        table->reference_count = 1;
        table->version = version;
    }
    return table;
}

rt_table *
rt_ref(rt_table *table)
{
    table->reference_count++;
    return table;
}

void
rt_unref(rt_table *table)
{
    if (table == NULL || --table->reference_count > 0) {
        return;
    }
    free(table->routes);
    free(table->services);
    free(table->accounts);
    free(table->keys);
    free(table->backends);
    while (table->texts != NULL) {
        rt_texts *next = table->texts->next;

        free(table->texts);
        table->texts = next;
    }
    free(table);
}

/* Capacities are powers of two from INITIAL_CAPACITY on, so `count` alone
 * tells when the array is full. */
static void *
add_row(void **rows, uint32_t *count, size_t row_size)
{
    bool is_full = *count == 0 || (*count >= INITIAL_CAPACITY &&
                                   (*count & (*count - 1)) == 0);
    char *row;

    if (is_full) {
        size_t capacity = *count == 0 ? INITIAL_CAPACITY : (size_t)*count * 2;
        void *grown = realloc(*rows, capacity * row_size);

        if (grown == NULL) {
            return NULL;
        }
        *rows = grown;
    }
    row = (char *)*rows + (size_t)*count * row_size;
    memset(row, 0, row_size);
    (*count)++;
    return row;
}

rt_route *
rt_add_route(rt_table *table)
{
    return add_row((void **)&table->routes, &table->route_count,
                   sizeof *table->routes);
}

rt_service *
rt_add_service(rt_table *table)
{
    return add_row((void **)&table->services, &table->service_count,
                   sizeof *table->services);
}

rt_account *
rt_add_account(rt_table *table)
{
    return add_row((void **)&table->accounts, &table->account_count,
                   sizeof *table->accounts);
}

rt_key *
rt_add_key(rt_table *table)
{
    return add_row((void **)&table->keys, &table->key_count,
                   sizeof *table->keys);
}

/* Adds a block that has room for `size` bytes. One that a single string fills
 * stands behind the block in use, which has room left. */
static rt_texts *
add_texts(rt_table *table, size_t size)
{
    size_t block_size = size > TEXT_BLOCK_SIZE ? size : TEXT_BLOCK_SIZE;
    rt_texts *texts = malloc(sizeof *texts + block_size);

    if (texts == NULL) {
        return NULL;
    }
    texts->size = block_size;
    texts->used = 0;
    if (size > TEXT_BLOCK_SIZE && table->texts != NULL) {
        texts->next = table->texts->next;
        table->texts->next = texts;
    }
    else {
        texts->next = table->texts;
        table->texts = texts;
    }
    return texts;
}

const char *
rt_copy_text(rt_table *table, const char *text)
{
    size_t size = strlen(text) + 1;
    rt_texts *texts = table->texts;
    char *copy;

    if (texts == NULL || texts->size - texts->used < size) {
        texts = add_texts(table, size);
    }
    if (texts == NULL) {
        return NULL;
    }
    copy = texts->bytes + texts->used;
    memcpy(copy, text, size);
    texts->used += size;
    return copy;
}

bool
rt_add_backend(rt_table *table, lv_id service, uint32_t weight)
{
    rt_route *route = &table->routes[table->route_count - 1];
    rt_backend *backend =
        add_row((void **)&table->backends, &table->backend_count,
                sizeof *table->backends);

    if (backend == NULL) {
        return false;
    }
    backend->service = service;
    backend->weight = weight;
    if (route->backend_count++ == 0) {
        route->first_backend = table->backend_count - 1;
    }
    return true;
}

void
rt_ignore_row(rt_table *table, const err_error *reason)
{
    if (table->ignored_count++ == 0) {
        table->ignored = *reason;
    }
}

static int
compare_routes(const void *left, const void *right)
{
    const rt_route *a = left;
    const rt_route *b = right;
    int order = strcmp(a->host, b->host);

    return order != 0 ? order : strcmp(a->prefix, b->prefix);
}

static int
compare_keys(const void *left, const void *right)
{
    return strcmp(((const rt_key *)left)->text, ((const rt_key *)right)->text);
}

static bool
check_route(const rt_table *table, const rt_route *route, err_error *error)
{
    size_t size = strlen(route->prefix);
    uint32_t i;

    if (size == 0 || route->prefix[0] != '/' ||
        route->prefix[size - 1] != '/') {
        return err_set(error, ERR_BAD_VALUE,
                       "begin and end each prefix with a slash",
                       "the prefix '%s' does not begin and end with a slash",
                       route->prefix);
    }
    if (route->backend_count == 0) {
        return err_set(error, ERR_BAD_VALUE, "add a service to the route",
                       "the route %s%s has no service", route->host,
                       route->prefix);
    }
    for (i = 0; i < route->backend_count; i++) {
        lv_id service = table->backends[route->first_backend + i].service;

        if (rt_find_service(table, service) == NULL) {
            return err_set(error, ERR_UNKNOWN_NAME,
                           "define the service or correct its name",
                           "the route %s%s names an unknown service",
                           route->host, route->prefix);
        }
    }
    return true;
}

/* A route without backends was counted when it was read. */
static void
check_routes(rt_table *table)
{
    uint32_t i;

    for (i = 0; i < table->route_count; i++) {
        rt_route *route = &table->routes[i];
        size_t size = strlen(route->prefix);
        err_error error;

        if (route->backend_count > 0 && !check_route(table, route, &error)) {
            route->backend_count = 0;
            rt_ignore_row(table, &error);
        }
        if (size > table->longest_prefix) {
            table->longest_prefix = size;
        }
    }
}

/* A key that stands with two accounts must not let one in as the other. */
static void
check_keys(rt_table *table)
{
    uint32_t i;

    for (i = 1; i < table->key_count; i++) {
        rt_key *key = &table->keys[i];
        err_error error;

        if (strcmp(key[-1].text, key->text) == 0 &&
            key[-1].account != key->account) {
            if (key[-1].account != RT_ACCOUNT_NONE) {
                err_set(&error, ERR_CONFLICT, "assign each key to one account",
                        "two accounts have the same key");
                rt_ignore_row(table, &error);
            }
            key[-1].account = key->account = RT_ACCOUNT_NONE;
        }
    }
    for (i = table->key_count; i > 1; i--) {
        rt_key *key = &table->keys[i - 1];

        if (strcmp(key[-1].text, key->text) == 0) {
            key[-1].account = key->account;
        }
    }
}

void
rt_seal(rt_table *table)
{
    check_routes(table);
    if (table->route_count > 0) {
        qsort(table->routes, table->route_count, sizeof *table->routes,
              compare_routes);
    }
    if (table->key_count > 0) {
        qsort(table->keys, table->key_count, sizeof *table->keys,
              compare_keys);
    }
    check_keys(table);
}

/* What a route is searched by; parts of a request's head. */
typedef struct route_key {
    const char *host;
    size_t host_size;
    const char *path;
    size_t path_size;
} route_key;

static int
to_lower(int c)
{
    return c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c;
}

/* Compares `size` bytes of a host in any case with a string in lower case. */
static int
compare_host(const char *host, size_t size, const char *text)
{
    size_t i;

    for (i = 0; i < size; i++) {
        int order =
            to_lower((unsigned char)host[i]) - (int)(unsigned char)text[i];

        if (order != 0) {
            return order;
        }
    }
    return text[size] == '\0' ? 0 : -1;
}

static int
compare_path(const char *path, size_t size, const char *text)
{
    int order = strncmp(path, text, size);

    return order != 0 ? order : (text[size] == '\0' ? 0 : -1);
}

static int
compare_with_route(const void *key, const void *row)
{
    const route_key *searched = key;
    const rt_route *route = row;
    int order = compare_host(searched->host, searched->host_size, route->host);

    return order != 0 ? order
                      : compare_path(searched->path, searched->path_size,
                                     route->prefix);
}

/* Returns the size of the longest prefix of at most `size` bytes that ends
 * with a slash, or 0. */
static size_t
prefix_size(const char *path, size_t size)
{
    while (size > 0 && path[size - 1] != '/') {
        size--;
    }
    return size;
}

const rt_route *
rt_find_route(const rt_table *table, const char *host, const char *path,
              size_t path_size)
{
    route_key searched = {
        .host = host, .host_size = strcspn(host, ":"), .path = path};
    size_t size =
        path_size < table->longest_prefix ? path_size : table->longest_prefix;

    if (table->route_count == 0 || searched.host_size == 0) {
        return NULL;
    }
    for (size = prefix_size(path, size); size > 0;
         size = prefix_size(path, size - 1)) {
        const rt_route *route;

        searched.path_size = size;
        route = bsearch(&searched, table->routes, table->route_count,
                        sizeof *table->routes, compare_with_route);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

static int
compare_with_key(const void *text, const void *row)
{
    return strcmp(text, ((const rt_key *)row)->text);
}

const rt_account *
rt_find_account(const rt_table *table, const char *key)
{
    const rt_key *found = NULL;

    if (table->key_count > 0) {
        found = bsearch(key, table->keys, table->key_count,
                        sizeof *table->keys, compare_with_key);
    }
    return found != NULL && found->account != RT_ACCOUNT_NONE
               ? &table->accounts[found->account]
               : NULL;
}

const rt_service *
rt_find_service(const rt_table *table, lv_id service)
{
    uint32_t i;

    for (i = 0; i < table->service_count; i++) {
        if (table->services[i].id == service) {
            return &table->services[i];
        }
    }
    return NULL;
}

lv_id
rt_choose_backend(const rt_table *table, const rt_route *route,
                  uint64_t random)
{
    const rt_backend *backends = table->backends + route->first_backend;
    uint64_t total = 0;
    uint64_t offset;
    uint32_t i;

    if (route->backend_count == 0) {
        return LV_ID_NONE;
    }
    for (i = 0; i < route->backend_count; i++) {
        total += backends[i].weight;
    }
    if (total == 0) {
        return backends[0].service;
    }
    offset = random % total;
    for (i = 0; i + 1 < route->backend_count; i++) {
        if (offset < backends[i].weight) {
            break;
        }
        offset -= backends[i].weight;
    }
    return backends[i].service;
}

static bool
have_same_services(const rt_table *one_table, const rt_route *one,
                   const rt_table *other_table, const rt_route *other)
{
    uint32_t i;

    for (i = 0; i < one->backend_count && i < other->backend_count; i++) {
        if (one_table->backends[one->first_backend + i].service !=
            other_table->backends[other->first_backend + i].service) {
            return false;
        }
    }
    return one->backend_count == other->backend_count;
}

void
rt_note_changes(rt_table *table, const rt_table *before, lv_time now)
{
    uint32_t i;

    for (i = 0; before != NULL && i < table->route_count; i++) {
        rt_route *route = &table->routes[i];
        const rt_route *old = rt_find_route(before, route->host, route->prefix,
                                            strlen(route->prefix));

        if (old == NULL) {
            continue;
        }
        route->changed_at = have_same_services(table, route, before, old)
                                ? old->changed_at
                                : now;
    }
}

bool
rt_has_several_services(const rt_table *table, const rt_route *route,
                        lv_time since)
{
    const rt_backend *backends = table->backends + route->first_backend;
    uint32_t i;

    for (i = 1; i < route->backend_count; i++) {
        if (backends[i].service != backends[0].service) {
            return true;
        }
    }
    return route->changed_at != 0 && route->changed_at >= since;
}

bool
rt_may_retry(const rt_route *route)
{
    return route->kind == RT_IDEMPOTENT ||
           (route->kind == RT_STREAM && route->is_resumable);
}

const char *
rt_kind_name(rt_kind kind)
{
    static const char *const names[RT_KINDS] = {[RT_IDEMPOTENT] = "idempotent",
                                                [RT_NON_IDEMPOTENT] =
                                                    "non-idempotent",
                                                [RT_STREAM] = "stream"};

    return kind < RT_KINDS ? names[kind] : "unknown";
}
