/*
 * The parts of the fault-injecting proxy: connections and what is done with
 * them.
 */
#ifndef PART_FLEET_PROXY_H
#define PART_FLEET_PROXY_H

#include "common-http.h"

#define TARGETS_MAX 64
#define RULES_MAX 4096
#define NAME_SIZE 64
#define CHUNK_SIZE 65536
#define QUEUE_MAX ((size_t)1024 * 1024)
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

/* True when a rule's pattern covers a name. */
bool proxy_is_match(const char *pattern, const char *name);

/* Take a connection of a target's listener. */
void proxy_on_connection(uv_stream_t *stream, int status);

/* Look up the rules of a connection again. */
void proxy_apply_rules(connection_connection *connection);

void proxy_close_connection(connection_connection *connection);

/* Send what is due and arm the timer for what is not. */
void proxy_pump_all(proxy_proxy *proxy);
void proxy_on_timer(uv_poll_t *poll, int status, int events);

#endif
