#ifndef LAVENDER_GATEWAY_BACK_IMP_H
#define LAVENDER_GATEWAY_BACK_IMP_H

#include "lavender-gateway/back.h"

struct back_connection {
    io_stream stream; /* first member */
    back_pool *pool;
    back_connection *next;
    back_connection *previous;
    back_connection *next_idle;
    back_connection *previous_idle;
    bool is_idle; /* in the list of its endpoint */
    lv_handle endpoint;
    back_exchange *exchange; /* NULL: idle or closing */
    http_reader reader;
    buf_buffer message;  /* to be sent once connected */
    lv_time state_since; /* start of the connection attempt or the idle time */
    lv_time max_idle;    /* closed after so much idle time */
    lv_time ended_at;   /* when a body without a length ended; 0: it has not */
    bool has_probed;    /* since then */
    size_t skipped;     /* bytes of 1xx responses and of other requests' ones
                           since the request */
    bool is_probe;      /* opened without a request */
    bool has_sent;      /* a request was sent */
    bool has_answered;  /* an earlier request */
    bool is_keep_alive; /* the endpoint keeps it open after the response */
    bool is_unmatched;  /* the current message belongs to another request */
    bool is_interim;    /* the current message is a 1xx response */
};

typedef struct back_result {
    back_outcome outcome;
    const char *reason;
} back_result;

/* back-response.c: reading of responses. */

extern const http_reader_ops back_reader_ops;

/* Processes received bytes. Returns true, with the result set, when the
 * exchange has ended. */
bool back_receive(back_connection *connection, const char *data, size_t size,
                  back_result *result);

/* Processes the end of the connection. Returns whether it is the end of a body
 * without a length, which is to be confirmed; else the exchange has ended and
 * the result is set. */
bool back_receive_end(back_connection *connection, bool is_error,
                      back_result *result);

/* back-confirm.c: the connections of a process that is killed end in order, so
 * a body without a length counts as whole only if its endpoint runs on. */

void back_await_confirmation(back_connection *connection);

/* A probe of the endpoint was refused, so the bodies that wait for
 * confirmation were cut. */
void back_handle_probe_failure(back_pool *pool, lv_handle endpoint);

/* back-pool.c: ends an exchange and keeps its connection for reuse or closes
 * it. */
void back_finish_exchange(back_connection *connection, back_outcome outcome,
                          const char *reason);

#endif
