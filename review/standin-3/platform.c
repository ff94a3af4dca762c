#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base.h"

#define ITEMS_MAX 64
#define EVENTS_MAX 4096
#define VALUE_SIZE 8192
#define REPLY_SIZE (ITEMS_MAX * VALUE_SIZE * 2)

typedef struct store_item {
    char key[200];
    char value[VALUE_SIZE]; /* in base64 */
    uint64_t revision;
    uint64_t created_at;
    bool is_removed;
} store_item;

static store_item items[ITEMS_MAX];
static uint32_t item_count;
static store_item *events; /* of all revisions, for watches */
static uint32_t event_count;
static uint64_t revision = 100;
static bool is_store_away;
static uint16_t store_port;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

platform_gateway platform_gateways[PLATFORM_GATEWAYS_MAX];
static uint32_t gateway_count;
static const char *gateway_program;

static void
encode(const char *text, char *to)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    size_t i;

    for (i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

        if (i + 1 < size) {
            bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
        }
        if (i + 2 < size) {
            bits |= (unsigned char)text[i + 2];
        }
        *to++ = digits[bits >> 18 & 63];
        *to++ = digits[bits >> 12 & 63];
        *to++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        *to++ = i + 2 < size ? digits[bits & 63] : '=';
    }
    *to = '\0';
}

static store_item *
find_item(const char *key)
{
    uint32_t i;

    for (i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0) {
            return &items[i];
        }
    }
    return NULL;
}

static void
write_item(const char *key, const char *value)
{
    store_item *item = find_item(key);

    if (item == NULL) {
        item = &items[item_count++];
        snprintf(item->key, sizeof item->key, "%s", key);
        item->is_removed = true;
    }
    revision++;
    if (item->is_removed && value != NULL) {
        item->created_at = revision;
    }
    item->revision = revision;
    item->is_removed = value == NULL;
    if (value != NULL) {
        encode(value, item->value);
    }
    events[event_count++ % EVENTS_MAX] = *item;
    pthread_cond_broadcast(&changed);
}

void
platform_put(const char *key, const char *format, ...)
{
    char value[VALUE_SIZE / 2];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(value, sizeof value, format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&lock);
    write_item(key, value);
    pthread_mutex_unlock(&lock);
}

void
platform_remove(const char *key)
{
    pthread_mutex_lock(&lock);
    write_item(key, NULL);
    pthread_mutex_unlock(&lock);
}

void
platform_set_away(bool is_away)
{
    pthread_mutex_lock(&lock);
    is_store_away = is_away;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

bool
platform_is_away(void)
{
    bool is_away;

    pthread_mutex_lock(&lock);
    is_away = is_store_away;
    pthread_mutex_unlock(&lock);
    return is_away;
}

void
platform_put_chat_route(uint32_t slots)
{
    platform_put(
        "op/config",
        "{\"version\":1,\"routes\":["
        "{\"name\":\"r-1\",\"host\":\"fjord.example\",\"prefix\":\"/chat/\","
        "\"kind\":\"stream\",\"timeout_ms\":10000,"
        "\"target_latency_ms\":400,\"priority\":1,\"service\":\"pouch-llm\","
        "\"max_attempts\":2,\"public\":false,\"sticky\":true,"
        "\"resumable\":true,\"target_gap_ms\":300}],"
        "\"services\":[{\"name\":\"pouch-llm\",\"health_path\":\"/health\","
        "\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,"
        "\"engine\":{\"slots\":%u,\"kv_capacity\":573713}}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
        "\"tokens_per_s\":330000},"
        "\"tenants\":[{\"name\":\"hule930\","
        "\"api_keys\":[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}]}",
        slots);
}

static void
append_item(char *reply, const store_item *item, bool is_first)
{
    char *to = reply + strlen(reply);

    if (item->is_removed) {
        sprintf(to, "%s{\"key\":\"%s\",\"revision\":%llu,\"tombstone\":true}",
                is_first ? "" : ",", item->key,
                (unsigned long long)item->revision);
    }
    else {
        sprintf(to,
                "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
                "\"created_at\":%llu,\"lease\":0}",
                is_first ? "" : ",", item->key, item->value,
                (unsigned long long)item->revision,
                (unsigned long long)item->created_at);
    }
}

static void
write_list(const char *prefix, char *reply)
{
    bool is_first = true;
    uint32_t i;

    strcpy(reply, "{\"items\":[");
    for (i = 0; i < item_count; i++) {
        if (!items[i].is_removed &&
            strncmp(items[i].key, prefix, strlen(prefix)) == 0) {
            append_item(reply, &items[i], is_first);
            is_first = false;
        }
    }
    sprintf(reply + strlen(reply), "],\"has_more\":false,\"at\":%llu}",
            (unsigned long long)revision);
}

/* Returns whether there are events after the revision. */
static bool
write_events(const char *prefix, uint64_t after, char *reply)
{
    bool is_first = true;
    uint32_t i;

    strcpy(reply, "{\"events\":[");
    for (i = 0; i < event_count; i++) {
        if (events[i].revision > after &&
            strncmp(events[i].key, prefix, strlen(prefix)) == 0) {
            append_item(reply, &events[i], is_first);
            is_first = false;
        }
    }
    sprintf(reply + strlen(reply), "],\"at\":%llu}",
            (unsigned long long)revision);
    return !is_first;
}

static bool
read_parameter(const char *target, const char *name, char *value, size_t size)
{
    const char *found = strstr(target, name);
    size_t count;

    value[0] = '\0';
    if (found == NULL) {
        return false;
    }
    found += strlen(name);
    count = strcspn(found, "&");
    count = count < size - 1 ? count : size - 1;
    memcpy(value, found, count);
    value[count] = '\0';
    return true;
}

static void
await_events(const char *prefix, uint64_t after, uint64_t wait_ms, char *reply)
{
    uint64_t end = base_unix_ms() + wait_ms;
    struct timespec until = {.tv_sec = (time_t)(end / 1000),
                             .tv_nsec = (long)(end % 1000) * 1000000};

    while (!write_events(prefix, after, reply) && !is_store_away &&
           pthread_cond_timedwait(&changed, &lock, &until) == 0) {
    }
}

static void
answer_call(int fd, const char *target, char *reply)
{
    char prefix[200];
    char after[32];
    char wait[32];
    bool is_away;

    read_parameter(target, "prefix=", prefix, sizeof prefix);
    read_parameter(target, "after=", after, sizeof after);
    read_parameter(target, "wait_ms=", wait, sizeof wait);
    pthread_mutex_lock(&lock);
    reply[0] = '\0';
    if (!is_store_away && strncmp(target, "/v1/kv-range", 12) == 0) {
        write_list(prefix, reply);
    }
    else if (!is_store_away) {
        await_events(prefix, strtoull(after, NULL, 10),
                     strtoull(wait, NULL, 10), reply);
    }
    is_away = is_store_away;
    pthread_mutex_unlock(&lock);
    if (is_away) {
        base_send_text(fd, "HTTP/1.1 503 Service Unavailable\r\n"
                           "Content-Length: 0\r\n\r\n");
        return;
    }
    base_send_text(fd,
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n",
                   strlen(reply));
    base_send(fd, reply, strlen(reply));
}

static void *
serve_store_connection(void *argument)
{
    int fd = (int)(intptr_t)argument;
    base_reader *reader = malloc(sizeof *reader);
    base_message request;
    char *reply = malloc(REPLY_SIZE);

    base_begin_reading(reader, fd);
    while (base_read_head(reader, &request)) {
        answer_call(fd, request.target, reply);
    }
    close(fd);
    free(reader);
    free(reply);
    return NULL;
}

static void *
serve_store(void *argument)
{
    int listener = (int)(intptr_t)argument;

    for (;;) {
        int fd = accept(listener, NULL, NULL);

        if (fd >= 0) {
            fcntl(fd, F_SETFD, FD_CLOEXEC);
            base_start_thread(serve_store_connection, (void *)(intptr_t)fd);
        }
    }
    return NULL;
}

void
platform_start_store(void)
{
    int listener = base_listen(0);

    events = calloc(EVENTS_MAX, sizeof *events);
    store_port = base_port_of(listener);
    base_start_thread(serve_store, (void *)(intptr_t)listener);
}

static void
write_settings(uint32_t number)
{
    const platform_gateway *gateway = &platform_gateways[number];
    FILE *file = fopen(gateway->settings, "w");
    uint32_t i;

    if (file == NULL) {
        base_give_up("cannot write the settings of a gateway");
    }
    fprintf(file, "[instance]\nname = front-oslo-a-%u\nzone = oslo-a\n\n",
            number + 1);
    fprintf(file,
            "[listen]\ncallers = 127.0.0.1:%u\nreadiness = 127.0.0.1:%u\n"
            "peer = 127.0.0.1:%u\ndescriptors = 4100\n"
            "memory_megabytes = 260\n\n[peers]\nseeds = ",
            gateway->callers, gateway->readiness, gateway->peer);
    for (i = 0; i < gateway_count && i < 3; i++) {
        fprintf(file, "%s127.0.0.1:%u", i > 0 ? "," : "",
                platform_gateways[i].peer);
    }
    fprintf(file,
            "\n\n[store]\naddress = 127.0.0.1:%u\n"
            "lost_answer_bound = 3000ms\nleave_bound = 2000ms\n"
            "history = 20s\nheartbeat = 1200ms\n\n"
            "[admission]\nquota_window = 4s\n\n"
            "[budget]\nwindow = 10s\nratio = 0.2\nslack = 54\n\n"
            "[shutdown]\ngrace = 8s\n",
            store_port);
    fclose(file);
}

void
platform_start_gateway(uint32_t number)
{
    platform_gateway *gateway = &platform_gateways[number];
    pid_t parent = getpid();

    gateway->pid = fork();
    if (gateway->pid == 0) {
        int log = open(gateway->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl(gateway_program, gateway_program, "--gateway", "--config",
              gateway->settings, (char *)NULL);
        _exit(127);
    }
}

bool
platform_is_ready(uint32_t number)
{
    base_reader *reader;
    base_message response;
    int fd = base_connect(platform_gateways[number].readiness);
    bool is_ready;

    if (fd < 0) {
        return false;
    }
    reader = malloc(sizeof *reader);
    base_begin_reading(reader, fd);
    base_send_text(fd, "GET /v1/ready HTTP/1.1\r\nHost: platform\r\n"
                       "Connection: close\r\n\r\n");
    is_ready = base_read_head(reader, &response) && response.status == 200;
    close(fd);
    free(reader);
    return is_ready;
}

void
platform_start_gateways(uint32_t count, const char *program,
                        const char *folder)
{
    uint64_t end = base_now_ms() + 15000;
    uint32_t i;

    gateway_count = count;
    gateway_program = program;
    if (access(program, X_OK) != 0) {
        base_give_up("the program of deploy/system.toml is not built");
    }
    for (i = 0; i < count; i++) {
        platform_gateway *gateway = &platform_gateways[i];

        gateway->callers = base_free_port();
        gateway->readiness = base_free_port();
        gateway->peer = base_free_port();
        snprintf(gateway->settings, sizeof gateway->settings,
                 "%s/gateway-%u.ini", folder, i);
        snprintf(gateway->log, sizeof gateway->log, "%s/gateway-%u.log",
                 folder, i);
    }
    for (i = 0; i < count; i++) {
        write_settings(i);
        platform_start_gateway(i);
    }
    for (i = 0; i < count; i++) {
        while (!platform_is_ready(i)) {
            if (base_now_ms() > end) {
                base_give_up("a gateway does not become ready");
            }
            base_sleep_ms(100);
        }
    }
}

void
platform_kill_gateway(uint32_t number)
{
    platform_gateway *gateway = &platform_gateways[number];

    kill(gateway->pid, SIGKILL);
    waitpid(gateway->pid, NULL, 0);
    gateway->pid = 0;
}

bool
platform_stop(void)
{
    bool is_sound = true;
    uint32_t i;

    for (i = 0; i < gateway_count; i++) {
        pid_t pid = platform_gateways[i].pid;

        if (pid > 0 && waitpid(pid, NULL, WNOHANG) == 0) {
            kill(pid, SIGKILL);
            waitpid(pid, NULL, 0);
        }
        else if (pid > 0) {
            base_record("gateway %u ended by itself", i);
            is_sound = false;
        }
        platform_gateways[i].pid = 0;
    }
    return is_sound;
}
