/*
 * Fair shares and full use of a fleet of whole nodes on virtual time, and
 * planted mistakes that these checks must find.
 */
#include <criterion/criterion.h>
#include <stdlib.h>

#include "pump.h"

#define WARM_UP (4 * LV_SECOND)
#define SETTLE_TIME (2 * LV_SECOND)
#define WINDOW (20 * LV_SECOND)
#define PERMILLE 1000
#define GAP_PERMILLE 50   /* of the mean service, over the window */
#define BUSY_PERMILLE 980 /* of slot time, while work waits */
#define BUSY_FAULT_PERMILLE 950
#define STARVED_TIME (5 * LV_SECOND)
#define LATENCY_LIMIT (2 * LV_MILLISECOND)

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

static const share_case share_cases[] = {
    {"even", 4, 3, 64, 4, 0, LV_MILLISECOND, 0},
    {"half of the accounts at one router", 4, 3, 64, 4, 2, LV_MILLISECOND, 0},
    {"every account at one router", 8, 4, 64, 8, 1, LV_MILLISECOND, 0},
    {"sixteen accounts", 8, 10, 64, 16, 2, LV_MILLISECOND, 0},
    {"slow links", 4, 3, 64, 4, 2, LATENCY_LIMIT, 0},
    {"lost messages", 4, 3, 64, 4, 2, LV_MILLISECOND, 50},
    {"four shards", 4, 8, 2, 4, 2, LV_MILLISECOND, 0},
};

typedef struct share_result {
    int64_t gap;
    int64_t mean;
    uint64_t busy_permille;
    lv_time longest_gap;
} share_result;

static pump_pump *
open_case(const share_case *c, pump_mutation mutation)
{
    pump_settings settings;
    pump_pump *pump;

    pump_default_settings(&settings, 77);
    settings.nodes = c->nodes;
    settings.engines = c->engines;
    settings.shard_endpoints = c->shard_endpoints;
    settings.accounts = c->accounts;
    settings.skew = c->skew;
    settings.latency = c->latency;
    settings.cost_min = 100;
    settings.cost_max = 1000;
    settings.backlog = 20;
    settings.unsafe_permille = 0;
    settings.mutation = mutation;
    pump = pump_open(&settings);
    pump_run(pump, WARM_UP);
    pump->faults.drop_permille = c->drop_permille;
    pump_set_load(pump, true);
    pump_run(pump, SETTLE_TIME);
    return pump;
}

static share_result
measure(pump_pump *pump, lv_time window)
{
    int64_t before[PUMP_ACCOUNTS_MAX];
    int64_t least = INT64_MAX;
    int64_t most = 0;
    int64_t sum = 0;
    share_result result = {0};

    for (uint32_t a = 0; a < pump->settings.accounts; a++) {
        before[a] = pump_read_service(pump, a);
        pump->longest_gap[a] = 0;
        pump->last_start[a] = pump->now;
    }
    pump->idle_while_waiting = 0;
    pump->watched = 0;
    pump_run(pump, window);
    for (uint32_t a = 0; a < pump->settings.accounts; a++) {
        int64_t got = pump_read_service(pump, a) - before[a];
        lv_time quiet = pump->now - pump->last_start[a];

        least = got < least ? got : least;
        most = got > most ? got : most;
        sum += got;
        if (pump->longest_gap[a] > result.longest_gap) {
            result.longest_gap = pump->longest_gap[a];
        }
        if (quiet > result.longest_gap) {
            result.longest_gap = quiet;
        }
    }
    result.gap = most - least;
    result.mean = sum / pump->settings.accounts;
    if (pump->watched > 0) {
        result.busy_permille =
            PERMILLE - PERMILLE * pump->idle_while_waiting / pump->watched;
    }
    return result;
}

static int64_t
bound_of(const pump_pump *pump, const share_case *c)
{
    bool has_shards = c->engines > c->shard_endpoints;
    lv_time report = 100 * LV_MILLISECOND;
    disp_bound_input input = {
        .largest_request = pump->settings.cost_max + 10,
        .slot_rate = LV_SECOND / pump->settings.unit_time,
        .slots = c->engines * pump->settings.engine_slots,
        .weight = 1,
        .quantum = 200,
        .urgent_credit = 0,
        .view_delay = (has_shards ? 3 : 1) * report + 2 * c->latency,
    };

    return (int64_t)disp_fairness_bound(&input);
}

Test(share, gap_is_bounded_and_slots_are_busy)
{
    for (size_t i = 0; i < sizeof share_cases / sizeof share_cases[0]; i++) {
        const share_case *c = &share_cases[i];
        pump_pump *pump = open_case(c, PUMP_MUTATE_NOTHING);
        share_result first = measure(pump, WINDOW);
        share_result second = measure(pump, WINDOW);

        cr_log_info("%s: gap %ld and %ld of mean %ld, bound %ld, busy %lu",
                    c->name, (long)first.gap, (long)second.gap,
                    (long)first.mean, (long)bound_of(pump, c),
                    (unsigned long)first.busy_permille);
        cr_expect_leq(first.gap, bound_of(pump, c), "%s", c->name);
        cr_expect_leq(second.gap, bound_of(pump, c), "%s, later", c->name);
        cr_expect_leq(first.gap * PERMILLE, first.mean * GAP_PERMILLE,
                      "%s: gap %ld of mean %ld", c->name, (long)first.gap,
                      (long)first.mean);
        cr_expect_leq(second.gap * PERMILLE, second.mean * GAP_PERMILLE,
                      "%s: later gap %ld of mean %ld", c->name,
                      (long)second.gap, (long)second.mean);
        cr_expect_geq(first.busy_permille, BUSY_PERMILLE, "%s: busy %lu",
                      c->name, (unsigned long)first.busy_permille);
        cr_expect_lt(first.longest_gap, STARVED_TIME, "%s", c->name);
        cr_expect_eq(pump->violations, 0, "%s: %s", c->name,
                     pump->first_violation);
        pump_close(pump);
    }
}

Test(share, slots_stay_busy_when_the_dispatcher_dies)
{
    pump_pump *pump = open_case(&share_cases[1], PUMP_MUTATE_NOTHING);
    uint32_t dispatcher = pump_find_dispatcher(pump);
    share_result result;

    cr_assert_lt(dispatcher, pump->settings.nodes);
    pump_run(pump, LV_SECOND);
    pump_kill(pump, dispatcher);
    result = measure(pump, WINDOW);
    cr_expect_geq(result.busy_permille, BUSY_FAULT_PERMILLE, "busy %lu",
                  (unsigned long)result.busy_permille);
    cr_expect_eq(pump->violations, 0, "%s", pump->first_violation);
    pump_close(pump);
}

Test(share, slots_stay_busy_when_a_router_is_paused)
{
    pump_pump *pump = open_case(&share_cases[1], PUMP_MUTATE_NOTHING);
    uint32_t dispatcher = pump_find_dispatcher(pump);
    uint32_t paused = (dispatcher + 1) % pump->settings.nodes;
    share_result result;

    pump_pause(pump, paused);
    result = measure(pump, 5 * LV_SECOND);
    pump_resume(pump, paused);
    cr_expect_geq(result.busy_permille, BUSY_FAULT_PERMILLE,
                  "busy %lu in the pause",
                  (unsigned long)result.busy_permille);
    result = measure(pump, WINDOW - 5 * LV_SECOND);
    cr_expect_geq(result.busy_permille, BUSY_FAULT_PERMILLE,
                  "busy %lu after it", (unsigned long)result.busy_permille);
    cr_expect_eq(pump->violations, 0, "%s", pump->first_violation);
    pump_close(pump);
}

Test(share, planted_mistakes_are_found)
{
    const share_case *c = &share_cases[1];
    pump_pump *pump = open_case(c, PUMP_MUTATE_HOARD);
    share_result result = measure(pump, WINDOW);

    cr_expect_gt(result.gap * PERMILLE, result.mean * GAP_PERMILLE,
                 "recalls were not heard, and the gap is still %ld of %ld",
                 (long)result.gap, (long)result.mean);
    pump_close(pump);
    pump = open_case(c, PUMP_MUTATE_STARVE);
    result = measure(pump, WINDOW);
    cr_expect_geq(result.longest_gap, STARVED_TIME,
                  "demand was not heard, and the longest wait is %lu",
                  (unsigned long)result.longest_gap);
    pump_close(pump);
}
