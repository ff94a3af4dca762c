/*
 * Internal interface of the peer links.
 */
#ifndef LAVENDER_NET_LINK_IMP_H
#define LAVENDER_NET_LINK_IMP_H

#include "lavender-net/link.h"

/* Sets error to context and the text of ZeroMQ's last error. Returns false. */
bool link_set_zmq_error(err_error *error, const char *remedy,
                        const char *context);

/* Returns the descriptor to poll for events of a ZeroMQ socket, or -1. */
int link_poll_descriptor(void *socket);

/* With CURVE, ZeroMQ asks an in-process handler (ZAP, ZeroMQ RFC 27) about the
 * key of each client. The handler accepts only the fleet's own key. Without
 * CURVE both functions do nothing. */
bool link_open_authenticator(link_transport *link, err_error *error);
void link_close_authenticator(link_transport *link);

#endif
