#define _GNU_SOURCE

#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define GATEWAYS_MAX 64
#define STACK_SIZE ((size_t)256 * 1024)
/* Three ports for each of up to 29 gateways; scripts that run at the same time
 * have ranges of their own. */
#define FIRST_PORT 10000
#define PORTS_PER_PROCESS 88
#define PORT_RANGES 250
#define PROGRAM "target/packages/daemon/lavenderd"

static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static char folder_text[RIG_TEXT_SIZE];
static struct timespec started_at;
static rig_gateway *gateways[GATEWAYS_MAX];
static uint32_t gateway_count;

void
rig_init(const char *folder)
{
    char path[RIG_TEXT_SIZE * 2];

    signal(SIGPIPE, SIG_IGN);
    clock_gettime(CLOCK_MONOTONIC, &started_at);
    snprintf(path, sizeof path, "%s/record.txt", folder);
    record = fopen(path, "w");
    snprintf(folder_text, sizeof folder_text, "/tmp/review-XXXXXX");
    if (record == NULL || mkdtemp(folder_text) == NULL) {
        perror(path);
        exit(RIG_NOT_RUN);
    }
    rig_note("trouble: %s", rig_is_calm() ? "no" : "yes");
}

bool
rig_is_calm(void)
{
    const char *trouble = getenv("TROUBLE");

    return trouble != NULL && strcmp(trouble, "0") == 0;
}

static void
write_note(const char *format, va_list values)
{
    pthread_mutex_lock(&record_mutex);
    fprintf(record, "%6ld ", rig_now());
    vfprintf(record, format, values);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_mutex);
}

void
rig_note(const char *format, ...)
{
    va_list values;

    va_start(values, format);
    write_note(format, values);
    va_end(values);
}

void
rig_finish(int result)
{
    char command[RIG_TEXT_SIZE + 16];
    uint32_t i;

    for (i = 0; i < gateway_count; i++) {
        if (gateways[i]->pid > 0) {
            kill(gateways[i]->pid, SIGKILL);
            waitpid(gateways[i]->pid, NULL, 0);
        }
    }
    rig_note("result: %d (%s)", result,
             result == RIG_HELD     ? "the rule held"
             : result == RIG_BROKEN ? "the rule was broken"
                                    : "the case did not run");
    if (getenv("KEEP") == NULL) {
        snprintf(command, sizeof command, "rm -r %s", folder_text);
        if (system(command) != 0) {
            fprintf(stderr, "cannot remove %s\n", folder_text);
        }
    }
    _exit(result);
}

void
rig_fail(const char *format, ...)
{
    va_list values;

    va_start(values, format);
    write_note(format, values);
    va_end(values);
    rig_finish(RIG_NOT_RUN);
}

long
rig_now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - started_at.tv_sec) * 1000 +
           (now.tv_nsec - started_at.tv_nsec) / 1000000;
}

void
rig_sleep(long ms)
{
    struct timespec time = {.tv_sec = ms / 1000,
                            .tv_nsec = ms % 1000 * 1000000};

    while (nanosleep(&time, &time) != 0 && errno == EINTR) {
    }
}

void
rig_start_thread(void *(*run)(void *), void *context)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_SIZE);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, context) != 0) {
        rig_fail("no thread");
    }
    pthread_attr_destroy(&attributes);
}

/* Returns the bytes read; 0 at the end, -1 on a failure, -2 on a timeout. */
static ssize_t
read_some(int fd, char *to, size_t size, long deadline)
{
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    long left = deadline - rig_now();
    ssize_t count;

    if (left <= 0 || poll(&wait, 1, (int)left) <= 0) {
        return -2;
    }
    count = recv(fd, to, size, 0);
    return count < 0 ? -1 : count;
}

static rig_end
end_of(ssize_t count)
{
    return count == 0 ? RIG_CUT : count == -1 ? RIG_RESET : RIG_TIMEOUT;
}

static rig_end
read_head(int fd, rig_message *message, long deadline)
{
    size_t size = 0;

    while (size < 4 || memcmp(message->head + size - 4, "\r\n\r\n", 4) != 0) {
        ssize_t count;

        if (size + 1 >= sizeof message->head) {
            return RIG_RESET;
        }
        count = read_some(fd, message->head + size, 1, deadline);
        if (count <= 0) {
            return size == 0 && count == 0 ? RIG_CLOSED : end_of(count);
        }
        message->head[++size] = '\0';
    }
    return RIG_COMPLETE;
}

/* Reads bytes of the body; `size` SIZE_MAX: until the end. */
static rig_end
read_body(int fd, rig_message *message, size_t size, long deadline)
{
    while (size > 0) {
        char bytes[4096];
        size_t wanted = size < sizeof bytes ? size : sizeof bytes;
        ssize_t count = read_some(fd, bytes, wanted, deadline);

        if (count == 0 && size > (size_t)1 << 40) {
            return RIG_COMPLETE;
        }
        if (count <= 0) {
            return end_of(count);
        }
        message->body =
            realloc(message->body, message->body_size + (size_t)count + 1);
        memcpy(message->body + message->body_size, bytes, (size_t)count);
        message->body_size += (size_t)count;
        message->body[message->body_size] = '\0';
        size -= (size_t)count;
    }
    return RIG_COMPLETE;
}

static rig_end
read_line(int fd, char *line, size_t size, long deadline)
{
    size_t used = 0;

    for (;;) {
        ssize_t count = read_some(fd, line + used, 1, deadline);

        if (count <= 0) {
            return end_of(count);
        }
        if (line[used] == '\n') {
            line[used] = '\0';
            return RIG_COMPLETE;
        }
        if (++used + 1 >= size) {
            return RIG_RESET;
        }
    }
}

static rig_end
read_chunks(int fd, rig_message *message, long deadline)
{
    char line[64];
    size_t size;
    rig_end end;

    do {
        end = read_line(fd, line, sizeof line, deadline);
        if (end != RIG_COMPLETE) {
            return end;
        }
        size = strtoul(line, NULL, 16);
        end = read_body(fd, message, size, deadline);
        if (end == RIG_COMPLETE) {
            end = read_line(fd, line, sizeof line, deadline);
        }
    } while (end == RIG_COMPLETE && size > 0);
    return end;
}

rig_end
rig_read(int fd, rig_message *message, bool is_answer, long wait_ms)
{
    long deadline = rig_now() + wait_ms;
    char value[RIG_TEXT_SIZE];
    rig_end end;

    memset(message, 0, sizeof *message);
    message->body = calloc(1, 1);
    end = read_head(fd, message, deadline);
    if (end != RIG_COMPLETE) {
        return end;
    }
    if (rig_header(message, "Transfer-Encoding", value, sizeof value)) {
        return read_chunks(fd, message, deadline);
    }
    if (rig_header(message, "Content-Length", value, sizeof value)) {
        return read_body(fd, message, strtoul(value, NULL, 10), deadline);
    }
    return is_answer ? read_body(fd, message, SIZE_MAX, deadline)
                     : RIG_COMPLETE;
}

void
rig_free(rig_message *message)
{
    free(message->body);
    message->body = NULL;
}

int
rig_status(const rig_message *message)
{
    return strncmp(message->head, "HTTP/1.1 ", 9) == 0
               ? atoi(message->head + 9)
               : 0;
}

bool
rig_header(const rig_message *message, const char *name, char *to, size_t size)
{
    const char *line = message->head;
    size_t name_size = strlen(name);

    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, name_size) == 0 &&
            line[name_size] == ':') {
            const char *value = line + name_size + 1;
            size_t length;

            value += strspn(value, " ");
            length = strcspn(value, "\r");
            snprintf(to, size, "%.*s", (int)length, value);
            return true;
        }
    }
    return false;
}

bool
rig_send(int fd, const char *format, ...)
{
    va_list values;
    char *text;
    int size;
    int sent = 0;

    va_start(values, format);
    size = vasprintf(&text, format, values);
    va_end(values);
    while (sent < size) {
        ssize_t count =
            send(fd, text + sent, (size_t)(size - sent), MSG_NOSIGNAL);

        if (count <= 0) {
            break;
        }
        sent += (int)count;
    }
    free(text);
    return sent == size;
}

static struct sockaddr_in
loopback(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    return address;
}

static int
listen_on_free_port(uint16_t *port)
{
    struct sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0 ||
        listen(fd, 512) != 0) {
        rig_fail("cannot listen: %s", strerror(errno));
    }
    *port = ntohs(address.sin_port);
    return fd;
}

typedef struct served_connection {
    rig_server *server;
    int fd;
    int slot;
} served_connection;

static void *
serve_connection(void *context)
{
    served_connection served = *(served_connection *)context;
    rig_message request;
    rig_end end;
    bool goes_on = true;

    free(context);
    while (goes_on) {
        end = rig_read(served.fd, &request, false, 600000);
        goes_on = end == RIG_COMPLETE &&
                  served.server->handle(served.server, served.fd, &request);
        rig_free(&request);
    }
    pthread_mutex_lock(&served.server->mutex);
    served.server->connections[served.slot] = -1;
    close(served.fd);
    pthread_mutex_unlock(&served.server->mutex);
    return NULL;
}

static int
find_slot(const rig_server *server)
{
    int slot = 0;

    while (slot < RIG_CONNECTIONS_MAX && server->connections[slot] >= 0) {
        slot++;
    }
    return slot;
}

static void *
accept_connections(void *context)
{
    rig_server *server = context;

    for (;;) {
        int fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
        served_connection *served;
        int one = 1;
        int slot;

        if (fd < 0) {
            return NULL;
        }
        setsockopt(fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof one);
        pthread_mutex_lock(&server->mutex);
        slot = find_slot(server);
        if (slot < RIG_CONNECTIONS_MAX) {
            server->connections[slot] = fd;
        }
        pthread_mutex_unlock(&server->mutex);
        if (slot == RIG_CONNECTIONS_MAX) {
            close(fd);
            continue;
        }
        served = malloc(sizeof *served);
        *served = (served_connection){server, fd, slot};
        rig_start_thread(serve_connection, served);
    }
}

void
rig_serve(rig_server *server, rig_handler *handle, void *owner)
{
    int i;

    server->handle = handle;
    server->owner = owner;
    pthread_mutex_init(&server->mutex, NULL);
    for (i = 0; i < RIG_CONNECTIONS_MAX; i++) {
        server->connections[i] = -1;
    }
    server->listener = listen_on_free_port(&server->port);
    rig_start_thread(accept_connections, server);
}

void
rig_cut(rig_server *server)
{
    int i;

    pthread_mutex_lock(&server->mutex);
    for (i = 0; i < RIG_CONNECTIONS_MAX; i++) {
        if (server->connections[i] >= 0) {
            shutdown(server->connections[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&server->mutex);
}

void
rig_stop(rig_server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    close(server->listener);
    rig_cut(server);
}

int
rig_connect(uint16_t port)
{
    struct sockaddr_in address = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;

    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof one);
    return fd;
}

typedef struct linked_pair {
    rig_link *link;
    int fds[2];
} linked_pair;

/* Passes bytes on. Those that came before the cut, and were not passed on,
 * are lost with it. */
static void *
pass_bytes(void *context)
{
    linked_pair pair = *(linked_pair *)context;
    bool goes_on = true;

    free(context);
    while (goes_on) {
        struct pollfd waits[2] = {{.fd = pair.fds[0], .events = POLLIN},
                                  {.fd = pair.fds[1], .events = POLLIN}};
        int i;

        if (pair.link->is_cut) {
            rig_sleep(10);
            continue;
        }
        poll(waits, 2, 10);
        for (i = 0; i < 2 && goes_on && !pair.link->is_cut; i++) {
            char bytes[4096];
            ssize_t count;

            if (waits[i].revents == 0) {
                continue;
            }
            count = recv(pair.fds[i], bytes, sizeof bytes, 0);
            goes_on = count > 0 && send(pair.fds[1 - i], bytes, (size_t)count,
                                        MSG_NOSIGNAL) == count;
        }
    }
    close(pair.fds[0]);
    close(pair.fds[1]);
    return NULL;
}

static void *
accept_linked(void *context)
{
    rig_link *link = context;

    for (;;) {
        int fd = accept4(link->listener, NULL, NULL, SOCK_CLOEXEC);
        linked_pair *pair;

        if (fd < 0) {
            return NULL;
        }
        pair = malloc(sizeof *pair);
        *pair = (linked_pair){link, {fd, rig_connect(link->target)}};
        rig_start_thread(pass_bytes, pair);
    }
}

void
rig_link_start(rig_link *link, uint16_t target)
{
    link->target = target;
    link->is_cut = false;
    link->listener = listen_on_free_port(&link->port);
    rig_start_thread(accept_linked, link);
}

/* Below the ports that the system gives to clients, so that none of them takes
 * a port before its gateway does. */
uint16_t
rig_free_port(void)
{
    static uint16_t next;
    struct sockaddr_in address;
    bool is_free = false;

    if (next == 0) {
        next = (uint16_t)(FIRST_PORT +
                          getpid() % PORT_RANGES * PORTS_PER_PROCESS);
    }
    while (!is_free) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        address = loopback(++next);
        is_free = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        close(fd);
    }
    return next;
}

void
rig_gateway_init(rig_gateway *gateway, const char *name, const char *zone)
{
    memset(gateway, 0, sizeof *gateway);
    snprintf(gateway->name, sizeof gateway->name, "%s", name);
    snprintf(gateway->zone, sizeof gateway->zone, "%s", zone);
    gateway->front = rig_free_port();
    gateway->readiness = rig_free_port();
    gateway->control = rig_free_port();
    gateways[gateway_count++] = gateway;
}

static void
write_settings(rig_gateway *gateway, const rig_gateway *seeds,
               uint32_t seed_count, const rig_store *store)
{
    FILE *file;
    uint32_t i;

    snprintf(gateway->settings, sizeof gateway->settings, "%.100s/%.100s.ini",
             folder_text, gateway->name);
    snprintf(gateway->log, sizeof gateway->log, "%.100s/%.100s.log",
             folder_text, gateway->name);
    file = fopen(gateway->settings, "w");
    if (file == NULL) {
        rig_fail("cannot write %s", gateway->settings);
    }
    fprintf(file, "[instance]\nname = %s\nzone = %s\n\n", gateway->name,
            gateway->zone);
    fprintf(file,
            "[listen]\ncallers = 127.0.0.1:%u\nreadiness = 127.0.0.1:%u\n"
            "peer = 127.0.0.1:%u\ndescriptors = 4100\n\n[peers]\nseeds = ",
            gateway->front, gateway->readiness, gateway->control);
    for (i = 0; i < seed_count; i++) {
        fprintf(file, "%s127.0.0.1:%u", i > 0 ? "," : "", seeds[i].control);
    }
    fprintf(file,
            "\n\n[store]\naddress = 127.0.0.1:%u\n"
            "lost_answer_bound = 3000ms\nleave_bound = 2000ms\n"
            "history = 20s\n\n\n[admission]\nquota_window = 4s\n\n"
            "[budget]\nwindow = 10s\nratio = 0.2\nslack = 56\n\n"
            "[shutdown]\ngrace = 8s\n",
            gateway->store_port != 0 ? gateway->store_port
                                     : store->server.port);
    fclose(file);
}

void
rig_gateway_start(rig_gateway *gateway, const rig_gateway *seeds,
                  uint32_t seed_count, const rig_store *store)
{
    pid_t own = getpid();
    int log;

    write_settings(gateway, seeds, seed_count, store);
    log = open(gateway->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    gateway->pid = fork();
    if (gateway->pid < 0 || log < 0) {
        rig_fail("cannot start %s", gateway->name);
    }
    if (gateway->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != own) {
            _exit(127);
        }
        dup2(log, 1);
        dup2(log, 2);
        execl(PROGRAM, PROGRAM, "--gateway", "--config", gateway->settings,
              (char *)NULL);
        _exit(127);
    }
    close(log);
    rig_note("%s started", gateway->name);
}

static bool
is_ready(const rig_gateway *gateway)
{
    rig_message answer;
    int fd = rig_connect(gateway->readiness);
    bool is_ready_now;

    if (fd < 0) {
        return false;
    }
    rig_send(fd, "GET /v1/ready HTTP/1.1\r\nHost: gateway\r\n\r\n");
    is_ready_now = rig_read(fd, &answer, true, 1000) == RIG_COMPLETE &&
                   rig_status(&answer) == 200;
    rig_free(&answer);
    close(fd);
    return is_ready_now;
}

bool
rig_gateway_await(const rig_gateway *gateway, long wait_ms)
{
    long deadline = rig_now() + wait_ms;

    while (!is_ready(gateway)) {
        if (rig_now() >= deadline) {
            return false;
        }
        rig_sleep(50);
    }
    return true;
}

void
rig_gateway_signal(rig_gateway *gateway, int number, bool ends)
{
    rig_note("%s gets %s", gateway->name, strsignal(number));
    kill(gateway->pid, number);
    if (ends) {
        waitpid(gateway->pid, NULL, 0);
        gateway->pid = 0;
    }
}
