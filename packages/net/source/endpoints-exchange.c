#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"

struct exch_handle {
    client_context *client;
    client_pool *pool;
    const exch_ops *ops;
    void *owner;
    h2o_http1client_t *http; /* NULL once h2o is done with it */
    h2o_timeout_entry_t timeout;
    h2o_timeout_entry_t guard;
    h2o_socket_cb send_callback; /* h2o's own, behind the guard */
    h2o_socket_cb head_callback;
    h2o_socket_cb paused_reader;
    h2o_iovec_t buffers[2];
    size_t buffer_count;
    bool is_head_method;
    bool is_fresh;
    bool is_connected;
    bool is_calling; /* an h2o callback is on the stack */
    bool is_cancelled;
    bool is_paused;
    bool is_reading_body;
    bool is_chunked;
    exch_handle *next;
    exch_handle **link; /* what points to this one */
    char head[];
};

static void
release(exch_handle *exchange)
{
    h2o_timeout_unlink(&exchange->timeout);
    h2o_timeout_unlink(&exchange->guard);
    *exchange->link = exchange->next;
    if (exchange->next != NULL) {
        exchange->next->link = exchange->link;
    }
    exchange->pool->users--;
    exchange->client->open_exchange_count--;
    free(exchange);
}

static void
set_deadline(exch_handle *exchange, h2o_timeout_t *timeout)
{
    h2o_timeout_unlink(&exchange->timeout);
    if (timeout != NULL) {
        h2o_timeout_link(exchange->client->loop, timeout, &exchange->timeout);
    }
}

static void
finish(exch_handle *exchange, exch_result end)
{
    exchange->http = NULL;
    h2o_timeout_unlink(&exchange->timeout);
    if (!exchange->is_cancelled) {
        exchange->is_cancelled = true;
        exchange->ops->on_end(exchange->owner, end);
    }
    release(exchange);
}

/* Some servers cut an answer by a malformed chunk, so that is a loss. */
static exch_result
end_of(const exch_handle *exchange, const char *error)
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
on_deadline(h2o_timeout_entry_t *entry)
{
    exch_handle *exchange =
        H2O_STRUCT_FROM_MEMBER(exch_handle, timeout, entry);

    h2o_http1client_cancel(exchange->http);
    finish(exchange, exchange->is_connected ? EXCH_CONNECTION_LOST
                                            : EXCH_CONNECT_FAILED);
}

/* Pass what was read on; false when the exchange was dropped. */
static bool
pass_body(exch_handle *exchange)
{
    h2o_buffer_t **input = &exchange->http->sock->input;
    bool goes_on = true;

    if ((*input)->size > 0) {
        goes_on = exchange->ops->on_body == NULL ||
                  exchange->ops->on_body(exchange->owner, (*input)->bytes,
                                         (*input)->size);
        h2o_buffer_consume(input, (*input)->size);
    }
    return goes_on && !exchange->is_cancelled;
}

static void
apply_pause(exch_handle *exchange)
{
    h2o_socket_t *socket;

    if (exchange->http == NULL || !exchange->is_reading_body) {
        return;
    }
    socket = exchange->http->sock;
    if (exchange->is_paused && exchange->paused_reader == NULL) {
        exchange->paused_reader = socket->_cb.read;
        h2o_socket_read_stop(socket);
        set_deadline(exchange, NULL);
    }
    else if (!exchange->is_paused && exchange->paused_reader != NULL) {
        h2o_socket_read_start(socket, exchange->paused_reader);
        exchange->paused_reader = NULL;
        set_deadline(exchange, &exchange->client->idle_timeout);
    }
}

/* h2o takes a connection that closes between two chunks for the end of the
 * body. The last chunk comes with bytes, the close without. */
static bool
is_cut(const exch_handle *exchange, const char *error)
{
    return error == h2o_http1client_error_is_eos && exchange->is_chunked &&
           exchange->http->sock->bytes_read == 0;
}

static int
on_body(h2o_http1client_t *http, const char *error)
{
    exch_handle *exchange = http->data;
    bool has_bytes = error == NULL || error == h2o_http1client_error_is_eos;

    exchange->is_calling = true;
    exchange->is_reading_body = true;
    if (has_bytes && !pass_body(exchange)) {
        exchange->is_cancelled = true;
    }
    exchange->is_calling = false;
    if (error != NULL) {
        finish(exchange, is_cut(exchange, error) ? EXCH_CONNECTION_LOST
                                                 : end_of(exchange, error));
        return 0;
    }
    if (exchange->is_cancelled) {
        finish(exchange, EXCH_CONNECTION_LOST);
        return -1;
    }
    set_deadline(exchange, &exchange->client->idle_timeout);
    apply_pause(exchange);
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
        finish(exchange, end_of(exchange, error));
        return NULL;
    }
    set_deadline(exchange, &exchange->client->idle_timeout);
    read_head(exchange, &head, status, headers, count);
    head.is_framed |= is_end;
    exchange->is_calling = true;
    if (exchange->ops->on_head != NULL &&
        !exchange->ops->on_head(exchange->owner, &head)) {
        exchange->is_cancelled = true;
    }
    exchange->is_calling = false;
    if (exchange->is_cancelled || is_end) {
        finish(exchange, EXCH_COMPLETE);
        return NULL;
    }
    return on_body;
}

static exch_handle *
exchange_of(h2o_socket_t *socket)
{
    return ((h2o_http1client_t *)socket->data)->data;
}

/* h2o's client ends the process over a head whose length or coding it does
 * not take, so such a head must not reach it. */
static void
on_head_bytes(h2o_socket_t *socket, const char *error)
{
    exch_handle *exchange = exchange_of(socket);

    if (error == NULL &&
        !head_is_good(socket->input->bytes, socket->input->size)) {
        h2o_http1client_cancel(exchange->http);
        finish(exchange, EXCH_PROTOCOL_ERROR);
        return;
    }
    exchange->head_callback(socket, error);
}

static void
guard_head(h2o_socket_t *socket)
{
    exch_handle *exchange = exchange_of(socket);

    if (socket->_cb.read != NULL) {
        exchange->head_callback = socket->_cb.read;
        socket->_cb.read = on_head_bytes;
    }
}

static void
on_sent(h2o_socket_t *socket, const char *error)
{
    exchange_of(socket)->send_callback(socket, error);
    if (error == NULL) {
        guard_head(socket);
    }
}

/* h2o sets its callbacks after on_connect; none of them can have run yet. */
static void
on_guard(h2o_timeout_entry_t *entry)
{
    exch_handle *exchange = H2O_STRUCT_FROM_MEMBER(exch_handle, guard, entry);
    h2o_socket_t *socket = exchange->http->sock;

    if (socket->_cb.write != NULL) {
        exchange->send_callback = socket->_cb.write;
        socket->_cb.write = on_sent;
    }
    else {
        guard_head(socket);
    }
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *http, const char *error, h2o_iovec_t **buffers,
           size_t *count, int *is_head_method)
{
    exch_handle *exchange = http->data;
    bool may_go = true;

    exchange->http = http;
    if (error != NULL) {
        finish(exchange, EXCH_CONNECT_FAILED);
        return NULL;
    }
    exchange->is_calling = true;
    if (exchange->ops->on_connected != NULL) {
        may_go = exchange->ops->on_connected(exchange->owner);
    }
    exchange->is_calling = false;
    if (!may_go || exchange->is_cancelled) {
        finish(exchange, EXCH_DECLINED);
        return NULL;
    }
    exchange->is_connected = true;
    *buffers = exchange->buffers;
    *count = exchange->buffer_count;
    *is_head_method = exchange->is_head_method;
    set_deadline(exchange, &exchange->client->first_byte_timeout);
    exchange->guard.cb = on_guard;
    h2o_timeout_link(exchange->client->loop, &exchange->client->zero_timeout,
                     &exchange->guard);
    return on_head;
}

/* h2o may connect within the call that asks for it; the owner is only told
 * once it has the exchange. */
static void
on_start(h2o_timeout_entry_t *entry)
{
    exch_handle *exchange =
        H2O_STRUCT_FROM_MEMBER(exch_handle, timeout, entry);
    client_context *client = exchange->client;
    client_pool *pool = exchange->pool;

    exchange->timeout.cb = on_deadline;
    set_deadline(exchange, &client->connect_timeout);
    if (exchange->is_fresh) {
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
    exchange->is_fresh = request->needs_new_connection;
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
    client_pool *pool = pool_of(client, request->address);
    exch_handle *exchange;

    if (pool == NULL) {
        return NULL;
    }
    exchange = new_exchange(client, request, ops, owner);
    if (exchange == NULL) {
        return NULL;
    }
    exchange->pool = pool;
    pool->users++;
    pool->last_use = ++client->started;
    client->open_exchange_count++;
    exchange->next = client->first;
    exchange->link = &client->first;
    if (exchange->next != NULL) {
        exchange->next->link = &exchange->next;
    }
    client->first = exchange;
    exchange->timeout.cb = on_start;
    set_deadline(exchange, &client->zero_timeout);
    return exchange;
}

void
exch_cancel(exch_handle *exchange)
{
    exchange->is_cancelled = true;
    if (exchange->is_calling) {
        return;
    }
    if (exchange->http != NULL) {
        h2o_http1client_cancel(exchange->http);
    }
    release(exchange);
}

void
client_abort(client_context *client)
{
    exch_handle *exchange;

    /* Each turn takes the first one off the list, which the analyzer does
     * not follow through `link`. */
    while ((exchange = client->first) != NULL) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        if (exchange->http != NULL) {
            h2o_http1client_cancel(exchange->http);
        }
        finish(exchange, EXCH_CONNECTION_LOST);
    }
}

void
exch_set_paused(exch_handle *exchange, bool is_paused)
{
    exchange->is_paused = is_paused;
    if (!exchange->is_calling) {
        apply_pause(exchange);
    }
}
