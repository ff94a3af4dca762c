/*
 * Streams that may be resumed: endpoints of two software versions, and clients
 * that take a broken stream up again as PROTOCOL.md and NEWS.md say.
 */
#ifndef STREAM_H
#define STREAM_H

#include "stand.h"

#define STREAMS_MAX 64

typedef struct stream_plan {
    int gateways;
    int streams;
    int events;        /* of each stream */
    double event_ms;   /* between two of them */
    double timeout_ms; /* of the route, and the deadline of the clients */
} stream_plan;

/* Publishes a configuration with one route, /chat/, and starts the gateways
 * and the endpoints. */
void stream_start(const stream_plan *plan, stand_endpoint *endpoints,
                  int count);

/* Starts one endpoint of the service. */
void stream_start_endpoint(stand_endpoint *endpoint);

/* Starts the clients. Their first attempts go to one gateway, or, with -1, to
 * all in turn; each retry goes to the next gateway. */
void stream_start_clients(int gateway);

/* Clients wait before they retry while this is set. */
void stream_hold_retries(bool is_held);

/* Waits for the end of all streams. */
void stream_wait(void);

/* Records the streams that hold events of the versions v1 and v2, and returns
 * how many hold events of both. */
int stream_count_mixed(int *old);

#endif
