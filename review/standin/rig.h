/*
 * Stand-ins for cases of the review that run real gateways on loopback: the
 * platform's store, runners, clients, and the processes of the gateways. They
 * use blocking sockets, with one thread for each connection.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_TEXT_SIZE 256
#define RIG_HEAD_SIZE 16384
#define RIG_ITEMS_MAX 128
#define RIG_EVENTS_MAX 4096
#define RIG_CONNECTIONS_MAX 512

/* Results of a script. */
enum {
    RIG_HELD = 0,
    RIG_BROKEN = 1,
    RIG_NOT_RUN = 2
};

/* Opens record.txt in a folder, and makes a temporary folder for settings.
 * Every process of the rig ends when this one does. */
void rig_init(const char *folder);

/* Returns whether the disruption is to be left out: TROUBLE=0. */
bool rig_is_calm(void);

/* Writes a line to record.txt. */
void rig_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends all processes and exits; RIG_NOT_RUN for what kept the case from
 * running. */
void rig_finish(int result) __attribute__((noreturn));
void rig_fail(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* Milliseconds since rig_init. */
long rig_now(void);
void rig_sleep(long ms);

/* Starts a detached thread. */
void rig_start_thread(void *(*run)(void *), void *context);

/* ---- HTTP ---- */

typedef struct rig_message {
    char head[RIG_HEAD_SIZE]; /* with the empty line */
    char *body;               /* NUL-terminated */
    size_t body_size;
} rig_message;

/* How a message ended. */
typedef enum rig_end {
    RIG_COMPLETE,
    RIG_CUT,     /* the connection was closed too early */
    RIG_RESET,   /* the connection failed */
    RIG_TIMEOUT, /* nothing came in time */
    RIG_CLOSED   /* closed before the first byte */
} rig_end;

/* Reads a request or an answer. A message without a length ends with its
 * connection if it is an answer, and has no body if it is a request. */
rig_end rig_read(int fd, rig_message *message, bool is_answer, long wait_ms);
void rig_free(rig_message *message);

/* Returns the status of an answer; 0: there is none. */
int rig_status(const rig_message *message);

/* Copies the value of a header; false if there is none. */
bool rig_header(const rig_message *message, const char *name, char *to,
                size_t size);

/* Returns false when the connection has failed. */
bool rig_send(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

typedef struct rig_server rig_server;

/* Handles a request; returns false when the connection is to be closed. */
typedef bool rig_handler(rig_server *server, int fd, rig_message *request);

struct rig_server {
    rig_handler *handle;
    void *owner;
    int listener;
    uint16_t port;
    pthread_mutex_t mutex;
    int connections[RIG_CONNECTIONS_MAX]; /* -1: free */
};

/* Listens on a free port of 127.0.0.1. */
void rig_serve(rig_server *server, rig_handler *handle, void *owner);

/* Closes all connections. */
void rig_cut(rig_server *server);

/* Closes the listening socket and all connections, as when a process ends. */
void rig_stop(rig_server *server);

/* Returns -1 when the connection is refused. */
int rig_connect(uint16_t port);
uint16_t rig_free_port(void);

/* ---- the store ---- */

typedef struct rig_item {
    char key[RIG_TEXT_SIZE];
    char *value; /* JSON; NULL: removed */
    uint64_t revision;
    uint64_t created_at;
} rig_item;

typedef struct rig_store {
    rig_server server;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    uint64_t revision;
    uint64_t history_start; /* watches after less get 410 */
    uint64_t era;           /* 0: not named */
    uint64_t cuts;
    volatile bool is_down; /* closes connections without an answer */
    rig_item items[RIG_ITEMS_MAX];
    uint32_t item_count;
    rig_item events[RIG_EVENTS_MAX];
    uint32_t event_count;
} rig_store;

void rig_store_start(rig_store *store);
void rig_store_put(rig_store *store, const char *key, const char *value);
void rig_store_remove(rig_store *store, const char *key);

/* Writes an item of which only the sequence number changes: lists show it,
 * watches do not tell. */
void rig_store_beat(rig_store *store, const char *key, const char *value);

/* Discards the history, so that watches that go on from before get 410. */
void rig_store_forget(rig_store *store);

/* Closes the connections, with the watches that wait. */
void rig_store_cut(rig_store *store);

/* Takes a copy, and comes back from it: what was written since is gone, the
 * revisions go back, and the era rises by one. */
typedef struct rig_copy {
    uint64_t revision;
    rig_item items[RIG_ITEMS_MAX];
    uint32_t item_count;
} rig_copy;

void rig_store_copy(rig_store *store, rig_copy *copy);
void rig_store_restore(rig_store *store, const rig_copy *copy);

/* ---- links ---- */

/* A link to a server, which can be cut: bytes and connections then stay
 * unanswered, as behind a partition. */
typedef struct rig_link {
    int listener;
    uint16_t port;
    uint16_t target;
    volatile bool is_cut;
} rig_link;

void rig_link_start(rig_link *link, uint16_t target);

/* ---- gateways ---- */

typedef struct rig_gateway {
    char name[RIG_TEXT_SIZE];
    char zone[RIG_TEXT_SIZE];
    char settings[RIG_TEXT_SIZE];
    char log[RIG_TEXT_SIZE];
    uint16_t front;
    uint16_t readiness;
    uint16_t control;
    uint16_t store_port; /* of a link to the store; 0: the store's own */
    pid_t pid;           /* 0: not running */
} rig_gateway;

/* Chooses the ports. */
void rig_gateway_init(rig_gateway *gateway, const char *name,
                      const char *zone);

/* Writes the settings as deploy/settings.ini renders them, and starts the
 * process with the command of deploy/system.toml. */
void rig_gateway_start(rig_gateway *gateway, const rig_gateway *seeds,
                       uint32_t seed_count, const rig_store *store);

/* Waits until the gateway says that it is ready. */
bool rig_gateway_await(const rig_gateway *gateway, long wait_ms);

/* Sends a signal and, unless it is to go on, waits for the end. */
void rig_gateway_signal(rig_gateway *gateway, int number, bool ends);

#endif
