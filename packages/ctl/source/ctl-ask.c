#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "lavender-net/endpoints.h"

#define ANSWER_SIZE_MAX ((size_t)64 * 1024 * 1024)

typedef struct ask {
    ctl_answer *answer;
    bool is_done;
    bool is_whole;
} ask;

static void
on_answer(void *context, const exch_response *from)
{
    ask *self = context;

    self->is_done = true;
    self->is_whole = from->is_complete;
    if (!from->is_complete) {
        return;
    }
    self->answer->status = from->status;
    self->answer->text = malloc(from->body_size + 1);
    if (self->answer->text == NULL) {
        self->is_whole = false;
        return;
    }
    memcpy(self->answer->text, from->body, from->body_size);
    self->answer->text[from->body_size] = '\0';
    self->answer->size = from->body_size;
}

static bool
run_ask(client_context *client, const exch_call_options *simple, ask *self)
{
    if (exch_call_start(client, simple, on_answer, self) == NULL) {
        return false;
    }
    while (!self->is_done) {
        uv_run(client->loop, UV_RUN_ONCE);
    }
    return self->is_whole;
}

bool
ctl_ask(const char *address, const char *method, const char *path,
        lv_time timeout, ctl_answer *answer, err_error *error)
{
    client_settings settings = {
        .connect_timeout = timeout,
        .first_byte_timeout = timeout,
        .idle_timeout = timeout,
        .idle_connection_timeout = LV_SECOND,
        .max_pooled_connections = 1,
    };
    exch_call_options simple = {
        .address = address,
        .method = method,
        .path = path,
        .headers = "",
        .max_response_size = ANSWER_SIZE_MAX,
        .needs_new_connection = true,
    };
    ask self = {.answer = answer};
    client_context client;
    uv_loop_t loop;
    bool is_ok;

    memset(answer, 0, sizeof *answer);
    uv_loop_init(&loop);
    if (!client_init(&client, &loop, &settings, error)) {
        uv_loop_close(&loop);
        return false;
    }
    is_ok = run_ask(&client, &simple, &self);
    client_finish(&client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    if (!is_ok) {
        free(answer->text);
        answer->text = NULL;
        return err_set(error, ERR_UNAVAILABLE,
                       "check the address of its operator listener "
                       "([listen] operator) and that it runs",
                       "no answer from %s", address);
    }
    return true;
}

void
ctl_print_error(const char *subject, const err_error *error)
{
    fprintf(stderr, "lavenderctl: %s: %s: %s; %s\n", subject,
            err_kind_name(error->kind), error->message, error->remedy);
}

void
ctl_print_json(json_t *json)
{
    json_dumpf(json, stdout, JSON_INDENT(2));
    putchar('\n');
    json_decref(json);
}
