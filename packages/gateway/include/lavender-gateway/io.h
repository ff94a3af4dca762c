/*
 * Non-blocking TCP streams on a libuv loop. A write copies only the bytes that
 * the socket does not accept at once, all streams of the loop share one read
 * buffer, and one callback reports that a stream is closed and may be freed.
 *
 * What on_data, on_end and on_drain write is sent when they return, with one
 * system call for each stream: small writes otherwise cost most of a busy
 * process's time.
 */
#ifndef LAVENDER_GATEWAY_IO_H
#define LAVENDER_GATEWAY_IO_H

#include <uv.h>

#include "lavender/buffer.h"
#include "lavender/error.h"
#include "lavender/types.h"

typedef struct io_stream io_stream;

typedef struct io_stream_ops {
    /* A connection attempt made by io_connect succeeded. */
    void (*on_connect)(io_stream *stream);

    /* `data` is valid only during the call. */
    void (*on_data)(io_stream *stream, const char *data, size_t size);

    /* The remote side sent its last byte or, with is_error, the connection
     * attempt or the connection failed. No more data is read. */
    void (*on_end)(io_stream *stream, bool is_error);

    /* All queued bytes were handed to the kernel. */
    void (*on_drain)(io_stream *stream);

    /* The stream is closed after io_close or io_reset; its memory may be
     * freed. */
    void (*on_close)(io_stream *stream);
} io_stream_ops;

/* The first member of every stream type. */
struct io_stream {
    const io_stream_ops *ops;
    uv_tcp_t tcp;
    uv_connect_t connect_request;
    bool is_closing;
    bool is_reading;
    bool is_connected;
    bool is_batched;  /* in the list of streams to send */
    buf_buffer batch; /* bytes to send when the callback returns */
    io_stream *next_batched;
    size_t *queued_counter; /* sum of queued bytes, of several streams; or
                               NULL */
};

/* Parses an IPv4 "IP:PORT"; returns false with the error set when `text` is
 * not one. */
bool io_parse_address(const char *text, struct sockaddr_in *address,
                      err_error *error);

bool io_stream_init(io_stream *stream, const io_stream_ops *ops,
                    uv_loop_t *loop);

/* Starts a connection attempt; on_connect or on_end reports its result.
 * `silence_timeout` is how long sent bytes may stay unacknowledged before the
 * kernel drops the connection; 0 keeps the kernel's default. Returns false
 * when the attempt cannot be started; then neither callback is called. */
bool io_connect(io_stream *stream, const struct sockaddr_in *address,
                lv_time silence_timeout);

/* Accepts a pending connection of a listener; `silence_timeout` as for
 * io_connect. `are_inherited`, of a listener that io_prepare_listener
 * prepared, is false at first and set once the kernel is seen to give its
 * options to the connections: then setting them, most of the cost of a
 * connection, is left out. NULL: they are always set. */
bool io_accept(io_stream *stream, uv_stream_t *listener,
               lv_time silence_timeout, bool *are_inherited);

/* Sets the options of connections, and the size of their receive buffers, on
 * their listener. */
void io_prepare_listener(uv_tcp_t *listener, lv_time silence_timeout);

/* Sets a small receive buffer. */
void io_limit_unread(io_stream *stream);

void io_read_start(io_stream *stream);
void io_read_stop(io_stream *stream);

/* Sends bytes and copies those that must be queued. Returns false when they
 * cannot be queued; some may have been sent by then. An error of the
 * connection is reported by on_end. */
bool io_write(io_stream *stream, const void *data, size_t size);

/* Returns whether the remote side has closed or reset the connection and no
 * unread data is left. Asks the kernel instead of waiting for the loop's read
 * event, because callers of a busy instance disconnect while their requests
 * still wait to be read. */
bool io_is_closed_remotely(const io_stream *stream);

/* Returns whether the remote side has closed or reset the connection, also
 * when unread data is left. The end of a connection is seen once all data
 * before it has arrived. */
bool io_is_hung_up(const io_stream *stream);

/* Returns whether the loop has yet to report the result of the connection
 * attempt, data, or the end of the connection. */
bool io_has_unseen_event(const io_stream *stream);

/* Returns the number of bytes that arrived and were not read yet. */
size_t io_unread_size(const io_stream *stream);

/* Sends what callbacks have written so far. An error is reported by on_end. */
void io_flush(io_stream *stream);

/* Returns the number of bytes that are queued for writing. */
size_t io_write_queue_size(const io_stream *stream);

/* Sends the queued bytes and then a FIN; reading continues. */
void io_shutdown(io_stream *stream);

void io_close(io_stream *stream);

/* Closes the connection with a RST. */
void io_reset(io_stream *stream);

/* Returns how often io_unread_size asked the kernel. */
uint64_t io_count_unread_queries(void);

/* Returns how often bytes of any stream were handed to the kernel. */
uint64_t io_count_writes(void);

/* Returns the current time of the monotonic clock. */
lv_time io_now(void);

#endif
