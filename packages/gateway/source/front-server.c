#include <string.h>

#include "front-imp.h"

/* How long a connection is read after its last answer. */
#define LINGER (500 * LV_MILLISECOND)

/* Idle connections close so soon while the instance drains; a new one has
 * that time to send its request. */
#define DRAIN_IDLE (500 * LV_MILLISECOND)

/* Idle connections are closed so much sooner with over half of all open, and
 * once more with over three quarters. */
#define CROWDED_DIVISOR 4

/* Waiting connections that the system keeps: a burst of a zone's callers. */
#define BACKLOG 512

static void
on_connection(uv_stream_t *listener, int status)
{
    if (status == 0) {
        front_accept(listener->data);
    }
}

bool
front_listen(front_server *server, uv_loop_t *loop, const front_ops *ops,
             const struct sockaddr_in *address, uint32_t most, void *owner,
             err_error *error)
{
    memset(server, 0, sizeof *server);
    server->ops = ops;
    server->loop = loop;
    server->max_connections = most;
    server->owner = owner;
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    if (uv_tcp_bind(&server->listener, (const struct sockaddr *)address, 0) !=
            0 ||
        uv_listen((uv_stream_t *)&server->listener, BACKLOG, on_connection) !=
            0) {
        return err_set(error, ERR_SYSTEM,
                       "give the listener an address that is free",
                       "a listener cannot be opened");
    }
    return true;
}

/* Callers open new connections and leave the old ones idle: with many open,
 * idle ones make room sooner, long before new ones must be turned away. */
static lv_time
idle_limit(const front_server *server)
{
    lv_time limit = server->limits.idle_timeout;

    if (server->is_draining) {
        return DRAIN_IDLE;
    }
    if (server->connection_count > server->max_connections / 2) {
        limit /= CROWDED_DIVISOR;
    }
    if (server->connection_count > server->max_connections * 3 / 4) {
        limit /= CROWDED_DIVISOR;
    }
    return limit;
}

static void
time_out(front_connection *connection, lv_time now)
{
    front_server *server = connection->server;
    lv_time age = lv_elapsed(now, connection->since);

    switch (connection->phase) {
    case FRONT_IDLE:
        if (age >= idle_limit(server)) {
            io_close(&connection->stream);
        }
        break;
    case FRONT_READING:
        if (age >= server->limits.head_timeout) {
            server->counts.timed_out++;
            connection->is_keep_alive = false;
            server->ops->on_rejected(server, 408, "slow-request");
            front_send_error(connection, 408, NULL, "slow-request");
        }
        break;
    case FRONT_LINGERING:
        if (age >= LINGER) {
            io_close(&connection->stream);
        }
        break;
    case FRONT_IN_HAND:
        break;
    }
}

void
front_tick(front_server *server, lv_time now)
{
    front_connection *connection = server->connections;

    while (connection != NULL) {
        front_connection *next = connection->next;

        if (!connection->stream.is_closing) {
            time_out(connection, now);
        }
        connection = next;
    }
}

void
front_drain(front_server *server)
{
    front_connection *connection;

    server->is_draining = true;
    for (connection = server->connections; connection != NULL;
         connection = connection->next) {
        connection->is_keep_alive = false;
    }
}

void
front_stop_listening(front_server *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
}

void
front_close_all(front_server *server)
{
    front_connection *connection;

    for (connection = server->connections; connection != NULL;
         connection = connection->next) {
        io_close(&connection->stream);
    }
}
