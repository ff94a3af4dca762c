/*
 * Stand-in for the platform: the configuration service that is read and
 * watched, and the weight store.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-platform.h"

#define READS_PER_SECOND 2000
#define TICK_MS 5
#define POLL_TICKS 40

static void
value_set(value_value *value, const char *text, size_t size, uint64_t revision)
{
    free(value->text);
    value->text = malloc(size + 1);
    if (value->text == NULL) {
        abort();
    }
    memcpy(value->text, text, size);
    value->text[size] = '\0';
    value->size = size;
    value->revision = revision;
}

key_key *
platform_find_key(config_service *platform, const char *name, bool is_made)
{
    key_key *key;

    for (uint32_t i = 0; i < platform->key_count; i++) {
        if (strcmp(platform->keys[i].name, name) == 0) {
            return &platform->keys[i];
        }
    }
    if (!is_made || platform->key_count == KEYS_MAX) {
        return NULL;
    }
    key = &platform->keys[platform->key_count++];
    snprintf(key->name, sizeof key->name, "%s", name);
    return key;
}

static const value_value *
served(const config_service *platform, const key_key *key)
{
    return platform->is_stale ? &key->frozen : &key->current;
}

static void
answer_value(h2o_req_t *req, const value_value *value)
{
    h2o_iovec_t revision = h2o_iovec_init(NULL, 0);

    revision.base = h2o_mem_alloc_pool(&req->pool, 24);
    revision.len = (size_t)snprintf(revision.base, 24, "%llu",
                                    (unsigned long long)value->revision);
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("config-revision"), 0, NULL,
                          revision.base, revision.len);
    http_send_text(req, 200, "text/plain", value->text, value->size);
}

static void
on_watch_gone(void *memory)
{
    watch_watch *watch = memory;
    watch_watch **link = &watch->platform->watches;

    while (*link != NULL && *link != watch) {
        link = &(*link)->next;
    }
    if (*link == watch) {
        *link = watch->next;
    }
}

/* Answer a watch if it can be; true when it was. */
static bool
try_watch(config_service *platform, watch_watch *watch)
{
    const value_value *value = served(platform, watch->key);
    h2o_req_t *req = watch->req;

    if (platform->is_down) {
        on_watch_gone(watch);
        http_send_text(req, 503, "text/plain", "down\n", 5);
        return true;
    }
    if (value->revision > watch->after) {
        on_watch_gone(watch);
        answer_value(req, value);
        return true;
    }
    if (uv_now(&platform->loop) >= watch->due_ms) {
        on_watch_gone(watch);
        req->res.status = 304;
        req->res.reason = "Not Modified";
        h2o_send_inline(req, "", 0);
        return true;
    }
    return false;
}

static void
try_watches(config_service *platform)
{
    watch_watch *watch = platform->watches;

    while (watch != NULL) {
        watch_watch *next = watch->next;

        try_watch(platform, watch);
        watch = next;
    }
}

void
platform_set_key(config_service *platform, key_key *key, const char *text,
                 size_t size)
{
    uint64_t revision = key->current.revision + 1;

    if (key->pending.text != NULL) {
        revision = key->pending.revision + 1;
    }
    if (strcmp(key->name, "lists") == 0 && platform->lists_lag_ms > 0) {
        value_set(&key->pending, text, size, revision);
        key->due_ms = uv_now(&platform->loop) + platform->lists_lag_ms;
        return;
    }
    value_set(&key->current, text, size, revision);
}

static void
release_pending(config_service *platform)
{
    for (uint32_t i = 0; i < platform->key_count; i++) {
        key_key *key = &platform->keys[i];

        if (key->pending.text != NULL &&
            uv_now(&platform->loop) >= key->due_ms) {
            free(key->current.text);
            key->current = key->pending;
            memset(&key->pending, 0, sizeof key->pending);
        }
    }
}

static bool
is_over_limit(config_service *platform)
{
    uint64_t second = uv_now(&platform->loop) / 1000;

    if (second != platform->second) {
        platform->second = second;
        platform->second_reads = 0;
    }
    return ++platform->second_reads > platform->limit;
}

static void
start_watch(config_service *platform, h2o_req_t *req, key_key *key,
            uint64_t wait_ms)
{
    watch_watch *watch =
        h2o_mem_alloc_shared(&req->pool, sizeof *watch, on_watch_gone);

    watch->platform = platform;
    watch->req = req;
    watch->key = key;
    watch->after = http_query_number(req, "after", 0);
    watch->due_ms = uv_now(&platform->loop) + wait_ms;
    watch->next = platform->watches;
    platform->watches = watch;
    try_watch(platform, watch);
}

static void
read_config(config_service *platform, h2o_req_t *req)
{
    static const char prefix[] = "/v1/config/";
    char name[KEY_SIZE];
    uint64_t wait_ms = http_query_number(req, "wait_ms", 0);
    key_key *key;

    if (wait_ms > 0) {
        platform->watch_calls++;
    }
    else {
        platform->reads++;
    }
    snprintf(name, sizeof name, "%.*s",
             (int)(req->path_normalized.len - strlen(prefix)),
             req->path_normalized.base + strlen(prefix));
    key = platform_find_key(platform, name, false);
    if (platform->is_down) {
        platform->refused++;
        http_send_text(req, 503, "text/plain", "down\n", 5);
    }
    else if (is_over_limit(platform)) {
        platform->limited++;
        http_send_text(req, 429, "text/plain", "over the rate\n", 14);
    }
    else if (key == NULL || served(platform, key)->text == NULL) {
        platform->missing++;
        http_send_text(req, 404, "text/plain", "no such key\n", 12);
    }
    else if (wait_ms > 0) {
        start_watch(platform, req, key, wait_ms);
    }
    else {
        answer_value(req, served(platform, key));
    }
}

static void
on_request(void *context, h2o_req_t *req)
{
    config_service *platform = context;

    if (http_has_prefix(req, "/v1/config/") && http_has_method(req, "GET")) {
        read_config(platform, req);
    }
    else if (http_has_path(req, "/v1/weights")) {
        platform_send_weights(platform, req);
    }
    else {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
}

static json_t *
counts_to_json(const config_service *platform)
{
    json_int_t waiting = 0;

    for (watch_watch *watch = platform->watches; watch != NULL;
         watch = watch->next) {
        waiting++;
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
                     (json_int_t)platform->reads, "watches",
                     (json_int_t)platform->watch_calls, "waiting", waiting,
                     "refused", (json_int_t)platform->refused, "limited",
                     (json_int_t)platform->limited, "missing",
                     (json_int_t)platform->missing, "weights",
                     (json_int_t)platform->weight_calls);
}

/* Keep the values of now, for when the service is stale. */
static void
freeze(config_service *platform)
{
    platform->is_frozen = true;
    for (uint32_t i = 0; i < platform->key_count; i++) {
        key_key *key = &platform->keys[i];

        if (key->current.text != NULL) {
            value_set(&key->frozen, key->current.text, key->current.size,
                      key->current.revision);
        }
    }
}

static void
set_mode(config_service *platform, h2o_req_t *req)
{
    json_t *mode = http_read_json(req);
    bool freezes = json_is_true(json_object_get(mode, "freeze"));
    json_t *value;

    if ((value = json_object_get(mode, "down")) != NULL) {
        platform->is_down = json_is_true(value);
    }
    if ((value = json_object_get(mode, "stale")) != NULL) {
        platform->is_stale = json_is_true(value);
    }
    if ((value = json_object_get(mode, "lists_lag_ms")) != NULL) {
        platform->lists_lag_ms = (uint64_t)json_integer_value(value);
    }
    if (freezes || (platform->is_stale && !platform->is_frozen)) {
        freeze(platform);
    }
    try_watches(platform);
    http_send_json(req, mode != NULL ? 200 : 400, json_pack("{}"));
    json_decref(mode);
}

static void
on_admin(void *context, h2o_req_t *req)
{
    static const char prefix[] = "/admin/config/";
    config_service *platform = context;
    char name[KEY_SIZE];

    if (http_has_path(req, "/admin/counts")) {
        http_send_json(req, 200, counts_to_json(platform));
    }
    else if (http_has_path(req, "/admin/mode")) {
        set_mode(platform, req);
    }
    else if (http_has_prefix(req, prefix) && http_has_method(req, "PUT")) {
        snprintf(name, sizeof name, "%.*s",
                 (int)(req->path_normalized.len - strlen(prefix)),
                 req->path_normalized.base + strlen(prefix));
        platform_set_key(platform, platform_find_key(platform, name, true),
                         req->entity.base, req->entity.len);
        try_watches(platform);
        http_send_json(req, 200, json_pack("{}"));
    }
    else {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    config_service *platform = timer->data;

    if (platform->folder != NULL && platform->ticks++ % POLL_TICKS == 0) {
        platform_load_folder(platform);
    }
    release_pending(platform);
    try_watches(platform);
    platform_try_weights(platform);
}

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Where it listens (127.0.0.1:0)", 0},
    {"admin", 'a', "IP:PORT", 0, "Where tests drive it (127.0.0.1:0)", 0},
    {"folder", 'f', "FOLDER", 0,
     "Serve head.ini, accounts-N.ini and lists.ini of this folder, and their "
     "changes",
     0},
    {"limit", 'r', "N", 0, "Reads and watches a second, then 429 (2000)", 0},
    {"weight-rate", 'w', "BYTES", 0,
     "Bytes a second of the weight store (1000000000)", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    config_service *platform = state->input;

    switch (key) {
    case 'l':
        platform->listen = argument;
        break;
    case 'a':
        platform->admin_listen = argument;
        break;
    case 'f':
        platform->folder = argument;
        break;
    case 'r':
        platform->limit = strtoull(argument, NULL, 10);
        break;
    case 'w':
        platform->weight_rate = strtoull(argument, NULL, 10);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static config_service platform = {.listen = "127.0.0.1:0",
                                      .admin_listen = "127.0.0.1:0",
                                      .limit = READS_PER_SECOND,
                                      .weight_rate = 1000000000};
    static const struct argp argp = {
        options,
        parse_option,
        NULL,
        "Stand-in for the platform's configuration service and weight store."
        "\vIt prints \"ready IP:PORT admin IP:PORT\". For tests: "
        "PUT /admin/config/KEY sets a value, POST /admin/mode {\"down\": "
        "BOOL, \"freeze\": true, \"stale\": BOOL (serve what was frozen), "
        "\"lists_lag_ms\": N}, GET /admin/counts.",
        NULL,
        NULL,
        NULL};

    argp_parse(&argp, argc, argv, 0, NULL, &platform);
    if (platform.weight_rate == 0) {
        fputs("--weight-rate is 0: give bytes a second\n", stderr);
        return 2;
    }
    uv_loop_init(&platform.loop);
    if (platform.folder != NULL) {
        platform_load_folder(&platform);
    }
    http_server_init(&platform.server, &platform.loop, platform.listen,
                     on_request, &platform);
    http_server_init(&platform.admin, &platform.loop, platform.admin_listen,
                     on_admin, &platform);
    uv_timer_init(&platform.loop, &platform.tick);
    platform.tick.data = &platform;
    uv_timer_start(&platform.tick, on_tick, TICK_MS, TICK_MS);
    printf("ready %s admin %s\n", platform.server.address,
           platform.admin.address);
    fflush(stdout);
    return uv_run(&platform.loop, UV_RUN_DEFAULT);
}
