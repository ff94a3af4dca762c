/*
 * The HTTP/1.1 and HTTP/2 server for callers, which handles each request from
 * its arrival to the end of its response.
 *
 * A request is authenticated by its bearer key, matched with a route, a model
 * and a catalogue entry, and submitted to the entry role, which requests
 * attempts at endpoints. The response of an attempt is streamed to the caller;
 * reading from the endpoint pauses while max_unsent_response bytes wait for a
 * slow caller. Every response ends with exactly one outcome: in the
 * Lavender-Outcome header when the body was complete before the head was sent,
 * in a last event of an event stream, and otherwise, if the request failed, by
 * an aborted connection or stream.
 */
#ifndef LAVENDER_NET_CALLERS_H
#define LAVENDER_NET_CALLERS_H

#include "lavender-net/endpoints.h"
#include "lavender/metrics.h"

typedef struct call_settings {
    char address[LV_ADDRESS_SIZE]; /* IP:PORT */
    char tls_certificate[256];     /* PEM file; "": no TLS */
    char tls_key[256];             /* PEM file */
    uint32_t max_open_connections; /* maximum open connections */
    uint32_t max_active_requests;  /* maximum unfinished requests */
    uint64_t max_memory_used;      /* maximum bytes of bodies and buffers */
    uint64_t max_request_body;     /* maximum bytes of a request body */
    uint64_t max_unsent_response;  /* bytes of a response that may wait for its
                         caller  before the endpoint is paused */
    uint64_t
        max_whole_response; /* a response up to this many bytes is sent once it
                         is complete; event streams are never delayed */
    lv_time head_timeout;   /* for receiving a whole request */
    lv_time idle_timeout;   /* of a connection without requests (HTTP/2) */
    lv_time stall_timeout;  /* a caller that reads nothing of its response for
                               this long is disconnected */
    uint64_t max_relayed_response; /* maximum bytes of the response to a
                                request relayed for its ticket */
} call_settings;

typedef struct call_counts {
    uint64_t connections_accepted;
    uint64_t connections_refused;
    uint64_t requests_received;
    uint64_t callers_disconnected; /* callers that disconnected before the
                                      outcome */
    uint64_t
        callers_stalled; /* callers disconnected because they did not read */
    uint64_t not_done_by_reason[OUT_REASON_COUNT]; /* requests that were not
                                           done, by out_reason */
    uint64_t
        finished_by_outcome[OUT_UNKNOWN + 1]; /* requests by out_kind; served
                                      mints, replays and relays not included */
    uint64_t tickets_minted;
    uint64_t tickets_joined; /* requests that waited for a running request with
                        the same ticket */
    uint64_t tickets_replayed; /* requests that got the response stored for a
                                  ticket */
    uint64_t
        tickets_relayed; /* requests relayed to the minter of their ticket */
    uint64_t body_bytes_in;        /* of request bodies */
    uint64_t body_bytes_out;       /* of response bodies */
    uint64_t mismatched_responses; /* responses that named another request or
                                      attempt */
    uint32_t open_connections;     /* open now */
    uint32_t active_requests;      /* unfinished requests */
    uint64_t memory_used;          /* bytes of bodies and buffers in use */
    uint64_t memory_incomplete;    /* bytes of incomplete requests */
    uint64_t closed_incomplete;    /* connections closed because of them */
    met_histogram latency; /* from the arrival to the outcome, for the requests
                              in `finished_by_outcome` */
    met_histogram first_byte; /* from the arrival to the start of the
                                 response */
} call_counts;

typedef struct call_server call_server;

/* Returns the time of a monotonic clock in microseconds. */
typedef lv_time call_clock(void);

/* Creates a server that does not listen yet. node and client must outlive it.
 * Returns NULL and sets error when out of memory or when the TLS files cannot
 * be used. */
call_server *call_new(uv_loop_t *loop, const call_settings *settings,
                      node_state *node, client_context *client,
                      call_clock *clock, const char *instance,
                      err_error *error);

/* Starts accepting connections. Returns false and sets error when the address
 * cannot be opened. */
bool call_listen(call_server *server, err_error *error);

/* Implement the operations of the host (see lv_host_ops). An attempt is only
 * queued here; call_run_deferred opens it. */
void call_start_attempt(call_server *server, const lv_attempt *attempt);
void call_cancel_attempt(call_server *server, lv_handle request,
                         uint32_t number);
void call_finish_request(call_server *server, lv_handle request,
                         const out_outcome *outcome);

/* Opens the queued attempts and frees the finished requests. Call it once in
 * each iteration of the loop, before the loop blocks. */
void call_run_deferred(call_server *server);

/* Returns the number of unfinished requests, including those whose response
 * is still being sent. */
uint32_t call_active_requests(const call_server *server);

/* Refuses new requests with reason `draining`, except those with an
 * Idempotency-Key, and closes connections as they become idle. */
void call_drain(call_server *server);

/* Closes all handles. Run the loop until they are closed, then call
 * call_free. */
void call_close(call_server *server);

/* Frees the server. Its memory is not released while connections are open,
 * as h2o still refers to it. */
void call_free(call_server *server);

/* Copies the current counts. */
void call_read_counts(const call_server *server, call_counts *counts);

#endif
