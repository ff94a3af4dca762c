/*
 * The parts of the stand-in platform: values and who waits for them, files
 * they are read from, and the weight store.
 */
#ifndef PART_FLEET_PLATFORM_H
#define PART_FLEET_PLATFORM_H

#include <time.h>

#include "common-http.h"

#define KEYS_MAX 64
#define KEY_SIZE 64

typedef struct value_value {
    char *text;
    size_t size;
    uint64_t revision;
} value_value;

typedef struct key_key {
    char name[KEY_SIZE];
    value_value current;
    value_value frozen;  /* what a stale service goes on serving */
    value_value pending; /* lags behind */
    uint64_t due_ms;     /* of pending */
    struct timespec changed;
} key_key;

typedef struct watch_watch {
    struct config_service *platform;
    h2o_req_t *req;
    key_key *key;
    uint64_t after;
    uint64_t due_ms;
    struct watch_watch *next;
} watch_watch;

typedef struct weight_wait {
    struct config_service *platform;
    h2o_req_t *req;
    uint64_t due_ms;
    struct weight_wait *next;
} weight_wait;

typedef struct config_service {
    uv_loop_t loop;
    http_server server;
    http_server admin;
    uv_timer_t tick;
    uint64_t ticks;
    const char *listen;
    const char *admin_listen;
    const char *folder;
    uint64_t weight_rate;
    uint64_t weight_free_ms;
    key_key keys[KEYS_MAX];
    uint32_t key_count;
    watch_watch *watches;
    weight_wait *weights;
    bool is_down;
    bool is_stale;
    bool is_frozen;
    uint64_t lists_lag_ms;
    uint64_t second;
    uint64_t second_reads;
    uint64_t limit;
    uint64_t reads, watch_calls, refused, limited, missing, weight_calls;
} config_service;

/* Find a value by its key, or make it. */
key_key *platform_find_key(config_service *platform, const char *name,
                           bool is_made);

/* Give a key a new value; the lists may lag. */
void platform_set_key(config_service *platform, key_key *key, const char *text,
                      size_t size);

/* Read the files that have changed. */
void platform_load_folder(config_service *platform);

/* The weight store: take a request, answer those whose time has come. */
void platform_send_weights(config_service *platform, h2o_req_t *req);
void platform_try_weights(config_service *platform);

#endif
