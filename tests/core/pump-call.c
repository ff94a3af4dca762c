#include <stdlib.h>
#include <string.h>

#include "pump.h"

/* Slots of the map from a node's request handles to requests. */
#define HANDLE_SLOTS (1u << 16)
#define HANDLE_MASK (HANDLE_SLOTS - 1)
#define RETRY_PAUSE (50 * LV_MILLISECOND)
#define INPUT_UNITS 10

/* Handles carry a generation in the upper bits; requests are found by the
 * whole handle, newest first. */
static pump_request *
find_request(pump_node *node, lv_handle handle)
{
    pump_pump *pump = node->pump;
    uint32_t place = node->handles[handle & HANDLE_MASK];

    if (place == LV_HANDLE_NONE || place >= pump->request_count) {
        return NULL;
    }
    if (pump->requests[place].handle != handle) {
        return NULL;
    }
    return &pump->requests[place];
}

static lv_handle
find_route(const pump_node *node, bool is_safe)
{
    const cat_catalogue *catalogue = doc_catalogue(node_documents(node->node));
    const char *path = is_safe ? "/safe" : "/unsafe";

    if (catalogue == NULL) {
        return LV_HANDLE_NONE;
    }
    return cat_find_route(catalogue, path, strlen(path));
}

static void
submit_later(pump_pump *pump, uint32_t account, uint32_t node)
{
    pump_event event = {
        .kind = PUMP_EVENT_SUBMIT, .request = account, .node = node};

    if (pump->is_loaded) {
        pump_push(pump, RETRY_PAUSE, &event);
    }
}

static lv_id
account_id(uint32_t account)
{
    char name[LV_NAME_SIZE] = "account-a";

    name[8] = (char)('a' + account);
    return lv_hash_name(name);
}

void
pump_submit(pump_pump *pump, uint32_t account, uint32_t node_index)
{
    pump_node *node = &pump->nodes[node_index];
    const pump_settings *settings = &pump->settings;
    bool is_safe = pump_random(pump, 1000) >= settings->unsafe_permille;
    pump_request *request;
    entry_request asked = {0};
    out_outcome refusal = {0};
    uint32_t span = (uint32_t)(settings->cost_max - settings->cost_min + 1);

    if (!pump->is_loaded || pump->request_count == PUMP_REQUESTS_MAX) {
        return;
    }
    if (node->node == NULL || node->is_paused || node->is_draining ||
        find_route(node, is_safe) == LV_HANDLE_NONE) {
        submit_later(pump, account, node_index);
        return;
    }
    request = &pump->requests[pump->request_count];
    memset(request, 0, sizeof *request);
    request->account = account;
    request->node = node_index;
    request->incarnation = node->incarnation;
    request->cost = settings->cost_min + pump_random(pump, span);
    request->is_safe = is_safe;
    request->is_open = true;
    request->submitted = pump->now;
    request->handle = LV_HANDLE_NONE;
    asked.account = account_id(account);
    asked.route = find_route(node, is_safe);
    asked.model = LV_HANDLE_NONE;
    asked.input_units = INPUT_UNITS;
    asked.number = pump->request_count + 1;
    pump->request_count++;
    if (!entry_submit(node_entry(node->node), pump_node_clock(node), &asked,
                      &request->handle, &refusal)) {
        pump_note_finish(pump, request, &refusal);
        submit_later(pump, account, node_index);
        return;
    }
    request->is_accepted = true;
    node->handles[request->handle & HANDLE_MASK] =
        (uint32_t)(request - pump->requests);
}

void
pump_start_attempt(lv_host *host, const lv_attempt *attempt)
{
    pump_node *node = (pump_node *)host;
    pump_pump *pump = node->pump;
    pump_event event = {
        .kind = PUMP_EVENT_CONNECT,
        .node = node->index,
        .incarnation = node->incarnation,
        .request = attempt->request,
        .attempt = attempt->number,
    };

    for (uint32_t i = 0; i < pump->settings.engines; i++) {
        if (pump->endpoints[i].id == attempt->endpoint) {
            event.endpoint = i;
        }
    }
    pump_push(pump, pump->settings.call_latency, &event);
}

static bool
is_current(pump_pump *pump, const pump_event *event)
{
    const pump_node *node = &pump->nodes[event->node];

    return node->node != NULL && node->incarnation == event->incarnation;
}

/* Give the end of an attempt to the node, or try again later while the
 * node is paused: the bytes wait in its socket. */
static void
answer_later(pump_pump *pump, const pump_event *from, entry_result end,
             lv_time delay)
{
    pump_event event = *from;

    event.kind = PUMP_EVENT_ANSWER;
    event.end = end;
    event.bytes = NULL;
    pump_push(pump, delay, &event);
}

static void
start_job(pump_pump *pump, uint32_t endpoint, pump_job *job)
{
    pump_request *request = &pump->requests[job->request];
    pump_event event = {
        .kind = PUMP_EVENT_JOB_END,
        .endpoint = endpoint,
        .epoch = pump->endpoints[endpoint].epoch,
        .request = job->request,
        .attempt = job->attempt,
        .node = request->node,
        .incarnation = request->incarnation,
    };

    job->begun = pump->now;
    pump->endpoints[endpoint].running++;
    request->runs++;
    if (pump->now - pump->last_start[request->account] >
        pump->longest_gap[request->account]) {
        pump->longest_gap[request->account] =
            pump->now - pump->last_start[request->account];
    }
    pump->last_start[request->account] = pump->now;
    pump_push(pump, request->cost * pump->settings.unit_time, &event);
}

static void
start_jobs(pump_pump *pump, uint32_t index)
{
    pump_endpoint *endpoint = &pump->endpoints[index];

    for (uint32_t i = 0; i < endpoint->queue_count &&
                         endpoint->running < pump->settings.engine_slots;
         i++) {
        if (endpoint->queue[i].begun == 0) {
            start_job(pump, index, &endpoint->queue[i]);
        }
    }
}

static void
enqueue_job(pump_pump *pump, uint32_t index, uint32_t request,
            uint32_t attempt)
{
    pump_endpoint *endpoint = &pump->endpoints[index];
    pump_job job = {.request = request, .attempt = attempt, .is_live = true};

    if (endpoint->queue_count == PUMP_QUEUE_MAX) {
        pump_violate(pump, "endpoint %u holds over %u requests", index,
                     PUMP_QUEUE_MAX);
        return;
    }
    endpoint->queue[endpoint->queue_count++] = job;
    start_jobs(pump, index);
}

static void
write_request(pump_pump *pump, const pump_event *event, pump_request *request)
{
    uint32_t place = (uint32_t)(request - pump->requests);
    uint32_t copies = 1;

    request->attempt = event->attempt;
    if (request->started == 0) {
        request->started = pump->now;
    }
    if (pump->settings.mutation == PUMP_MUTATE_SEND_TWICE &&
        !request->is_safe) {
        copies = 2;
    }
    for (uint32_t i = 0; i < copies; i++) {
        pump_note_write(pump, request, event->endpoint);
        enqueue_job(pump, event->endpoint, place, event->attempt);
    }
}

void
pump_take_connect(pump_pump *pump, const pump_event *event)
{
    pump_node *node = &pump->nodes[event->node];
    pump_endpoint *endpoint = &pump->endpoints[event->endpoint];
    pump_request *request;

    if (!is_current(pump, event)) {
        return;
    }
    if (node->is_paused) {
        pump_push(pump, LV_MILLISECOND, event);
        return;
    }
    request = find_request(node, event->request);
    if (request == NULL) {
        return;
    }
    if (!endpoint->is_up) {
        answer_later(pump, event, ENTRY_RESULT_UNCONNECTED, 0);
        return;
    }
    if (entry_may_send(node_entry(node->node), pump_node_clock(node),
                       event->request, event->attempt)) {
        write_request(pump, event, request);
    }
}

static void
remove_job(pump_pump *pump, pump_endpoint *endpoint, uint32_t place)
{
    pump_job *job = &endpoint->queue[place];
    const pump_request *request = &pump->requests[job->request];
    lv_time worked;

    if (job->begun != 0) {
        worked = pump->now - job->begun;
        endpoint->running--;
        endpoint->busy += worked;
        pump->service[request->account] +=
            (int64_t)(worked / pump->settings.unit_time) + INPUT_UNITS;
    }
    endpoint->queue_count--;
    memmove(job, job + 1,
            (endpoint->queue_count - place) * sizeof *endpoint->queue);
}

void
pump_take_job_end(pump_pump *pump, const pump_event *event)
{
    pump_endpoint *endpoint = &pump->endpoints[event->endpoint];
    pump_event answer = *event;

    if (event->epoch != endpoint->epoch) {
        return;
    }
    for (uint32_t i = 0; i < endpoint->queue_count; i++) {
        const pump_job *job = &endpoint->queue[i];

        if (job->request == event->request && job->attempt == event->attempt &&
            job->begun != 0) {
            answer.request = pump->requests[job->request].handle;
            remove_job(pump, endpoint, i);
            answer_later(pump, &answer, ENTRY_RESULT_DONE,
                         pump->settings.call_latency);
            break;
        }
    }
    start_jobs(pump, event->endpoint);
}

void
pump_fail_jobs(pump_pump *pump, uint32_t index, lv_time delay)
{
    pump_endpoint *endpoint = &pump->endpoints[index];

    endpoint->epoch++;
    while (endpoint->queue_count > 0) {
        pump_job job = endpoint->queue[0];
        const pump_request *request = &pump->requests[job.request];
        pump_event event = {
            .node = request->node,
            .incarnation = request->incarnation,
            .request = request->handle,
            .attempt = job.attempt,
        };

        remove_job(pump, endpoint, 0);
        answer_later(pump, &event, ENTRY_RESULT_LOST, delay);
    }
}

void
pump_take_answer(pump_pump *pump, const pump_event *event)
{
    pump_node *node = &pump->nodes[event->node];
    pump_request *request;
    uint64_t units;

    if (!is_current(pump, event)) {
        return;
    }
    if (node->is_paused) {
        pump_push(pump, LV_MILLISECOND, event);
        return;
    }
    request = find_request(node, event->request);
    if (request == NULL || !request->is_open) {
        return;
    }
    units = request->cost;
    if (pump->settings.mutation == PUMP_MUTATE_CUT_ANSWER) {
        units /= 2;
    }
    if (event->end == ENTRY_RESULT_DONE) {
        request->answered_attempt = event->attempt;
        request->answered_units = units;
        if (pump->settings.mutation == PUMP_MUTATE_SWAP_ANSWERS) {
            request->answered_attempt = event->attempt + 1;
        }
    }
    entry_end_attempt(node_entry(node->node), pump_node_clock(node),
                      event->request, event->attempt, event->end,
                      event->end == ENTRY_RESULT_DONE ? INPUT_UNITS : 0,
                      event->end == ENTRY_RESULT_DONE ? request->cost : 0);
}

void
pump_cancel_attempt(lv_host *host, lv_handle handle, uint32_t number)
{
    pump_node *node = (pump_node *)host;
    pump_pump *pump = node->pump;
    pump_request *request = find_request(node, handle);
    uint32_t place;

    if (request == NULL) {
        return;
    }
    place = (uint32_t)(request - pump->requests);
    for (uint32_t e = 0; e < pump->settings.engines; e++) {
        pump_endpoint *endpoint = &pump->endpoints[e];

        for (uint32_t i = 0; i < endpoint->queue_count; i++) {
            if (endpoint->queue[i].request == place &&
                endpoint->queue[i].attempt == number) {
                remove_job(pump, endpoint, i);
                start_jobs(pump, e);
                return;
            }
        }
    }
}

void
pump_finish_request(lv_host *host, lv_handle handle,
                    const out_outcome *outcome)
{
    pump_node *node = (pump_node *)host;
    pump_pump *pump = node->pump;
    pump_request *request = find_request(node, handle);
    out_outcome told = *outcome;

    if (request == NULL) {
        pump_violate(pump, "finish_request for a handle that is not open");
        return;
    }
    if (pump->settings.mutation == PUMP_MUTATE_LIE_NOT_RUN &&
        told.kind == OUT_UNKNOWN) {
        told.kind = OUT_NOT_RUN;
    }
    pump_note_finish(pump, request, &told);
    if (pump->is_loaded) {
        pump_event event = {.kind = PUMP_EVENT_SUBMIT,
                            .request = request->account,
                            .node = request->node};

        pump_push(pump, told.kind == OUT_DONE ? 0 : RETRY_PAUSE, &event);
    }
}

/* A node died: its connections close and its callers see that. */
void
pump_lose_node(pump_pump *pump, uint32_t index)
{
    for (uint32_t e = 0; e < pump->settings.engines; e++) {
        pump_endpoint *endpoint = &pump->endpoints[e];
        uint32_t i = 0;

        while (i < endpoint->queue_count) {
            if (pump->requests[endpoint->queue[i].request].node == index) {
                remove_job(pump, endpoint, i);
            }
            else {
                i++;
            }
        }
        start_jobs(pump, e);
    }
    for (uint32_t i = 0; i < pump->request_count; i++) {
        pump_request *request = &pump->requests[i];

        if (request->is_open && request->node == index) {
            request->is_open = false;
            request->was_lost = true;
            submit_later(pump, request->account, index);
        }
    }
}
