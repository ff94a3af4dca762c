/*
 * HTTP for the stand-ins and the load tool: a listener with one handler, and
 * calls, both by h2o on a libuv loop. Each call has a connection of its own.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "h2o.h"
#include "h2o/http1client.h"

#define HTTP_ADDRESS_SIZE 64

/* Answers the request now or keeps it to answer later. */
typedef void http_on_request(void *context, h2o_req_t *req);

typedef struct http_server {
    h2o_globalconf_t config;
    h2o_context_t h2o;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
    http_on_request *on_request;
    void *context;
    char address[HTTP_ADDRESS_SIZE]; /* bound, with the real port */
} http_server;

/* Listen on IP:PORT (port 0: any). Ends the process when it can not. */
void http_server_init(http_server *server, uv_loop_t *loop,
                      const char *address, http_on_request *on_request,
                      void *context);

/* Answer with a copy of a text, or with JSON, whose reference is taken. */
void http_send_text(h2o_req_t *req, int status, const char *type,
                    const char *text, size_t size);
void http_send_json(h2o_req_t *req, int status, json_t *json);

/* Parts of a request. Text is cut to size. */
bool http_has_path(const h2o_req_t *req, const char *path);
bool http_has_prefix(const h2o_req_t *req, const char *prefix);
bool http_has_method(const h2o_req_t *req, const char *method);
uint64_t http_query_number(const h2o_req_t *req, const char *name,
                           uint64_t otherwise);
bool http_read_header(const h2o_req_t *req, const char *name, char *value,
                      size_t size);
json_t *http_read_json(const h2o_req_t *req);

/* Split IP:PORT. */
bool http_parse_address(const char *address, char host[HTTP_ADDRESS_SIZE],
                        uint16_t *port);

typedef struct http_client {
    uv_loop_t *loop;
    h2o_timeout_t timeout;
    h2o_http1client_ctx_t h2o;
} http_client;

#define HTTP_HEADERS_SIZE 1024

typedef struct http_call http_call;

struct http_call {
    void *context;
    /* Body bytes as they come; false stops the call. May be NULL: the body
     * is then collected in body. */
    bool (*on_data)(http_call *call, const char *bytes, size_t size);
    /* Once, at the end; the call may be freed or started again. */
    void (*on_done)(http_call *call);

    int status;                      /* 0: no head came */
    bool is_whole;                   /* the body's stated end was seen */
    char headers[HTTP_HEADERS_SIZE]; /* "name: value\n" */
    char *body;
    size_t size;

    /* private */
    http_client *client;
    h2o_http1client_t *h2o;
    char *request;
    h2o_iovec_t vector;
    bool is_sized;
    char host[HTTP_ADDRESS_SIZE];
};

void http_client_init(http_client *client, uv_loop_t *loop,
                      uint64_t timeout_ms);
void http_client_finish(http_client *client);

/* extra: further head lines, each ended by CR LF, or "". */
void http_call_start(http_client *client, http_call *call, const char *address,
                     const char *method, const char *path, const char *extra,
                     const char *body, size_t size);
void http_call_cancel(http_call *call);
void http_call_finish(http_call *call);

/* Find an answer's header. */
bool http_call_header(const http_call *call, const char *name, char *value,
                      size_t size);

/* One whole call on a loop of its own; the caller finishes it. True when a
 * whole answer came. */
bool http_call_wait(http_call *call, const char *address, const char *method,
                    const char *path, const char *extra, const char *body,
                    uint64_t timeout_ms);

/* The same for JSON both ways; NULL when it failed or was not 200. */
json_t *http_json_wait(const char *address, const char *method,
                       const char *path, const char *body);

#endif
