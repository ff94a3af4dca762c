#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"
#include "lavender-net/log.h"

#define ENDPOINTS_MAX 1024
#define MODELS_MAX 256
#define LOAD_ANSWER_MAX ((size_t)256 * 1024)
#define ORDER_ANSWER_MAX 4096
#define STATUS_ACCEPTED 200

/* What is known of one endpoint that this instance polls. */
typedef struct load_target {
    load_poller *poller;
    lv_id id;
    exch_call *call; /* NULL: no poll runs */
    uint64_t last_event;
    bool is_wanted;
} load_target;

typedef struct order_call {
    struct order_call *next;
    load_poller *poller;
    lv_id endpoint;
    exch_call *call;
} order_call;

struct load_poller {
    client_context *client;
    node_state *node;
    lv_time interval;
    lv_time next;
    lv_time now;
    load_target *targets[ENDPOINTS_MAX];
    uint32_t count;
    order_call *orders;
    load_counts counts;
};

static const char *
address_of(const load_poller *poller, lv_id endpoint)
{
    const lists_snapshot *lists = doc_lists(node_documents(poller->node));
    lv_handle handle =
        lists == NULL ? LV_HANDLE_NONE : lists_find_endpoint(lists, endpoint);

    return handle == LV_HANDLE_NONE ? NULL : lists->endpoints[handle].address;
}

/* Plain services have no load report. */
static bool
is_engine(const load_poller *poller, lv_id endpoint)
{
    const cat_catalogue *catalogue =
        doc_catalogue(node_documents(poller->node));
    const lists_snapshot *lists = doc_lists(node_documents(poller->node));
    lv_handle handle =
        lists == NULL ? LV_HANDLE_NONE : lists_find_endpoint(lists, endpoint);
    lv_handle pool;

    if (handle == LV_HANDLE_NONE || catalogue == NULL) {
        return false;
    }
    pool = cat_find_pool(catalogue, lists->endpoints[handle].pool);
    return pool != LV_HANDLE_NONE &&
           catalogue->pools[pool].kind == CAT_POOL_ENGINE;
}

static uint32_t
read_count(const json_t *root, const char *name)
{
    json_int_t value = json_integer_value(json_object_get(root, name));

    return value > 0 && value < UINT32_MAX ? (uint32_t)value : 0;
}

static void
read_events(load_poller *poller, load_target *target, const json_t *events)
{
    size_t i;
    json_t *event;
    uint64_t number;
    const char *prefix;

    json_array_foreach(events, i, event)
    {
        number =
            (uint64_t)json_integer_value(json_object_get(event, "number"));
        if (number <= target->last_event) {
            continue;
        }
        if (target->last_event > 0 && number > target->last_event + 1) {
            poller->counts.cache_gaps++;
        }
        target->last_event = number;
        poller->counts.cache_events++;
        prefix = json_string_value(json_object_get(event, "prefix"));
        entry_receive_cache_event(
            node_entry(poller->node), target->id, number,
            prefix == NULL ? 0 : strtoull(prefix, NULL, 16),
            json_is_true(json_object_get(event, "kept")));
    }
}

static void
take_answer(load_poller *poller, load_target *target,
            const exch_response *answer)
{
    json_t *root = json_loadb(answer->body == NULL ? "" : answer->body,
                              answer->body_size, 0, NULL);
    disp_load load = {0};
    lv_id models[MODELS_MAX];
    uint32_t model_count = 0;
    size_t i;
    json_t *model;

    if (!json_is_object(root)) {
        poller->counts.failures++;
        json_decref(root);
        return;
    }
    load.running = read_count(root, "running");
    load.queued = read_count(root, "queued");
    load.slots = read_count(root, "slots");
    json_array_foreach(json_object_get(root, "models"), i, model)
    {
        if (json_is_string(model) && model_count < MODELS_MAX) {
            models[model_count++] = lv_hash_name(json_string_value(model));
        }
    }
    read_events(poller, target, json_object_get(root, "cache_events"));
    node_receive_load(poller->node, uv_hrtime() / 1000, target->id, &load,
                      models, model_count);
    json_decref(root);
}

static void
on_load(void *context, const exch_response *answer)
{
    load_target *target = context;
    load_poller *poller = target->poller;

    target->call = NULL;
    poller->counts.bytes += answer->body_size;
    if (answer->status != STATUS_ACCEPTED) {
        poller->counts.failures++;
        return;
    }
    take_answer(poller, target, answer);
}

static void
poll_target(load_poller *poller, load_target *target)
{
    exch_call_options simple = {.address = address_of(poller, target->id),
                                .method = "GET",
                                .path = "/v1/load",
                                .headers = "",
                                .max_response_size = LOAD_ANSWER_MAX};

    if (target->call != NULL || simple.address == NULL) {
        return;
    }
    poller->counts.polls++;
    target->call = exch_call_start(poller->client, &simple, on_load, target);
    if (target->call == NULL) {
        poller->counts.failures++;
    }
}

static load_target *
target_of(load_poller *poller, lv_id endpoint)
{
    load_target *target;
    uint32_t i;

    for (i = 0; i < poller->count; i++) {
        if (poller->targets[i]->id == endpoint) {
            return poller->targets[i];
        }
    }
    if (poller->count == ENDPOINTS_MAX ||
        (target = calloc(1, sizeof *target)) == NULL) {
        return NULL;
    }
    target->id = endpoint;
    target->poller = poller;
    poller->targets[poller->count++] = target;
    return target;
}

static void
drop_unwanted(load_poller *poller)
{
    uint32_t i = 0;

    while (i < poller->count) {
        if (poller->targets[i]->is_wanted ||
            poller->targets[i]->call != NULL) {
            i++;
            continue;
        }
        free(poller->targets[i]);
        poller->targets[i] = poller->targets[--poller->count];
    }
}

void
load_tick(load_poller *poller, lv_time now)
{
    lv_id ids[ENDPOINTS_MAX];
    load_target *target;
    uint32_t count, i;

    if (now < poller->next) {
        return;
    }
    poller->next = now + poller->interval;
    count =
        node_collect_dispatched_endpoints(poller->node, ids, ENDPOINTS_MAX);
    for (i = 0; i < poller->count; i++) {
        poller->targets[i]->is_wanted = false;
    }
    for (i = 0; i < count; i++) {
        target = is_engine(poller, ids[i]) ? target_of(poller, ids[i]) : NULL;
        if (target != NULL) {
            target->is_wanted = true;
            poll_target(poller, target);
        }
    }
    drop_unwanted(poller);
}

lv_time
load_next_poll_time(const load_poller *poller)
{
    return poller->next;
}

static void
on_order(void *context, const exch_response *answer)
{
    order_call *order = context, **link;
    load_poller *poller = order->poller;
    lv_id endpoint = order->endpoint;
    bool is_accepted = answer->status == STATUS_ACCEPTED;

    for (link = &poller->orders; *link != order; link = &(*link)->next) {
    }
    *link = order->next;
    free(order);
    poller->counts.orders_failed += !is_accepted;
    place_complete_order(node_placement(poller->node), uv_hrtime() / 1000,
                         endpoint, is_accepted);
}

void
load_send_order(load_poller *poller, const lv_order *order)
{
    char body[512];
    exch_call_options simple = {.address = address_of(poller, order->endpoint),
                                .method = "POST",
                                .path = "/v1/orders",
                                .headers =
                                    "content-type: application/json\r\n",
                                .body = body,
                                .max_response_size = ORDER_ANSWER_MAX};
    order_call *call;

    if (simple.address == NULL || (call = calloc(1, sizeof *call)) == NULL) {
        return;
    }
    simple.body_size =
        (size_t)snprintf(body, sizeof body,
                         "{\"action\": \"%s\", \"model\": \"%s\", "
                         "\"fence\": [%" PRIu64 ", %" PRIu64 "]}",
                         order->is_load ? "load" : "unload", order->model,
                         order->fence_catalogue, order->fence_lists);
    call->poller = poller;
    call->endpoint = order->endpoint;
    call->next = poller->orders;
    poller->counts.orders++;
    call->call = exch_call_start(poller->client, &simple, on_order, call);
    if (call->call == NULL) {
        free(call);
        return;
    }
    poller->orders = call;
}

load_poller *
load_new(client_context *client, node_state *node, lv_time interval)
{
    load_poller *poller = calloc(1, sizeof *poller);

    if (poller != NULL) {
        poller->client = client;
        poller->node = node;
        poller->interval = interval;
    }
    return poller;
}

void
load_free(load_poller *poller)
{
    order_call *order;
    uint32_t i;

    for (i = 0; i < poller->count; i++) {
        if (poller->targets[i]->call != NULL) {
            exch_call_cancel(poller->targets[i]->call);
        }
        free(poller->targets[i]);
    }
    while ((order = poller->orders) != NULL) {
        poller->orders = order->next;
        exch_call_cancel(order->call);
        free(order);
    }
    free(poller);
}

void
load_read_counts(const load_poller *poller, load_counts *counts)
{
    *counts = poller->counts;
}
