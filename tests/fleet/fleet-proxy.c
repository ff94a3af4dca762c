/*
 * Fault-injecting TCP proxy: delays, drops, cuts and silences connections,
 * by the pair of source address and target.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>

#include "part-fleet-proxy.h"

#define BACKLOG 256

static void
add_target(proxy_proxy *proxy, const char *text)
{
    const char *equals = strchr(text, '=');
    target_target *target = &proxy->targets[proxy->target_count];
    struct sockaddr_in name;
    int size = sizeof name;

    if (equals == NULL || proxy->target_count == TARGETS_MAX) {
        fprintf(stderr, "'%s': write at most %d NAME=IP:PORT\n", text,
                TARGETS_MAX);
        exit(2);
    }
    proxy->target_count++;
    target->proxy = proxy;
    snprintf(target->name, NAME_SIZE, "%.*s", (int)(equals - text), text);
    snprintf(target->address, NAME_SIZE, "%s", equals + 1);
    uv_tcp_init(&proxy->loop, &target->listener);
    target->listener.data = target;
    uv_ip4_addr("127.0.0.1", 0, &name);
    if (uv_tcp_bind(&target->listener, (struct sockaddr *)&name, 0) != 0 ||
        uv_listen((uv_stream_t *)&target->listener, BACKLOG,
                  proxy_on_connection) != 0) {
        fputs("can not listen on 127.0.0.1\n", stderr);
        exit(2);
    }
    uv_tcp_getsockname(&target->listener, (struct sockaddr *)&name, &size);
    snprintf(target->listen, NAME_SIZE, "127.0.0.1:%u",
             (unsigned)ntohs(name.sin_port));
}

static const char *
pattern_of(json_t *json, const char *key)
{
    const char *text = json_string_value(json_object_get(json, key));

    return text != NULL ? text : ANY;
}

static rule_rule *
make_rule(proxy_proxy *proxy, const char *source, const char *target)
{
    rule_rule *rule;

    for (uint32_t i = 0; i < proxy->rule_count; i++) {
        rule = &proxy->rules[i];
        if (strcmp(rule->source, source) == 0 &&
            strcmp(rule->target, target) == 0) {
            return rule;
        }
    }
    if (proxy->rule_count == RULES_MAX) {
        return NULL;
    }
    rule = &proxy->rules[proxy->rule_count];
    memset(rule, 0, sizeof *rule);
    proxy->rule_count++;
    snprintf(rule->source, NAME_SIZE, "%s", source);
    snprintf(rule->target, NAME_SIZE, "%s", target);
    return rule;
}

/* Cut closes, silence holds what is open; new connections work. */
static void
hit_connections(proxy_proxy *proxy, json_t *json)
{
    const char *source = pattern_of(json, "source");
    const char *target = pattern_of(json, "target");
    bool cuts = json_is_true(json_object_get(json, "cut"));
    bool silences = json_is_true(json_object_get(json, "silence"));

    for (connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        proxy_apply_rules(one);
        if (!proxy_is_match(source, one->source) ||
            !proxy_is_match(target, one->target->name)) {
            continue;
        }
        if (silences) {
            one->is_silent = true;
        }
        if (cuts) {
            proxy_close_connection(one);
        }
    }
}

static void
take_fault(proxy_proxy *proxy, json_t *json)
{
    json_t *delay = json_object_get(json, "delay_us");
    json_t *partition = json_object_get(json, "partition");
    json_t *refuse = json_object_get(json, "refuse");

    if (json_is_true(json_object_get(json, "heal"))) {
        for (uint32_t i = 0; i < proxy->rule_count; i++) {
            proxy->rules[i].is_partitioned = false;
            proxy->rules[i].is_refused = false;
        }
    }
    if (delay != NULL || partition != NULL || refuse != NULL) {
        rule_rule *rule = make_rule(proxy, pattern_of(json, "source"),
                                    pattern_of(json, "target"));

        if (rule != NULL && delay != NULL) {
            rule->has_delay = true;
            rule->delay_us = (uint64_t)json_integer_value(delay);
        }
        if (rule != NULL && partition != NULL) {
            rule->is_partitioned = json_is_true(partition);
        }
        if (rule != NULL && refuse != NULL) {
            rule->is_refused = json_is_true(refuse);
        }
    }
    hit_connections(proxy, json);
    proxy_pump_all(proxy);
}

static json_t *
state_to_json(const proxy_proxy *proxy)
{
    json_t *listens = json_object();
    json_int_t open = 0;

    for (uint32_t i = 0; i < proxy->target_count; i++) {
        json_object_set_new(listens, proxy->targets[i].name,
                            json_string(proxy->targets[i].listen));
    }
    for (const connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        open++;
    }
    return json_pack("{s:o, s:I, s:I, s:I, s:I, s:I}", "listen", listens,
                     "accepted", (json_int_t)proxy->accepted, "closed",
                     (json_int_t)proxy->closed, "open", open, "bytes",
                     (json_int_t)proxy->bytes, "swallowed",
                     (json_int_t)proxy->swallowed);
}

static void
on_admin(void *context, h2o_req_t *req)
{
    proxy_proxy *proxy = context;
    json_t *json;
    size_t index;
    json_t *one;

    if (http_has_path(req, "/admin/state")) {
        http_send_json(req, 200, state_to_json(proxy));
        return;
    }
    json = http_read_json(req);
    if (!http_has_path(req, "/admin/fault") || json == NULL) {
        http_send_json(req, 400, json_pack("{s:s}", "error", "bad request"));
        json_decref(json);
        return;
    }
    if (json_is_array(json)) {
        json_array_foreach(json, index, one)
        {
            take_fault(proxy, one);
        }
    }
    else {
        take_fault(proxy, json);
    }
    http_send_json(req, 200, json_pack("{}"));
    json_decref(json);
}

static const struct argp_option options[] = {
    {"admin", 'a', "IP:PORT", 0, "Where tests drive it (127.0.0.1:0)", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    proxy_proxy *proxy = state->input;

    switch (key) {
    case 'a':
        proxy->admin_listen = argument;
        break;
    case ARGP_KEY_ARG:
        add_target(proxy, argument);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static proxy_proxy proxy = {.admin_listen = "127.0.0.1:0"};
    static const struct argp argp = {
        options,
        parse_option,
        "NAME=IP:PORT...",
        "Fault-injecting TCP proxy: listens once for each target."
        "\vIt prints \"ready IP:PORT admin IP:PORT\"; both are the address "
        "for tests. GET /admin/state tells where it listens for each target. "
        "POST /admin/fault takes one or an array of {\"source\": IP, "
        "\"target\": NAME, \"delay_us\": N, \"partition\": BOOL, \"refuse\": "
        "BOOL, \"cut\": true, \"silence\": true, \"heal\": true}; source and "
        "target are \"*\" when not given.",
        NULL,
        NULL,
        NULL};

    uv_loop_init(&proxy.loop);
    argp_parse(&argp, argc, argv, 0, NULL, &proxy);
    http_server_init(&proxy.admin, &proxy.loop, proxy.admin_listen, on_admin,
                     &proxy);
    proxy.timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    uv_poll_init(&proxy.loop, &proxy.poll, proxy.timer);
    proxy.poll.data = &proxy;
    uv_poll_start(&proxy.poll, UV_READABLE, proxy_on_timer);
    printf("ready %s admin %s\n", proxy.admin.address, proxy.admin.address);
    fflush(stdout);
    return uv_run(&proxy.loop, UV_RUN_DEFAULT);
}
