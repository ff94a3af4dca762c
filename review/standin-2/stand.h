/*
 * Stand-ins for the cases 6 to 10: a store, endpoints and clients in one
 * process, and the gateways as separate processes. All of it is on loopback
 * and on the real clock. Where the pages are silent, the stand-ins behave like
 * a sound store, endpoint or client.
 */
#ifndef STAND_H
#define STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_TEXT 512
#define STAND_BODY 65536

/* Milliseconds since the program started, by the steady clock. */
double stand_now(void);
void stand_sleep(double milliseconds);

/* Opens record.txt in the folder of the case. */
void stand_open_record(const char *folder);

/* Writes a line with the time to record.txt. */
void stand_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Ends the program with code 2: the case could not run. */
void stand_give_up(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* A listening socket on 127.0.0.1; `*port` is a free port if it is 0. */
int stand_listen(int *port);

/* ---- HTTP ---- */

typedef struct stand_message {
    char head[8192];
    char first_line[1024];
    char body[STAND_BODY];
    size_t body_size;
} stand_message;

/* Reads one message with a Content-Length; false at the end of the
 * connection. */
bool stand_read_message(int socket, stand_message *message);

/* Copies a header's value; false if there is none. */
bool stand_header(const char *head, const char *name, char *value,
                  size_t size);
bool stand_write(int socket, const char *data, size_t size);
bool stand_print(int socket, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* ---- the platform's store ---- */

typedef enum store_mode {
    STORE_SERVES,
    STORE_SILENT
} store_mode;

/* Starts the store with a port of its own for each instance, so that it can
 * turn some of them away. */
void stand_start_store(int ports);
int stand_store_port(int index);
void stand_set_store_mode(int index, store_mode mode);
void stand_put(const char *key, const char *value);
void stand_remove(const char *key);

/* Discards the history: watches from earlier revisions get 410. */
void stand_discard_history(void);

/* ---- endpoints ---- */

typedef struct stand_endpoint stand_endpoint;

typedef struct stand_call {
    stand_endpoint *endpoint;
    int socket;
    char id[64];
    char seal[96];
    char last_event_id[64];
    char target[256];
    double deadline; /* by stand_now */
    stand_message *request;
} stand_call;

struct stand_endpoint {
    char id[64];
    char service[64];
    char version[32];
    char zone[32];
    int slots;
    int port;
    int listener;
    uint64_t born;
    volatile bool is_gone; /* its process has ended */
    /* Runs a request and answers it; false: close the connection. */
    bool (*run)(stand_call *call);
};

/* Opens the port, and registers the endpoint in the store. */
void stand_start_endpoint(stand_endpoint *endpoint);
void stand_publish_endpoint(const stand_endpoint *endpoint, const char *state);
void stand_withdraw_endpoint(const stand_endpoint *endpoint);

/* Ends the endpoint's process: the port and all connections are closed. */
void stand_end_endpoint(stand_endpoint *endpoint);

/* Returns whether the caller has closed its connection. */
bool stand_is_closed(int socket);

/* ---- gateways ---- */

#define STAND_GATEWAYS_MAX 16

void stand_start_gateway(int index, int count);
void stand_wait_ready(int index, double timeout);
void stand_kill_gateway(int index);
bool stand_is_running(int index);
int stand_gateway_port(int index);

/* Ends all processes that were started, and removes the temporary folder. */
void stand_end_all(void);

/* ---- clients ---- */

typedef struct stand_answer {
    int status;       /* 0: none */
    bool is_whole;    /* the body came to its end */
    char seal[64];    /* of the endpoint; empty: none */
    char text[16384]; /* of the body, without its framing */
    size_t size;
} stand_answer;

/* Connects to a gateway; -1 on failure. */
int stand_connect(int port);

/* Reads an answer with a length or in chunks, until it ends, the connection
 * does, or the time is up. `on_data` may be NULL. */
void stand_read_answer(int socket, double until, stand_answer *answer);

/* The id of the last whole event in a body; 0: none. */
int stand_last_event(const char *text);

#endif
