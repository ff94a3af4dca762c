#include <stdlib.h>
#include <string.h>

#include "front-imp.h"

/* What a caller may send ahead of the answer to its present request. */
#define AHEAD_LIMIT ((size_t)256 * 1024)

static void serve_ahead(front_connection *connection);

void
front_set_phase(front_connection *connection, front_phase phase)
{
    connection->phase = phase;
    connection->since = io_now();
}

static void
reject(front_connection *connection, uint32_t status, const char *reason)
{
    front_server *server = connection->server;

    server->counts.rejected++;
    server->ops->on_rejected(server, status, reason);
    connection->is_keep_alive = false;
    front_send_error(connection, status, NULL, reason);
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
        static const char proceed[] = "HTTP/1.1 100 Continue\r\n\r\n";

        io_write(&connection->stream, proceed, sizeof proceed - 1);
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
begin_request(front_connection *connection, const char *rest, size_t size)
{
    front_server *server = connection->server;

    front_set_phase(connection, FRONT_IN_HAND);
    buf_append(&connection->ahead, rest, size);
    connection->is_keep_alive =
        connection->is_keep_alive && !server->is_draining;
    server->ops->on_request(server, connection);
}

static void
read_request(front_connection *connection, const char *data, size_t size)
{
    size_t used;
    http_result result;

    if (connection->phase == FRONT_IDLE) {
        front_set_phase(connection, FRONT_READING);
    }
    connection->reader.head_limit = connection->server->limits.head_bytes;
    result = http_reader_feed(&connection->reader, data, size, &used);
    switch (result) {
    case HTTP_INCOMPLETE:
        break;
    case HTTP_COMPLETE:
        begin_request(connection, data + used, size - used);
        break;
    case HTTP_HEAD_TOO_LARGE:
        reject(connection, 431, "head-too-large");
        break;
    case HTTP_STOPPED:
        reject(connection, 413, "body-too-large");
        break;
    case HTTP_MALFORMED:
        reject(connection, 400, "not-a-proper-request");
        break;
    }
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    front_connection *connection = (front_connection *)stream;

    switch (connection->phase) {
    case FRONT_IDLE:
    case FRONT_READING:
        read_request(connection, data, size);
        break;
    case FRONT_IN_HAND:
        buf_append(&connection->ahead, data, size);
        if (connection->ahead.has_failed ||
            connection->ahead.size > AHEAD_LIMIT) {
            io_read_stop(stream);
        }
        break;
    case FRONT_LINGERING:
        break;
    }
}

static void
on_stream_end(io_stream *stream, bool is_error)
{
    front_connection *connection = (front_connection *)stream;
    front_server *server = connection->server;

    (void)is_error;
    connection->is_gone = true;
    if (connection->phase == FRONT_IN_HAND) {
        server->ops->on_disconnect(server, connection);
    }
    io_close(stream);
}

static void
on_drain(io_stream *stream)
{
    front_connection *connection = (front_connection *)stream;

    if (connection->phase == FRONT_IN_HAND) {
        connection->server->ops->on_drain(connection->server, connection);
    }
}

static void
unlink_connection(front_connection *connection)
{
    front_server *server = connection->server;

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

    unlink_connection(connection);
    http_reader_finish(&connection->reader);
    buf_finish(&connection->body);
    buf_finish(&connection->ahead);
    free(connection);
}

static void
on_connect(io_stream *stream)
{
    (void)stream; /* callers connect to us */
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_stream_end,
                                         .on_drain = on_drain,
                                         .on_close = on_close};

static void
next_request(front_connection *connection)
{
    http_reader_restart(&connection->reader);
    buf_finish(&connection->body);
    connection->head = NULL;
    connection->request = NULL;
    front_set_phase(connection, FRONT_IDLE);
    io_read_start(&connection->stream);
    serve_ahead(connection);
}

/* A close with unread bytes would reset the connection, and the caller might
 * lose the answer: end our side and wait for the caller's. */
static void
linger(front_connection *connection)
{
    front_set_phase(connection, FRONT_LINGERING);
    io_shutdown(&connection->stream);
    io_read_start(&connection->stream);
}

static void
end_answer(front_connection *connection)
{
    if (connection->is_keep_alive) {
        next_request(connection);
    }
    else {
        linger(connection);
    }
}

void
front_accept(front_server *server)
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
    connection->on_answered = end_answer;
    connection->next = server->connections;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    server->connections = connection;
    server->connection_count++;
    http_reader_init(&connection->reader, &reader_ops, connection, true,
                     server->limits.head_bytes);
    front_set_phase(connection, FRONT_IDLE);
    if (!io_accept(&connection->stream, (uv_stream_t *)&server->listener,
                   FRONT_SILENCE) ||
        server->connection_count > server->max_connections) {
        io_close(&connection->stream);
        return;
    }
    server->counts.accepted++;
    io_read_start(&connection->stream);
}

/* Bytes that came ahead begin the next request. */
static void
serve_ahead(front_connection *connection)
{
    buf_buffer ahead = connection->ahead;

    buf_init(&connection->ahead);
    if (ahead.size > 0 && !ahead.has_failed) {
        read_request(connection, ahead.data, ahead.size);
    }
    else if (ahead.has_failed) {
        io_close(&connection->stream);
    }
    buf_finish(&ahead);
}
