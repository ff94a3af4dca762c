#include <stdio.h>
#include <string.h>

#include "part-fleet-engine.h"

#define HEADER_SIZE 96

static void
let_go(engine_reader *reader)
{
    engine_job *job = reader->job;

    if (job != NULL && job->reader == reader) {
        job->reader = NULL;
        job->left_us = usage_now_us();
    }
    reader->job = NULL;
}

static void
on_reader_gone(void *memory)
{
    let_go(memory);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    engine_reader *reader = (engine_reader *)generator;

    (void)req;
    reader->is_sending = false;
    if (reader->job != NULL) {
        engine_send(reader->job);
    }
    else {
        h2o_send(reader->req, NULL, 0, H2O_SEND_STATE_ERROR);
    }
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    let_go((engine_reader *)generator);
}

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t copy = h2o_strdup(&req->pool, value, strlen(value));
    h2o_iovec_t key = h2o_strdup(&req->pool, name, strlen(name));

    h2o_add_header_by_str(&req->pool, &req->res.headers, key.base, key.len, 0,
                          NULL, copy.base, copy.len);
}

static void
echo_header(h2o_req_t *req, const char *name)
{
    char value[HEADER_SIZE];

    if (http_read_header(req, name, value, sizeof value)) {
        add_header(req, name, value);
    }
}

void
engine_attach(engine_job *job, h2o_req_t *req, size_t offset)
{
    engine_reader *reader =
        h2o_mem_alloc_shared(&req->pool, sizeof *reader, on_reader_gone);

    memset(reader, 0, sizeof *reader);
    reader->super.proceed = on_proceed;
    reader->super.stop = on_stop;
    reader->job = job;
    reader->req = req;
    reader->sent = offset;
    reader->begun = offset;
    job->reader = reader;
    job->left_us = 0;
}

void
engine_detach(engine_job *job)
{
    engine_reader *reader = job->reader;

    if (reader == NULL) {
        return;
    }
    let_go(reader);
    if (!reader->is_started) {
        http_send_json(reader->req, 503,
                       json_pack("{s:s}", "error", "cancelled"));
    }
    else if (!reader->is_sending) {
        reader->is_sending = true;
        h2o_send(reader->req, NULL, 0, H2O_SEND_STATE_ERROR);
    }
}

static void
start_answer(engine_job *job, engine_reader *reader)
{
    h2o_req_t *req = reader->req;
    char number[32];

    req->res.status = 200;
    req->res.reason = "OK";
    add_header(req, "content-type",
               job->is_stream ? "text/event-stream" : "application/json");
    echo_header(req, "lavender-request");
    echo_header(req, "lavender-attempt");
    if (job->is_stream) {
        snprintf(number, sizeof number, "%llu",
                 (unsigned long long)job->number);
        add_header(req, "lavender-stream", number);
    }
    else {
        req->res.content_length = job->answer.size;
    }
    reader->is_started = true;
    h2o_start_response(req, &reader->super);
}

/* How much of the body may go out by now. */
static size_t
available(const engine_job *job)
{
    if (job->state == ENGINE_ENDED) {
        return job->answer.size;
    }
    if (!job->is_stream || job->produced == 0) {
        return 0;
    }
    return job->answer.ends[job->produced - 1];
}

/* Where this answer is to be cut; the end when it is not. */
static size_t
cut_offset(const engine_job *job, const engine_reader *reader)
{
    size_t offset = reader->begun + job->engine->faults.cut_after;

    return job->is_cut && offset < job->answer.size ? offset
                                                    : job->answer.size;
}

void
engine_send(engine_job *job)
{
    engine_reader *reader = job->reader;
    size_t end = available(job);
    size_t cut = cut_offset(job, reader);
    h2o_iovec_t bytes;
    bool is_last;

    if (reader->is_sending || job->engine->faults.is_stalled) {
        return;
    }
    if (reader->sent >= cut && cut < job->answer.size) {
        if (!reader->is_started) {
            start_answer(job, reader);
        }
        job->engine->counts.cut++;
        job->is_cut = false;
        let_go(reader);
        reader->is_sending = true;
        h2o_send(reader->req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (end > cut) {
        end = cut;
    }
    if (end <= reader->sent && end != job->answer.size) {
        return;
    }
    if (!reader->is_started) {
        start_answer(job, reader);
    }
    bytes =
        h2o_iovec_init(job->answer.text + reader->sent, end - reader->sent);
    bytes = h2o_strdup(&reader->req->pool, bytes.base, bytes.len);
    reader->sent = end;
    reader->is_sending = true;
    is_last = end == job->answer.size;
    if (is_last) {
        job->engine->counts.finished++;
        let_go(reader);
    }
    h2o_send(reader->req, &bytes, 1,
             is_last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}
