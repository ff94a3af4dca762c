/*
 * What the files of the peer links share.
 */
#ifndef LAVENDER_NET_LINK_IMP_H
#define LAVENDER_NET_LINK_IMP_H

#include "lavender-net/link.h"

/* Fill in an error from ZeroMQ's last one; returns false. */
bool link_fail(err_error *error, const char *remedy, const char *what);

/* The descriptor to poll for a socket. */
int link_descriptor_of(void *socket);

/* With CURVE, ZeroMQ asks an in-process service (ZAP, RFC 27) about each
 * client key: only the fleet's own key is let in. */
bool link_open_authenticator(link_transport *link, err_error *error);
void link_close_authenticator(link_transport *link);

#endif
