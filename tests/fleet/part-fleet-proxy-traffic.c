#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "common-usage.h"
#include "part-fleet-proxy.h"

static void arm_timer(proxy_proxy *proxy);

bool
proxy_is_match(const char *pattern, const char *name)
{
    return strcmp(pattern, ANY) == 0 || strcmp(pattern, name) == 0;
}

/* What all rules of a pair amount to: the last delay, any of the others. */
static rule_rule
read_rules(const proxy_proxy *proxy, const char *source, const char *target)
{
    rule_rule sum = {0};

    for (uint32_t i = 0; i < proxy->rule_count; i++) {
        const rule_rule *rule = &proxy->rules[i];

        if (!proxy_is_match(rule->source, source) ||
            !proxy_is_match(rule->target, target)) {
            continue;
        }
        if (rule->has_delay) {
            sum.delay_us = rule->delay_us;
        }
        sum.is_partitioned = sum.is_partitioned || rule->is_partitioned;
        sum.is_refused = sum.is_refused || rule->is_refused;
    }
    return sum;
}

static void
free_chunks(direction_direction *direction)
{
    while (direction->first != NULL) {
        chunk_chunk *chunk = direction->first;

        direction->first = chunk->next;
        free(chunk);
    }
}

static void
on_handle_closed(uv_handle_t *handle)
{
    connection_connection *connection = handle->data;
    proxy_proxy *proxy = connection->target->proxy;
    connection_connection **link = &proxy->connections;

    if (--connection->open_handles > 0) {
        return;
    }
    while (*link != connection) {
        link = &(*link)->next;
    }
    *link = connection->next;
    free_chunks(&connection->forward);
    free_chunks(&connection->backward);
    proxy->closed++;
    free(connection);
}

void
proxy_close_connection(connection_connection *connection)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    uv_close((uv_handle_t *)&connection->client, on_handle_closed);
    uv_close((uv_handle_t *)&connection->server, on_handle_closed);
}

typedef struct write_write {
    uv_write_t super;
    chunk_chunk *chunk;
} write_write;

static void
on_written(uv_write_t *request, int status)
{
    write_write *write = (write_write *)request;

    (void)status;
    free(write->chunk);
    free(write);
}

static bool
is_held(const connection_connection *connection)
{
    return connection->is_partitioned || connection->is_silent;
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf);
static void on_allocate(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer);

static void
send_first(direction_direction *direction)
{
    chunk_chunk *chunk = direction->first;
    write_write *write = malloc(sizeof *write);
    uv_buf_t buffer = uv_buf_init(chunk->bytes, (unsigned)chunk->size);

    if (write == NULL) {
        abort();
    }
    direction->first = chunk->next;
    if (direction->first == NULL) {
        direction->last = &direction->first;
    }
    direction->queued -= chunk->size;
    direction->connection->target->proxy->bytes += chunk->size;
    write->chunk = chunk;
    if (uv_write(&write->super, (uv_stream_t *)direction->to, &buffer, 1,
                 on_written) != 0) {
        free(chunk);
        free(write);
        proxy_close_connection(direction->connection);
        return;
    }
    if (direction->is_paused && direction->queued < QUEUE_MAX / 2) {
        direction->is_paused = false;
        uv_read_start((uv_stream_t *)direction->from, on_allocate, on_read);
    }
}

static void
pump(direction_direction *direction, uint64_t now_us)
{
    connection_connection *connection = direction->connection;

    if (connection->is_closing || is_held(connection)) {
        return;
    }
    while (direction->first != NULL && direction->first->due_us <= now_us &&
           !connection->is_closing) {
        send_first(direction);
    }
    if (direction->first == NULL && direction->is_ended) {
        proxy_close_connection(connection);
    }
}

void
proxy_pump_all(proxy_proxy *proxy)
{
    uint64_t now_us = usage_now_us();

    for (connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        pump(&one->forward, now_us);
        pump(&one->backward, now_us);
    }
    arm_timer(proxy);
}

static uint64_t
first_due(const direction_direction *direction)
{
    if (direction->first == NULL || is_held(direction->connection) ||
        direction->connection->is_closing) {
        return UINT64_MAX;
    }
    return direction->first->due_us;
}

static void
arm_timer(proxy_proxy *proxy)
{
    struct itimerspec at = {0};
    uint64_t due_us = UINT64_MAX;

    for (connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        uint64_t forward = first_due(&one->forward);
        uint64_t backward = first_due(&one->backward);

        due_us = forward < due_us ? forward : due_us;
        due_us = backward < due_us ? backward : due_us;
    }
    if (due_us != UINT64_MAX) {
        at.it_value.tv_sec = (time_t)(due_us / 1000000);
        at.it_value.tv_nsec = (long)(due_us % 1000000 * 1000) + 1;
    }
    timerfd_settime(proxy->timer, TFD_TIMER_ABSTIME, &at, NULL);
}

void
proxy_on_timer(uv_poll_t *poll, int status, int events)
{
    proxy_proxy *proxy = poll->data;
    uint64_t expirations;

    (void)status;
    (void)events;
    if (read(proxy->timer, &expirations, sizeof expirations) > 0) {
        proxy_pump_all(proxy);
    }
}

static void
on_allocate(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
    connection_connection *connection = handle->data;

    (void)wanted;
    *buffer = uv_buf_init(connection->target->proxy->chunk, CHUNK_SIZE);
}

static void
append_chunk(direction_direction *direction, const char *bytes, size_t size)
{
    chunk_chunk *chunk = malloc(sizeof *chunk + size);

    if (chunk == NULL) {
        abort();
    }
    chunk->due_us = usage_now_us() + direction->connection->delay_us;
    chunk->size = size;
    chunk->next = NULL;
    memcpy(chunk->bytes, bytes, size);
    *direction->last = chunk;
    direction->last = &chunk->next;
    direction->queued += size;
    if (direction->queued > QUEUE_MAX) {
        direction->is_paused = true;
        uv_read_stop((uv_stream_t *)direction->from);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    connection_connection *connection = stream->data;
    direction_direction *direction =
        stream == (uv_stream_t *)&connection->client ? &connection->forward
                                                     : &connection->backward;

    if (connection->is_silent) {
        connection->target->proxy->swallowed +=
            count > 0 ? (uint64_t)count : 0;
        if (count < 0) {
            uv_read_stop(stream);
        }
        return;
    }
    if (count < 0) {
        direction->is_ended = true;
        uv_read_stop(stream);
    }
    else if (count > 0) {
        append_chunk(direction, buffer->base, (size_t)count);
    }
    pump(direction, usage_now_us());
    arm_timer(connection->target->proxy);
}

static void
on_connected(uv_connect_t *request, int status)
{
    connection_connection *connection = request->data;

    if (connection->is_closing) {
        return;
    }
    if (status != 0) {
        proxy_close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->server, 1);
    uv_read_start((uv_stream_t *)&connection->client, on_allocate, on_read);
    uv_read_start((uv_stream_t *)&connection->server, on_allocate, on_read);
}

void
proxy_apply_rules(connection_connection *connection)
{
    rule_rule sum = read_rules(connection->target->proxy, connection->source,
                               connection->target->name);

    connection->delay_us = sum.delay_us;
    connection->is_partitioned = sum.is_partitioned;
}

static void
init_direction(direction_direction *direction,
               connection_connection *connection, uv_tcp_t *from, uv_tcp_t *to)
{
    direction->connection = connection;
    direction->from = from;
    direction->to = to;
    direction->last = &direction->first;
}

static connection_connection *
make_connection(target_target *target)
{
    connection_connection *connection = calloc(1, sizeof *connection);

    if (connection == NULL) {
        abort();
    }
    connection->target = target;
    connection->open_handles = 2;
    uv_tcp_init(&target->proxy->loop, &connection->client);
    uv_tcp_init(&target->proxy->loop, &connection->server);
    connection->client.data = connection;
    connection->server.data = connection;
    connection->connect.data = connection;
    init_direction(&connection->forward, connection, &connection->client,
                   &connection->server);
    init_direction(&connection->backward, connection, &connection->server,
                   &connection->client);
    connection->next = target->proxy->connections;
    target->proxy->connections = connection;
    target->proxy->accepted++;
    return connection;
}

static void
read_source(connection_connection *connection)
{
    struct sockaddr_in name;
    int size = sizeof name;

    if (uv_tcp_getpeername(&connection->client, (struct sockaddr *)&name,
                           &size) == 0) {
        uv_ip4_name(&name, connection->source, sizeof connection->source);
    }
}

void
proxy_on_connection(uv_stream_t *stream, int status)
{
    target_target *target = stream->data;
    connection_connection *connection;
    char host[HTTP_ADDRESS_SIZE];
    uint16_t port = 0;
    struct sockaddr_in name;

    if (status != 0) {
        return;
    }
    connection = make_connection(target);
    if (uv_accept(stream, (uv_stream_t *)&connection->client) != 0) {
        proxy_close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->client, 1);
    read_source(connection);
    proxy_apply_rules(connection);
    http_parse_address(target->address, host, &port);
    uv_ip4_addr(host, port, &name);
    if (read_rules(target->proxy, connection->source, target->name)
            .is_refused ||
        uv_tcp_connect(&connection->connect, &connection->server,
                       (struct sockaddr *)&name, on_connected) != 0) {
        proxy_close_connection(connection);
    }
}
