#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"

/* An answer that nobody waits for is not worth sending: callers that say
 * nothing wait this long. */
#define DEFAULT_PATIENCE (60 * LV_SECOND)

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

/* Names come from the configuration and must not end a label. */
static void
copy_label(char *to, size_t size, const char *name)
{
    char *at;

    lv_copy_name(to, size, name);
    for (at = to; *at != '\0'; at++) {
        if (*at == '"' || *at == '\\' || *at == '\n') {
            *at = '_';
        }
    }
}

static void
count_end(gate_request *request, const char *outcome, const char *reason)
{
    gate_server *gate = request->gate;
    char labels[TAL_LABELS_SIZE];
    char account[LV_NAME_SIZE];

    snprintf(labels, sizeof labels, "kind=\"%s\",outcome=\"%s\",reason=\"%s\"",
             rt_kind_name(request->route->kind), outcome, reason);
    tal_count(&gate->ends_by_reason, labels);
    if (request->account != NULL) {
        copy_label(account, sizeof account, request->account->name);
        snprintf(labels, sizeof labels, "account=\"%s\",outcome=\"%s\"",
                 account, outcome);
        tal_count(&gate->ends_by_account, labels);
    }
}

/* The connection is done with or given up by now. The memory lives until the
 * loop turns, since callers up the stack may still look at the state. */
void
gate_end_request(gate_request *request, const char *outcome,
                 const char *reason)
{
    gate_log_end(request, outcome, reason);
    count_end(request, outcome, reason);
    gate_cancel_attempt(request);
    request->state = GATE_FINISHED;
    request->connection = NULL;
    request->gate->has_news = true;
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

/* Which account, if any; false when the key is missing or unknown. */
static bool
find_account(const rt_table *config, const rt_route *route, const char *key,
             const rt_account **account)
{
    *account = key != NULL ? rt_find_account(config, key) : NULL;
    return !config->has_accounts || route->is_public || *account != NULL;
}

static size_t
path_size(const char *target)
{
    return strcspn(target, "?#");
}

static void
set_times(gate_request *request, lv_time now)
{
    lv_time patience =
        request->wire.timeout > 0 ? request->wire.timeout : DEFAULT_PATIENCE;
    lv_time timeout = request->route->timeout;

    request->received = now;
    request->deadline = now + patience;
    request->give_up_at = request->deadline;
    if (timeout > 0 && timeout < patience) {
        request->give_up_at = now + timeout;
    }
}

/* Tokens by the measure of the shares. */
static uint32_t
share_tokens(const eng_prompt *prompt)
{
    return prompt->tokens + 2 * prompt->output_tokens;
}

static void
count_arrival(gate_request *request)
{
    gate_server *gate = request->gate;
    gate_service *service = gate_find_service(gate, request->service);

    gate->counts.requests++;
    if (service != NULL) {
        bud_count_request(&service->budget, request->received);
    }
    request->share = LV_HANDLE_NONE;
    if (request->account != NULL) {
        request->share = shr_find(&gate->shares, request->account->id);
    }
    if (request->share != LV_HANDLE_NONE) {
        shr_ask(&gate->shares, request->share,
                share_tokens(&request->wire.prompt), request->received);
    }
}

/* What its account got, in parts of what it is due; 0: no account. */
static double
share_of(const gate_request *request, lv_time now)
{
    return request->share != LV_HANDLE_NONE
               ? shr_ratio(&request->gate->shares, request->share, now)
               : 0;
}

static bool may_repeat(gate_request *request);

static const gate_steps steps = {.decide = gate_decide,
                                 .may_repeat = may_repeat,
                                 .try_again = gate_try_again,
                                 .give_up = gate_give_up,
                                 .end = gate_end_request};

static gate_request *
new_request(gate_server *gate, front_connection *connection,
            const rt_route *route, const rt_account *account)
{
    gate_request *request = calloc(1, sizeof *request);

    if (request == NULL) {
        return NULL;
    }
    request->gate = gate;
    request->steps = &steps;
    request->connection = connection;
    request->config = rt_hold(gate->config);
    request->route = route;
    request->account = account;
    request->service = rt_choose_backend(route, gate_random(gate));
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
    connection->request = request;
    return request;
}

static void
refuse(gate_request *request, lv_time retry_after, const char *reason)
{
    gate_server *gate = request->gate;
    buf_buffer headers;

    buf_init(&headers);
    gate->wire->write_retry_after(&headers, retry_after);
    gate->counts.refused++;
    front_send_error(request->connection, 503, &headers, reason);
    buf_finish(&headers);
    gate_end_request(request, "refused", reason);
}

/* While the instance drains: a request that comes late must have its final
 * answer before the process ends, however long it takes. */
static bool
fits_before_stop(const gate_request *request)
{
    const gate_server *gate = request->gate;
    const gate_settings *settings = &gate->settings;
    lv_time stop_at =
        gate->drain_since + settings->grace - settings->drain_reserve;

    return !gate->is_draining ||
           lv_elapsed(request->received, gate->drain_since) <
               settings->drain_least ||
           request->give_up_at < stop_at;
}

void
gate_take_request(gate_server *gate, front_connection *connection)
{
    const http_head *head = connection->head;
    const rt_route *route;
    const rt_account *account;
    gate_request *request;
    wire_request wire;
    err_error error;

    if (gate->config == NULL) {
        refuse_unrouted(gate, connection, 503, "no-configuration");
        return;
    }
    route = rt_find_route(gate->config, http_find_header(head, "Host"),
                          head->target, path_size(head->target));
    if (route == NULL) {
        refuse_unrouted(gate, connection, 404, "no-route");
        return;
    }
    err_clear(&error);
    if (!gate->wire->read_request(head, &wire, &error)) {
        refuse_unrouted(gate, connection, 400, error.message);
        return;
    }
    if (!find_account(gate->config, route, wire.api_key, &account)) {
        refuse_unrouted(gate, connection, 401, "unknown-key");
        return;
    }
    request = new_request(gate, connection, route, account);
    if (request == NULL) {
        refuse_unrouted(gate, connection, 503, "no-memory");
        return;
    }
    request->wire = wire;
    set_times(request, io_now());
    count_arrival(request);
    if (!fits_before_stop(request)) {
        refuse(request, gate->settings.admission.retry_least, "draining");
        return;
    }
    if (gate_must_shed(gate, share_of(request, io_now()))) {
        refuse(request, LV_SECOND, "overloaded");
        return;
    }
    gate_decide(request);
}

void
gate_give_up(gate_request *request, uint32_t status, const char *reason)
{
    gate_cancel_attempt(request);
    if (request->has_begun) {
        request->gate->counts.failed++;
        front_abort_response(request->connection);
        gate_end_request(request, "broken", reason);
        return;
    }
    if (!request->may_have_run) {
        refuse(request, LV_SECOND, reason);
        return;
    }
    request->gate->counts.failed++;
    request->connection->is_keep_alive = false;
    front_send_error(request->connection, status, NULL, reason);
    gate_end_request(request, "failed", reason);
}

void
gate_request_gone(gate_request *request)
{
    request->gate->counts.caller_disconnects++;
    gate_end_request(request, "gone", "caller-left");
}

static void
fill_admission(const gate_request *request, lv_time now, adm_request *to)
{
    gate_server *gate = request->gate;

    memset(to, 0, sizeof *to);
    to->service = request->service;
    to->prompt = &request->wire.prompt;
    to->received = request->received;
    to->aim = request->route->aim;
    to->share = share_of(request, now);
    to->first_row = (uint32_t)gate_random(gate);
    to->tried_count = request->tried_count;
    memcpy(to->tried, request->tried, sizeof to->tried);
}

static void
refuse_now(gate_request *request, lv_time retry_after, const char *reason)
{
    if (request->may_have_run || request->has_begun) {
        gate_give_up(request, 502, reason);
    }
    else {
        refuse(request, retry_after, reason);
    }
}

/* Send the request where it was decided. */
void
gate_start(gate_request *request, const char *reason)
{
    gate_server *gate = request->gate;

    if (io_is_closed_remotely(&request->connection->stream)) {
        request->connection->request = NULL;
        gate_request_gone(request);
        return;
    }
    gate_log_step(request, "start", reason);
    if (request->sends == 0 && request->share != LV_HANDLE_NONE) {
        shr_get(&gate->shares, request->share,
                share_tokens(&request->wire.prompt), io_now());
    }
    if (!gate_start_attempt(request)) {
        gate_give_up(request, 502, "no-connection");
    }
}

/* A held request is decided many times; its homes change with the list. */
static void
find_homes(gate_request *request)
{
    const eng_table *table = &request->gate->endpoints;
    bool is_large = peers_is_large_fleet(&request->gate->peers);

    if (request->homes_version == table->list_version &&
        request->has_second_home == is_large) {
        return;
    }
    eng_find_home(table, request->service, &request->wire.prompt);
    if (!is_large) {
        /* All uses are known, so is whether a second one keeps it. */
        request->wire.prompt.second = LV_HANDLE_NONE;
    }
    request->homes_version = table->list_version;
    request->has_second_home = is_large;
}

void
gate_decide(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();
    adm_request admission;

    find_homes(request);
    fill_admission(request, now, &admission);
    adm_decide(&gate->settings.admission, &gate->endpoints, &admission, now,
               &request->decision);
    switch (request->decision.verdict) {
    case ADM_START:
        if (gate_has_asked_enough(request)) {
            refuse_now(request, gate->settings.admission.retry_least,
                       "denied");
        }
        else if (!gate_ask_keeper(request)) {
            gate_start(request, request->decision.reason);
        }
        break;
    case ADM_HOLD:
        if (!request->is_told_held) {
            request->is_told_held = true;
            gate_log_step(request, "hold", request->decision.reason);
        }
        request->state = GATE_HELD;
        break;
    case ADM_REFUSE:
        refuse_now(request, request->decision.retry_after,
                   request->decision.reason);
        break;
    }
}

/* May the request be sent to one more endpoint? Takes one repeat from the
 * budget when it may. */
static bool
may_repeat(gate_request *request)
{
    gate_server *gate = request->gate;
    gate_service *service = gate_find_service(gate, request->service);
    lv_time now = io_now();
    bool has_run_left = request->runs < request->route->max_attempts;

    if (request->may_have_run && !rt_may_repeat(request->route)) {
        return false;
    }
    if (!has_run_left || request->sends >= GATE_SENDS_MAX ||
        request->tried_count == ADM_TRIED_MAX ||
        now + request->route->aim / 4 >= request->give_up_at) {
        return false;
    }
    if (service == NULL ||
        !bud_take_repeat(&service->budget, peers_max_instances(&gate->peers),
                         now)) {
        return false;
    }
    gate->counts.repeats++;
    return true;
}

void
gate_try_again(gate_request *request, const char *reason)
{
    gate_cancel_attempt(request);
    if (!may_repeat(request)) {
        gate_give_up(request, 502, reason);
        return;
    }
    gate_log_step(request, "again", reason);
    gate_decide(request);
}

/* The endpoint is silent for long. The run is given up only when another
 * endpoint may start the request at once: it may still answer. */
void
gate_leave_silent(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();
    adm_request admission;
    adm_decision decision;

    fill_admission(request, now, &admission);
    admission.tried[admission.tried_count++] = request->use.endpoint;
    adm_decide(&gate->settings.admission, &gate->endpoints, &admission, now,
               &decision);
    if (decision.verdict != ADM_START) {
        return;
    }
    out_failure(&eng_at(&gate->endpoints, request->use.endpoint)->outlier,
                false, now);
    request->tried[request->tried_count++] = request->use.endpoint;
    gate_try_again(request, "silent");
}

void
gate_free_finished(gate_server *gate)
{
    gate_request *request = gate->requests;

    while (request != NULL) {
        gate_request *next = request->next;

        if (request->state == GATE_FINISHED) {
            unlink_request(request);
            rt_release(request->config);
            buf_finish(&request->headers);
            buf_finish(&request->body);
            buf_finish(&request->piece);
            free(request);
        }
        request = next;
    }
}
