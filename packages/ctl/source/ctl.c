#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "lavender-net/endpoints.h"

#define MAX_RESPONSE_SIZE ((size_t)64 * 1024 * 1024)

/* The state of a request that is in progress. */
typedef struct pending_request {
    ctl_response *response;
    bool is_done;
    bool is_complete; /* the whole response was received and copied */
} pending_request;

static void
on_response(void *context, const exch_response *received)
{
    pending_request *pending = context;

    pending->is_done = true;
    pending->is_complete = received->is_complete;
    if (!received->is_complete) {
        return;
    }
    pending->response->status = received->status;
    pending->response->body = malloc(received->body_size + 1);
    if (pending->response->body == NULL) {
        pending->is_complete = false;
        return;
    }
    if (received->body_size > 0) {
        memcpy(pending->response->body, received->body, received->body_size);
    }
    pending->response->body[received->body_size] = '\0';
    pending->response->size = received->body_size;
}

/* Sends a request and runs the loop until it ends; false when no complete
 * response was received. */
static bool
run_request(client_context *client, const exch_call_options *request,
            pending_request *pending)
{
    if (exch_call_start(client, request, on_response, pending) == NULL) {
        return false;
    }
    while (!pending->is_done) {
        uv_run(client->loop, UV_RUN_ONCE);
    }
    return pending->is_complete;
}

bool
ctl_send_request(const char *address, const char *method, const char *path,
                 lv_time timeout, ctl_response *response, err_error *error)
{
    client_settings settings = {
        .connect_timeout = timeout,
        .first_byte_timeout = timeout,
        .idle_timeout = timeout,
        .idle_connection_timeout = LV_SECOND,
        .max_pooled_connections = 1,
    };
    exch_call_options request = {
        .address = address,
        .method = method,
        .path = path,
        .headers = "",
        .max_response_size = MAX_RESPONSE_SIZE,
        .needs_new_connection = true,
    };
    pending_request pending = {.response = response};
    client_context client;
    uv_loop_t loop;
    bool is_ok;

    memset(response, 0, sizeof *response);
    uv_loop_init(&loop);
    if (!client_init(&client, &loop, &settings, error)) {
        uv_loop_close(&loop);
        return false;
    }
    is_ok = run_request(&client, &request, &pending);
    client_finish(&client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    if (!is_ok) {
        free(response->body);
        response->body = NULL;
        return err_set(error, ERR_UNAVAILABLE,
                       "check that the router runs and that this is the "
                       "address of its operator listener ([listen] operator)",
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
