/*
 * The callers' side: HTTP/1.1 and HTTP/2 listeners, and each request from
 * its arrival to its answer.
 *
 * A request is authenticated (bearer key), matched with route, model and
 * catalogue entry, and handed to the entry role, which asks for attempts.
 * The answer of an attempt is passed on piece by piece; no more than
 * `buffer` bytes of it wait for a slow caller. Each answer or refusal ends
 * with one outcome: in the Lavender-Outcome header when it was whole before
 * its head went out, in a last event on a stream, and by a cut connection
 * when anything else was cut.
 */
#ifndef LAVENDER_NET_CALLERS_H
#define LAVENDER_NET_CALLERS_H

#include "lavender-net/endpoints.h"
#include "lavender/metrics.h"

typedef struct call_settings {
    char address[LV_ADDRESS_SIZE]; /* IP:PORT */
    char tls_certificate[256];     /* "": no TLS */
    char tls_key[256];
    uint32_t max_open_connections; /* open at one time */
    uint32_t max_active_requests;  /* in hand at one time */
    uint64_t max_memory_used;      /* bytes of bodies and buffers in hand */
    uint64_t max_request_body;     /* bytes of one request's body */
    uint64_t
        max_unsent_response; /* bytes of an answer that wait for its caller */
    uint64_t
        max_whole_response; /* an answer up to this is sent when it is whole */
    lv_time head_timeout;   /* for a request to arrive whole */
    lv_time idle_timeout;   /* of a connection between requests (HTTP/2) */
    lv_time stall_timeout;  /* a caller that takes nothing of its answer for
                               so long is given up */
    uint64_t
        max_relayed_response; /* bytes of an answer relayed for a ticket */
} call_settings;

typedef struct call_counts {
    uint64_t connections_accepted;
    uint64_t connections_refused;
    uint64_t requests_received;
    uint64_t callers_disconnected; /* callers that went away before their
                                      answer's end */
    uint64_t
        callers_stalled; /* of these, given up because they did not read */
    uint64_t not_done_by_reason[OUT_REASON_COUNT];
    uint64_t finished_by_outcome[OUT_UNKNOWN + 1];
    uint64_t tickets_minted;
    uint64_t tickets_joined;
    uint64_t tickets_replayed;
    uint64_t tickets_relayed;
    uint64_t body_bytes_in;
    uint64_t body_bytes_out;
    uint64_t mismatched_responses; /* answers that named another request */
    uint32_t open_connections;
    uint32_t active_requests;
    uint64_t memory_used;
    met_histogram latency;    /* from arrival to the end */
    met_histogram first_byte; /* from arrival to the first byte */
} call_counts;

typedef struct call_server call_server;

/* Reads a clock: microseconds that only go up. */
typedef lv_time call_clock(void);

call_server *call_new(uv_loop_t *loop, const call_settings *settings,
                      node_state *node, client_context *client,
                      call_clock *clock, const char *instance,
                      err_error *error);

/* Take connections; errors say what could not be opened. */
bool call_listen(call_server *server, err_error *error);

/* What the host asks for (see lv_host_ops). */
void call_start_attempt(call_server *server, const lv_attempt *attempt);
void call_cancel_attempt(call_server *server, lv_handle request,
                         uint32_t number);
void call_finish_request(call_server *server, lv_handle request,
                         const out_outcome *outcome);

/* Open the attempts that were asked for. Call once in each turn of the
 * loop, before it sleeps. */
void call_run_deferred(call_server *server);

/* Requests in hand, queued answers included. */
uint32_t call_active_requests(const call_server *server);

/* Refuse new requests with `draining`, close connections as they get idle. */
void call_drain(call_server *server);

/* Close everything; the loop must run until its handles are closed, then
 * call_free. */
void call_close(call_server *server);
void call_free(call_server *server);

void call_read_counts(const call_server *server, call_counts *counts);

#endif
