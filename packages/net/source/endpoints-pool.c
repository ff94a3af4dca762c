#include <stdlib.h>
#include <string.h>

#include "endpoints-imp.h"

#define POOLS_KEPT 1024
#define NO_TIMEOUT_MILLISECONDS ((uint64_t)1000 * 3600 * 24 * 365)

static uint64_t
to_milliseconds(lv_time time)
{
    return (time + LV_MILLISECOND - 1) / LV_MILLISECOND;
}

bool
client_init(client_context *client, uv_loop_t *loop,
            const client_settings *settings, err_error *error)
{
    memset(client, 0, sizeof *client);
    client->loop = loop;
    client->settings = *settings;
    client->queue = h2o_multithread_create_queue(loop);
    if (client->queue == NULL) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "the HTTP client has no memory");
    }
    h2o_multithread_register_receiver(client->queue, &client->receiver,
                                      h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(loop, &client->zero_timeout, 0);
    h2o_timeout_init(loop, &client->connect_timeout,
                     to_milliseconds(settings->connect_timeout));
    h2o_timeout_init(loop, &client->first_byte_timeout,
                     to_milliseconds(settings->first_byte_timeout));
    h2o_timeout_init(loop, &client->idle_timeout,
                     to_milliseconds(settings->idle_timeout));
    h2o_timeout_init(loop, &client->no_timeout, NO_TIMEOUT_MILLISECONDS);
    client->http.loop = loop;
    client->http.getaddr_receiver = &client->receiver;
    client->http.io_timeout = &client->no_timeout;
    return true;
}

static void
on_pool_closed(uv_handle_t *handle)
{
    free(handle->data);
}

/* libuv ends the handles closed last first, so the closer goes first. */
static void
close_pool(client_context *client, client_pool *pool)
{
    uv_idle_init(client->loop, &pool->closer);
    pool->closer.data = pool;
    uv_close((uv_handle_t *)&pool->closer, on_pool_closed);
    h2o_socketpool_dispose(&pool->sockets);
}

static void
split_address(client_pool *pool)
{
    const char *colon = strrchr(pool->address, ':');
    size_t length = (size_t)(colon - pool->address);

    pool->port = (uint16_t)strtoul(colon + 1, NULL, 10);
    memcpy(pool->host, pool->address, length);
    pool->host[length] = '\0';
    if (pool->host[0] == '[') {
        memmove(pool->host, pool->host + 1, length - 2);
        pool->host[length - 2] = '\0';
    }
}

static void
drop_oldest(client_context *client)
{
    client_pool **oldest = NULL, **link, *pool;
    uint32_t count = 0;

    for (link = &client->pools; *link != NULL; link = &(*link)->next) {
        count++;
        if ((*link)->users == 0 &&
            (oldest == NULL || (*link)->last_use < (*oldest)->last_use)) {
            oldest = link;
        }
    }
    if (count < POOLS_KEPT || oldest == NULL) {
        return;
    }
    pool = *oldest;
    *oldest = pool->next;
    close_pool(client, pool);
}

client_pool *
pool_of(client_context *client, const char *address)
{
    struct sockaddr_storage socket_address;
    socklen_t size;
    client_pool *pool;

    for (pool = client->pools; pool != NULL; pool = pool->next) {
        if (strcmp(pool->address, address) == 0) {
            return pool;
        }
    }
    if (!addr_parse(address, &socket_address, &size)) {
        return NULL;
    }
    pool = calloc(1, sizeof *pool);
    if (pool == NULL) {
        return NULL;
    }
    drop_oldest(client);
    lv_copy_name(pool->address, sizeof pool->address, address);
    split_address(pool);
    h2o_socketpool_init_by_address(&pool->sockets,
                                   (struct sockaddr *)&socket_address, size, 0,
                                   client->settings.max_pooled_connections);
    h2o_socketpool_set_timeout(
        &pool->sockets, client->loop,
        to_milliseconds(client->settings.idle_connection_timeout));
    pool->next = client->pools;
    client->pools = pool;
    return pool;
}

void
client_finish(client_context *client)
{
    client_pool *pool;

    while ((pool = client->pools) != NULL) {
        client->pools = pool->next;
        close_pool(client, pool);
    }
    h2o_timeout_dispose(client->loop, &client->zero_timeout);
    h2o_timeout_dispose(client->loop, &client->connect_timeout);
    h2o_timeout_dispose(client->loop, &client->first_byte_timeout);
    h2o_timeout_dispose(client->loop, &client->idle_timeout);
    h2o_timeout_dispose(client->loop, &client->no_timeout);
    h2o_multithread_unregister_receiver(client->queue, &client->receiver);
    h2o_multithread_destroy_queue(client->queue);
}
