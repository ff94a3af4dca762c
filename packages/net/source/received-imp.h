#ifndef LAVENDER_NET_RECEIVED_IMP_H
#define LAVENDER_NET_RECEIVED_IMP_H

#include <stdint.h>

/* Returns the bytes that a TCP connection has received since it was
 * established; 0 when the system does not tell. */
uint64_t received_count(int socket);

#endif
