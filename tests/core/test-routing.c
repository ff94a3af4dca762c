/*
 * Routing tables: longest prefix, hosts, keys, weights, and what makes a
 * table unusable.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/routing.h"

static rt_table *table;

static void
add_route(const char *host, const char *prefix, const char *service)
{
    rt_route *route = rt_add_route(table);

    lv_copy_name(route->host, sizeof route->host, host);
    lv_copy_name(route->prefix, sizeof route->prefix, prefix);
    route->backends[0].service = lv_hash_name(service);
    route->backends[0].weight = 1;
    route->backend_count = 1;
}

static void
add_service(const char *name)
{
    rt_service *service = rt_add_service(table);

    lv_copy_name(service->name, sizeof service->name, name);
    service->id = lv_hash_name(name);
}

static void
add_account(const char *name)
{
    rt_account *account = rt_add_account(table);

    lv_copy_name(account->name, sizeof account->name, name);
}

static void
add_key(const char *text, uint32_t account)
{
    rt_key *key = rt_add_key(table);

    lv_copy_name(key->text, sizeof key->text, text);
    key->account = account;
}

static void
start(void)
{
    table = rt_new(7);
    add_service("models");
    add_route("a.example", "/", "models");
    add_route("a.example", "/x/", "models");
    add_route("a.example", "/x/yy/", "models");
    add_route("b.example", "/x/", "models");
    add_account("north");
    add_account("south");
    add_key("key-2", 1);
    add_key("key-1", 0);
    add_key("key-3", 0);
}

static void
stop(void)
{
    rt_unref(table);
}

TestSuite(routing, .init = start, .fini = stop);

Test(routing, the_longest_prefix_of_the_host_wins)
{
    static const struct {
        const char *host;
        const char *path;
        const char *prefix; /* NULL: no route */
    } cases[] = {
        {"a.example", "/", "/"},
        {"a.example", "/x", "/"},
        {"a.example", "/x/", "/x/"},
        {"a.example", "/x/y/z", "/x/"},
        {"a.example", "/x/yy/z", "/x/yy/"},
        {"a.example", "/x/yyy", "/x/"},
        {"A.Example", "/x/1", "/x/"},
        {"a.example:8080", "/x/1", "/x/"},
        {"b.example", "/", NULL},
        {"b.example", "/x/1", "/x/"},
        {"c.example", "/x/1", NULL},
        {"a.example.", "/x/1", NULL},
        {"", "/x/1", NULL},
    };

    cr_assert(rt_seal(table, NULL));
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        const rt_route *route = rt_find_route(
            table, cases[i].host, cases[i].path, strlen(cases[i].path));

        if (cases[i].prefix == NULL) {
            cr_expect_null(route, "%s%s", cases[i].host, cases[i].path);
            continue;
        }
        cr_assert_not_null(route, "%s%s", cases[i].host, cases[i].path);
        cr_expect_str_eq(route->prefix, cases[i].prefix, "%s%s", cases[i].host,
                         cases[i].path);
    }
}

Test(routing, a_path_longer_than_any_prefix_still_finds_its_route)
{
    char path[RT_PREFIX_SIZE * 3];

    cr_assert(rt_seal(table, NULL));
    memset(path, 'z', sizeof path - 1);
    memcpy(path, "/x/yy/", 6);
    path[sizeof path - 1] = '\0';
    cr_assert_str_eq(
        rt_find_route(table, "a.example", path, strlen(path))->prefix,
        "/x/yy/");
}

Test(routing, each_of_several_keys_names_its_account)
{
    cr_assert(rt_seal(table, NULL));
    cr_expect_str_eq(rt_find_account(table, "key-1")->name, "north");
    cr_expect_str_eq(rt_find_account(table, "key-2")->name, "south");
    cr_expect_str_eq(rt_find_account(table, "key-3")->name, "north");
    cr_expect_null(rt_find_account(table, "key-4"));
    cr_expect_null(rt_find_account(table, ""));
}

Test(routing, a_split_follows_its_weights)
{
    rt_route *route = &table->routes[0];
    uint32_t first = 0;

    route->backends[0].weight = 90;
    route->backends[1].service = 42;
    route->backends[1].weight = 10;
    route->backend_count = 2;
    for (uint64_t draw = 0; draw < 1000; draw++) {
        first += rt_choose_backend(route, draw) == lv_hash_name("models");
    }
    cr_assert_eq(first, 900);
}

Test(routing, what_may_be_repeated_follows_from_the_kind)
{
    static const struct {
        rt_kind kind;
        bool is_resumable;
        bool may_repeat;
    } cases[] = {
        {RT_IDEMPOTENT, false, true},     {RT_NON_IDEMPOTENT, false, false},
        {RT_NON_IDEMPOTENT, true, false}, {RT_STREAM, false, false},
        {RT_STREAM, true, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        rt_route route = {.kind = cases[i].kind,
                          .is_resumable = cases[i].is_resumable};

        cr_expect_eq(rt_may_retry(&route), cases[i].may_repeat, "case %zu", i);
    }
}

typedef void spoil(void);

static void
cut_prefix(void)
{
    lv_copy_name(table->routes[1].prefix, sizeof table->routes[1].prefix,
                 "/x");
}

static void
unknown_service(void)
{
    table->routes[1].backends[0].service = 99;
}

static void
no_service(void)
{
    table->routes[1].backend_count = 0;
}

static void
shared_key(void)
{
    add_key("key-1", 1);
}

Test(routing, a_table_that_contradicts_itself_is_refused)
{
    static spoil *const cases[] = {cut_prefix, unknown_service, no_service,
                                   shared_key};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        err_error error;

        stop();
        start();
        cases[i]();
        err_clear(&error);
        cr_expect_not(rt_seal(table, &error), "case %zu", i);
        cr_expect_neq(error.kind, ERR_NONE, "case %zu", i);
        cr_expect_neq(error.remedy[0], '\0', "case %zu", i);
    }
}
