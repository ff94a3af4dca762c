#include <stdlib.h>
#include <string.h>

#include "back-imp.h"

#define MAX_RESPONSE_HEAD_BYTES ((size_t)64 * 1024)

void
back_init(back_pool *pool, uv_loop_t *loop, const back_settings *settings,
          const wire_ops *wire, eng_table *endpoints)
{
    memset(pool, 0, sizeof *pool);
    pool->settings = *settings;
    pool->loop = loop;
    pool->wire = wire;
    pool->endpoints = endpoints;
}

/* Returns the idle connections to an endpoint, or NULL when out of memory. */
static back_idle_list *
find_idle_list(back_pool *pool, lv_handle endpoint)
{
    if (endpoint >= pool->idle_capacity) {
        uint32_t capacity = pool->endpoints->capacity;
        back_idle_list *idle =
            realloc(pool->idle, capacity * sizeof *pool->idle);

        if (idle == NULL) {
            return NULL;
        }
        memset(idle + pool->idle_capacity, 0,
               (capacity - pool->idle_capacity) * sizeof *idle);
        pool->idle = idle;
        pool->idle_capacity = capacity;
    }
    return &pool->idle[endpoint];
}

static void
link_idle(back_connection *connection, back_idle_list *list)
{
    connection->is_idle = true;
    connection->previous_idle = NULL;
    connection->next_idle = list->first;
    if (connection->next_idle != NULL) {
        connection->next_idle->previous_idle = connection;
    }
    list->first = connection;
    list->count++;
}

static void
unlink_idle(back_connection *connection)
{
    back_idle_list *list = &connection->pool->idle[connection->endpoint];

    connection->is_idle = false;
    list->count--;
    if (connection->next_idle != NULL) {
        connection->next_idle->previous_idle = connection->previous_idle;
    }
    if (connection->previous_idle != NULL) {
        connection->previous_idle->next_idle = connection->next_idle;
    }
    else {
        list->first = connection->next_idle;
    }
}

static void
close_idle(back_connection *connection)
{
    if (connection->is_idle) {
        unlink_idle(connection);
    }
    io_close(&connection->stream);
}

/* Closes a connection without calling on_end of its exchange. */
static void
close_connection(back_connection *connection)
{
    if (connection->exchange != NULL) {
        connection->exchange->connection = NULL;
        connection->exchange = NULL;
    }
    close_idle(connection);
}

void
back_finish_exchange(back_connection *connection, back_outcome outcome,
                     const char *reason)
{
    back_exchange *exchange = connection->exchange;
    back_pool *pool = connection->pool;
    back_idle_list *idle = find_idle_list(pool, connection->endpoint);
    bool is_reusable = connection->is_keep_alive && outcome == BACK_COMPLETE &&
                       io_write_queue_size(&connection->stream) == 0 &&
                       idle != NULL &&
                       idle->count < pool->settings.max_idle_connections;

    connection->exchange = NULL;
    exchange->connection = NULL;
    if (is_reusable) {
        connection->has_answered = true;
        connection->state_since = io_now();
        http_reader_restart(&connection->reader); /* releases the head */
        link_idle(connection, idle);
        io_read_start(&connection->stream);
    }
    else {
        io_close(&connection->stream);
    }
    exchange->ops->on_end(exchange, outcome, reason);
}

static void
send_message(back_connection *connection)
{
    back_exchange *exchange = connection->exchange;

    http_reader_restart(&connection->reader);
    connection->reader.skips_body = exchange->is_head_request;
    connection->is_keep_alive = false;
    connection->is_unmatched = false;
    connection->is_interim = false;
    connection->skipped = 0;
    connection->has_sent = true;
    connection->ended_at = 0;
    io_read_start(&connection->stream);
    if (!io_write(&connection->stream, connection->message.data,
                  connection->message.size)) {
        back_finish_exchange(connection, BACK_NO_RESPONSE, "write-failed");
        return;
    }
    buf_finish(&connection->message);
}

static void
withhold(back_connection *connection)
{
    connection->pool->counts.withheld++;
    back_finish_exchange(connection, BACK_WITHHELD, "withheld");
}

/* A request that waits for its connection has its place in a slow start and
 * under a limit. */
static bool
may_be_sent(const back_connection *connection)
{
    lv_time free_at;
    avl_reason reason = eng_check_send(
        connection->pool->endpoints, connection->endpoint, io_now(), &free_at);

    return reason == AVL_AVAILABLE || reason == AVL_SLOW_STARTING ||
           reason == AVL_LIMITED || reason == AVL_COLD;
}

static void
keep_probe(back_connection *connection)
{
    back_idle_list *idle =
        find_idle_list(connection->pool, connection->endpoint);

    if (idle != NULL &&
        idle->count < connection->pool->settings.max_idle_connections) {
        connection->state_since = io_now();
        http_reader_restart(&connection->reader); /* releases the head */
        link_idle(connection, idle);
        io_read_start(&connection->stream);
    }
    else {
        io_close(&connection->stream);
    }
}

static void
on_connect(io_stream *stream)
{
    back_connection *connection = (back_connection *)stream;

    if (connection->exchange == NULL) {
        if (connection->is_probe) {
            keep_probe(connection);
        }
        return;
    }
    if (may_be_sent(connection)) {
        send_message(connection);
    }
    else {
        withhold(connection);
    }
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    back_connection *connection = (back_connection *)stream;
    back_result result;

    if (connection->exchange == NULL) {
        connection->pool->counts.unmatched_responses++;
        close_idle(connection); /* data without a request */
        return;
    }
    if (back_receive(connection, data, size, &result)) {
        back_finish_exchange(connection, result.outcome, result.reason);
    }
}

static void
on_stream_end(io_stream *stream, bool is_error)
{
    back_connection *connection = (back_connection *)stream;
    back_pool *pool = connection->pool;
    back_result result;

    if (stream->is_connected && pool->on_remote_end != NULL) {
        pool->on_remote_end(pool->owner, connection->endpoint);
    }
    if (connection->exchange == NULL) {
        if (!stream->is_connected && pool->on_probe_failed != NULL) {
            pool->on_probe_failed(pool->owner, connection->endpoint);
        }
        if (!stream->is_connected) {
            back_handle_probe_failure(pool, connection->endpoint);
        }
        close_idle(connection);
        return;
    }
    if (back_receive_end(connection, is_error, &result)) {
        back_await_confirmation(connection);
    }
    else {
        back_finish_exchange(connection, result.outcome, result.reason);
    }
}

static void
on_drain(io_stream *stream)
{
    (void)stream;
}

static void
on_close(io_stream *stream)
{
    back_connection *connection = (back_connection *)stream;
    back_pool *pool = connection->pool;

    if (connection->next != NULL) {
        connection->next->previous = connection->previous;
    }
    if (connection->previous != NULL) {
        connection->previous->next = connection->next;
    }
    else {
        pool->connections = connection->next;
    }
    pool->connection_count--;
    eng_unref(pool->endpoints, connection->endpoint);
    http_reader_finish(&connection->reader);
    buf_finish(&connection->message);
    free(connection);
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_stream_end,
                                         .on_drain = on_drain,
                                         .on_close = on_close};

/* Takes the connection to an endpoint that became idle last and less than
 * `max_idle` ago; NULL: none. Closes those with input, which the loop has not
 * read yet: the endpoint closed them, or sent data without a request. */
static back_connection *
take_idle(back_pool *pool, lv_handle endpoint, lv_time max_idle)
{
    const back_idle_list *list = find_idle_list(pool, endpoint);
    lv_time now = io_now();

    while (list != NULL && list->first != NULL &&
           lv_elapsed(now, list->first->state_since) < max_idle) {
        back_connection *latest = list->first;

        if (!io_has_unseen_event(&latest->stream)) {
            unlink_idle(latest);
            return latest;
        }
        close_idle(latest);
    }
    return NULL;
}

static back_connection *
open_connection(back_pool *pool, lv_handle endpoint)
{
    const char *address_text = eng_at(pool->endpoints, endpoint)->spec.address;
    back_connection *connection = calloc(1, sizeof *connection);
    struct sockaddr_in address;
    err_error error;

    if (connection == NULL) {
        return NULL;
    }
    if (!io_parse_address(address_text, &address, &error) ||
        !io_stream_init(&connection->stream, &stream_ops, pool->loop)) {
        free(connection);
        return NULL;
    }
    connection->pool = pool;
    connection->endpoint = endpoint;
    connection->max_idle = pool->settings.max_idle;
    connection->state_since = io_now();
    connection->next = pool->connections;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    pool->connections = connection;
    pool->connection_count++;
    pool->counts.opened++;
    eng_ref(pool->endpoints, endpoint);
    http_reader_init(&connection->reader, &back_reader_ops, connection, false,
                     MAX_RESPONSE_HEAD_BYTES);
    buf_init(&connection->message);
    buf_count(&connection->message, pool->memory_used);
    buf_count(&connection->reader.head_text, pool->memory_used);
    buf_count(&connection->reader.headers, pool->memory_used);
    connection->stream.queued_counter = pool->memory_used;
    if (!io_connect(&connection->stream, &address,
                    pool->settings.silence_timeout)) {
        io_close(&connection->stream);
        return NULL;
    }
    return connection;
}

bool
back_start_exchange(back_pool *pool, back_exchange *exchange,
                    lv_handle endpoint, const buf_buffer *message)
{
    lv_time max_idle = exchange->is_non_repeatable
                           ? pool->settings.max_idle_non_repeatable
                           : pool->settings.max_idle;
    back_connection *connection = take_idle(pool, endpoint, max_idle);
    bool is_reused = connection != NULL;

    if (!is_reused) {
        connection = open_connection(pool, endpoint);
    }
    if (connection == NULL) {
        return false;
    }
    buf_clear(&connection->message);
    buf_append(&connection->message, message->data, message->size);
    if (connection->message.has_failed) {
        io_close(&connection->stream);
        return false;
    }
    exchange->connection = connection;
    exchange->has_response_head = false;
    exchange->fault = NULL;
    connection->exchange = exchange;
    if (is_reused) {
        pool->counts.reused++;
        send_message(connection);
    }
    return true;
}

void
back_probe(back_pool *pool, lv_handle endpoint)
{
    back_connection *connection = open_connection(pool, endpoint);

    if (connection != NULL) {
        connection->is_probe = true;
    }
}

bool
back_was_sent(const back_exchange *exchange)
{
    return exchange->connection != NULL && exchange->connection->has_sent;
}

bool
back_has_unseen_event(const back_exchange *exchange)
{
    return exchange->connection != NULL &&
           io_has_unseen_event(&exchange->connection->stream);
}

void
back_cancel_exchange(back_exchange *exchange)
{
    if (exchange->connection != NULL) {
        close_connection(exchange->connection);
    }
}

bool
back_is_connected(const back_pool *pool, lv_handle endpoint)
{
    const back_connection *connection = pool->connections;

    while (connection != NULL &&
           (connection->endpoint != endpoint || connection->ended_at != 0 ||
            !connection->stream.is_connected ||
            connection->stream.is_closing ||
            io_has_unseen_event(&connection->stream))) {
        connection = connection->next;
    }
    return connection != NULL;
}

void
back_withhold(back_pool *pool, lv_handle endpoint)
{
    back_connection *connection = pool->connections;

    while (connection != NULL) {
        back_connection *next = connection->next;

        if (connection->endpoint == endpoint && connection->exchange != NULL &&
            !connection->has_sent && !connection->stream.is_closing) {
            withhold(connection);
        }
        connection = next;
    }
}

void
back_pause_exchange(back_exchange *exchange)
{
    if (exchange->connection != NULL) {
        io_read_stop(&exchange->connection->stream);
    }
}

void
back_resume_exchange(back_exchange *exchange)
{
    if (exchange->connection != NULL) {
        io_read_start(&exchange->connection->stream);
    }
}

void
back_tick(back_pool *pool, lv_time now)
{
    back_connection *connection = pool->connections;

    while (connection != NULL) {
        back_connection *next = connection->next;
        lv_time age = lv_elapsed(now, connection->state_since);

        if (connection->stream.is_closing) {
            connection = next;
            continue;
        }
        if (connection->exchange == NULL) {
            if (age >= connection->max_idle) {
                close_idle(connection);
            }
        }
        else if (!connection->stream.is_connected &&
                 age >= pool->settings.connect_timeout &&
                 !io_has_unseen_event(&connection->stream)) {
            back_finish_exchange(connection, BACK_NOT_SENT, "connect-timeout");
        }
        connection = next;
    }
}

void
back_close_all(back_pool *pool)
{
    back_connection *connection;

    for (connection = pool->connections; connection != NULL;
         connection = connection->next) {
        close_connection(connection);
    }
}

void
back_finish(back_pool *pool)
{
    free(pool->idle);
    pool->idle = NULL;
    pool->idle_capacity = 0;
}
