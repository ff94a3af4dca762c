/*
 * An exchange of the HTTP client whose callbacks are recorded.
 */
#ifndef WATCHER_H
#define WATCHER_H

#include "lavender-net/endpoints.h"

#define WATCH_HANG_S 120 /* ends a test whose exchange does not end */

typedef struct watch_watcher {
    uv_loop_t *loop;
    bool is_refused; /* at on_connected */
    bool is_paused;  /* at each part of the body */
    bool is_ended;
    int ready; /* calls of on_connected */
    exch_result end;
    exch_response_head head;
    size_t size; /* of the body */
    exch_handle *exchange;
} watch_watcher;

/* Short time-outs. */
extern const client_settings watch_settings;

/* Start an exchange and run the loop until it has ended. */
void watch_ask(client_context *client, watch_watcher *self,
               const char *address, bool is_fresh);

/* Close the client, which must be idle, and the loop. */
void watch_finish(client_context *client, uv_loop_t *loop);

#endif
