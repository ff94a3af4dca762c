/*
 * Runners as separate processes, which answer with streams of events. The
 * program of a case is started again as `PROGRAM runner PORT ID VERSION`.
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "base.h"

/* From a request to its first event, and between two events. */
#define RUNNER_FIRST_MS 20
#define RUNNER_EVENT_MS 100

typedef struct runner {
    char id[16];
    char version[8];
    const char *service;
    uint32_t slots;
    pid_t pid;
    uint16_t port;    /* of the process */
    uint16_t address; /* in the store; the same, or that of a link */
    uint64_t born;
} runner;

/* Answers a request in the process of a runner, and returns whether the
 * connection is kept. */
typedef bool runner_answer(int fd, const base_message *request,
                           const char *version);

/* Runs the process of a runner, which closes a connection that is idle for
 * `idle_ms`. */
int runner_run(char **arguments, runner_answer *answer, uint64_t idle_ms);

/* Sends the head of an answer with status 200; `framing` are lines of headers
 * that end with CR and LF. */
void runner_send_head(int fd, const base_message *request,
                      const char *framing);

/* Sends the events after `Last-Event-Id` up to `count`, each with the version.
 * Returns false if the connection broke. */
bool runner_send_events(int fd, const base_message *request, int count,
                        bool is_chunked, const char *version);

/* Starts the process and waits until it accepts connections. */
void runner_start(runner *self, const char *program);

/* Writes the runner's entry into the store. */
void runner_publish(const runner *self);
void runner_kill(runner *self);

#endif
