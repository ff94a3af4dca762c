#ifndef LAVENDER_NET_CALLERS_IMP_H
#define LAVENDER_NET_CALLERS_IMP_H

#include "lavender-net/callers.h"
#include "lavender-net/log.h"
#include "lavender/map.h"
#include "listen-imp.h"

#define CALL_PATH_TICKETS "/v1/tickets"
#define CALL_SSE_LINE 8192

/* Bytes that grow. */
typedef struct call_buffer {
    char *bytes;
    size_t size;
    size_t capacity;
} call_buffer;

bool buffer_add(call_buffer *buffer, const char *bytes, size_t size);
void buffer_finish(call_buffer *buffer);

/* What a JSON body says about its request. */
typedef struct call_body {
    char model[LV_NAME_SIZE];
    bool is_stream;
    uint64_t hint_units;
    uint64_t input_units;
    uint64_t prefix_hash;
} call_body;

bool body_read(const char *text, size_t size, call_body *body);

/* Reads a stream of server-sent events as it passes. */
typedef struct call_stream {
    uint64_t events;
    uint64_t input_units;
    uint64_t output_units;
    bool is_done;  /* data: [DONE] was seen */
    bool is_long;  /* the line is longer than is kept */
    bool is_blank; /* the last whole line was empty */
    size_t line_size;
    char line[CALL_SSE_LINE];
} call_stream;

void stream_add(call_stream *stream, const char *bytes, size_t size);

/* "usage" of a JSON text; false when it has none. */
bool usage_read(const char *text, size_t size, uint64_t *input_units,
                uint64_t *output_units);

typedef struct call_request call_request;

/* The attempt that runs for a request, and the answer's head it brought. */
typedef struct call_attempt {
    exch_handle *exchange; /* NULL: none runs */
    uint32_t number;
    char address[LV_ADDRESS_SIZE];
    bool is_resume;
    uint64_t first_event; /* events seen before this attempt */
    bool is_framed;
    char stream_id[LV_NAME_SIZE];
} call_attempt;

typedef struct call_answer {
    int status; /* 0: no head yet */
    h2o_headers_t headers;
    h2o_mem_pool_t pool; /* of the headers */
    char content_type[LV_NAME_SIZE];
    bool is_event_stream;
    uint64_t content_length;
    bool is_started; /* the head went to the caller */
    bool is_ended;   /* all is in `pending` */
    bool is_cut;     /* end with an error */
    bool is_final;   /* the last piece is with h2o */
    bool is_sending; /* h2o holds `sending` */
    lv_time sending_since;
    call_buffer pending;
    call_buffer sending;
    call_buffer kept; /* for the ticket */
    bool is_kept_short;
    uint64_t delivered;
} call_answer;

struct call_request {
    h2o_generator_t generator; /* first: h2o gives it back */
    call_server *server;
    call_request *next;
    call_request *previous;
    h2o_req_t *req; /* NULL once h2o is done with it */
    uint64_t number;
    lv_time arrived;
    lv_handle handle; /* of the entry; LV_HANDLE_NONE: not there */
    uint32_t slot;
    lv_id account;
    bool is_engine;
    bool is_idempotent;
    bool is_head_method;
    bool is_over;      /* the outcome is known */
    bool is_gone;      /* the caller left before */
    bool is_sent;      /* a byte may have gone to an endpoint */
    bool is_submitted; /* the entry saw it, and logs its end */
    bool is_freed;
    lv_handle ticket; /* LV_HANDLE_NONE: none */
    bool is_joined;   /* waits for another request's answer */
    bool is_vouched;  /* what became of its ticket is known here */
    exch_call *relay;
    h2o_iovec_t body;
    char *body_copy; /* owned, when the caller may leave before the end */
    size_t memory;   /* counted against the server's bound */
    lv_attempt wanted;
    bool is_wanted; /* `wanted` is to be started */
    bool is_queued; /* in the server's queue of attempts to start */
    call_request *next_wanted;
    call_attempt attempt;
    call_answer answer;
    call_stream *stream;
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
    uv_timer_t gone_timer;
    bool is_draining;
    call_request *requests; /* all that are not freed */
    call_request *freed;
    call_request *first_wanted;
    call_request **last_wanted;
    map_table handles;    /* of the entry, to slots */
    call_request **slots; /* requests that the entry has */
    uint32_t *free_slots;
    uint32_t free_count;
    call_request *submitting;
    uint64_t next_number;
    struct pollfd *polled;
    call_request **polled_requests;
    uint32_t polled_capacity;
    call_counts counts;
};

/* callers-request.c */
int request_take(h2o_handler_t *handler, h2o_req_t *req);
call_request *request_of(call_server *server, lv_handle handle);
bool request_make_table(call_server *server);
bool request_add_memory(call_request *request, size_t size);
h2o_iovec_t request_header(const h2o_req_t *req, const char *name);
/* Is a header one of a list that ends with NULL? */
bool header_is_listed(h2o_iovec_t name, const char *const *names);
void request_free(call_request *request);
void request_end(call_request *request, const out_outcome *outcome);

/* callers-gone.c: callers that leave */
void gone_watch(call_request *request);
bool gone_start(call_server *server);
void gone_stop(call_server *server);
void request_gone(call_request *request);

/* callers-answer.c */
void answer_finish(call_request *request);
void answer_reset(call_request *request);
bool answer_take_head(call_request *request, const exch_response_head *head);
bool answer_add(call_request *request, const char *bytes, size_t size);
void answer_end(call_request *request, const out_outcome *outcome);
void answer_add_retry_after(call_request *request, lv_time retry_after);
void answer_refuse(call_request *request, const out_outcome *outcome);
void answer_text(call_request *request, int status, const char *content_type,
                 const char *outcome, const char *body, size_t size);
void answer_json_error(call_request *request, int status, const char *kind,
                       const char *message, const char *remedy,
                       const char *outcome);
void answer_remembered(call_request *request, const tkt_answer *answer);

/* callers-ticket.c */
bool ticket_is_mint(const h2o_req_t *req);
void ticket_mint(call_request *request);
/* Judge the request's ticket; true when it is to be run. */
bool ticket_use(call_request *request, const char *text);
void ticket_end(call_request *request, const out_outcome *outcome);
void ticket_relay(call_request *request, lv_id minter);

/* callers-attempt.c */
void attempt_start(call_request *request);
void attempt_drop(call_request *request);
void attempt_cancel(call_request *request);

/* callers-filter.c: h2o's own error pages in our form */
void filter_add(h2o_hostconf_t *host);

/* callers-tls.c */
SSL_CTX *tls_new(const call_settings *settings, err_error *error);

#endif
