#ifndef LAVENDER_GATEWAY_GATE_IMP_H
#define LAVENDER_GATEWAY_GATE_IMP_H

#include "lavender-gateway/gate.h"

/* Attempts of one request that endpoints turned down without running it. */
#define GATE_SENDS_MAX 3

typedef enum gate_state {
    GATE_HELD,    /* waits for room */
    GATE_ASKING,  /* waits for the answer of an endpoint's keeper */
    GATE_RUNNING, /* an attempt is out */
    GATE_FINISHED
} gate_state;

typedef struct gate_request gate_request;

/* What follows from an attempt; set by gate-request.c. */
typedef struct gate_steps {
    void (*decide)(gate_request *request);
    bool (*may_repeat)(gate_request *request);
    void (*try_again)(gate_request *request, const char *reason);
    void (*give_up)(gate_request *request, uint32_t status,
                    const char *reason);
    void (*end)(gate_request *request, const char *outcome,
                const char *reason);
} gate_steps;

/* A request in hand, from its last byte to the end of its answer. */
struct gate_request {
    back_exchange exchange; /* first member */
    const gate_steps *steps;
    gate_server *gate;
    struct gate_request *next;
    struct gate_request *previous;
    front_connection *connection;
    rt_table *config;
    const rt_route *route;
    const rt_account *account; /* NULL: a public route */
    lv_handle share;           /* of the account; LV_HANDLE_NONE */
    lv_id service;
    wire_request wire;
    uint64_t homes_version; /* of the list that the prompt's homes are from */
    bool has_second_home;   /* they were looked for as in a large fleet */
    gate_state state;
    lv_time received;
    lv_time deadline;   /* of the caller */
    lv_time give_up_at; /* the final answer is due */
    uint32_t sends;     /* attempts that were begun */
    uint32_t runs;      /* attempts that may have run */
    uint32_t tried_count;
    lv_handle tried[ADM_TRIED_MAX];
    eng_use use; /* of the attempt that is out */
    adm_decision decision;
    uint32_t ask_number; /* of the latest question to a keeper */
    lv_id ask_endpoint;
    struct sockaddr_in ask_keeper; /* who was asked */
    lv_time ask_until;
    uint32_t asks;     /* questions that were not granted */
    bool is_told_held; /* the log has said that it waits */
    bool may_have_run;
    bool was_not_run; /* the present answer says so */
    bool is_stream;
    bool is_unframed;    /* the present answer ends with its connection */
    bool is_close_ended; /* so does the answer to the caller */
    bool has_begun;      /* the head of the answer went to the caller */
    bool is_paused;      /* the caller does not keep up */
    bool drops_answer;   /* the present answer is not passed on */
    uint32_t status;     /* of the present answer */
    lv_time last_piece_at;
    buf_buffer headers; /* of the answer */
    buf_buffer body;    /* answer that is passed on whole */
    buf_buffer piece;   /* a stream's event that is not whole yet */
    char last_event_id[64];
};

/* gate-request.c: a request's way from its receipt to its end */
void gate_take_request(gate_server *gate, front_connection *connection);
void gate_decide(gate_request *request);
void gate_start(gate_request *request, const char *reason);
void gate_request_gone(gate_request *request);
void gate_give_up(gate_request *request, uint32_t status, const char *reason);
void gate_end_request(gate_request *request, const char *outcome,
                      const char *reason);
void gate_try_again(gate_request *request, const char *reason);
void gate_leave_silent(gate_request *request);
void gate_free_finished(gate_server *gate);

/* gate-attempt.c: one attempt at an endpoint */
bool gate_start_attempt(gate_request *request);
void gate_cancel_attempt(gate_request *request);

/* gate-ask.c: what keepers of endpoints are asked. Returns false when there
 * is none to be asked and the instance decides itself. */
bool gate_ask_keeper(gate_request *request);
bool gate_has_asked_enough(const gate_request *request);
void gate_watch_ask(gate_request *request, lv_time now);
void gate_take_ask(void *owner, lv_handle endpoint,
                   const peers_start_request *ask, peers_start_reply *answer);
void gate_take_answer(void *owner, const peers_start_reply *answer);

/* gate-stream.c: events; false when memory ended */
bool gate_pass_events(gate_request *request, const char *data, size_t size);

/* gate-log.c: lines of requests */
void gate_log_step(const gate_request *request, const char *event,
                   const char *reason);
void gate_log_end(const gate_request *request, const char *outcome,
                  const char *reason);
void gate_log_unrouted(const gate_server *gate, const http_head *head,
                       uint32_t status, const char *reason);

/* gate-watch.c: what time brings */
void gate_watch_requests(gate_server *gate, lv_time now);
void gate_decide_held(gate_server *gate);

/* gate-config.c: what the store brings */
extern const store_ops gate_store_ops;
void gate_apply_services(gate_server *gate);

/* gate-report.c: readiness and metrics */
extern const front_ops gate_readiness_ops;

/* gate-settings.c */
bool gate_parse_seeds(const char *text, struct sockaddr_in *seeds,
                      uint32_t *count, err_error *error);

gate_service *gate_find_service(gate_server *gate, lv_id service);
uint64_t gate_random(gate_server *gate);

/* Does the process get too little processor for what it is asked to do, and
 * is this one of the requests to be refused for it? `share` is that of the
 * account, as in adm_request. */
bool gate_must_shed(gate_server *gate, double share);

#endif
