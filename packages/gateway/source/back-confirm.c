#include "back-imp.h"

/* The connections of a process that ends are closed within this time. */
#define SAME_END_TIME (20 * LV_MILLISECOND)

/* An endpoint to which no connection is established by then is not reached. */
#define PROBE_TIMEOUT (250 * LV_MILLISECOND)

static void
probe(back_connection *connection)
{
    connection->has_probed = true;
    back_probe(connection->pool, connection->endpoint);
}

void
back_await_confirmation(back_connection *connection)
{
    io_read_stop(&connection->stream);
    connection->ended_at = io_now();
    connection->has_probed = false;
    connection->pool->has_unconfirmed = true;
    if (!back_is_connected(connection->pool, connection->endpoint)) {
        probe(connection);
    }
}

static bool
is_unconfirmed(const back_connection *connection)
{
    return connection->ended_at != 0 && connection->exchange != NULL &&
           !connection->stream.is_closing;
}

/* Returns whether the end of the body is still to be confirmed. */
static bool
check_end(back_connection *connection, lv_time now)
{
    lv_time elapsed = lv_elapsed(now, connection->ended_at);

    if (elapsed < SAME_END_TIME) {
        return true;
    }
    if (back_is_connected(connection->pool, connection->endpoint)) {
        back_finish_exchange(connection, BACK_COMPLETE, "whole");
        return false;
    }
    if (elapsed >= PROBE_TIMEOUT) {
        back_finish_exchange(connection, BACK_TRUNCATED, "not-confirmed");
        return false;
    }
    if (!connection->has_probed) {
        probe(connection);
    }
    return true;
}

void
back_confirm_ends(back_pool *pool, lv_time now)
{
    back_connection *connection =
        pool->has_unconfirmed ? pool->connections : NULL;

    pool->has_unconfirmed = false;
    while (connection != NULL) {
        back_connection *next = connection->next;

        if (is_unconfirmed(connection) && check_end(connection, now)) {
            pool->has_unconfirmed = true;
        }
        connection = next;
    }
}

void
back_handle_probe_failure(back_pool *pool, lv_handle endpoint)
{
    back_connection *connection = pool->connections;

    while (connection != NULL) {
        back_connection *next = connection->next;

        if (connection->endpoint == endpoint && is_unconfirmed(connection)) {
            back_finish_exchange(connection, BACK_TRUNCATED, "endpoint-ended");
        }
        connection = next;
    }
}
