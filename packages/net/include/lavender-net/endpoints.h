/*
 * HTTP exchanges with endpoints and other routers, on the libuv loop.
 *
 * Connections are kept per address and used again, but for exchanges that
 * ask for a fresh one: a request that must not run twice is never written
 * on a connection that the other side may already have closed. Every
 * exchange has deadlines for connecting, for the first byte of the answer
 * and for silence after that. Reading stops while the receiver is paused,
 * so that memory stays bounded.
 */
#ifndef LAVENDER_NET_ENDPOINTS_H
#define LAVENDER_NET_ENDPOINTS_H

#include <h2o.h>
#include <h2o/http1client.h>

#include "lavender/node.h"

typedef struct client_settings {
    lv_time connect_timeout;
    lv_time first_byte_timeout; /* from the request to the answer's head */
    lv_time idle_timeout;       /* silence in the middle of an answer */
    lv_time
        idle_connection_timeout; /* an unused connection is kept this long */
    uint32_t max_pooled_connections; /* kept unused for one address */
} client_settings;

typedef struct client_pool client_pool;

typedef struct exch_handle exch_handle;

typedef struct client_context {
    uv_loop_t *loop;
    client_settings settings;
    h2o_http1client_ctx_t http;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_timeout_t zero_timeout; /* for what must not happen at once */
    h2o_timeout_t connect_timeout;
    h2o_timeout_t first_byte_timeout;
    h2o_timeout_t idle_timeout;
    h2o_timeout_t no_timeout;     /* h2o asks for one; ours end sooner */
    client_pool *pools;           /* list, one for each address in use */
    exch_handle *first;           /* list of the open exchanges */
    uint32_t open_exchange_count; /* open now */
    uint64_t started;
} client_context;

bool client_init(client_context *client, uv_loop_t *loop,
                 const client_settings *settings, err_error *error);

/* End every exchange that is open as lost. */
void client_abort(client_context *client);

/* Close unused connections. No exchange may be open; the loop must run
 * once more afterwards. */
void client_finish(client_context *client);

typedef enum exch_result {
    EXCH_COMPLETE,        /* the answer came to its end */
    EXCH_DECLINED,        /* `ready` said no: nothing was written */
    EXCH_CONNECT_FAILED,  /* no connection: nothing was written */
    EXCH_CONNECTION_LOST, /* the connection ended or went silent */
    EXCH_PROTOCOL_ERROR   /* not HTTP */
} exch_result;

typedef struct exch_response_head {
    int status;
    const h2o_header_t *headers;
    size_t header_count;
    uint64_t content_length; /* UINT64_MAX: not stated */
    bool is_framed; /* false: only the close of the connection ends it, so a
                       cut answer can not be told from a whole one */
} exch_response_head;

/* What the owner of an exchange does. Any may be NULL but `end`. */
typedef struct exch_ops {
    /* Connected, nothing written yet: may the request go out? */
    bool (*on_connected)(void *owner);
    /* The head came; false drops the connection without a call of `end`. */
    bool (*on_head)(void *owner, const exch_response_head *head);
    /* A piece of the body; false as above. */
    bool (*on_body)(void *owner, const char *bytes, size_t size);
    /* The last call; the exchange is gone when it returns. */
    void (*on_end)(void *owner, exch_result end);
} exch_ops;

typedef struct exch_request {
    const char *address; /* IP:PORT */
    bool needs_new_connection;
    const char *head; /* request line and headers, with the empty line */
    size_t head_size;
    const char *body; /* must live until `end` or exch_cancel */
    size_t body_size;
    bool is_head_method; /* the answer has no body */
} exch_request;

/* Start an exchange; NULL when the address is malformed or memory ends, and
 * then `end` is not called. No call of ops is made before this returns. */
exch_handle *exch_start(client_context *client, const exch_request *request,
                        const exch_ops *ops, void *owner);

/* Drop the connection; no further call of ops. Allowed in a call of ops. */
void exch_cancel(exch_handle *exchange);

/* Stop reading the answer, or go on. */
void exch_set_paused(exch_handle *exchange, bool is_paused);

/* A small exchange whose whole answer is kept, up to a bound. done is called
 * once, with status 0 when there was no whole answer. */
typedef struct exch_response {
    exch_result result;
    int status;
    char content_type[LV_NAME_SIZE];
    char outcome[LV_NAME_SIZE]; /* Lavender-Outcome of the answer, or "" */
    lv_time retry_after;
    const char *body;
    size_t body_size;
    bool is_complete;
} exch_response;

typedef void exch_on_response(void *context, const exch_response *answer);

/* method is "GET", "POST" or "DELETE"; headers is "" or lines that end with
 * CR LF. The body is copied. Returns false when it could not be started. */
typedef struct exch_call_options {
    const char *address;
    const char *method;
    const char *path;
    const char *headers;
    const char *body;
    size_t body_size;
    size_t max_response_size;
    bool needs_new_connection;
} exch_call_options;

typedef struct exch_call exch_call;

exch_call *exch_call_start(client_context *client,
                           const exch_call_options *simple,
                           exch_on_response *done, void *context);
void exch_call_cancel(exch_call *call);

/* Polls the load of the endpoints that this instance dispatches, takes their
 * cache events, and sends placement orders. */
typedef struct load_poller load_poller;

load_poller *load_new(client_context *client, node_state *node,
                      lv_time interval);
void load_free(load_poller *poller);

/* Start the polls that are due. Call at each time load_next_poll_time names.
 */
void load_tick(load_poller *poller, lv_time now);
lv_time load_next_poll_time(const load_poller *poller);
void load_send_order(load_poller *poller, const lv_order *order);

typedef struct load_counts {
    uint64_t polls;
    uint64_t failures;
    uint64_t bytes;
    uint64_t orders;
    uint64_t orders_failed;
    uint64_t cache_events;
    uint64_t cache_gaps;
} load_counts;

void load_read_counts(const load_poller *poller, load_counts *counts);

/* Parse IP:PORT; IPv6 as [ADDRESS]:PORT. */
bool addr_parse(const char *text, struct sockaddr_storage *address,
                socklen_t *size);

#endif
