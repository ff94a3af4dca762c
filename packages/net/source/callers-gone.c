#define _GNU_SOURCE /* POLLRDHUP */

#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "callers-imp.h"

/* h2o does not read from an HTTP/1 connection while a request of it is in
 * hand, so a caller that leaves is found by asking for the connection's
 * state. */
#define GONE_INTERVAL_MILLISECONDS 100

/* h2o is done with a request: its answer went out, or its caller left. */
static void
on_dispose(void *pointer)
{
    call_request *request = *(call_request **)pointer;

    if (!request->answer.is_final || !request->is_over) {
        request_gone(request);
    }
    request->req = NULL;
    request_free(request);
}

void
gone_watch(call_request *request)
{
    call_request **pointer =
        h2o_mem_alloc_shared(&request->req->pool, sizeof *pointer, on_dispose);

    *pointer = request;
}

void
request_gone(call_request *request)
{
    call_server *server = request->server;
    bool is_kept = request->ticket != LV_HANDLE_NONE && request->is_sent &&
                   !request->is_joined;

    if (request->is_gone) {
        return;
    }
    request->is_gone = true;
    server->counts.callers_disconnected += !request->is_over;
    if (request->relay != NULL) {
        exch_call_cancel(request->relay);
        request->relay = NULL;
        request->is_over = true;
    }
    if (request->is_joined) {
        request->is_joined = false;
        request->ticket = LV_HANDLE_NONE;
        request->is_over = true;
    }
    if (request->handle != LV_HANDLE_NONE && !is_kept) {
        entry_cancel(node_entry(server->node), server->clock(),
                     request->handle);
    }
    else if (request->attempt.exchange != NULL) {
        exch_set_paused(request->attempt.exchange, false);
    }
}

/* End the connection: what is written to it now goes nowhere. */
static void
close_gone(call_request *request)
{
    static const out_outcome gone = {OUT_UNKNOWN, OUT_REASON_CALLER_GONE, 0};
    h2o_req_t *req = request->req;
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);

    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    req->http1_is_persistent = 0;
    request_gone(request);
    if (request->req != NULL && !request->answer.is_started) {
        answer_refuse(request, &gone);
    }
    else if (request->req != NULL && !request->answer.is_ended) {
        request->answer.is_cut = true;
        answer_end(request, &gone);
    }
}

static bool
is_stalled(const call_request *request, lv_time now)
{
    return request->answer.is_sending &&
           lv_elapsed(now, request->answer.sending_since) >
               request->server->settings.stall_timeout;
}

/* A caller that does not read would hold a slot for as long as it likes. */
static void
drop_stalled(call_server *server)
{
    lv_time now = server->clock();
    call_request *request, *next;

    for (request = server->requests; request != NULL; request = next) {
        next = request->next;
        if (request->req == NULL || request->is_gone ||
            !is_stalled(request, now)) {
            continue;
        }
        server->counts.callers_stalled++;
        log_event(LOG_LEVEL_NOTICE, now, "caller-stalled", "request=%llu",
                  (unsigned long long)request->number);
        if (request->req->version < 0x200) {
            close_gone(request);
        }
        else {
            request_gone(request);
        }
    }
}

static uint32_t
collect(call_server *server)
{
    call_request *request;
    h2o_conn_t *conn;
    uint32_t count = 0;

    for (request = server->requests;
         request != NULL && count < server->polled_capacity;
         request = request->next) {
        if (request->req == NULL || request->is_gone ||
            request->req->version >= 0x200) {
            continue;
        }
        conn = request->req->conn;
        server->polled[count] = (struct pollfd){
            .fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn)),
            .events = POLLRDHUP};
        server->polled_requests[count++] = request;
    }
    return count;
}

static void
on_timer(uv_timer_t *timer)
{
    call_server *server = timer->data;
    uint32_t count, i;

    drop_stalled(server);
    count = collect(server);
    if (count == 0 || poll(server->polled, count, 0) <= 0) {
        return;
    }
    for (i = 0; i < count; i++) {
        if (server->polled[i].revents != 0 &&
            server->polled_requests[i]->req != NULL) {
            close_gone(server->polled_requests[i]);
        }
    }
}

bool
gone_start(call_server *server)
{
    server->polled_capacity = server->settings.max_open_connections;
    server->polled = calloc(server->polled_capacity, sizeof server->polled[0]);
    server->polled_requests =
        calloc(server->polled_capacity, sizeof server->polled_requests[0]);
    if (server->polled == NULL || server->polled_requests == NULL) {
        return false;
    }
    uv_timer_init(server->loop, &server->gone_timer);
    server->gone_timer.data = server;
    uv_timer_start(&server->gone_timer, on_timer, GONE_INTERVAL_MILLISECONDS,
                   GONE_INTERVAL_MILLISECONDS);
    return true;
}

void
gone_stop(call_server *server)
{
    if (server->gone_timer.data != NULL) {
        server->gone_timer.data = NULL;
        uv_close((uv_handle_t *)&server->gone_timer, NULL);
    }
}
