#include <stdlib.h>
#include <string.h>

#include "front-imp.h"

/* Connections beyond max_connections that are read, to refuse their requests:
 * a caller cannot tell a close without a response from a lost request. */
#define REFUSAL_CONNECTIONS 64

/* Connections beyond this number get small receive buffers, which bounds the
 * unread data of all connections. */
#define LARGE_BUFFER_CONNECTIONS 128

static void await_request(front_connection *connection);

void
front_set_phase(front_connection *connection, front_phase phase)
{
    connection->phase = phase;
    connection->phase_since = io_now();
    connection->idle_deadline =
        connection->phase_since + connection->server->idle_timeout;
    connection->is_past_timeout = false;
    connection->unsent_bytes = 0;
    front_unlink_idle(connection);
    front_unlink_incomplete(connection);
    if (phase == FRONT_IDLE) {
        front_link_idle(connection);
    }
}

static void
report_dropped(front_server *server, const char *reason, uint64_t bytes)
{
    if (server->ops->on_input_dropped != NULL) {
        server->ops->on_input_dropped(server, reason, bytes);
    }
}

void
front_report_unread(front_connection *connection, const char *reason)
{
    front_server *server = connection->server;
    uint64_t bytes =
        io_unread_size(&connection->stream) + front_pipelined_size(connection);

    if (bytes > 0 && !connection->stream.is_closing) {
        server->counts.closed_unread++;
        report_dropped(server, reason, bytes);
    }
}

void
front_close(front_connection *connection, const char *reason)
{
    front_report_unread(connection, reason);
    front_unlink_idle(connection);
    front_unlink_incomplete(connection);
    io_flush(&connection->stream);
    if (io_write_queue_size(&connection->stream) > 0) {
        io_reset(&connection->stream);
    }
    else {
        io_close(&connection->stream);
    }
}

void
front_begin_lingering(front_connection *connection)
{
    front_set_phase(connection, FRONT_LINGERING);
    buf_finish(&connection->body);
    http_reader_finish(&connection->reader);
    io_shutdown(&connection->stream);
    if (!connection->is_disconnected) {
        io_read_start(&connection->stream);
    }
}

static void
reject_request(front_connection *connection, uint32_t status,
               const buf_buffer *headers, const char *reason)
{
    front_server *server = connection->server;

    server->counts.rejected++;
    server->ops->on_rejected(server, status, reason);
    connection->is_keep_alive = false;
    front_send_error(connection, status, headers, reason);
}

void
front_reject_request(front_connection *connection, uint32_t status,
                     const char *reason)
{
    reject_request(connection, status, NULL, reason);
}

void
front_reject_for_memory(front_connection *connection)
{
    buf_buffer headers;

    buf_init(&headers);
    buf_append_text(&headers, "Retry-After: 1\r\n");
    connection->server->counts.over_memory++;
    reject_request(connection, 503, &headers, "memory");
    buf_finish(&headers);
}

static bool
on_head(http_reader *reader, const http_head *head)
{
    front_connection *connection = reader->owner;
    const char *expect = http_find_header(head, "Expect");

    connection->head = head;
    connection->is_keep_alive = head->is_keep_alive;
    if (head->body_size > connection->server->limits.body_bytes) {
        return false;
    }
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0) {
        static const char continue_response[] =
            "HTTP/1.1 100 Continue\r\n\r\n";

        io_write(&connection->stream, continue_response,
                 sizeof continue_response - 1);
    }
    return true;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    front_connection *connection = reader->owner;

    if (connection->body.size + size > connection->server->limits.body_bytes) {
        return false;
    }
    buf_append(&connection->body, data, size);
    return !connection->body.has_failed;
}

static bool
on_message_end(http_reader *reader)
{
    (void)reader;
    return true;
}

static const http_reader_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_message_end};

static void
process_request(front_connection *connection)
{
    front_server *server = connection->server;

    front_set_phase(connection, FRONT_PROCESSING);
    if (server->is_stopping) {
        front_reject_request(connection, 503, "stopped");
        return;
    }
    if (connection->is_over_limit &&
        server->connection_count > server->max_connections) {
        front_reject_request(connection, 503, "too-many-connections");
        return;
    }
    if (!front_make_room(connection)) {
        front_reject_for_memory(connection);
        return;
    }
    server->ops->on_request(server, connection);
}

/* Reads at most one request and returns how many bytes were used. */
static size_t
read_request(front_connection *connection, const char *data, size_t size)
{
    size_t consumed;
    http_result result;

    if (connection->phase == FRONT_IDLE) {
        front_set_phase(connection, FRONT_READING);
    }
    connection->reader.max_head_size = connection->server->limits.head_bytes;
    result = http_reader_feed(&connection->reader, data, size, &consumed);
    switch (result) {
    case HTTP_INCOMPLETE:
        if (connection->server->is_stopping) {
            front_reject_request(connection, 503, "stopped");
        }
        else {
            front_link_incomplete(connection);
            front_make_room(connection);
        }
        break;
    case HTTP_COMPLETE:
        process_request(connection);
        return consumed;
    case HTTP_HEAD_TOO_LARGE:
        front_reject_request(connection, 431, "head-too-large");
        break;
    case HTTP_STOPPED:
        if (connection->body.has_failed) {
            front_reject_request(connection, 503, "no-memory");
        }
        else {
            front_reject_request(connection, 413, "body-too-large");
        }
        break;
    case HTTP_NO_MEMORY:
        front_reject_request(connection, 503, "no-memory");
        break;
    case HTTP_MALFORMED:
        front_reject_request(connection, 400, "not-a-proper-request");
        break;
    }
    return size;
}

/* Can a request be read? Not the next one while the output is full. */
static bool
can_read_request(front_connection *connection)
{
    return !connection->stream.is_closing &&
           (connection->phase == FRONT_READING ||
            (connection->phase == FRONT_IDLE &&
             !front_is_output_full(connection)));
}

/* Reads requests as long as they are answered at once, and returns how many
 * bytes were used. */
static size_t
read_requests(front_connection *connection, const char *data, size_t size)
{
    size_t used = 0;

    while (used < size && can_read_request(connection)) {
        used += read_request(connection, data + used, size - used);
    }
    return used;
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    front_connection *connection = (front_connection *)stream;
    size_t used = read_requests(connection, data, size);

    if (used < size && (connection->phase == FRONT_PROCESSING ||
                        connection->phase == FRONT_IDLE)) {
        front_keep_pipelined(connection, data + used, size - used);
    }
    else {
        connection->discarded_bytes += size - used;
    }
}

void
front_disconnect(front_connection *connection)
{
    front_server *server = connection->server;

    connection->is_disconnected = true;
    front_unlink_idle(connection);
    front_unlink_incomplete(connection);
    if (connection->phase == FRONT_PROCESSING) {
        server->ops->on_disconnect(server, connection);
    }
    io_close(&connection->stream);
}

static void
on_stream_end(io_stream *stream, bool is_error)
{
    front_connection *connection = (front_connection *)stream;

    if (is_error || connection->phase == FRONT_PROCESSING ||
        io_write_queue_size(stream) == 0) {
        front_disconnect(connection);
        return;
    }
    /* The caller may still read the responses. */
    connection->is_disconnected = true;
    if (connection->phase != FRONT_LINGERING) {
        front_begin_lingering(connection);
    }
}

static void
on_drain(io_stream *stream)
{
    front_connection *connection = (front_connection *)stream;

    switch (connection->phase) {
    case FRONT_PROCESSING:
        connection->server->ops->on_drain(connection->server, connection);
        break;
    case FRONT_LINGERING:
        if (connection->is_disconnected) {
            io_close(stream);
            break;
        }
        /* fall through */
        /* The linger time runs from the end of the output. */
        front_set_phase(connection, FRONT_LINGERING);
        break;
    case FRONT_IDLE:
        await_request(connection);
        break;
    case FRONT_READING:
        break;
    }
}

static void
unlink_connection(front_connection *connection)
{
    front_server *server = connection->server;

    front_unlink_idle(connection);
    front_unlink_incomplete(connection);
    if (server->memory != NULL) {
        server->memory->used -= sizeof *connection;
    }
    if (connection->next != NULL) {
        connection->next->previous = connection->previous;
    }
    if (connection->previous != NULL) {
        connection->previous->next = connection->next;
    }
    else {
        server->connections = connection->next;
    }
    server->connection_count--;
}

static void
on_close(io_stream *stream)
{
    front_connection *connection = (front_connection *)stream;
    front_server *server = connection->server;

    if (connection->phase == FRONT_LINGERING) {
        connection->discarded_bytes += front_pipelined_size(connection);
    }
    if (connection->discarded_bytes > 0) {
        server->counts.discarded++;
        report_dropped(server, "after-close", connection->discarded_bytes);
    }
    unlink_connection(connection);
    http_reader_finish(&connection->reader);
    buf_finish(&connection->body);
    front_finish_pipelined(connection);
    free(connection);
}

static void
on_connect(io_stream *stream)
{
    (void)stream; /* not called: the stream is accepted, not connected */
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_stream_end,
                                         .on_drain = on_drain,
                                         .on_close = on_close};

/* Reads the next requests from the bytes received after the last one. A
 * response that is sent meanwhile calls this again, with nothing to do. */
static void
read_pipelined(front_connection *connection)
{
    size_t used = connection->pipelined_used;

    if (connection->pipelined.has_failed) {
        front_reject_request(connection, 503, "no-memory");
        return;
    }
    if (connection->is_reading_pipelined ||
        front_pipelined_size(connection) == 0) {
        return;
    }
    connection->is_reading_pipelined = true;
    used = read_requests(connection, connection->pipelined.data + used,
                         front_pipelined_size(connection));
    front_use_pipelined(connection, used);
    connection->is_reading_pipelined = false;
}

/* Waits for the next request, whose bytes may have arrived; the idle time
 * begins. */
static void
await_request(front_connection *connection)
{
    front_set_phase(connection, FRONT_IDLE);
    read_pipelined(connection);
    front_update_reading(connection);
}

static void
prepare_next_request(front_connection *connection)
{
    http_reader_restart(&connection->reader);
    buf_finish(&connection->body);
    connection->head = NULL;
    connection->request = NULL;
    await_request(connection);
}

static void
finish_response(front_connection *connection)
{
    if (connection->is_keep_alive) {
        prepare_next_request(connection);
    }
    else {
        front_begin_lingering(connection);
    }
}

void
front_accept_connection(front_server *server)
{
    front_connection *connection = calloc(1, sizeof *connection);

    if (connection == NULL) {
        return;
    }
    if (!io_stream_init(&connection->stream, &stream_ops, server->loop)) {
        free(connection);
        return;
    }
    connection->server = server;
    connection->on_response_end = finish_response;
    connection->next = server->connections;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    server->connections = connection;
    server->connection_count++;
    http_reader_init(&connection->reader, &reader_ops, connection, true,
                     server->limits.head_bytes);
    front_count_memory(connection);
    front_set_phase(connection, FRONT_IDLE);
    if (!io_accept(&connection->stream, (uv_stream_t *)&server->listener,
                   FRONT_SILENCE_TIMEOUT, &server->has_inherited_options)) {
        io_close(&connection->stream);
        return;
    }
    if (server->connection_count > LARGE_BUFFER_CONNECTIONS) {
        io_limit_unread(&connection->stream);
    }
    if (server->connection_count > server->max_connections &&
        !front_close_longest_idle(server) &&
        !front_close_longest_stalled(server)) {
        server->counts.over_limit++;
        connection->is_over_limit = true;
    }
    if (connection->is_over_limit &&
        server->connection_count >
            server->max_connections + REFUSAL_CONNECTIONS) {
        front_close(connection, "connection-limit");
        return;
    }
    server->counts.accepted++;
    io_read_start(&connection->stream);
}
