#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "callers-imp.h"

#define BEARER "Bearer "

h2o_iovec_t
request_header(const h2o_req_t *req, const char *name)
{
    const h2o_header_t *header;
    size_t i;

    for (i = 0; i < req->headers.size; i++) {
        header = &req->headers.entries[i];
        if (h2o_lcstris(header->name->base, header->name->len, name,
                        strlen(name))) {
            return header->value;
        }
    }
    return h2o_iovec_init(NULL, 0);
}

bool
header_is_listed(h2o_iovec_t name, const char *const *names)
{
    for (; *names != NULL; names++) {
        if (h2o_lcstris(name.base, name.len, *names, strlen(*names))) {
            return true;
        }
    }
    return false;
}

/* Copy a header's value as text; false when it does not fit. An absent one
 * gives "". */
static bool
copy_header(const h2o_req_t *req, const char *name, char *to, size_t size)
{
    h2o_iovec_t value = request_header(req, name);

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
request_add_memory(call_request *request, size_t size)
{
    call_server *server = request->server;

    request->memory += size;
    server->counts.memory_used += size;
    return server->counts.memory_used <= server->settings.max_memory_used;
}

bool
request_make_table(call_server *server)
{
    uint32_t count = server->settings.max_active_requests;
    uint32_t i;

    map_init(&server->handles);
    server->slots = calloc(count, sizeof server->slots[0]);
    server->free_slots = calloc(count, sizeof server->free_slots[0]);
    if (server->slots == NULL || server->free_slots == NULL) {
        return false;
    }
    for (i = 0; i < count; i++) {
        server->free_slots[i] = i;
    }
    server->free_count = count;
    return true;
}

/* Keys of the map are not zero. */
static uint64_t
handle_key(lv_handle handle)
{
    return (uint64_t)handle + 1;
}

call_request *
request_of(call_server *server, lv_handle handle)
{
    uint32_t slot = map_find(&server->handles, handle_key(handle));

    return slot == LV_HANDLE_NONE ? server->submitting : server->slots[slot];
}

static bool
set_handle(call_request *request, lv_handle handle)
{
    call_server *server = request->server;
    uint32_t slot;

    if (server->free_count == 0) {
        return false;
    }
    slot = server->free_slots[server->free_count - 1];
    if (!map_set(&server->handles, handle_key(handle), slot)) {
        return false;
    }
    server->free_count--;
    server->slots[slot] = request;
    request->slot = slot;
    request->handle = handle;
    return true;
}

static void
clear_handle(call_request *request)
{
    call_server *server = request->server;

    if (request->handle == LV_HANDLE_NONE) {
        return;
    }
    map_remove(&server->handles, handle_key(request->handle));
    server->slots[request->slot] = NULL;
    server->free_slots[server->free_count++] = request->slot;
    request->handle = LV_HANDLE_NONE;
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

/* The outcome is known: tell the caller, and those that wait with it. */
/* A request may have run before under its ticket, through another router or
 * another process of this one: only who vouches for the ticket may say that
 * it did not. */
static void
doubt_not_run(const call_request *request, out_outcome *outcome)
{
    if (outcome->kind == OUT_NOT_RUN && !request->is_vouched &&
        !request->is_idempotent && request->req != NULL &&
        request_header(request->req, "idempotency-key").base != NULL) {
        outcome->kind = OUT_UNKNOWN;
    }
}

void
request_end(call_request *request, const out_outcome *outcome)
{
    call_server *server = request->server;
    out_outcome said = *outcome;

    doubt_not_run(request, &said);
    outcome = &said;
    request->is_over = true;
    log_end(request, outcome, server->clock());
    server->counts.finished_by_outcome[outcome->kind]++;
    if (outcome->kind != OUT_DONE) {
        server->counts.not_done_by_reason[outcome->reason]++;
    }
    ticket_end(request, outcome);
    answer_end(request, outcome);
    met_histogram_add(&server->counts.latency,
                      lv_elapsed(server->clock(), request->arrived));
}

static bool
is_plain(h2o_iovec_t text)
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
find_account(call_request *request, const cat_catalogue *catalogue,
             lv_handle *account)
{
    h2o_iovec_t value = request_header(request->req, "authorization");
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

/* A path that other programs may read as another path is refused. */
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

/* Read the body where the route needs it, and find model and pool. */
static bool
read_body(call_request *request, const cat_catalogue *catalogue,
          lv_handle route, call_body *body, lv_handle *model)
{
    lv_handle pool = catalogue->routes[route].pool;

    *model = LV_HANDLE_NONE;
    if (pool != LV_HANDLE_NONE &&
        catalogue->pools[pool].kind == CAT_POOL_SERVICE) {
        return true;
    }
    request->is_engine = true;
    if (!body_read(request->body.base, request->body.len, body) ||
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
submit(call_request *request, const entry_request *wanted)
{
    call_server *server = request->server;
    out_outcome refusal;
    lv_handle handle;
    bool is_taken;

    server->submitting = request;
    request->is_submitted = true;
    is_taken = entry_submit(node_entry(server->node), server->clock(), wanted,
                            &handle, &refusal);
    server->submitting = NULL;
    if (!is_taken) {
        request_end(request, &refusal);
        return;
    }
    if (!request->is_over && !set_handle(request, handle)) {
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
    entry_request wanted = {.account = request->account,
                            .class_name = class_name,
                            .number = request->number,
                            .body_size = request->body.len,
                            .ticket = ticket};
    call_body body = {.model = ""};

    if (!find_route(request, catalogue, &wanted.route)) {
        return;
    }
    if (!copy_header(request->req, "lavender-class", class_name,
                     sizeof class_name)) {
        refuse(request, OUT_REASON_UNKNOWN_CLASS);
        return;
    }
    if (!find_entry(request, catalogue, account, class_name) ||
        !read_body(request, catalogue, wanted.route, &body, &wanted.model)) {
        return;
    }
    request->is_idempotent = catalogue->routes[wanted.route].idempotent;
    if (!copy_header(request->req, "idempotency-key", ticket, sizeof ticket)) {
        /* Too long for a ticket: none was ever run under it. */
        request->is_vouched = true;
        refuse(request, OUT_REASON_TICKET_INVALID);
        return;
    }
    if (*ticket != '\0' && !request->is_idempotent) {
        if (!ticket_use(request, ticket)) {
            return;
        }
    }
    else {
        wanted.ticket = NULL;
    }
    if (*class_name == '\0') {
        wanted.class_name = NULL;
    }
    wanted.prefix_hash = body.prefix_hash;
    wanted.input_units = body.input_units;
    wanted.output_hint_units = body.hint_units;
    wanted.can_resume = request->is_engine && body.is_stream;
    submit(request, &wanted);
}

static void
take(call_request *request)
{
    call_server *server = request->server;
    const cat_catalogue *catalogue =
        doc_catalogue(node_documents(server->node));
    out_outcome full = {OUT_NOT_RUN, OUT_REASON_MEMORY, LV_SECOND};
    lv_handle account;

    if (server->is_draining &&
        request_header(request->req, "idempotency-key").base == NULL) {
        refuse(request, OUT_REASON_DRAINING);
        return;
    }
    if (!request_add_memory(request, sizeof *request + request->body.len) ||
        server->counts.active_requests >
            server->settings.max_active_requests) {
        request_end(request, &full);
        return;
    }
    if (catalogue == NULL ||
        (!server->is_draining && !node_is_ready(server->node))) {
        refuse(request, OUT_REASON_NOT_READY);
        return;
    }
    if (!is_plain(request->req->input.path) ||
        !is_plain(request->req->method)) {
        refuse(request, OUT_REASON_BAD_REQUEST);
        return;
    }
    if (!find_account(request, catalogue, &account)) {
        return;
    }
    if (ticket_is_mint(request->req)) {
        ticket_mint(request);
        return;
    }
    route_request(request, catalogue, account);
}

int
request_take(h2o_handler_t *handler, h2o_req_t *req)
{
    call_server *server = ((call_handler *)handler)->server;
    call_request *request = calloc(1, sizeof *request);

    if (request == NULL) {
        h2o_send_error_503(req, "Service Unavailable", "no memory", 0);
        return 0;
    }
    request->server = server;
    request->req = req;
    request->number = ++server->next_number;
    request->arrived = server->clock();
    request->handle = LV_HANDLE_NONE;
    request->ticket = LV_HANDLE_NONE;
    request->body = req->entity;
    request->is_head_method =
        h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"));
    h2o_mem_init_pool(&request->answer.pool);
    request->next = server->requests;
    if (request->next != NULL) {
        request->next->previous = request;
    }
    server->requests = request;
    server->counts.requests_received++;
    server->counts.active_requests++;
    server->counts.body_bytes_in += req->entity.len;
    gone_watch(request);
    take(request);
    return 0;
}

/* Freed in the next turn of the loop: callers of ours may still be on the
 * stack. */
void
request_free(call_request *request)
{
    call_server *server = request->server;

    if (request->is_freed || request->req != NULL || !request->is_over ||
        request->relay != NULL || request->handle != LV_HANDLE_NONE) {
        return;
    }
    request->is_freed = true;
    if (request->previous != NULL) {
        request->previous->next = request->next;
    }
    else {
        server->requests = request->next;
    }
    if (request->next != NULL) {
        request->next->previous = request->previous;
    }
    request->next = server->freed;
    server->freed = request;
    server->counts.active_requests--;
    server->counts.memory_used -= request->memory;
}

void
call_start_attempt(call_server *server, const lv_attempt *attempt)
{
    call_request *request = request_of(server, attempt->request);

    if (request == NULL) {
        return;
    }
    request->wanted = *attempt;
    request->is_wanted = true;
    if (!request->is_queued) {
        request->is_queued = true;
        request->next_wanted = NULL;
        *server->last_wanted = request;
        server->last_wanted = &request->next_wanted;
    }
}

void
call_run_deferred(call_server *server)
{
    call_request *request;

    while ((request = server->first_wanted) != NULL) {
        server->first_wanted = request->next_wanted;
        if (server->first_wanted == NULL) {
            server->last_wanted = &server->first_wanted;
        }
        request->is_queued = false;
        if (request->is_wanted) {
            request->is_wanted = false;
            attempt_start(request);
        }
    }
    while ((request = server->freed) != NULL) {
        server->freed = request->next;
        answer_finish(request);
        free(request->body_copy);
        free(request->stream);
        free(request);
    }
}

void
call_cancel_attempt(call_server *server, lv_handle handle, uint32_t number)
{
    call_request *request = request_of(server, handle);

    if (request == NULL) {
        return;
    }
    if (request->is_wanted && request->wanted.number == number) {
        request->is_wanted = false;
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
    call_request *request = request_of(server, handle);

    if (request == NULL) {
        return;
    }
    attempt_drop(request);
    request->is_wanted = false;
    clear_handle(request);
    if (!request->is_over) {
        request_end(request, outcome);
    }
    request_free(request);
}
