#include "pump-share.h"

#include <criterion/criterion.h>

#define WARM_UP (4 * LV_SECOND)
#define SETTLE_TIME (2 * LV_SECOND)

pump_pump *
share_open(const share_case *c, pump_mutation mutation)
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

share_result
share_measure(pump_pump *pump, lv_time window)
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
        result.busy_permille = SHARE_PERMILLE - SHARE_PERMILLE *
                                                    pump->idle_while_waiting /
                                                    pump->watched;
    }
    return result;
}

static int64_t
bound_of(const pump_pump *pump, const share_case *c)
{
    bool has_shards = c->engines > c->shard_endpoints;
    lv_time report = 100 * LV_MILLISECOND;
    disp_bound_input input = {
        .max_request_cost = pump->settings.cost_max + 10,
        .max_slot_rate = LV_SECOND / pump->settings.unit_time,
        .slots = c->engines * pump->settings.engine_slots,
        .min_weight = 1,
        .quantum = 200,
        .urgent_credit = 0,
        .recall_delay = (has_shards ? 3 : 1) * report + 2 * c->latency,
    };

    return (int64_t)disp_fairness_bound(&input);
}

void
share_check(const share_case *c)
{
    pump_pump *pump = share_open(c, PUMP_MUTATE_NOTHING);
    share_result first = share_measure(pump, SHARE_WINDOW);
    share_result second = share_measure(pump, SHARE_WINDOW);
    int64_t bound = bound_of(pump, c);

    cr_log_info("%s: gap %ld and %ld of mean %ld, bound %ld, busy %lu",
                c->name, (long)first.gap, (long)second.gap, (long)first.mean,
                (long)bound, (unsigned long)first.busy_permille);
    cr_expect_leq(first.gap, bound, "%s", c->name);
    cr_expect_leq(second.gap, bound, "%s, later", c->name);
    cr_expect_leq(first.gap * SHARE_PERMILLE, first.mean * SHARE_GAP_PERMILLE,
                  "%s: gap %ld of mean %ld", c->name, (long)first.gap,
                  (long)first.mean);
    cr_expect_leq(second.gap * SHARE_PERMILLE,
                  second.mean * SHARE_GAP_PERMILLE,
                  "%s: later gap %ld of mean %ld", c->name, (long)second.gap,
                  (long)second.mean);
    cr_expect_geq(first.busy_permille, SHARE_BUSY_PERMILLE, "%s: busy %lu",
                  c->name, (unsigned long)first.busy_permille);
    cr_expect_lt(first.longest_gap, SHARE_STARVED_TIME, "%s", c->name);
    cr_expect_eq(pump->violations, 0, "%s: %s", c->name,
                 pump->first_violation);
    pump_close(pump);
}
