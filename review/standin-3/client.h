/*
 * Clients that ask for streams of events.
 */
#ifndef CLIENT_H
#define CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#define CLIENT_EVENTS_MAX 512

/* A stream as its client sees it, over all of its tries. */
typedef struct client_stream {
    char path[64];
    int expected;      /* events */
    const char *parts; /* shared ones of the prompt; NULL: one */
    int count;     /* events received in order; -1: one is missing, or twice */
    int status;    /* of the latest answer; 0: none */
    bool is_whole; /* the latest answer looks whole */
    bool has_two_versions;
    char first_version[8];
    char attempts[4][32];
    uint32_t attempt_count;
} client_stream;

/* Sends the request to a gateway, or takes the stream up after the last event,
 * and reads the answer to its end. */
void client_call(client_stream *stream, uint16_t port, uint64_t deadline_ms);

#endif
