#ifndef LAVENDER_NET_ENDPOINTS_IMP_H
#define LAVENDER_NET_ENDPOINTS_IMP_H

#include "lavender-net/endpoints.h"

/* The pooled connections to one address. Not freed while exchanges use it. */
struct client_pool {
    client_pool *next;
    char address[LV_ADDRESS_SIZE];
    char host[LV_ADDRESS_SIZE];
    uint16_t port;
    h2o_socketpool_t sockets;
    uint32_t exchange_count;
    uint64_t last_used;     /* client_context.started_count at the last use */
    uv_idle_t close_handle; /* its close callback frees the pool */
};

/* Find the pool of an address or create it. Returns NULL when the address is
 * malformed or memory runs out. */
client_pool *client_pool_find_or_create(client_context *client,
                                        const char *address);

#endif
