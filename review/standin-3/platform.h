/*
 * The users' platform: its store, and the gateways that it starts.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define PLATFORM_GATEWAYS_MAX 8

/* Starts the store on a free port of 127.0.0.1. */
void platform_start_store(void);

/* Writes an item; its value is JSON. */
void platform_put(const char *key, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void platform_remove(const char *key);

/* Writes a configuration with one route, for streams that may be resumed, and
 * one service, whose runners have so many slots. */
void platform_put_chat_route(uint32_t slots);

/* While it is away, the store answers 503 and writes are refused. Returns
 * whether a write would be taken. */
void platform_set_away(bool is_away);
bool platform_is_away(void);

typedef struct platform_gateway {
    pid_t pid;
    uint16_t callers;
    uint16_t readiness;
    uint16_t peer;
    char settings[256];
    char log[256];
} platform_gateway;

extern platform_gateway platform_gateways[PLATFORM_GATEWAYS_MAX];

/* Starts the gateways with settings as deploy/settings.ini renders them for
 * the deployment fjordmat-prod, and waits until all are ready. `program` is
 * that of deploy/system.toml. */
void platform_start_gateways(uint32_t count, const char *program,
                             const char *folder);
void platform_start_gateway(uint32_t number);
void platform_kill_gateway(uint32_t number);
bool platform_is_ready(uint32_t number);

/* Ends all gateways. Returns false if one had ended by itself. */
bool platform_stop(void);

#endif
