/*
 * The gateway: one instance of the fleet in front of the platform's
 * endpoints. It reads routes and endpoints from the platform's store, shares
 * what it has in flight with the other instances, admits callers' requests
 * and carries them to the endpoints.
 */
#ifndef LAVENDER_GATEWAY_GATE_H
#define LAVENDER_GATEWAY_GATE_H

#include "lavender-gateway/back.h"
#include "lavender-gateway/front.h"
#include "lavender-gateway/peers.h"
#include "lavender-gateway/registry.h"
#include "lavender-gateway/store.h"
#include "lavender-net/log.h"
#include "lavender/admission.h"
#include "lavender/budget.h"
#include "lavender/metrics.h"
#include "lavender/tally.h"

typedef struct gate_settings {
    char instance[LV_NAME_SIZE];
    char zone[LV_NAME_SIZE];
    char caller_address[LV_ADDRESS_SIZE];
    char readiness_address[LV_ADDRESS_SIZE];
    char peer_address[LV_ADDRESS_SIZE];
    char seeds[512]; /* addresses, separated by commas */
    char store_address[LV_ADDRESS_SIZE];
    store_settings store;
    lv_time lost_answer_bound; /* a watch whose answer was lost ends */
    lv_time leave_bound; /* from an endpoint's leaving to the last request */
    lv_time lapse_grace; /* entries that lapsed while the store was away */
    peers_settings peers;
    back_settings back;
    eng_settings engine;
    adm_settings admission;
    bud_settings budget;
    uint32_t budget_percent; /* the ratio of the budget, in percent */
    lv_time quota_window;
    uint32_t connections;  /* of callers, at most */
    uint32_t descriptors;  /* that the process may open; 0: not said */
    lv_time grace;         /* from SIGTERM until the process must be gone */
    lv_time drain_least;   /* from SIGTERM, callers still come */
    lv_time drain_reserve; /* before the end of the grace */
    uint32_t prefill_rate; /* prompt tokens that an engine reads in a ms */
    log_settings log;
} gate_settings;

/* Every default, and nothing that has none. */
void gate_default_settings(gate_settings *settings);

/* Read and check a settings file; all errors are added to the list. */
bool gate_read_settings(gate_settings *settings, const char *path,
                        err_list *errors);
bool gate_read_settings_text(gate_settings *settings, const char *name,
                             const char *text, err_list *errors);

/* Visit every key of the settings: for the documentation's tests. */
typedef void gate_key_visitor(void *context, const char *section,
                              const char *key);
void gate_for_each_key(gate_key_visitor *visit, void *context);

typedef struct gate_server gate_server;

/* The retry budget of one service. */
typedef struct gate_service {
    lv_id id;
    bud_budget budget;
} gate_service;

typedef struct gate_counts {
    uint64_t requests;
    uint64_t served;
    uint64_t refused;
    uint64_t failed;
    uint64_t caller_disconnects;
    uint64_t repeats;
} gate_counts;

struct gate_server {
    uv_loop_t *loop;
    const char *settings_path; /* read again on SIGHUP or a change */
    gate_settings settings;
    lv_time store_wait; /* of a watch in a small fleet */
    const wire_ops *wire;
    eng_table endpoints;
    shr_shares shares;
    peers_state peers;
    reg_registry registry;
    store_feed feeds[WIRE_SUBJECT_COUNT];
    front_server callers;
    front_server readiness;
    back_pool back;
    rt_table *config; /* NULL until one is known */
    gate_service *services;
    uint32_t service_count;
    struct gate_request *requests; /* all in hand, the oldest first */
    struct gate_request *last_request;
    uint32_t request_count;
    bool has_news;       /* held requests may be decided anew */
    lv_time held_at;     /* they last were */
    lv_time ticked_at;   /* the timer's last turn */
    uint32_t late_ticks; /* turns in a row that came far too late */
    bool is_draining;
    lv_time drain_since;
    uint64_t prng_state;
    uint32_t last_ask; /* number of the latest question to a keeper */
    uv_timer_t timer;
    uv_prepare_t prepare;
    uv_signal_t signals[3];
    lv_time connections_checked_at;
    lv_time settings_checked_at;
    int64_t settings_changed;      /* time of change of the file, in ns */
    met_histogram waits[RT_KINDS]; /* from receipt to the first piece */
    met_histogram errors;          /* first piece later than predicted */
    tal_tally ends_by_reason;  /* of requests, by kind, outcome and reason */
    tal_tally ends_by_account; /* the same by account and outcome */
    gate_counts counts;
};

bool gate_init(gate_server *gate, uv_loop_t *loop, const wire_ops *wire,
               const gate_settings *settings, const char *settings_path,
               err_error *error);

/* Run until drained; false when requests were cut by the end of the grace. */
bool gate_run(gate_server *gate);

void gate_finish(gate_server *gate);

#endif
