#include "common-http.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define BACKLOG 1024

typedef struct server_handler {
    h2o_handler_t super;
    http_server *server;
} server_handler;

static int
handle(h2o_handler_t *handler, h2o_req_t *req)
{
    http_server *server = ((server_handler *)handler)->server;

    server->on_request(server->context, req);
    return 0;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    http_server *server = listener->data;
    uv_tcp_t *connection;

    if (status != 0) {
        return;
    }
    connection = h2o_mem_alloc(sizeof *connection);
    uv_tcp_init(listener->loop, connection);
    if (uv_accept(listener, (uv_stream_t *)connection) != 0) {
        uv_close((uv_handle_t *)connection, (uv_close_cb)free);
        return;
    }
    uv_tcp_nodelay(connection, 1);
    h2o_accept(&server->accept, h2o_uv_socket_create((uv_stream_t *)connection,
                                                     (uv_close_cb)free));
}

static void
die(const char *what, const char *address)
{
    fprintf(stderr, "%s %s: give a free IP:PORT, such as 127.0.0.1:0\n", what,
            address);
    exit(2);
}

static void
bind_listener(http_server *server, const char *address)
{
    char host[HTTP_ADDRESS_SIZE];
    uint16_t port;
    struct sockaddr_in name;
    int size = sizeof name;

    if (!http_parse_address(address, host, &port) ||
        uv_ip4_addr(host, port, &name) != 0 ||
        uv_tcp_bind(&server->listener, (struct sockaddr *)&name, 0) != 0 ||
        uv_listen((uv_stream_t *)&server->listener, BACKLOG, on_connection) !=
            0) {
        die("can not listen on", address);
    }
    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&name, &size);
    snprintf(server->address, sizeof server->address, "%.40s:%u", host,
             (unsigned)ntohs(name.sin_port));
}

void
http_server_init(http_server *server, uv_loop_t *loop, const char *address,
                 http_on_request *on_request, void *context)
{
    h2o_hostconf_t *host;
    server_handler *handler;

    signal(SIGPIPE, SIG_IGN); /* a caller may leave at any time */
    memset(server, 0, sizeof *server);
    signal(SIGPIPE, SIG_IGN);
    server->on_request = on_request;
    server->context = context;
    h2o_config_init(&server->config);
    host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    handler = (server_handler *)h2o_create_handler(
        h2o_config_register_path(host, "/", 0), sizeof *handler);
    handler->super.on_req = handle;
    handler->server = server;
    h2o_context_init(&server->h2o, loop, &server->config);
    server->accept.ctx = &server->h2o;
    server->accept.hosts = server->config.hosts;
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    bind_listener(server, address);
}

void
http_send_text(h2o_req_t *req, int status, const char *type, const char *text,
               size_t size)
{
    req->res.status = status;
    req->res.reason = "Answer";
    req->res.content_length = size;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   type, strlen(type));
    h2o_send_inline(req, text, size);
}

void
http_send_json(h2o_req_t *req, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);

    http_send_text(req, status, "application/json", text, strlen(text));
    free(text);
    json_decref(json);
}

bool
http_has_path(const h2o_req_t *req, const char *path)
{
    return h2o_memis(req->path_normalized.base, req->path_normalized.len, path,
                     strlen(path));
}

bool
http_has_prefix(const h2o_req_t *req, const char *prefix)
{
    size_t length = strlen(prefix);

    return req->path_normalized.len >= length &&
           memcmp(req->path_normalized.base, prefix, length) == 0;
}

bool
http_has_method(const h2o_req_t *req, const char *method)
{
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method));
}

uint64_t
http_query_number(const h2o_req_t *req, const char *name, uint64_t otherwise)
{
    char text[512];
    char pattern[64];
    const char *found;

    if (req->query_at == SIZE_MAX) {
        return otherwise;
    }
    snprintf(text, sizeof text, "&%.*s",
             (int)(req->path.len - req->query_at - 1),
             req->path.base + req->query_at + 1);
    snprintf(pattern, sizeof pattern, "&%s=", name);
    found = strstr(text, pattern);
    if (found == NULL) {
        return otherwise;
    }
    return strtoull(found + strlen(pattern), NULL, 10);
}

bool
http_read_header(const h2o_req_t *req, const char *name, char *value,
                 size_t size)
{
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];

        if (header->name->len == strlen(name) &&
            strncasecmp(header->name->base, name, header->name->len) == 0) {
            snprintf(value, size, "%.*s", (int)header->value.len,
                     header->value.base);
            return true;
        }
    }
    snprintf(value, size, "%s", "");
    return false;
}

json_t *
http_read_json(const h2o_req_t *req)
{
    return json_loadb(req->entity.base, req->entity.len, 0, NULL);
}

bool
http_parse_address(const char *address, char host[HTTP_ADDRESS_SIZE],
                   uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    long number;

    if (colon == NULL || colon - address >= HTTP_ADDRESS_SIZE) {
        return false;
    }
    snprintf(host, HTTP_ADDRESS_SIZE, "%.*s", (int)(colon - address), address);
    number = strtol(colon + 1, NULL, 10);
    *port = (uint16_t)number;
    return number >= 0 && number <= UINT16_MAX;
}
