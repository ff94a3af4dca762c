#ifndef LAVENDER_NET_ENDPOINTS_IMP_H
#define LAVENDER_NET_ENDPOINTS_IMP_H

#include "lavender-net/endpoints.h"

/* The connections to one address. It stays while exchanges use it. */
struct client_pool {
    client_pool *next;
    char address[LV_ADDRESS_SIZE];
    char host[LV_ADDRESS_SIZE];
    uint16_t port;
    h2o_socketpool_t sockets;
    uint32_t users;
    uint64_t last_use; /* client_context.started then */
    uv_idle_t closer;  /* tells when the memory may be freed */
};

/* May h2o's client see this beginning of an answer? True while the head is
 * not whole. */
bool head_is_good(const char *bytes, size_t size);

/* The pool of an address, made when new; NULL when it is malformed. */
client_pool *pool_of(client_context *client, const char *address);

#endif
