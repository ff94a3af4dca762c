#include "common-usage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define US_PER_MS 1000.0

uint64_t
usage_now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

void
usage_init(usage_usage *usage, uint32_t slots)
{
    memset(usage, 0, sizeof *usage);
    usage->slots = slots;
    usage->first = usage_now_us() / USAGE_INTERVAL_US;
}

void
usage_finish(usage_usage *usage)
{
    for (uint32_t i = 0; i < usage->account_count; i++) {
        free(usage->accounts[i].busy_ms);
        free(usage->accounts[i].units);
    }
}

usage_account *
usage_find_account(usage_usage *usage, const char *identity)
{
    size_t length = strcspn(identity, "/");
    usage_account *account;

    for (uint32_t i = 0; i < usage->account_count; i++) {
        account = &usage->accounts[i];
        if (strlen(account->name) == length &&
            strncmp(account->name, identity, length) == 0) {
            return account;
        }
    }
    if (usage->account_count == USAGE_ACCOUNTS) {
        return &usage->accounts[0];
    }
    account = &usage->accounts[usage->account_count++];
    snprintf(account->name, sizeof account->name, "%.*s", (int)length,
             identity);
    account->busy_ms = calloc(USAGE_INTERVALS, sizeof(float));
    account->units = calloc(USAGE_INTERVALS, sizeof(float));
    if (account->busy_ms == NULL || account->units == NULL) {
        abort();
    }
    account->changed_us = usage_now_us();
    return account;
}

/* Spread the running time since the last change over the intervals. */
static void
settle(usage_usage *usage, usage_account *account)
{
    uint64_t now = usage_now_us();
    uint64_t from = account->changed_us;

    while (account->running > 0 && from < now) {
        uint64_t interval = from / USAGE_INTERVAL_US;
        uint64_t end = (interval + 1) * USAGE_INTERVAL_US;
        uint64_t to = end < now ? end : now;

        if (interval - usage->first < USAGE_INTERVALS) {
            account->busy_ms[interval - usage->first] +=
                (float)((double)(to - from) * account->running / US_PER_MS);
        }
        from = to;
    }
    account->changed_us = now;
}

void
usage_change_running(usage_usage *usage, usage_account *account, int change)
{
    settle(usage, account);
    account->running = (uint32_t)((int)account->running + change);
}

void
usage_add_units(usage_usage *usage, usage_account *account, double units)
{
    uint64_t index = usage_now_us() / USAGE_INTERVAL_US - usage->first;

    if (index < USAGE_INTERVALS) {
        account->units[index] += (float)units;
    }
}

static json_t *
numbers_to_json(const float *numbers, uint64_t count)
{
    json_t *array = json_array();

    for (uint64_t i = 0; i < count; i++) {
        json_array_append_new(array, json_real(numbers[i]));
    }
    return array;
}

json_t *
usage_to_json(usage_usage *usage)
{
    uint64_t now = usage_now_us();
    uint64_t count = now / USAGE_INTERVAL_US - usage->first + 1;
    json_t *accounts = json_object();

    if (count > USAGE_INTERVALS) {
        count = USAGE_INTERVALS;
    }
    for (uint32_t i = 0; i < usage->account_count; i++) {
        usage_account *account = &usage->accounts[i];

        settle(usage, account);
        json_object_set_new(accounts, account->name,
                            json_pack("{s:o, s:o}", "busy",
                                      numbers_to_json(account->busy_ms, count),
                                      "units",
                                      numbers_to_json(account->units, count)));
    }
    return json_pack("{s:I, s:I, s:I, s:o}", "slots", (json_int_t)usage->slots,
                     "first", (json_int_t)usage->first, "now", (json_int_t)now,
                     "accounts", accounts);
}
