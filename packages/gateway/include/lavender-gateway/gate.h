/*
 * The gateway: one instance of the fleet in front of the platform's endpoints.
 * It reads the routing configuration and the list of endpoints from the
 * platform's store, exchanges its load with the other instances, admits
 * callers' requests and forwards them to endpoints.
 */
#ifndef LAVENDER_GATEWAY_GATE_H
#define LAVENDER_GATEWAY_GATE_H

#include "lavender-gateway/back.h"
#include "lavender-gateway/crash.h"
#include "lavender-gateway/front.h"
#include "lavender-gateway/peers.h"
#include "lavender-gateway/registry.h"
#include "lavender-gateway/relay.h"
#include "lavender-gateway/store.h"
#include "lavender-net/log.h"
#include "lavender/admission.h"
#include "lavender/budget.h"
#include "lavender/cached.h"
#include "lavender/fetch.h"
#include "lavender/metrics.h"
#include "lavender/overload.h"
#include "lavender/tally.h"
#include "lavender/versions.h"

/* Names of the instance and its zone, as long as a line of the settings file
 * can hold. */
#define GATE_NAME_SIZE 192

/* The settings file. Addresses are IP:PORT. */
typedef struct gate_settings {
    char instance[GATE_NAME_SIZE];
    char zone[GATE_NAME_SIZE];
    char caller_address[LV_ADDRESS_SIZE];    /* listens for callers */
    char readiness_address[LV_ADDRESS_SIZE]; /* listens for probes and
                                                metrics */
    char peer_address[LV_ADDRESS_SIZE];      /* UDP, for the other instances */
    char seeds[512]; /* peer addresses, separated by commas */
    char store_address[LV_ADDRESS_SIZE];
    store_settings store;
    lv_time lost_answer_bound; /* from a lost answer of the store until the
                                  change that it told is in force */
    lv_time leave_limit;  /* from the withdrawal of an endpoint to the last
                             request that it may receive */
    lv_time expiry_grace; /* time after an outage of the store in which
                             entries that expired during it are still used */
    peers_settings peers;
    back_settings endpoint_connections;
    eng_settings engine;
    adm_settings admission;
    fch_settings fetch;
    bud_settings budget;
    uint32_t budget_thousandths; /* the ratio of the budget */
    lv_time quota_window;        /* over which account shares are computed */
    uint32_t max_connections;    /* of callers */
    uint32_t max_descriptors;    /* of the process; 0: unknown */
    uint32_t memory_megabytes;   /* that the process may use; 0: unknown */
    lv_time shutdown_grace; /* the process must exit this long after SIGTERM */
    lv_time min_drain; /* callers are still served this long after SIGTERM */
    lv_time drain_reserve; /* the process exits this long before the end of the
                              grace */
    uint32_t prefill_rate; /* prompt tokens per ms that an engine prefills */
    uint32_t cold_overshoot_thousandths; /* requests of any second at a cold
                                            endpoint, relative to its rate */
    uint32_t cold_slack;                 /* requests beyond that */
    log_settings log;
} gate_settings;

/* Sets every default; settings without a default are zeroed. */
void gate_default_settings(gate_settings *settings);

/* Reads and checks a settings file, or a text that error messages call `name`.
 * Every error is appended to `errors`; returns false if there was one. */
bool gate_read_settings(gate_settings *settings, const char *path,
                        err_list *errors);
bool gate_read_settings_text(gate_settings *settings, const char *name,
                             const char *text, err_list *errors);

/* Calls `visit` for every key of the settings file; tests check with it that
 * all keys are documented. */
typedef void gate_key_visitor(void *context, const char *section,
                              const char *key);
void gate_for_each_key(gate_key_visitor *visit, void *context);

typedef struct gate_server gate_server;

/* The retry budget of one service. */
typedef struct gate_service_budget {
    lv_id id; /* of the service */
    bud_budget budget;
} gate_service_budget;

/* Counters since the start of the process; see the metrics. */
typedef struct gate_counts {
    uint64_t requests;
    uint64_t served;
    uint64_t refused;
    uint64_t failed;
    uint64_t caller_disconnects; /* callers that disconnected before the end */
    uint64_t retries;
    uint64_t stalls;          /* attempts set aside because their endpoint was
                                 silent */
    uint64_t stalls_resumed;  /* of these, continued because no other endpoint
                                 answered first */
    uint64_t leaving_notices; /* of endpoints, in their answers */
    uint64_t peer_leaving_notices;           /* the same, of peers */
    uint64_t backoffs;                       /* that endpoints asked for */
    uint64_t invalid_retry_after;            /* of endpoints; ignored */
    uint64_t limit_notices;                  /* answers that name a limit */
    uint64_t invalid_limits;                 /* the same, not valid; ignored */
    uint64_t quarantine_refused;             /* for a block in quarantine */
    uint64_t computed_origins[VER_VERDICTS]; /* of resumed streams that no
                                                instance knew */
    uint64_t cached_origins; /* of these, by what endpoints have cached */
    uint64_t quarantined_requests_refused;
    uint64_t evacuations;         /* of zones */
    uint64_t kept_from_evacuated; /* requests decided again, as the zone of
                                     their endpoint is evacuated */
    uint64_t cold_denials;        /* as an endpoint was cold */
    uint64_t cold_grants;         /* as its coordinator */
    uint64_t cold_refusals;       /* the same, denied */
    uint64_t invalid_cold_times;  /* of endpoints */
    uint64_t fetch_decisions[FCH_REASONS]; /* by attempts that were started */
    uint64_t fetch_tokens;                 /* expected of these fetches */
    uint64_t speed_changes;                /* of endpoints, as logged */
    uint64_t store_renewals; /* requests sent again, as peers named a later
                                change than the store had told here */
} gate_counts;

/* Calls at a time. */
#define GATE_CACHED_CALLS_MAX 8

typedef struct gate_cached_call gate_cached_call;

/* What endpoints say that they have cached. They are asked when a stream is
 * taken up that may have begun before this instance started and that nobody
 * knows: each until it has answered, in a few rounds. */
typedef struct gate_cached {
    cch_table blocks;
    map_table answered; /* endpoints, by id */
    bool is_asking;     /* a round is in progress */
    uint32_t rounds;
    lv_time round_at;      /* the last one began */
    uint64_t list_version; /* of the endpoints then */
    lv_handle next_row;
    uint32_t asked;
    uint32_t block_count;
    gate_cached_call *calls[GATE_CACHED_CALLS_MAX]; /* NULL: free */
} gate_cached;

struct gate_server {
    uv_loop_t *loop;
    const char *settings_path; /* reloaded, see gate_init; or NULL */
    gate_settings settings;
    lv_time base_watch_wait; /* wait of a watch in a small fleet */
    const wire_ops *wire;
    eng_table endpoints;
    shr_shares shares;
    qtn_table quarantine; /* of prompt blocks */
    uint64_t *block_ids;  /* of the prompt that is looked at */
    uint32_t block_ids_capacity;
    qtn_table request_quarantine; /* by digest */
    org_table origins;            /* of streams */
    bool is_list_outdated; /* the store is missed, while peers reach it */
    bool is_store_away;    /* it is missed here and by half of the instances */
    ver_history versions;  /* of services */
    ver_change *past_changes; /* of the list, while they are read */
    uint32_t past_change_count;
    bool is_past_known; /* the past was read and recorded in `versions` */
    gate_cached cached; /* at endpoints */
    loc_state zones;
    tal_counter requests_by_zone; /* of this instance and of the endpoint */
    tal_counter bytes_by_zone;
    crash_detector crashes; /* of endpoints */
    evc_set evacuation;     /* of zones */
    peers_state peers;
    reg_registry registry;
    store_feed feeds[WIRE_SUBJECT_COUNT];
    rly_relay relay; /* of the feeds, for instances of this zone */
    struct sockaddr_in elected_relay; /* the reader that was chosen last */
    lv_time elected_at;               /* since then the same one */
    lv_time relayless_since;          /* no relay can be used; 0: one can */
    bool is_reader_awaited;           /* as no reader reaches the store */
    lv_time attempt_spread;           /* of own attempts meanwhile */
    lv_time behind_since[WIRE_SUBJECT_COUNT]; /* peers name a later change;
                                                 0: they do not */
    uint64_t renewed_for[WIRE_SUBJECT_COUNT]; /* the change that the pending
                                                 request was renewed for */
    front_memory memory; /* of callers' bytes, on all listeners */
    front_server callers;
    front_server readiness;
    back_pool endpoint_pool;  /* connections to endpoints */
    rt_table *config;         /* in force; NULL until one was read */
    uint64_t config_era;      /* of the store, when it was read */
    lv_time config_named_at;  /* since then peers have a newer version; 0: they
                                 do not */
    bool is_config_confirmed; /* it was as new as the peers' at some time */
    bool is_config_awaited;   /* unready until a newer version arrives */
    lv_time copy_expires_at; /* older copies are believed then; 0: none seen */
    bool has_relisted_copy;  /* since then */
    gate_service_budget *service_budgets;
    uint32_t service_budget_count;
    struct gate_request *requests; /* unfinished ones, and finished ones that
                                      are not freed yet; oldest first */
    struct gate_request *last_request;
    uint32_t request_count;
    bool has_pending_updates; /* queued requests must be decided again */
    lv_time queue_decided_at; /* last decision outside the timer */
    ovl_detector overload;    /* overloaded: not ready, and refusals close
                                 connections */
    lv_time worst_delay;      /* of the timer, since it was logged */
    lv_time delay_logged_at;
    lv_time cold_viewed_at; /* latest look at who coordinates cold endpoints */
    bool is_draining;
    lv_time drain_since;
    uint64_t prng_state;        /* of gate_random */
    uint32_t last_grant_number; /* of the latest grant request */
    uv_timer_t timer;
    uv_prepare_t prepare;
    uv_signal_t signals[3];
    lv_time connections_checked_at;
    lv_time settings_checked_at;
    int64_t settings_modified_ns; /* modification time of the file */

    /* From receipt to the first output: the head of a plain answer or the
     * first data of a stream. */
    met_histogram first_output_times[RT_KINDS];
    met_histogram prediction_errors; /* delay of the first output after its
                                        predicted time */
    met_histogram tick_delays;       /* of the timer, beyond its period */
    tal_counter ends_by_reason;      /* by kind, outcome and reason */
    tal_counter ends_by_account;     /* by account and outcome */
    gate_counts counts;
};

/* Starts to listen and to read the store. `wire` and `settings_path`, which
 * may be NULL, must outlive the gateway. On SIGHUP, or when the settings file
 * changes, its seeds and admission settings come into force. Returns false
 * with `error` set; then the process must exit, since what was opened is not
 * closed. */
bool gate_init(gate_server *gate, uv_loop_t *loop, const wire_ops *wire,
               const gate_settings *settings, const char *settings_path,
               err_error *error);

/* Runs until drained after SIGTERM or SIGINT. Returns false if requests were
 * unfinished at the end of the grace period. */
bool gate_run(gate_server *gate);

/* Ends unfinished requests, closes every handle and releases everything. */
void gate_finish(gate_server *gate);

#endif
