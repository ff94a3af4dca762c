#ifndef LAVENDER_NET_CALLERS_IMP_H
#define LAVENDER_NET_CALLERS_IMP_H

#include "lavender-net/callers.h"
#include "lavender-net/log.h"
#include "lavender/map.h"
#include "listen-imp.h"

#define CALL_PATH_TICKETS "/v1/tickets"
#define CALL_SSE_LINE_MAX 8192 /* bytes */

/* A growable byte buffer; all zero is empty. */
typedef struct call_buffer {
    char *bytes;
    size_t size;
    size_t capacity;
} call_buffer;

/* Appends a copy of bytes. Returns false when out of memory; the buffer is
 * then unchanged. */
bool buffer_append(call_buffer *buffer, const char *bytes, size_t size);

/* Frees the bytes and makes the buffer empty. */
void buffer_finish(call_buffer *buffer);

/* The fields of a JSON request body that the router uses. */
typedef struct call_body_fields {
    char model[LV_NAME_SIZE]; /* "": none */
    bool is_stream;
    uint64_t
        output_hint_units; /* maximum tokens of the response; 0: not stated */
    uint64_t input_units;  /* estimated tokens of the prompt */
    uint64_t prefix_hash;  /* of the start of the prompt; 0: no prompt */
} call_body_fields;

/* Parses a JSON request body. Returns false when it is not a JSON object, has
 * duplicate keys or names a model that is too long. */
bool body_parse(const char *text, size_t size, call_body_fields *body);

/* An incremental parser of server-sent events. */
typedef struct call_sse_parser {
    uint64_t events; /* data lines, [DONE] not included */
    uint64_t input_units;
    uint64_t output_units;
    bool has_done_event;     /* "data: [DONE]" was received */
    bool is_line_truncated;  /* the current line exceeds `line` */
    bool is_last_line_blank; /* the last complete line was empty */
    size_t line_size;
    char line[CALL_SSE_LINE_MAX];
} call_sse_parser;

/* Parses the next bytes of the stream; lines may be split anywhere. */
void sse_feed(call_sse_parser *parser, const char *bytes, size_t size);

/* Reads the token counts in the "usage" object of a JSON text. Returns false
 * and sets nothing when there is none. */
bool usage_parse(const char *text, size_t size, uint64_t *input_units,
                 uint64_t *output_units);

typedef struct call_request call_request;

/* The current attempt of a request, and the headers of its response that
 * concern the attempt. */
typedef struct call_attempt {
    exch_handle *exchange; /* NULL: no attempt is running */
    uint32_t number;
    char address[LV_ADDRESS_SIZE];
    bool is_resume;
    uint64_t initial_event_count; /* events received before this attempt */
    bool is_framed;               /* see exch_response_head */
    char stream_id[LV_NAME_SIZE]; /* for resuming and cancelling; "": none */
} call_attempt;

typedef struct call_response {
    int status; /* 0: no head received yet */
    h2o_headers_t headers;
    h2o_mem_pool_t pool; /* of the headers */
    char content_type[LV_NAME_SIZE];
    bool is_event_stream;
    uint64_t content_length; /* UINT64_MAX: not stated */
    bool is_started;         /* the head was sent to the caller */
    bool has_all_data;       /* nothing more is added to `pending` */
    bool is_aborted;         /* end the body with an error */
    bool has_sent_final;     /* the last piece was passed to h2o */
    bool is_sending;         /* h2o is using `sending` */
    lv_time sending_since;
    call_buffer pending;
    call_buffer sending;
    call_buffer retained; /* copy of the body to replay for the ticket */
    bool is_retained_truncated;
    uint64_t delivered_size; /* bytes of the body released for sending */
} call_response;

struct call_request {
    h2o_generator_t generator; /* first: h2o passes it to the callbacks */
    call_server *server;
    call_request *next;
    call_request *previous;
    h2o_req_t *req; /* NULL once h2o has disposed of it */
    uint64_t number;
    lv_time arrival_time;
    lv_handle entry_handle; /* of the entry role; LV_HANDLE_NONE: none */
    uint32_t table_index;   /* in the server's table, with entry_handle */
    lv_id account;
    bool is_engine; /* handled by an engine: the response has token counts */
    bool is_idempotent;
    bool is_head_method;
    bool is_ended; /* request_end was called, or a stored or relayed response
                      was sent */
    bool is_disconnected; /* the caller disconnected, or h2o disposed of the
                             request before it was complete */
    bool was_sent;        /* bytes may have been written to an endpoint */
    bool is_submitted;    /* passed to the entry role, which logs its end */
    bool is_unlinked;     /* in the server's list deferred_frees */
    lv_handle ticket;     /* LV_HANDLE_NONE: none */
    bool is_joined;       /* waits for the response of another request with the
                             same ticket */
    bool is_ticket_state_known; /* this instance knows whether a request ran
                                   under the ticket */
    exch_call *relay;           /* to the instance that minted the ticket */
    h2o_iovec_t body;
    char *body_copy;          /* owned; the request may outlive `req` */
    size_t charged_memory;    /* bytes counted against max_memory_used */
    lv_attempt next_attempt;  /* kept while that attempt runs */
    bool has_next_attempt;    /* next_attempt is to be started */
    bool is_in_attempt_queue; /* of the server */
    call_request *next_in_attempt_queue;
    call_attempt attempt;
    call_response response;
    call_sse_parser *sse; /* owned; NULL: the response is no event stream */
};

typedef struct call_handler {
    h2o_handler_t super;
    call_server *server;
} call_handler;

struct call_server {
    uv_loop_t *loop;
    call_settings settings;
    node_state *node;
    client_context *client;
    call_clock *clock;
    char instance[LV_NAME_SIZE];
    listen_listener listener;
    uv_timer_t disconnect_timer;
    uv_check_t memory_check;
    uint64_t scan_count; /* of memory_check */
    bool is_draining;
    call_request *requests;       /* all, deferred_frees not included */
    call_request *deferred_frees; /* freed by call_run_deferred */
    call_request *attempt_queue_head;
    call_request **attempt_queue_tail;
    map_table index_by_handle; /* entry_handle to table_index */
    call_request **table;      /* requests that have an entry_handle */
    uint32_t *free_indexes;    /* of `table` */
    uint32_t free_count;
    call_request *submitting; /* the request that is being passed to the entry
                                 role, before its handle is known */
    uint64_t last_number;
    struct pollfd *poll_fds;
    call_request **poll_requests; /* poll_requests[i] has poll_fds[i] */
    uint32_t poll_capacity;
    call_counts counts;
};

/* callers-request.c: requests from their arrival until they are freed */

/* Callback on_req of the h2o handler. */
int request_receive(h2o_handler_t *handler, h2o_req_t *req);

/* Returns the request with a handle of the entry role. An unknown handle
 * gives the request that is being submitted, or NULL. */
call_request *request_find(call_server *server, lv_handle handle);

/* Allocates the request table; returns false when out of memory. */
bool request_init_table(call_server *server);

/* Adds to the memory that is counted for the request. Returns false when the
 * server is over its limit; the memory is counted all the same. */
bool request_charge_memory(call_request *request, size_t size);

/* Returns the value of a header, or a NULL base. name is in lower case. */
h2o_iovec_t request_find_header(const h2o_req_t *req, const char *name);

/* Returns whether a list of names, which ends with NULL, has the header. */
bool header_is_listed(h2o_iovec_t name, const char *const *names);

/* Frees the request in the next call of call_run_deferred, unless h2o, the
 * entry role or a relay still uses it. */
void request_free_if_done(call_request *request);

/* Sets the outcome: counts it, ends the response, and stores it for the
 * request's ticket. */
void request_end(call_request *request, const out_outcome *outcome);

/* callers-disconnect.c: detection of callers that disconnect or stall */

/* Calls request_on_disconnect when h2o disposes of the request early. */
void disconnect_watch(call_request *request);

/* Starts the polling timer; returns false when out of memory. */
bool disconnect_start(call_server *server);

/* Stops the timer; its handle is closed in the next iteration of the loop. */
void disconnect_stop(call_server *server);

/* Cancels the request, unless it was sent under a ticket: then it runs on, so
 * that its response can be replayed. */
void request_on_disconnect(call_request *request);

/* callers-memory.c: memory of requests that are still arriving. h2o buffers
 * them before it calls request_receive. */

/* Starts to enforce the limit in each iteration of the loop: the connections
 * with the largest incomplete requests are closed. */
void memory_start(call_server *server);

/* To be called when a request is complete; its body counts as charged memory
 * from now on. */
void memory_note_complete(const h2o_req_t *req);

/* Stops it; its handle is closed in the next iteration of the loop. */
void memory_stop(call_server *server);

/* callers-response.c: the response to the caller */

/* Frees what the response owns. */
void answer_finish(call_request *request);

/* Discards the head and body of an earlier attempt. */
void response_reset(call_request *request);

/* Copies the status and the end-to-end headers of an endpoint's response.
 * Always returns true. */
bool response_set_head(call_request *request, const exch_response_head *head);

/* Adds a piece of the body, and pauses the exchange when max_unsent_response
 * bytes are waiting. Returns false when out of memory. */
bool response_append_body(call_request *request, const char *bytes,
                          size_t size);

/* Sends the response to its end, or a refusal if none was started. */
void response_end(call_request *request, const out_outcome *outcome);

/* Adds the Retry-After header, rounded up to seconds, unless it is 0. */
void response_add_retry_after(call_request *request, lv_time retry_after);

/* Sends the error response of an outcome. */
void response_send_refusal(call_request *request, const out_outcome *outcome);

/* Sends a complete response; outcome is the Lavender-Outcome header. Does
 * nothing when h2o has disposed of the request. */
void response_send_complete(call_request *request, int status,
                            const char *content_type, const char *outcome,
                            const char *body, size_t size);
void response_send_json_error(call_request *request, int status,
                              const char *kind, const char *message,
                              const char *remedy, const char *outcome);

/* Sends the response that is stored for a ticket. */
void response_send_replay(call_request *request, const tkt_answer *stored);

/* callers-ticket.c: tickets for requests that are not idempotent */

/* Returns whether the request is POST /v1/tickets. */
bool ticket_is_mint_request(const h2o_req_t *req);

/* Mints a ticket and sends it to the caller. */
void ticket_mint(call_request *request);

/* Checks the request's ticket. Returns true when the request is to be run;
 * otherwise it was ended, joined to a running request or relayed. */
bool ticket_admit(call_request *request, const char *text);

/* Stores the outcome and the response for the ticket, and ends the requests
 * that joined. */
void ticket_end(call_request *request, const out_outcome *outcome);

/* Relays the request to the instance that minted its ticket. */
void ticket_relay(call_request *request, lv_id minter);

/* callers-attempt.c: attempts at endpoints */

/* Starts next_attempt. */
void attempt_start(call_request *request);

/* Closes the exchange, if there is one, without reporting its end. */
void attempt_abort(call_request *request);

/* As attempt_abort, and deletes the stream at the endpoint if its id is known.
 */
void attempt_cancel(call_request *request);

/* callers-error-filter.c: rewrites the error pages that h2o generates */
void error_filter_add(h2o_hostconf_t *host);

/* callers-tls.c */

/* Creates the TLS context of the listener. Returns NULL and sets error when
 * the certificate or the key cannot be used. */
SSL_CTX *tls_create_context(const call_settings *settings, err_error *error);

#endif
