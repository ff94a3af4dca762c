#include <string.h>

#include "back-imp.h"

/* Skipped responses of more than this are no sign that one to the request
 * follows. */
#define MAX_SKIPPED_BYTES ((size_t)1024 * 1024)

/* Responses are matched by attempt id; one without an id matches any request.
 * If the request has no id, a response with one matches only on a new
 * connection: on a reused one it may be a copy of an earlier response. */
static bool
matches_request(const back_connection *connection,
                const wire_response *response)
{
    const char *id = connection->exchange->id;

    if (response->attempt_id == NULL) {
        return true;
    }
    if (id[0] == '\0') {
        return !connection->has_answered;
    }
    return strcmp(response->attempt_id, id) == 0;
}

/* On a reused connection, a refusal without an id may be a copy of an earlier
 * one. The request then counts as possibly executed. */
static void
distrust_refusal(const back_connection *connection, wire_response *response)
{
    if (response->attempt_id == NULL && connection->has_answered) {
        response->was_not_executed = false;
    }
}

static bool
on_head(http_reader *reader, const http_head *head)
{
    back_connection *connection = reader->owner;
    back_exchange *exchange = connection->exchange;
    wire_response response;

    connection->is_interim = head->status / 100 == 1;
    if (connection->is_interim) {
        return head->status != 101;
    }
    connection->pool->wire->read_response(head, &response);
    connection->is_unmatched = !matches_request(connection, &response);
    if (connection->is_unmatched) {
        connection->pool->counts.unmatched_responses++;
        /* No other response follows a body that ends with the connection. */
        return head->framing != HTTP_UNTIL_CLOSE;
    }
    distrust_refusal(connection, &response);
    /* A copy of a response without an id cannot be told from the response to
     * the next request. */
    connection->is_keep_alive = head->is_keep_alive &&
                                head->framing != HTTP_UNTIL_CLOSE &&
                                response.attempt_id != NULL;
    if (response.keep_alive_timeout > 0) {
        lv_time margin = connection->pool->settings.idle_margin;
        lv_time max_idle = lv_elapsed(response.keep_alive_timeout, margin);

        connection->max_idle = max_idle < connection->pool->settings.max_idle
                                   ? max_idle
                                   : connection->pool->settings.max_idle;
    }
    exchange->has_response_head = true;
    if (connection->pool->on_response != NULL) {
        connection->pool->on_response(connection->pool->owner,
                                      connection->endpoint, exchange, head,
                                      &response);
    }
    exchange->ops->on_head(exchange, head, &response);
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
    if (!connection->is_unmatched) {
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
failure_outcome(const back_connection *connection)
{
    return connection->exchange->has_response_head ? BACK_TRUNCATED
                                                   : BACK_NO_RESPONSE;
}

static void
restart_reader(back_connection *connection)
{
    http_reader_restart(&connection->reader);
    connection->reader.skips_body = connection->exchange->is_head_request;
}

/* Sets the result of an ended exchange; always returns true. */
static bool
set_result(back_result *result, back_outcome outcome, const char *reason)
{
    result->outcome = outcome;
    result->reason = reason;
    return true;
}

/* Ends an exchange whose response cannot be read on. */
static bool
reject_response(back_connection *connection, back_result *result)
{
    connection->is_keep_alive = false;
    connection->exchange->fault = http_reader_fault(&connection->reader);
    connection->pool->counts.malformed_responses++;
    return set_result(result, failure_outcome(connection),
                      "not-a-proper-answer");
}

/* Counts the bytes of skipped responses. Returns whether there are too many.
 */
static bool
is_skipped_without_end(back_connection *connection, size_t size)
{
    if (connection->is_unmatched || connection->is_interim) {
        connection->skipped += size;
    }
    return connection->skipped > MAX_SKIPPED_BYTES;
}

bool
back_receive(back_connection *connection, const char *data, size_t size,
             back_result *result)
{
    while (size > 0) {
        size_t consumed;
        http_result read_result =
            http_reader_feed(&connection->reader, data, size, &consumed);

        data += consumed;
        size -= consumed;
        if (connection->exchange == NULL) {
            return false;
        }
        if (is_skipped_without_end(connection, consumed)) {
            read_result = HTTP_MALFORMED;
        }
        if (read_result == HTTP_INCOMPLETE) {
            return false;
        }
        if (read_result != HTTP_COMPLETE) {
            return reject_response(connection, result);
        }
        if (!connection->is_unmatched && !connection->is_interim) {
            if (size > 0) {
                connection->is_keep_alive = false; /* data without a request */
            }
            return set_result(result, BACK_COMPLETE, "whole");
        }
        restart_reader(connection);
    }
    return false;
}

bool
back_receive_end(back_connection *connection, bool is_error,
                 back_result *result)
{
    http_reader *reader = &connection->reader;

    connection->is_keep_alive = false;
    if (!connection->has_sent) {
        set_result(result, BACK_NOT_SENT, "connect-failed");
        return false;
    }
    if (!is_error && reader->is_head_complete && !connection->is_unmatched &&
        http_reader_feed_eof(reader) == HTTP_COMPLETE) {
        return true;
    }
    set_result(result, failure_outcome(connection),
               is_error ? "reset" : "closed");
    return false;
}
