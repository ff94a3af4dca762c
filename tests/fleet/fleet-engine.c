/*
 * Stand-in for a model engine: continuous batching with limited concurrency,
 * admission in order of arrival, a bounded prefix cache, resumable streams.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-engine.h"

#define TICK_MS 1

enum option_key {
    OPTION_SLOTS = 256,
    OPTION_TOKEN,
    OPTION_PREFILL,
    OPTION_CACHE,
    OPTION_EVENT_LAG,
    OPTION_LOAD_LAG,
    OPTION_LINGER,
    OPTION_MODELS,
    OPTION_MODEL_BYTES,
    OPTION_WEIGHTS,
    OPTION_INPUT_WEIGHT,
    OPTION_OUTPUT_WEIGHT,
    OPTION_IGNORE_FENCING
};

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Where it listens (127.0.0.1:0)", 0},
    {"admin", 'a', "IP:PORT", 0, "Where tests drive it (127.0.0.1:0)", 0},
    {"slots", OPTION_SLOTS, "N", 0, "Requests that run at once (8)", 0},
    {"token-us", OPTION_TOKEN, "US", 0, "Time of an output token (5000)", 0},
    {"prefill-us", OPTION_PREFILL, "US", 0, "Time of an input token (50)", 0},
    {"cache", OPTION_CACHE, "N", 0, "Prefixes kept (64)", 0},
    {"event-lag", OPTION_EVENT_LAG, "MS", 0, "Cache events lag (500)", 0},
    {"load-lag", OPTION_LOAD_LAG, "MS", 0, "Load reports lag (500)", 0},
    {"linger", OPTION_LINGER, "MS", 0,
     "A stream without reader is kept so long (5000)", 0},
    {"models", OPTION_MODELS, "A,B", 0, "Models loaded at the start (m)", 0},
    {"model-bytes", OPTION_MODEL_BYTES, "N", 0, "Weights of a model (1000000)",
     0},
    {"weights", OPTION_WEIGHTS, "IP:PORT", 0,
     "The weight store; without it models load at once", 0},
    {"input-weight", OPTION_INPUT_WEIGHT, "X", 0,
     "Service units of an input token (1)", 0},
    {"output-weight", OPTION_OUTPUT_WEIGHT, "X", 0,
     "Service units of an output token (1)", 0},
    {"ignore-fencing", OPTION_IGNORE_FENCING, NULL, 0,
     "Accept orders with an old fencing number", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    engine_options *to = state->input;
    const char *text = argument != NULL ? argument : "0";
    unsigned long long number = strtoull(text, NULL, 10);

    switch (key) {
    case 'l':
        to->listen = argument;
        break;
    case 'a':
        to->admin_listen = argument;
        break;
    case OPTION_SLOTS:
        to->slots = (uint32_t)number;
        break;
    case OPTION_TOKEN:
        to->token_us = (uint32_t)number;
        break;
    case OPTION_PREFILL:
        to->prefill_us = (uint32_t)number;
        break;
    case OPTION_CACHE:
        to->cache_entries = (uint32_t)number;
        break;
    case OPTION_EVENT_LAG:
        to->event_lag_ms = (uint32_t)number;
        break;
    case OPTION_LOAD_LAG:
        to->load_lag_ms = (uint32_t)number;
        break;
    case OPTION_LINGER:
        to->linger_ms = (uint32_t)number;
        break;
    case OPTION_MODELS:
        to->models = argument;
        break;
    case OPTION_MODEL_BYTES:
        to->model_bytes = number;
        break;
    case OPTION_WEIGHTS:
        to->weights = argument;
        break;
    case OPTION_INPUT_WEIGHT:
        to->input_weight = strtod(text, NULL);
        break;
    case OPTION_OUTPUT_WEIGHT:
        to->output_weight = strtod(text, NULL);
        break;
    case OPTION_IGNORE_FENCING:
        to->checks_fencing = false;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void
send_load(engine_engine *engine, h2o_req_t *req)
{
    uint64_t lag_us = engine->options.event_lag_ms * 1000ULL;

    http_send_json(
        req, 200,
        json_pack("{s:I, s:I, s:I, s:o, s:o}", "running",
                  (json_int_t)engine->reported_running, "queued",
                  (json_int_t)engine->reported_queued, "slots",
                  (json_int_t)engine->options.slots, "models",
                  engine_models_to_json(engine), "cache_events",
                  engine_cache_to_json(&engine->cache,
                                       engine->cache.event_number - 1,
                                       usage_now_us() - lag_us)));
}

static void
send_events(engine_engine *engine, h2o_req_t *req)
{
    uint64_t lag_us = engine->options.event_lag_ms * 1000ULL;

    http_send_json(
        req, 200,
        json_pack("{s:o}", "events",
                  engine_cache_to_json(&engine->cache,
                                       http_query_number(req, "after", 0),
                                       usage_now_us() - lag_us)));
}

static void
take_stream_request(engine_engine *engine, h2o_req_t *req)
{
    char path[128];
    char *end;
    uint64_t number;

    snprintf(path, sizeof path, "%.*s", (int)req->path_normalized.len,
             req->path_normalized.base);
    number = strtoull(path + strlen("/v1/streams/"), &end, 10);
    if (http_has_method(req, "DELETE")) {
        engine_cancel_job(engine, req, number);
    }
    else if (strcmp(end, "/resume") == 0) {
        engine_resume_job(engine, req, number,
                          http_query_number(req, "offset", 0));
    }
    else {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
}

static void
on_request(void *context, h2o_req_t *req)
{
    engine_engine *engine = context;

    if (http_has_path(req, "/v1/chat/completions") ||
        http_has_path(req, "/v1/completions")) {
        engine_accept_job(engine, req);
    }
    else if (http_has_path(req, "/v1/load")) {
        send_load(engine, req);
    }
    else if (http_has_path(req, "/v1/cache_events")) {
        send_events(engine, req);
    }
    else if (http_has_path(req, "/v1/orders")) {
        engine_take_order(engine, req);
    }
    else if (http_has_prefix(req, "/v1/streams/")) {
        take_stream_request(engine, req);
    }
    else {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    engine_engine *engine = timer->data;
    uint64_t now_us = usage_now_us();

    engine_run_jobs(engine, now_us);
    if (now_us - engine->reported_us >=
        engine->options.load_lag_ms * 1000ULL) {
        engine->reported_us = now_us;
        engine->reported_running = engine->running;
        engine->reported_queued = engine->queued;
    }
}

static void
init_engine(engine_engine *engine)
{
    uv_loop_init(&engine->loop);
    usage_init(&engine->usage, engine->options.slots);
    engine->jobs_end = &engine->jobs;
    engine->runs = json_object();
    engine->cache.capacity =
        engine->options.cache_entries > 0 ? engine->options.cache_entries : 1;
    engine->cache.entries =
        calloc(engine->cache.capacity, sizeof *engine->cache.entries);
    if (engine->cache.entries == NULL) {
        abort();
    }
    engine_init_models(engine);
    http_client_init(&engine->client, &engine->loop, 600000);
    http_server_init(&engine->server, &engine->loop, engine->options.listen,
                     on_request, engine);
    http_server_init(&engine->admin, &engine->loop,
                     engine->options.admin_listen, engine_on_admin, engine);
    uv_timer_init(&engine->loop, &engine->tick);
    engine->tick.data = engine;
    uv_timer_start(&engine->tick, on_tick, TICK_MS, TICK_MS);
}

int
main(int argc, char **argv)
{
    static engine_engine engine = {.options = {.listen = "127.0.0.1:0",
                                               .admin_listen = "127.0.0.1:0",
                                               .models = "m",
                                               .slots = 8,
                                               .token_us = 5000,
                                               .prefill_us = 50,
                                               .cache_entries = 64,
                                               .event_lag_ms = 500,
                                               .load_lag_ms = 500,
                                               .linger_ms = 5000,
                                               .model_bytes = 1000000,
                                               .input_weight = 1,
                                               .output_weight = 1,
                                               .checks_fencing = true}};
    static const struct argp argp = {
        options,
        parse_option,
        NULL,
        "Stand-in for a model engine."
        "\vIt prints \"ready IP:PORT admin IP:PORT\". The answer follows from "
        "the request: \"user\" is its identity (ACCOUNT/NUMBER), "
        "\"reply_tokens\" the true length. For tests: GET /admin/counts, "
        "GET /admin/runs, GET /admin/usage, POST /admin/fault {\"cut_after\": "
        "BYTES, "
        "\"cut_count\": N, \"refuse\": N, \"stall\": BOOL, "
        "\"lose_streams\": BOOL, \"crash\": true}.",
        NULL,
        NULL,
        NULL};

    argp_parse(&argp, argc, argv, 0, NULL, &engine.options);
    init_engine(&engine);
    printf("ready %s admin %s\n", engine.server.address, engine.admin.address);
    fflush(stdout);
    return uv_run(&engine.loop, UV_RUN_DEFAULT);
}
