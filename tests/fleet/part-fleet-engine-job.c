#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "part-fleet-engine.h"

#define PREFIX_BYTES 64
#define CACHED_SHARE 5 /* a kept prefix costs a fifth of the prefill */
#define TOKENS_MAX 4096
#define TOKENS_DEFAULT 16

static void
record_run(engine_job *job)
{
    json_t *runs = job->engine->runs;
    json_int_t count =
        json_integer_value(json_object_get(runs, job->identity));

    json_object_set_new(runs, job->identity, json_integer(count + 1));
}

static void
start_job(engine_job *job, uint64_t now_us)
{
    engine_engine *engine = job->engine;
    uint64_t prefill = (uint64_t)job->prompt * engine->options.prefill_us;

    if (engine_cache_use(&engine->cache, job->prefix, now_us)) {
        engine->counts.cache_hits++;
        prefill /= CACHED_SHARE;
    }
    record_run(job);
    job->state = ENGINE_RUNNING;
    job->next_us = now_us + prefill + engine->options.token_us;
    engine->queued--;
    engine->running++;
    if (engine->running > engine->counts.running_max) {
        engine->counts.running_max = engine->running;
    }
    usage_change_running(&engine->usage, job->account, 1);
}

static void
end_job(engine_job *job)
{
    engine_engine *engine = job->engine;

    if (job->state == ENGINE_RUNNING) {
        engine->running--;
        usage_change_running(&engine->usage, job->account, -1);
    }
    else if (job->state == ENGINE_QUEUED) {
        engine->queued--;
    }
    job->state = ENGINE_ENDED;
}

static void
free_job(engine_job *job)
{
    engine_engine *engine = job->engine;
    engine_job **link = &engine->jobs;

    end_job(job);
    engine_detach(job);
    while (*link != job) {
        link = &(*link)->next;
    }
    *link = job->next;
    if (engine->jobs_end == &job->next) {
        engine->jobs_end = link;
    }
    answer_finish(&job->answer);
    free(job);
}

static void
produce(engine_job *job, uint64_t now_us)
{
    engine_engine *engine = job->engine;

    while (job->produced < job->answer.tokens && job->next_us <= now_us) {
        if (job->produced == 0) {
            usage_add_units(&engine->usage, job->account,
                            job->prompt * engine->options.input_weight);
        }
        usage_add_units(&engine->usage, job->account,
                        engine->options.output_weight);
        job->produced++;
        job->next_us += engine->options.token_us;
    }
    if (job->produced == job->answer.tokens) {
        end_job(job);
    }
}

/* A whole answer needs its reader; a stream is kept for a while. */
static bool
is_abandoned(const engine_job *job, uint64_t now_us)
{
    if (job->left_us == 0) {
        return false;
    }
    return !job->is_stream ||
           now_us - job->left_us > job->engine->options.linger_ms * 1000ULL;
}

void
engine_run_jobs(engine_engine *engine, uint64_t now_us)
{
    engine_job *job = engine->jobs;

    while (job != NULL) {
        engine_job *next = job->next;

        if (engine->faults.is_stalled) {
            job->next_us = now_us + engine->options.token_us;
        }
        else if (job->state == ENGINE_RUNNING) {
            produce(job, now_us);
        }
        if (job->state == ENGINE_QUEUED &&
            engine->running < engine->options.slots) {
            start_job(job, now_us);
        }
        if (job->reader != NULL) {
            engine_send(job);
        }
        if (is_abandoned(job, now_us)) {
            if (job->state != ENGINE_ENDED) {
                engine->counts.cancelled++;
            }
            free_job(job);
        }
        job = next;
    }
}

static uint64_t
hash_prefix(const char *prompt)
{
    size_t length = strlen(prompt);

    return XXH64(prompt, length < PREFIX_BYTES ? length : PREFIX_BYTES, 0);
}

static const char *
read_prompt(json_t *body)
{
    json_t *prompt = json_object_get(body, "prompt");

    if (prompt == NULL) {
        prompt = json_object_get(
            json_array_get(json_object_get(body, "messages"), 0), "content");
    }
    return json_is_string(prompt) ? json_string_value(prompt) : NULL;
}

static engine_job *
make_job(engine_engine *engine, json_t *body, const char *prompt)
{
    engine_job *job = calloc(1, sizeof *job);
    const char *identity = json_string_value(json_object_get(body, "user"));
    json_t *tokens = json_object_get(body, "reply_tokens");
    uint32_t count = TOKENS_DEFAULT;

    if (job == NULL) {
        abort();
    }
    if (tokens == NULL) {
        tokens = json_object_get(body, "max_tokens");
    }
    if (json_is_integer(tokens)) {
        count = (uint32_t)json_integer_value(tokens);
    }
    count = count < 1 ? 1 : count > TOKENS_MAX ? TOKENS_MAX : count;
    job->engine = engine;
    job->number = ++engine->job_number;
    snprintf(job->identity, sizeof job->identity, "%s",
             identity != NULL ? identity : "unknown/0");
    job->is_stream = json_is_true(json_object_get(body, "stream"));
    job->prompt = answer_prompt_tokens(strlen(prompt));
    job->prefix = hash_prefix(prompt);
    job->account = usage_find_account(&engine->usage, job->identity);
    answer_init(&job->answer, job->identity, job->prompt, count,
                job->is_stream);
    return job;
}

static void
take_fault(engine_engine *engine, engine_job *job)
{
    if (engine->faults.cut_count > 0) {
        engine->faults.cut_count--;
        job->is_cut = true;
    }
}

void
engine_accept_job(engine_engine *engine, h2o_req_t *req)
{
    json_t *body = http_read_json(req);
    const char *prompt = read_prompt(body);
    const char *model = json_string_value(json_object_get(body, "model"));
    engine_job *job;

    if (engine->faults.refuse_count > 0) {
        engine->faults.refuse_count--;
        engine->counts.refused++;
        http_send_json(req, 503, json_pack("{s:s}", "error", "refused"));
    }
    else if (prompt == NULL) {
        engine->counts.refused++;
        http_send_json(req, 400, json_pack("{s:s}", "error", "no prompt"));
    }
    else if (!engine_has_model(engine, model)) {
        engine->counts.refused++;
        http_send_json(req, 503,
                       json_pack("{s:s}", "error", "model is not loaded"));
    }
    else {
        job = make_job(engine, body, prompt);
        *engine->jobs_end = job;
        engine->jobs_end = &job->next;
        engine->queued++;
        engine->counts.accepted++;
        take_fault(engine, job);
        engine_attach(job, req, 0);
        engine_run_jobs(engine, usage_now_us());
    }
    json_decref(body);
}

static engine_job *
find_job(engine_engine *engine, uint64_t number)
{
    for (engine_job *job = engine->jobs; job != NULL; job = job->next) {
        if (job->number == number) {
            return job;
        }
    }
    return NULL;
}

void
engine_resume_job(engine_engine *engine, h2o_req_t *req, uint64_t number,
                  uint64_t offset)
{
    engine_job *job = find_job(engine, number);

    if (job == NULL || !job->is_stream || offset > job->answer.size ||
        engine->faults.loses_streams) {
        engine->counts.lost++;
        http_send_json(req, 404, json_pack("{s:s}", "error", "no stream"));
        return;
    }
    engine_detach(job);
    engine->counts.resumed++;
    take_fault(engine, job);
    engine_attach(job, req, offset);
    engine_send(job);
}

void
engine_cancel_job(engine_engine *engine, h2o_req_t *req, uint64_t number)
{
    engine_job *job = find_job(engine, number);

    if (job != NULL) {
        if (job->state != ENGINE_ENDED) {
            engine->counts.cancelled++;
        }
        free_job(job);
    }
    http_send_json(req, job != NULL ? 200 : 404, json_pack("{}"));
}
