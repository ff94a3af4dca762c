#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

/* How long a caller is assumed to wait if its request does not say so; a later
 * answer would not be read. */
#define DEFAULT_CALLER_TIMEOUT (60 * LV_SECOND)

/* Copies of a body while it is sent: the message, and what the socket has not
 * accepted. */
#define SEND_COPIES 2

static void
unlink_request(gate_request *request)
{
    gate_server *gate = request->gate;

    if (request->next != NULL) {
        request->next->previous = request->previous;
    }
    if (request->previous != NULL) {
        request->previous->next = request->next;
    }
    else {
        gate->requests = request->next;
    }
    if (gate->last_request == request) {
        gate->last_request = request->previous;
    }
    gate->request_count--;
}

static void
count_end(gate_request *request, const char *outcome, const char *reason)
{
    gate_server *gate = request->gate;
    char labels[TAL_LABELS_SIZE];
    char account[LV_NAME_SIZE];

    snprintf(labels, sizeof labels, "kind=\"%s\",outcome=\"%s\",reason=\"%s\"",
             rt_kind_name(request->route->kind), outcome, reason);
    tal_increment(&gate->ends_by_reason, labels);
    if (request->account != NULL) {
        met_copy_label(account, sizeof account, request->account->name);
        snprintf(labels, sizeof labels, "account=\"%s\",outcome=\"%s\"",
                 account, outcome);
        tal_increment(&gate->ends_by_account, labels);
    }
}

static void
cancel_attempts(gate_request *request)
{
    int i;

    for (i = 0; i < GATE_MAX_SENDS; i++) {
        gate_cancel_attempt(&request->attempts[i]);
        request->attempts[i].is_set_aside = false;
    }
}

/* The memory is kept until on_prepare frees it, since functions up the stack
 * may still read the state. */
void
gate_end_request(gate_request *request, const char *outcome,
                 const char *reason)
{
    gate_log_end(request, outcome, reason);
    count_end(request, outcome, reason);
    cancel_attempts(request);
    gate_return_unserved(request);
    request->state = GATE_FINISHED;
    request->connection = NULL;
    request->gate->has_pending_updates = true;
}

static void
refuse_unrouted(gate_server *gate, front_connection *connection,
                uint32_t status, const char *reason)
{
    buf_buffer headers;

    buf_init(&headers);
    if (status == 503) {
        gate->wire->write_retry_after(&headers, LV_SECOND);
    }
    gate->counts.refused++;
    gate_log_unrouted(gate, connection->head, status, reason);
    front_send_error(connection, status, &headers, reason);
    buf_finish(&headers);
}

/* Finds the account of a key; NULL if there is none. Returns false if the
 * route needs an account and the key is missing or unknown. */
static bool
find_account(const rt_table *config, const rt_route *route, const char *key,
             const rt_account **account)
{
    *account = key != NULL ? rt_find_account(config, key) : NULL;
    return !config->has_accounts || route->is_public || *account != NULL;
}

static size_t
path_length(const char *target)
{
    return strcspn(target, "?#");
}

static void
set_deadlines(gate_request *request, lv_time now)
{
    lv_time caller_timeout = request->decoded.timeout > 0
                                 ? request->decoded.timeout
                                 : DEFAULT_CALLER_TIMEOUT;
    lv_time timeout = request->route->timeout;

    request->received_at = now;
    request->caller_deadline = now + caller_timeout;
    request->answer_deadline = request->caller_deadline;
    if (timeout > 0 && timeout < caller_timeout) {
        request->answer_deadline = now + timeout;
    }
}

static void
count_arrival(gate_request *request)
{
    gate_server *gate = request->gate;
    gate_service_budget *budget = gate_find_budget(gate, request->service);

    gate->counts.requests++;
    if (budget != NULL) {
        bud_count_request(&budget->budget, request->received_at);
    }
    gate_count_requested(request);
}

static const gate_request_ops request_ops = {.decide = gate_decide_request,
                                             .may_retry = gate_may_retry,
                                             .retry = gate_retry_request,
                                             .fail = gate_fail_request,
                                             .give_up = gate_give_up_request,
                                             .end = gate_end_request};

static gate_request *
create_request(gate_server *gate, front_connection *connection,
               const rt_route *route, const rt_account *account)
{
    gate_request *request = calloc(1, sizeof *request);
    int i;

    if (request == NULL) {
        return NULL;
    }
    request->gate = gate;
    request->ops = &request_ops;
    for (i = 0; i < GATE_MAX_SENDS; i++) {
        request->attempts[i].request = request;
        buf_count(&request->attempts[i].headers, &gate->memory.used);
        buf_count(&request->attempts[i].body, &gate->memory.used);
        buf_count(&request->attempts[i].partial_event, &gate->memory.used);
    }
    request->attempt = &request->attempts[0];
    request->share_row = LV_HANDLE_NONE;
    request->decision.endpoint = request->fetch.source = LV_HANDLE_NONE;
    request->connection = connection;
    request->config = rt_ref(gate->config);
    request->route = route;
    request->account = account;
    request->service =
        rt_choose_backend(gate->config, route, gate_random(gate));
    request->is_stream = route->kind == RT_STREAM;
    request->previous = gate->last_request;
    if (request->previous != NULL) {
        request->previous->next = request;
    }
    else {
        gate->requests = request;
    }
    gate->last_request = request;
    gate->request_count++;
    gate->memory.used += sizeof *request;
    connection->request = request;
    return request;
}

void
gate_refuse_request(gate_request *request, uint32_t status,
                    lv_time retry_after, const char *reason)
{
    gate_server *gate = request->gate;
    front_connection *connection = request->connection;
    buf_buffer headers;

    buf_init(&headers);
    gate->wire->write_retry_after(&headers, retry_after);
    gate->counts.refused++;
    if (gate->overload.is_overloaded) {
        connection->is_keep_alive = false;
    }
    /* The end of the response may read the next request over this one's. */
    gate_end_request(request, "refused", reason);
    front_send_error(connection, status, &headers, reason);
    buf_finish(&headers);
}

void
gate_receive_request(gate_server *gate, front_connection *connection)
{
    const http_head *head = connection->head;
    const rt_route *route;
    const rt_account *account;
    gate_request *request;
    wire_request decoded;
    err_error error;

    if (!gate_has_configuration(gate)) {
        refuse_unrouted(gate, connection, 503, "no-configuration");
        return;
    }
    route = rt_find_route(gate->config, http_find_header(head, "Host"),
                          head->target, path_length(head->target));
    if (route == NULL) {
        refuse_unrouted(gate, connection, 404, "no-route");
        return;
    }
    err_clear(&error);
    if (!gate->wire->read_request(head, &decoded, &error)) {
        refuse_unrouted(gate, connection, 400, error.message);
        return;
    }
    if (!find_account(gate->config, route, decoded.api_key, &account)) {
        refuse_unrouted(gate, connection, 401, "unknown-key");
        return;
    }
    if (route->backend_count == 0) {
        refuse_unrouted(gate, connection, 503, "route-unreadable");
        return;
    }
    request = create_request(gate, connection, route, account);
    if (request == NULL) {
        refuse_unrouted(gate, connection, 503, "no-memory");
        return;
    }
    request->decoded = decoded;
    set_deadlines(request, io_now());
    if (gate_refuse_quarantined(request, false)) {
        return;
    }
    count_arrival(request);
    if (gate_refuse_late_in_drain(request)) {
        return;
    }
    if (ovl_should_shed(&gate->overload, gate_share_ratio(request, io_now()),
                        gate_random(gate))) {
        gate_refuse_request(request, 503, LV_SECOND, "overloaded");
        return;
    }
    if (gate_find_origin(request)) {
        gate_decide_request(request);
    }
}

void
gate_fail_request(gate_request *request, uint32_t status, const char *reason)
{
    front_connection *connection = request->connection;

    cancel_attempts(request);
    if (request->has_answer_begun) {
        request->gate->counts.failed++;
        front_abort_response(request->connection);
        gate_end_request(request, "broken", reason);
        return;
    }
    if (!request->may_have_run) {
        gate_refuse_request(request, 503, LV_SECOND, reason);
        return;
    }
    request->gate->counts.failed++;
    /* The end of the response releases the request's head and body. */
    connection->is_keep_alive = false;
    gate_end_request(request, "failed", reason);
    front_send_error(connection, status, NULL, reason);
}

void
gate_give_up_request(gate_request *request, uint32_t status,
                     const char *reason)
{
    gate_attempt *other = gate_find_set_aside(request);

    if (other != NULL) {
        gate_go_on_with(other, reason);
    }
    else {
        gate_fail_request(request, status, reason);
    }
}

void
gate_abandon_request(gate_request *request)
{
    request->gate->counts.caller_disconnects++;
    gate_end_request(request, "gone", "caller-left");
}

/* An answer that has begun was admitted, and its tokens count already. So was
 * a stream that is taken up, as far as its origin is known: its account is not
 * held to be over its share, but the tokens count again. */
static double
admission_share(const gate_request *request, lv_time now)
{
    double ratio = gate_share_ratio(request, now);

    if (request->has_answer_begun) {
        return 0;
    }
    return request->version != LV_ID_NONE && ratio > 1 ? 1 : ratio;
}

void
gate_fill_admission(const gate_request *request, lv_time now, adm_request *to)
{
    memset(to, 0, sizeof *to);
    to->service = request->service;
    to->version = gate_required_version(request);
    to->prompt = &request->decoded.prompt;
    to->received = gate_waiting_since(request);
    to->target = request->route->target;
    to->gap_target = request->route->gap_target;
    to->deadline = request->answer_deadline;
    to->share_ratio = admission_share(request, now);
    to->first_row = (uint32_t)gate_random(request->gate);
    to->tried_count = request->tried_count;
    memcpy(to->tried, request->tried, sizeof to->tried);
    to->avoids_cold = request->cold_denials >= GATE_MAX_COLD_DENIALS;
    gate_fill_locality(request, now, &to->locality);
}

static void
refuse_or_fail(gate_request *request, lv_time retry_after, const char *reason)
{
    bool has_other = gate_find_set_aside(request) != NULL;
    bool is_one_left = request->decision.endpoint != LV_HANDLE_NONE ||
                       request->decision.free_at < request->answer_deadline;

    if (!has_other && request->has_answer_begun && is_one_left) {
        gate_wait_to_resume(request, reason);
    }
    else if (has_other || request->may_have_run || request->has_answer_begun) {
        gate_give_up_request(request, 502, reason);
    }
    else {
        gate_refuse_request(request, gate_asks_over_share(request) ? 429 : 503,
                            retry_after, reason);
    }
}

void
gate_start_request(gate_request *request, const char *reason)
{
    const gate_server *gate = request->gate;

    if (io_is_closed_remotely(&request->connection->stream)) {
        request->connection->request = NULL;
        gate_abandon_request(request);
        return;
    }
    if (gate_refuse_quarantined(request, true) ||
        gate_refuse_late_in_drain(request)) {
        return;
    }
    if (!front_has_memory(&gate->memory,
                          SEND_COPIES * request->connection->body.size)) {
        gate_give_up_request(request, 502, "memory");
        return;
    }
    if (!gate_spend_retry(request)) {
        gate_give_up_request(request, 502, "retry-budget");
        return;
    }
    gate_log_step(request, "start", reason);
    gate_count_served(request);
    if (!gate_start_attempt(request)) {
        gate_give_up_request(request, 502, "no-connection");
    }
}

void
gate_decide_request(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();
    adm_request admission;

    if (gate_refuse_quarantined(request, false) ||
        gate_refuse_late_in_drain(request)) {
        return;
    }
    if (request->has_answer_begun && now < request->next_attempt_after) {
        request->state = GATE_QUEUED;
        return;
    }
    gate_choose_version(request);
    gate_find_affinity(request, now);
    gate_fill_admission(request, now, &admission);
    adm_decide(&gate->settings.admission, &gate->endpoints, &admission, now,
               &request->decision);
    if (request->decision.verdict == ADM_QUEUE &&
        request->decision.candidate_count == 0 &&
        !request->has_logged_queueing) {
        admission.waiting = gate_count_queued(gate, request->service);
        adm_decide(&gate->settings.admission, &gate->endpoints, &admission,
                   now, &request->decision);
    }
    switch (request->decision.verdict) {
    case ADM_START:
        if (gate_is_denial_limit_reached(request)) {
            refuse_or_fail(request, gate->settings.admission.min_retry_after,
                           "denied");
        }
        else if (!gate_request_grant(request)) {
            gate_start_request(request, request->decision.reason);
        }
        break;
    case ADM_QUEUE:
        if (!request->has_logged_queueing) {
            request->has_logged_queueing = true;
            gate_log_step(request, "hold", request->decision.reason);
        }
        request->state = GATE_QUEUED;
        break;
    case ADM_REFUSE:
        refuse_or_fail(request, request->decision.retry_after,
                       request->decision.reason);
        break;
    }
}

static void
finish_attempts(gate_request *request)
{
    int i;

    for (i = 0; i < GATE_MAX_SENDS; i++) {
        buf_finish(&request->attempts[i].headers);
        buf_finish(&request->attempts[i].body);
        buf_finish(&request->attempts[i].partial_event);
    }
}

void
gate_free_finished_requests(gate_server *gate)
{
    gate_request *request = gate->requests;

    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_FINISHED) {
            unlink_request(request);
            rt_unref(request->config);
            finish_attempts(request);
            gate->memory.used -= sizeof *request;
            free(request);
        }
        request = next;
    }
}
