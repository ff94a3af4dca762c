#include "guard-imp.h"
#include "lavender-net/log.h"

static guard_state *
find_guard(h2o_socket_t *socket)
{
    return ((h2o_http1client_t *)socket->data)->data;
}

/* h2o's client ends the process when it does not support the Content-Length or
 * Transfer-Encoding of a head, and accepts any three digits as a status, so
 * such a head must not reach it. */
static void
check_head(h2o_socket_t *socket, const char *error)
{
    guard_state *guard = find_guard(socket);

    if (error == NULL) {
        guard->fault =
            guard_check_head(socket->input->bytes, socket->input->size);
        if (guard->head_bytes >= GUARD_HEAD_MAX) {
            guard->fault = SYN_HEAD_TOO_LARGE;
        }
        if (guard->fault != SYN_NO_FAULT) {
            guard->on_bad_head(guard);
            return;
        }
        guard->head_bytes += socket->bytes_read;
    }
    guard->read_callback(socket, error);
}

static void
intercept_reads(guard_state *guard)
{
    h2o_socket_t *socket = guard->http->sock;

    if (socket->_cb.read != NULL) {
        guard->read_callback = socket->_cb.read;
        socket->_cb.read = check_head;
    }
}

static void
on_request_sent(h2o_socket_t *socket, const char *error)
{
    guard_state *guard = find_guard(socket);

    guard->write_callback(socket, error);
    if (error == NULL) {
        intercept_reads(guard);
    }
}

/* Runs from a zero timeout because h2o sets its socket callbacks only after
 * its callback for the connection. None of them can have run yet. */
static void
install(h2o_timeout_entry_t *entry)
{
    guard_state *guard =
        H2O_STRUCT_FROM_MEMBER(guard_state, install_timer, entry);
    h2o_socket_t *socket = guard->http->sock;

    if (socket->_cb.write != NULL) {
        guard->write_callback = socket->_cb.write;
        socket->_cb.write = on_request_sent;
    }
    else {
        intercept_reads(guard);
    }
}

void
guard_start(guard_state *guard, h2o_http1client_t *http, h2o_loop_t *loop,
            h2o_timeout_t *zero_timeout)
{
    guard->http = http;
    guard->fault = SYN_NO_FAULT;
    guard->head_bytes = guard->framing_bytes = guard->body_bytes = 0;
    guard->install_timer.cb = install;
    h2o_timeout_link(loop, zero_timeout, &guard->install_timer);
}

void
guard_stop(guard_state *guard)
{
    h2o_timeout_unlink(&guard->install_timer);
}

bool
guard_accepts_body(guard_state *guard, size_t size)
{
    size_t read = guard->http->sock->bytes_read;

    guard->body_bytes += size;
    guard->framing_bytes += read > size ? read - size : 0;
    return guard->framing_bytes <=
           GUARD_FRAMING_MAX + guard->body_bytes * GUARD_FRAMING_RATIO;
}

void
guard_log_fault(const guard_state *guard, const char *address)
{
    syn_fault fault =
        guard->fault != SYN_NO_FAULT ? guard->fault : SYN_OTHER_FAULT;

    log_event(LOG_LEVEL_WARNING, uv_hrtime() / 1000, "malformed-answer",
              "address=%s fault=%s", address, syn_fault_name(fault));
}
