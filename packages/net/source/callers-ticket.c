#define XXH_STATIC_LINKING_ONLY /* allows XXH64_state_t on the stack */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "callers-imp.h"

/* Hashes method, path and body, so that a ticket is not used for two different
 * requests. */
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
ticket_is_mint_request(const h2o_req_t *req)
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
    request->is_ended = true;
    response_send_complete(request, 201, "application/json",
                           out_kind_name(OUT_DONE), text, (size_t)size);
}

static void
end_with_reason(call_request *request, out_kind kind, out_reason reason)
{
    out_outcome outcome = {kind, reason, 0};

    request_end(request, &outcome);
}

static void
replay_ticket(call_request *request)
{
    call_server *server = request->server;
    tkt_answer stored;

    request->is_joined = false;
    if (!tkt_read_answer(node_tickets(server->node), request->ticket,
                         &stored)) {
        request->ticket = LV_HANDLE_NONE;
        end_with_reason(request, OUT_UNKNOWN, OUT_REASON_TICKET_EXPIRED);
        return;
    }
    request->ticket = LV_HANDLE_NONE;
    server->counts.tickets_replayed++;
    request->is_ended = true;
    response_send_replay(request, &stored);
}

/* Copies the body, as the request runs on when its caller disconnects. On
 * failure body_copy is NULL. */
static void
copy_body(call_request *request)
{
    request->body_copy = malloc(request->body.len + 1);
    if (request->body_copy != NULL) {
        memcpy(request->body_copy, request->body.base, request->body.len);
        request->body.base = request->body_copy;
    }
}

bool
ticket_admit(call_request *request, const char *text)
{
    call_server *server = request->server;
    lv_id minter = LV_ID_NONE;

    switch (tkt_redeem(node_tickets(server->node), server->clock(), text,
                       request->account, hash_request(request),
                       &request->ticket, &minter)) {
    case TKT_RUN:
        request->is_ticket_state_known = true;
        copy_body(request);
        if (request->body.len > 0 && request->body_copy == NULL) {
            tkt_release(node_tickets(server->node), request->ticket);
            request->ticket = LV_HANDLE_NONE;
            end_with_reason(request, OUT_NOT_RUN, OUT_REASON_MEMORY);
            return false;
        }
        return true;
    case TKT_JOIN:
        request->is_ticket_state_known = true;
        request->is_joined = true;
        server->counts.tickets_joined++;
        return false;
    case TKT_REPLAY:
        replay_ticket(request);
        return false;
    case TKT_RELAY:
        request->ticket = LV_HANDLE_NONE;
        ticket_relay(request, minter);
        return false;
    case TKT_MINTER_RESTARTED:
        request->ticket = LV_HANDLE_NONE;
        end_with_reason(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
        return false;
    case TKT_EXPIRED:
        request->ticket = LV_HANDLE_NONE;
        end_with_reason(request, OUT_UNKNOWN, OUT_REASON_TICKET_EXPIRED);
        return false;
    case TKT_INVALID:
    case TKT_MISMATCH:
        request->is_ticket_state_known = true;
        break;
    }
    request->ticket = LV_HANDLE_NONE;
    end_with_reason(request, OUT_NOT_RUN, OUT_REASON_TICKET_INVALID);
    return false;
}

/* Ends the requests that joined the ticket: with the refusal, or, when it is
 * NULL, by replaying the stored response. */
static void
end_joined_requests(call_server *server, lv_handle ticket,
                    const out_outcome *refusal)
{
    call_request *request, *next;

    for (request = server->requests; request != NULL; request = next) {
        next = request->next;
        if (!request->is_joined || request->ticket != ticket) {
            continue;
        }
        if (refusal == NULL) {
            replay_ticket(request);
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
    call_response *response = &request->response;
    lv_handle ticket = request->ticket;
    tkt_answer stored = {.outcome = *outcome};

    if (ticket == LV_HANDLE_NONE || request->is_joined) {
        return;
    }
    request->ticket = LV_HANDLE_NONE;
    if (outcome->kind == OUT_NOT_RUN) {
        tkt_release(node_tickets(server->node), ticket);
        end_joined_requests(server, ticket, outcome);
        return;
    }
    if (outcome->kind == OUT_DONE) {
        stored.status = response->status;
        lv_copy_name(stored.content_type, sizeof stored.content_type,
                     response->content_type);
        stored.body = response->retained.bytes;
        stored.body_size =
            response->is_retained_truncated ? 0 : response->retained.size;
        stored.is_truncated = response->is_retained_truncated;
    }
    tkt_complete(node_tickets(server->node), server->clock(), ticket, &stored);
    end_joined_requests(server, ticket, NULL);
}

static void
on_relay_response(void *context, const exch_response *response)
{
    call_request *request = context;

    request->relay = NULL;
    if (!response->is_complete || response->outcome[0] == '\0') {
        end_with_reason(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
        return;
    }
    request->is_ended = true;
    response_add_retry_after(request, response->retry_after);
    response_send_complete(request, response->status, response->content_type,
                           response->outcome, response->body,
                           response->body_size);
}

/* Returns the instance that minted a ticket; NULL when it is not alive. */
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
append_header_line(char *text, size_t size, const h2o_req_t *req,
                   const char *name)
{
    h2o_iovec_t value = request_find_header(req, name);
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
    exch_call_options exchange = {.method = method,
                                  .path = path,
                                  .headers = headers,
                                  .body = request->body.base,
                                  .body_size = request->body.len,
                                  .max_response_size =
                                      server->settings.max_relayed_response,
                                  .needs_new_connection = true};

    if (instance == NULL ||
        request_find_header(request->req, "lavender-relayed").base != NULL ||
        request->req->input.path.len >= sizeof path ||
        request->req->method.len >= sizeof method) {
        end_with_reason(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
        return;
    }
    snprintf(method, sizeof method, "%.*s", (int)request->req->method.len,
             request->req->method.base);
    snprintf(path, sizeof path, "%.*s", (int)request->req->input.path.len,
             request->req->input.path.base);
    snprintf(headers, sizeof headers, "lavender-relayed: 1\r\n");
    append_header_line(headers, sizeof headers, request->req, "authorization");
    append_header_line(headers, sizeof headers, request->req, "content-type");
    append_header_line(headers, sizeof headers, request->req, "accept");
    append_header_line(headers, sizeof headers, request->req,
                       "lavender-class");
    append_header_line(headers, sizeof headers, request->req,
                       "idempotency-key");
    if (strlen(headers) + 1 == sizeof headers) {
        end_with_reason(request, OUT_NOT_RUN, OUT_REASON_BAD_REQUEST);
        return;
    }
    exchange.address = instance->http;
    server->counts.tickets_relayed++;
    request->relay =
        exch_call_start(server->client, &exchange, on_relay_response, request);
    if (request->relay == NULL) {
        end_with_reason(request, OUT_UNKNOWN, OUT_REASON_TICKET_ELSEWHERE);
    }
}
