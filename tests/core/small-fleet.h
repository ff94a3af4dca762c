/*
 * A fleet on virtual time whose instances have little CPU time, in front of
 * engines that prefill prompts one after the other. The callers of account 0
 * know few instances; those of the others are spread over all. Refused callers
 * come back once, and all leave when they hear nothing.
 */
#ifndef SMALL_FLEET_H
#define SMALL_FLEET_H

#include "lavender/admission.h"
#include "lavender/overload.h"
#include "lavender/shares.h"

#define FLEET_INSTANCES 16
#define FLEET_ENGINES 8
#define FLEET_ACCOUNTS 8
#define FLEET_WINDOWS 16

typedef struct fleet_load {
    uint32_t per_second[FLEET_ACCOUNTS];
    uint32_t tokens;          /* of a prompt */
    uint32_t events;          /* of a response */
    uint32_t known_instances; /* by the callers of account 0 */
    double cpu_share;         /* of each instance */
    lv_time length;
    bool
        counts_unbegun; /* runs that never began stay in the account's share */
    bool stays_in_rotation; /* also when overloaded */
} fleet_load;

typedef struct fleet_result {
    /* Tokens in each second, by when the request arrived first and when its
     * run began. */
    uint64_t requested[FLEET_WINDOWS][FLEET_ACCOUNTS];
    uint64_t begun[FLEET_WINDOWS][FLEET_ACCOUNTS];
    uint32_t left;                   /* callers that heard nothing */
    lv_time worst_turn;              /* of any instance's loop */
    int64_t counted[FLEET_ACCOUNTS]; /* served, by the instances' own counts */
    int64_t began[FLEET_ACCOUNTS];   /* served, as engines saw it */
} fleet_result;

void fleet_play(const fleet_load *load, fleet_result *result);

#endif
