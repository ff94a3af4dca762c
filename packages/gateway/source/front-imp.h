#ifndef LAVENDER_GATEWAY_FRONT_IMP_H
#define LAVENDER_GATEWAY_FRONT_IMP_H

#include "lavender-gateway/front.h"

/* How long bytes sent to a caller may stay unacknowledged before it counts as
 * disconnected. */
#define FRONT_SILENCE_TIMEOUT (10 * LV_SECOND)

/* front-connection.c: one connection */

void front_set_phase(front_connection *connection, front_phase phase);

/* Accepts a connection of the server's listener. When the server has too many,
 * closes the one that was idle longest, or refuses the new one. */
void front_accept_connection(front_server *server);

/* Reports input that was received and not read as a request. */
void front_report_unread(front_connection *connection, const char *reason);

/* Closes a connection that the caller did not close, with a reset if output is
 * still queued: the response would appear to be complete. `reason` is reported
 * if there is unread input. */
void front_close(front_connection *connection, const char *reason);

/* Answers a request that is not passed on, as it is malformed, incomplete or
 * too much, and ends the connection. */
void front_reject_request(front_connection *connection, uint32_t status,
                          const char *reason);

/* Rejects a request with 503 and Retry-After, because the memory is used up.
 */
void front_reject_for_memory(front_connection *connection);

/* Sends a FIN and reads until the caller's, because closing a socket with
 * unread bytes resets the connection and the caller may lose the response. */
void front_begin_lingering(front_connection *connection);

/* Closes a connection that the caller closed. */
void front_disconnect(front_connection *connection);

/* front-pipeline.c: bytes that arrive while a request is processed */

void front_keep_pipelined(front_connection *connection, const char *data,
                          size_t size);

/* Returns the number of bytes that were kept and not used. */
size_t front_pipelined_size(const front_connection *connection);

/* Drops the next bytes, which were read as requests. */
void front_use_pipelined(front_connection *connection, size_t size);
void front_finish_pipelined(front_connection *connection);

/* Is so much output queued that no further request is to be read? The
 * connection may close during the call. */
bool front_is_output_full(front_connection *connection);

/* Reads the connection unless it waits for a response and too many bytes are
 * pipelined, or it is idle and its output is full; the rest then waits at the
 * caller. */
void front_update_reading(front_connection *connection);

/* front-memory.c: memory for data of clients */

/* Counts the memory of a new connection and of its buffers. */
void front_count_memory(front_connection *connection);

/* Lists a connection whose request is incomplete and has just received data,
 * and removes it from its list. */
void front_link_incomplete(front_connection *connection);
void front_unlink_incomplete(front_connection *connection);

/* Rejects incomplete requests until the memory is within its limits: the
 * largest size class first and, within a class, the request that has received
 * nothing for the longest time. Returns whether this connection's request is
 * within the limit for its size. */
bool front_make_room(front_connection *connection);

/* Returns whether the memory is used up. */
bool front_is_memory_full(const front_server *server);

/* Closes the connection with the longest stalled incomplete request. Returns
 * false if none is stalled. */
bool front_close_longest_stalled(front_server *server);

/* front-idle.c: idle connections in the order in which they became idle */

void front_link_idle(front_connection *connection);
void front_unlink_idle(front_connection *connection);

/* Closes the connection that was idle longest, if it was idle for long enough.
 * Returns whether there was one. */
bool front_close_longest_idle(front_server *server);

#endif
