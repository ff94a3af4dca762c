#include <string.h>

#include "front-imp.h"

/* Appends the status line and, for the last response of a connection,
 * "Connection: close". */
static void
append_head_start(const front_connection *connection, uint32_t status,
                  buf_buffer *to)
{
    buf_append_format(to, "HTTP/1.1 %u %s\r\n", status,
                      http_reason_phrase(status));
    if (!connection->is_keep_alive) {
        buf_append_text(to, "Connection: close\r\n");
    }
}

void
front_begin_response(front_connection *connection, uint32_t status,
                     const buf_buffer *headers, uint64_t size)
{
    const http_head *head = connection->head;
    buf_buffer head_text;

    buf_init(&head_text);
    connection->is_chunked = false;
    connection->has_no_body =
        head != NULL && strcmp(head->method, "HEAD") == 0;
    if (size == FRONT_SIZE_UNKNOWN) {
        connection->is_chunked = head != NULL && !head->is_http_1_0;
        connection->is_keep_alive =
            connection->is_keep_alive && connection->is_chunked;
    }
    if (connection->server->is_draining) {
        connection->is_keep_alive = false;
    }
    append_head_start(connection, status, &head_text);
    if (headers != NULL) {
        buf_append(&head_text, headers->data, headers->size);
    }
    if (connection->is_chunked) {
        buf_append_text(&head_text, "Transfer-Encoding: chunked\r\n");
    }
    else if (size != FRONT_SIZE_UNKNOWN) {
        buf_append_format(&head_text, "Content-Length: %llu\r\n",
                          (unsigned long long)size);
    }
    buf_append_text(&head_text, "\r\n");
    if (head_text.has_failed ||
        !io_write(&connection->stream, head_text.data, head_text.size)) {
        front_abort_response(connection);
    }
    buf_finish(&head_text);
}

void
front_send_body(front_connection *connection, const char *data, size_t size)
{
    buf_buffer chunk;

    if (size == 0 || connection->has_no_body ||
        connection->stream.is_closing) {
        return;
    }
    if (!connection->is_chunked) {
        if (!io_write(&connection->stream, data, size)) {
            front_abort_response(connection);
        }
        return;
    }
    buf_init(&chunk);
    buf_append_format(&chunk, "%zx\r\n", size);
    buf_append(&chunk, data, size);
    buf_append_text(&chunk, "\r\n");
    if (chunk.has_failed ||
        !io_write(&connection->stream, chunk.data, chunk.size)) {
        front_abort_response(connection);
    }
    buf_finish(&chunk);
}

void
front_end_response(front_connection *connection)
{
    static const char last_chunk[] = "0\r\n\r\n";

    if (connection->stream.is_closing) {
        return;
    }
    if (connection->is_chunked && !connection->has_no_body &&
        !io_write(&connection->stream, last_chunk, sizeof last_chunk - 1)) {
        front_abort_response(connection);
        return;
    }
    connection->request = NULL;
    connection->on_response_end(connection);
}

void
front_abort_response(front_connection *connection)
{
    connection->request = NULL;
    front_report_unread(connection, "broken-response");
    if (connection->is_chunked) {
        io_close(&connection->stream);
    }
    else {
        /* An orderly close could be taken for the end of the body. */
        io_reset(&connection->stream);
    }
}

void
front_send_error(front_connection *connection, uint32_t status,
                 const buf_buffer *headers, const char *reason)
{
    buf_buffer header_lines;
    buf_buffer body;

    buf_init(&header_lines);
    buf_init(&body);
    if (headers != NULL) {
        buf_append(&header_lines, headers->data, headers->size);
    }
    buf_append_text(&header_lines, "Content-Type: application/json\r\n");
    buf_append_format(&body, "{\"error\":\"%s\"}\n", reason);
    front_begin_response(connection, status, &header_lines, body.size);
    front_send_body(connection, body.data, body.size);
    front_end_response(connection);
    buf_finish(&header_lines);
    buf_finish(&body);
}
