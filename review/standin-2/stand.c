#define _GNU_SOURCE

#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;
static char folder[64];

double
stand_now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    if (started.tv_sec == 0) {
        started = now;
    }
    return (double)(now.tv_sec - started.tv_sec) * 1000 +
           (double)(now.tv_nsec - started.tv_nsec) / 1e6;
}

void
stand_sleep(double milliseconds)
{
    if (milliseconds > 0) {
        usleep((useconds_t)(milliseconds * 1000));
    }
}

void
stand_open_record(const char *path)
{
    char name[256];

    (void)stand_now();
    signal(SIGPIPE, SIG_IGN);
    snprintf(name, sizeof name, "%s/record.txt", path);
    record = fopen(name, "w");
    if (record == NULL) {
        fprintf(stderr, "cannot write %s\n", name);
        exit(2);
    }
}

void
stand_record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%9.1f ms  ", stand_now());
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

void
stand_give_up(const char *format, ...)
{
    va_list arguments;
    char text[STAND_TEXT];

    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    stand_record("the case cannot run: %s", text);
    fprintf(stderr, "%s\n", text);
    stand_end_all();
    exit(2);
}

static struct sockaddr_in
loopback(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int
stand_listen(int *port)
{
    struct sockaddr_in address = loopback(*port);
    socklen_t size = sizeof address;
    int one = 1;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(listener, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(listener, 512) != 0 ||
        getsockname(listener, (struct sockaddr *)&address, &size) != 0) {
        stand_give_up("cannot listen on port %d", *port);
    }
    *port = ntohs(address.sin_port);
    return listener;
}

typedef struct thread_start {
    void *(*run)(void *);
    void *argument;
} thread_start;

static void
start_thread(void *(*run)(void *), void *argument)
{
    pthread_t thread;
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 512 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, argument) != 0) {
        stand_give_up("cannot start a thread");
    }
    pthread_attr_destroy(&attributes);
}

/* ---- HTTP ---- */

bool
stand_header(const char *head, const char *name, char *value, size_t size)
{
    size_t name_size = strlen(name);
    const char *line = strstr(head, "\r\n");

    value[0] = '\0';
    while (line != NULL && line[2] != '\0') {
        line += 2;
        if (strncasecmp(line, name, name_size) == 0 &&
            line[name_size] == ':') {
            const char *text = line + name_size + 1;
            size_t length;

            text += strspn(text, " ");
            length = strcspn(text, "\r\n");
            snprintf(value, size, "%.*s", (int)length, text);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

bool
stand_write(int socket, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(socket, data, size, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= (size_t)sent;
    }
    return true;
}

bool
stand_print(int socket, const char *format, ...)
{
    char text[8192];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    return stand_write(socket, text, (size_t)size);
}

/* Reads a head byte by byte, so that no byte behind it is taken. */
static bool
read_head(int socket, char *head, size_t size)
{
    size_t used = 0;

    while (used + 1 < size) {
        if (recv(socket, head + used, 1, 0) != 1) {
            return false;
        }
        head[++used] = '\0';
        if (used >= 4 && strcmp(head + used - 4, "\r\n\r\n") == 0) {
            return true;
        }
    }
    return false;
}

bool
stand_read_message(int socket, stand_message *message)
{
    char length[32];
    size_t wanted = 0;

    if (!read_head(socket, message->head, sizeof message->head)) {
        return false;
    }
    snprintf(message->first_line, sizeof message->first_line, "%.*s",
             (int)strcspn(message->head, "\r"), message->head);
    if (stand_header(message->head, "Content-Length", length, sizeof length)) {
        wanted = strtoul(length, NULL, 10);
    }
    if (wanted >= sizeof message->body) {
        return false;
    }
    message->body_size = 0;
    while (message->body_size < wanted) {
        ssize_t got = recv(socket, message->body + message->body_size,
                           wanted - message->body_size, 0);

        if (got <= 0) {
            return false;
        }
        message->body_size += (size_t)got;
    }
    message->body[message->body_size] = '\0';
    return true;
}

/* ---- store ---- */

#define ITEMS_MAX 64
#define EVENTS_MAX 512
#define VALUE_SIZE 8192

typedef struct store_item {
    char key[200];
    char value[VALUE_SIZE];
    uint64_t revision;
    uint64_t created;
    bool is_removed;
} store_item;

static store_item items[ITEMS_MAX];
static int item_count;
static store_item events[EVENTS_MAX];
static int event_count;
static uint64_t revision = 100;
static uint64_t history_floor = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;

typedef struct store_port {
    int listener;
    int port;
    volatile store_mode mode;
} store_port;

static store_port store_ports[STAND_GATEWAYS_MAX];

static void
append_base64(char *to, const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    size_t i;

    to += strlen(to);
    for (i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

        bits |= i + 1 < size ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < size ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *to++ = digits[bits >> 18 & 63];
        *to++ = digits[bits >> 12 & 63];
        *to++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        *to++ = i + 2 < size ? digits[bits & 63] : '=';
    }
    *to = '\0';
}

static void
append_item(char *to, const store_item *item, bool is_first)
{
    sprintf(to + strlen(to), "%s{\"key\":\"%s\",\"revision\":%llu",
            is_first ? "" : ",", item->key,
            (unsigned long long)item->revision);
    if (item->is_removed) {
        strcat(to, ",\"tombstone\":true}");
        return;
    }
    sprintf(to + strlen(to), ",\"created_at\":%llu,\"lease\":0,\"value\":\"",
            (unsigned long long)item->created);
    append_base64(to, item->value);
    strcat(to, "\"}");
}

static void
add_event(const store_item *item)
{
    if (event_count == EVENTS_MAX) {
        stand_give_up("too many events for the store");
    }
    events[event_count++] = *item;
}

void
stand_put(const char *key, const char *value)
{
    int i = 0;

    pthread_mutex_lock(&store_lock);
    while (i < item_count && strcmp(items[i].key, key) != 0) {
        i++;
    }
    if (i == ITEMS_MAX || strlen(value) >= VALUE_SIZE) {
        stand_give_up("the store is full");
    }
    if (i == item_count) {
        item_count++;
        items[i].is_removed = true;
        snprintf(items[i].key, sizeof items[i].key, "%s", key);
    }
    revision++;
    if (items[i].is_removed) {
        items[i].created = revision;
    }
    items[i].is_removed = false;
    items[i].revision = revision;
    snprintf(items[i].value, sizeof items[i].value, "%s", value);
    add_event(&items[i]);
    pthread_mutex_unlock(&store_lock);
}

void
stand_remove(const char *key)
{
    int i;

    pthread_mutex_lock(&store_lock);
    for (i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0 && !items[i].is_removed) {
            items[i].is_removed = true;
            items[i].revision = ++revision;
            add_event(&items[i]);
        }
    }
    pthread_mutex_unlock(&store_lock);
}

void
stand_discard_history(void)
{
    pthread_mutex_lock(&store_lock);
    history_floor = revision;
    event_count = 0;
    pthread_mutex_unlock(&store_lock);
    stand_record("the store discards its history up to revision %llu",
                 (unsigned long long)history_floor);
}

/* Endpoints write their entries every 1.2 s. That raises the revision, and no
 * watch tells of it, as nothing but their counts changes. */
#define HEARTBEAT_MS 1200.0

/* The history is kept for 20 s (retention_s). */
#define HEARTBEATS_KEPT 17

static void *
write_heartbeats(void *argument)
{
    static uint64_t past[HEARTBEATS_KEPT];
    int beat;

    (void)argument;
    for (beat = 0;; beat++) {
        uint64_t *oldest = &past[beat % HEARTBEATS_KEPT];
        int i;

        pthread_mutex_lock(&store_lock);
        if (*oldest > history_floor) {
            history_floor = *oldest;
        }
        for (i = 0; i < item_count; i++) {
            if (!items[i].is_removed &&
                strncmp(items[i].key, "servers/", 8) == 0) {
                items[i].revision = ++revision;
            }
        }
        *oldest = revision;
        pthread_mutex_unlock(&store_lock);
        stand_sleep(HEARTBEAT_MS);
    }
    return NULL;
}

static void
read_parameter(const char *target, const char *name, char *value, size_t size)
{
    char pattern[64];
    const char *found;

    value[0] = '\0';
    snprintf(pattern, sizeof pattern, "%s=", name);
    found = strstr(target, pattern);
    while (found != NULL && found[-1] != '?' && found[-1] != '&') {
        found = strstr(found + 1, pattern);
    }
    if (found != NULL) {
        found += strlen(pattern);
        snprintf(value, size, "%.*s", (int)strcspn(found, "& "), found);
    }
}

static bool
has_prefix(const char *key, const char *prefix)
{
    return strncmp(key, prefix, strlen(prefix)) == 0;
}

static bool
reply(int socket, int status, const char *body)
{
    return stand_print(socket,
                       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n",
                       status, status == 200 ? "OK" : "Gone", strlen(body)) &&
           stand_write(socket, body, strlen(body));
}

static bool
reply_list(int socket, const char *prefix)
{
    char *body = calloc(1, ITEMS_MAX * VALUE_SIZE * 2);
    bool is_first = true;
    bool is_sent;
    int i;

    strcpy(body, "{\"items\":[");
    pthread_mutex_lock(&store_lock);
    for (i = 0; i < item_count; i++) {
        if (!items[i].is_removed && has_prefix(items[i].key, prefix)) {
            append_item(body, &items[i], is_first);
            is_first = false;
        }
    }
    sprintf(body + strlen(body), "],\"has_more\":false,\"at\":%llu}",
            (unsigned long long)revision);
    pthread_mutex_unlock(&store_lock);
    is_sent = reply(socket, 200, body);
    free(body);
    return is_sent;
}

/* Answers as soon as there are events; waits while the port is silent, and
 * closes the connection then. */
static bool
reply_watch(int socket, const store_port *port, const char *prefix,
            uint64_t after, double wait)
{
    double until = stand_now() + wait;
    char *body = calloc(1, ITEMS_MAX * VALUE_SIZE * 2);
    int count = 0;
    bool is_gone = false;
    bool is_sent;

    while (true) {
        int i;

        if (port->mode == STORE_SILENT || stand_is_closed(socket)) {
            free(body);
            return false;
        }
        pthread_mutex_lock(&store_lock);
        is_gone = after < history_floor || after > revision;
        strcpy(body, "{\"events\":[");
        for (i = 0; i < event_count; i++) {
            if (events[i].revision > after &&
                has_prefix(events[i].key, prefix)) {
                append_item(body, &events[i], count == 0);
                count++;
            }
        }
        sprintf(body + strlen(body), "],\"at\":%llu}",
                (unsigned long long)revision);
        pthread_mutex_unlock(&store_lock);
        if (is_gone || count > 0 || stand_now() >= until) {
            break;
        }
        stand_sleep(2);
    }
    is_sent = is_gone ? reply(socket, 410, "{}") : reply(socket, 200, body);
    free(body);
    return is_sent;
}

typedef struct store_connection {
    int socket;
    const store_port *port;
} store_connection;

static bool
serve_store_call(store_connection *connection, const char *target)
{
    char prefix[64], after[32], wait[32];

    read_parameter(target, "prefix", prefix, sizeof prefix);
    read_parameter(target, "after", after, sizeof after);
    read_parameter(target, "wait_ms", wait, sizeof wait);
    stand_sleep(4);
    if (connection->port->mode == STORE_SILENT) {
        return false;
    }
    if (strstr(target, "/v1/kv-range") != NULL) {
        return reply_list(connection->socket, prefix);
    }
    if (strstr(target, "/v1/kv-watch") != NULL) {
        return reply_watch(connection->socket, connection->port, prefix,
                           strtoull(after, NULL, 10), atof(wait));
    }
    return reply(connection->socket, 404, "{}");
}

static void *
serve_store_connection(void *argument)
{
    store_connection *connection = argument;
    stand_message *message = malloc(sizeof *message);

    while (connection->port->mode == STORE_SERVES &&
           stand_read_message(connection->socket, message) &&
           serve_store_call(connection, message->first_line)) {
    }
    /* A silent store keeps its connections open and says nothing. */
    while (connection->port->mode == STORE_SILENT &&
           !stand_is_closed(connection->socket)) {
        stand_sleep(20);
    }
    close(connection->socket);
    free(message);
    free(connection);
    return NULL;
}

static int
accept_connection(int listener)
{
    int one = 1;
    int socket = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

    if (socket >= 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    return socket;
}

static void *
serve_store_port(void *argument)
{
    store_port *port = argument;

    while (true) {
        store_connection *connection = calloc(1, sizeof *connection);

        connection->socket = accept_connection(port->listener);
        connection->port = port;
        if (connection->socket < 0) {
            free(connection);
            return NULL;
        }
        start_thread(serve_store_connection, connection);
    }
}

void
stand_start_store(int ports)
{
    int i;

    for (i = 0; i < ports; i++) {
        store_ports[i].listener = stand_listen(&store_ports[i].port);
        store_ports[i].mode = STORE_SERVES;
        start_thread(serve_store_port, &store_ports[i]);
    }
    start_thread(write_heartbeats, NULL);
}

int
stand_store_port(int index)
{
    return store_ports[index].port;
}

void
stand_set_store_mode(int index, store_mode mode)
{
    store_ports[index].mode = mode;
    stand_record("the store %s gateway %d",
                 mode == STORE_SILENT ? "is silent for" : "answers",
                 index + 1);
}

/* ---- endpoints ---- */

typedef struct endpoint_connection {
    stand_endpoint *endpoint;
    int socket;
} endpoint_connection;

bool
stand_is_closed(int socket)
{
    char byte;
    ssize_t got = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static bool
serve_request(endpoint_connection *connection, stand_message *message)
{
    static volatile int runs;
    stand_endpoint *endpoint = connection->endpoint;
    stand_call call = {.endpoint = endpoint,
                       .socket = connection->socket,
                       .request = message};
    char expected[64], deadline[32];
    char *space;

    stand_header(message->head, "Lavenderproxy-Attempt-Id", call.id,
                 sizeof call.id);
    stand_header(message->head, "Last-Event-Id", call.last_event_id,
                 sizeof call.last_event_id);
    if (stand_header(message->head, "Lavenderproxy-Expect-Runner", expected,
                     sizeof expected) &&
        strcmp(expected, endpoint->id) != 0) {
        return stand_print(connection->socket,
                           "HTTP/1.1 421 Misdirected Request\r\n"
                           "Lavenderproxy-Attempt-Id: %s\r\n"
                           "Lavenderproxy-Runner-Id: %s\r\n"
                           "Content-Length: 0\r\n\r\n",
                           call.id, endpoint->id);
    }
    space = strchr(message->first_line, ' ');
    snprintf(call.target, sizeof call.target, "%.*s",
             space != NULL ? (int)strcspn(space + 1, " ") : 0,
             space != NULL ? space + 1 : "");
    call.deadline = stand_now() + 60000;
    if (stand_header(message->head, "Lavenderproxy-Deadline-Ms", deadline,
                     sizeof deadline)) {
        call.deadline = stand_now() + atof(deadline);
    }
    snprintf(call.seal, sizeof call.seal, "%s.%d", endpoint->id,
             __sync_add_and_fetch(&runs, 1));
    return endpoint->run(&call);
}

static void *
serve_endpoint_connection(void *argument)
{
    endpoint_connection *connection = argument;
    stand_message *message = malloc(sizeof *message);

    while (!connection->endpoint->is_gone &&
           stand_read_message(connection->socket, message) &&
           !connection->endpoint->is_gone &&
           serve_request(connection, message)) {
    }
    close(connection->socket);
    free(message);
    free(connection);
    return NULL;
}

static void *
serve_endpoint(void *argument)
{
    stand_endpoint *endpoint = argument;

    while (true) {
        endpoint_connection *connection = calloc(1, sizeof *connection);

        connection->socket = accept_connection(endpoint->listener);
        connection->endpoint = endpoint;
        if (connection->socket < 0) {
            free(connection);
            return NULL;
        }
        start_thread(serve_endpoint_connection, connection);
    }
}

void
stand_publish_endpoint(const stand_endpoint *endpoint, const char *state)
{
    char key[128], value[1024];

    snprintf(key, sizeof key, "servers/%s", endpoint->id);
    snprintf(value, sizeof value,
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
             "\"%s\",\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_remaining_ms\":0,\"born\":%llu,\"seq\":4}",
             endpoint->service, endpoint->port, endpoint->zone,
             endpoint->version, endpoint->slots, state,
             (unsigned long long)endpoint->born);
    stand_put(key, value);
    stand_record("endpoint %s (%s, version %s) is %s in the store",
                 endpoint->id, endpoint->service, endpoint->version, state);
}

void
stand_withdraw_endpoint(const stand_endpoint *endpoint)
{
    char key[128];

    snprintf(key, sizeof key, "servers/%s", endpoint->id);
    stand_remove(key);
    stand_record("the entry of endpoint %s is removed from the store",
                 endpoint->id);
}

void
stand_start_endpoint(stand_endpoint *endpoint)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    endpoint->born =
        (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
    endpoint->port = 0;
    endpoint->listener = stand_listen(&endpoint->port);
    start_thread(serve_endpoint, endpoint);
    stand_publish_endpoint(endpoint, "ready");
}

void
stand_end_endpoint(stand_endpoint *endpoint)
{
    endpoint->is_gone = true;
    shutdown(endpoint->listener, SHUT_RDWR);
    close(endpoint->listener);
    stand_record("endpoint %s exits", endpoint->id);
}

/* ---- gateways ---- */

typedef struct gateway {
    pid_t process;
    int ports[3]; /* callers, readiness, peers */
} gateway;

static gateway gateways[STAND_GATEWAYS_MAX];

/* Gateways listen below the range that the kernel takes the ports of outgoing
 * connections from. */
#define FIRST_PORT 15000
#define PORTS 16000

static bool
is_free(int port)
{
    struct sockaddr_in address = loopback(port);
    int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    bool result =
        bind(stream, (struct sockaddr *)&address, sizeof address) == 0 &&
        bind(datagram, (struct sockaddr *)&address, sizeof address) == 0;

    close(stream);
    close(datagram);
    return result;
}

static void
find_ports(gateway *one)
{
    static int next;
    int i;

    if (next == 0) {
        next = (int)(getpid() * 64L % PORTS);
    }
    for (i = 0; i < 3 && one->ports[i] == 0; i++) {
        do {
            one->ports[i] = FIRST_PORT + next++ % PORTS;
        } while (!is_free(one->ports[i]));
    }
}

static void
write_settings(int index, int count, const char *path)
{
    FILE *file = fopen(path, "w");
    int i;

    if (file == NULL) {
        stand_give_up("cannot write %s", path);
    }
    for (i = 0; i < count; i++) {
        find_ports(&gateways[i]);
    }
    fprintf(file,
            "[instance]\nname = front-%d\nzone = zone-%d\n\n"
            "[listen]\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"
            "peer = 127.0.0.1:%d\ndescriptors = 4100\n"
            "memory_megabytes = 260\n\n[peers]\nseeds = ",
            index + 1, index % 3 + 1, gateways[index].ports[0],
            gateways[index].ports[1], gateways[index].ports[2]);
    for (i = 0; i < count && i < 3; i++) {
        fprintf(file, "%s127.0.0.1:%d", i > 0 ? "," : "",
                gateways[i].ports[2]);
    }
    fprintf(file,
            "\n\n[store]\naddress = 127.0.0.1:%d\nlost_answer_bound = "
            "3000ms\nleave_bound = 2000ms\nhistory = 20s\n\n[admission]\n"
            "quota_window = 4s\n\n[budget]\nwindow = 10s\nratio = 0.2\n"
            "slack = 54\n\n[shutdown]\ngrace = 8s\n",
            store_ports[index].port);
    fclose(file);
}

void
stand_start_gateway(int index, int count)
{
    char path[128], log[128];
    const char *program = getenv("LAVENDERD");
    pid_t process;

    if (folder[0] == '\0') {
        strcpy(folder, "/tmp/review-XXXXXX");
        if (mkdtemp(folder) == NULL) {
            stand_give_up("cannot make a temporary folder");
        }
    }
    snprintf(path, sizeof path, "%s/boot-%d.yaml", folder, index + 1);
    snprintf(log, sizeof log, "%s/log-%d.txt", folder, index + 1);
    write_settings(index, count, path);
    process = fork();
    if (process == 0) {
        int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out, 1);
        dup2(out, 2);
        execl(program, program, "--gateway", "--config", path, (char *)NULL);
        _exit(127);
    }
    gateways[index].process = process;
    stand_record("gateway %d starts", index + 1);
}

static int
probe_ready(int index)
{
    int socket = stand_connect(gateways[index].ports[1]);
    stand_answer *answer = calloc(1, sizeof *answer);
    int status = 0;

    if (socket >= 0) {
        stand_print(socket, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        stand_read_answer(socket, stand_now() + 1000, answer);
        status = answer->status;
        close(socket);
    }
    free(answer);
    return status;
}

void
stand_wait_ready(int index, double timeout)
{
    double until = stand_now() + timeout;

    while (probe_ready(index) != 200) {
        if (stand_now() >= until) {
            stand_give_up("gateway %d does not get ready", index + 1);
        }
        stand_sleep(20);
    }
    stand_record("gateway %d is ready", index + 1);
}

bool
stand_is_running(int index)
{
    return gateways[index].process > 0 &&
           waitpid(gateways[index].process, NULL, WNOHANG) == 0;
}

void
stand_kill_gateway(int index)
{
    if (gateways[index].process > 0) {
        kill(gateways[index].process, SIGKILL);
        waitpid(gateways[index].process, NULL, 0);
        gateways[index].process = 0;
        stand_record("gateway %d is killed (SIGKILL)", index + 1);
    }
}

int
stand_gateway_port(int index)
{
    return gateways[index].ports[0];
}

void
stand_end_all(void)
{
    char command[256];
    int i;

    for (i = 0; i < STAND_GATEWAYS_MAX; i++) {
        if (gateways[i].process > 0) {
            kill(gateways[i].process, SIGKILL);
            waitpid(gateways[i].process, NULL, 0);
            gateways[i].process = 0;
        }
    }
    if (folder[0] != '\0' && getenv("KEEP") == NULL) {
        snprintf(command, sizeof command, "rm -rf %s", folder);
        if (system(command) != 0) {
            fprintf(stderr, "cannot remove %s\n", folder);
        }
    }
}

/* ---- clients ---- */

int
stand_connect(int port)
{
    struct sockaddr_in address = loopback(port);
    int one = 1;
    int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(client, (struct sockaddr *)&address, sizeof address) != 0) {
        close(client);
        return -1;
    }
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return client;
}

/* Reads one byte before the time is up. */
static bool
read_byte(int socket, double until, char *byte)
{
    struct pollfd descriptor = {.fd = socket, .events = POLLIN};
    double left = until - stand_now();

    return left > 0 && poll(&descriptor, 1, (int)left + 1) > 0 &&
           recv(socket, byte, 1, 0) == 1;
}

static bool
read_line(int socket, double until, char *line, size_t size)
{
    size_t used = 0;

    while (used + 1 < size && read_byte(socket, until, line + used)) {
        used++;
        line[used] = '\0';
        if (used >= 2 && strcmp(line + used - 2, "\r\n") == 0) {
            line[used - 2] = '\0';
            return true;
        }
    }
    return false;
}

static bool
read_text(int socket, double until, size_t size, stand_answer *answer)
{
    char byte;

    while (size > 0) {
        if (!read_byte(socket, until, &byte)) {
            return false;
        }
        if (answer->size + 1 < sizeof answer->text) {
            answer->text[answer->size++] = byte;
            answer->text[answer->size] = '\0';
        }
        size--;
    }
    return true;
}

static bool
read_chunks(int socket, double until, stand_answer *answer)
{
    char line[64];

    while (read_line(socket, until, line, sizeof line)) {
        size_t size = strtoul(line, NULL, 16);

        if (size == 0) {
            return read_line(socket, until, line, sizeof line);
        }
        if (!read_text(socket, until, size, answer) ||
            !read_line(socket, until, line, sizeof line)) {
            return false;
        }
    }
    return false;
}

void
stand_read_answer(int socket, double until, stand_answer *answer)
{
    char head[8192] = "";
    char line[1024], value[64];

    memset(answer, 0, sizeof *answer);
    while (read_line(socket, until, line, sizeof line) && line[0] != '\0') {
        if (strlen(head) + strlen(line) + 3 < sizeof head) {
            strcat(head, line);
            strcat(head, "\r\n");
        }
        line[0] = '\0';
    }
    if (head[0] == '\0' || strlen(head) < 12) {
        return;
    }
    answer->status = atoi(head + 9);
    stand_header(head, "Lavenderproxy-Runner-Seal", answer->seal,
                 sizeof answer->seal);
    if (stand_header(head, "Transfer-Encoding", value, sizeof value)) {
        answer->is_whole = read_chunks(socket, until, answer);
    }
    else if (stand_header(head, "Content-Length", value, sizeof value)) {
        answer->is_whole =
            read_text(socket, until, strtoul(value, NULL, 10), answer);
    }
}

int
stand_last_event(const char *text)
{
    const char *end = text;
    const char *next;
    int last = 0;

    while ((next = strstr(end, "\n\n")) != NULL) {
        const char *id = strstr(end, "id:");

        if (id != NULL && id < next) {
            last = atoi(id + 3);
        }
        end = next + 2;
    }
    return last;
}
