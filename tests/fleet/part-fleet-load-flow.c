#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common-usage.h"
#include "part-fleet-load.h"

#define PAUSE_MS 100
#define TRIES_MAX 3 /* with one ticket */
#define SAMPLE_MS 10
#define US_PER_MS 1000
#define US_PER_SECOND 1e6
#define PROMPT_MAX 65536
#define EXTRA_SIZE 512

typedef struct flow_worker {
    load_load *load;
    load_flow *flow;
    uint32_t record;
    bool is_stream;
    bool is_minting; /* the call in progress asks for a ticket */
    bool has_ticket;
    bool is_open;
    char ticket[256];
    char identity[ANSWER_IDENTITY_SIZE];
    char *body;
    size_t body_size;
    http_call call;
    char *answer;
    size_t answer_size;
    uv_timer_t pause;
} flow_worker;

typedef struct flow_source {
    load_load *load;
    load_flow *flow;
    uv_timer_t timer;
} flow_source;

static void begin_request(flow_worker *worker);

uint64_t
load_random(load_load *load)
{
    uint64_t x = load->random;

    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    load->random = x;
    return x * UINT64_C(2685821657736338717) >> 16;
}

/* Around the mean, from half of it to one and a half. */
static uint32_t
spread(load_load *load, uint32_t mean, uint32_t percent)
{
    uint64_t width = (uint64_t)mean * percent / 100;

    return (uint32_t)(mean - width + load_random(load) % (2 * width + 1));
}

static uint32_t
choose_router(load_load *load, const load_flow *flow)
{
    uint64_t sum = 0;
    uint64_t choice;

    for (uint32_t i = 0; i < flow->skew_count; i++) {
        sum += flow->skew[i];
    }
    if (sum == 0) {
        return (uint32_t)(load_random(load) % load->plan.routers.count);
    }
    choice = load_random(load) % sum;
    for (uint32_t i = 0; i < flow->skew_count; i++) {
        if (choice < flow->skew[i]) {
            return i % load->plan.routers.count;
        }
        choice -= flow->skew[i];
    }
    return 0;
}

static void
make_engine_body(flow_worker *worker, load_record *record)
{
    load_load *load = worker->load;
    load_flow *flow = worker->flow;
    uint32_t length = spread(load, flow->prompt, 50);
    uint32_t tokens = spread(load, flow->tokens, 50);
    uint32_t hint = spread(load, tokens, flow->hint_percent);
    size_t size;

    length = length < 80 ? 80 : length > PROMPT_MAX ? PROMPT_MAX : length;
    tokens = tokens < 1 ? 1 : tokens;
    hint = hint < 1 ? 1 : hint;
    size = length + 512;
    worker->body = malloc(size);
    if (worker->body == NULL) {
        abort();
    }
    worker->is_stream = load_random(load) % 100 < flow->stream_percent;
    worker->body_size = (size_t)snprintf(
        worker->body, size,
        "{\"model\":\"%s\",\"user\":\"%s\",\"max_tokens\":%u,"
        "\"reply_tokens\":%u,\"stream\":%s,\"messages\":[{\"role\":"
        "\"user\",\"content\":\"%-64.64s",
        flow->model, worker->identity, hint, tokens,
        worker->is_stream ? "true" : "false",
        load_random(load) % 2 == 0 ? flow->account : worker->identity);
    memset(worker->body + worker->body_size, 'x', length - 64);
    worker->body_size += length - 64;
    memcpy(worker->body + worker->body_size, "\"}]}", 5);
    worker->body_size += 4;
    record->prompt = answer_prompt_tokens(length);
    record->tokens = tokens;
}

static void
make_body(flow_worker *worker, load_record *record)
{
    free(worker->body);
    worker->is_stream = false;
    if (worker->flow->kind == LOAD_ENGINE) {
        make_engine_body(worker, record);
        return;
    }
    worker->body = malloc(ANSWER_IDENTITY_SIZE + 32);
    if (worker->body == NULL) {
        abort();
    }
    worker->body_size =
        (size_t)snprintf(worker->body, ANSWER_IDENTITY_SIZE + 32,
                         "{\"user\":\"%s\"}", worker->identity);
}

static bool
on_data(http_call *call, const char *bytes, size_t size)
{
    flow_worker *worker = call->context;
    load_record *record = &worker->load->records[worker->record];
    char *answer = realloc(worker->answer, worker->answer_size + size + 1);

    if (answer == NULL) {
        abort();
    }
    if (record->first_us == 0 && !worker->is_minting) {
        record->first_us = usage_now_us();
    }
    memcpy(answer + worker->answer_size, bytes, size);
    worker->answer = answer;
    worker->answer_size += size;
    answer[worker->answer_size] = '\0';
    return true;
}

static void on_done(http_call *call);

static void
start_call(flow_worker *worker, const char *path, const char *body,
           size_t body_size)
{
    load_load *load = worker->load;
    load_record *record = &load->records[worker->record];
    char extra[EXTRA_SIZE];
    int length;

    free(worker->answer);
    worker->answer = NULL;
    worker->answer_size = 0;
    length = snprintf(extra, sizeof extra,
                      "Authorization: Bearer %s\r\n"
                      "Content-Type: application/json\r\n",
                      worker->flow->key);
    if (worker->flow->class_name[0] != '\0') {
        length += snprintf(extra + length, sizeof extra - (size_t)length,
                           "Lavender-Class: %s\r\n", worker->flow->class_name);
    }
    if (worker->has_ticket && !worker->is_minting) {
        snprintf(extra + length, sizeof extra - (size_t)length,
                 "Idempotency-Key: %s\r\n", worker->ticket);
    }
    worker->call.context = worker;
    worker->call.on_data = on_data;
    worker->call.on_done = on_done;
    http_call_start(&load->client, &worker->call,
                    load->plan.routers.text[record->router], "POST", path,
                    extra, body, body_size);
}

static void
free_worker(uv_handle_t *handle)
{
    flow_worker *worker = handle->data;

    http_call_finish(&worker->call);
    free(worker->body);
    free(worker->answer);
    free(worker);
}

static void
end_worker(flow_worker *worker)
{
    uv_close((uv_handle_t *)&worker->pause, free_worker);
}

static bool
is_flow_over(const load_load *load, const load_flow *flow)
{
    double now = (double)(usage_now_us() - load->start_us) / US_PER_SECOND;

    return load->is_stopping || now >= flow->stop ||
           load->record_count >= load->plan.requests;
}

static void
on_pause_end(uv_timer_t *timer)
{
    begin_request(timer->data);
}

static void
end_request(flow_worker *worker, load_verdict verdict)
{
    load_load *load = worker->load;
    load_record *record = &load->records[worker->record];
    load_account *account = &load->accounts[worker->flow->account_index];

    record->verdict = verdict;
    record->end_us = usage_now_us();
    load->verdicts[verdict]++;
    load->outstanding--;
    account->outstanding[worker->flow->kind]--;
    if (worker->is_open || is_flow_over(load, worker->flow)) {
        end_worker(worker);
        return;
    }
    uv_timer_start(&worker->pause, on_pause_end,
                   verdict == LOAD_WHOLE ? 0 : PAUSE_MS, 0);
}

static void
on_retry(uv_timer_t *timer)
{
    flow_worker *worker = timer->data;

    start_call(worker, worker->flow->path, worker->body, worker->body_size);
}

/* With a ticket an answer that was lost may be asked for again. */
static bool
try_again(flow_worker *worker, load_verdict verdict)
{
    load_record *record = &worker->load->records[worker->record];

    if (!worker->has_ticket || record->tries >= TRIES_MAX ||
        (verdict != LOAD_CUT && verdict != LOAD_NO_ANSWER)) {
        return false;
    }
    record->tries++;
    record->router = choose_router(worker->load, worker->flow);
    uv_timer_start(&worker->pause, on_retry, PAUSE_MS, 0);
    return true;
}

static void
take_ticket(flow_worker *worker)
{
    json_t *json =
        worker->answer != NULL
            ? json_loadb(worker->answer, worker->answer_size, 0, NULL)
            : NULL;
    const char *ticket = json_string_value(json_object_get(json, "ticket"));

    worker->is_minting = false;
    if (ticket == NULL) {
        load_record *record = &worker->load->records[worker->record];

        snprintf(record->reason, sizeof record->reason, "no ticket");
        json_decref(json);
        end_request(worker, LOAD_NO_ANSWER);
        return;
    }
    snprintf(worker->ticket, sizeof worker->ticket, "%s", ticket);
    worker->has_ticket = true;
    json_decref(json);
    start_call(worker, worker->flow->path, worker->body, worker->body_size);
}

static void
on_done(http_call *call)
{
    flow_worker *worker = call->context;
    load_record *record = &worker->load->records[worker->record];
    char outcome[64];
    load_answer answer = {.status = call->status,
                          .is_whole = call->is_whole,
                          .outcome = outcome,
                          .body = worker->answer,
                          .size = worker->answer_size};
    load_verdict verdict;

    if (worker->is_minting) {
        take_ticket(worker);
        return;
    }
    http_call_header(call, "lavender-outcome", outcome, sizeof outcome);
    record->status = call->status;
    verdict =
        load_judge(worker->flow, worker->identity, record->prompt,
                   record->tokens, worker->is_stream, &answer, record->reason);
    if (!try_again(worker, verdict)) {
        end_request(worker, verdict);
    }
}

static void
begin_request(flow_worker *worker)
{
    load_load *load = worker->load;
    load_flow *flow = worker->flow;
    load_record *record;

    if (is_flow_over(load, flow)) {
        end_worker(worker);
        return;
    }
    worker->record = load->record_count++;
    record = &load->records[worker->record];
    record->flow = (uint32_t)(flow - load->plan.flows);
    record->router = choose_router(load, flow);
    record->number = ++flow->issued;
    record->tries = 1;
    record->start_us = usage_now_us();
    snprintf(worker->identity, sizeof worker->identity, "%.40s/%.40s-%llu",
             flow->account, flow->name, (unsigned long long)record->number);
    make_body(worker, record);
    record->is_stream = worker->is_stream;
    load->outstanding++;
    load->accounts[flow->account_index].outstanding[flow->kind]++;
    worker->has_ticket = false;
    worker->is_minting = load_random(load) % 100 < flow->ticket_percent;
    if (worker->is_minting) {
        start_call(worker, "/v1/tickets", "{}", 2);
        return;
    }
    start_call(worker, flow->path, worker->body, worker->body_size);
}

static void
start_worker(load_load *load, load_flow *flow)
{
    flow_worker *worker = calloc(1, sizeof *worker);

    if (worker == NULL) {
        abort();
    }
    worker->load = load;
    worker->flow = flow;
    worker->is_open = flow->is_open;
    uv_timer_init(&load->loop, &worker->pause);
    worker->pause.data = worker;
    begin_request(worker);
}

static void
on_source(uv_timer_t *timer)
{
    flow_source *source = timer->data;
    load_flow *flow = source->flow;
    double mean_ms = flow->rate > 0 ? 1000.0 * flow->burst / flow->rate : 0;
    uint64_t wait_ms;

    if (is_flow_over(source->load, flow)) {
        uv_close((uv_handle_t *)timer, NULL);
        return;
    }
    for (uint32_t i = 0; i < (flow->is_open ? flow->burst : flow->count);
         i++) {
        start_worker(source->load, flow);
    }
    if (!flow->is_open || mean_ms <= 0) {
        uv_close((uv_handle_t *)timer, NULL);
        return;
    }
    wait_ms = (uint64_t)mean_ms / 2 +
              load_random(source->load) % ((uint64_t)mean_ms + 1);
    uv_timer_start(timer, on_source, wait_ms, 0);
}

static void
on_sample(uv_timer_t *timer)
{
    load_load *load = timer->data;
    uint64_t index = usage_now_us() / LOAD_INTERVAL_US - load->first_interval;

    if (index >= LOAD_INTERVALS) {
        return;
    }
    for (uint32_t i = 0; i < load->account_count; i++) {
        for (int kind = 0; kind < LOAD_KIND_COUNT; kind++) {
            uint16_t *least = &load->accounts[i].least[kind][index];
            uint32_t now = load->accounts[i].outstanding[kind];

            if (now < *least) {
                *least = (uint16_t)now;
            }
        }
    }
    if (load->is_stopping && load->outstanding == 0) {
        uv_stop(&load->loop);
    }
}

static void
on_end(uv_timer_t *timer)
{
    load_load *load = timer->data;

    if (load->is_stopping) {
        uv_stop(&load->loop);
        return;
    }
    load->is_stopping = true;
    uv_timer_start(timer, on_end, (uint64_t)(load->plan.drain * 1000), 0);
}

static void
on_signal(uv_signal_t *signal, int number)
{
    load_load *load = signal->data;

    (void)number;
    if (!load->is_stopping) {
        on_end(&load->stop_timer);
    }
}

void
load_run_flows(load_load *load)
{
    flow_source *sources = calloc(LOAD_FLOWS, sizeof *sources);

    if (sources == NULL) {
        abort();
    }
    load->random = load->plan.seed * 2654435761U + 1;
    load->start_us = usage_now_us();
    load->first_interval = load->start_us / LOAD_INTERVAL_US;
    for (uint32_t i = 0; i < load->plan.flow_count; i++) {
        flow_source *source = &sources[i];

        source->load = load;
        source->flow = &load->plan.flows[i];
        uv_timer_init(&load->loop, &source->timer);
        source->timer.data = source;
        uv_timer_start(&source->timer, on_source,
                       (uint64_t)(source->flow->start * 1000), 0);
    }
    uv_timer_init(&load->loop, &load->sample_timer);
    load->sample_timer.data = load;
    uv_timer_start(&load->sample_timer, on_sample, 0, SAMPLE_MS);
    uv_timer_init(&load->loop, &load->stop_timer);
    load->stop_timer.data = load;
    uv_timer_start(&load->stop_timer, on_end,
                   (uint64_t)(load->plan.seconds * 1000), 0);
    uv_signal_init(&load->loop, &load->stop_signal);
    load->stop_signal.data = load;
    uv_signal_start(&load->stop_signal, on_signal, SIGTERM);
    uv_run(&load->loop, UV_RUN_DEFAULT);
    load->verdicts[LOAD_PENDING] = load->outstanding;
    free(sources);
}
