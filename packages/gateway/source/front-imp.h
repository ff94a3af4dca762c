#ifndef LAVENDER_GATEWAY_FRONT_IMP_H
#define LAVENDER_GATEWAY_FRONT_IMP_H

#include "lavender-gateway/front.h"

/* How long bytes sent to a caller may stay unacknowledged before it counts as
 * disconnected. */
#define FRONT_SILENCE_TIMEOUT (10 * LV_SECOND)

/* Accepts a connection of the server's listener; closes it when the server has
 * too many. */
void front_accept_connection(front_server *server);

/* Reports input that was received and not read as a request. */
void front_report_unread(front_connection *connection, const char *reason);

/* Closes a connection that the caller did not close. `reason` is reported if
 * there is unread input. */
void front_close(front_connection *connection, const char *reason);

void front_set_phase(front_connection *connection, front_phase phase);

#endif
