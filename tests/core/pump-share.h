/*
 * Measuring fair shares and busy slots of a fleet of whole nodes on virtual
 * time.
 */
#ifndef PUMP_SHARE_H
#define PUMP_SHARE_H

#include "pump.h"

#define SHARE_WINDOW (20 * LV_SECOND)
#define SHARE_PERMILLE 1000
#define SHARE_GAP_PERMILLE 50   /* of the mean service, over the window */
#define SHARE_BUSY_PERMILLE 980 /* of slot time, while work waits */
#define SHARE_STARVED_TIME (5 * LV_SECOND)

typedef struct share_case {
    const char *name;
    uint32_t nodes;
    uint32_t engines;
    uint32_t shard_endpoints;
    uint32_t accounts;
    uint32_t skew;
    lv_time latency;
    uint32_t drop_permille;
} share_case;

typedef struct share_result {
    int64_t gap;
    int64_t mean;
    uint64_t busy_permille;
    lv_time longest_gap;
} share_result;

/* A fleet under full backlog, a little after the load began. */
pump_pump *share_open(const share_case *c, pump_mutation mutation);

/* What the accounts got over a length of time. */
share_result share_measure(pump_pump *pump, lv_time window);

/* Run a case for two windows and check it against the bound and the
 * targets. */
void share_check(const share_case *c);

#endif
