#include "front-imp.h"

/* Larger requests and pipelined data can use only this share of the memory;
 * the rest is reserved for small requests. */
#define LARGE_REQUEST_BYTES ((size_t)64 * 1024)
#define LARGE_REQUESTS_PERCENT 75

/* An incomplete request counts as stalled after this time without data. */
#define MIN_STALL (500 * LV_MILLISECOND)

static size_t
request_size(const front_connection *connection)
{
    return connection->body.capacity + connection->reader.head_text.capacity +
           connection->reader.headers.capacity;
}

static bool
is_large(const front_connection *connection)
{
    return request_size(connection) > LARGE_REQUEST_BYTES;
}

static uint32_t
find_class(size_t size)
{
    uint32_t class = 0;

    while (class < FRONT_SIZE_CLASSES - 1 && size > (size_t)512 << class) {
        class ++;
    }
    return class;
}

bool
front_has_memory(const front_memory *memory, size_t size)
{
    return memory->limit == 0 || memory->used + size <= memory->limit;
}

void
front_count_memory(front_connection *connection)
{
    front_memory *memory = connection->server->memory;

    connection->size_class = FRONT_SIZE_CLASSES;
    if (memory != NULL) {
        buf_count(&connection->body, &memory->used);
        buf_count(&connection->pipelined, &memory->used);
        buf_count(&connection->reader.head_text, &memory->used);
        buf_count(&connection->reader.headers, &memory->used);
        connection->stream.queued_counter = &memory->used;
        memory->used += sizeof *connection;
    }
}

void
front_unlink_incomplete(front_connection *connection)
{
    front_server *server = connection->server;
    uint32_t class = connection->size_class;

    if (class == FRONT_SIZE_CLASSES) {
        return;
    }
    if (connection->next_incomplete != NULL) {
        connection->next_incomplete->previous_incomplete =
            connection->previous_incomplete;
    }
    else {
        server->incomplete[class].last = connection->previous_incomplete;
    }
    if (connection->previous_incomplete != NULL) {
        connection->previous_incomplete->next_incomplete =
            connection->next_incomplete;
    }
    else {
        server->incomplete[class].first = connection->next_incomplete;
    }
    connection->size_class = FRONT_SIZE_CLASSES;
}

void
front_link_incomplete(front_connection *connection)
{
    front_server *server = connection->server;
    uint32_t class = find_class(request_size(connection));

    front_unlink_incomplete(connection);
    connection->size_class = class;
    connection->received_at = io_now();
    connection->next_incomplete = NULL;
    connection->previous_incomplete = server->incomplete[class].last;
    if (connection->previous_incomplete != NULL) {
        connection->previous_incomplete->next_incomplete = connection;
    }
    else {
        server->incomplete[class].first = connection;
    }
    server->incomplete[class].last = connection;
}

static front_connection *
find_largest(const front_server *server)
{
    uint32_t class = FRONT_SIZE_CLASSES;

    while (class > 0) {
        class --;
        if (server->incomplete[class].first != NULL) {
            return server->incomplete[class].first;
        }
    }
    return NULL;
}

bool
front_is_memory_full(const front_server *server)
{
    return server->memory != NULL && !front_has_memory(server->memory, 0);
}

bool
front_is_memory_scarce(const front_server *server)
{
    const front_memory *memory = server->memory;

    return memory != NULL && memory->limit > 0 &&
           memory->used > memory->limit / 100 * LARGE_REQUESTS_PERCENT;
}

bool
front_make_room(front_connection *connection)
{
    front_server *server = connection->server;
    front_connection *largest;

    while (front_is_memory_scarce(server) &&
           (largest = find_largest(server)) != NULL &&
           (is_large(largest) || front_is_memory_full(server))) {
        front_reject_for_memory(largest);
    }
    return is_large(connection) ? !front_is_memory_scarce(server)
                                : !front_is_memory_full(server);
}

bool
front_close_longest_stalled(front_server *server)
{
    front_connection *longest = NULL;
    uint32_t class;

    for (class = 0; class < FRONT_SIZE_CLASSES; class ++) {
        front_connection *first = server->incomplete[class].first;

        if (first != NULL &&
            (longest == NULL || first->received_at < longest->received_at)) {
            longest = first;
        }
    }
    if (longest == NULL ||
        lv_elapsed(io_now(), longest->received_at) < MIN_STALL ||
        io_unread_size(&longest->stream) > 0) {
        return false;
    }
    server->counts.closed_stalled++;
    front_close(longest, "connection-limit");
    return true;
}
