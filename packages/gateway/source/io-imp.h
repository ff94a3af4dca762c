#ifndef LAVENDER_GATEWAY_IO_IMP_H
#define LAVENDER_GATEWAY_IO_IMP_H

#include "lavender-gateway/io.h"

/* io-options.c: options of sockets */

/* Sets the options of a connection. A `silence_timeout` of 0 keeps the
 * kernel's default. */
void io_set_options(uv_tcp_t *tcp, lv_time silence_timeout);

/* Returns whether a connection has these options from its listener. */
bool io_has_options(const uv_tcp_t *tcp, lv_time silence_timeout);

#endif
