/*
 * Connections of callers: reads one request at a time, refuses what is not a
 * proper one, and writes its answer. While a request is in hand the
 * connection is read on, so that a caller that leaves is noticed at once.
 */
#ifndef LAVENDER_GATEWAY_FRONT_H
#define LAVENDER_GATEWAY_FRONT_H

#include "lavender-gateway/io.h"
#include "lavender-gateway/wire.h"

typedef struct front_server front_server;

typedef enum front_phase {
    FRONT_IDLE,     /* between two requests */
    FRONT_READING,  /* a request comes in */
    FRONT_IN_HAND,  /* a request is whole and has no whole answer yet */
    FRONT_LINGERING /* the last answer is out; the caller may still send */
} front_phase;

typedef struct front_connection {
    io_stream stream; /* first member */
    front_server *server;
    struct front_connection *next;
    struct front_connection *previous;
    front_phase phase;
    http_reader reader;
    const http_head *head; /* of the request in hand */
    buf_buffer body;       /* of the request in hand */
    buf_buffer ahead;      /* bytes after the request in hand */
    lv_time since;         /* the phase began, or the first byte came */
    void *request;         /* of the server's owner; NULL: none */
    void (*on_answered)(struct front_connection *connection);
    bool is_keep_alive; /* open after the present answer */
    bool is_chunked;    /* the present answer is sent in chunks */
    bool has_no_body;   /* the present answer has none */
    bool is_gone;       /* the caller has closed */
} front_connection;

typedef struct front_ops {
    /* A whole request; connection->head and body are there until
     * front_end_response or front_abort_response. */
    void (*on_request)(front_server *server, front_connection *connection);

    /* The caller left while its request was in hand; it gets no answer. */
    void (*on_disconnect)(front_server *server, front_connection *connection);

    /* The caller has taken all that was written. */
    void (*on_drain)(front_server *server, front_connection *connection);

    /* A request that is not proper was refused. */
    void (*on_rejected)(front_server *server, uint32_t status,
                        const char *reason);
} front_ops;

typedef struct front_counts {
    uint64_t accepted;
    uint64_t rejected;
    uint64_t timed_out;
} front_counts;

struct front_server {
    const front_ops *ops; /* first member */
    uv_tcp_t listener;
    uv_loop_t *loop;
    rt_limits limits; /* of the configuration in force */
    front_connection *connections;
    uint32_t connection_count;
    uint32_t max_connections; /* further connections are closed */
    bool is_draining;         /* every answer is the last of its connection */
    void *owner;
    front_counts counts;
};

bool front_listen(front_server *server, uv_loop_t *loop, const front_ops *ops,
                  const struct sockaddr_in *address, uint32_t most,
                  void *owner, err_error *error);

/* Time-outs; call it some times a second. */
void front_tick(front_server *server, lv_time now);

/* Answers close their connections from now on; idle ones close. */
void front_drain(front_server *server);
void front_stop_listening(front_server *server);
void front_close_all(front_server *server);

/* Begin an answer: `headers` are whole lines; size is that of the body, or
 * FRONT_SIZE_UNKNOWN to send it in chunks, or FRONT_SIZE_UNTIL_CLOSE to end it
 * with the connection. */
#define FRONT_SIZE_UNKNOWN UINT64_MAX
#define FRONT_SIZE_UNTIL_CLOSE (UINT64_MAX - 1)
void front_begin_response(front_connection *connection, uint32_t status,
                          const buf_buffer *headers, uint64_t size);
void front_send_body(front_connection *connection, const char *data,
                     size_t size);
void front_end_response(front_connection *connection);

/* End the connection so that the answer does not look complete. */
void front_abort_response(front_connection *connection);

/* A whole answer of our own, with a short JSON body. */
void front_send_error(front_connection *connection, uint32_t status,
                      const buf_buffer *headers, const char *reason);

#endif
