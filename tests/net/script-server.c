#include "script-server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP_MS 5
#define FILLING_SIZE 4096

static int
wait_for(script_server *server, int fd, short events)
{
    struct pollfd poller = {.fd = fd, .events = events};

    while (!atomic_load(&server->stop)) {
        if (poll(&poller, 1, STEP_MS) > 0) {
            return 1;
        }
    }
    return 0;
}

/* Read one request without a body; 0 at the end. */
static int
read_request(script_server *server, int fd)
{
    char text[8192];
    size_t used = 0;
    ssize_t length;

    while (used + 1 < sizeof text && wait_for(server, fd, POLLIN)) {
        length = recv(fd, text + used, sizeof text - used - 1, 0);
        if (length <= 0) {
            return 0;
        }
        used += (size_t)length;
        text[used] = '\0';
        if (strstr(text, "\r\n\r\n") != NULL) {
            return 1;
        }
    }
    return 0;
}

static void
send_filling(script_server *server, int fd)
{
    const char *text = server->filling != NULL ? server->filling : "x";
    size_t period = strlen(text);
    char filling[FILLING_SIZE];
    size_t sent = 0;

    for (size_t i = 0; i < sizeof filling; i++) {
        filling[i] = text[i % period];
    }
    while (sent < server->repeat && wait_for(server, fd, POLLOUT)) {
        size_t begin = sent % period;
        size_t left = server->repeat - sent;
        ssize_t length =
            send(fd, filling + begin,
                 left < sizeof filling - begin ? left : sizeof filling - begin,
                 MSG_NOSIGNAL | MSG_DONTWAIT);

        if (length <= 0) {
            return;
        }
        sent += (size_t)length;
        atomic_fetch_add(&server->sent, (size_t)length);
    }
}

static void
serve(script_server *server, int fd)
{
    while (read_request(server, fd)) {
        atomic_fetch_add(&server->requests, 1);
        if (server->answer == NULL) {
            continue;
        }
        if (send(fd, server->answer, strlen(server->answer), MSG_NOSIGNAL) <
            0) {
            return;
        }
        send_filling(server, fd);
        if (server->tail != NULL &&
            send(fd, server->tail, strlen(server->tail), MSG_NOSIGNAL) < 0) {
            return;
        }
        if (!server->keeps_open) {
            return;
        }
    }
}

typedef struct connection {
    script_server *server;
    int fd;
} connection;

static void *
run_connection(void *context)
{
    static const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    connection *self = context;

    serve(self->server, self->fd);
    if (self->server->resets) {
        setsockopt(self->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    close(self->fd);
    free(self);
    return NULL;
}

static void
start_connection(script_server *server, int fd)
{
    connection *self = malloc(sizeof *self);

    if (self == NULL || server->thread_count == SCRIPT_CONNECTIONS) {
        abort();
    }
    *self = (connection){server, fd};
    if (pthread_create(&server->threads[server->thread_count++], NULL,
                       run_connection, self) != 0) {
        abort();
    }
}

static void *
run(void *context)
{
    script_server *server = context;
    int fd;

    while (wait_for(server, server->listener, POLLIN)) {
        fd = accept(server->listener, NULL, NULL);
        if (fd >= 0) {
            atomic_fetch_add(&server->connections, 1);
            start_connection(server, fd);
        }
    }
    return NULL;
}

void
script_start(script_server *server)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof address;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(server->listener, (struct sockaddr *)&address, size) != 0 ||
        listen(server->listener, 16) != 0 ||
        getsockname(server->listener, (struct sockaddr *)&address, &size) !=
            0) {
        abort();
    }
    snprintf(server->address, sizeof server->address, "127.0.0.1:%u",
             ntohs(address.sin_port));
    if (pthread_create(&server->thread, NULL, run, server) != 0) {
        abort();
    }
}

void
script_await_request(script_server *server)
{
    while (atomic_load(&server->requests) == 0) {
        poll(NULL, 0, STEP_MS);
    }
}

void
script_stop(script_server *server)
{
    atomic_store(&server->stop, 1);
    pthread_join(server->thread, NULL);
    while (server->thread_count > 0) {
        pthread_join(server->threads[--server->thread_count], NULL);
    }
    close(server->listener);
}
