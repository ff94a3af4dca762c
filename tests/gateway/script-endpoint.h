/*
 * A fake endpoint that answers each request with the bytes of a script, at the
 * times and with the end of the connection that the script names.
 */
#ifndef SCRIPT_ENDPOINT_H
#define SCRIPT_ENDPOINT_H

#include "stage.h"

#define SCRIPT_STEPS 8

typedef enum script_end {
    SCRIPT_GO_ON, /* the connection stays open */
    SCRIPT_CLOSE,
    SCRIPT_RESET
} script_end;

typedef struct script_step {
    uint64_t after_ms; /* since the step before */
    const char *text;  /* "$" stands for the id of the request's attempt; NULL:
                          the script is over */
    uint32_t repeat;   /* how often the step is done; 0: once */
    script_end end;
} script_step;

typedef struct script_endpoint {
    uv_tcp_t listener;
    const script_step *steps;      /* SCRIPT_STEPS at most */
    const script_step *next_steps; /* of all requests after the first at any
                                      endpoint; NULL: the same */
    uint32_t *order;               /* of the requests at all endpoints */
    uint32_t pair_requests;        /* of both, in the first of a pair */
    struct script_connection *open;
    uint32_t requests;
    uint32_t connections;
    bool answers_heads;      /* answers a request without reading its body */
    bool is_killed_at_close; /* the process ends at SCRIPT_CLOSE */
    bool is_killed;
    uv_tcp_t refusal;     /* holds the port then */
    char last_head[4096]; /* "name: value" lines of the last request */
} script_endpoint;

/* Listen in place of the fake endpoint `row` of a stage that is prepared but
 * whose gateway is not started. */
void script_start(stage_fixture *stage, uint32_t row, script_endpoint *script);

/* The process ends as its next script closes a connection: the other
 * connections end too, and new ones are refused. */
void script_end_after_answer(script_endpoint *script);

/* Call it before stage_stop. */
void script_stop(stage_fixture *stage, script_endpoint *script);

/* Start a stage with two of them and its gateway: the first request is
 * answered with `steps` and, if there are `next_steps`, all others with those.
 */
void script_start_pair(stage_fixture *stage, script_endpoint pair[2],
                       const script_step *steps,
                       const script_step *next_steps);
void script_stop_pair(stage_fixture *stage, script_endpoint pair[2]);

/* Start the gateway and wait until it has listed all endpoints. */
void script_start_gateway(stage_fixture *stage);

#endif
