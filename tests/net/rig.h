/*
 * A real router on loopback with a plain service and an engine, fed from
 * files, and a plain caller that sees every byte.
 */
#ifndef RIG_H
#define RIG_H

#include "common-process.h"

#define RIG_TEXT_SIZE 16384
#define RIG_ANSWER_SIZE ((size_t)4 * 1024 * 1024)

typedef struct rig_shape {
    const char *settings;  /* further sections of the router's settings */
    const char *catalogue; /* further sections of the catalogue */
    const char *entry;     /* further lines of account alpha's entry */
    const char *listen;    /* further lines of [listen] */
    const char *service_address; /* in place of the stand-in's */
    uint32_t token_us;
    uint32_t linger_ms; /* the engine keeps a stream without a reader */
    uint32_t service_time_us;
    const char *tickets; /* further lines of [tickets] */
    bool has_two_routers;
    bool has_no_catalogue; /* the routers do not get ready */
} rig_shape;

typedef struct rig_router {
    proc_process process;
    char name[32];
    char callers[HTTP_ADDRESS_SIZE];
    char operator_address[HTTP_ADDRESS_SIZE];
    char peer[HTTP_ADDRESS_SIZE];
    char settings[PROC_PATH_SIZE];
} rig_router;

typedef struct rig_rig {
    char folder[PROC_PATH_SIZE];
    char log[PROC_PATH_SIZE];
    rig_router routers[2];
    uint32_t router_count;
    bool has_no_catalogue;
    proc_process engine;
    proc_process service;
} rig_rig;

/* Accounts alpha (with rig_shape.entry) and beta; keys "key-of-NAME". Routes:
 * /v1/chat/completions by model "m" at the engine (idempotent), /lookup at
 * the service (idempotent), /book at the service (not idempotent). */
bool rig_start(rig_rig *rig, const rig_shape *shape);

/* False when a router did not drain and end by itself with exit code 0. */
bool rig_stop(rig_rig *rig);
bool rig_start_router(rig_rig *rig, uint32_t router);
bool rig_wait_status(const char *operator_address, const char *path);

/* Tell a stand-in something on its admin port. */
bool rig_tell(const proc_process *process, const char *json);

/* A number that a stand-in counts; -1: none. */
long long rig_count(const proc_process *process, const char *path,
                    const char *name);

/* A caller's connection: raw bytes both ways. */
int rig_connect(const char *address);
bool rig_write(int socket, const char *bytes, size_t size);

typedef struct rig_answer {
    int status; /* 0: none */
    char head[RIG_TEXT_SIZE];
    char *body; /* decoded */
    size_t size;
    bool is_whole; /* its framing came to its end */
    bool is_closed;
    bool is_reset; /* the connection ended with a reset */
} rig_answer;

/* Read one answer, for at most timeout_ms. */
void rig_read(int socket, rig_answer *answer, uint64_t timeout_ms);
void rig_answer_finish(rig_answer *answer);

/* A header's value, "" when there is none. Names in lower case. */
const char *rig_header(const rig_answer *answer, const char *name, char *value,
                       size_t size);

/* One request on a connection of its own. */
void rig_ask(const char *address, const char *method, const char *path,
             const char *headers, const char *body, rig_answer *answer);

#endif
