#include <stdlib.h>
#include <string.h>

#include "callers-imp.h"

static bool
init_listener(call_server *server, err_error *error)
{
    const call_settings *settings = &server->settings;
    listen_settings listen = {
        .address = settings->address,
        .listener_name = "callers",
        .connection_limit = settings->max_open_connections,
        .body_limit = settings->max_request_body + LISTEN_MAX_READ_BYTES,
        .head_timeout = settings->head_timeout,
        .idle_timeout = settings->idle_timeout};
    call_handler *handler;

    if (settings->tls_certificate[0] != '\0') {
        listen.tls = tls_create_context(settings, error);
        if (listen.tls == NULL) {
            return false;
        }
    }
    listen_init(&server->listener, server->loop, &listen);
    error_filter_add(server->listener.host);
    handler = (call_handler *)h2o_create_handler(
        &server->listener.host->fallback_path, sizeof *handler);
    handler->super.on_req = request_receive;
    handler->server = server;
    return true;
}

static void
free_request_table(call_server *server)
{
    map_finish(&server->index_by_handle);
    free(server->table);
    free(server->free_indexes);
}

call_server *
call_new(uv_loop_t *loop, const call_settings *settings, node_state *node,
         client_context *client, call_clock *clock, const char *instance,
         err_error *error)
{
    call_server *server = calloc(1, sizeof *server);

    if (server == NULL) {
        err_set(error, ERR_MEMORY, "give the process more memory",
                "cannot allocate the callers' listener");
        return NULL;
    }
    server->loop = loop;
    server->settings = *settings;
    server->node = node;
    server->client = client;
    server->clock = clock;
    lv_copy_name(server->instance, sizeof server->instance, instance);
    server->attempt_queue_tail = &server->attempt_queue_head;
    met_histogram_init(&server->counts.latency);
    met_histogram_init(&server->counts.first_byte);
    if (!request_init_table(server)) {
        err_set(error, ERR_MEMORY, "allow fewer requests",
                "cannot allocate the request table");
        goto failed;
    }
    if (!init_listener(server, error)) {
        goto failed;
    }
    return server;
failed:
    free_request_table(server);
    free(server);
    return NULL;
}

bool
call_listen(call_server *server, err_error *error)
{
    if (!disconnect_start(server)) {
        return err_set(error, ERR_MEMORY, "allow fewer connections",
                       "cannot allocate the callers' listener");
    }
    if (!listen_open(&server->listener, error)) {
        return false;
    }
    memory_start(server);
    return true;
}

uint32_t
call_active_requests(const call_server *server)
{
    return server->counts.active_requests;
}

void
call_drain(call_server *server)
{
    if (!server->is_draining) {
        server->is_draining = true;
        h2o_context_request_shutdown(&server->listener.context);
    }
}

void
call_close(call_server *server)
{
    server->is_draining = true;
    listen_close(&server->listener);
    disconnect_stop(server);
    memory_stop(server);
}

void
call_free(call_server *server)
{
    call_run_deferred(server);
    if (server->listener.connections > 0) {
        return;
    }
    listen_finish(&server->listener);
    free_request_table(server);
    free(server->poll_fds);
    free(server->poll_requests);
    free(server);
}

void
call_read_counts(const call_server *server, call_counts *counts)
{
    *counts = server->counts;
    counts->open_connections = server->listener.connections;
    counts->connections_accepted = server->listener.accepted;
    counts->connections_refused =
        server->listener.refused + server->listener.accept_failures;
}
