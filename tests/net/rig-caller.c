#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define ANSWER_TIMEOUT_MS 20000

int
rig_connect(const char *address)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    char host[HTTP_ADDRESS_SIZE];
    uint16_t port;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (!http_parse_address(address, host, &port) ||
        inet_pton(AF_INET, host, &to.sin_addr) != 1) {
        close(fd);
        return -1;
    }
    to.sin_port = htons(port);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
rig_write(int socket, const char *bytes, size_t size)
{
    ssize_t written;

    while (size > 0) {
        written = send(socket, bytes, size, MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes += written;
        size -= (size_t)written;
    }
    return true;
}

static uint64_t
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Read some bytes; 0 at the end, at a reset and when the time is over. */
static size_t
read_some(int socket, char *bytes, size_t size, uint64_t until,
          rig_answer *answer)
{
    struct pollfd poller = {.fd = socket, .events = POLLIN};
    uint64_t now = now_ms();
    ssize_t length;

    if (now >= until || poll(&poller, 1, (int)(until - now)) <= 0) {
        return 0;
    }
    length = recv(socket, bytes, size, 0);
    if (length <= 0) {
        answer->is_closed = true;
        answer->is_reset = length < 0 && errno == ECONNRESET;
        return 0;
    }
    return (size_t)length;
}

const char *
rig_header(const rig_answer *answer, const char *name, char *value,
           size_t size)
{
    const char *line = answer->head;
    size_t length = strlen(name);

    value[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            line += length + 1;
            while (*line == ' ') {
                line++;
            }
            snprintf(value, size, "%.*s", (int)strcspn(line, "\r\n"), line);
            return value;
        }
    }
    return value;
}

/* Take the chunks off; true when the last one is there. */
static bool
decode_chunks(rig_answer *answer)
{
    char *from = answer->body, *to = answer->body;
    char *end = answer->body + answer->size;
    bool is_whole = false;
    unsigned long length;
    char *digits_end;

    while (from < end) {
        length = strtoul(from, &digits_end, 16);
        if (digits_end == from || digits_end + 2 > end) {
            break;
        }
        from = digits_end + 2;
        if (length == 0) {
            is_whole = true;
            break;
        }
        if (length > (size_t)(end - from)) {
            length = (size_t)(end - from);
        }
        memmove(to, from, length);
        to += length;
        from += length + 2;
    }
    answer->size = (size_t)(to - answer->body);
    answer->body[answer->size] = '\0';
    return is_whole;
}

static bool
has_last_chunk(const rig_answer *answer)
{
    return (answer->size >= 5 &&
            memcmp(answer->body + answer->size - 5, "0\r\n\r\n", 5) == 0 &&
            (answer->size == 5 || answer->body[answer->size - 6] == '\n'));
}

static bool
read_head(int socket, rig_answer *answer, uint64_t until)
{
    size_t used = 0, length;
    char *end;

    while (used + 1 < sizeof answer->head) {
        length = read_some(socket, answer->head + used, 1, until, answer);
        if (length == 0) {
            return false;
        }
        used += length;
        answer->head[used] = '\0';
        end = strstr(answer->head, "\r\n\r\n");
        if (end != NULL) {
            end[2] = '\0';
            sscanf(answer->head, "HTTP/%*s %d", &answer->status);
            return true;
        }
    }
    return false;
}

void
rig_read(int socket, rig_answer *answer, uint64_t timeout_ms)
{
    uint64_t until = now_ms() + timeout_ms;
    char value[64];
    size_t wanted = SIZE_MAX, length;
    bool is_chunked, is_bodiless;

    memset(answer, 0, sizeof *answer);
    answer->body = malloc(RIG_ANSWER_SIZE + 1);
    answer->body[0] = '\0';
    if (!read_head(socket, answer, until)) {
        return;
    }
    is_chunked = strcasecmp(rig_header(answer, "transfer-encoding", value,
                                       sizeof value),
                            "chunked") == 0;
    is_bodiless = answer->status == 204 || answer->status == 304;
    if (rig_header(answer, "content-length", value, sizeof value)[0] != '\0') {
        wanted = strtoul(value, NULL, 10);
    }
    if (is_bodiless) {
        wanted = 0;
    }
    while (answer->size < wanted && answer->size < RIG_ANSWER_SIZE &&
           !(is_chunked && has_last_chunk(answer))) {
        length = read_some(socket, answer->body + answer->size,
                           RIG_ANSWER_SIZE - answer->size, until, answer);
        if (length == 0) {
            break;
        }
        answer->size += length;
        answer->body[answer->size] = '\0';
    }
    answer->is_whole =
        is_chunked ? decode_chunks(answer) : answer->size == wanted;
}

void
rig_answer_finish(rig_answer *answer)
{
    free(answer->body);
    answer->body = NULL;
}

void
rig_ask(const char *address, const char *method, const char *path,
        const char *headers, const char *body, rig_answer *answer)
{
    char head[RIG_TEXT_SIZE];
    int fd = rig_connect(address);
    int size = snprintf(head, sizeof head,
                        "%s %s HTTP/1.1\r\nHost: router\r\n%s"
                        "Content-Length: %zu\r\n\r\n",
                        method, path, headers, strlen(body));

    if (fd < 0 || !rig_write(fd, head, (size_t)size) ||
        !rig_write(fd, body, strlen(body))) {
        memset(answer, 0, sizeof *answer);
    }
    else {
        rig_read(fd, answer, ANSWER_TIMEOUT_MS);
    }
    if (fd >= 0) {
        close(fd);
    }
}
