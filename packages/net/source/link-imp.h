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

/* Receives queued messages, a limited number at a time. */
void link_receive_batch(link_transport *link);

/* link-inbound.c: ZeroMQ stores the parts of a message until the last one, and
 * does not limit their sum. Without CURVE, connections with incomplete
 * messages are closed when all of them together take too much: first those
 * that have never sent a valid message, the largest first. With CURVE, only
 * the fleet's own instances can send parts. */
bool link_open_inbound(link_transport *link, err_error *error);
void link_close_inbound(link_transport *link);

/* Notes that a message of `size` bytes, frame heads included, has arrived
 * whole on this socket. */
void link_note_message(link_transport *link, int socket, size_t size,
                       bool is_valid);

#endif
