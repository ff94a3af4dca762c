#define XXH_STATIC_LINKING_ONLY /* the state on the stack */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "callers-imp.h"

static uint64_t
hash_request(const call_request *request)
{
    const h2o_req_t *req = request->req;
    XXH64_state_t state;

    XXH64_reset(&state, 0);
    XXH64_update(&state, req->method.base, req->method.len);
    XXH64_update(&state, " ", 1);
    XXH64_update(&state, req->input.path.base, req->input.path.len);
    XXH64_update(&state, " ", 1);
    if (request->body.len > 0) {
        XXH64_update(&state, request->body.base, request->body.len);
    }
    return XXH64_digest(&state);
}

bool
ticket_is_mint(const h2o_req_t *req)
{
    size_t size = req->input.query_at == SIZE_MAX ? req->input.path.len
                                                  : req->input.query_at;

    return h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")) &&
           h2o_memis(req->input.path.base, size,
                     H2O_STRLIT(CALL_PATH_TICKETS));
}

void
ticket_mint(call_request *request)
{
    call_server *server = request->server;
    tkt_store *store = node_tickets(server->node);
    out_outcome refusal = {OUT_NOT_RUN, OUT_REASON_TICKETS_FULL, LV_SECOND};
    char ticket[TKT_TEXT_SIZE], text[TKT_TEXT_SIZE + 64];
    err_error error;
    int size;

    if (server->is_draining) {
        refusal.reason = OUT_REASON_DRAINING;
        request_end(request, &refusal);
        return;
    }
    if (!tkt_mint(store, server->clock(), request->account, ticket, &error)) {
        request_end(request, &refusal);
        return;
    }
    server->counts.tickets_minted++;
    size =
        snprintf(text, sizeof text,
                 "{\"ticket\": \"%s\", \"lifetime_seconds\": %llu}\n", ticket,
                 (unsigned long long)(store->settings.lifetime / LV_SECOND));
    request->is_over = true;
    answer_text(request, 201, "application/json", out_kind_name(OUT_DONE),
                text, (size_t)size);
}

static void
refuse(call_request *request, out_kind kind, out_reason reason)
{
    out_outcome outcome = {kind, reason, 0};

    request_end(request, &outcome);
}

static void
replay(call_request *request)
{
    call_server *server = request->server;
    tkt_answer answer;

    request->is_joined = false;
    if (!tkt_read_answer(node_tickets(server->node), request->ticket,
                         &answer)) {
        request->ticket = LV_HANDLE_NONE;
        refuse(request, OUT_UNKNOWN, OUT_REASON_TICKET_EXPIRED);
        return;
    }
    request->ticket = LV_HANDLE_NONE;
    server->counts.tickets_replayed++;
    request->is_over = true;
    answer_remembered(request, &answer);
}

static void
keep_body(call_request *request)
{
    request->body_copy = malloc(request->body.len + 1);
    if (request->body_copy != NULL) {
        memcpy(request->body_copy, request->body.base, request->body.len);
        request->body.base = request->body_copy;
    }
}

bool
ticket_use(call_request *request, const char *text)
{
    call_server *server = request->server;
    lv_id minter = LV_ID_NONE;

    switch (tkt_redeem(node_tickets(server->node), server->clock(), text,
                       request->account, hash_request(request),
                       &request->ticket, &minter)) {
    case TKT_RUN:
        request->is_vouched = true;
        keep_body(request);
        if (request->body.len > 0 && request->body_copy == NULL) {
            tkt_release(node_tickets(server->node), request->ticket);
            request->ticket = LV_HANDLE_NONE;
            refuse(request, OUT_NOT_RUN, OUT_REASON_MEMORY);
            return false;
        }
        return true;
    case TKT_JOIN:
        request->is_vouched = true;
        request->is_joined = true;
        server->counts.tickets_joined++;
        return false;
    case TKT_REPLAY:
        replay(request);
        return false;
    case TKT_RELAY:
        request->ticket = LV_HANDLE_NONE;
        ticket_relay(request, minter);
        return false;
    case TKT_MINTER_RESTARTED:
        request->ticket = LV_HANDLE_NONE;
        refuse(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
        return false;
    case TKT_EXPIRED:
        request->ticket = LV_HANDLE_NONE;
        refuse(request, OUT_UNKNOWN, OUT_REASON_TICKET_EXPIRED);
        return false;
    case TKT_INVALID:
    case TKT_MISMATCH:
        request->is_vouched = true;
        break;
    }
    request->ticket = LV_HANDLE_NONE;
    refuse(request, OUT_NOT_RUN, OUT_REASON_TICKET_INVALID);
    return false;
}

/* Those that wait for the same ticket get what it came to. */
static void
end_joined(call_server *server, lv_handle ticket, const out_outcome *refusal)
{
    call_request *request, *next;

    for (request = server->requests; request != NULL; request = next) {
        next = request->next;
        if (!request->is_joined || request->ticket != ticket) {
            continue;
        }
        if (refusal == NULL) {
            replay(request);
            continue;
        }
        request->is_joined = false;
        request->ticket = LV_HANDLE_NONE;
        request_end(request, refusal);
    }
}

void
ticket_end(call_request *request, const out_outcome *outcome)
{
    call_server *server = request->server;
    call_answer *answer = &request->answer;
    lv_handle ticket = request->ticket;
    tkt_answer remembered = {.outcome = *outcome};

    if (ticket == LV_HANDLE_NONE || request->is_joined) {
        return;
    }
    request->ticket = LV_HANDLE_NONE;
    if (outcome->kind == OUT_NOT_RUN) {
        tkt_release(node_tickets(server->node), ticket);
        end_joined(server, ticket, outcome);
        return;
    }
    if (outcome->kind == OUT_DONE) {
        remembered.status = answer->status;
        lv_copy_name(remembered.content_type, sizeof remembered.content_type,
                     answer->content_type);
        remembered.body = answer->kept.bytes;
        remembered.body_size = answer->is_kept_short ? 0 : answer->kept.size;
        remembered.is_truncated = answer->is_kept_short;
    }
    tkt_complete(node_tickets(server->node), server->clock(), ticket,
                 &remembered);
    end_joined(server, ticket, NULL);
}

static void
on_relayed(void *context, const exch_response *answer)
{
    call_request *request = context;

    request->relay = NULL;
    if (!answer->is_complete || answer->outcome[0] == '\0') {
        refuse(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
        return;
    }
    request->is_over = true;
    answer_add_retry_after(request, answer->retry_after);
    answer_text(request, answer->status, answer->content_type, answer->outcome,
                answer->body, answer->body_size);
}

static const lists_instance *
find_minter(const call_server *server, lv_id minter)
{
    const lists_snapshot *lists = doc_lists(node_documents(server->node));
    lv_handle instance =
        lists == NULL ? LV_HANDLE_NONE : lists_find_instance(lists, minter);
    uint64_t incarnation;

    if (instance == LV_HANDLE_NONE ||
        !swim_is_live(node_membership(server->node), minter, &incarnation)) {
        return NULL;
    }
    return &lists->instances[instance];
}

static void
add_line(char *text, size_t size, const h2o_req_t *req, const char *name)
{
    h2o_iovec_t value = request_header(req, name);
    size_t used = strlen(text);

    if (value.base != NULL) {
        snprintf(text + used, size - used, "%s: %.*s\r\n", name,
                 (int)value.len, value.base);
    }
}

void
ticket_relay(call_request *request, lv_id minter)
{
    call_server *server = request->server;
    const lists_instance *instance = find_minter(server, minter);
    char headers[2048], method[24], path[1024];
    exch_call_options simple = {.method = method,
                                .path = path,
                                .headers = headers,
                                .body = request->body.base,
                                .body_size = request->body.len,
                                .max_response_size =
                                    server->settings.max_relayed_response,
                                .needs_new_connection = true};

    if (instance == NULL ||
        request_header(request->req, "lavender-relayed").base != NULL ||
        request->req->input.path.len >= sizeof path ||
        request->req->method.len >= sizeof method) {
        refuse(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
        return;
    }
    snprintf(method, sizeof method, "%.*s", (int)request->req->method.len,
             request->req->method.base);
    snprintf(path, sizeof path, "%.*s", (int)request->req->input.path.len,
             request->req->input.path.base);
    snprintf(headers, sizeof headers, "lavender-relayed: 1\r\n");
    add_line(headers, sizeof headers, request->req, "authorization");
    add_line(headers, sizeof headers, request->req, "content-type");
    add_line(headers, sizeof headers, request->req, "accept");
    add_line(headers, sizeof headers, request->req, "lavender-class");
    add_line(headers, sizeof headers, request->req, "idempotency-key");
    if (strlen(headers) + 1 == sizeof headers) {
        refuse(request, OUT_NOT_RUN, OUT_REASON_BAD_REQUEST);
        return;
    }
    simple.address = instance->http;
    server->counts.tickets_relayed++;
    request->relay =
        exch_call_start(server->client, &simple, on_relayed, request);
    if (request->relay == NULL) {
        refuse(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
    }
}
