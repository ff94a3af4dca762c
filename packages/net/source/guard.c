#include "guard-imp.h"
#include "lavender-net/log.h"

static guard_state *
find_guard(h2o_socket_t *socket)
{
    return ((h2o_http1client_t *)socket->data)->data;
}

/* Calls h2o's callback, which may end the request. Returns whether the guard
 * is still in use. */
static bool
call_h2o(guard_state *guard, h2o_socket_t *socket, const char *error)
{
    bool was_stopped = false;

    guard->was_stopped = &was_stopped;
    guard->read_callback(socket, error);
    if (!was_stopped) {
        guard->was_stopped = NULL;
    }
    return !was_stopped;
}

/* Checks the last bytes of the input, which are of a chunked body, and takes
 * those away that follow a fault. */
static void
check_chunks(guard_state *guard, h2o_buffer_t *input, size_t size)
{
    size_t valid = syn_check_chunks(&guard->chunks,
                                    input->bytes + input->size - size, size);

    if (syn_chunks_have_fault(&guard->chunks)) {
        guard->fault = SYN_BAD_CHUNK;
        input->size -= size - valid;
    }
}

/* Passes a read to h2o, reports a fault in it once what came before is
 * delivered, and has the next read of a chunked body checked. */
static void
pass_read(guard_state *guard, h2o_socket_t *socket, const char *error)
{
    if (!call_h2o(guard, socket, error)) {
        return;
    }
    if (guard->fault != SYN_NO_FAULT) {
        guard->on_fault(guard);
        return;
    }
    guard_resume(guard);
}

/* h2o's client takes a part of a size for all of it, and CR CR LF or LF for a
 * line end. */
static void
check_body(h2o_socket_t *socket, const char *error)
{
    guard_state *guard = find_guard(socket);

    if (error == NULL) {
        size_t size = socket->input->size;

        check_chunks(guard, socket->input, socket->bytes_read);
        socket->bytes_read -= size - socket->input->size;
    }
    pass_read(guard, socket, error);
}

void
guard_resume(guard_state *guard)
{
    h2o_socket_t *socket = guard->http->sock;

    if (guard->is_chunked && socket->_cb.read != NULL &&
        socket->_cb.read != check_body) {
        guard->read_callback = socket->_cb.read;
        socket->_cb.read = check_body;
    }
}

/* h2o's client ends the process when it does not support the Content-Length or
 * Transfer-Encoding of a head, and accepts any three digits as a status, so
 * such a head must not reach it. */
static void
check_head(h2o_socket_t *socket, const char *error)
{
    guard_state *guard = find_guard(socket);
    h2o_buffer_t *input = socket->input;
    guard_head head = {.size = 0};

    if (error == NULL) {
        guard->fault = guard_check_head(input->bytes, input->size, &head);
        if (guard->head_bytes >= GUARD_HEAD_MAX) {
            guard->fault = SYN_HEAD_TOO_LARGE;
        }
        if (guard->fault != SYN_NO_FAULT) {
            guard->on_fault(guard);
            return;
        }
        guard->head_bytes += socket->bytes_read;
    }
    if (head.is_chunked) {
        guard->is_chunked = true;
        check_chunks(guard, input, input->size - head.size);
    }
    pass_read(guard, socket, error);
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
    guard->was_stopped = NULL;
    guard->fault = SYN_NO_FAULT;
    guard->is_chunked = false;
    guard->chunks = (syn_chunks){.part = 0};
    guard->head_bytes = guard->framing_bytes = guard->body_bytes = 0;
    guard->install_timer.cb = install;
    h2o_timeout_link(loop, zero_timeout, &guard->install_timer);
}

void
guard_stop(guard_state *guard)
{
    h2o_timeout_unlink(&guard->install_timer);
    if (guard->was_stopped != NULL) {
        *guard->was_stopped = true;
    }
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
