/*
 * A server on loopback that answers each request with given bytes; each
 * connection has a thread of its own.
 */
#ifndef SCRIPT_SERVER_H
#define SCRIPT_SERVER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>

#define SCRIPT_CONNECTIONS 256

typedef struct script_server {
    const char *answer;  /* NULL: stay silent */
    size_t repeat;       /* then so many bytes of filling */
    const char *filling; /* that is repeated; NULL: "x" */
    const char *tail;    /* follows the filling; NULL: nothing */
    int keeps_open;      /* do not close after the answer */
    int resets;          /* close with a reset */
    char address[64];
    int listener;
    pthread_t thread;
    pthread_t threads[SCRIPT_CONNECTIONS];
    int thread_count;
    atomic_int connections;
    atomic_int requests;
    atomic_size_t sent; /* bytes of filling */
    atomic_int stop;
} script_server;

void script_start(script_server *server);

/* Wait until a first request has been read; its sender may be gone. */
void script_await_request(script_server *server);
void script_stop(script_server *server);

#endif
