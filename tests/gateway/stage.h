/*
 * A whole gateway on one loop with stand-ins for the platform's store and
 * for endpoints, and a caller that sees every byte. Everything runs in the
 * test's own process on loopback.
 */
#ifndef STAGE_H
#define STAGE_H

#include "lavender-gateway/gate.h"

#define STAGE_ENDPOINTS 3
#define STAGE_WATCHES 8

/* What an endpoint does with a request. */
typedef enum stage_mode {
    STAGE_ANSWER,       /* a whole sealed answer */
    STAGE_STREAM,       /* six events, a few milliseconds apart */
    STAGE_STREAM_CUT,   /* three and a half events, then the end */
    STAGE_STREAM_STALL, /* three events, then nothing */
    STAGE_SHED,         /* 503, not run */
    STAGE_ERROR,        /* 500 of its own, sealed */
    STAGE_RESET,        /* runs it, and the connection is reset */
    STAGE_MUTE,         /* runs it and never answers */
    STAGE_SHORT,        /* half of the announced body */
    STAGE_UNSEALED,     /* 200 without a seal */
    STAGE_UNFRAMED,     /* a body that ends with the connection */
    STAGE_UNFRAMED_CUT, /* the same, reset on the way */
    STAGE_TWICE,        /* the answer, and another one behind it */
    STAGE_STRAY_FIRST,  /* somebody else's answer, then the right one */
    STAGE_GARBAGE       /* bytes that are no answer */
} stage_mode;

typedef struct stage_endpoint {
    uv_tcp_t listener;
    struct stage_stage *stage;
    stage_mode mode;
    char address[LV_ADDRESS_SIZE];
    char name[LV_NAME_SIZE];
    uint32_t requests;  /* whole ones that came */
    uint32_t runs;      /* that it began to work on */
    uint32_t cancelled; /* whose connection closed before the end */
    uint32_t connections;
    char last_head[4096]; /* names and values, a line each */
    char last_target[256];
    char last_body[4096];
    size_t last_body_size;
} stage_endpoint;

typedef struct stage_stage {
    uv_loop_t loop;
    uv_timer_t timer;
    gate_server gate;
    front_server store;
    front_connection *watches[STAGE_WATCHES];
    char watch_subjects[STAGE_WATCHES]; /* 'c' or 'e' */
    uint64_t revision;
    uint32_t config_version;
    const char *config_extra; /* further routes, JSON */
    bool is_store_down;       /* 503 to everything */
    uint32_t store_calls;
    stage_endpoint endpoints[STAGE_ENDPOINTS];
    uint32_t endpoint_count;
    bool is_unlisted[STAGE_ENDPOINTS];
    char callers[LV_ADDRESS_SIZE];
    bool has_timed_out;
} stage_stage;

/* Routes of host "h": /once/ (not idempotent), /many/ (idempotent, two
 * attempts), /stream/ (at most once), /resume/ (a stream that may be
 * resumed), /open/ (public, idempotent). Key "k1" belongs to "north". All
 * endpoints serve all routes. */
void stage_start(stage_stage *stage, uint32_t endpoints);
void stage_stop(stage_stage *stage);

/* Publish what changed: a new version, or other endpoints. */
void stage_publish(stage_stage *stage);

/* Run the loop until the condition holds or the time is over. */
typedef bool stage_condition(stage_stage *stage, void *context);
bool stage_run_until(stage_stage *stage, stage_condition *condition,
                     void *context, uint64_t milliseconds);
void stage_run_for(stage_stage *stage, uint64_t milliseconds);

typedef struct stage_call {
    io_stream stream; /* first member */
    const char *bytes;
    size_t size;
    buf_buffer answer; /* raw */
    bool is_open;
    bool is_ended;   /* the other side closed */
    bool is_reset;   /* with a reset */
    bool is_closed;  /* the handle is gone */
    bool has_failed; /* no connection */
} stage_call;

/* Send bytes to the gateway; the answer gathers while the loop runs. */
void stage_send(stage_stage *stage, stage_call *call, const char *bytes,
                size_t size);
void stage_hang_up(stage_stage *stage, stage_call *call);

/* Send a request, wait for its answer, and close. Path "/once/1" and the
 * like; headers are further lines. */
typedef struct stage_answer {
    uint32_t status; /* 0: none */
    bool is_whole;   /* by its own framing */
    bool is_reset;
    char head[4096];
    char body[8192];
} stage_answer;
void stage_ask(stage_stage *stage, const char *path, const char *headers,
               stage_answer *answer);

#endif
