#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"
#include "guard-imp.h"

struct exch_handle {
    guard_state guard; /* first member */
    client_context *client;
    client_pool *pool;
    const exch_ops *ops;
    void *owner;
    h2o_http1client_t *http; /* NULL unless h2o uses it */
    h2o_timeout_entry_t timeout;
    h2o_socket_cb paused_read_callback; /* NULL unless reading is stopped */
    h2o_iovec_t buffers[2];
    size_t buffer_count;
    bool is_head_method;
    bool use_new_connection;
    bool is_connected;
    bool is_in_callback; /* a callback of ops is on the stack */
    bool is_cancelled;
    bool is_paused;
    bool is_reading_body;
    bool is_chunked;
    exch_handle *next;
    exch_handle **previous_next; /* pointer that refers to this exchange */
    char head[];
};

static void
free_exchange(exch_handle *exchange)
{
    h2o_timeout_unlink(&exchange->timeout);
    guard_stop(&exchange->guard);
    *exchange->previous_next = exchange->next;
    if (exchange->next != NULL) {
        exchange->next->previous_next = exchange->previous_next;
    }
    exchange->pool->exchange_count--;
    exchange->client->open_exchange_count--;
    free(exchange);
}

static void
set_timeout(exch_handle *exchange, h2o_timeout_t *timeout)
{
    h2o_timeout_unlink(&exchange->timeout);
    if (timeout != NULL) {
        h2o_timeout_link(exchange->client->loop, timeout, &exchange->timeout);
    }
}

static void
end_exchange(exch_handle *exchange, exch_result end)
{
    exchange->http = NULL;
    if (end == EXCH_PROTOCOL_ERROR || exchange->guard.fault != SYN_NO_FAULT) {
        exchange->client->malformed_answers++;
        guard_log_fault(&exchange->guard, exchange->pool->address);
    }
    h2o_timeout_unlink(&exchange->timeout);
    if (!exchange->is_cancelled) {
        exchange->is_cancelled = true;
        exchange->ops->on_end(exchange->owner, end);
    }
    free_exchange(exchange);
}

/* A parse error within the body counts as a lost connection, since some
 * servers abort a response with a malformed chunk. */
static exch_result
result_of_error(const exch_handle *exchange, const char *error)
{
    if (error == h2o_http1client_error_is_eos) {
        return EXCH_COMPLETE;
    }
    if (!exchange->is_connected) {
        return EXCH_CONNECT_FAILED;
    }
    return strstr(error, "parse") != NULL && !exchange->is_reading_body
               ? EXCH_PROTOCOL_ERROR
               : EXCH_CONNECTION_LOST;
}

static void
on_timeout(h2o_timeout_entry_t *entry)
{
    exch_handle *exchange =
        H2O_STRUCT_FROM_MEMBER(exch_handle, timeout, entry);

    h2o_http1client_cancel(exchange->http);
    end_exchange(exchange, exchange->is_connected ? EXCH_CONNECTION_LOST
                                                  : EXCH_CONNECT_FAILED);
}

/* Pass the bytes that were read to the owner. Returns false when the owner
 * cancelled the exchange. */
static bool
deliver_body(exch_handle *exchange)
{
    h2o_buffer_t **input = &exchange->http->sock->input;
    bool is_accepted = true;

    if ((*input)->size > 0) {
        is_accepted = exchange->ops->on_body == NULL ||
                      exchange->ops->on_body(exchange->owner, (*input)->bytes,
                                             (*input)->size);
        h2o_buffer_consume(input, (*input)->size);
    }
    return is_accepted && !exchange->is_cancelled;
}

static void
update_reading(exch_handle *exchange)
{
    h2o_socket_t *socket;

    if (exchange->http == NULL || !exchange->is_reading_body) {
        return;
    }
    socket = exchange->http->sock;
    if (exchange->is_paused && exchange->paused_read_callback == NULL) {
        exchange->paused_read_callback = socket->_cb.read;
        h2o_socket_read_stop(socket);
        set_timeout(exchange, NULL);
    }
    else if (!exchange->is_paused && exchange->paused_read_callback != NULL) {
        h2o_socket_read_start(socket, exchange->paused_read_callback);
        exchange->paused_read_callback = NULL;
        guard_resume(&exchange->guard);
        set_timeout(exchange, &exchange->client->idle_timeout);
    }
}

/* h2o reports a connection that closes between two chunks as the end of the
 * body. The last chunk arrives with bytes read, the close without any. */
static bool
is_truncated_chunked_body(const exch_handle *exchange, const char *error)
{
    return error == h2o_http1client_error_is_eos && exchange->is_chunked &&
           exchange->http->sock->bytes_read == 0;
}

static int
on_body(h2o_http1client_t *http, const char *error)
{
    exch_handle *exchange = http->data;
    bool has_bytes = error == NULL || error == h2o_http1client_error_is_eos;

    exchange->is_reading_body = true;
    if (error == NULL &&
        !guard_accepts_body(&exchange->guard, http->sock->input->size)) {
        end_exchange(exchange, EXCH_CONNECTION_LOST);
        return -1;
    }
    exchange->is_in_callback = true;
    if (has_bytes && !deliver_body(exchange)) {
        exchange->is_cancelled = true;
    }
    exchange->is_in_callback = false;
    if (error != NULL) {
        end_exchange(exchange, is_truncated_chunked_body(exchange, error)
                                   ? EXCH_CONNECTION_LOST
                                   : result_of_error(exchange, error));
        return 0;
    }
    if (exchange->is_cancelled) {
        end_exchange(exchange, EXCH_CONNECTION_LOST);
        return -1;
    }
    set_timeout(exchange, &exchange->client->idle_timeout);
    update_reading(exchange);
    return 0;
}

static void
read_head(exch_handle *exchange, exch_response_head *head, int status,
          h2o_header_t *headers, size_t count)
{
    size_t i;

    *head = (exch_response_head){.status = status,
                                 .headers = headers,
                                 .header_count = count,
                                 .content_length = UINT64_MAX};
    for (i = 0; i < count; i++) {
        if (headers[i].name == &H2O_TOKEN_CONTENT_LENGTH->buf) {
            head->content_length =
                h2o_strtosize(headers[i].value.base, headers[i].value.len);
            head->is_framed = true;
        }
        else if (headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf) {
            head->is_framed = true;
            exchange->is_chunked = true;
        }
    }
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *http, const char *error, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
        int head_size)
{
    exch_handle *exchange = http->data;
    bool is_end = error == h2o_http1client_error_is_eos;
    exch_response_head head;

    (void)minor_version;
    (void)message;
    (void)head_size;
    if (error != NULL && !is_end) {
        end_exchange(exchange, result_of_error(exchange, error));
        return NULL;
    }
    set_timeout(exchange, &exchange->client->idle_timeout);
    read_head(exchange, &head, status, headers, count);
    head.is_framed |= is_end;
    exchange->is_in_callback = true;
    if (exchange->ops->on_head != NULL &&
        !exchange->ops->on_head(exchange->owner, &head)) {
        exchange->is_cancelled = true;
    }
    exchange->is_in_callback = false;
    if (exchange->is_cancelled || is_end) {
        end_exchange(exchange, EXCH_COMPLETE);
        return NULL;
    }
    return on_body;
}

static void
on_fault(guard_state *guard)
{
    exch_handle *exchange = (exch_handle *)guard;

    h2o_http1client_cancel(exchange->http);
    end_exchange(exchange, guard->fault == SYN_BAD_CHUNK
                               ? EXCH_CONNECTION_LOST
                               : EXCH_PROTOCOL_ERROR);
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *http, const char *error, h2o_iovec_t **buffers,
           size_t *count, int *is_head_method)
{
    exch_handle *exchange = http->data;
    bool is_allowed = true;

    exchange->http = http;
    if (error != NULL) {
        end_exchange(exchange, EXCH_CONNECT_FAILED);
        return NULL;
    }
    exchange->is_in_callback = true;
    if (exchange->ops->on_connected != NULL) {
        is_allowed = exchange->ops->on_connected(exchange->owner);
    }
    exchange->is_in_callback = false;
    if (!is_allowed || exchange->is_cancelled) {
        end_exchange(exchange, EXCH_DECLINED);
        return NULL;
    }
    exchange->is_connected = true;
    *buffers = exchange->buffers;
    *count = exchange->buffer_count;
    *is_head_method = exchange->is_head_method;
    set_timeout(exchange, &exchange->client->first_byte_timeout);
    exchange->guard.on_fault = on_fault;
    guard_start(&exchange->guard, http, exchange->client->loop,
                &exchange->client->zero_timeout);
    return on_head;
}

/* h2o may call on_connect from within its connect function. Connecting from a
 * zero timeout ensures that ops is not called before exch_start returns. */
static void
on_start(h2o_timeout_entry_t *entry)
{
    exch_handle *exchange =
        H2O_STRUCT_FROM_MEMBER(exch_handle, timeout, entry);
    client_context *client = exchange->client;
    client_pool *pool = exchange->pool;

    exchange->timeout.cb = on_timeout;
    set_timeout(exchange, &client->connect_timeout);
    if (exchange->use_new_connection) {
        h2o_http1client_connect(&exchange->http, exchange, &client->http,
                                h2o_iovec_init(pool->host, strlen(pool->host)),
                                pool->port, 0, on_connect);
        return;
    }
    h2o_http1client_connect_with_pool(&exchange->http, exchange, &client->http,
                                      &pool->sockets, on_connect);
}

static exch_handle *
new_exchange(client_context *client, const exch_request *request,
             const exch_ops *ops, void *owner)
{
    exch_handle *exchange = calloc(1, sizeof *exchange + request->head_size);

    if (exchange == NULL) {
        return NULL;
    }
    exchange->client = client;
    exchange->ops = ops;
    exchange->owner = owner;
    exchange->is_head_method = request->is_head_method;
    exchange->use_new_connection = request->needs_new_connection;
    memcpy(exchange->head, request->head, request->head_size);
    exchange->buffers[0] = h2o_iovec_init(exchange->head, request->head_size);
    exchange->buffers[1] = h2o_iovec_init(request->body, request->body_size);
    exchange->buffer_count = request->body_size > 0 ? 2 : 1;
    return exchange;
}

exch_handle *
exch_start(client_context *client, const exch_request *request,
           const exch_ops *ops, void *owner)
{
    client_pool *pool = client_pool_find_or_create(client, request->address);
    exch_handle *exchange;

    if (pool == NULL) {
        return NULL;
    }
    exchange = new_exchange(client, request, ops, owner);
    if (exchange == NULL) {
        return NULL;
    }
    exchange->pool = pool;
    pool->exchange_count++;
    pool->last_used = ++client->started_count;
    client->open_exchange_count++;
    exchange->next = client->open_list;
    exchange->previous_next = &client->open_list;
    if (exchange->next != NULL) {
        exchange->next->previous_next = &exchange->next;
    }
    client->open_list = exchange;
    exchange->timeout.cb = on_start;
    set_timeout(exchange, &client->zero_timeout);
    return exchange;
}

void
exch_cancel(exch_handle *exchange)
{
    exchange->is_cancelled = true;
    if (exchange->is_in_callback) {
        return;
    }
    if (exchange->http != NULL) {
        h2o_http1client_cancel(exchange->http);
    }
    free_exchange(exchange);
}

void
client_abort(client_context *client)
{
    exch_handle *exchange;

    /* Each iteration removes the first exchange from the list, which the
     * analyzer does not follow through `previous_next`. */
    while ((exchange = client->open_list) != NULL) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        if (exchange->http != NULL) {
            h2o_http1client_cancel(exchange->http);
        }
        end_exchange(exchange, EXCH_CONNECTION_LOST);
    }
}

void
exch_set_paused(exch_handle *exchange, bool is_paused)
{
    exchange->is_paused = is_paused;
    if (!exchange->is_in_callback) {
        update_reading(exchange);
    }
}
