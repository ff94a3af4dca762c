#include "base.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Variables that tell a process of the case where the record is. */
#define RECORD_PATH "CASE_RECORD"
#define RECORD_BEGUN_AT "CASE_BEGUN_AT_MS"

/* Ports that are given out: below those that the kernel gives to outgoing
 * connections. */
#define FIRST_PORT 20000
#define PORTS 12000

static FILE *record;
static uint64_t record_begun_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t
read_clock(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
base_now_ms(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

uint64_t
base_unix_ms(void)
{
    return read_clock(CLOCK_REALTIME);
}

void
base_sleep_ms(uint64_t duration)
{
    struct timespec time = {.tv_sec = (time_t)(duration / 1000),
                            .tv_nsec = (long)(duration % 1000) * 1000000};

    nanosleep(&time, NULL);
}

/* Processes append to the record, each line with one call. */
static void
append_to(const char *path)
{
    record = fopen(path, "a");
    if (record == NULL) {
        perror(path);
        exit(BASE_CANNOT_RUN);
    }
    setvbuf(record, NULL, _IOFBF, 4096);
}

void
base_open_record(const char *path)
{
    char begun_at[32];

    remove(path);
    append_to(path);
    record_begun_at = base_now_ms();
    snprintf(begun_at, sizeof begun_at, "%llu",
             (unsigned long long)record_begun_at);
    setenv(RECORD_PATH, path, 1);
    setenv(RECORD_BEGUN_AT, begun_at, 1);
}

void
base_join_record(void)
{
    const char *path = getenv(RECORD_PATH);
    const char *begun_at = getenv(RECORD_BEGUN_AT);

    if (path == NULL || begun_at == NULL) {
        exit(BASE_CANNOT_RUN);
    }
    append_to(path);
    record_begun_at = strtoull(begun_at, NULL, 10);
}

void
base_record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ",
            (double)(base_now_ms() - record_begun_at) / 1000);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    putc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

void
base_give_up(const char *why)
{
    base_record("cannot run: %s", why);
    fprintf(stderr, "cannot run: %s\n", why);
    exit(BASE_CANNOT_RUN);
}

static struct sockaddr_in
loopback(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int
base_listen(uint16_t port)
{
    struct sockaddr_in address = loopback(port);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(fd, 512) != 0) {
        base_give_up("cannot listen on a port of 127.0.0.1");
    }
    return fd;
}

uint16_t
base_port_of(int fd)
{
    struct sockaddr_in address;
    socklen_t size = sizeof address;

    getsockname(fd, (struct sockaddr *)&address, &size);
    return ntohs(address.sin_port);
}

/* Can the port be bound, for TCP or UDP? */
static bool
is_free(uint16_t port, int type)
{
    struct sockaddr_in address = loopback(port);
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    bool is_bound = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;

    close(fd);
    return is_bound;
}

uint16_t
base_free_port(void)
{
    static uint16_t last;
    int tries;

    if (last == 0) {
        last = (uint16_t)(FIRST_PORT + getpid() % (PORTS / 100) * 100);
    }
    for (tries = 0; tries < PORTS; tries++) {
        last = last + 1 < FIRST_PORT + PORTS ? last + 1 : FIRST_PORT;
        if (is_free(last, SOCK_STREAM) && is_free(last, SOCK_DGRAM)) {
            return last;
        }
    }
    base_give_up("no port is free");
    return 0;
}

int
base_connect(uint16_t port)
{
    struct sockaddr_in address = loopback(port);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

void
base_reset(int fd)
{
    struct linger option = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(fd);
}

bool
base_send(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= (size_t)sent;
    }
    return true;
}

bool
base_send_text(int fd, const char *format, ...)
{
    char text[BASE_HEAD_SIZE];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    return size >= 0 && (size_t)size < sizeof text &&
           base_send(fd, text, (size_t)size);
}

void
base_start_thread(void *(*run)(void *), void *argument)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, (size_t)512 * 1024);
    if (pthread_create(&thread, &attributes, run, argument) != 0) {
        base_give_up("cannot start a thread");
    }
    pthread_attr_destroy(&attributes);
}

void
base_begin_reading(base_reader *reader, int fd)
{
    reader->fd = fd;
    reader->size = 0;
    reader->has_ended = false;
    reader->was_reset = false;
}

/* Returns false at the end of the connection. */
static bool
read_more(base_reader *reader)
{
    ssize_t count;

    if (reader->has_ended || reader->size == sizeof reader->data) {
        return false;
    }
    do {
        count = recv(reader->fd, reader->data + reader->size,
                     sizeof reader->data - reader->size, 0);
    } while (count < 0 && errno == EINTR);
    if (count <= 0) {
        reader->has_ended = true;
        reader->was_reset = count < 0;
        return false;
    }
    reader->size += (size_t)count;
    return true;
}

static void
use_bytes(base_reader *reader, size_t count)
{
    reader->size -= count;
    memmove(reader->data, reader->data + count, reader->size);
}

bool
base_read_head(base_reader *reader, base_message *message)
{
    const char *end;
    size_t size;

    memset(message, 0, sizeof *message);
    while ((end = memmem(reader->data, reader->size, "\r\n\r\n", 4)) == NULL) {
        if (!read_more(reader)) {
            return false;
        }
    }
    size = (size_t)(end - reader->data) + 4;
    if (size >= sizeof message->head) {
        return false;
    }
    memcpy(message->head, reader->data, size);
    use_bytes(reader, size);
    if (sscanf(message->head, "HTTP/1.%*d %d", &message->status) != 1) {
        sscanf(message->head, "%15s %1023s", message->method, message->target);
    }
    return true;
}

bool
base_find_header(const base_message *message, const char *name, char *value,
                 size_t size)
{
    const char *line = message->head;
    size_t length = strlen(name);

    value[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *text = line + length + 1;
            size_t count;

            text += strspn(text, " ");
            count = strcspn(text, "\r");
            count = count < size - 1 ? count : size - 1;
            memcpy(value, text, count);
            value[count] = '\0';
            return true;
        }
    }
    return false;
}

/* Moves up to `count` bytes to the body. */
static void
take(base_reader *reader, base_message *message, size_t count,
     base_on_data *on_data, void *context)
{
    message->body = realloc(message->body, message->body_size + count + 1);
    memcpy(message->body + message->body_size, reader->data, count);
    if (on_data != NULL) {
        on_data(context, reader->data, count);
    }
    message->body_size += count;
    message->body[message->body_size] = '\0';
    use_bytes(reader, count);
}

static bool
take_sized(base_reader *reader, base_message *message, size_t size,
           base_on_data *on_data, void *context)
{
    while (size > 0) {
        size_t count;

        if (reader->size == 0 && !read_more(reader)) {
            return false;
        }
        count = reader->size < size ? reader->size : size;
        take(reader, message, count, on_data, context);
        size -= count;
    }
    return true;
}

/* Returns whether a line was read; it is at the front of the data. */
static bool
await_line(base_reader *reader, size_t *size)
{
    const char *end;

    while ((end = memmem(reader->data, reader->size, "\r\n", 2)) == NULL) {
        if (!read_more(reader)) {
            return false;
        }
    }
    *size = (size_t)(end - reader->data) + 2;
    return true;
}

static bool
take_chunks(base_reader *reader, base_message *message, base_on_data *on_data,
            void *context)
{
    size_t line;

    while (await_line(reader, &line)) {
        size_t size = strtoul(reader->data, NULL, 16);

        use_bytes(reader, line);
        if (!take_sized(reader, message, size, on_data, context) ||
            !await_line(reader, &line)) {
            return false;
        }
        use_bytes(reader, line);
        if (size == 0) {
            return true;
        }
    }
    return false;
}

void
base_read_body(base_reader *reader, base_message *message, bool is_request,
               base_on_data *on_data, void *context)
{
    char value[64];

    message->closes =
        base_find_header(message, "Connection", value, sizeof value) &&
        strcasecmp(value, "close") == 0;
    if (base_find_header(message, "Transfer-Encoding", value, sizeof value)) {
        message->is_whole = take_chunks(reader, message, on_data, context);
    }
    else if (base_find_header(message, "Content-Length", value,
                              sizeof value)) {
        message->is_whole = take_sized(
            reader, message, strtoul(value, NULL, 10), on_data, context);
    }
    else if (is_request) {
        message->is_whole = true;
    }
    else {
        message->is_unframed = true;
        while (reader->size > 0 || read_more(reader)) {
            take(reader, message, reader->size, on_data, context);
        }
        message->is_whole = !reader->was_reset;
    }
}

void
base_free_message(base_message *message)
{
    free(message->body);
    message->body = NULL;
}
