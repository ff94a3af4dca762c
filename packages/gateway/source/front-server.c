#include <string.h>

#include "front-imp.h"

/* How long a connection is read after its last response was sent. */
#define LINGER_TIMEOUT (500 * LV_MILLISECOND)

/* The idle timeout while the instance drains; a new connection has this time
 * to send its request. */
#define DRAIN_IDLE_TIMEOUT (500 * LV_MILLISECOND)

/* Divides the idle timeout when over half of the allowed connections are open,
 * and a second time when over three quarters are. */
#define CROWDED_IDLE_DIVISOR 4

/* Pending connections that the kernel queues: room for a burst of connections
 * from a zone's callers. */
#define LISTEN_BACKLOG 512

static void
on_connection(uv_stream_t *listener, int status)
{
    if (status == 0) {
        front_accept_connection(listener->data);
    }
}

bool
front_listen(front_server *server, uv_loop_t *loop, const front_ops *ops,
             const struct sockaddr_in *address, uint32_t max_connections,
             void *owner, err_error *error)
{
    memset(server, 0, sizeof *server);
    server->ops = ops;
    server->loop = loop;
    server->max_connections = max_connections;
    server->owner = owner;
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    if (uv_tcp_bind(&server->listener, (const struct sockaddr *)address, 0) !=
            0 ||
        uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                  on_connection) != 0) {
        return err_set(error, ERR_SYSTEM,
                       "configure an IP:PORT of this host that is not in use",
                       "cannot open the listening socket");
    }
    io_prepare_listener(&server->listener, FRONT_SILENCE_TIMEOUT);
    return true;
}

/* Takes over an idle timeout that has changed. A shorter one counts from its
 * change, because callers have relied on the old one so far. */
static void
update_idle_timeout(front_server *server, lv_time now)
{
    lv_time timeout =
        server->is_draining ? DRAIN_IDLE_TIMEOUT : server->limits.idle_timeout;
    bool is_shorter = timeout < server->idle_timeout;
    front_connection *connection;

    if (timeout == server->idle_timeout) {
        return;
    }
    server->idle_timeout = timeout;
    for (connection = server->connections; connection != NULL;
         connection = connection->next) {
        lv_time deadline =
            (is_shorter ? now : connection->phase_since) + timeout;

        if (!is_shorter || deadline < connection->idle_deadline) {
            connection->idle_deadline = deadline;
        }
    }
}

/* The idle timeout shrinks while many connections are open, long before new
 * ones must be refused, because callers open new connections and leave the old
 * ones idle. */
static lv_time
crowded_idle_timeout(const front_server *server)
{
    lv_time timeout = server->idle_timeout;

    if (server->is_draining) {
        return timeout;
    }
    if (server->connection_count > server->max_connections / 2) {
        timeout /= CROWDED_IDLE_DIVISOR;
    }
    if (server->connection_count > server->max_connections * 3 / 4) {
        timeout /= CROWDED_IDLE_DIVISOR;
    }
    return timeout;
}

static bool
is_idle_too_long(const front_connection *connection, lv_time now)
{
    const front_server *server = connection->server;
    lv_time timeout = crowded_idle_timeout(server);

    return now >= connection->idle_deadline ||
           (timeout < server->idle_timeout &&
            lv_elapsed(now, connection->phase_since) >= timeout);
}

/* Is the timeout of a connection's phase over? Bytes that arrived before it
 * may be unread when the loop is late; they are read until the next check. */
static bool
is_timed_out(front_connection *connection, lv_time age, lv_time timeout)
{
    if (age < timeout) {
        return false;
    }
    if (!connection->is_past_timeout &&
        io_unread_size(&connection->stream) > 0) {
        connection->is_past_timeout = true;
        return false;
    }
    return true;
}

/* Timeout of unread output while the memory is used up. */
#define FULL_SILENCE_TIMEOUT LV_SECOND

/* Ends the connection of a caller that has stopped to read its responses. */
static void
check_output(front_connection *connection, lv_time now)
{
    lv_time timeout = front_is_memory_full(connection->server)
                          ? FULL_SILENCE_TIMEOUT
                          : FRONT_SILENCE_TIMEOUT;
    size_t unsent = io_write_queue_size(&connection->stream);

    if (unsent != connection->unsent_bytes) {
        connection->unsent_bytes = unsent;
        connection->unsent_since = now;
    }
    else if (lv_elapsed(now, connection->unsent_since) >= timeout) {
        connection->server->counts.closed_silent++;
        if (connection->phase == FRONT_PROCESSING) {
            connection->server->ops->on_disconnect(connection->server,
                                                   connection);
        }
        front_close(connection, "caller-silent");
    }
}

static void
check_timeout(front_connection *connection, lv_time now)
{
    front_server *server = connection->server;
    lv_time age = lv_elapsed(now, connection->phase_since);

    if ((connection->phase == FRONT_IDLE ||
         connection->phase == FRONT_LINGERING) &&
        io_write_queue_size(&connection->stream) > 0) {
        check_output(connection, now);
        return;
    }
    switch (connection->phase) {
    case FRONT_IDLE:
        /* Unread bytes are the next request. */
        if (is_idle_too_long(connection, now) &&
            io_unread_size(&connection->stream) == 0) {
            front_close(connection, "idle-timeout");
        }
        break;
    case FRONT_READING:
        if (is_timed_out(connection, age, server->limits.head_timeout)) {
            server->counts.timed_out++;
            connection->is_keep_alive = false;
            server->ops->on_rejected(server, 408, "slow-request");
            front_send_error(connection, 408, NULL, "slow-request");
        }
        break;
    case FRONT_LINGERING:
        if (is_timed_out(connection, age, LINGER_TIMEOUT)) {
            front_close(connection, "linger-timeout");
        }
        break;
    case FRONT_PROCESSING:
        if (io_write_queue_size(&connection->stream) > 0 &&
            front_is_memory_full(server)) {
            check_output(connection, now);
        }
        /* The end of a connection that is read is reported by the loop. */
        if (!connection->stream.is_reading &&
            io_is_hung_up(&connection->stream)) {
            front_disconnect(connection);
        }
        break;
    }
}

void
front_tick(front_server *server, lv_time now)
{
    front_connection *connection = server->connections;

    update_idle_timeout(server, now);
    while (connection != NULL) {
        front_connection *next = connection->next;

        if (!connection->stream.is_closing) {
            check_timeout(connection, now);
        }
        connection = next;
    }
}

void
front_drain(front_server *server)
{
    server->is_draining = true;
}

void
front_stop_listening(front_server *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
}

void
front_stop(front_server *server)
{
    front_connection *connection;

    server->is_draining = true;
    server->is_stopping = true;
    for (connection = server->connections; connection != NULL;
         connection = connection->next) {
        if (!connection->stream.is_closing &&
            connection->phase == FRONT_READING) {
            front_reject_request(connection, 503, "stopped");
        }
        if (connection->stream.is_closing ||
            connection->phase == FRONT_LINGERING ||
            io_unread_size(&connection->stream) > 0 ||
            (connection->phase == FRONT_IDLE &&
             front_pipelined_size(connection) > 0)) {
            continue;
        }
        if (connection->phase != FRONT_PROCESSING &&
            io_write_queue_size(&connection->stream) > 0) {
            front_begin_lingering(connection);
        }
        else {
            front_close(connection, "stop");
        }
    }
}

void
front_close_all(front_server *server)
{
    front_connection *connection;

    for (connection = server->connections; connection != NULL;
         connection = connection->next) {
        front_close(connection, "stop");
    }
}
