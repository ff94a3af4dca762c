#include "front-imp.h"

/* A connection may have this many pipelined bytes; with more it is read on
 * only while all connections together have less than the second limit. Reading
 * on is better as long as memory allows, because the end of the connection is
 * behind the bytes. */
#define MAX_PIPELINED_BYTES ((size_t)256 * 1024)
#define MAX_SERVER_PIPELINED_BYTES ((size_t)32 * 1024 * 1024)

/* Limit for a connection while memory is scarce. */
#define MAX_SCARCE_PIPELINED_BYTES ((size_t)4096)

/* Reading pauses after this much discarded data. */
#define MAX_DISCARDED_BYTES ((uint64_t)1024 * 1024)

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

static bool
is_pipeline_full(const front_connection *connection)
{
    return connection->pipelined.has_failed ||
           connection->discarded_bytes > MAX_DISCARDED_BYTES ||
           (front_pipelined_size(connection) > MAX_PIPELINED_BYTES &&
            connection->server->pipelined_bytes > MAX_SERVER_PIPELINED_BYTES);
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

static void
discard_used(front_connection *connection, size_t size)
{
    buf_consume(&connection->pipelined, size);
    connection->pipelined_used -= size;
    connection->server->pipelined_bytes -= size;
}

/* Discards pipelined data; the connection closes after its current response.
 */
static void
discard_input(front_connection *connection, size_t size)
{
    connection->discards_input = true;
    connection->is_keep_alive = false;
    connection->discarded_bytes += front_pipelined_size(connection) + size;
    front_finish_pipelined(connection);
    if (connection->phase == FRONT_IDLE) {
        front_begin_lingering(connection);
    }
    else {
        front_update_reading(connection);
    }
}

void
front_keep_pipelined(front_connection *connection, const char *data,
                     size_t size)
{
    front_server *server = connection->server;
    size_t kept = connection->pipelined.size;

    if (connection->discards_input || front_is_memory_full(server) ||
        (front_is_memory_scarce(server) &&
         front_pipelined_size(connection) + size >
             MAX_SCARCE_PIPELINED_BYTES)) {
        discard_input(connection, size);
        return;
    }
    buf_append(&connection->pipelined, data, size);
    server->pipelined_bytes += connection->pipelined.size - kept;
    front_update_reading(connection);
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
