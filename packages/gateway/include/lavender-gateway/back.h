/*
 * Connections to endpoints and the exchange of one request for its response; a
 * connection carries one exchange at a time. A response belongs to the request
 * whose id it carries. Responses to other requests, such as duplicate and late
 * ones, are skipped, and a connection whose state is unclear is not used
 * again.
 */
#ifndef LAVENDER_GATEWAY_BACK_H
#define LAVENDER_GATEWAY_BACK_H

#include "lavender-gateway/io.h"
#include "lavender-gateway/wire.h"

typedef struct back_settings {
    lv_time connect_timeout;

    /* How long sent bytes may stay unacknowledged before the connection
     * fails. */
    lv_time silence_timeout;

    /* The idle time after which a connection is closed. */
    lv_time max_idle;

    /* How long before the endpoint's own idle timeout a connection is
     * closed. */
    lv_time idle_margin;

    /* The idle time after which a connection is used for repeatable requests
     * only. */
    lv_time max_idle_non_repeatable;

    /* Per endpoint. */
    uint32_t max_idle_connections;
} back_settings;

typedef enum back_outcome {
    BACK_COMPLETE,    /* the response is complete */
    BACK_NOT_SENT,    /* no byte of the request was sent */
    BACK_WITHHELD,    /* nor was it, since by then the endpoint may be sent no
                         request */
    BACK_NO_RESPONSE, /* bytes may have been sent; no valid head arrived */
    BACK_TRUNCATED    /* the response failed after its head */
} back_outcome;

typedef struct back_pool back_pool;
typedef struct back_connection back_connection;
typedef struct back_exchange back_exchange;

typedef struct back_exchange_ops {
    /* The head of the response to this request; both arguments are valid only
     * during the call. */
    void (*on_head)(back_exchange *exchange, const http_head *head,
                    const wire_response *response);
    void (*on_body)(back_exchange *exchange, const char *data, size_t size);

    /* Called once, unless the exchange is cancelled. `reason` is a static
     * string for the log. */
    void (*on_end)(back_exchange *exchange, back_outcome outcome,
                   const char *reason);
} back_exchange_ops;

/* The first member of the object that describes one attempt. */
struct back_exchange {
    const back_exchange_ops *ops;
    back_connection *connection; /* NULL: the exchange is not in progress */
    const char *id; /* of the request, valid while in progress; "": none */
    bool is_head_request;

    /* The request must not run twice, so it is not sent on a connection that
     * was idle for max_idle_non_repeatable or longer. */
    bool is_non_repeatable;

    bool has_response_head;

    /* What was wrong with the response, for the log; NULL: it was not
     * malformed. */
    const char *fault;
};

typedef struct back_counts {
    uint64_t opened; /* connections */
    uint64_t reused; /* connections that were idle */

    uint64_t withheld; /* requests: BACK_WITHHELD */

    /* Responses to other requests than the current one, and data received on
     * an idle connection. */
    uint64_t unmatched_responses;

    uint64_t malformed_responses;
} back_counts;

/* Idle connections to one endpoint. */
typedef struct back_idle_list {
    back_connection *first; /* the one that became idle last */
    uint32_t count;
} back_idle_list;

struct back_pool {
    back_settings settings;
    uv_loop_t *loop;
    const wire_ops *wire;
    eng_table *endpoints;

    /* Called with the head of each response to a request of ours, before its
     * exchange; or NULL. */
    void (*on_response)(void *owner, lv_handle endpoint,
                        const back_exchange *exchange, const http_head *head,
                        const wire_response *response);

    /* Called when an endpoint ends a connection that was established, before
     * its exchange ends; or NULL. */
    void (*on_remote_end)(void *owner, lv_handle endpoint);

    /* Called when a connection of back_probe cannot be established; or NULL.
     */
    void (*on_probe_failed)(void *owner, lv_handle endpoint);
    void *owner;
    back_connection *connections; /* to all endpoints */
    back_idle_list *idle;         /* by endpoint */
    uint32_t idle_capacity;
    uint32_t connection_count;
    bool has_unconfirmed; /* bodies for back_confirm_ends */
    size_t *memory_used;  /* counts bytes of unsent requests; or NULL */
    back_counts counts;
};

void back_init(back_pool *pool, uv_loop_t *loop, const back_settings *settings,
               const wire_ops *wire, eng_table *endpoints);

/* Sends a request message to an endpoint. The exchange ends with on_end, which
 * may be called before this function returns, or with back_cancel_exchange.
 * Returns false when the exchange cannot be started; then nothing is sent and
 * on_end is not called. */
bool back_start_exchange(back_pool *pool, back_exchange *exchange,
                         lv_handle endpoint, const buf_buffer *message);

/* Returns whether a byte of the request may have left: not while the
 * connection is being opened. */
bool back_was_sent(const back_exchange *exchange);

/* Returns whether the endpoint sent something, or closed the connection, that
 * was not read yet; a late loop must not take it for silent. */
bool back_has_unseen_event(const back_exchange *exchange);

/* Closes the connection, which tells the endpoint to stop its work; on_end is
 * not called. */
void back_cancel_exchange(back_exchange *exchange);

/* Returns whether a connection to the endpoint is established, as far as the
 * system knows. */
bool back_is_connected(const back_pool *pool, lv_handle endpoint);

/* Opens a connection without a request, to learn whether the endpoint accepts
 * connections. It stays open for later requests. */
void back_probe(back_pool *pool, lv_handle endpoint);

/* Ends the exchanges whose connections to the endpoint are being opened, with
 * BACK_WITHHELD. */
void back_withhold(back_pool *pool, lv_handle endpoint);

/* Suspend and resume reading of the response. */
void back_pause_exchange(back_exchange *exchange);
void back_resume_exchange(back_exchange *exchange);

/* Enforces the timeouts of connections; to be called several times a
 * second. */
void back_tick(back_pool *pool, lv_time now);

/* Ends the exchanges whose body ended with its connection: as complete if the
 * endpoint has an established connection, and as truncated if it cannot be
 * reached. To be called at every tick of the timer. */
void back_confirm_ends(back_pool *pool, lv_time now);

/* Closes all connections and cancels their exchanges; run the loop before
 * back_finish. */
void back_close_all(back_pool *pool);

/* Frees the memory. */
void back_finish(back_pool *pool);

#endif
