#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <zmq.h>

#include "lavender-net/endpoints.h"
#include "lavender-net/log.h"
#include "link-imp.h"
#include "received-imp.h"

#define MONITOR_ENDPOINT "inproc://link-inbound"
#define CHECK_INTERVAL_MS 20

/* Limits the system calls of one check. */
#define MAX_CONNECTIONS_PER_CHECK 64

/* Limit for the incomplete messages of all connections, enough for one of the
 * maximum size and half of another. ZeroMQ needs up to 32 bytes of memory for
 * each byte of very small frames. */
#define MAX_INCOMPLETE_BYTES (MSG_SIZE_MAX + MSG_SIZE_MAX / 2)

/* Connections with fewer incomplete bytes are neither counted nor closed,
 * because heartbeats of an idle peer are counted as incomplete, too. */
#define MIN_INCOMPLETE_BYTES ((uint64_t)16 * 1024)

/* A peer's connection may be closed after this many checks without a message.
 * A message that arrives during one check is received before the next. */
#define MIN_CHECKS_WITHOUT_MESSAGE 2

/* A connection that a peer opened; its descriptor is the index in the table.
 */
struct link_inbound {
    bool is_open;
    bool is_peer; /* has sent a valid message */
    uint32_t checks_without_message;
    uint64_t complete;   /* bytes of its complete messages */
    uint64_t incomplete; /* other bytes that it has received */
};

static link_inbound *
find_inbound(const link_transport *link, int socket)
{
    if (socket < 0 || (uint32_t)socket >= link->inbound_count ||
        !link->inbound[socket].is_open) {
        return NULL;
    }
    return &link->inbound[socket];
}

static void
remove_inbound(link_transport *link, int socket)
{
    link_inbound *inbound = find_inbound(link, socket);

    if (inbound != NULL) {
        inbound->is_open = false;
    }
}

static void
add_inbound(link_transport *link, int socket)
{
    size_t count = ((size_t)socket + 1) * 2;

    if ((uint32_t)socket >= link->inbound_count) {
        link_inbound *grown = realloc(link->inbound, count * sizeof *grown);

        if (grown == NULL) {
            shutdown(socket, SHUT_RDWR);
            return;
        }
        memset(grown + link->inbound_count, 0,
               (count - link->inbound_count) * sizeof *grown);
        link->inbound = grown;
        link->inbound_count = (uint32_t)count;
    }
    link->inbound[socket] = (link_inbound){.is_open = true};
}

/* Receives one event of ZeroMQ's socket monitor: a frame with the event and
 * its value, then a frame with the endpoint. Returns false when none is
 * queued. */
static bool
receive_event(link_transport *link)
{
    uint8_t frame[6];
    uint16_t event;
    uint32_t value;
    char endpoint[1];

    if (zmq_recv(link->monitor, frame, sizeof frame, ZMQ_DONTWAIT) !=
        (int)sizeof frame) {
        return false;
    }
    zmq_recv(link->monitor, endpoint, sizeof endpoint, ZMQ_DONTWAIT);
    memcpy(&event, frame, sizeof event);
    memcpy(&value, frame + sizeof event, sizeof value);
    if (event == ZMQ_EVENT_ACCEPTED) {
        add_inbound(link, (int)value);
    }
    else {
        remove_inbound(link, (int)value);
    }
    return true;
}

static void
receive_events(link_transport *link)
{
    while (receive_event(link)) {
    }
}

/* Returns whether the descriptor is still a connection to the peers' port.
 * ZeroMQ may have closed it, and the process may have reused its number,
 * before the event was received. */
static bool
is_inbound(const link_transport *link, int socket)
{
    struct sockaddr_storage local = {0};
    socklen_t size = sizeof local;
    const struct sockaddr_in *ipv4 = (const struct sockaddr_in *)&local;
    const struct sockaddr_in6 *ipv6 = (const struct sockaddr_in6 *)&local;

    if (getsockname(socket, (struct sockaddr *)&local, &size) != 0) {
        return false;
    }
    return (local.ss_family == AF_INET && ipv4->sin_port == link->port) ||
           (local.ss_family == AF_INET6 && ipv6->sin6_port == link->port);
}

static void
examine(link_transport *link, int socket)
{
    link_inbound *inbound = &link->inbound[socket];
    uint64_t received;
    int unread = 0;

    if (!is_inbound(link, socket) || ioctl(socket, FIONREAD, &unread) != 0) {
        return;
    }
    received = received_count(socket);
    received -= (uint64_t)unread < received ? (uint64_t)unread : received;
    if (inbound->complete > received) {
        inbound->complete = received;
    }
    inbound->incomplete = received - inbound->complete;
    if (inbound->checks_without_message == 0 &&
        inbound->incomplete < MIN_INCOMPLETE_BYTES) {
        inbound->complete = received; /* heartbeats */
        inbound->incomplete = 0;
    }
    inbound->checks_without_message++;
}

static void
examine_next(link_transport *link)
{
    uint32_t examined = 0;

    for (uint32_t i = 0;
         i < link->inbound_count && examined < MAX_CONNECTIONS_PER_CHECK;
         i++) {
        link->next_examined = (link->next_examined + 1) % link->inbound_count;
        if (link->inbound[link->next_examined].is_open) {
            examine(link, (int)link->next_examined);
            examined++;
        }
    }
}

static bool
may_close(const link_inbound *inbound)
{
    return !inbound->is_peer ||
           inbound->checks_without_message >= MIN_CHECKS_WITHOUT_MESSAGE;
}

/* Returns whether `a` is closed before `b`. */
static bool
is_closed_first(const link_inbound *a, const link_inbound *b)
{
    if (a->is_peer != b->is_peer) {
        return !a->is_peer;
    }
    return a->incomplete > b->incomplete;
}

/* Returns the bytes of all incomplete messages. `first` is the descriptor of
 * the connection to close first, or -1 if none may be closed. */
static uint64_t
sum_incomplete(const link_transport *link, int *first)
{
    uint64_t total = 0;

    *first = -1;
    for (uint32_t i = 0; i < link->inbound_count; i++) {
        const link_inbound *inbound = &link->inbound[i];

        if (!inbound->is_open || inbound->incomplete < MIN_INCOMPLETE_BYTES) {
            continue;
        }
        total += inbound->incomplete;
        if (may_close(inbound) &&
            (*first < 0 || is_closed_first(inbound, &link->inbound[*first]))) {
            *first = (int)i;
        }
    }
    return total;
}

/* ZeroMQ frees the frames when it reads the end of the connection. */
static void
close_inbound(link_transport *link, int socket)
{
    if (is_inbound(link, socket)) {
        shutdown(socket, SHUT_RDWR);
        link->counts.closed_incomplete++;
        log_event(LOG_LEVEL_NOTICE, uv_hrtime() / 1000,
                  "peer-incomplete-closed", "incomplete_bytes=%llu",
                  (unsigned long long)link->inbound[socket].incomplete);
    }
    remove_inbound(link, socket);
}

static void
on_check(uv_timer_t *timer)
{
    link_transport *link = timer->data;
    int first;

    receive_events(link);
    link_receive_batch(link);
    examine_next(link);
    while (sum_incomplete(link, &first) > MAX_INCOMPLETE_BYTES && first >= 0) {
        close_inbound(link, first);
    }
}

void
link_note_message(link_transport *link, int socket, size_t size, bool is_valid)
{
    link_inbound *inbound = find_inbound(link, socket);

    if (inbound == NULL && link->monitor != NULL) {
        receive_events(link); /* it may have been opened just now */
        inbound = find_inbound(link, socket);
    }
    if (inbound != NULL) {
        inbound->checks_without_message = 0;
        inbound->complete += size;
        inbound->is_peer = inbound->is_peer || is_valid;
    }
}

bool
link_open_inbound(link_transport *link, err_error *error)
{
    struct sockaddr_storage address;
    socklen_t size;
    int no_limit = 0;

    if (link->settings.use_curve) {
        return true;
    }
    if (!addr_parse(link->settings.bind_address, &address, &size)) {
        return err_set(error, ERR_BAD_VALUE, "write IP:PORT",
                       "'%s' is not an IP:PORT address",
                       link->settings.bind_address);
    }
    link->port = address.ss_family == AF_INET
                     ? ((struct sockaddr_in *)&address)->sin_port
                     : ((struct sockaddr_in6 *)&address)->sin6_port;
    link->monitor = zmq_socket(link->zmq, ZMQ_PAIR);
    if (link->monitor == NULL ||
        zmq_setsockopt(link->monitor, ZMQ_RCVHWM, &no_limit,
                       sizeof no_limit) != 0 ||
        zmq_socket_monitor(link->router, MONITOR_ENDPOINT,
                           ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED) != 0 ||
        zmq_connect(link->monitor, MONITOR_ENDPOINT) != 0) {
        link_set_zmq_error(error, "raise the limit of open files",
                           "cannot watch the connections of peers");
        if (link->monitor != NULL) {
            zmq_close(link->monitor);
            link->monitor = NULL;
        }
        return false;
    }
    uv_timer_init(link->loop, &link->inbound_timer);
    link->inbound_timer.data = link;
    uv_timer_start(&link->inbound_timer, on_check, CHECK_INTERVAL_MS,
                   CHECK_INTERVAL_MS);
    return true;
}

void
link_close_inbound(link_transport *link)
{
    if (link->monitor == NULL) {
        return;
    }
    uv_close((uv_handle_t *)&link->inbound_timer, NULL);
    zmq_socket_monitor(link->router, NULL, 0);
    zmq_close(link->monitor);
    free(link->inbound);
}
