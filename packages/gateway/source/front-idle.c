#include "front-imp.h"

/* A connection that was idle for less is not closed for another one: its
 * request may be on the way. */
#define MIN_IDLE (500 * LV_MILLISECOND)

/* Connections that are examined to close one of them for a new one. */
#define MAX_IDLE_CHECKS 16

void
front_link_idle(front_connection *connection)
{
    front_server *server = connection->server;

    connection->is_linked_idle = true;
    connection->next_idle = NULL;
    connection->previous_idle = server->last_idle;
    if (server->last_idle != NULL) {
        server->last_idle->next_idle = connection;
    }
    else {
        server->first_idle = connection;
    }
    server->last_idle = connection;
}

void
front_unlink_idle(front_connection *connection)
{
    front_server *server = connection->server;

    if (!connection->is_linked_idle) {
        return;
    }
    connection->is_linked_idle = false;
    if (connection->next_idle != NULL) {
        connection->next_idle->previous_idle = connection->previous_idle;
    }
    else {
        server->last_idle = connection->previous_idle;
    }
    if (connection->previous_idle != NULL) {
        connection->previous_idle->next_idle = connection->next_idle;
    }
    else {
        server->first_idle = connection->next_idle;
    }
}

bool
front_close_longest_idle(front_server *server)
{
    lv_time now = io_now();
    front_connection *connection = server->first_idle;
    int checks = 0;

    while (connection != NULL && checks < MAX_IDLE_CHECKS &&
           lv_elapsed(now, connection->phase_since) >= MIN_IDLE) {
        front_connection *next = connection->next_idle;

        if (io_write_queue_size(&connection->stream) > 0) {
            /* It becomes idle again at the end of its output. */
            front_unlink_idle(connection);
        }
        else if (io_unread_size(&connection->stream) == 0) {
            front_close(connection, "connection-limit");
            return true;
        }
        else {
            checks++;
        }
        connection = next;
    }
    return false;
}
