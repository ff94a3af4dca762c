/*
 * Digests of requests: two requests have the same one if their method, host,
 * target, account and body are the same. Headers do not count, since ids,
 * deadlines and the last event's id differ between a caller's tries.
 */
#ifndef LAVENDER_GATEWAY_DIGEST_H
#define LAVENDER_GATEWAY_DIGEST_H

#include <stddef.h>

#include "lavender/types.h"

#define DIG_NONE 0 /* the memory to compute a digest was exhausted */

typedef struct dig_request {
    const char *method;
    const char *host;
    const char *target;  /* with its query */
    const char *account; /* name; NULL: none */
    const char *body;
    size_t body_size; /* bytes */
} dig_request;

/* Returns the first 8 bytes of a cryptographic hash (SHA-256), so that no
 * account can make a request with the digest of another one's; or DIG_NONE. */
uint64_t dig_compute(const dig_request *request);

/* Returns the key of a stream for the instances: of the attempt that brought
 * its first event, and its account (NULL: none). May be DIG_NONE. */
uint64_t dig_stream(const char *attempt_id, const char *account);

#endif
