#define _GNU_SOURCE /* POLLRDHUP */

#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "callers-imp.h"

/* h2o does not read from an HTTP/1 connection while it handles a request of
 * that connection, so a caller that disconnects is detected by polling the
 * socket. */
#define DISCONNECT_POLL_INTERVAL_MS 100

/* Called when h2o disposes of a request: its response was sent, or its caller
 * disconnected. */
static void
on_dispose(void *pointer)
{
    call_request *request = *(call_request **)pointer;

    if (!request->response.has_sent_final || !request->is_ended) {
        request_on_disconnect(request);
    }
    request->req = NULL;
    request_free_if_done(request);
}

void
disconnect_watch(call_request *request)
{
    call_request **pointer =
        h2o_mem_alloc_shared(&request->req->pool, sizeof *pointer, on_dispose);

    *pointer = request;
}

void
request_on_disconnect(call_request *request)
{
    call_server *server = request->server;
    bool must_run_on = request->ticket != LV_HANDLE_NONE &&
                       request->was_sent && !request->is_joined;

    if (request->is_disconnected) {
        return;
    }
    request->is_disconnected = true;
    server->counts.callers_disconnected += !request->is_ended;
    if (request->relay != NULL) {
        exch_call_cancel(request->relay);
        request->relay = NULL;
        request->is_ended = true;
    }
    if (request->is_joined) {
        request->is_joined = false;
        request->ticket = LV_HANDLE_NONE;
        request->is_ended = true;
    }
    if (request->entry_handle != LV_HANDLE_NONE && !must_run_on) {
        entry_cancel(node_entry(server->node), server->clock(),
                     request->entry_handle);
    }
    else if (request->attempt.exchange != NULL) {
        exch_set_paused(request->attempt.exchange, false);
    }
}

/* Shuts down the connection, and ends the response so that h2o disposes of the
 * request. What h2o still writes is discarded. */
static void
close_disconnected(call_request *request)
{
    static const out_outcome outcome = {OUT_UNKNOWN, OUT_REASON_CALLER_GONE,
                                        0};
    h2o_req_t *req = request->req;
    h2o_socket_t *socket = req->conn->callbacks->get_socket(req->conn);

    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    req->http1_is_persistent = 0;
    request_on_disconnect(request);
    if (request->req != NULL && !request->response.is_started) {
        response_send_refusal(request, &outcome);
    }
    else if (request->req != NULL && !request->response.has_all_data) {
        request->response.is_aborted = true;
        response_end(request, &outcome);
    }
}

static bool
is_stalled(const call_request *request, lv_time now)
{
    return request->response.is_sending &&
           lv_elapsed(now, request->response.sending_since) >
               request->server->settings.stall_timeout;
}

/* Disconnects callers that stopped reading, which would otherwise occupy a
 * slot for an unlimited time. In HTTP/2 only the request is cancelled, as the
 * connection may carry others. */
static void
close_stalled(call_server *server)
{
    lv_time now = server->clock();
    call_request *request, *next;

    for (request = server->requests; request != NULL; request = next) {
        next = request->next;
        if (request->req == NULL || request->is_disconnected ||
            !is_stalled(request, now)) {
            continue;
        }
        server->counts.callers_stalled++;
        log_event(LOG_LEVEL_NOTICE, now, "caller-stalled", "request=%llu",
                  (unsigned long long)request->number);
        if (request->req->version < 0x200) {
            close_disconnected(request);
        }
        else {
            request_on_disconnect(request);
        }
    }
}

/* Fills poll_fds with the sockets of HTTP/1 requests and returns their number.
 */
static uint32_t
collect_poll_fds(call_server *server)
{
    call_request *request;
    h2o_conn_t *conn;
    uint32_t count = 0;

    for (request = server->requests;
         request != NULL && count < server->poll_capacity;
         request = request->next) {
        if (request->req == NULL || request->is_disconnected ||
            request->req->version >= 0x200) {
            continue;
        }
        conn = request->req->conn;
        server->poll_fds[count] = (struct pollfd){
            .fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn)),
            .events = POLLRDHUP};
        server->poll_requests[count++] = request;
    }
    return count;
}

static void
on_timer(uv_timer_t *timer)
{
    call_server *server = timer->data;
    uint32_t count, i;

    close_stalled(server);
    count = collect_poll_fds(server);
    if (count == 0 || poll(server->poll_fds, count, 0) <= 0) {
        return;
    }
    for (i = 0; i < count; i++) {
        if (server->poll_fds[i].revents != 0 &&
            server->poll_requests[i]->req != NULL) {
            close_disconnected(server->poll_requests[i]);
        }
    }
}

bool
disconnect_start(call_server *server)
{
    server->poll_capacity = server->settings.max_open_connections;
    server->poll_fds =
        calloc(server->poll_capacity, sizeof server->poll_fds[0]);
    server->poll_requests =
        calloc(server->poll_capacity, sizeof server->poll_requests[0]);
    if (server->poll_fds == NULL || server->poll_requests == NULL) {
        return false;
    }
    uv_timer_init(server->loop, &server->disconnect_timer);
    server->disconnect_timer.data = server;
    uv_timer_start(&server->disconnect_timer, on_timer,
                   DISCONNECT_POLL_INTERVAL_MS, DISCONNECT_POLL_INTERVAL_MS);
    return true;
}

void
disconnect_stop(call_server *server)
{
    if (server->disconnect_timer.data != NULL) {
        server->disconnect_timer.data = NULL;
        uv_close((uv_handle_t *)&server->disconnect_timer, NULL);
    }
}
