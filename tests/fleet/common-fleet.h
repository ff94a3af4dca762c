/*
 * A whole fleet of real processes on loopback: platform, engines, plain
 * services, the proxy between all of them, and routers.
 */
#ifndef COMMON_FLEET_H
#define COMMON_FLEET_H

#include "common-process.h"

#define FLEET_ROUTERS 16
#define FLEET_ENGINES 64
#define FLEET_SERVICES 16
#define FLEET_ACCOUNTS 64
#define FLEET_NAME_SIZE 64
#define FLEET_TEXT_SIZE 2048

/* A policy of the load, not of routers: calls go to the services directly. */
#define FLEET_DIRECT "direct"

typedef struct fleet_account {
    char name[FLEET_NAME_SIZE];
    uint32_t weight;
    char limits[256]; /* further lines of its entries */
} fleet_account;

/* What a fleet consists of; zero takes the default. */
typedef struct fleet_shape {
    char programs[PROC_PATH_SIZE]; /* folder of the stand-ins */
    char daemon[PROC_PATH_SIZE];   /* the router's program */
    uint32_t routers;
    uint32_t zones;
    uint32_t zone_delay_us; /* one way, between zones */
    uint32_t engines;
    uint32_t engine_slots;
    uint32_t token_us;
    uint32_t prefill_us;
    uint32_t services;
    uint32_t service_slots;
    uint32_t service_time_us;
    uint32_t quantum;
    uint32_t urgent_credit;
    uint32_t output_weight;
    uint32_t hold_ms;
    uint32_t watch_ms; /* longest wait of a watch on the platform */
    bool ignores_fencing;
    char policy[FLEET_NAME_SIZE];          /* [mode] policy of the routers */
    char router_settings[FLEET_TEXT_SIZE]; /* further sections */
    fleet_account accounts[FLEET_ACCOUNTS];
    uint32_t account_count;
} fleet_shape;

typedef struct fleet_router {
    proc_process process;
    char name[FLEET_NAME_SIZE];
    char ip[HTTP_ADDRESS_SIZE];
    char callers[HTTP_ADDRESS_SIZE];
    char operator_address[HTTP_ADDRESS_SIZE];
    char peer[HTTP_ADDRESS_SIZE];       /* bound */
    char peer_proxy[HTTP_ADDRESS_SIZE]; /* listed */
    uint32_t zone;
    bool is_leaving;
} fleet_router;

typedef struct fleet_endpoint {
    proc_process process;
    char name[FLEET_NAME_SIZE];
    char listed[HTTP_ADDRESS_SIZE]; /* through the proxy */
    uint32_t zone;
    bool is_service;
    bool is_leaving;
    bool is_unlisted;
} fleet_endpoint;

typedef struct fleet_fleet {
    fleet_shape shape;
    char folder[PROC_PATH_SIZE];
    proc_process platform;
    proc_process proxy;
    fleet_router routers[FLEET_ROUTERS];
    fleet_endpoint endpoints[FLEET_ENGINES + FLEET_SERVICES];
    uint32_t endpoint_count; /* engines first, then services */
    uint64_t catalogue_revision;
    uint64_t lists_revision;
} fleet_fleet;

/* Start platform, endpoints and proxy, publish catalogue and lists, start
 * the routers and wait until all are ready. False says why on stderr. */
bool fleet_start(fleet_fleet *fleet, const fleet_shape *shape);

/* The same in steps: everything but the routers; one router. */
bool fleet_start_rest(fleet_fleet *fleet, const fleet_shape *shape);
bool fleet_start_router(fleet_fleet *fleet, uint32_t router);
bool fleet_wait_ready(fleet_fleet *fleet, uint32_t router,
                      uint64_t timeout_ms);

/* Kill everything that runs and remove the folder (kept when asked). */
void fleet_stop(fleet_fleet *fleet, bool keeps_folder);

/* True when a process of the fleet has logged a sanitizer's finding. */
bool fleet_has_findings(const fleet_fleet *fleet);

/* Publish a new revision of the catalogue or of the lists. */
bool fleet_publish_catalogue(fleet_fleet *fleet);
bool fleet_publish_lists(fleet_fleet *fleet);

/* The bearer key of an account, and the head lines that carry it. */
void fleet_format_key(char key[FLEET_NAME_SIZE], const char *account);

/* Tell a stand-in's admin port something; false when it failed. */
bool fleet_tell(const char *admin, const char *path, const char *json);

/* A number of a stand-in's counters, such as "accepted"; -1: none. */
long long fleet_count(const char *admin, const char *path, const char *name);

/* The value of a line of a router's /metrics; -1 when there is none. */
double fleet_metric(const fleet_fleet *fleet, uint32_t router,
                    const char *line);

/* The router that dispatches a pool's first shard; routers when none does. */
uint32_t fleet_dispatcher(const fleet_fleet *fleet, const char *pool);

/* A router's /v1/status; NULL when it does not answer. */
json_t *fleet_status(const fleet_fleet *fleet, uint32_t router);

/* The catalogue revision in force at a router; 0 when it does not answer. */
uint64_t fleet_revision(const fleet_fleet *fleet, uint32_t router);

/* How many live members a router sees. */
uint32_t fleet_members(const fleet_fleet *fleet, uint32_t router);

/* Start the load tool with keys of [load] and sections [flow NAME]; wait for
 * its end and read its report (NULL when it did not end). */
bool fleet_start_load(const fleet_fleet *fleet, proc_process *load,
                      const char *load_keys, const char *flows);
json_t *fleet_finish_load(const fleet_fleet *fleet, proc_process *load,
                          uint64_t timeout_ms);

/* Let no byte pass between two routers' peer links, or heal all. */
bool fleet_partition(fleet_fleet *fleet, uint32_t left, uint32_t right);
bool fleet_heal(fleet_fleet *fleet);

#endif
