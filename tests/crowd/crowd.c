#include "crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common-http.h"
#include "common-usage.h"

#define BLOCK_BYTES ((size_t)256 * 1024)
#define STEP_MS 2
#define SAMPLE_US 50000
#define QUIET_US 1500000    /* nothing moves: the crowd can send no more */
#define LONGEST_US 90000000 /* of one crowd, and of one request */
#define RETRY_MS 50

typedef struct crowd_client {
    int fd; /* -1: none */
    uint32_t number;
    uint32_t opened; /* connections so far */
    uint64_t sent;   /* on this connection */
    size_t read;     /* likewise */
    buf_buffer head;
} crowd_client;

struct crowd_crowd {
    const crowd_shape *shape;
    char ip[HTTP_ADDRESS_SIZE];
    struct sockaddr_in address;
    const proc_process *process;
    crowd_usage *usage;
    crowd_client *clients;
    struct pollfd *polls;
    char *block; /* whole pieces */
    size_t block_size;
    uint64_t moved_at;
    uint64_t sampled_at;
};

void
crowd_raise_limits(void)
{
    struct rlimit limit;

    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void
crowd_set_sanitizer_options(void)
{
    setenv("ASAN_OPTIONS",
           "quarantine_size_mb=0:thread_local_quarantine_size_kb=0", 1);
}

static uint64_t
peak_memory_kb(pid_t pid)
{
    char path[64];
    char line[256];
    unsigned long long peak = 0;
    FILE *file;

    snprintf(path, sizeof path, "/proc/%d/status", (int)pid);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof line, file) != NULL) {
        sscanf(line, "VmHWM: %llu", &peak);
    }
    if (file != NULL) {
        fclose(file);
    }
    return peak;
}

/* Bytes that wait in the kernel for the process, at one of its ports. */
static uint64_t
unread_bytes(const struct sockaddr_in *address)
{
    char line[256];
    unsigned long long sum = 0;
    FILE *file = fopen("/proc/net/tcp", "r");

    while (file != NULL && fgets(line, sizeof line, file) != NULL) {
        unsigned ip = 0;
        unsigned port = 0;
        unsigned state = 0;
        unsigned long unread = 0;

        if (sscanf(line, "%*u: %x:%x %*x:%*x %x %*x:%lx", &ip, &port, &state,
                   &unread) == 4 &&
            ip == address->sin_addr.s_addr &&
            port == ntohs(address->sin_port) && state != 0x0a) {
            sum += unread;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return sum;
}

static uint32_t
count_descriptors(pid_t pid)
{
    char path[64];
    uint32_t count = 0;
    DIR *folder;

    snprintf(path, sizeof path, "/proc/%d/fd", (int)pid);
    folder = opendir(path);
    while (folder != NULL && readdir(folder) != NULL) {
        count++;
    }
    if (folder != NULL) {
        closedir(folder);
    }
    return count > 2 ? count - 2 : 0;
}

static void
sample(crowd_crowd *crowd)
{
    crowd_usage *usage = crowd->usage;
    uint64_t memory = peak_memory_kb(crowd->process->pid);
    uint64_t unread = unread_bytes(&crowd->address) / 1024;
    uint32_t descriptors = count_descriptors(crowd->process->pid);

    usage->memory_kb = memory > usage->memory_kb ? memory : usage->memory_kb;
    usage->unread_kb = unread > usage->unread_kb ? unread : usage->unread_kb;
    if (descriptors > usage->descriptors) {
        usage->descriptors = descriptors;
    }
    crowd->sampled_at = usage_now_us();
}

static int
connect_to(const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    if (fd >= 0 &&
        connect(fd, (const struct sockaddr *)address, sizeof *address) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
parse_address(const char *text, struct sockaddr_in *address)
{
    char ip[HTTP_ADDRESS_SIZE];
    uint16_t port = 0;

    memset(address, 0, sizeof *address);
    http_parse_address(text, ip, &port);
    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    inet_pton(AF_INET, ip, &address->sin_addr);
}

static void
open_client(crowd_crowd *crowd, crowd_client *client)
{
    client->fd = connect_to(&crowd->address);
    client->sent = 0;
    client->read = 0;
    client->opened++;
}

static void
init_client(crowd_crowd *crowd, crowd_client *client, uint32_t number)
{
    const crowd_shape *shape = crowd->shape;
    char head[2048];

    client->number = number;
    client->opened = 0;
    snprintf(head, sizeof head, shape->head, number);
    buf_init(&client->head);
    buf_append_text(&client->head, head);
    buf_append(&client->head, shape->more_head, shape->more_head_size);
    open_client(crowd, client);
}

static void
init_block(crowd_crowd *crowd)
{
    const crowd_shape *shape = crowd->shape;
    size_t size =
        shape->piece_size > 0 ? shape->piece_size : strlen(shape->piece);

    crowd->block = malloc(BLOCK_BYTES + size);
    while (crowd->block_size < BLOCK_BYTES) {
        memcpy(crowd->block + crowd->block_size, shape->piece, size);
        crowd->block_size += size;
    }
}

/* The process closed the connection. */
static void
lose_connection(crowd_crowd *crowd, crowd_client *client)
{
    uint32_t connections =
        crowd->shape->connections > 0 ? crowd->shape->connections : 1;

    close(client->fd);
    client->fd = -1;
    crowd->usage->closed++;
    if (client->opened < connections) {
        open_client(crowd, client);
    }
}

/* Returns what is next to send; the size is 0 when all was sent, or the answer
 * is not there yet. */
static const char *
next_bytes(const crowd_crowd *crowd, const crowd_client *client, size_t *size)
{
    uint64_t sent;
    uint64_t left;
    size_t offset;

    if (client->sent < client->head.size) {
        *size = client->head.size - (size_t)client->sent;
        return client->head.data + client->sent;
    }
    if (client->read < crowd->shape->answer_min) {
        *size = 0;
        return NULL;
    }
    sent = client->sent - client->head.size;
    left = crowd->shape->piece_bytes - sent;
    offset = (size_t)(sent % crowd->block_size);
    *size = crowd->block_size - offset < left ? crowd->block_size - offset
                                              : (size_t)left;
    return crowd->block + offset;
}

/* Returns false if the connection has ended. */
static bool
send_next(crowd_crowd *crowd, crowd_client *client)
{
    size_t size;
    const char *bytes = next_bytes(crowd, client, &size);
    ssize_t count = send(client->fd, bytes, size, MSG_NOSIGNAL);

    if (count < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    client->sent += (uint64_t)count;
    crowd->usage->sent += (uint64_t)count;
    crowd->moved_at = usage_now_us();
    return true;
}

static bool
read_answers(crowd_crowd *crowd, crowd_client *client)
{
    static char bytes[65536];
    ssize_t count = recv(client->fd, bytes, sizeof bytes, 0);

    if (count > 0) {
        client->read += (size_t)count;
        crowd->moved_at = usage_now_us();
    }
    return count > 0 || (count < 0 && errno == EAGAIN);
}

static short
wanted_events(const crowd_crowd *crowd, const crowd_client *client)
{
    short events = crowd->shape->reads ? POLLIN : 0;
    size_t size;

    next_bytes(crowd, client, &size);
    return size > 0 ? (short)(events | POLLOUT) : events;
}

static void
handle_events(crowd_crowd *crowd, crowd_client *client, short events)
{
    bool is_open = (events & (POLLERR | POLLHUP)) == 0;

    if (is_open && (events & POLLOUT) != 0) {
        is_open = send_next(crowd, client);
    }
    if (is_open && (events & POLLIN) != 0) {
        is_open = read_answers(crowd, client);
    }
    if (!is_open) {
        lose_connection(crowd, client);
        crowd->moved_at = usage_now_us();
    }
}

static void
poll_clients(crowd_crowd *crowd)
{
    uint32_t count = crowd->shape->clients;
    uint32_t i;

    for (i = 0; i < count; i++) {
        crowd_client *client = &crowd->clients[i];

        crowd->polls[i].fd = client->fd;
        crowd->polls[i].events =
            client->fd >= 0 ? wanted_events(crowd, client) : 0;
        crowd->polls[i].revents = 0;
    }
    if (poll(crowd->polls, count, STEP_MS) <= 0) {
        return;
    }
    for (i = 0; i < count; i++) {
        if (crowd->polls[i].fd >= 0 && crowd->polls[i].revents != 0) {
            handle_events(crowd, &crowd->clients[i], crowd->polls[i].revents);
        }
    }
}

crowd_crowd *
crowd_start(const proc_process *process, const char *address,
            const crowd_shape *shape, crowd_step *step, void *context,
            crowd_usage *usage)
{
    crowd_crowd *crowd = calloc(1, sizeof *crowd);
    uint64_t end = usage_now_us() + LONGEST_US;
    uint32_t i;

    crowd->shape = shape;
    crowd->process = process;
    crowd->usage = usage;
    crowd->clients = calloc(shape->clients, sizeof *crowd->clients);
    crowd->polls = calloc(shape->clients, sizeof *crowd->polls);
    crowd->moved_at = usage_now_us();
    parse_address(address, &crowd->address);
    init_block(crowd);
    for (i = 0; i < shape->clients; i++) {
        init_client(crowd, &crowd->clients[i], i);
    }
    while (usage_now_us() < end &&
           usage_now_us() - crowd->moved_at < QUIET_US) {
        poll_clients(crowd);
        if (step != NULL) {
            step(context);
        }
        if (usage_now_us() - crowd->sampled_at >= SAMPLE_US) {
            sample(crowd);
        }
    }
    sample(crowd);
    return crowd;
}

void
crowd_stop(crowd_crowd *crowd)
{
    uint32_t i;

    sample(crowd);
    for (i = 0; i < crowd->shape->clients; i++) {
        if (crowd->clients[i].fd >= 0) {
            close(crowd->clients[i].fd);
        }
        buf_finish(&crowd->clients[i].head);
    }
    free(crowd->clients);
    free(crowd->polls);
    free(crowd->block);
    free(crowd);
}

int
crowd_ask(const char *address, const char *request, crowd_step *step,
          void *context, uint64_t timeout_ms)
{
    uint64_t end = usage_now_us() + timeout_ms * 1000;
    struct sockaddr_in to;
    struct pollfd wait = {.events = POLLOUT};
    size_t size = strlen(request);
    size_t sent = 0;
    char answer[64] = "";
    size_t used = 0;
    int status = 0;

    parse_address(address, &to);
    wait.fd = connect_to(&to);
    while (wait.fd >= 0 && usage_now_us() < end && used < sizeof answer - 1) {
        ssize_t count;

        if (step != NULL) {
            step(context);
        }
        if (poll(&wait, 1, STEP_MS) <= 0) {
            continue;
        }
        if (sent < size) {
            count = send(wait.fd, request + sent, size - sent, MSG_NOSIGNAL);
            sent += count > 0 ? (size_t)count : 0;
            wait.events = sent < size ? POLLOUT : POLLIN;
        }
        else {
            count = recv(wait.fd, answer + used, sizeof answer - 1 - used, 0);
            used += count > 0 ? (size_t)count : 0;
        }
        if (count <= 0 && errno != EAGAIN) {
            break;
        }
    }
    if (wait.fd >= 0) {
        close(wait.fd);
    }
    return sscanf(answer, "HTTP/1.1 %d", &status) == 1 ? status : 0;
}

bool
crowd_ask_until_served(const char *address, const char *request,
                       crowd_step *step, void *context)
{
    uint64_t end = usage_now_us() + LONGEST_US;

    while (usage_now_us() < end) {
        if (crowd_ask(address, request, step, context, LONGEST_US / 1000) ==
            200) {
            return true;
        }
        proc_sleep_ms(RETRY_MS);
    }
    return false;
}

void
crowd_write_largest(buf_buffer *whole, buf_buffer *chunked, const char *head)
{
    static const char json[] = "{\"user\":\"o/1\"}";
    static const char end[] = "0\r\n\r\n";
    char chunk[] = "1\r\n \r\n";
    size_t i;

    buf_init(whole);
    buf_init(chunked);
    buf_append_text(whole, head);
    buf_append_text(chunked, head);
    buf_append_format(whole,
                      "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                      CROWD_BODY_BYTES);
    buf_append_text(chunked, "Connection: close\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n");
    for (i = 0; i < CROWD_BODY_BYTES; i++) {
        chunk[3] = i < sizeof json - 1 ? json[i] : ' ';
        buf_append(whole, &chunk[3], 1);
        buf_append(chunked, chunk, sizeof chunk - 1);
    }
    buf_append(whole, "", 1);
    buf_append(chunked, end, sizeof end);
}

bool
crowd_is_alive(proc_process *process)
{
    return !proc_wait_end(process, 0);
}
