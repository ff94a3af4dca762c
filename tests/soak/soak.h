/*
 * Fault soak: real gateways as separate processes behind a loopback proxy,
 * between callers, endpoints and a store that all live in this program. From
 * a seed it makes faults in series and overlapping, and judges while it runs
 * what callers and endpoints see. docs/TESTING.md lists what is judged.
 */
#ifndef SOAK_H
#define SOAK_H

#include <stdio.h>

#include "common-process.h"
#include "lavender-gateway/front.h"

#define SOAK_DAEMONS_MAX 32
#define SOAK_ENDPOINTS 4
#define SOAK_CALLERS_MAX 256
#define SOAK_FAULTS_MAX 8
#define SOAK_VERSIONS_MAX 256
#define SOAK_TICK_MS 5
#define SOAK_EVENTS 6 /* of a stream */
#define SOAK_ZONES 2  /* of endpoints */

/* What the platform's configuration of the soak says. */
#define SOAK_TIMEOUT (1500 * LV_MILLISECOND)
#define SOAK_LONG_TIMEOUT (5 * LV_SECOND) /* outlasts a silence */
#define SOAK_LEAVE_BOUND (2 * LV_SECOND)
#define SOAK_EVACUATION_BOUND (5 * LV_SECOND)
#define SOAK_CONFIG_BOUND (2 * LV_SECOND)

/* Maximum time from the end of a fault of the store, or of the link to it,
 * until missed changes are in force. */
#define SOAK_CONTACT (3 * LV_SECOND)

/* Added to these two bounds. */
#define SOAK_CONFIG_MARGIN (500 * LV_MILLISECOND)
#define SOAK_GRACE (8 * LV_SECOND)
#define SOAK_ATTEMPTS 2 /* of requests that may be repeated */
#define SOAK_BUDGET_PERCENT 20
#define SOAK_BUDGET_SLACK 20
#define SOAK_IDLE_LEAST (300 * LV_MILLISECOND)
#define SOAK_IDLE_LONGEST (60 * LV_SECOND)

/* An endpoint falls silent for so long and goes on. */
#define SOAK_SILENCE_LEAST (800 * LV_MILLISECOND)
#define SOAK_SILENCE_MOST (1500 * LV_MILLISECOND)
#define SOAK_SILENCE_GAP (2 * LV_SECOND)

/* The lowest limit of an endpoint, in requests a second. */
#define SOAK_LIMIT_LEAST 1

/* After the last fault, until every request is served again. */
#define SOAK_RECOVERY (4 * LV_SECOND)

/* Added to every bound: this program's own loop may be late on a machine that
 * does other work too. */
#define SOAK_MARGIN (1500 * LV_MILLISECOND)

typedef struct soak_world soak_world;

typedef enum soak_kind {
    SOAK_ONCE,   /* must not run twice */
    SOAK_MANY,   /* may be repeated */
    SOAK_STREAM, /* events; must not run twice */
    SOAK_LONG,   /* may be repeated, and has time for a silence */
    SOAK_RESUME, /* events that another endpoint may continue; the same time */
    SOAK_PROBE   /* to a route, or with a key, that one version alone has */
} soak_kind;

/* A mistake that is made on purpose, to show that it is found. */
typedef enum soak_plant {
    SOAK_PLANT_NONE,
    SOAK_PLANT_TWICE,  /* a request reaches its endpoint a second time */
    SOAK_PLANT_SWAP,   /* an endpoint sends another request's answer */
    SOAK_PLANT_CUT,    /* half of an answer, framed as whole */
    SOAK_PLANT_LIE,    /* a request that ran is said not to have run */
    SOAK_PLANT_LATE,   /* a gateway is paused, and nobody is told */
    SOAK_PLANT_LEAVE,  /* an endpoint leaves, and the store does not say so */
    SOAK_PLANT_OLD,    /* gateways begin anew with an old configuration */
    SOAK_PLANT_STALE,  /* the store holds a configuration back */
    SOAK_PLANT_BUDGET, /* gateways have settings that allow more repeats */
    SOAK_PLANT_WORK,   /* an endpoint works on after its caller has left */
    SOAK_PLANT_KEPT,   /* a request is never answered and stays in hand */
    SOAK_PLANT_SILENT, /* an endpoint breaks its answers after a silence */
    SOAK_PLANT_DROP,   /* callers do not heed "Connection: close" */
    SOAK_PLANT_CLOSE,  /* connections to a paused gateway are closed */
    SOAK_PLANT_WORD,   /* an endpoint that leaves does not say so */
    SOAK_PLANT_AGAIN,  /* a 503 does not say when to come again */
    SOAK_PLANT_LIMIT,  /* an endpoint does not name its limit */
    SOAK_PLANT_BLOCK,  /* requests do not name the block that is deadly */
    SOAK_PLANT_REPEAT, /* a deadly request has another body each time */
    SOAK_PLANT_MIXED,  /* the store shows one software version of all */
    SOAK_PLANT_ZONE,   /* the store does not show that a zone is evacuated */
    SOAK_PLANT_MALFORMED, /* a malformed answer arrives in proper form */
    SOAK_PLANT_COUNT
} soak_plant;

/* A request, from its sending on; kept until the end of the run. */
typedef struct soak_call {
    soak_kind kind;
    uint32_t daemon;
    uint32_t life;    /* of the daemon's process */
    uint32_t version; /* that a probe asks for */
    uint32_t runs;
    lv_time sent_at;
    lv_time first_at;    /* it is the first on its connection; 0: not yet */
    lv_time idle;        /* of the connection, before it was sent */
    lv_time left_at;     /* its caller closed; 0: did not */
    uint32_t ran_at;     /* endpoints, a bit for each */
    uint32_t noticed_by; /* 1 + the endpoint that answered, and leaves */
    uint32_t noticed_births;
    uint32_t limited_by;     /* 1 + the endpoint that named a limit */
    uint64_t deadly_block;   /* that it has; 0: none */
    uint64_t deadly_request; /* that it repeats; 0: none */
    bool is_resumed;         /* it takes up the stream of `resumes` */
    uint32_t resumes;        /* the call that brought the first event */
    uint32_t first_event;
    uint32_t software;     /* version of the stream's events; 0: none seen */
    bool is_treated_badly; /* by an endpoint */
    bool has_arrived;      /* all of it, on a connection not yet closed */
    bool is_refused;       /* said not to have run */
    bool is_over;
} soak_call;

/* ---- soak-link.c: the loopback proxy ---- */

typedef enum link_fault {
    LINK_GOOD,
    LINK_DELAYED,
    LINK_HOLDS_FORWARD, /* bytes from the connecting side stay here */
    LINK_HOLDS_BACK,
    LINK_SILENT, /* both */
    LINK_LOSES,  /* connections with traffic carry nothing from now on, also
                    after the fault */
    LINK_REFUSES /* open connections and new ones are reset */
} link_fault;

typedef struct link_pair link_pair;

typedef struct link_transport {
    uv_tcp_t listener;
    soak_world *world;
    struct sockaddr_in target;
    char address[LV_ADDRESS_SIZE]; /* that it listens on */
    link_fault fault;
    lv_time delay;
    lv_time good_since;
    link_pair *pairs;
} link_transport;

void link_start(link_transport *link, soak_world *world, const char *target);
void link_set(link_transport *link, link_fault fault, lv_time delay);
void link_tick(link_transport *link, lv_time now);
void link_stop(link_transport *link);

/* ---- soak-store.c: the platform's store ---- */

typedef enum store_mood {
    STORE_GOOD,
    STORE_DOWN,
    STORE_SLOW,
    STORE_STALE, /* changes are not shown */
    STORE_DEAF,  /* watches hear of no change; at the end they are cut */
    STORE_OLD    /* back from an older copy, in a new era: the operator has not
                    written the newest configuration again */
} store_mood;

#define STORE_WAITING_MAX 128

typedef struct soak_store {
    front_server server;
    store_mood mood;
    lv_time good_since;
    uint64_t revision;  /* shown; grows with each change */
    uint64_t era;       /* 0: not named */
    uint32_t version;   /* of the configuration, shown */
    lv_time idle_limit; /* likewise */
    bool is_shown[SOAK_ENDPOINTS];
    uint32_t evacuated;   /* 1 + the zone, shown; 0: none */
    lv_time evacuated_at; /* since then */
    struct {
        front_connection *connection; /* NULL: free */
        bool is_config;
        bool is_watch;
        bool is_deaf;   /* it arrived while the store was */
        uint64_t after; /* the revision that the watch begins after */
        lv_time arrived_at;
        lv_time due_at; /* a slow answer, or the end of a watch */
    } waiting[STORE_WAITING_MAX];
} soak_store;

void store_start(soak_world *world);
void store_set(soak_world *world, store_mood mood);
void store_show(soak_world *world); /* show what has changed */
void store_tick(soak_world *world, lv_time now);
void store_stop(soak_world *world);

/* ---- soak-endpoint.c ---- */

typedef enum endpoint_mood {
    ENDPOINT_GOOD,
    ENDPOINT_SHEDS,  /* not run */
    ENDPOINT_FAILS,  /* 500 */
    ENDPOINT_RESETS, /* in the middle of its answer */
    ENDPOINT_MUTE,
    ENDPOINT_SLOW,
    ENDPOINT_OVERLOADED, /* not run, and not to come again for some time */
    ENDPOINT_MALFORMED,  /* its answers are no proper HTTP */
    ENDPOINT_MOODS
} endpoint_mood;

#define SOAK_BACKOFFS 16

/* A 503 with Retry-After that was sent to a gateway. */
typedef struct soak_backoff {
    uint32_t life;
    uint32_t count; /* requests that came in its time */
    lv_time at;
    lv_time until;
} soak_backoff;

#define SOAK_ARRIVALS 1024

/* What an endpoint named as its limit, and who was told. */
typedef struct soak_limit {
    double per_second; /* 0: none */
    lv_time named_at;
    struct {
        uint32_t life;
        lv_time at; /* 0: not told */
    } told[SOAK_DAEMONS_MAX];
    lv_time arrivals[SOAK_ARRIVALS]; /* of gateways that were told */
    uint32_t next_arrival;
    bool is_exceeded;
} soak_limit;

typedef struct endpoint_work endpoint_work;

typedef struct soak_endpoint {
    front_server server;
    soak_world *world;
    uint32_t number;
    link_transport link;
    endpoint_mood mood;
    bool is_listed;
    lv_time changed_at; /* is_listed */
    lv_time silent_until;
    uint32_t births;
    uint32_t software; /* version */
    bool is_leaving;   /* by its own word */
    struct {
        uint32_t life;
        lv_time at; /* an answer that says so was passed on; 0: none */
    } told[SOAK_DAEMONS_MAX];
    soak_backoff backoffs[SOAK_DAEMONS_MAX][SOAK_BACKOFFS];
    soak_limit limit;
    lv_time up_at; /* it has crashed; 0: has not */
    endpoint_work *works;
} soak_endpoint;

void endpoint_start(soak_world *world, uint32_t number);

/* Write its name in the store, which changes with its software. */
void endpoint_write_name(const soak_endpoint *endpoint, char *name,
                         size_t size);
void endpoint_fall_silent(soak_endpoint *endpoint);
void endpoint_tick(soak_endpoint *endpoint, lv_time now);
void endpoint_stop(soak_endpoint *endpoint);

/* ---- soak-notice.c: what endpoints say of themselves ---- */

void notice_set_leaving(soak_endpoint *endpoint, bool is_leaving);
void notice_write(soak_endpoint *endpoint, uint32_t call, buf_buffer *to);
void notice_back_off(soak_endpoint *endpoint, uint32_t call, buf_buffer *to);

/* A caller got an endpoint's answer. */
void notice_passed_on(soak_world *world, uint32_t call);

/* A request has reached an endpoint. */
void notice_judge(soak_endpoint *endpoint, uint32_t call);

/* ---- soak-limit.c: endpoints that name a limit ---- */

void limit_set(soak_endpoint *endpoint, double limit);
void limit_write(const soak_endpoint *endpoint, uint32_t call, buf_buffer *to);

/* A caller got an endpoint's answer; a request has reached one. */
void limit_passed_on(soak_world *world, uint32_t call);
void limit_judge(soak_endpoint *endpoint, uint32_t call);

/* ---- soak-zone.c: zones of endpoints that the operator evacuates ---- */

uint32_t zone_of(const soak_endpoint *endpoint);
void zone_set_evacuated(soak_world *world, uint32_t zone, bool is_evacuated);

/* The store shows what has changed. */
void zone_show(soak_world *world);

/* Writes the key that the store shows; "": none. */
void zone_write_key(const soak_world *world, char *key, size_t size);

/* A request has reached an endpoint. */
void zone_judge(soak_endpoint *endpoint, uint32_t call);

/* ---- soak-block.c: blocks and requests that crash endpoints ---- */

typedef struct soak_culprit {
    uint64_t id; /* of the current or last one */
    bool is_deadly;
    uint32_t crashes;
    lv_time last_crash_at; /* that the bound counts from */
    lv_time bound_at;
    uint32_t late; /* requests after the bound */
} soak_culprit;

/* Begins with a new block or request, or ends. */
void block_set_deadly(soak_culprit *culprit, bool is_deadly);
void block_draw(soak_world *world, soak_call *call);
void block_write(const soak_world *world, uint32_t call, buf_buffer *to);
bool block_is_deadly(const soak_world *world, uint32_t call);
void block_crash(soak_endpoint *endpoint, uint32_t call);
void block_tick(soak_endpoint *endpoint, lv_time now);
void block_judge(soak_endpoint *endpoint, uint32_t call);

/* ---- soak-daemon.c: the gateways ---- */

typedef enum daemon_state {
    DAEMON_DOWN,
    DAEMON_RUNNING,
    DAEMON_PAUSED,
    DAEMON_STOPPING /* after SIGTERM */
} daemon_state;

typedef struct soak_daemon {
    soak_world *world;
    uint32_t number;
    proc_process process;
    uv_pipe_t output;
    bool has_output;
    bool has_logged; /* since its start, so that it handles signals */
    bool is_stopped; /* by SIGSTOP */
    FILE *log;
    link_transport store;
    char callers[LV_ADDRESS_SIZE];
    char readiness[LV_ADDRESS_SIZE];
    char peer[LV_ADDRESS_SIZE];
    daemon_state state;
    uint32_t life;
    lv_time begun_at;   /* this life */
    lv_time good_since; /* started, or went on after a pause */
    lv_time stop_at;    /* SIGTERM was sent */
    lv_time start_at;   /* it is to be started; 0: not */
    uint32_t version;   /* the newest whose effect was seen in this life */
    lv_time version_at;
    uint32_t served_lately; /* since the faults ended */
} soak_daemon;

void daemon_init(soak_world *world, uint32_t number);
void daemon_start(soak_daemon *daemon);
void daemon_pause(soak_daemon *daemon);
void daemon_go_on(soak_daemon *daemon);
void daemon_kill(soak_daemon *daemon);
void daemon_terminate(soak_daemon *daemon);
void daemon_reload(soak_daemon *daemon);
void daemon_tick(soak_daemon *daemon, lv_time now);

/* The value of a metric; -1 when it cannot be read. */
double daemon_metric(const soak_daemon *daemon, const char *name);

/* Since when nothing was done to it that its promises make exceptions for. */
lv_time daemon_calm_since(const soak_daemon *daemon);

/* Since when the process has been able to read the store without a fault. An
 * older copy of the store counts as a fault only for a process that started
 * after it was restored. */
lv_time daemon_reached_since(const soak_daemon *daemon);

/* ---- soak-request.c ---- */

#define SOAK_ANSWER_SIZE 1024

soak_kind request_draw_kind(soak_world *world);
void request_write(const soak_world *world, uint32_t call, buf_buffer *to);
bool request_is_answer(const soak_world *world, uint32_t call,
                       const char *text);

/* Notes what a caller got of a stream, and judges its versions. */
void request_note_events(soak_world *world, uint32_t call, const char *text);

/* Fills in a call that takes up the stream of one that was cut. Returns false
 * if there is nothing to take up. */
bool request_resume(const soak_world *world, uint32_t cut, const char *text,
                    soak_call *call);

/* ---- soak-caller.c ---- */

typedef struct soak_caller soak_caller;

void callers_start(soak_world *world);
void callers_close_paused(soak_world *world);
void callers_tick(soak_world *world, lv_time now);
void callers_stop(soak_world *world);

/* ---- soak-fault.c ---- */

typedef struct soak_fault {
    uint32_t kind; /* 0: none */
    uint32_t target;
    lv_time until;
    lv_time next_at; /* step of a series */
} soak_fault;

void faults_tick(soak_world *world, lv_time now);
void faults_end(soak_world *world);

void fault_kill_and_restart(soak_world *world, soak_daemon *daemon);
void fault_terminate(soak_daemon *daemon);
void fault_show_version(soak_world *world);

/* Replaces every other endpoint by one with new software, at its address. What
 * it runs goes on at the old one. */
void fault_release(soak_world *world);

/* ---- soak-plant.c: the mistake that is made on purpose ---- */

void plant_tick(soak_world *world, lv_time now);

/* ---- soak-judge.c ---- */

uint32_t judge_send(soak_world *world, const soak_call *call);
void judge_run(soak_world *world, uint32_t call, const soak_endpoint *at);
void judge_refused(soak_world *world, uint32_t call);
void judge_answer(soak_world *world, uint32_t call, uint32_t status,
                  bool is_right);
/* Its connection ended; status 0: its answer had not begun. */
void judge_cut(soak_world *world, uint32_t call, uint32_t status);

/* A request behind the last answer of its connection: it must not run when its
 * caller saw that answer and knows that it was the last. */
void judge_behind(soak_world *world, uint32_t call, bool is_last_known);
void judge_waiting(soak_world *world, uint32_t call, lv_time now);
void judge_working(soak_world *world, uint32_t call,
                   const soak_endpoint *endpoint, lv_time now);
void judge_end(soak_world *world);
void judge_fault(soak_world *world, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* The bodies that an endpoint gives and a caller expects. */
void judge_write_body(uint32_t call, char *text, size_t size);

/* ---- soak-main.c ---- */

struct soak_world {
    uv_loop_t loop;
    uv_timer_t timer;
    uint64_t random;
    uint64_t seed;
    const char *folder; /* of settings and logs */
    soak_plant plant;
    lv_time started_at;
    lv_time tick_at;
    lv_time longest_gap;  /* between two ticks */
    lv_time last_tick_at; /* what is read now came after this */
    lv_time length;       /* of the part with faults */
    bool is_calm;         /* the faults are over */
    lv_time calm_at;
    bool is_ending;
    uint32_t daemon_count;
    soak_daemon daemons[SOAK_DAEMONS_MAX];
    soak_endpoint endpoints[SOAK_ENDPOINTS];
    soak_store store;
    uint32_t version;   /* newest configuration, shown or not */
    lv_time idle_limit; /* in it */
    uint32_t evacuated; /* 1 + the zone, shown or not; 0: none */
    lv_time version_at[SOAK_VERSIONS_MAX];
    soak_culprit block;
    soak_culprit request;
    soak_caller *callers;
    uint32_t caller_count;
    soak_fault faults[SOAK_FAULTS_MAX];
    lv_time next_fault_at;
    soak_call *calls;
    uint32_t call_count;
    uint32_t call_capacity;
    uint32_t repeats;
    uint32_t answers;
    uint32_t refusals;
    uint32_t violations;
    uint32_t plants_found; /* violations that are the planted mistake */
    double peer_rate;      /* bytes of datagrams a second and gateway */
};

uint32_t soak_draw(soak_world *world, uint32_t below);
lv_time soak_draw_time(soak_world *world, lv_time least, lv_time most);
void soak_log(soak_world *world, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
