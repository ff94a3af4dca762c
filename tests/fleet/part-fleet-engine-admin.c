#include <unistd.h>

#include "part-fleet-engine.h"

static json_t *
counts_to_json(const engine_engine *engine)
{
    const engine_counts *counts = &engine->counts;

    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I,"
        " s:I, s:o}",
        "accepted", (json_int_t)counts->accepted, "finished",
        (json_int_t)counts->finished, "cancelled",
        (json_int_t)counts->cancelled, "resumed", (json_int_t)counts->resumed,
        "refused", (json_int_t)counts->refused, "cut", (json_int_t)counts->cut,
        "lost", (json_int_t)counts->lost, "orders_accepted",
        (json_int_t)counts->orders_accepted, "orders_refused",
        (json_int_t)counts->orders_refused, "orders_repeated",
        (json_int_t)counts->orders_repeated, "cache_hits",
        (json_int_t)counts->cache_hits, "running_max",
        (json_int_t)counts->running_max, "running",
        (json_int_t)engine->running, "queued", (json_int_t)engine->queued,
        "models", engine_models_to_json(engine));
}

static void
set_faults(engine_engine *engine, h2o_req_t *req)
{
    json_t *fault = http_read_json(req);
    engine_faults *faults = &engine->faults;
    json_t *value;

    if ((value = json_object_get(fault, "cut_after")) != NULL) {
        faults->cut_after = (uint64_t)json_integer_value(value);
        faults->cut_count = 1;
    }
    if ((value = json_object_get(fault, "cut_count")) != NULL) {
        faults->cut_count = (uint32_t)json_integer_value(value);
    }
    if ((value = json_object_get(fault, "refuse")) != NULL) {
        faults->refuse_count = (uint32_t)json_integer_value(value);
    }
    if ((value = json_object_get(fault, "stall")) != NULL) {
        faults->is_stalled = json_is_true(value);
    }
    if ((value = json_object_get(fault, "lose_streams")) != NULL) {
        faults->loses_streams = json_is_true(value);
    }
    if (json_is_true(json_object_get(fault, "crash"))) {
        _exit(9);
    }
    http_send_json(req, fault != NULL ? 200 : 400, json_pack("{}"));
    json_decref(fault);
}

void
engine_on_admin(void *context, h2o_req_t *req)
{
    engine_engine *engine = context;

    if (http_has_path(req, "/admin/counts")) {
        http_send_json(req, 200, counts_to_json(engine));
    }
    else if (http_has_path(req, "/admin/usage")) {
        http_send_json(req, 200, usage_to_json(&engine->usage));
    }
    else if (http_has_path(req, "/admin/runs")) {
        http_send_json(req, 200, json_pack("{s:O}", "runs", engine->runs));
    }
    else if (http_has_path(req, "/admin/fault")) {
        set_faults(engine, req);
    }
    else {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
}
