#include <sys/socket.h>

#include "callers-imp.h"
#include "received-imp.h"

/* Incomplete requests may use max_memory_used divided by this, and always the
 * memory of this many bodies of the maximum size: the buffer of one body can
 * be twice as large. */
#define INCOMPLETE_DIVISOR 2
#define MIN_BODIES 2

/* Sums up the incomplete requests of a listener by connection. */
typedef struct memory_scan {
    uint64_t number;
    h2o_conn_t *conn; /* whose requests are being visited */
    size_t conn_size;
    size_t total;
    size_t largest;   /* of a connection */
    size_t close_min; /* connections of this size are closed; 0: none */
    size_t excess;    /* bytes to be released */
    uint32_t closed;
} memory_scan;

static size_t
buffer_capacity(const h2o_buffer_t *buffer)
{
    return buffer != NULL && buffer->bytes != NULL ? buffer->capacity : 0;
}

/* Returns an upper bound of the bytes that the HTTP/2 streams of a connection
 * buffer. h2o has no public counter, so these are the bytes received since the
 * connection last had no incomplete request, minus the bodies of requests
 * completed since. */
static size_t
bound_stored(const memory_scan *scan, h2o_socket_t *socket)
{
    listen_connection *connection = socket->on_close.data;
    uint64_t received = received_count(h2o_socket_get_fd(socket));

    if (connection->scanned + 1 < scan->number) {
        connection->received_before = received;
    }
    connection->scanned = scan->number;
    return received > connection->received_before
               ? (size_t)(received - connection->received_before)
               : 0;
}

static size_t
connection_size(const memory_scan *scan, const h2o_req_t *req)
{
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);

    return req->version < 0x200 ? buffer_capacity(socket->input)
                                : bound_stored(scan, socket);
}

void
memory_note_complete(const h2o_req_t *req)
{
    const h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);
    listen_connection *connection = socket->on_close.data;

    connection->received_before += req->entity.len;
}

static void
end_connection(memory_scan *scan)
{
    size_t size = scan->conn_size;

    scan->conn_size = 0;
    scan->total += size;
    if (size > scan->largest) {
        scan->largest = size;
    }
    if (scan->close_min > 0 && size >= scan->close_min && scan->excess > 0) {
        shutdown(
            h2o_socket_get_fd(scan->conn->callbacks->get_socket(scan->conn)),
            SHUT_RDWR);
        scan->excess -= size < scan->excess ? size : scan->excess;
        scan->closed++;
    }
}

static int
visit_request(h2o_req_t *req, void *context)
{
    memory_scan *scan = context;

    if (req->conn != scan->conn) {
        end_connection(scan);
        scan->conn = req->conn;
    }
    if (h2o_timeval_is_null(&req->processed_at.at)) {
        scan->conn_size = connection_size(scan, req);
    }
    return 0;
}

static void
scan_requests(call_server *server, memory_scan *scan)
{
    h2o_context_t *context = &server->listener.context;
    const h2o_globalconf_t *config = context->globalconf;

    scan->conn = NULL;
    scan->total = 0;
    config->http1.callbacks.foreach_request(context, visit_request, scan);
    end_connection(scan);
    scan->conn = NULL;
    config->http2.callbacks.foreach_request(context, visit_request, scan);
    end_connection(scan);
}

static size_t
max_incomplete(const call_settings *settings)
{
    uint64_t limit = settings->max_memory_used / INCOMPLETE_DIVISOR;
    uint64_t least = settings->max_request_body * MIN_BODIES;

    return (size_t)(limit > least ? limit : least);
}

static void
on_check(uv_check_t *check)
{
    call_server *server = check->data;
    size_t limit = max_incomplete(&server->settings);
    memory_scan scan = {.number = ++server->scan_count};

    scan_requests(server, &scan);
    server->counts.memory_incomplete = scan.total;
    if (scan.total <= limit) {
        return;
    }
    /* A shut down connection is released when the loop reads its end. */
    scan.excess = scan.total - limit;
    scan.close_min = scan.largest / 2 + 1;
    scan_requests(server, &scan);
    server->counts.closed_incomplete += scan.closed;
    log_event(LOG_LEVEL_NOTICE, server->clock(), "incomplete-closed",
              "connections=%u incomplete_bytes=%zu", scan.closed, scan.total);
}

void
memory_start(call_server *server)
{
    uv_check_init(server->loop, &server->memory_check);
    server->memory_check.data = server;
    uv_check_start(&server->memory_check, on_check);
}

void
memory_stop(call_server *server)
{
    if (server->memory_check.data != NULL) {
        server->memory_check.data = NULL;
        uv_close((uv_handle_t *)&server->memory_check, NULL);
    }
}
