/*
 * HTTP client for endpoints and other routers, on the libuv loop. An
 * exchange is one request and its response.
 *
 * Idle connections are pooled per address and reused, except for exchanges
 * that require a new connection: a request that must not run twice is never
 * written to a connection that the server may already have closed. Every
 * exchange has timeouts for connecting, for the response head and for each
 * following read. Reading stops while the owner has paused the exchange, which
 * limits the memory for response bodies.
 */
#ifndef LAVENDER_NET_ENDPOINTS_H
#define LAVENDER_NET_ENDPOINTS_H

#include <h2o.h>
#include <h2o/http1client.h>

#include "lavender/node.h"

typedef struct client_settings {
    lv_time connect_timeout;
    lv_time first_byte_timeout; /* from the request to the response head */
    lv_time idle_timeout;       /* between two reads of a response body */
    /* Time after which an idle connection is closed. */
    lv_time idle_connection_timeout;
    uint32_t max_pooled_connections; /* idle ones per address */
} client_settings;

typedef struct client_pool client_pool;

typedef struct exch_handle exch_handle;

typedef struct client_context {
    uv_loop_t *loop;
    client_settings settings;
    h2o_http1client_ctx_t http;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_timeout_t zero_timeout; /* defers a call to the next iteration */
    h2o_timeout_t connect_timeout;
    h2o_timeout_t first_byte_timeout;
    h2o_timeout_t idle_timeout;
    h2o_timeout_t no_timeout; /* h2o requires one; the others end sooner */
    client_pool *pools;       /* list, one per address */
    exch_handle *open_list;   /* open exchanges, linked through `next` */
    uint32_t open_exchange_count;
    uint64_t started_count;     /* exchanges started since client_init */
    uint64_t malformed_answers; /* responses that were, or not supported */
} client_context;

/* Initialize a client. Returns false and sets error when memory runs out. */
bool client_init(client_context *client, uv_loop_t *loop,
                 const client_settings *settings, err_error *error);

/* End every open exchange with EXCH_CONNECTION_LOST. */
void client_abort(client_context *client);

/* Close the idle connections and release the client's resources. No exchange
 * may be open. The loop must run once more afterwards to free the pools. */
void client_finish(client_context *client);

typedef enum exch_result {
    EXCH_COMPLETE,       /* the response ended */
    EXCH_DECLINED,       /* on_connected returned false: nothing was written */
    EXCH_CONNECT_FAILED, /* connecting failed: nothing was written */
    EXCH_CONNECTION_LOST, /* the connection was closed or timed out, or the
                             body is malformed */
    EXCH_PROTOCOL_ERROR   /* the head is malformed or not supported */
} exch_result;

typedef struct exch_response_head {
    int status;
    const h2o_header_t *headers;
    size_t header_count;
    uint64_t content_length; /* UINT64_MAX: no Content-Length header */
    bool is_framed; /* false: the body ends when the connection closes, so a
                       truncated response looks like a complete one */
} exch_response_head;

/* Callbacks to the owner of an exchange. Only on_end is required. */
typedef struct exch_ops {
    /* Called once connected, before anything is written. Returns false to
     * end the exchange without sending the request. */
    bool (*on_connected)(void *owner);
    /* Called with the response head. Returns false to close the connection
     * without a call of on_end. */
    bool (*on_head)(void *owner, const exch_response_head *head);
    /* Called with a part of the response body. Returns false to close the
     * connection without a call of on_end. */
    bool (*on_body)(void *owner, const char *bytes, size_t size);
    /* The last call. The exchange is freed when it returns. */
    void (*on_end)(void *owner, exch_result end);
} exch_ops;

typedef struct exch_request {
    const char *address; /* IP:PORT */
    bool needs_new_connection;
    const char *head; /* request line and headers with the final empty line */
    size_t head_size;
    const char *body; /* must stay valid until on_end or exch_cancel */
    size_t body_size;
    bool is_head_method; /* HEAD: the response has no body */
} exch_request;

/* Start an exchange. Returns NULL, and never calls on_end, when the address is
 * malformed or memory runs out. ops is not called before this returns. The
 * head is copied. The exchange is freed after on_end, after exch_cancel or
 * when on_head or on_body returns false. */
exch_handle *exch_start(client_context *client, const exch_request *request,
                        const exch_ops *ops, void *owner);

/* Close the connection and free the exchange without a further call of ops.
 * May be called from a callback of ops. */
void exch_cancel(exch_handle *exchange);

/* Stop or resume reading the response. */
void exch_set_paused(exch_handle *exchange, bool is_paused);

/* The response of an exchange that buffers the body up to a limit. status is 0
 * when the response is not complete. A body over the limit, or one that memory
 * does not suffice for, ends the exchange with EXCH_PROTOCOL_ERROR. The
 * response is valid only during the callback. */
typedef struct exch_response {
    exch_result result;
    int status;
    char content_type[LV_NAME_SIZE];
    char outcome[LV_NAME_SIZE]; /* Lavender-Outcome header, or "" */
    lv_time retry_after;
    const char *body;
    size_t body_size;
    bool is_complete;
} exch_response;

typedef void exch_on_response(void *context, const exch_response *answer);

typedef struct exch_call_options {
    const char *address;
    const char *method; /* "GET", "POST" or "DELETE" */
    const char *path;
    const char *headers; /* lines that end with CR LF, or "" */
    const char *body;
    size_t body_size;
    size_t max_response_size; /* of the response body, in bytes */
    bool needs_new_connection;
} exch_call_options;

typedef struct exch_call exch_call;

/* Send a request and call done once with the response. The body is copied.
 * Returns NULL, and never calls done, when the exchange could not be started.
 * The call is freed after done or by exch_call_cancel. */
exch_call *exch_call_start(client_context *client,
                           const exch_call_options *options,
                           exch_on_response *done, void *context);

/* Cancel and free a call without calling done. */
void exch_call_cancel(exch_call *call);

/* Polls the load of the endpoints that this instance dispatches, receives
 * their cache events and sends placement orders to endpoints. */
typedef struct load_poller load_poller;

load_poller *load_new(client_context *client, node_state *node,
                      lv_time interval);
void load_free(load_poller *poller);

/* Start the polls that are due. Call at the time that load_next_poll_time
 * returns. */
void load_tick(load_poller *poller, lv_time now);
lv_time load_next_poll_time(const load_poller *poller);

/* Send an order. Its result is reported with place_complete_order, unless the
 * order could not be sent. */
void load_send_order(load_poller *poller, const lv_order *order);

typedef struct load_counts {
    uint64_t polls;
    uint64_t failures; /* polls without a usable response */
    uint64_t bytes;    /* of load reports received */
    uint64_t orders;
    uint64_t orders_failed; /* orders without a response of status 200 */
    uint64_t cache_events;
    uint64_t cache_gaps; /* gaps in the numbers of cache events */
} load_counts;

void load_read_counts(const load_poller *poller, load_counts *counts);

/* Parse IP:PORT, or [IP]:PORT for IPv6. Returns false when text is malformed.
 */
bool addr_parse(const char *text, struct sockaddr_storage *address,
                socklen_t *size);

#endif
