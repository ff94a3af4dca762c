#define _GNU_SOURCE /* POLLRDHUP */

#include "lavender-gateway/io.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "io-imp.h"

#define READ_BUFFER_BYTES ((size_t)64 * 1024)

/* A queued write and a copy of its bytes. */
typedef struct io_write_request {
    uv_write_t super;
    size_t size;
    char data[];
} io_write_request;

/* All streams share it: there is one loop on one thread, and on_data uses a
 * stream's data before the next read. */
static char read_buffer[READ_BUFFER_BYTES];

/* While a callback of a stream runs, what it writes is collected. */
static bool is_batching;
static io_stream *batched_streams;
static uint64_t write_count;
static uint64_t unread_query_count;

lv_time
io_now(void)
{
    return uv_hrtime() / 1000;
}

bool
io_parse_address(const char *text, struct sockaddr_in *address,
                 err_error *error)
{
    char host[LV_ADDRESS_SIZE];
    const char *colon = strrchr(text, ':');
    char *end;
    long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof host) {
        return err_set(error, ERR_SYNTAX,
                       "write IP:PORT, such as 192.0.2.1:7000",
                       "'%s' is not an IP:PORT address", text);
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port < 0 || port > 65535 ||
        uv_ip4_addr(host, (int)port, address) != 0) {
        return err_set(
            error, ERR_SYNTAX,
            "write IP:PORT with an IPv4 address and a port of at most 65535",
            "'%s' is not an IP:PORT address", text);
    }
    return true;
}

bool
io_stream_init(io_stream *stream, const io_stream_ops *ops, uv_loop_t *loop)
{
    memset(stream, 0, sizeof *stream);
    stream->ops = ops;
    if (uv_tcp_init(loop, &stream->tcp) != 0) {
        return false;
    }
    stream->tcp.data = stream;
    return true;
}

static void
on_connected(uv_connect_t *request, int status)
{
    io_stream *stream = request->data;

    if (stream->is_closing) {
        return;
    }
    if (status != 0) {
        stream->ops->on_end(stream, true);
        return;
    }
    stream->is_connected = true;
    stream->ops->on_connect(stream);
}

bool
io_connect(io_stream *stream, const struct sockaddr_in *address,
           lv_time silence_timeout)
{
    stream->connect_request.data = stream;
    if (uv_tcp_connect(&stream->connect_request, &stream->tcp,
                       (const struct sockaddr *)address, on_connected) != 0) {
        return false;
    }
    io_set_options(&stream->tcp, silence_timeout);
    return true;
}

bool
io_accept(io_stream *stream, uv_stream_t *listener, lv_time silence_timeout,
          bool *are_inherited)
{
    if (uv_accept(listener, (uv_stream_t *)&stream->tcp) != 0) {
        return false;
    }
    stream->is_connected = true;
    if (are_inherited != NULL && !*are_inherited) {
        *are_inherited = io_has_options(&stream->tcp, silence_timeout);
    }
    if (are_inherited == NULL || !*are_inherited) {
        io_set_options(&stream->tcp, silence_timeout);
    }
    return true;
}

static void
provide_read_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, READ_BUFFER_BYTES);
}

static bool write_now(io_stream *stream, const void *data, size_t size);

/* Sends the collected bytes of a stream. */
static bool
send_batch(io_stream *stream)
{
    buf_buffer batch = stream->batch;
    bool is_sent;

    buf_init(&stream->batch);
    is_sent = !batch.has_failed &&
              (batch.size == 0 || write_now(stream, batch.data, batch.size));
    buf_finish(&batch);
    return is_sent;
}

void
io_flush(io_stream *stream)
{
    if (!stream->is_closing && !send_batch(stream)) {
        io_read_stop(stream);
        stream->ops->on_end(stream, true);
    }
}

/* Sends what callbacks wrote since the batch began. The callback of a stream
 * that cannot be sent may write to others, so that the list is taken again
 * until it is empty. */
static void
send_batched_streams(void)
{
    while (batched_streams != NULL) {
        io_stream *stream = batched_streams;

        batched_streams = stream->next_batched;
        stream->is_batched = false;
        io_flush(stream);
    }
}

static void
begin_batch(bool *was_batching)
{
    *was_batching = is_batching;
    is_batching = true;
}

static void
end_batch(bool was_batching)
{
    if (!was_batching) {
        send_batched_streams();
        is_batching = false;
    }
}

/* libuv reports a hang-up after a short read as UV_EOF even when the
 * connection was reset; the socket's SO_ERROR still holds the reset. */
static bool
has_socket_error(io_stream *stream)
{
    uv_os_fd_t socket;
    int error = 0;
    socklen_t size = sizeof error;

    return uv_fileno((uv_handle_t *)&stream->tcp, &socket) == 0 &&
           getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error != 0;
}

static void
on_read(uv_stream_t *handle, ssize_t size, const uv_buf_t *buffer)
{
    io_stream *stream = handle->data;
    bool was_batching;

    begin_batch(&was_batching);
    if (size > 0) {
        stream->ops->on_data(stream, buffer->base, (size_t)size);
    }
    else if (size < 0) {
        io_read_stop(stream);
        stream->ops->on_end(stream,
                            size != UV_EOF || has_socket_error(stream));
    }
    end_batch(was_batching);
}

void
io_read_start(io_stream *stream)
{
    if (!stream->is_reading && !stream->is_closing) {
        stream->is_reading = true;
        uv_read_start((uv_stream_t *)&stream->tcp, provide_read_buffer,
                      on_read);
    }
}

void
io_read_stop(io_stream *stream)
{
    if (stream->is_reading && !stream->is_closing) {
        stream->is_reading = false;
        uv_read_stop((uv_stream_t *)&stream->tcp);
    }
}

static void
count_queued(io_stream *stream, size_t added, size_t removed)
{
    if (stream->queued_counter != NULL) {
        *stream->queued_counter += added - removed;
    }
}

static void
on_written(uv_write_t *request, int status)
{
    io_stream *stream = request->handle->data;
    bool was_batching;

    count_queued(stream, 0, ((io_write_request *)request)->size);
    free(request);
    if (stream->is_closing || status == UV_ECANCELED) {
        return;
    }
    if (status != 0) {
        io_read_stop(stream);
        stream->ops->on_end(stream, true);
    }
    else if (io_write_queue_size(stream) == 0) {
        begin_batch(&was_batching);
        stream->ops->on_drain(stream);
        end_batch(was_batching);
    }
}

static bool
write_now(io_stream *stream, const void *data, size_t size)
{
    uv_stream_t *handle = (uv_stream_t *)&stream->tcp;
    uv_buf_t buffer = uv_buf_init((char *)data, (unsigned int)size);
    io_write_request *request;
    int sent = uv_try_write(handle, &buffer, 1);

    write_count++;

    if (sent == (int)size) {
        return true;
    }
    if (sent < 0) {
        sent = 0; /* the queued write fails with the same error */
    }
    size -= (size_t)sent;
    request = malloc(sizeof *request + size);
    if (request == NULL) {
        return false;
    }
    request->size = size;
    memcpy(request->data, (const char *)data + sent, size);
    buffer = uv_buf_init(request->data, (unsigned int)size);
    if (uv_write(&request->super, handle, &buffer, 1, on_written) != 0) {
        free(request);
        return false;
    }
    count_queued(stream, size, 0);
    return true;
}

bool
io_write(io_stream *stream, const void *data, size_t size)
{
    if (!is_batching || stream->is_closing) {
        return write_now(stream, data, size);
    }
    if (!stream->is_batched) {
        stream->is_batched = true;
        stream->next_batched = batched_streams;
        batched_streams = stream;
    }
    buf_append(&stream->batch, data, size);
    return !stream->batch.has_failed;
}

bool
io_is_closed_remotely(const io_stream *stream)
{
    uv_os_fd_t descriptor;
    char byte;
    ssize_t count;

    if (uv_fileno((const uv_handle_t *)&stream->tcp, &descriptor) != 0) {
        return true;
    }
    count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 ||
           (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Returns whether any of the events, or an error or hang-up, is pending. */
static bool
has_pending_event(const io_stream *stream, short events)
{
    struct pollfd descriptor = {.events = events};

    return uv_fileno((const uv_handle_t *)&stream->tcp, &descriptor.fd) != 0 ||
           poll(&descriptor, 1, 0) > 0;
}

bool
io_is_hung_up(const io_stream *stream)
{
    return has_pending_event(stream, POLLRDHUP);
}

bool
io_has_unseen_event(const io_stream *stream)
{
    return has_pending_event(stream, stream->is_connected ? POLLIN : POLLOUT);
}

size_t
io_unread_size(const io_stream *stream)
{
    uv_os_fd_t descriptor;
    int size = 0;

    unread_query_count++;
    if (uv_fileno((const uv_handle_t *)&stream->tcp, &descriptor) != 0 ||
        ioctl(descriptor, FIONREAD, &size) != 0) {
        return 0;
    }
    return (size_t)size;
}

uint64_t
io_count_unread_queries(void)
{
    return unread_query_count;
}

uint64_t
io_count_writes(void)
{
    return write_count;
}

size_t
io_write_queue_size(const io_stream *stream)
{
    return stream->batch.size +
           uv_stream_get_write_queue_size((const uv_stream_t *)&stream->tcp);
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
    (void)status;
    free(request);
}

void
io_shutdown(io_stream *stream)
{
    uv_shutdown_t *request = malloc(sizeof *request);

    send_batch(stream);
    if (request == NULL) {
        return;
    }
    if (uv_shutdown(request, (uv_stream_t *)&stream->tcp, on_shutdown) != 0) {
        free(request);
    }
}

static void
on_closed(uv_handle_t *handle)
{
    io_stream *stream = handle->data;

    buf_finish(&stream->batch);
    stream->ops->on_close(stream);
}

void
io_close(io_stream *stream)
{
    if (!stream->is_closing) {
        send_batch(stream);
        stream->is_closing = true;
        uv_close((uv_handle_t *)&stream->tcp, on_closed);
    }
}

/* libuv refuses to reset a connection that is being shut down. */
static void
close_with_reset(uv_tcp_t *tcp)
{
    static const struct linger option = {.l_onoff = 1, .l_linger = 0};
    uv_os_fd_t socket;

    if (uv_fileno((uv_handle_t *)tcp, &socket) == 0) {
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    uv_close((uv_handle_t *)tcp, on_closed);
}

void
io_reset(io_stream *stream)
{
    if (!stream->is_closing) {
        send_batch(stream);
        stream->is_closing = true;
        if (uv_tcp_close_reset(&stream->tcp, on_closed) != 0) {
            close_with_reset(&stream->tcp);
        }
    }
}
