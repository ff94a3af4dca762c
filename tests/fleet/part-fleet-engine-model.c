#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-engine.h"

static engine_model *
find_model(const engine_engine *engine, const char *name)
{
    for (uint32_t i = 0; i < engine->model_count; i++) {
        if (strcmp(engine->models[i].name, name) == 0) {
            return (engine_model *)&engine->models[i];
        }
    }
    return NULL;
}

static engine_model *
make_model(engine_engine *engine, const char *name)
{
    engine_model *model = find_model(engine, name);

    if (model == NULL && engine->model_count < ENGINE_MODELS) {
        model = &engine->models[engine->model_count++];
        snprintf(model->name, sizeof model->name, "%s", name);
        model->engine = engine;
    }
    return model;
}

void
engine_init_models(engine_engine *engine)
{
    char names[512];
    char *rest = NULL;

    snprintf(names, sizeof names, "%s", engine->options.models);
    for (char *name = strtok_r(names, ",", &rest); name != NULL;
         name = strtok_r(NULL, ",", &rest)) {
        engine_model *model = make_model(engine, name);

        if (model != NULL) {
            model->is_loaded = true;
        }
    }
}

bool
engine_has_model(const engine_engine *engine, const char *name)
{
    const engine_model *model;

    if (name == NULL) {
        return true;
    }
    model = find_model(engine, name);
    return model != NULL && model->is_loaded;
}

static void
on_loaded(http_call *call)
{
    engine_model *model = call->context;

    model->is_loading = false;
    model->is_loaded = call->is_whole && call->status == 200;
}

static void
start_loading(engine_engine *engine, engine_model *model)
{
    char path[64];

    if (model->is_loaded || model->is_loading) {
        engine->counts.orders_repeated++;
        return;
    }
    if (engine->options.weights == NULL) {
        model->is_loaded = true;
        return;
    }
    model->is_loading = true;
    model->call.context = model;
    model->call.on_done = on_loaded;
    snprintf(path, sizeof path, "/v1/weights?bytes=%llu",
             (unsigned long long)engine->options.model_bytes);
    http_call_start(&engine->client, &model->call, engine->options.weights,
                    "POST", path, "", "", 0);
}

static bool
is_old_fence(engine_engine *engine, json_t *order)
{
    json_t *fence = json_object_get(order, "fence");
    uint64_t high = (uint64_t)json_integer_value(json_array_get(fence, 0));
    uint64_t low = (uint64_t)json_integer_value(json_array_get(fence, 1));

    if (high < engine->fence[0] ||
        (high == engine->fence[0] && low < engine->fence[1])) {
        return engine->options.checks_fencing;
    }
    engine->fence[0] = high;
    engine->fence[1] = low;
    return false;
}

void
engine_take_order(engine_engine *engine, h2o_req_t *req)
{
    json_t *order = http_read_json(req);
    const char *action = json_string_value(json_object_get(order, "action"));
    const char *name = json_string_value(json_object_get(order, "model"));
    engine_model *model = name != NULL ? make_model(engine, name) : NULL;

    if (action == NULL || model == NULL) {
        http_send_json(req, 400, json_pack("{s:s}", "error", "bad order"));
    }
    else if (is_old_fence(engine, order)) {
        engine->counts.orders_refused++;
        http_send_json(req, 409, json_pack("{s:s}", "error", "old fence"));
    }
    else {
        engine->counts.orders_accepted++;
        if (strcmp(action, "load") == 0) {
            start_loading(engine, model);
        }
        else {
            model->is_loaded = false;
        }
        http_send_json(req, 200, json_pack("{}"));
    }
    json_decref(order);
}

json_t *
engine_models_to_json(const engine_engine *engine)
{
    json_t *models = json_array();

    for (uint32_t i = 0; i < engine->model_count; i++) {
        if (engine->models[i].is_loaded) {
            json_array_append_new(models, json_string(engine->models[i].name));
        }
    }
    return models;
}
