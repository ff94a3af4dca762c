#include "lavender-gateway/io.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* A connection that went silent is found within five seconds, without any
 * call of ours: three probes a second apart after two quiet seconds. */
#define KEEP_IDLE_S 2
#define KEEP_INTERVAL_S 1
#define KEEP_PROBES 3

#define READ_SIZE ((size_t)64 * 1024)

typedef struct io_write_request {
    uv_write_t super;
    char data[];
} io_write_request;

/* One loop on one thread: a stream's data is used before the next read. */
static char read_buffer[READ_SIZE];

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
        return err_set(error, ERR_SYNTAX, "write IP:PORT",
                       "'%s' is no address", text);
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port < 0 || port > 65535 ||
        uv_ip4_addr(host, (int)port, address) != 0) {
        return err_set(error, ERR_SYNTAX, "write IP:PORT, with an IPv4",
                       "'%s' is no address", text);
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
set_options(io_stream *stream, lv_time silence)
{
    unsigned int milliseconds = (unsigned int)(silence / LV_MILLISECOND);
    uv_os_fd_t socket;

    static const int interval = KEEP_INTERVAL_S;
    static const int probes = KEEP_PROBES;

    uv_tcp_nodelay(&stream->tcp, 1);
    uv_tcp_keepalive(&stream->tcp, 1, KEEP_IDLE_S);
    if (uv_fileno((uv_handle_t *)&stream->tcp, &socket) != 0) {
        return;
    }
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    if (silence > 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                   sizeof milliseconds);
    }
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
           lv_time silence)
{
    stream->connecting.data = stream;
    if (uv_tcp_connect(&stream->connecting, &stream->tcp,
                       (const struct sockaddr *)address, on_connected) != 0) {
        return false;
    }
    set_options(stream, silence);
    return true;
}

bool
io_accept(io_stream *stream, uv_stream_t *listener, lv_time silence)
{
    if (uv_accept(listener, (uv_stream_t *)&stream->tcp) != 0) {
        return false;
    }
    stream->is_connected = true;
    set_options(stream, silence);
    return true;
}

static void
allocate(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, READ_SIZE);
}

/* libuv tells a hang-up after a short read as the end of the stream, also
 * when the connection was reset; the socket still knows. */
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

    if (size > 0) {
        stream->ops->on_data(stream, buffer->base, (size_t)size);
    }
    else if (size < 0) {
        io_read_stop(stream);
        stream->ops->on_end(stream,
                            size != UV_EOF || has_socket_error(stream));
    }
}

void
io_read_start(io_stream *stream)
{
    if (!stream->is_reading && !stream->is_closing) {
        stream->is_reading = true;
        uv_read_start((uv_stream_t *)&stream->tcp, allocate, on_read);
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
on_written(uv_write_t *request, int status)
{
    io_stream *stream = request->handle->data;

    free(request);
    if (stream->is_closing || status == UV_ECANCELED) {
        return;
    }
    if (status != 0) {
        io_read_stop(stream);
        stream->ops->on_end(stream, true);
    }
    else if (io_write_queue_size(stream) == 0) {
        stream->ops->on_drain(stream);
    }
}

bool
io_write(io_stream *stream, const void *data, size_t size)
{
    uv_stream_t *handle = (uv_stream_t *)&stream->tcp;
    uv_buf_t buffer = uv_buf_init((char *)data, (unsigned int)size);
    io_write_request *request;
    int sent = uv_try_write(handle, &buffer, 1);

    if (sent == (int)size) {
        return true;
    }
    if (sent < 0) {
        sent = 0; /* the queued write meets the same error and reports it */
    }
    size -= (size_t)sent;
    request = malloc(sizeof *request + size);
    if (request == NULL) {
        return false;
    }
    memcpy(request->data, (const char *)data + sent, size);
    buffer = uv_buf_init(request->data, (unsigned int)size);
    if (uv_write(&request->super, handle, &buffer, 1, on_written) != 0) {
        free(request);
        return false;
    }
    return true;
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

size_t
io_write_queue_size(const io_stream *stream)
{
    return uv_stream_get_write_queue_size((const uv_stream_t *)&stream->tcp);
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

    stream->ops->on_close(stream);
}

void
io_close(io_stream *stream)
{
    if (!stream->is_closing) {
        stream->is_closing = true;
        uv_close((uv_handle_t *)&stream->tcp, on_closed);
    }
}

void
io_reset(io_stream *stream)
{
    if (!stream->is_closing) {
        stream->is_closing = true;
        if (uv_tcp_close_reset(&stream->tcp, on_closed) != 0) {
            uv_close((uv_handle_t *)&stream->tcp, on_closed);
        }
    }
}
