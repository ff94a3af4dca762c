#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "common-http.h"

#define WAIT_TIMEOUT_MS 10000

void
http_client_init(http_client *client, uv_loop_t *loop, uint64_t timeout_ms)
{
    memset(client, 0, sizeof *client);
    signal(SIGPIPE, SIG_IGN);
    client->loop = loop;
    h2o_timeout_init(loop, &client->timeout, timeout_ms);
    client->h2o.loop = loop;
    client->h2o.io_timeout = &client->timeout;
}

void
http_client_finish(http_client *client)
{
    h2o_timeout_dispose(client->loop, &client->timeout);
}

static void
end_call(http_call *call)
{
    call->h2o = NULL;
    free(call->request);
    call->request = NULL;
    call->on_done(call);
}

static bool
collect(http_call *call, const char *bytes, size_t size)
{
    char *body = realloc(call->body, call->size + size + 1);

    if (body == NULL) {
        return false;
    }
    memcpy(body + call->size, bytes, size);
    call->body = body;
    call->size += size;
    body[call->size] = '\0';
    return true;
}

/* h2o takes a close between two chunks for the body's end. The server keeps
 * the connection open after a true end, as it was asked to. */
static bool
is_cut(h2o_http1client_t *client, const http_call *call)
{
    char value[32];
    char byte;

    return http_call_header(call, "transfer-encoding", value, sizeof value) &&
           recv(h2o_socket_get_fd(client->sock), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
    http_call *call = client->data;
    h2o_buffer_t *input;
    bool is_wanted = true;

    if (error != NULL && error != h2o_http1client_error_is_eos) {
        end_call(call);
        return -1;
    }
    input = client->sock->input;
    if (input->size > 0) {
        is_wanted = call->on_data != NULL
                        ? call->on_data(call, input->bytes, input->size)
                        : collect(call, input->bytes, input->size);
        h2o_buffer_consume(&client->sock->input, input->size);
    }
    if (error == h2o_http1client_error_is_eos) {
        call->is_whole = call->is_sized && !is_cut(client, call);
        end_call(call);
        return 0;
    }
    if (!is_wanted) {
        end_call(call);
        return -1;
    }
    return 0;
}

static void
keep_headers(http_call *call, const h2o_header_t *headers, size_t count)
{
    size_t used = 0;

    for (size_t i = 0; i < count; i++) {
        const h2o_header_t *header = &headers[i];
        int length = snprintf(call->headers + used,
                              sizeof call->headers - used, "%.*s: %.*s\n",
                              (int)header->name->len, header->name->base,
                              (int)header->value.len, header->value.base);

        if (length < 0 || used + (size_t)length >= sizeof call->headers) {
            call->headers[used] = '\0';
            return;
        }
        used += (size_t)length;
    }
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
        int rlen)
{
    http_call *call = client->data;
    char value[32];

    (void)minor_version;
    (void)message;
    (void)rlen;
    if (error != NULL && error != h2o_http1client_error_is_eos) {
        end_call(call);
        return NULL;
    }
    call->status = status;
    keep_headers(call, headers, count);
    call->is_sized =
        http_call_header(call, "content-length", value, sizeof value) ||
        http_call_header(call, "transfer-encoding", value, sizeof value);
    if (error == h2o_http1client_error_is_eos) {
        call->is_whole = true;
        end_call(call);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error, h2o_iovec_t **vectors,
           size_t *vector_count, int *is_head)
{
    http_call *call = client->data;

    if (error != NULL) {
        end_call(call);
        return NULL;
    }
    *vectors = &call->vector;
    *vector_count = 1;
    *is_head = 0;
    return on_head;
}

static void
build_request(http_call *call, const char *address, const char *method,
              const char *path, const char *extra, const char *body,
              size_t size)
{
    size_t room = strlen(path) + strlen(extra) + 256;
    int length;

    call->request = malloc(room + size);
    if (call->request == NULL) {
        abort();
    }
    length =
        snprintf(call->request, room,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: keep-alive\r\n"
                 "%sContent-Length: %zu\r\n\r\n",
                 method, path, address, extra, size);
    if (size > 0) {
        memcpy(call->request + length, body, size);
    }
    call->vector = h2o_iovec_init(call->request, (size_t)length + size);
}

void
http_call_start(http_client *client, http_call *call, const char *address,
                const char *method, const char *path, const char *extra,
                const char *body, size_t size)
{
    uint16_t port = 0;

    call->client = client;
    call->status = 0;
    call->is_whole = false;
    call->is_sized = false;
    call->headers[0] = '\0';
    free(call->body);
    call->body = NULL;
    call->size = 0;
    if (!http_parse_address(address, call->host, &port)) {
        fprintf(stderr, "'%s' is no IP:PORT\n", address);
        abort();
    }
    build_request(call, address, method, path, extra, body, size);
    h2o_http1client_connect(&call->h2o, call, &client->h2o,
                            h2o_iovec_init(call->host, strlen(call->host)),
                            port, 0, on_connect);
}

void
http_call_cancel(http_call *call)
{
    if (call->h2o != NULL) {
        h2o_http1client_cancel(call->h2o);
        call->h2o = NULL;
    }
    free(call->request);
    call->request = NULL;
}

void
http_call_finish(http_call *call)
{
    http_call_cancel(call);
    free(call->body);
    call->body = NULL;
    call->size = 0;
}

bool
http_call_header(const http_call *call, const char *name, char *value,
                 size_t size)
{
    size_t length = strlen(name);
    const char *line = call->headers;

    while (*line != '\0') {
        const char *end = strchr(line, '\n');

        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            line += length + 2;
            snprintf(value, size, "%.*s", (int)(end - line), line);
            return true;
        }
        line = end + 1;
    }
    snprintf(value, size, "%s", "");
    return false;
}

static void
on_wait_done(http_call *call)
{
    (void)call;
}

bool
http_call_wait(http_call *call, const char *address, const char *method,
               const char *path, const char *extra, const char *body,
               uint64_t timeout_ms)
{
    uv_loop_t loop;
    http_client client;

    memset(call, 0, sizeof *call);
    call->on_done = on_wait_done;
    uv_loop_init(&loop);
    http_client_init(&client, &loop, timeout_ms);
    http_call_start(&client, call, address, method, path, extra, body,
                    strlen(body));
    while (call->h2o != NULL) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    http_client_finish(&client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    return call->is_whole;
}

json_t *
http_json_wait(const char *address, const char *method, const char *path,
               const char *body)
{
    http_call call;
    json_t *json = NULL;

    if (http_call_wait(&call, address, method, path, "", body,
                       WAIT_TIMEOUT_MS) &&
        call.status == 200 && call.body != NULL) {
        json = json_loadb(call.body, call.size, 0, NULL);
    }
    http_call_finish(&call);
    return json;
}
