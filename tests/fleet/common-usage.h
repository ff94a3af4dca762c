/*
 * What an endpoint records of its own work, in intervals of 100 ms on the
 * machine's monotonic clock: busy slot time, and per account busy slot time
 * and service units.
 */
#ifndef COMMON_USAGE_H
#define COMMON_USAGE_H

#include <jansson.h>
#include <stdint.h>

#define USAGE_INTERVAL_US 100000
#define USAGE_INTERVALS 6000 /* ten minutes; later ones are not recorded */
#define USAGE_ACCOUNTS 64
#define USAGE_NAME_SIZE 64

typedef struct usage_account {
    char name[USAGE_NAME_SIZE];
    uint32_t running;
    uint64_t changed_us;
    float *busy_ms;
    float *units;
} usage_account;

typedef struct usage_usage {
    uint32_t slots;
    uint64_t first; /* interval number of index 0 */
    usage_account accounts[USAGE_ACCOUNTS];
    uint32_t account_count;
} usage_usage;

/* Microseconds on the machine's monotonic clock. */
uint64_t usage_now_us(void);

void usage_init(usage_usage *usage, uint32_t slots);
void usage_finish(usage_usage *usage);

/* The account of an identity "ACCOUNT/NUMBER". */
usage_account *usage_find_account(usage_usage *usage, const char *identity);

/* A request of the account began (+1) or ended (-1) to use a slot. */
void usage_change_running(usage_usage *usage, usage_account *account,
                          int change);

void usage_add_units(usage_usage *usage, usage_account *account, double units);

/* {"slots", "first", "now", "accounts": {NAME: {"busy": [], "units": []}}} */
json_t *usage_to_json(usage_usage *usage);

#endif
