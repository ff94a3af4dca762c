#include "listen-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender-net/endpoints.h"

#define LISTEN_BACKLOG 1024

static void
on_connection_closed(uv_handle_t *handle)
{
    listen_connection *connection = (listen_connection *)handle;

    connection->listener->connections--;
    if (connection->previous != NULL) {
        connection->previous->next = connection->next;
    }
    else {
        connection->listener->first_connection = connection->next;
    }
    if (connection->next != NULL) {
        connection->next->previous = connection->previous;
    }
    free(connection);
}

static void
free_connection(uv_handle_t *handle)
{
    free(handle);
}

/* Closes a connection beyond the maximum. Without TLS, tries once to write a
 * response with the reason. */
static void
refuse_connection(listen_listener *listener, listen_connection *connection)
{
    static const char body[] =
        "{\"error\": {\"kind\": \"connections\", \"message\": \"this router "
        "has as many connections as it may\", \"remedy\": \"wait for the "
        "time in Retry-After\", \"outcome\": \"not-run\"}}\n";
    char text[512];
    uv_buf_t buffer;
    int size;

    listener->refused++;
    if (listener->settings.tls == NULL) {
        size = snprintf(text, sizeof text,
                        "HTTP/1.1 503 Service Unavailable\r\n"
                        "content-type: application/json\r\n"
                        "content-length: %zu\r\nlavender-outcome: not-run\r\n"
                        "retry-after: 1\r\nconnection: close\r\n\r\n%s",
                        sizeof body - 1, body);
        buffer = uv_buf_init(text, (unsigned)size);
        uv_try_write((uv_stream_t *)&connection->tcp, &buffer, 1);
    }
    uv_close((uv_handle_t *)&connection->tcp, free_connection);
}

/* h2o calls on_close.cb if it is set; only on_close.data is used here. */
static void
ignore_close(void *connection)
{
    (void)connection;
}

static void
on_connection(uv_stream_t *stream, int status)
{
    listen_listener *listener = stream->data;
    listen_connection *connection;
    h2o_socket_t *socket;

    if (status != 0 || (connection = calloc(1, sizeof *connection)) == NULL) {
        listener->accept_failures++;
        return;
    }
    connection->listener = listener;
    uv_tcp_init(listener->loop, &connection->tcp);
    if (uv_accept(stream, (uv_stream_t *)&connection->tcp) != 0) {
        listener->accept_failures++;
        uv_close((uv_handle_t *)&connection->tcp, free_connection);
        return;
    }
    if (listener->connections >= listener->settings.connection_limit) {
        refuse_connection(listener, connection);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    connection->next = listener->first_connection;
    if (connection->next != NULL) {
        connection->next->previous = connection;
    }
    listener->first_connection = connection;
    listener->connections++;
    listener->accepted++;
    socket = h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
                                  on_connection_closed);
    socket->on_close.cb = ignore_close;
    socket->on_close.data = connection;
    h2o_accept(&listener->accept, socket);
}

void
listen_init(listen_listener *listener, uv_loop_t *loop,
            const listen_settings *settings)
{
    memset(listener, 0, sizeof *listener);
    listener->settings = *settings;
    listener->loop = loop;
    h2o_config_init(&listener->config);
    listener->config.server_name = h2o_iovec_init(H2O_STRLIT("lavenderd"));
    listener->config.max_request_entity_size = settings->body_limit;
    listener->config.http1.req_timeout =
        settings->head_timeout / LV_MILLISECOND;
    listener->config.http1.upgrade_to_http2 = 1;
    listener->config.http2.idle_timeout =
        settings->idle_timeout / LV_MILLISECOND;
    listener->host = h2o_config_register_host(
        &listener->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
}

bool
listen_open(listen_listener *listener, err_error *error)
{
    const listen_settings *settings = &listener->settings;
    struct sockaddr_storage address;
    socklen_t size;
    int receive_buffer = LISTEN_RECEIVE_BUFFER_BYTES;
    int status;

    if (!addr_parse(settings->address, &address, &size)) {
        return err_set(error, ERR_BAD_VALUE, "write IP:PORT",
                       "'%s' is not an IP:PORT address", settings->address);
    }
    h2o_context_init(&listener->context, listener->loop, &listener->config);
    listener->accept.ctx = &listener->context;
    listener->accept.hosts = listener->config.hosts;
    listener->accept.ssl_ctx = settings->tls;
    uv_tcp_init(listener->loop, &listener->tcp);
    listener->tcp.data = listener;
    listener->is_open = true;
    status = uv_tcp_bind(&listener->tcp, (struct sockaddr *)&address, 0);
    if (status == 0) {
        status = uv_listen((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG,
                           on_connection);
    }
    uv_recv_buffer_size((uv_handle_t *)&listener->tcp, &receive_buffer);
    if (status != 0) {
        return err_set(error, ERR_SYSTEM,
                       "name an address of this machine and a free port",
                       "cannot listen on the %s address %s: %s",
                       settings->listener_name, settings->address,
                       uv_strerror(status));
    }
    return true;
}

void
listen_close(listen_listener *listener)
{
    listen_connection *connection;
    uv_os_fd_t fd;

    if (listener->is_open && !uv_is_closing((uv_handle_t *)&listener->tcp)) {
        uv_close((uv_handle_t *)&listener->tcp, NULL);
        h2o_context_request_shutdown(&listener->context);
    }
    for (connection = listener->first_connection; connection != NULL;
         connection = connection->next) {
        if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0) {
            shutdown(fd, SHUT_RDWR);
        }
    }
}

void
listen_finish(listen_listener *listener)
{
    if (listener->connections > 0) {
        return;
    }
    if (listener->is_open) {
        h2o_timeout_unlink(
            &listener->context.http2._graceful_shutdown_timeout);
        h2o_context_dispose(&listener->context);
    }
    h2o_config_dispose(&listener->config);
    if (listener->settings.tls != NULL) {
        SSL_CTX_free(listener->settings.tls);
    }
}
