/*
 * Connections to endpoints, one request at a time on each, and the exchange
 * of one request for its answer. An answer belongs to the request whose id
 * it bears; extra and late ones are passed over, and what remains unclear
 * retires the connection.
 */
#ifndef LAVENDER_GATEWAY_BACK_H
#define LAVENDER_GATEWAY_BACK_H

#include "lavender-gateway/io.h"
#include "lavender-gateway/wire.h"

typedef struct back_settings {
    lv_time connect_timeout;
    lv_time
        silence_timeout; /* unacknowledged bytes: the endpoint is not there */
    lv_time max_idle;    /* an idle connection is closed after it */
    lv_time idle_margin; /* before the endpoint's own idle time-out */
    lv_time max_idle_non_repeatable; /* idle time after which only requests
                          that may be repeated go out on the connection */
    uint32_t max_idle_connections; /* idle connections kept to one endpoint */
} back_settings;

typedef enum back_outcome {
    BACK_COMPLETE,    /* the answer is whole */
    BACK_NOT_SENT,    /* no byte was sent */
    BACK_NO_RESPONSE, /* sent, and no proper answer came */
    BACK_TRUNCATED    /* the answer began and broke off */
} back_outcome;

typedef struct back_pool back_pool;
typedef struct back_connection back_connection;
typedef struct back_exchange back_exchange;

typedef struct back_exchange_ops {
    /* The head of the answer to this request. */
    void (*on_head)(back_exchange *exchange, const http_head *head,
                    const wire_response *answer);
    void (*on_body)(back_exchange *exchange, const char *data, size_t size);

    /* Called once, unless the exchange is cancelled. */
    void (*on_end)(back_exchange *exchange, back_outcome outcome,
                   const char *reason);
} back_exchange_ops;

/* First member of its owner's part for one attempt. */
struct back_exchange {
    const back_exchange_ops *ops;
    back_connection *connection;   /* NULL: none is in use */
    char id[WIRE_ATTEMPT_ID_SIZE]; /* of the request; "": it has none */
    bool is_head_request;
    bool is_non_repeatable; /* may not run twice: no connection that idled */
    bool has_answer;
};

typedef struct back_counts {
    uint64_t opened;
    uint64_t reused;
    uint64_t
        unmatched_responses; /* answers that belonged to no request in hand */
} back_counts;

struct back_pool {
    back_settings settings;
    uv_loop_t *loop;
    const wire_ops *wire;
    eng_table *endpoints;
    back_connection *connections; /* all of them */
    uint32_t count;
    back_counts counts;
};

void back_init(back_pool *pool, uv_loop_t *loop, const back_settings *settings,
               const wire_ops *wire, eng_table *endpoints);

/* Send a message to an endpoint. Ends with on_end, which may come before the
 * call has returned, or with back_cancel_exchange. False when nothing could be
 * begun: then nothing was sent, and on_end does not come. */
bool back_start_exchange(back_pool *pool, back_exchange *exchange,
                         lv_handle endpoint, const buf_buffer *message);

/* Stop the endpoint's work by closing the connection. */
void back_cancel_exchange(back_exchange *exchange);

/* Stop and go on reading the answer. */
void back_pause_exchange(back_exchange *exchange);
void back_resume_exchange(back_exchange *exchange);

/* Time-outs and idle connections; call it some times a second. */
void back_tick(back_pool *pool, lv_time now);

void back_close_all(back_pool *pool);

#endif
