#include <ini.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-load.h"

typedef struct text_key {
    const char *name;
    size_t offset;
    size_t size;
} text_key;

typedef struct number_key {
    const char *name;
    size_t offset;
} number_key;

#define TEXT(field)                                                           \
    {                                                                         \
#field, offsetof(load_flow, field), sizeof((load_flow *)0)->field     \
    }

static const text_key text_keys[] = {
    TEXT(account),
    TEXT(key),
    TEXT(path),
    TEXT(model),
    {"class", offsetof(load_flow, class_name), LOAD_NAME_SIZE}};

static const number_key number_keys[] = {
    {"count", offsetof(load_flow, count)},
    {"burst", offsetof(load_flow, burst)},
    {"prompt", offsetof(load_flow, prompt)},
    {"tokens", offsetof(load_flow, tokens)},
    {"stream", offsetof(load_flow, stream_percent)},
    {"tickets", offsetof(load_flow, ticket_percent)},
    {"hint", offsetof(load_flow, hint_percent)},
    {"weight", offsetof(load_flow, weight)}};

static void
read_addresses(load_addresses *addresses, const char *value)
{
    char *copy = strdup(value);
    char *rest = NULL;

    for (char *one = strtok_r(copy, ", ", &rest);
         one != NULL && addresses->count < LOAD_ADDRESSES;
         one = strtok_r(NULL, ", ", &rest)) {
        snprintf(addresses->text[addresses->count++], HTTP_ADDRESS_SIZE, "%s",
                 one);
    }
    free(copy);
}

static int
read_load_key(load_plan *plan, const char *name, const char *value)
{
    if (strcmp(name, "routers") == 0) {
        read_addresses(&plan->routers, value);
    }
    else if (strcmp(name, "engines") == 0) {
        read_addresses(&plan->engines, value);
    }
    else if (strcmp(name, "services") == 0) {
        read_addresses(&plan->services, value);
    }
    else if (strcmp(name, "operators") == 0) {
        read_addresses(&plan->operators, value);
    }
    else if (strcmp(name, "pids") == 0) {
        read_addresses(&plan->pids, value);
    }
    else if (strcmp(name, "platform") == 0) {
        snprintf(plan->platform, sizeof plan->platform, "%s", value);
    }
    else if (strcmp(name, "seconds") == 0) {
        plan->seconds = strtod(value, NULL);
    }
    else if (strcmp(name, "warm_up") == 0) {
        plan->warm_up = strtod(value, NULL);
    }
    else if (strcmp(name, "window") == 0) {
        plan->window = strtod(value, NULL);
    }
    else if (strcmp(name, "drain") == 0) {
        plan->drain = strtod(value, NULL);
    }
    else if (strcmp(name, "requests") == 0) {
        plan->requests = (uint32_t)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "timeout_ms") == 0) {
        plan->timeout_ms = (uint32_t)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "seed") == 0) {
        plan->seed = strtoull(value, NULL, 10);
    }
    else {
        return 0;
    }
    return 1;
}

static load_flow *
find_flow(load_plan *plan, const char *name)
{
    load_flow *flow;

    for (uint32_t i = 0; i < plan->flow_count; i++) {
        if (strcmp(plan->flows[i].name, name) == 0) {
            return &plan->flows[i];
        }
    }
    if (plan->flow_count == LOAD_FLOWS) {
        return NULL;
    }
    flow = &plan->flows[plan->flow_count++];
    *flow = (load_flow){.path = "/v1/chat/completions",
                        .model = "m",
                        .count = 1,
                        .burst = 1,
                        .prompt = 200,
                        .tokens = 20,
                        .hint_percent = 50,
                        .weight = 1,
                        .stop = LOAD_SECONDS_MAX};
    snprintf(flow->name, sizeof flow->name, "%s", name);
    return flow;
}

static void
read_skew(load_flow *flow, const char *value)
{
    char *copy = strdup(value);
    char *rest = NULL;

    flow->skew_count = 0;
    for (char *one = strtok_r(copy, ", ", &rest);
         one != NULL && flow->skew_count < LOAD_ROUTERS;
         one = strtok_r(NULL, ", ", &rest)) {
        flow->skew[flow->skew_count++] = (uint32_t)strtoul(one, NULL, 10);
    }
    free(copy);
}

static int
read_flow_key(load_flow *flow, const char *name, const char *value)
{
    char *bytes = (char *)flow;

    for (size_t i = 0; i < sizeof text_keys / sizeof text_keys[0]; i++) {
        if (strcmp(name, text_keys[i].name) == 0) {
            snprintf(bytes + text_keys[i].offset, text_keys[i].size, "%s",
                     value);
            return 1;
        }
    }
    for (size_t i = 0; i < sizeof number_keys / sizeof number_keys[0]; i++) {
        if (strcmp(name, number_keys[i].name) == 0) {
            uint32_t number = (uint32_t)strtoul(value, NULL, 10);

            memcpy(bytes + number_keys[i].offset, &number, sizeof number);
            return 1;
        }
    }
    if (strcmp(name, "mode") == 0) {
        flow->is_open = strcmp(value, "open") == 0;
    }
    else if (strcmp(name, "kind") == 0) {
        flow->kind =
            strcmp(value, "service") == 0 ? LOAD_SERVICE : LOAD_ENGINE;
    }
    else if (strcmp(name, "rate") == 0) {
        flow->rate = strtod(value, NULL);
    }
    else if (strcmp(name, "start") == 0) {
        flow->start = strtod(value, NULL);
    }
    else if (strcmp(name, "stop") == 0) {
        flow->stop = strtod(value, NULL);
    }
    else if (strcmp(name, "skew") == 0) {
        read_skew(flow, value);
    }
    else {
        return 0;
    }
    return 1;
}

static int
on_key(void *context, const char *section, const char *name, const char *value)
{
    load_plan *plan = context;
    load_flow *flow;

    if (strcmp(section, "load") == 0) {
        return read_load_key(plan, name, value);
    }
    if (strncmp(section, "flow ", 5) != 0) {
        return 0;
    }
    flow = find_flow(plan, section + 5);
    return flow != NULL && read_flow_key(flow, name, value);
}

static void
die(const char *path, const char *what)
{
    fprintf(stderr, "%s: %s\n", path, what);
    exit(2);
}

static void
add_account(load_load *load, load_flow *flow)
{
    load_account *account;

    for (uint32_t i = 0; i < load->account_count; i++) {
        if (strcmp(load->accounts[i].name, flow->account) == 0) {
            flow->account_index = i;
            return;
        }
    }
    if (load->account_count == LOAD_ACCOUNTS) {
        die(flow->account, "too many accounts; write at most 64");
    }
    flow->account_index = load->account_count;
    account = &load->accounts[load->account_count++];
    memcpy(account->name, flow->account, sizeof account->name);
    account->weight = flow->weight > 0 ? flow->weight : 1;
    for (int kind = 0; kind < LOAD_KIND_COUNT; kind++) {
        account->least[kind] = malloc(LOAD_INTERVALS * sizeof(uint16_t));
        if (account->least[kind] == NULL) {
            abort();
        }
        memset(account->least[kind], 0xff, LOAD_INTERVALS * sizeof(uint16_t));
    }
}

void
load_read_plan(load_load *load, const char *path)
{
    load_plan *plan = &load->plan;
    char message[96];
    int line;

    *plan = (load_plan){.seconds = 10,
                        .window = 20,
                        .drain = 30,
                        .requests = 100000,
                        .timeout_ms = 120000,
                        .seed = 1};
    line = ini_parse(path, on_key, plan);
    if (line < 0) {
        die(path, "can not be read; name a plan in INI");
    }
    if (line > 0) {
        snprintf(message, sizeof message,
                 "line %d is not understood; fleet-load --help shows the keys",
                 line);
        die(path, message);
    }
    if (plan->routers.count == 0 || plan->routers.count > LOAD_ROUTERS) {
        die(path, "[load] routers: write 1 to 32 IP:PORT");
    }
    if (plan->seconds > LOAD_SECONDS_MAX ||
        plan->requests > LOAD_REQUESTS_MAX) {
        die(path, "[load] seconds is at most 600, requests 1000000");
    }
    for (uint32_t i = 0; i < plan->flow_count; i++) {
        add_account(load, &plan->flows[i]);
    }
}
