#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "callers-imp.h"

#define BEARER "Bearer "

/* Copies the value of a header as a string, "" if the header is absent.
 * Returns false when it does not fit or has a zero byte. */
static bool
copy_header(const h2o_req_t *req, const char *name, char *to, size_t size)
{
    h2o_iovec_t value = request_find_header(req, name);

    if (value.len >= size ||
        memchr(value.base == NULL ? "" : value.base, 0, value.len) != NULL) {
        return false;
    }
    if (value.len > 0) {
        memcpy(to, value.base, value.len);
    }
    to[value.len] = '\0';
    return true;
}

bool
request_charge_memory(call_request *request, size_t size)
{
    call_server *server = request->server;

    request->charged_memory += size;
    server->counts.memory_used += size;
    return server->counts.memory_used <= server->settings.max_memory_used;
}

bool
request_init_table(call_server *server)
{
    uint32_t count = server->settings.max_active_requests;
    uint32_t i;

    map_init(&server->index_by_handle);
    server->table = calloc(count, sizeof server->table[0]);
    server->free_indexes = calloc(count, sizeof server->free_indexes[0]);
    if (server->table == NULL || server->free_indexes == NULL) {
        return false;
    }
    for (i = 0; i < count; i++) {
        server->free_indexes[i] = i;
    }
    server->free_count = count;
    return true;
}

/* Keys of the map must not be zero. */
static uint64_t
handle_key(lv_handle handle)
{
    return (uint64_t)handle + 1;
}

call_request *
request_find(call_server *server, lv_handle handle)
{
    uint32_t index = map_find(&server->index_by_handle, handle_key(handle));

    return index == LV_HANDLE_NONE ? server->submitting : server->table[index];
}

static bool
register_handle(call_request *request, lv_handle handle)
{
    call_server *server = request->server;
    uint32_t index;

    if (server->free_count == 0) {
        return false;
    }
    index = server->free_indexes[server->free_count - 1];
    if (!map_set(&server->index_by_handle, handle_key(handle), index)) {
        return false;
    }
    server->free_count--;
    server->table[index] = request;
    request->table_index = index;
    request->entry_handle = handle;
    return true;
}

static void
unregister_handle(call_request *request)
{
    call_server *server = request->server;

    if (request->entry_handle == LV_HANDLE_NONE) {
        return;
    }
    map_remove(&server->index_by_handle, handle_key(request->entry_handle));
    server->table[request->table_index] = NULL;
    server->free_indexes[server->free_count++] = request->table_index;
    request->entry_handle = LV_HANDLE_NONE;
}

static void
refuse(call_request *request, out_reason reason)
{
    out_outcome outcome = {OUT_NOT_RUN, reason, 0};

    request_end(request, &outcome);
}

static void
log_end(const call_request *request, const out_outcome *outcome, lv_time now)
{
    if (!request->is_submitted && outcome->kind != OUT_DONE) {
        log_event(
            LOG_LEVEL_INFO, now, "refuse", "request=%llu reason=%s outcome=%s",
            (unsigned long long)request->number,
            out_reason_name(outcome->reason), out_kind_name(outcome->kind));
    }
}

/* Changes OUT_NOT_RUN to OUT_UNKNOWN for a request with a ticket whose state
 * this instance does not know: the request may have run before under the same
 * ticket, through another router or an earlier process of this one. */
static void
adjust_not_run(const call_request *request, out_outcome *outcome)
{
    if (outcome->kind == OUT_NOT_RUN && !request->is_ticket_state_known &&
        !request->is_idempotent && request->req != NULL &&
        request_find_header(request->req, "idempotency-key").base != NULL) {
        outcome->kind = OUT_UNKNOWN;
    }
}

void
request_end(call_request *request, const out_outcome *outcome)
{
    call_server *server = request->server;
    out_outcome adjusted = *outcome;

    adjust_not_run(request, &adjusted);
    outcome = &adjusted;
    request->is_ended = true;
    log_end(request, outcome, server->clock());
    server->counts.finished_by_outcome[outcome->kind]++;
    if (outcome->kind != OUT_DONE) {
        server->counts.not_done_by_reason[outcome->reason]++;
    }
    ticket_end(request, outcome);
    response_end(request, outcome);
    met_histogram_add(&server->counts.latency,
                      lv_elapsed(server->clock(), request->arrival_time));
}

static bool
has_only_visible_bytes(h2o_iovec_t text)
{
    size_t i;

    for (i = 0; i < text.len; i++) {
        if ((unsigned char)text.base[i] <= ' ' || text.base[i] == 0x7f) {
            return false;
        }
    }
    return text.len > 0;
}

static size_t
path_size(const h2o_req_t *req)
{
    return req->input.query_at == SIZE_MAX ? req->input.path.len
                                           : req->input.query_at;
}

static bool
authenticate(call_request *request, const cat_catalogue *catalogue,
             lv_handle *account)
{
    h2o_iovec_t value = request_find_header(request->req, "authorization");
    uint8_t digest[SHA256_DIGEST_LENGTH];
    size_t prefix = strlen(BEARER);

    if (value.len <= prefix || strncasecmp(value.base, BEARER, prefix) != 0) {
        refuse(request, OUT_REASON_NO_KEY);
        return false;
    }
    SHA256((const uint8_t *)value.base + prefix, value.len - prefix, digest);
    *account = cat_find_account_by_key(catalogue, digest);
    if (*account == LV_HANDLE_NONE ||
        CRYPTO_memcmp(catalogue->accounts[*account].key_digest, digest,
                      sizeof digest) != 0) {
        refuse(request, OUT_REASON_UNKNOWN_KEY);
        return false;
    }
    request->account = catalogue->accounts[*account].id;
    return true;
}

/* Refuses a path that other programs may interpret as another path. */
static bool
find_route(call_request *request, const cat_catalogue *catalogue,
           lv_handle *route)
{
    const h2o_req_t *req = request->req;

    *route = cat_find_route(catalogue, req->input.path.base, path_size(req));
    if (*route == LV_HANDLE_NONE) {
        refuse(request, OUT_REASON_UNKNOWN_ROUTE);
        return false;
    }
    if (cat_find_route(catalogue, req->path_normalized.base,
                       req->path_normalized.len) != *route) {
        refuse(request, OUT_REASON_BAD_REQUEST);
        return false;
    }
    return true;
}

static bool
find_entry(call_request *request, const cat_catalogue *catalogue,
           lv_handle account, const char *class_name)
{
    lv_handle entry = cat_find_entry(catalogue, account,
                                     *class_name == '\0' ? NULL : class_name);

    if (entry == LV_HANDLE_NONE) {
        refuse(request, *class_name == '\0' ? OUT_REASON_NOT_ENTITLED
                                            : OUT_REASON_UNKNOWN_CLASS);
        return false;
    }
    if (catalogue->entries[entry].limits.body > 0 &&
        request->body.len > catalogue->entries[entry].limits.body) {
        refuse(request, OUT_REASON_BODY_TOO_LARGE);
        return false;
    }
    return true;
}

/* Parses the body, unless the pool is a service, and finds the model. */
static bool
find_model(call_request *request, const cat_catalogue *catalogue,
           lv_handle route, call_body_fields *body, lv_handle *model)
{
    lv_handle pool = catalogue->routes[route].pool;

    *model = LV_HANDLE_NONE;
    if (pool != LV_HANDLE_NONE &&
        catalogue->pools[pool].kind == CAT_POOL_SERVICE) {
        return true;
    }
    request->is_engine = true;
    if (!body_parse(request->body.base, request->body.len, body) ||
        (pool == LV_HANDLE_NONE && body->model[0] == '\0')) {
        refuse(request, OUT_REASON_BAD_REQUEST);
        return false;
    }
    if (pool != LV_HANDLE_NONE) {
        return true;
    }
    *model = cat_find_model(catalogue, body->model);
    if (*model == LV_HANDLE_NONE) {
        refuse(request, OUT_REASON_UNKNOWN_MODEL);
        return false;
    }
    pool = catalogue->models[*model].pool;
    request->is_engine = catalogue->pools[pool].kind == CAT_POOL_ENGINE;
    return true;
}

static void
submit(call_request *request, const entry_request *params)
{
    call_server *server = request->server;
    out_outcome refusal;
    lv_handle handle;
    bool is_accepted;

    server->submitting = request;
    request->is_submitted = true;
    is_accepted = entry_submit(node_entry(server->node), server->clock(),
                               params, &handle, &refusal);
    server->submitting = NULL;
    if (!is_accepted) {
        request_end(request, &refusal);
        return;
    }
    if (!request->is_ended && !register_handle(request, handle)) {
        refusal = (out_outcome){OUT_NOT_RUN, OUT_REASON_MEMORY, LV_SECOND};
        server->submitting = request;
        entry_cancel(node_entry(server->node), server->clock(), handle);
        server->submitting = NULL;
        request_end(request, &refusal);
    }
}

static void
route_request(call_request *request, const cat_catalogue *catalogue,
              lv_handle account)
{
    char class_name[LV_NAME_SIZE], ticket[TKT_TEXT_SIZE];
    entry_request params = {.account = request->account,
                            .class_name = class_name,
                            .number = request->number,
                            .body_size = request->body.len,
                            .ticket = ticket};
    call_body_fields body = {.model = ""};

    if (!find_route(request, catalogue, &params.route)) {
        return;
    }
    if (request->body.len > request->server->settings.max_request_body) {
        refuse(request, OUT_REASON_BODY_TOO_LARGE);
        return;
    }
    if (!copy_header(request->req, "lavender-class", class_name,
                     sizeof class_name)) {
        refuse(request, OUT_REASON_UNKNOWN_CLASS);
        return;
    }
    if (!find_entry(request, catalogue, account, class_name) ||
        !find_model(request, catalogue, params.route, &body, &params.model)) {
        return;
    }
    request->is_idempotent = catalogue->routes[params.route].idempotent;
    if (!copy_header(request->req, "idempotency-key", ticket, sizeof ticket)) {
        /* Too long to be a ticket, so no request can have run under it. */
        request->is_ticket_state_known = true;
        refuse(request, OUT_REASON_TICKET_INVALID);
        return;
    }
    if (*ticket != '\0' && !request->is_idempotent) {
        if (!ticket_admit(request, ticket)) {
            return;
        }
    }
    else {
        params.ticket = NULL;
    }
    if (*class_name == '\0') {
        params.class_name = NULL;
    }
    params.prefix_hash = body.prefix_hash;
    params.input_units = body.input_units;
    params.output_hint_units = body.output_hint_units;
    params.can_resume = request->is_engine && body.is_stream;
    submit(request, &params);
}

static void
process_request(call_request *request)
{
    call_server *server = request->server;
    const cat_catalogue *catalogue =
        doc_catalogue(node_documents(server->node));
    out_outcome overload = {OUT_NOT_RUN, OUT_REASON_MEMORY, LV_SECOND};
    lv_handle account;

    if (server->is_draining &&
        request_find_header(request->req, "idempotency-key").base == NULL) {
        refuse(request, OUT_REASON_DRAINING);
        return;
    }
    if (!request_charge_memory(request, sizeof *request + request->body.len) ||
        server->counts.active_requests >
            server->settings.max_active_requests) {
        request_end(request, &overload);
        return;
    }
    if (catalogue == NULL ||
        (!server->is_draining && !node_is_ready(server->node))) {
        refuse(request, OUT_REASON_NOT_READY);
        return;
    }
    if (!has_only_visible_bytes(request->req->input.path) ||
        !has_only_visible_bytes(request->req->method)) {
        refuse(request, OUT_REASON_BAD_REQUEST);
        return;
    }
    if (!authenticate(request, catalogue, &account)) {
        return;
    }
    if (ticket_is_mint_request(request->req)) {
        ticket_mint(request);
        return;
    }
    route_request(request, catalogue, account);
}

int
request_receive(h2o_handler_t *handler, h2o_req_t *req)
{
    call_server *server = ((call_handler *)handler)->server;
    call_request *request = calloc(1, sizeof *request);

    if (request == NULL) {
        h2o_send_error_503(req, "Service Unavailable", "no memory", 0);
        return 0;
    }
    request->server = server;
    request->req = req;
    request->number = ++server->last_number;
    request->arrival_time = server->clock();
    request->entry_handle = LV_HANDLE_NONE;
    request->ticket = LV_HANDLE_NONE;
    request->body = req->entity;
    request->is_head_method =
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"));
    h2o_mem_init_pool(&request->response.pool);
    request->next = server->requests;
    if (request->next != NULL) {
        request->next->previous = request;
    }
    server->requests = request;
    server->counts.requests_received++;
    server->counts.active_requests++;
    server->counts.body_bytes_in += req->entity.len;
    disconnect_watch(request);
    memory_note_complete(req);
    process_request(request);
    return 0;
}

/* Freeing is deferred to call_run_deferred, as functions further up the stack
 * may still use the request. */
void
request_free_if_done(call_request *request)
{
    call_server *server = request->server;

    if (request->is_unlinked || request->req != NULL || !request->is_ended ||
        request->relay != NULL || request->entry_handle != LV_HANDLE_NONE) {
        return;
    }
    request->is_unlinked = true;
    if (request->previous != NULL) {
        request->previous->next = request->next;
    }
    else {
        server->requests = request->next;
    }
    if (request->next != NULL) {
        request->next->previous = request->previous;
    }
    request->next = server->deferred_frees;
    server->deferred_frees = request;
    server->counts.active_requests--;
    server->counts.memory_used -= request->charged_memory;
}

void
call_start_attempt(call_server *server, const lv_attempt *attempt)
{
    call_request *request = request_find(server, attempt->request);

    if (request == NULL) {
        return;
    }
    request->next_attempt = *attempt;
    request->has_next_attempt = true;
    if (!request->is_in_attempt_queue) {
        request->is_in_attempt_queue = true;
        request->next_in_attempt_queue = NULL;
        *server->attempt_queue_tail = request;
        server->attempt_queue_tail = &request->next_in_attempt_queue;
    }
}

void
call_run_deferred(call_server *server)
{
    call_request *request;

    while ((request = server->attempt_queue_head) != NULL) {
        server->attempt_queue_head = request->next_in_attempt_queue;
        if (server->attempt_queue_head == NULL) {
            server->attempt_queue_tail = &server->attempt_queue_head;
        }
        request->is_in_attempt_queue = false;
        if (request->has_next_attempt) {
            request->has_next_attempt = false;
            attempt_start(request);
        }
    }
    while ((request = server->deferred_frees) != NULL) {
        server->deferred_frees = request->next;
        answer_finish(request);
        free(request->body_copy);
        free(request->sse);
        free(request);
    }
}

void
call_cancel_attempt(call_server *server, lv_handle handle, uint32_t number)
{
    call_request *request = request_find(server, handle);

    if (request == NULL) {
        return;
    }
    if (request->has_next_attempt && request->next_attempt.number == number) {
        request->has_next_attempt = false;
        return;
    }
    if (request->attempt.number == number) {
        attempt_cancel(request);
    }
}

void
call_finish_request(call_server *server, lv_handle handle,
                    const out_outcome *outcome)
{
    call_request *request = request_find(server, handle);

    if (request == NULL) {
        return;
    }
    attempt_abort(request);
    request->has_next_attempt = false;
    unregister_handle(request);
    if (!request->is_ended) {
        request_end(request, outcome);
    }
    request_free_if_done(request);
}
