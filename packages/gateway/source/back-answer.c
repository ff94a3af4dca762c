#include <string.h>

#include "back-imp.h"

static bool
belongs(const back_connection *connection, const wire_response *answer)
{
    const back_exchange *exchange = connection->exchange;

    return answer->attempt_id == NULL || exchange->id[0] == '\0' ||
           strcmp(answer->attempt_id, exchange->id) == 0;
}

static bool
on_head(http_reader *reader, const http_head *head)
{
    back_connection *connection = reader->owner;
    back_exchange *exchange = connection->exchange;
    wire_response answer;

    connection->is_interim = head->status / 100 == 1;
    if (connection->is_interim) {
        return head->status != 101;
    }
    connection->pool->wire->read_response(head, &answer);
    connection->is_stray = !belongs(connection, &answer);
    if (connection->is_stray) {
        connection->pool->counts.unmatched_responses++;
        /* One that ends with the connection hides ours. */
        return head->framing != HTTP_UNTIL_CLOSE;
    }
    connection->is_kept =
        head->is_keep_alive && head->framing != HTTP_UNTIL_CLOSE;
    if (answer.keep_alive_timeout > 0) {
        lv_time margin = connection->pool->settings.idle_margin;
        lv_time usable = lv_elapsed(answer.keep_alive_timeout, margin);

        connection->idle_max = usable < connection->pool->settings.max_idle
                                   ? usable
                                   : connection->pool->settings.max_idle;
    }
    exchange->has_answer = true;
    exchange->ops->on_head(exchange, head, &answer);
    return connection->exchange != NULL;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    back_connection *connection = reader->owner;
    back_exchange *exchange = connection->exchange;

    if (exchange == NULL) {
        return false;
    }
    if (!connection->is_stray) {
        exchange->ops->on_body(exchange, data, size);
    }
    return connection->exchange != NULL;
}

static bool
on_message_end(http_reader *reader)
{
    (void)reader;
    return true;
}

const http_reader_ops back_reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_message_end};

static back_outcome
broken_outcome(const back_connection *connection)
{
    return connection->exchange->has_answer ? BACK_TRUNCATED
                                            : BACK_NO_RESPONSE;
}

static void
restart_reader(back_connection *connection)
{
    http_reader_restart(&connection->reader);
    connection->reader.skips_body = connection->exchange->is_head_request;
}

static bool
end_with(back_end *end, back_outcome outcome, const char *reason)
{
    end->outcome = outcome;
    end->reason = reason;
    return true;
}

bool
back_take_bytes(back_connection *connection, const char *data, size_t size,
                back_end *end)
{
    while (size > 0) {
        size_t used;
        http_result result =
            http_reader_feed(&connection->reader, data, size, &used);

        data += used;
        size -= used;
        if (connection->exchange == NULL || result == HTTP_INCOMPLETE) {
            return false;
        }
        if (result != HTTP_COMPLETE) {
            connection->is_kept = false;
            return end_with(end, broken_outcome(connection),
                            "not-a-proper-answer");
        }
        if (!connection->is_stray && !connection->is_interim) {
            if (size > 0) {
                connection->is_kept = false; /* bytes of no request */
            }
            return end_with(end, BACK_COMPLETE, "whole");
        }
        restart_reader(connection);
    }
    return false;
}

void
back_take_end(back_connection *connection, bool is_error, back_end *end)
{
    http_reader *reader = &connection->reader;

    connection->is_kept = false;
    if (!connection->has_sent) {
        end_with(end, BACK_NOT_SENT, "connect-failed");
        return;
    }
    if (!is_error && reader->is_head_done && !connection->is_stray &&
        http_reader_feed_eof(reader) == HTTP_COMPLETE) {
        end_with(end, BACK_COMPLETE, "whole");
        return;
    }
    end_with(end, broken_outcome(connection), is_error ? "reset" : "closed");
}
