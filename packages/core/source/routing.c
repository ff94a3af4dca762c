#include "lavender/routing.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define INITIAL_CAPACITY 16

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
        if (rt_find_service(table, route->backends[i].service) == NULL) {
            return err_set(error, ERR_UNKNOWN_NAME,
                           "define the service or correct its name",
                           "the route %s%s names an unknown service",
                           route->host, route->prefix);
        }
    }
    return true;
}

bool
rt_seal(rt_table *table, err_error *error)
{
    uint32_t i;

    for (i = 0; i < table->route_count; i++) {
        if (!check_route(table, &table->routes[i], error)) {
            return false;
        }
    }
    if (table->route_count > 0) {
        qsort(table->routes, table->route_count, sizeof *table->routes,
              compare_routes);
    }
    if (table->key_count > 0) {
        qsort(table->keys, table->key_count, sizeof *table->keys,
              compare_keys);
    }
    for (i = 1; i < table->key_count; i++) {
        const rt_key *key = &table->keys[i];

        if (strcmp(key[-1].text, key->text) == 0 &&
            key[-1].account != key->account) {
            return err_set(error, ERR_CONFLICT,
                           "assign each key to one account",
                           "two accounts have the same key");
        }
    }
    return true;
}

static bool
normalize_host(char *to, const char *host)
{
    size_t i;

    for (i = 0; host[i] != '\0' && host[i] != ':'; i++) {
        if (i + 1 >= RT_HOST_SIZE) {
            return false;
        }
        to[i] = host[i];
        if (host[i] >= 'A' && host[i] <= 'Z') {
            to[i] = (char)(host[i] - 'A' + 'a');
        }
    }
    to[i] = '\0';
    return i > 0;
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
    rt_route searched;
    const rt_route *route;
    size_t size = path_size;

    if (table->route_count == 0 || !normalize_host(searched.host, host)) {
        return NULL;
    }
    if (size >= RT_PREFIX_SIZE) {
        size = RT_PREFIX_SIZE - 1;
    }
    for (size = prefix_size(path, size); size > 0;
         size = prefix_size(path, size - 1)) {
        memcpy(searched.prefix, path, size);
        searched.prefix[size] = '\0';
        route = bsearch(&searched, table->routes, table->route_count,
                        sizeof *table->routes, compare_routes);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

const rt_account *
rt_find_account(const rt_table *table, const char *key)
{
    rt_key searched;
    const rt_key *found;

    if (table->key_count == 0 || strlen(key) >= sizeof searched.text) {
        return NULL;
    }
    lv_copy_name(searched.text, sizeof searched.text, key);
    found = bsearch(&searched, table->keys, table->key_count,
                    sizeof *table->keys, compare_keys);
    return found != NULL ? &table->accounts[found->account] : NULL;
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
rt_choose_backend(const rt_route *route, uint64_t random)
{
    uint64_t total = 0;
    uint64_t offset;
    uint32_t i;

    for (i = 0; i < route->backend_count; i++) {
        total += route->backends[i].weight;
    }
    if (total == 0) {
        return route->backends[0].service;
    }
    offset = random % total;
    for (i = 0; i + 1 < route->backend_count; i++) {
        if (offset < route->backends[i].weight) {
            break;
        }
        offset -= route->backends[i].weight;
    }
    return route->backends[i].service;
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
