#include "front-imp.h"

/* Further requests of a connection wait while it has more output queued. */
#define MAX_QUEUED_BYTES ((size_t)64 * 1024)

bool
front_is_output_full(front_connection *connection)
{
    if (io_write_queue_size(&connection->stream) <= MAX_QUEUED_BYTES) {
        return false;
    }
    io_flush(&connection->stream);
    return io_write_queue_size(&connection->stream) > MAX_QUEUED_BYTES;
}

size_t
front_pipelined_size(const front_connection *connection)
{
    return connection->pipelined.size - connection->pipelined_used;
}

/* While a request is processed, input is kept as long as memory allows,
 * because the end of the connection is behind it. */
static bool
is_pipeline_full(const front_connection *connection)
{
    return connection->pipelined.has_failed ||
           connection->server->pipelined_bytes > FRONT_MAX_PIPELINED_BYTES;
}

void
front_update_reading(front_connection *connection)
{
    bool is_full = false;

    if (connection->phase == FRONT_PROCESSING) {
        is_full = is_pipeline_full(connection);
    }
    else if (connection->phase == FRONT_IDLE) {
        is_full = front_is_output_full(connection);
    }
    if (is_full) {
        io_read_stop(&connection->stream);
    }
    else {
        io_read_start(&connection->stream);
    }
}

/* The server's limit was passed: stops reading of all that wait for a
 * response. */
static void
stop_reading(front_server *server)
{
    front_connection *connection;

    for (connection = server->connections; connection != NULL;
         connection = connection->next) {
        if (connection->phase == FRONT_PROCESSING) {
            io_read_stop(&connection->stream);
        }
    }
}

static void
discard_used(front_connection *connection, size_t size)
{
    buf_consume(&connection->pipelined, size);
    connection->pipelined_used -= size;
    connection->server->pipelined_bytes -= size;
}

void
front_keep_pipelined(front_connection *connection, const char *data,
                     size_t size)
{
    front_server *server = connection->server;
    size_t kept = connection->pipelined.size;
    bool was_within_limit =
        server->pipelined_bytes <= FRONT_MAX_PIPELINED_BYTES;

    buf_append(&connection->pipelined, data, size);
    server->pipelined_bytes += connection->pipelined.size - kept;
    front_update_reading(connection);
    if (was_within_limit &&
        server->pipelined_bytes > FRONT_MAX_PIPELINED_BYTES) {
        stop_reading(server);
    }
}

void
front_use_pipelined(front_connection *connection, size_t size)
{
    connection->pipelined_used += size;
    if (front_pipelined_size(connection) == 0) {
        front_finish_pipelined(connection);
    }
    else if (connection->pipelined_used > front_pipelined_size(connection)) {
        discard_used(connection, connection->pipelined_used);
    }
}

void
front_finish_pipelined(front_connection *connection)
{
    connection->server->pipelined_bytes -= connection->pipelined.size;
    connection->pipelined_used = 0;
    buf_finish(&connection->pipelined);
}
