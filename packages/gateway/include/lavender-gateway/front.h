/*
 * Connections of callers: reads one request at a time, rejects malformed and
 * oversized ones, and writes the response. The connection is read also while a
 * request is processed, so that a caller's disconnect is noticed at once.
 */
#ifndef LAVENDER_GATEWAY_FRONT_H
#define LAVENDER_GATEWAY_FRONT_H

#include "lavender-gateway/io.h"
#include "lavender-gateway/wire.h"

typedef struct front_server front_server;

typedef enum front_phase {
    FRONT_IDLE,       /* between two requests */
    FRONT_READING,    /* a request is being received */
    FRONT_PROCESSING, /* a request is complete, its response is not */
    FRONT_LINGERING   /* the last response is sent; input is discarded */
} front_phase;

/* Memory for data of clients: connections, requests that are received or in
 * progress, and responses that are not sent yet. Servers can share it. */
typedef struct front_memory {
    size_t used;  /* in bytes */
    size_t limit; /* in bytes; 0: none */
} front_memory;

/* Returns whether `size` more bytes are within the limit. */
bool front_has_memory(const front_memory *memory, size_t size);

/* Incomplete requests are listed by size class: class n holds those of up to
 * 512 << n bytes. */
#define FRONT_SIZE_CLASSES 24

typedef struct front_connection {
    io_stream stream; /* first member */
    front_server *server;
    struct front_connection *next;
    struct front_connection *previous;
    struct front_connection *next_idle;
    struct front_connection *previous_idle;
    bool is_linked_idle;
    struct front_connection *next_incomplete; /* of its class */
    struct front_connection *previous_incomplete;
    uint32_t size_class; /* FRONT_SIZE_CLASSES: in none */
    lv_time received_at; /* the last bytes of an incomplete request */
    front_phase phase;
    http_reader reader;
    const http_head *head; /* of the current request */
    buf_buffer body;       /* of the current request */
    buf_buffer pipelined;  /* bytes received after the current request */
    size_t pipelined_used; /* of them, read as requests since */
    lv_time phase_since;   /* FRONT_READING: the first byte arrived */
    lv_time idle_deadline; /* FRONT_IDLE: closes then */
    void *request;         /* set by the owner of the server; NULL: none */
    void (*on_response_end)(struct front_connection *connection);
    uint64_t discarded_bytes; /* received and not read as a request */
    size_t unsent_bytes;      /* in the write queue when it last changed */
    lv_time unsent_since;     /* that change */
    bool is_keep_alive; /* stays open after the current response; does not
                           change once the head is sent */
    bool is_chunked;    /* the current response is sent in chunks */
    bool has_no_body;   /* the current response has no body */
    bool is_reading_pipelined;
    bool discards_input;  /* that comes behind the current request */
    bool is_over_limit;   /* was accepted beyond max_connections */
    bool is_past_timeout; /* of its phase, with unread bytes */
    bool is_disconnected; /* the caller closed the connection */
} front_connection;

typedef struct front_ops {
    /* A request is complete; connection->head and body are valid until
     * front_end_response or front_abort_response. */
    void (*on_request)(front_server *server, front_connection *connection);

    /* The caller closed or reset the connection before its response was
     * complete; the connection closes after the call. */
    void (*on_disconnect)(front_server *server, front_connection *connection);

    /* All bytes written so far were handed to the kernel. */
    void (*on_drain)(front_server *server, front_connection *connection);

    /* A request was rejected before it was complete. */
    void (*on_rejected)(front_server *server, uint32_t status,
                        const char *reason);

    /* Input that may hold requests got no response: it was discarded after
     * the last response, or not read before the connection was closed. NULL:
     * not reported. */
    void (*on_input_dropped)(front_server *server, const char *reason,
                             uint64_t bytes);
} front_ops;

typedef struct front_counts {
    uint64_t accepted;      /* connections */
    uint64_t rejected;      /* malformed or oversized requests */
    uint64_t timed_out;     /* requests that were not complete in time */
    uint64_t over_limit;    /* connections beyond max_connections */
    uint64_t discarded;     /* connections whose input was discarded */
    uint64_t closed_unread; /* connections closed with unread input */
    uint64_t over_memory;   /* requests refused for want of memory */
    uint64_t closed_silent; /* connections whose caller did not read */

    /* Connections with an incomplete request, closed for new ones. */
    uint64_t closed_stalled;
} front_counts;

struct front_server {
    const front_ops *ops; /* first member */
    uv_tcp_t listener;
    uv_loop_t *loop;
    rt_limits limits;     /* from the current configuration */
    lv_time idle_timeout; /* in force since the last front_tick */
    front_connection *connections;
    front_connection *first_idle; /* the longest idle */
    front_connection *last_idle;
    uint32_t connection_count; /* open connections */
    uint32_t max_connections;  /* requests on further ones are refused */
    size_t pipelined_bytes;    /* of all connections */
    front_memory *memory;      /* may be set before the first connection */
    struct {
        front_connection *first; /* received nothing for the longest time */
        front_connection *last;
    } incomplete[FRONT_SIZE_CLASSES];
    bool has_inherited_options; /* see io_accept */
    bool is_draining; /* each connection closes after its next response */
    bool is_stopping; /* requests are refused */
    void *owner;
    front_counts counts;
};

/* Starts to accept connections; requests on more than `max_connections` are
 * refused, and far more are closed at once. Returns false with the error set
 * when the address cannot be bound. */
bool front_listen(front_server *server, uv_loop_t *loop, const front_ops *ops,
                  const struct sockaddr_in *address, uint32_t max_connections,
                  void *owner, err_error *error);

/* Enforces the timeouts of connections; to be called several times a
 * second. */
void front_tick(front_server *server, lv_time now);

/* Returns whether large requests and pipelined data have used up their share
 * of the memory. */
bool front_is_memory_scarce(const front_server *server);

/* Starts draining: a response that begins from now on is the last one of its
 * connection and says so, and idle connections close soon. A connection whose
 * response has begun is used for one more request. New connections are still
 * accepted. */
void front_drain(front_server *server);
void front_stop_listening(front_server *server);

/* Refuses requests from now on and closes each connection once its caller has
 * its last response; front_close_all ends those that remain. */
void front_stop(front_server *server);
void front_close_all(front_server *server);

/* The body size of a response that is sent in chunks, as its size is not known
 * yet. For a caller of HTTP/1.0, which cannot read chunks, the body ends with
 * the connection: front_abort_response resets it, but a body that is cut by
 * the end of the process cannot be told from a complete one. */
#define FRONT_SIZE_UNKNOWN UINT64_MAX

/* Sends the head of a response. `headers` holds complete header lines, other
 * than Connection, Content-Length and Transfer-Encoding; NULL: none. `size` is
 * that of the body in bytes, or FRONT_SIZE_UNKNOWN. */
void front_begin_response(front_connection *connection, uint32_t status,
                          const buf_buffer *headers, uint64_t size);
void front_send_body(front_connection *connection, const char *data,
                     size_t size);

/* Completes the response. A pipelined request may be passed to on_request
 * before the call returns. */
void front_end_response(front_connection *connection);

/* Closes the connection in such a way that the response does not appear to be
 * complete. */
void front_abort_response(front_connection *connection);

/* Sends a complete response with the JSON body {"error": reason}; `headers` as
 * for front_begin_response. */
void front_send_error(front_connection *connection, uint32_t status,
                      const buf_buffer *headers, const char *reason);

#endif
