#include "lavender/routing.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define FIRST_ROWS 16

rt_table *
rt_new(uint64_t version)
{
    rt_table *table = calloc(1, sizeof *table);

    if (table != NULL) {
        table->references = 1;
        table->version = version;
    }
    return table;
}

rt_table *
rt_ref(rt_table *table)
{
    table->references++;
    return table;
}

void
rt_unref(rt_table *table)
{
    if (table == NULL || --table->references > 0) {
        return;
    }
    free(table->routes);
    free(table->services);
    free(table->accounts);
    free(table->keys);
    free(table);
}

/* Capacities are powers of two, so the count alone says when one is full. */
static void *
add_row(void **rows, uint32_t *count, size_t row_size)
{
    bool is_full =
        *count == 0 || (*count >= FIRST_ROWS && (*count & (*count - 1)) == 0);
    char *row;

    if (is_full) {
        size_t capacity = *count == 0 ? FIRST_ROWS : (size_t)*count * 2;
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
                       "begin and end every prefix with a slash",
                       "the prefix '%s' is not whole", route->prefix);
    }
    if (route->backend_count == 0) {
        return err_set(error, ERR_BAD_VALUE, "give the route a service",
                       "the route %s%s has no service", route->host,
                       route->prefix);
    }
    for (i = 0; i < route->backend_count; i++) {
        if (rt_find_service(table, route->backends[i].service) == NULL) {
            return err_set(error, ERR_UNKNOWN_NAME,
                           "list the service among the services",
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
                           "give each key to one account only",
                           "two accounts hold the same key");
        }
    }
    return true;
}

static bool
copy_host(char *to, const char *host)
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

/* The size of the longest prefix, shorter than `size`, that ends in a slash;
 * 0 if there is none. */
static size_t
shorter_prefix(const char *path, size_t size)
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
    rt_route wanted;
    const rt_route *route;
    size_t size = path_size;

    if (table->route_count == 0 || !copy_host(wanted.host, host)) {
        return NULL;
    }
    if (size >= RT_PREFIX_SIZE) {
        size = RT_PREFIX_SIZE - 1;
    }
    for (size = shorter_prefix(path, size); size > 0;
         size = shorter_prefix(path, size - 1)) {
        memcpy(wanted.prefix, path, size);
        wanted.prefix[size] = '\0';
        route = bsearch(&wanted, table->routes, table->route_count,
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
    rt_key wanted;
    const rt_key *found;

    if (table->key_count == 0 || strlen(key) >= sizeof wanted.text) {
        return NULL;
    }
    lv_copy_name(wanted.text, sizeof wanted.text, key);
    found = bsearch(&wanted, table->keys, table->key_count,
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
rt_choose_backend(const rt_route *route, uint64_t draw)
{
    uint64_t total = 0;
    uint64_t place;
    uint32_t i;

    for (i = 0; i < route->backend_count; i++) {
        total += route->backends[i].weight;
    }
    if (total == 0) {
        return route->backends[0].service;
    }
    place = draw % total;
    for (i = 0; i + 1 < route->backend_count; i++) {
        if (place < route->backends[i].weight) {
            break;
        }
        place -= route->backends[i].weight;
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
