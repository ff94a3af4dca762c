#include <stdlib.h>
#include <string.h>

#include "operator-imp.h"

#define CONNECTIONS 64
#define BODY_MAX ((size_t)64 * 1024)
#define TIMEOUT (10 * LV_SECOND)

typedef struct oper_handler {
    h2o_handler_t super;
    oper_server *server;
} oper_handler;

struct oper_server {
    listen_listener listener;
    oper_view view;
};

static void
send_text(h2o_req_t *req, int status, const char *reason, const char *type,
          const char *text, size_t size)
{
    req->res.status = status;
    req->res.reason = reason;
    req->res.content_length = size;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   type, strlen(type));
    h2o_send_inline(req, text, size);
}

static void
send_health(oper_server *server, h2o_req_t *req)
{
    (void)server;
    send_text(req, 200, "OK", "text/plain", H2O_STRLIT("ok\n"));
}

static void
send_readiness(oper_server *server, h2o_req_t *req)
{
    if (node_is_ready(server->view.node)) {
        send_text(req, 200, "OK", "text/plain", H2O_STRLIT("ready\n"));
        return;
    }
    send_text(req, 503, "Service Unavailable", "text/plain",
              H2O_STRLIT("not ready\n"));
}

static void
send_written(h2o_req_t *req, const char *type, met_writer *writer)
{
    if (writer->has_failed) {
        send_text(req, 503, "Service Unavailable", "text/plain",
                  H2O_STRLIT("no memory\n"));
    }
    else {
        send_text(req, 200, "OK", type,
                  writer->text == NULL ? "" : writer->text, writer->size);
    }
    met_writer_finish(writer);
}

static void
send_metrics(oper_server *server, h2o_req_t *req)
{
    met_writer writer;

    met_writer_init(&writer);
    oper_write_metrics(&server->view, &writer);
    send_written(req, "text/plain; version=0.0.4", &writer);
}

static void
send_ledger(oper_server *server, h2o_req_t *req)
{
    met_writer writer;

    met_writer_init(&writer);
    oper_write_ledger(&server->view, &writer);
    send_written(req, "application/jsonl", &writer);
}

static void
send_json(h2o_req_t *req, char *text)
{
    if (text == NULL) {
        send_text(req, 503, "Service Unavailable", "text/plain",
                  H2O_STRLIT("no memory\n"));
        return;
    }
    send_text(req, 200, "OK", "application/json", text, strlen(text));
    free(text);
}

static void
send_status(oper_server *server, h2o_req_t *req)
{
    send_json(req, oper_write_status(&server->view));
}

static void
send_catalogue(oper_server *server, h2o_req_t *req)
{
    send_json(req, oper_write_catalogue(&server->view));
}

static void
take_drain(oper_server *server, h2o_req_t *req)
{
    server->view.drain(server->view.context);
    send_text(req, 202, "Accepted", "application/json",
              H2O_STRLIT("{\"draining\": true}\n"));
}

static const struct {
    const char *method;
    const char *path;
    void (*answer)(oper_server *server, h2o_req_t *req);
} routes[] = {
    {"GET", "/healthz", send_health},
    {"GET", "/readyz", send_readiness},
    {"GET", "/metrics", send_metrics},
    {"GET", "/v1/status", send_status},
    {"GET", "/v1/ledger", send_ledger},
    {"GET", "/v1/catalogue", send_catalogue},
    {"POST", "/v1/drain", take_drain},
};

static bool
is_text(h2o_iovec_t value, const char *text)
{
    return h2o_memis(value.base, value.len, text, strlen(text));
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    oper_server *server = ((oper_handler *)handler)->server;
    bool has_path = false;
    size_t i;

    for (i = 0; i < sizeof routes / sizeof routes[0]; i++) {
        if (!is_text(req->path_normalized, routes[i].path)) {
            continue;
        }
        has_path = true;
        if (is_text(req->method, routes[i].method)) {
            routes[i].answer(server, req);
            return 0;
        }
    }
    if (has_path) {
        send_text(req, 405, "Method Not Allowed", "text/plain",
                  H2O_STRLIT("this path takes another method\n"));
        return 0;
    }
    send_text(req, 404, "Not Found", "text/plain",
              H2O_STRLIT("the operator's paths are /healthz, /readyz, "
                         "/metrics, /v1/status, /v1/ledger, /v1/catalogue "
                         "and /v1/drain\n"));
    return 0;
}

oper_server *
oper_new(uv_loop_t *loop, const oper_settings *settings, const oper_view *view,
         err_error *error)
{
    listen_settings listen = {.address = settings->address,
                              .listener_name = "operator",
                              .connection_limit = CONNECTIONS,
                              .body_limit = BODY_MAX,
                              .head_timeout = TIMEOUT,
                              .idle_timeout = TIMEOUT};
    oper_server *server = calloc(1, sizeof *server);
    oper_handler *handler;

    if (server == NULL) {
        err_set(error, ERR_MEMORY, "give the process more memory",
                "the operator's listener has no memory");
        return NULL;
    }
    server->view = *view;
    listen_init(&server->listener, loop, &listen);
    handler = (oper_handler *)h2o_create_handler(
        &server->listener.host->fallback_path, sizeof *handler);
    handler->super.on_req = on_request;
    handler->server = server;
    return server;
}

bool
oper_listen(oper_server *server, err_error *error)
{
    return listen_open(&server->listener, error);
}

void
oper_close(oper_server *server)
{
    listen_close(&server->listener);
}

void
oper_free(oper_server *server)
{
    listen_finish(&server->listener);
    free(server);
}
