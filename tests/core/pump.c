#include "pump.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANDLE_SLOTS (1u << 16)
#define STEP LV_MILLISECOND
#define LOAD_INTERVAL (500 * LV_MILLISECOND)
#define PROGRESS_INTERVAL (50 * LV_MILLISECOND)
#define PLATFORM_DELAY (5 * LV_MILLISECOND)
#define FIRST_REVISION 10
#define WALL_SECONDS 1000000

lv_time
pump_node_clock(const pump_node *node)
{
    return node->pump->now + node->clock_offset;
}

/* Accounts at one router only, b and d, are not heard of elsewhere. */
static void
hide_demand(msg_message *message)
{
    lv_id hidden[] = {lv_hash_name("account-b"), lv_hash_name("account-d")};

    for (uint32_t i = 0; i < message->demand_count; i++) {
        lv_id account = message->demands[i].account;

        if (account == hidden[0] || account == hidden[1]) {
            message->demand_count = i;
        }
    }
}

static void
tamper(const pump_node *node, msg_message *message)
{
    switch (node->pump->settings.mutation) {
    case PUMP_MUTATE_HOARD:
        message->recalled_count = 0;
        break;
    case PUMP_MUTATE_STARVE:
        hide_demand(message);
        break;
    case PUMP_MUTATE_IGNORE_LEAVE:
        message->leaving_count = 0;
        break;
    default:
        break;
    }
}

static void
host_send(lv_host *host, lv_id to, const msg_message *message)
{
    pump_node *node = (pump_node *)host;
    pump_pump *pump = node->pump;
    const pump_faults *faults = &pump->faults;
    msg_message copy = *message;
    uint32_t copies = 1;

    tamper(node, &copy);
    if (pump_random(pump, 1000) < faults->drop_permille) {
        return;
    }
    if (pump_random(pump, 1000) < faults->duplicate_permille) {
        copies = 2;
    }
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        if (pump->nodes[i].id != to) {
            continue;
        }
        for (uint32_t c = 0; c < copies; c++) {
            pump_event event = {.kind = PUMP_EVENT_MESSAGE, .node = i};
            lv_time delay = pump->settings.latency;

            event.endpoint = node->index;
            msg_encode(&copy, &event.bytes, &event.size, NULL);
            if (pump_random(pump, 1000) < faults->delay_permille) {
                delay += pump_random(pump, (uint32_t)faults->delay_max);
            }
            pump->messages++;
            pump->message_bytes += event.size;
            pump_push(pump, delay, &event);
        }
    }
}

static void
host_log_decision(lv_host *host, const lv_decision *decision)
{
    (void)host;
    (void)decision;
}

static void
host_send_order(lv_host *host, const lv_order *order)
{
    (void)host;
    (void)order;
}

static void
host_document_changed(lv_host *host, doc_kind doc)
{
    pump_node *node = (pump_node *)host;

    if (doc == DOC_CATALOGUE) {
        pump_note_catalogue(node->pump, node);
    }
}

static void
read_platform_after(pump_node *node, doc_kind doc, uint32_t part,
                    lv_time delay)
{
    pump_event event = {
        .kind = PUMP_EVENT_PLATFORM,
        .node = node->index,
        .incarnation = node->incarnation,
        .doc = doc,
        .part = part,
    };

    pump_push(node->pump, delay, &event);
}

static void
host_read_platform(lv_host *host, doc_kind doc, uint32_t part)
{
    read_platform_after((pump_node *)host, doc, part, PLATFORM_DELAY);
}

static const lv_host_ops host_ops = {
    .send = host_send,
    .start_attempt = pump_start_attempt,
    .cancel_attempt = pump_cancel_attempt,
    .finish_request = pump_finish_request,
    .log_decision = host_log_decision,
    .send_order = host_send_order,
    .document_changed = host_document_changed,
    .read_platform = host_read_platform,
};

void
pump_default_settings(pump_settings *settings, uint64_t seed)
{
    memset(settings, 0, sizeof *settings);
    settings->seed = seed;
    settings->nodes = 4;
    settings->zones = 2;
    settings->engines = 3;
    settings->engine_slots = 4;
    settings->accounts = 4;
    settings->shard_endpoints = 64;
    settings->latency = LV_MILLISECOND;
    settings->call_latency = LV_MILLISECOND;
    settings->cost_min = 20;
    settings->cost_max = 200;
    settings->unit_time = LV_MILLISECOND;
    settings->backlog = 3;
    settings->skew = 2;
    settings->unsafe_permille = 300;
}

void
pump_start(pump_pump *pump, uint32_t index)
{
    pump_node *node = &pump->nodes[index];
    node_settings settings;
    err_error error;

    if (node->node != NULL) {
        return;
    }
    node_default_settings(&settings);
    node->incarnation++;
    node->is_paused = false;
    node->is_draining = false;
    node->is_watching = false;
    node->revision = 0;
    node->clock_offset = LV_SECOND * (1 + pump_random(pump, 100000));
    settings.self = node->id;
    settings.incarnation = node->incarnation;
    settings.seed = pump->settings.seed * 100 + index;
    memset(node->handles, 0xff, HANDLE_SLOTS * sizeof *node->handles);
    node->node = calloc(1, sizeof *node->node);
    if (!node_init(node->node, &node->host, &settings, pump_node_clock(node),
                   &error)) {
        fprintf(stderr, "node_init: %s\n", error.message);
        abort();
    }
}

pump_pump *
pump_open(const pump_settings *settings)
{
    pump_pump *pump = calloc(1, sizeof *pump);

    pump->settings = *settings;
    pump->random = settings->seed * 2654435761u + 1;
    pump->requests = calloc(PUMP_REQUESTS_MAX, sizeof *pump->requests);
    pump->is_platform_up = true;
    pump->published = FIRST_REVISION;
    pump->list_revision = FIRST_REVISION;
    pump->now = LV_SECOND;
    for (uint32_t i = 0; i < settings->engines; i++) {
        char name[LV_NAME_SIZE];

        snprintf(name, sizeof name, "e%u", i);
        pump->endpoints[i].id = lv_hash_name(name);
        pump->endpoints[i].is_up = true;
    }
    for (uint32_t i = 0; i < settings->nodes; i++) {
        pump_node *node = &pump->nodes[i];

        node->host.ops = &host_ops;
        node->pump = pump;
        node->index = i;
        snprintf(node->name, sizeof node->name, "r%u", i);
        node->id = lv_hash_name(node->name);
        node->handles = malloc(HANDLE_SLOTS * sizeof *node->handles);
        pump_start(pump, i);
    }
    return pump;
}

static void
stop_node(pump_node *node)
{
    if (node->node != NULL) {
        node_finish(node->node);
        free(node->node);
        node->node = NULL;
    }
}

void
pump_close(pump_pump *pump)
{
    pump->is_loaded = false;
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        stop_node(&pump->nodes[i]);
        free(pump->nodes[i].handles);
    }
    for (uint32_t i = 0; i < pump->event_count; i++) {
        free(pump->events[i].bytes);
    }
    free(pump->events);
    free(pump->requests);
    free(pump);
}

static void
take_message(pump_pump *pump, pump_event *event)
{
    pump_node *node = &pump->nodes[event->node];
    msg_buffer buffer;
    msg_message message;

    if (node->node == NULL || pump->is_cut[event->endpoint][event->node] ||
        node->group != pump->nodes[event->endpoint].group) {
        return;
    }
    if (node->is_paused) {
        pump_event again = *event;

        event->bytes = NULL;
        pump_push(pump, STEP, &again);
        return;
    }
    msg_buffer_init(&buffer);
    if (msg_decode(event->bytes, event->size, &message, &buffer, NULL)) {
        node_receive_message(node->node, pump_node_clock(node), &message);
    }
    else {
        pump_violate(pump, "a message of the fleet does not decode");
    }
    msg_buffer_finish(&buffer);
}

static char *
write_part(pump_pump *pump, doc_kind doc, uint32_t part)
{
    uint64_t revision = pump->published;
    uint64_t lists = pump->list_revision;

    if (pump->is_platform_stale) {
        revision = pump->stale_revision;
        lists = pump->stale_lists;
    }
    if (doc == DOC_LISTS) {
        return pump_write_lists(pump, lists);
    }
    return part == 0 ? pump_write_head(pump, revision)
                     : pump_write_accounts(pump);
}

static void
take_platform(pump_pump *pump, const pump_event *event)
{
    pump_node *node = &pump->nodes[event->node];
    doc_store *documents;
    char *text;

    if (node->node == NULL || node->incarnation != event->incarnation) {
        return;
    }
    if (node->is_paused) {
        pump_push(pump, STEP, event);
        return;
    }
    documents = node_documents(node->node);
    if (!pump->is_platform_up) {
        doc_count_platform_failure(documents, pump_node_clock(node),
                                   event->doc);
        return;
    }
    text = write_part(pump, event->doc, event->part);
    doc_receive_platform_part(documents, pump_node_clock(node), event->doc,
                              event->part, text, strlen(text));
    free(text);
}

static void
take_event(pump_pump *pump, pump_event *event)
{
    switch (event->kind) {
    case PUMP_EVENT_MESSAGE:
        take_message(pump, event);
        break;
    case PUMP_EVENT_CONNECT:
        pump_take_connect(pump, event);
        break;
    case PUMP_EVENT_JOB_END:
        pump_take_job_end(pump, event);
        break;
    case PUMP_EVENT_ANSWER:
        pump_take_answer(pump, event);
        break;
    case PUMP_EVENT_PLATFORM:
        take_platform(pump, event);
        break;
    case PUMP_EVENT_SUBMIT:
        pump_submit(pump, event->request, event->node);
        break;
    }
    free(event->bytes);
}

/* The first answer of a new watch comes at once. */
static void
follow_watcher(pump_node *node)
{
    bool is_watcher = node_is_watcher(node->node);

    if (is_watcher && !node->is_watching) {
        read_platform_after(node, DOC_CATALOGUE, 0, PLATFORM_DELAY);
        read_platform_after(node, DOC_LISTS, 0, PLATFORM_DELAY);
    }
    node->is_watching = is_watcher;
}

static void
tick_nodes(pump_pump *pump)
{
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        pump_node *node = &pump->nodes[i];
        lv_time clock = pump_node_clock(node);

        if (node->node != NULL && !node->is_paused &&
            node_next_tick(node->node) <= clock) {
            node_tick(node->node, clock, WALL_SECONDS + pump->now / LV_SECOND);
            follow_watcher(node);
        }
    }
}

/* Answers stream: what an endpoint has made so far reaches the router. */
static void
report_progress(pump_pump *pump)
{
    for (uint32_t e = 0; e < pump->settings.engines; e++) {
        const pump_endpoint *endpoint = &pump->endpoints[e];

        for (uint32_t i = 0; i < endpoint->queue_count; i++) {
            const pump_job *job = &endpoint->queue[i];
            const pump_request *request = &pump->requests[job->request];
            pump_node *node = &pump->nodes[request->node];

            if (job->begun != 0 && node->node != NULL && !node->is_paused &&
                node->incarnation == request->incarnation) {
                entry_update_progress(
                    node_entry(node->node), pump_node_clock(node),
                    request->handle, job->attempt,
                    (pump->now - job->begun) / pump->settings.unit_time, 0);
            }
        }
    }
}

int64_t
pump_read_service(const pump_pump *pump, uint32_t account)
{
    int64_t service = pump->service[account];

    for (uint32_t e = 0; e < pump->settings.engines; e++) {
        const pump_endpoint *endpoint = &pump->endpoints[e];

        for (uint32_t i = 0; i < endpoint->queue_count; i++) {
            const pump_job *job = &endpoint->queue[i];

            if (job->begun != 0 &&
                pump->requests[job->request].account == account) {
                service += (int64_t)((pump->now - job->begun) /
                                     pump->settings.unit_time);
            }
        }
    }
    return service;
}

/* Load reports of each endpoint reach the nodes that dispatch it. */
static void
report_loads(pump_pump *pump)
{
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        pump_node *node = &pump->nodes[i];
        lv_id ids[PUMP_ENDPOINTS_MAX];
        uint32_t count;

        if (node->node == NULL || node->is_paused) {
            continue;
        }
        count = node_collect_dispatched_endpoints(node->node, ids,
                                                  PUMP_ENDPOINTS_MAX);
        for (uint32_t e = 0; e < pump->settings.engines; e++) {
            const pump_endpoint *endpoint = &pump->endpoints[e];
            disp_load load = {
                .running = endpoint->running,
                .queued = endpoint->queue_count - endpoint->running,
                .slots = pump->settings.engine_slots,
            };

            for (uint32_t k = 0; k < count; k++) {
                if (ids[k] == endpoint->id && endpoint->is_up) {
                    node_receive_load(node->node, pump_node_clock(node),
                                      endpoint->id, &load, NULL, 0);
                }
            }
        }
    }
}

void
pump_run(pump_pump *pump, lv_time length)
{
    lv_time until = pump->now + length;

    while (pump->now < until) {
        lv_time step_end = pump->now + STEP;
        pump_event event;

        while (pump_pop(pump, step_end, &event)) {
            pump->now = event.time > pump->now ? event.time : pump->now;
            take_event(pump, &event);
        }
        pump->now = step_end;
        tick_nodes(pump);
        pump_observe(pump);
        if (pump->now % PROGRESS_INTERVAL < STEP) {
            report_progress(pump);
        }
        if (pump->now % LOAD_INTERVAL < STEP) {
            report_loads(pump);
        }
    }
}

void
pump_kill(pump_pump *pump, uint32_t index)
{
    if (pump->nodes[index].node != NULL) {
        stop_node(&pump->nodes[index]);
        pump_lose_node(pump, index);
    }
}

void
pump_pause(pump_pump *pump, uint32_t index)
{
    pump->nodes[index].is_paused = true;
}

void
pump_resume(pump_pump *pump, uint32_t index)
{
    pump->nodes[index].is_paused = false;
}

void
pump_drain(pump_pump *pump, uint32_t index)
{
    pump_node *node = &pump->nodes[index];

    if (node->node == NULL || node->is_paused) {
        return;
    }
    node->is_draining = true;
    node_drain(node->node, pump_node_clock(node));
    if (pump->settings.mutation == PUMP_MUTATE_CUT_AT_DRAIN) {
        stop_node(node);
    }
}

void
pump_split(pump_pump *pump, uint32_t nodes_in_second_group)
{
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        pump->nodes[i].group = i < nodes_in_second_group ? 1 : 0;
    }
}

void
pump_heal(pump_pump *pump)
{
    memset(&pump->faults, 0, sizeof pump->faults);
    memset(pump->is_cut, 0, sizeof pump->is_cut);
    pump->is_platform_up = true;
    pump->is_platform_stale = false;
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        pump->nodes[i].group = 0;
        pump_resume(pump, i);
        if (pump->nodes[i].node == NULL) {
            pump_start(pump, i);
        }
    }
    for (uint32_t i = 0; i < pump->settings.engines; i++) {
        pump_revive_endpoint(pump, i);
    }
    pump_publish(pump);
}

void
pump_crash_endpoint(pump_pump *pump, uint32_t index)
{
    pump->endpoints[index].is_up = false;
    pump_fail_jobs(pump, index, pump->settings.call_latency);
}

void
pump_revive_endpoint(pump_pump *pump, uint32_t index)
{
    pump->endpoints[index].is_up = true;
}

/* Whatever is open goes silent for good; new connections work. */
void
pump_silence_endpoint(pump_pump *pump, uint32_t index)
{
    pump_fail_jobs(pump, index, 2 * LV_SECOND);
}

/* Watchers see a change of the platform a little later. */
static void
wake_watchers(pump_pump *pump, doc_kind doc)
{
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        pump_node *node = &pump->nodes[i];

        if (node->node != NULL && node_is_watcher(node->node)) {
            read_platform_after(node, doc, 0, PLATFORM_DELAY);
        }
    }
}

void
pump_leave_endpoint(pump_pump *pump, uint32_t index)
{
    pump->endpoints[index].leaving_since = pump->now;
    pump->list_revision++;
    if (pump->settings.mutation != PUMP_MUTATE_IGNORE_LEAVE) {
        wake_watchers(pump, DOC_LISTS);
    }
}

void
pump_publish(pump_pump *pump)
{
    pump->published++;
    wake_watchers(pump, DOC_CATALOGUE);
    wake_watchers(pump, DOC_LISTS);
}

void
pump_set_load(pump_pump *pump, bool is_loaded)
{
    pump->is_loaded = is_loaded;
    if (!is_loaded) {
        return;
    }
    for (uint32_t a = 0; a < pump->settings.accounts; a++) {
        bool is_local = pump->settings.skew != 0 &&
                        a % pump->settings.skew == pump->settings.skew - 1;
        uint32_t nodes = is_local ? 1 : pump->settings.nodes;
        uint32_t each =
            pump->settings.backlog * (is_local ? pump->settings.nodes : 1);

        for (uint32_t n = 0; n < nodes; n++) {
            for (uint32_t i = 0; i < each; i++) {
                pump_submit(pump, a, is_local ? a % pump->settings.nodes : n);
            }
        }
    }
}

uint32_t
pump_find_dispatcher(const pump_pump *pump)
{
    lv_id pool = lv_hash_name("shared");

    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        node_state *node = pump->nodes[i].node;

        for (uint32_t d = 0; node != NULL && d < node_dispatcher_count(node);
             d++) {
            lv_id found;
            uint32_t shard;
            uint64_t tenure;

            node_dispatcher_at(node, d, &found, &shard, &tenure);
            if (found == pool && shard == 0) {
                return i;
            }
        }
    }
    return pump->settings.nodes;
}

void
pump_flood(pump_pump *pump, uint32_t account, uint32_t node, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        pump_submit(pump, account, node);
    }
}
