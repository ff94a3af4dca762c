/*
 * TCP streams on a libuv loop, with what both sides of the gateway need:
 * writes that copy only what the socket does not take at once, a read buffer
 * shared by all streams of the loop, and one callback when a stream is gone.
 */
#ifndef LAVENDER_GATEWAY_IO_H
#define LAVENDER_GATEWAY_IO_H

#include <uv.h>

#include "lavender/error.h"
#include "lavender/types.h"

typedef struct io_stream io_stream;

typedef struct io_stream_ops {
    /* A connection that was begun with io_connect stands. */
    void (*on_connect)(io_stream *stream);

    void (*on_data)(io_stream *stream, const char *data, size_t size);

    /* The other side sent all it will; or, with is_error, the connection
     * failed. Nothing more is read. */
    void (*on_end)(io_stream *stream, bool is_error);

    /* Everything that waited to be written is with the system. */
    void (*on_drain)(io_stream *stream);

    /* After io_close: the memory may be freed. */
    void (*on_close)(io_stream *stream);
} io_stream_ops;

/* First member of each kind of stream. */
struct io_stream {
    const io_stream_ops *ops;
    uv_tcp_t tcp;
    uv_connect_t connecting;
    bool is_closing;
    bool is_reading;
    bool is_connected;
};

/* Parse "IP:PORT"; IPv4. */
bool io_parse_address(const char *text, struct sockaddr_in *address,
                      err_error *error);

bool io_stream_init(io_stream *stream, const io_stream_ops *ops,
                    uv_loop_t *loop);

/* Connect; on_connect or on_end follows. `silence` is how long the system may
 * wait for an acknowledgement of what was sent before it gives up. */
bool io_connect(io_stream *stream, const struct sockaddr_in *address,
                lv_time silence);

/* Take a waiting connection of a listener. */
bool io_accept(io_stream *stream, uv_stream_t *listener, lv_time silence);

void io_read_start(io_stream *stream);
void io_read_stop(io_stream *stream);

/* Send bytes; they are copied as needed. False when the stream failed; its
 * on_end follows. */
bool io_write(io_stream *stream, const void *data, size_t size);

/* Did the other side end what it sends, or reset? Asks the system, so that it
 * is known before the loop gets there: at a busy instance, callers leave while
 * their requests wait to be read. */
bool io_is_closed_remotely(const io_stream *stream);

/* Bytes that wait to be written. */
size_t io_write_queue_size(const io_stream *stream);

/* Send what waits and then the end of the stream; reading goes on. */
void io_shutdown(io_stream *stream);

void io_close(io_stream *stream);

/* Close so that the other side sees a reset. */
void io_reset(io_stream *stream);

/* Now, on the steady clock. */
lv_time io_now(void);

#endif
