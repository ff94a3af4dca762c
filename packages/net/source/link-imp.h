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

/* link-inbound.c: ZeroMQ buffers the frames of a multipart message until the
 * last one has arrived, and does not limit their total size. Without CURVE,
 * these functions close connections whose incomplete messages together exceed
 * a limit: first connections that have never sent a valid message, the largest
 * first. With CURVE they do nothing: only instances of the fleet can send
 * messages. */
bool link_open_inbound(link_transport *link, err_error *error);
void link_close_inbound(link_transport *link);

/* Counts a message that was received completely on this descriptor. `size` is
 * in bytes and includes frame headers. */
void link_note_message(link_transport *link, int socket, size_t size,
                       bool is_valid);

#endif
