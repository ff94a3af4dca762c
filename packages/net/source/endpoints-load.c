#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"
#include "lavender-net/log.h"

#define MAX_ENDPOINTS 1024
#define MAX_MODELS 256
#define MAX_LOAD_RESPONSE_SIZE ((size_t)256 * 1024)
#define MAX_ORDER_RESPONSE_SIZE 4096
#define STATUS_OK 200

/* An endpoint that this instance polls. */
typedef struct load_target {
    load_poller *poller;
    lv_id id;
    exch_call *call;            /* NULL when no poll is in progress */
    uint64_t last_event_number; /* 0 until the first cache event */
    bool is_dispatched;         /* by this instance at the last tick */
} load_target;

/* A placement order whose response is outstanding. */
typedef struct pending_order {
    struct pending_order *next;
    load_poller *poller;
    lv_id endpoint;
    exch_call *call;
} pending_order;

struct load_poller {
    client_context *client;
    node_state *node;
    lv_time interval;
    lv_time next_poll;
    load_target *targets[MAX_ENDPOINTS];
    uint32_t target_count;
    pending_order *orders;
    load_counts counts;
};

static const char *
find_address(const load_poller *poller, lv_id endpoint)
{
    const lists_snapshot *lists = doc_lists(node_documents(poller->node));
    lv_handle handle =
        lists == NULL ? LV_HANDLE_NONE : lists_find_endpoint(lists, endpoint);

    return handle == LV_HANDLE_NONE ? NULL : lists->endpoints[handle].address;
}

/* Whether the endpoint is an engine. Only engines report their load; endpoints
 * of service pools do not. */
static bool
is_engine_endpoint(const load_poller *poller, lv_id endpoint)
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
apply_cache_events(load_poller *poller, load_target *target,
                   const json_t *events)
{
    size_t i;
    json_t *event;
    uint64_t number;
    const char *prefix;

    json_array_foreach(events, i, event)
    {
        number =
            (uint64_t)json_integer_value(json_object_get(event, "number"));
        if (number <= target->last_event_number) {
            continue;
        }
        if (target->last_event_number > 0 &&
            number > target->last_event_number + 1) {
            poller->counts.cache_gaps++;
        }
        target->last_event_number = number;
        poller->counts.cache_events++;
        prefix = json_string_value(json_object_get(event, "prefix"));
        entry_receive_cache_event(
            node_entry(poller->node), target->id, number,
            prefix == NULL ? 0 : strtoull(prefix, NULL, 16),
            json_is_true(json_object_get(event, "kept")));
    }
}

static void
apply_load_report(load_poller *poller, load_target *target,
                  const exch_response *response)
{
    json_t *root = json_loadb(response->body == NULL ? "" : response->body,
                              response->body_size, 0, NULL);
    disp_load load = {0};
    lv_id models[MAX_MODELS];
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
        if (json_is_string(model) && model_count < MAX_MODELS) {
            models[model_count++] = lv_hash_name(json_string_value(model));
        }
    }
    apply_cache_events(poller, target, json_object_get(root, "cache_events"));
    node_receive_load(poller->node, uv_hrtime() / 1000, target->id, &load,
                      models, model_count);
    json_decref(root);
}

static void
on_load_response(void *context, const exch_response *response)
{
    load_target *target = context;
    load_poller *poller = target->poller;

    target->call = NULL;
    poller->counts.bytes += response->body_size;
    if (response->status != STATUS_OK) {
        poller->counts.failures++;
        return;
    }
    apply_load_report(poller, target, response);
}

static void
poll_target(load_poller *poller, load_target *target)
{
    exch_call_options options = {.address = find_address(poller, target->id),
                                 .method = "GET",
                                 .path = "/v1/load",
                                 .headers = "",
                                 .max_response_size = MAX_LOAD_RESPONSE_SIZE};

    if (target->call != NULL || options.address == NULL) {
        return;
    }
    poller->counts.polls++;
    target->call =
        exch_call_start(poller->client, &options, on_load_response, target);
    if (target->call == NULL) {
        poller->counts.failures++;
    }
}

static load_target *
find_or_add_target(load_poller *poller, lv_id endpoint)
{
    load_target *target;
    uint32_t i;

    for (i = 0; i < poller->target_count; i++) {
        if (poller->targets[i]->id == endpoint) {
            return poller->targets[i];
        }
    }
    if (poller->target_count == MAX_ENDPOINTS ||
        (target = calloc(1, sizeof *target)) == NULL) {
        return NULL;
    }
    target->id = endpoint;
    target->poller = poller;
    poller->targets[poller->target_count++] = target;
    return target;
}

static void
remove_stale_targets(load_poller *poller)
{
    uint32_t i = 0;

    while (i < poller->target_count) {
        if (poller->targets[i]->is_dispatched ||
            poller->targets[i]->call != NULL) {
            i++;
            continue;
        }
        free(poller->targets[i]);
        poller->targets[i] = poller->targets[--poller->target_count];
    }
}

void
load_tick(load_poller *poller, lv_time now)
{
    lv_id ids[MAX_ENDPOINTS];
    load_target *target;
    uint32_t count, i;

    if (now < poller->next_poll) {
        return;
    }
    poller->next_poll = now + poller->interval;
    count =
        node_collect_dispatched_endpoints(poller->node, ids, MAX_ENDPOINTS);
    for (i = 0; i < poller->target_count; i++) {
        poller->targets[i]->is_dispatched = false;
    }
    for (i = 0; i < count; i++) {
        target = is_engine_endpoint(poller, ids[i])
                     ? find_or_add_target(poller, ids[i])
                     : NULL;
        if (target != NULL) {
            target->is_dispatched = true;
            poll_target(poller, target);
        }
    }
    remove_stale_targets(poller);
}

lv_time
load_next_poll_time(const load_poller *poller)
{
    return poller->next_poll;
}

static void
on_order_response(void *context, const exch_response *response)
{
    pending_order *order = context, **link;
    load_poller *poller = order->poller;
    lv_id endpoint = order->endpoint;
    bool is_accepted = response->status == STATUS_OK;

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
    exch_call_options options = {
        .address = find_address(poller, order->endpoint),
        .method = "POST",
        .path = "/v1/orders",
        .headers = "content-type: application/json\r\n",
        .body = body,
        .max_response_size = MAX_ORDER_RESPONSE_SIZE};
    pending_order *call;

    if (options.address == NULL || (call = calloc(1, sizeof *call)) == NULL) {
        return;
    }
    options.body_size =
        (size_t)snprintf(body, sizeof body,
                         "{\"action\": \"%s\", \"model\": \"%s\", "
                         "\"fence\": [%" PRIu64 ", %" PRIu64 "]}",
                         order->is_load ? "load" : "unload", order->model,
                         order->fence_catalogue, order->fence_lists);
    call->poller = poller;
    call->endpoint = order->endpoint;
    call->next = poller->orders;
    poller->counts.orders++;
    call->call =
        exch_call_start(poller->client, &options, on_order_response, call);
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
    pending_order *order;
    uint32_t i;

    for (i = 0; i < poller->target_count; i++) {
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
