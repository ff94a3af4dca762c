#ifndef LAVENDER_GATEWAY_GATE_IMP_H
#define LAVENDER_GATEWAY_GATE_IMP_H

#include "lavender-gateway/digest.h"
#include "lavender-gateway/gate.h"

/* Period of the timer, which checks timeouts and decides queued requests. */
#define GATE_TICK (20 * LV_MILLISECOND)

/* Maximum number of times that one request is sent, counting the attempts that
 * endpoints rejected without running it. */
#define GATE_MAX_SENDS 3

/* Bytes that show whether a stream's data ends with an empty line. */
#define GATE_TAIL_SIZE 4

typedef enum gate_request_state {
    GATE_QUEUED,          /* not sent; waits for capacity or a decision */
    GATE_AWAITING_GRANT,  /* waits for the coordinator of an endpoint */
    GATE_AWAITING_ORIGIN, /* waits for the version that began its stream */
    GATE_RUNNING,         /* an attempt is in progress */
    GATE_FINISHED         /* freed by gate_free_finished_requests */
} gate_request_state;

typedef struct gate_request gate_request;

/* One try at one endpoint, from the sending of the request to the end of the
 * answer. */
typedef struct gate_attempt {
    back_exchange exchange; /* first member */
    gate_request *request;
    bool is_running;             /* holds its reservation */
    bool is_set_aside;           /* another one is tried beside it; it may
                                    still give the answer */
    bool is_whole;               /* set aside with a whole answer, a failure,
                                    in case no other endpoint answers */
    bool is_counted_run;         /* in `runs` of the request */
    bool is_silence_recorded;    /* as a failure of the endpoint */
    eng_reservation reservation; /* the current or last one */
    bool is_begun_recorded;      /* in the quarantine's evidence */
    bool was_not_run;            /* according to the answer */
    bool is_false_promise;       /* its status alone says that the request was
                                    not run; set if it must not run twice */
    bool is_unframed;            /* the answer ends with its connection */
    bool is_answer_dropped;      /* the answer is not forwarded */
    uint32_t status;             /* of the answer; 0: not the endpoint's */
    lv_time last_data_at; /* of a resumable stream: of its last whole event */
    lv_time first_output_at;   /* 0: no output yet */
    lv_id version;             /* of the endpoint's software */
    lv_id fetch_source;        /* named to the endpoint; or LV_ID_NONE */
    buf_buffer headers;        /* for the caller */
    buf_buffer body;           /* buffered until the answer is whole */
    buf_buffer partial_event;  /* at the end of a resumable stream's data */
    uint64_t bytes;            /* of the request, and of the answer's body */
    char tail[GATE_TAIL_SIZE]; /* of a stream's data: its last bytes */
    uint32_t tail_size;
} gate_attempt;

/* What gate-attempt.c calls when an attempt ends; set by gate-request.c. */
typedef struct gate_request_ops {
    void (*decide)(gate_request *request);

    /* May the request be sent again? Its next start takes a retry from the
     * budget then. */
    bool (*may_retry)(gate_request *request);
    void (*retry)(gate_request *request, const char *reason);

    /* Ends the request; give_up goes on with an attempt that was set aside
     * instead, if there is one. */
    void (*fail)(gate_request *request, uint32_t status, const char *reason);
    void (*give_up)(gate_request *request, uint32_t status,
                    const char *reason);
    void (*end)(gate_request *request, const char *outcome,
                const char *reason);
} gate_request_ops;

/* A caller's request, from its last byte to the end of its answer. */
struct gate_request {
    const gate_request_ops *ops;
    gate_server *gate;
    struct gate_request *next;
    struct gate_request *previous;
    front_connection *connection; /* the caller's; NULL once finished */
    rt_table *config;             /* of the route; holds a reference */
    const rt_route *route;
    const rt_account *account; /* NULL: public route, or no accounts */
    lv_handle share_row;       /* of the account; or LV_HANDLE_NONE */
    bool is_counted_served;    /* in the account's share */
    bool has_begun;            /* an endpoint sent the first output */
    lv_id service;
    wire_request decoded;        /* texts point into the head */
    uint64_t affinity_version;   /* of the list that the prompt's affinity
                                    endpoints were chosen from */
    bool has_secondary_affinity; /* chosen by the rule of a large fleet */
    bool is_use_counted;         /* of the prompt's shared part */
    bool is_part_hot;            /* it has an affinity endpoint in the zone */
    uint64_t digest;             /* read it with gate_digest */
    uint64_t stream_key; /* of a stream that may be resumed; or DIG_NONE */
    lv_id version;       /* that began the stream; LV_ID_NONE: any may serve */
    lv_id chosen_version; /* that is to begin it; LV_ID_NONE: any may */
    lv_time origin_asked_at;
    lv_time list_awaited_at; /* start of the wait for an up-to-date list of
                                endpoints; 0: none */
    uint32_t origin_questions;
    lv_id sole_version;       /* that the service has had, as peers say */
    bool has_awaited_past;    /* of the list */
    bool is_sole_conflicting; /* peers say different ones */
    gate_request_state state;
    lv_time received_at;
    lv_time caller_deadline; /* the caller waits until then */
    lv_time answer_deadline; /* the earlier of caller_deadline and the route's
                                timeout */
    uint32_t sends;          /* attempts that were sent */
    uint32_t runs;           /* attempts that an endpoint may have run */
    uint32_t tried_count;
    lv_handle tried[ADM_TRIED_MAX]; /* endpoints that are not used again */
    gate_attempt attempts[GATE_MAX_SENDS];
    gate_attempt *attempt; /* the current or last one */
    bool is_past_deadline; /* and given a tick to read what had arrived */
    bool is_retry_due;     /* the next start takes a retry from the budget */
    lv_time next_attempt_after; /* of one beside a silent one, or for an
                                   answer that was interrupted */
    adm_decision decision;
    fch_choice fetch;      /* for the attempt that was decided */
    uint32_t fetch_spared; /* prompt tokens that its prediction does not
                              count as prefilled for it */
    uint32_t failed_source_count;
    lv_id failed_sources[GATE_MAX_SENDS]; /* named in attempts that failed */
    uint32_t grant_number;                /* of the latest grant request */
    lv_id grant_endpoint;
    struct sockaddr_in grant_coordinator;
    lv_time grant_deadline;
    uint32_t grant_denials;
    uint32_t limit_denials; /* for limits of endpoints */
    uint32_t cold_denials;  /* as endpoints were cold */
    bool is_grant_repeated; /* the latest grant request was sent twice */
    bool has_logged_queueing;
    bool may_have_run;
    bool is_stream;
    bool has_answer_begun;  /* the caller was sent the head */
    bool is_paused;         /* the caller reads too slowly */
    char last_event_id[64]; /* of the last event sent to the caller, or "" */
};

/* gate-request.c: from the receipt of a request to its end */

/* Routes, authenticates and decides a request that was received whole. */
void gate_receive_request(gate_server *gate, front_connection *connection);

/* Fills in the admission request of the next attempt. An answer that has begun
 * was admitted, and its tokens count in the share already. */
void gate_fill_admission(const gate_request *request, lv_time now,
                         adm_request *to);

/* Starts, queues or refuses a request that has no attempt in progress, other
 * than those set aside. */
void gate_decide_request(gate_request *request);

/* Sends the request to the endpoint of its decision. `reason` is logged. */
void gate_start_request(gate_request *request, const char *reason);

/* Ends a request whose caller disconnected. */
void gate_abandon_request(gate_request *request);

/* Ends a request that cannot have run with a refusal. */
void gate_refuse_request(gate_request *request, uint32_t status,
                         lv_time retry_after, const char *reason);

/* Cancels the attempts and ends the request with an error: a refusal when it
 * cannot have run, `status` when it may have, and a broken connection when its
 * answer has begun. */
void gate_fail_request(gate_request *request, uint32_t status,
                       const char *reason);

/* Goes on with an attempt that was set aside if there is one, else fails the
 * request. */
void gate_give_up_request(gate_request *request, uint32_t status,
                          const char *reason);

/* Logs and counts the end of a request and cancels its attempts. Its caller
 * has been answered or is disconnected, or the process exits. Call it before
 * the response ends, which may read the next request over this one's head. */
void gate_end_request(gate_request *request, const char *outcome,
                      const char *reason);

void gate_free_finished_requests(gate_server *gate);

/* gate-share.c: the tokens of requests in the shares of their accounts */

/* A request counts as served from its first start, so that all instances see
 * it at once. At its end it is taken back if no endpoint began to run it, as
 * far as this instance has seen. */
void gate_count_requested(gate_request *request);
void gate_count_served(gate_request *request);
void gate_return_unserved(gate_request *request);

/* Returns what the account got, relative to its due share; 0 without an
 * account. */
double gate_share_ratio(const gate_request *request, lv_time now);

/* Was the request refused for lack of capacity while its account asks for more
 * than its share? The refusal then says that there are too many requests, and
 * otherwise that the service is not available. */
bool gate_asks_over_share(const gate_request *request);

/* gate-load.c: a process that gets too little CPU time for its load */

/* Records how late a tick of the timer is. A loop that is late reads the
 * datagrams that wait in its socket first, since grants are among them. */
void gate_record_tick(gate_server *gate, lv_time now);

/* gate-message.c: writes the message that the endpoint of the decision gets.
 */
void gate_write_request(const gate_request *request, buf_buffer *to);

/* Returns the digest of a request, which is computed at the first call. */
uint64_t gate_digest(gate_request *request);

/* gate-attempt.c: one attempt at an endpoint */

/* Returns false when nothing was sent. */
bool gate_start_attempt(gate_request *request);
void gate_cancel_attempt(gate_attempt *attempt);

/* Counts an attempt in progress as a run if its endpoint may run it. */
void gate_count_possible_run(gate_attempt *attempt);

/* gate-answer.c: the answer that the caller gets */

bool gate_is_success(const gate_attempt *attempt);
bool gate_is_failure(const gate_attempt *attempt);

/* May the answer of an attempt not go to the caller? A failure may not, while
 * another attempt may still succeed, nor after an answer has begun. */
bool gate_must_drop_answer(const gate_attempt *attempt);

/* Chooses the attempt, and begins the answer to the caller if it has not
 * begun. */
void gate_begin_answer(gate_attempt *attempt);

/* Ends the answer to the caller with that of an attempt, which is whole. */
void gate_finish_answer(gate_attempt *attempt);

/* gate-retry.c: the retry budget */

/* Excludes the endpoint of the last attempt from further ones. A request that
 * has excluded ADM_TRIED_MAX endpoints is not retried. */
void gate_exclude_endpoint(gate_request *request);

/* Returns whether the request may be sent to another endpoint; its next start
 * then takes a retry from the budget. */
bool gate_may_retry(gate_request *request);

/* Takes the retry that is due, if one is. Returns false when the budget is
 * spent by now. */
bool gate_spend_retry(gate_request *request);

/* Cancels the attempt; decides the request again if it may be retried, and
 * otherwise gives it up. */
void gate_retry_request(gate_request *request, const char *reason);

/* gate-stall.c: attempts that are set aside while others are tried, because
 * their endpoints are silent or their answers are failures, and answers that
 * were interrupted */

/* Starts a second attempt beside the current one, whose endpoint is silent, if
 * another endpoint may start the request at once and the retry budget allows
 * it. */
void gate_reroute_request(gate_request *request);

/* Sets the current attempt aside, so that another one can be decided. */
void gate_set_attempt_aside(gate_request *request);

/* Returns an attempt that was set aside: preferably one whose endpoint may
 * still answer; NULL: none. */
gate_attempt *gate_find_set_aside(const gate_request *request);

/* Cancels the current attempt and makes one that was set aside the current one
 * again; a whole failure is then the answer. `reason` is logged. */
void gate_go_on_with(gate_attempt *attempt, const char *reason);

/* The answer of an attempt goes to the caller, so the others are cancelled. */
void gate_choose_attempt(gate_attempt *attempt);

/* Queues a request whose answer was interrupted and that may not start now;
 * `reason` is logged. */
void gate_wait_to_resume(gate_request *request, const char *reason);

/* Returns since when the caller waits for the answer or, once it has begun,
 * for more of it. */
lv_time gate_waiting_since(const gate_request *request);

/* gate-grant.c: start grants by the coordinators of endpoints */

/* Requests a grant from the coordinator of the decision's endpoint. Returns
 * false when no request was sent and this instance decides by itself. */
bool gate_request_grant(gate_request *request);

/* Sends the request for a grant, or repeats it under the same number. */
bool gate_send_grant_request(gate_request *request, bool is_limited,
                             lv_time now);
bool gate_is_denial_limit_reached(const gate_request *request);
void gate_check_grant_deadline(gate_request *request, lv_time now);

/* Callbacks of peers: `owner` is the gateway. The first decides as the
 * coordinator and fills in the answer, all but number and endpoint. */
void gate_handle_grant_request(void *owner, lv_handle endpoint,
                               const peers_start_request *ask,
                               peers_start_reply *answer);
void gate_handle_grant_answer(void *owner, const peers_start_reply *answer);

/* gate-notice.c: what endpoints say of themselves in their answers */

/* Callback of the pool: `owner` is the gateway. Records that the endpoint
 * leaves or asks for a back-off, and takes back what was not sent yet. */
void gate_handle_response(void *owner, lv_handle endpoint,
                          const back_exchange *exchange, const http_head *head,
                          const wire_response *response);

/* Applies a peer's notice that an endpoint leaves by its own word. */
void gate_handle_peer_notice(gate_server *gate, lv_id endpoint);

/* Logs back-offs that have ended; call it at every tick of the timer. */
void gate_end_backoffs(gate_server *gate, lv_time now);

/* Returns how many requests of a service are queued. */
uint32_t gate_count_queued(const gate_server *gate, lv_id service);

/* Does the endpoint leave by its own word? */
bool gate_is_leaving(const gate_server *gate, lv_id endpoint);
void gate_write_notice_metrics(const gate_server *gate, met_writer *writer);

/* Writes the id of a request for a log line, "-" if it is NULL, in
 * LOG_REQUEST_SIZE bytes. Returns text. */
const char *gate_request_label(const char *id, char *text);

/* Writes the label that metrics name an endpoint by, in LV_NAME_SIZE + 16
 * bytes or more. */
void gate_write_endpoint_label(const eng_endpoint *endpoint, char *text,
                               size_t size);

void gate_write_endpoint_gauge(const gate_server *gate, met_writer *writer,
                               const char *name, const char *help,
                               double (*value)(const eng_endpoint *endpoint,
                                               lv_time now));

/* Returns the limit that applies to the memory that is left for data of
 * clients. */
size_t gate_choose_limit(const gate_request *request, size_t limit,
                         size_t scarce_limit);

/* gate-stream.c: resumable event streams */

/* Forwards the events that are whole and buffers the rest. Of two attempts the
 * one that has the first whole event is chosen. Returns NULL, or why the
 * attempt cannot go on. */
const char *gate_forward_events(gate_attempt *attempt, const char *data,
                                size_t size);

/* Notes the data of a stream for gate_ends_in_event. */
void gate_note_stream_data(gate_attempt *attempt, const char *data,
                           size_t size);

/* Did the stream, whose end is that of its connection, end inside an event? It
 * was broken off then. */
bool gate_ends_in_event(const gate_attempt *attempt);

/* gate-log.c: log lines of requests */

/* Logs a decision about a request, with the values it was based on. */
void gate_log_step(const gate_request *request, const char *event,
                   const char *reason);
void gate_log_end(const gate_request *request, const char *outcome,
                  const char *reason);

/* Logs that an endpoint broke off an attempt, with the shared blocks of the
 * prompt. */
void gate_log_cut(const gate_attempt *attempt, const char *reason);

/* Logs the refusal of a request that has no valid route or key. */
void gate_log_unrouted(const gate_server *gate, const http_head *head,
                       uint32_t status, const char *reason);

/* gate-tick.c: deadlines and queued requests */

/* Resumes reading from the endpoint if it is paused and all output has been
 * sent. */
void gate_resume_paused(gate_request *request);

/* Fails requests that are past their deadline, reroutes stalled ones, decides
 * queued ones, and records how late each endpoint is. Call it at every tick of
 * the timer. */
void gate_tick_requests(gate_server *gate, lv_time now);
void gate_decide_queued_requests(gate_server *gate);

/* gate-store.c: updates from the store */
extern const store_ops gate_store_ops;

/* Notes the era that the store names. A new one means that it came back from
 * an older copy: both feeds list again, and entries that the copy lacks are
 * kept for a grace. Callback of peers too. */
void gate_begin_store_era(void *owner, uint64_t era);
/* Another instance says that the store unlisted an endpoint at a revision. */
void gate_handle_departure(void *owner, lv_id id, uint64_t era, uint64_t at);

/* Lists again what an older copy of the store was not believed about. */
void gate_relist_after_copy(gate_server *gate, lv_time now);

/* gate-config.c: keeps the instance unready while peers have a newer version
 * of the configuration that the store lacks. To be called at every tick of the
 * timer. */
void gate_check_config(gate_server *gate, lv_time now);

/* gate-reader.c: who reads the store */

/* Chooses the source of the feeds, and another one when peers name a change
 * that did not arrive here. Call it at every tick of the timer. */
void gate_update_readers(gate_server *gate, lv_time now);

/* Callbacks of the feeds. */
const char *gate_subject_name(wire_subject subject);
void gate_handle_applied(store_feed *feed);
void gate_handle_relay_failed(store_feed *feed, const char *reason);

/* Updates the endpoints and the retry budgets from the services of the
 * configuration; does nothing without one. */
void gate_apply_services(gate_server *gate);

/* Returns the retry budget of a service, or NULL. */
gate_service_budget *gate_find_budget(gate_server *gate, lv_id service);

/* gate-monitoring.c: readiness probes and metrics */
extern const front_ops gate_readiness_ops;

/* gate-status.c: answers with the state of the instance as JSON, for
 * `lavenderctl status`. */
void gate_send_status(const gate_server *gate, bool is_ready,
                      front_connection *connection);

/* gate-settings.c */

/* Writes at most PEERS_SEEDS_MAX addresses and their count. Returns false with
 * `error` set (NULL is allowed) when the list is not valid. */
bool gate_parse_seeds(const char *text, struct sockaddr_in *seeds,
                      uint32_t *count, err_error *error);

/* gate.c */

/* Returns the next pseudo-random number. */
uint64_t gate_random(gate_server *gate);

/* gate-listen.c */

/* Opens the listeners for callers and probes, and sets the memory limit for
 * data of their clients. Returns false with the error set when one cannot be
 * opened. */
bool gate_start_listeners(gate_server *gate, err_error *error);

/* gate-stop.c */

/* Refuses a request that cannot have run and, as the instance drains, may
 * outlast the process. To be called whenever it may be passed on. Returns
 * whether it was refused. */
bool gate_refuse_late_in_drain(gate_request *request);

/* Closes the listeners and their connections; with the other handles closing,
 * runs the loop until all are closed. */
void gate_stop_listeners(gate_server *gate);

#include "gate-parts-imp.h"

#endif
