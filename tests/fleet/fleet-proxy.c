/*
 * Fault-injecting TCP proxy: delays, drops, cuts and silences connections,
 * by the pair of source address and target.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "common-http.h"
#include "common-usage.h"

#define TARGETS_MAX 64
#define RULES_MAX 4096
#define NAME_SIZE 64
#define CHUNK_SIZE 65536
#define QUEUE_MAX ((size_t)1024 * 1024)
#define BACKLOG 256
#define ANY "*"

/* What is done with the connections of a pair. */
typedef struct rule_rule {
    char source[NAME_SIZE]; /* IP of the connecting side, or ANY */
    char target[NAME_SIZE]; /* name of the target, or ANY */
    bool has_delay;
    uint64_t delay_us;
    bool is_partitioned; /* no byte passes, also on new connections */
    bool is_refused;     /* new connections are closed at once */
} rule_rule;

typedef struct chunk_chunk {
    uint64_t due_us;
    size_t size;
    struct chunk_chunk *next;
    char bytes[];
} chunk_chunk;

typedef struct connection_connection connection_connection;

/* One direction of a connection. */
typedef struct direction_direction {
    connection_connection *connection;
    uv_tcp_t *from;
    uv_tcp_t *to;
    chunk_chunk *first;
    chunk_chunk **last;
    size_t queued;
    bool is_paused;
    bool is_ended; /* the sender closed */
} direction_direction;

typedef struct target_target {
    struct proxy_proxy *proxy;
    char name[NAME_SIZE];
    char address[NAME_SIZE];
    char listen[NAME_SIZE];
    uv_tcp_t listener;
} target_target;

struct connection_connection {
    target_target *target;
    char source[NAME_SIZE];
    uv_tcp_t client;
    uv_tcp_t server;
    uv_connect_t connect;
    direction_direction forward;
    direction_direction backward;
    uint64_t delay_us;
    bool is_partitioned;
    bool is_silent; /* black hole: for good */
    bool is_closing;
    uint32_t open_handles;
    connection_connection *next;
};

typedef struct proxy_proxy {
    uv_loop_t loop;
    http_server admin;
    const char *admin_listen;
    int timer;
    uv_poll_t poll;
    target_target targets[TARGETS_MAX];
    uint32_t target_count;
    rule_rule rules[RULES_MAX];
    uint32_t rule_count;
    connection_connection *connections;
    uint64_t accepted, closed, bytes, swallowed;
    char chunk[CHUNK_SIZE];
} proxy_proxy;

static void arm_timer(proxy_proxy *proxy);

static bool
is_match(const char *pattern, const char *name)
{
    return strcmp(pattern, ANY) == 0 || strcmp(pattern, name) == 0;
}

/* What all rules of a pair amount to: the last delay, any of the others. */
static rule_rule
read_rules(const proxy_proxy *proxy, const char *source, const char *target)
{
    rule_rule sum = {0};

    for (uint32_t i = 0; i < proxy->rule_count; i++) {
        const rule_rule *rule = &proxy->rules[i];

        if (!is_match(rule->source, source) ||
            !is_match(rule->target, target)) {
            continue;
        }
        if (rule->has_delay) {
            sum.delay_us = rule->delay_us;
        }
        sum.is_partitioned = sum.is_partitioned || rule->is_partitioned;
        sum.is_refused = sum.is_refused || rule->is_refused;
    }
    return sum;
}

static void
free_chunks(direction_direction *direction)
{
    while (direction->first != NULL) {
        chunk_chunk *chunk = direction->first;

        direction->first = chunk->next;
        free(chunk);
    }
}

static void
on_handle_closed(uv_handle_t *handle)
{
    connection_connection *connection = handle->data;
    proxy_proxy *proxy = connection->target->proxy;
    connection_connection **link = &proxy->connections;

    if (--connection->open_handles > 0) {
        return;
    }
    while (*link != connection) {
        link = &(*link)->next;
    }
    *link = connection->next;
    free_chunks(&connection->forward);
    free_chunks(&connection->backward);
    proxy->closed++;
    free(connection);
}

static void
close_connection(connection_connection *connection)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    uv_close((uv_handle_t *)&connection->client, on_handle_closed);
    uv_close((uv_handle_t *)&connection->server, on_handle_closed);
}

typedef struct write_write {
    uv_write_t super;
    chunk_chunk *chunk;
} write_write;

static void
on_written(uv_write_t *request, int status)
{
    write_write *write = (write_write *)request;

    (void)status;
    free(write->chunk);
    free(write);
}

static bool
is_held(const connection_connection *connection)
{
    return connection->is_partitioned || connection->is_silent;
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf);
static void on_allocate(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer);

static void
send_first(direction_direction *direction)
{
    chunk_chunk *chunk = direction->first;
    write_write *write = malloc(sizeof *write);
    uv_buf_t buffer = uv_buf_init(chunk->bytes, (unsigned)chunk->size);

    if (write == NULL) {
        abort();
    }
    direction->first = chunk->next;
    if (direction->first == NULL) {
        direction->last = &direction->first;
    }
    direction->queued -= chunk->size;
    direction->connection->target->proxy->bytes += chunk->size;
    write->chunk = chunk;
    if (uv_write(&write->super, (uv_stream_t *)direction->to, &buffer, 1,
                 on_written) != 0) {
        free(chunk);
        free(write);
        close_connection(direction->connection);
        return;
    }
    if (direction->is_paused && direction->queued < QUEUE_MAX / 2) {
        direction->is_paused = false;
        uv_read_start((uv_stream_t *)direction->from, on_allocate, on_read);
    }
}

static void
pump(direction_direction *direction, uint64_t now_us)
{
    connection_connection *connection = direction->connection;

    if (connection->is_closing || is_held(connection)) {
        return;
    }
    while (direction->first != NULL && direction->first->due_us <= now_us &&
           !connection->is_closing) {
        send_first(direction);
    }
    if (direction->first == NULL && direction->is_ended) {
        close_connection(connection);
    }
}

static void
pump_all(proxy_proxy *proxy)
{
    uint64_t now_us = usage_now_us();

    for (connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        pump(&one->forward, now_us);
        pump(&one->backward, now_us);
    }
    arm_timer(proxy);
}

static uint64_t
first_due(const direction_direction *direction)
{
    if (direction->first == NULL || is_held(direction->connection) ||
        direction->connection->is_closing) {
        return UINT64_MAX;
    }
    return direction->first->due_us;
}

static void
arm_timer(proxy_proxy *proxy)
{
    struct itimerspec at = {0};
    uint64_t due_us = UINT64_MAX;

    for (connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        uint64_t forward = first_due(&one->forward);
        uint64_t backward = first_due(&one->backward);

        due_us = forward < due_us ? forward : due_us;
        due_us = backward < due_us ? backward : due_us;
    }
    if (due_us != UINT64_MAX) {
        at.it_value.tv_sec = (time_t)(due_us / 1000000);
        at.it_value.tv_nsec = (long)(due_us % 1000000 * 1000) + 1;
    }
    timerfd_settime(proxy->timer, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
on_timer(uv_poll_t *poll, int status, int events)
{
    proxy_proxy *proxy = poll->data;
    uint64_t expirations;

    (void)status;
    (void)events;
    if (read(proxy->timer, &expirations, sizeof expirations) > 0) {
        pump_all(proxy);
    }
}

static void
on_allocate(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
    connection_connection *connection = handle->data;

    (void)wanted;
    *buffer = uv_buf_init(connection->target->proxy->chunk, CHUNK_SIZE);
}

static void
append_chunk(direction_direction *direction, const char *bytes, size_t size)
{
    chunk_chunk *chunk = malloc(sizeof *chunk + size);

    if (chunk == NULL) {
        abort();
    }
    chunk->due_us = usage_now_us() + direction->connection->delay_us;
    chunk->size = size;
    chunk->next = NULL;
    memcpy(chunk->bytes, bytes, size);
    *direction->last = chunk;
    direction->last = &chunk->next;
    direction->queued += size;
    if (direction->queued > QUEUE_MAX) {
        direction->is_paused = true;
        uv_read_stop((uv_stream_t *)direction->from);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    connection_connection *connection = stream->data;
    direction_direction *direction =
        stream == (uv_stream_t *)&connection->client ? &connection->forward
                                                     : &connection->backward;

    if (connection->is_silent) {
        connection->target->proxy->swallowed +=
            count > 0 ? (uint64_t)count : 0;
        if (count < 0) {
            uv_read_stop(stream);
        }
        return;
    }
    if (count < 0) {
        direction->is_ended = true;
        uv_read_stop(stream);
    }
    else if (count > 0) {
        append_chunk(direction, buffer->base, (size_t)count);
    }
    pump(direction, usage_now_us());
    arm_timer(connection->target->proxy);
}

static void
on_connected(uv_connect_t *request, int status)
{
    connection_connection *connection = request->data;

    if (connection->is_closing) {
        return;
    }
    if (status != 0) {
        close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->server, 1);
    uv_read_start((uv_stream_t *)&connection->client, on_allocate, on_read);
    uv_read_start((uv_stream_t *)&connection->server, on_allocate, on_read);
}

static void
apply_rules(connection_connection *connection)
{
    rule_rule sum = read_rules(connection->target->proxy, connection->source,
                               connection->target->name);

    connection->delay_us = sum.delay_us;
    connection->is_partitioned = sum.is_partitioned;
}

static void
init_direction(direction_direction *direction,
               connection_connection *connection, uv_tcp_t *from, uv_tcp_t *to)
{
    direction->connection = connection;
    direction->from = from;
    direction->to = to;
    direction->last = &direction->first;
}

static connection_connection *
make_connection(target_target *target)
{
    connection_connection *connection = calloc(1, sizeof *connection);

    if (connection == NULL) {
        abort();
    }
    connection->target = target;
    connection->open_handles = 2;
    uv_tcp_init(&target->proxy->loop, &connection->client);
    uv_tcp_init(&target->proxy->loop, &connection->server);
    connection->client.data = connection;
    connection->server.data = connection;
    connection->connect.data = connection;
    init_direction(&connection->forward, connection, &connection->client,
                   &connection->server);
    init_direction(&connection->backward, connection, &connection->server,
                   &connection->client);
    connection->next = target->proxy->connections;
    target->proxy->connections = connection;
    target->proxy->accepted++;
    return connection;
}

static void
read_source(connection_connection *connection)
{
    struct sockaddr_in name;
    int size = sizeof name;

    if (uv_tcp_getpeername(&connection->client, (struct sockaddr *)&name,
                           &size) == 0) {
        uv_ip4_name(&name, connection->source, sizeof connection->source);
    }
}

static void
on_connection(uv_stream_t *stream, int status)
{
    target_target *target = stream->data;
    connection_connection *connection;
    char host[HTTP_ADDRESS_SIZE];
    uint16_t port = 0;
    struct sockaddr_in name;

    if (status != 0) {
        return;
    }
    connection = make_connection(target);
    if (uv_accept(stream, (uv_stream_t *)&connection->client) != 0) {
        close_connection(connection);
        return;
    }
    uv_tcp_nodelay(&connection->client, 1);
    read_source(connection);
    apply_rules(connection);
    http_parse_address(target->address, host, &port);
    uv_ip4_addr(host, port, &name);
    if (read_rules(target->proxy, connection->source, target->name)
            .is_refused ||
        uv_tcp_connect(&connection->connect, &connection->server,
                       (struct sockaddr *)&name, on_connected) != 0) {
        close_connection(connection);
    }
}

static void
add_target(proxy_proxy *proxy, const char *text)
{
    const char *equals = strchr(text, '=');
    target_target *target = &proxy->targets[proxy->target_count];
    struct sockaddr_in name;
    int size = sizeof name;

    if (equals == NULL || proxy->target_count == TARGETS_MAX) {
        fprintf(stderr, "'%s': write at most %d NAME=IP:PORT\n", text,
                TARGETS_MAX);
        exit(2);
    }
    proxy->target_count++;
    target->proxy = proxy;
    snprintf(target->name, NAME_SIZE, "%.*s", (int)(equals - text), text);
    snprintf(target->address, NAME_SIZE, "%s", equals + 1);
    uv_tcp_init(&proxy->loop, &target->listener);
    target->listener.data = target;
    uv_ip4_addr("127.0.0.1", 0, &name);
    if (uv_tcp_bind(&target->listener, (struct sockaddr *)&name, 0) != 0 ||
        uv_listen((uv_stream_t *)&target->listener, BACKLOG, on_connection) !=
            0) {
        fputs("can not listen on 127.0.0.1\n", stderr);
        exit(2);
    }
    uv_tcp_getsockname(&target->listener, (struct sockaddr *)&name, &size);
    snprintf(target->listen, NAME_SIZE, "127.0.0.1:%u",
             (unsigned)ntohs(name.sin_port));
}

static const char *
pattern_of(json_t *json, const char *key)
{
    const char *text = json_string_value(json_object_get(json, key));

    return text != NULL ? text : ANY;
}

static rule_rule *
make_rule(proxy_proxy *proxy, const char *source, const char *target)
{
    rule_rule *rule;

    for (uint32_t i = 0; i < proxy->rule_count; i++) {
        rule = &proxy->rules[i];
        if (strcmp(rule->source, source) == 0 &&
            strcmp(rule->target, target) == 0) {
            return rule;
        }
    }
    if (proxy->rule_count == RULES_MAX) {
        return NULL;
    }
    rule = &proxy->rules[proxy->rule_count];
    memset(rule, 0, sizeof *rule);
    proxy->rule_count++;
    snprintf(rule->source, NAME_SIZE, "%s", source);
    snprintf(rule->target, NAME_SIZE, "%s", target);
    return rule;
}

/* Cut closes, silence holds what is open; new connections work. */
static void
hit_connections(proxy_proxy *proxy, json_t *json)
{
    const char *source = pattern_of(json, "source");
    const char *target = pattern_of(json, "target");
    bool cuts = json_is_true(json_object_get(json, "cut"));
    bool silences = json_is_true(json_object_get(json, "silence"));

    for (connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        apply_rules(one);
        if (!is_match(source, one->source) ||
            !is_match(target, one->target->name)) {
            continue;
        }
        if (silences) {
            one->is_silent = true;
        }
        if (cuts) {
            close_connection(one);
        }
    }
}

static void
take_fault(proxy_proxy *proxy, json_t *json)
{
    json_t *delay = json_object_get(json, "delay_us");
    json_t *partition = json_object_get(json, "partition");
    json_t *refuse = json_object_get(json, "refuse");

    if (json_is_true(json_object_get(json, "heal"))) {
        for (uint32_t i = 0; i < proxy->rule_count; i++) {
            proxy->rules[i].is_partitioned = false;
            proxy->rules[i].is_refused = false;
        }
    }
    if (delay != NULL || partition != NULL || refuse != NULL) {
        rule_rule *rule = make_rule(proxy, pattern_of(json, "source"),
                                    pattern_of(json, "target"));

        if (rule != NULL && delay != NULL) {
            rule->has_delay = true;
            rule->delay_us = (uint64_t)json_integer_value(delay);
        }
        if (rule != NULL && partition != NULL) {
            rule->is_partitioned = json_is_true(partition);
        }
        if (rule != NULL && refuse != NULL) {
            rule->is_refused = json_is_true(refuse);
        }
    }
    hit_connections(proxy, json);
    pump_all(proxy);
}

static json_t *
state_to_json(const proxy_proxy *proxy)
{
    json_t *listens = json_object();
    json_int_t open = 0;

    for (uint32_t i = 0; i < proxy->target_count; i++) {
        json_object_set_new(listens, proxy->targets[i].name,
                            json_string(proxy->targets[i].listen));
    }
    for (const connection_connection *one = proxy->connections; one != NULL;
         one = one->next) {
        open++;
    }
    return json_pack("{s:o, s:I, s:I, s:I, s:I, s:I}", "listen", listens,
                     "accepted", (json_int_t)proxy->accepted, "closed",
                     (json_int_t)proxy->closed, "open", open, "bytes",
                     (json_int_t)proxy->bytes, "swallowed",
                     (json_int_t)proxy->swallowed);
}

static void
on_admin(void *context, h2o_req_t *req)
{
    proxy_proxy *proxy = context;
    json_t *json;
    size_t index;
    json_t *one;

    if (http_has_path(req, "/admin/state")) {
        http_send_json(req, 200, state_to_json(proxy));
        return;
    }
    json = http_read_json(req);
    if (!http_has_path(req, "/admin/fault") || json == NULL) {
        http_send_json(req, 400, json_pack("{s:s}", "error", "bad request"));
        json_decref(json);
        return;
    }
    if (json_is_array(json)) {
        json_array_foreach(json, index, one)
        {
            take_fault(proxy, one);
        }
    }
    else {
        take_fault(proxy, json);
    }
    http_send_json(req, 200, json_pack("{}"));
    json_decref(json);
}

static const struct argp_option options[] = {
    {"admin", 'a', "IP:PORT", 0, "Where tests drive it (127.0.0.1:0)", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    proxy_proxy *proxy = state->input;

    switch (key) {
    case 'a':
        proxy->admin_listen = argument;
        break;
    case ARGP_KEY_ARG:
        add_target(proxy, argument);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static proxy_proxy proxy = {.admin_listen = "127.0.0.1:0"};
    static const struct argp argp = {
        options,
        parse_option,
        "NAME=IP:PORT...",
        "Fault-injecting TCP proxy: listens once for each target."
        "\vIt prints \"ready IP:PORT admin IP:PORT\"; both are the address "
        "for tests. GET /admin/state tells where it listens for each target. "
        "POST /admin/fault takes one or an array of {\"source\": IP, "
        "\"target\": NAME, \"delay_us\": N, \"partition\": BOOL, \"refuse\": "
        "BOOL, \"cut\": true, \"silence\": true, \"heal\": true}; source and "
        "target are \"*\" when not given.",
        NULL,
        NULL,
        NULL};

    uv_loop_init(&proxy.loop);
    argp_parse(&argp, argc, argv, 0, NULL, &proxy);
    http_server_init(&proxy.admin, &proxy.loop, proxy.admin_listen, on_admin,
                     &proxy);
    proxy.timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    uv_poll_init(&proxy.loop, &proxy.poll, proxy.timer);
    proxy.poll.data = &proxy;
    uv_poll_start(&proxy.poll, UV_READABLE, on_timer);
    printf("ready %s admin %s\n", proxy.admin.address, proxy.admin.address);
    fflush(stdout);
    return uv_run(&proxy.loop, UV_RUN_DEFAULT);
}
