#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "io-imp.h"

/* The kernel detects a dead idle connection within five seconds: it sends
 * three probes, one second apart, after two seconds without traffic. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

/* Sizes of receive buffers. The kernel allows twice as much, for data and
 * overhead. The default allows large bodies to arrive quickly from other
 * zones. */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
#define SMALL_RECEIVE_BUFFER_BYTES (16 * 1024)

void
io_set_options(uv_tcp_t *tcp, lv_time silence_timeout)
{
    unsigned int timeout_ms = (unsigned int)(silence_timeout / LV_MILLISECOND);
    uv_os_fd_t socket;

    static const int interval = KEEPALIVE_INTERVAL_S;
    static const int probes = KEEPALIVE_PROBES;

    uv_tcp_nodelay(tcp, 1);
    uv_tcp_keepalive(tcp, 1, KEEPALIVE_IDLE_S);
    if (uv_fileno((uv_handle_t *)tcp, &socket) != 0) {
        return;
    }
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    if (silence_timeout > 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof timeout_ms);
    }
}

void
io_prepare_listener(uv_tcp_t *listener, lv_time silence_timeout)
{
    int receive_buffer = RECEIVE_BUFFER_BYTES;

    io_set_options(listener, silence_timeout);
    uv_recv_buffer_size((uv_handle_t *)listener, &receive_buffer);
}

void
io_limit_unread(io_stream *stream)
{
    int receive_buffer = SMALL_RECEIVE_BUFFER_BYTES;

    uv_recv_buffer_size((uv_handle_t *)&stream->tcp, &receive_buffer);
}

bool
io_has_options(const uv_tcp_t *tcp, lv_time silence_timeout)
{
    unsigned int timeout_ms = 0;
    int probes = 0;
    int no_delay = 0;
    socklen_t size = sizeof(int);
    uv_os_fd_t socket;

    return uv_fileno((const uv_handle_t *)tcp, &socket) == 0 &&
           getsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, &size) ==
               0 &&
           getsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, &size) == 0 &&
           getsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                      &size) == 0 &&
           no_delay != 0 && probes == KEEPALIVE_PROBES &&
           timeout_ms == silence_timeout / LV_MILLISECOND;
}
