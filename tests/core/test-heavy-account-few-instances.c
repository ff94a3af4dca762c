/*
 * A heavy account whose callers know one or few instances, each with little
 * CPU time. It gets at least half of what it requests or of what the best
 * served account gets, whichever is less.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "small-fleet.h"

#define CALM_SECONDS 6

static const fleet_load heavy = {
    .per_second = {1500, 60, 60, 60, 60, 60, 60, 60},
    .tokens = 2400,
    .events = 20,
    .known_instances = 1,
    .cpu_share = 0.12,
    .length = 16 * LV_SECOND};

/* The least that account 0 got in six seconds, as a fraction of what was due
 * to it: the less of what it requested and of what the best served one got. */
static double
worst_fraction(const fleet_result *result)
{
    double worst = 1e9;

    for (int start = 2; start + CALM_SECONDS <= FLEET_WINDOWS; start++) {
        uint64_t requested = 0;
        uint64_t got[FLEET_ACCOUNTS] = {0};
        uint64_t best = 0;

        for (int i = start; i < start + CALM_SECONDS; i++) {
            requested += result->requested[i][0];
            for (int a = 0; a < FLEET_ACCOUNTS; a++) {
                got[a] += result->begun[i][a];
            }
        }
        for (int a = 1; a < FLEET_ACCOUNTS; a++) {
            best = got[a] > best ? got[a] : best;
        }
        best = best < requested ? best : requested;
        if (best > 0 && (double)got[0] / (double)best < worst) {
            worst = (double)got[0] / (double)best;
        }
    }
    return worst;
}

Test(heavy_account_few_instances, gets_half_of_what_the_best_served_gets)
{
    static const uint32_t known[] = {1, 2, 8};

    for (size_t i = 0; i < sizeof known / sizeof known[0]; i++) {
        fleet_load load = heavy;
        fleet_result result;

        load.known_instances = known[i];
        fleet_play(&load, &result);
        cr_log_info("%u instances: %.3f of what is due, %u callers left, "
                    "worst turn %llu ms",
                    known[i], worst_fraction(&result), result.left,
                    (unsigned long long)(result.worst_turn / LV_MILLISECOND));
        cr_expect_geq(worst_fraction(&result), 0.5, "%u instances: %.3f",
                      known[i], worst_fraction(&result));
    }
}

/* What the instances count as served is what the engines began, but for what a
 * late loop has not seen when its caller leaves. */
Test(heavy_account_few_instances, counts_what_engines_began)
{
    fleet_load load = heavy;
    fleet_result result;

    load.cpu_share = 1;
    fleet_play(&load, &result);
    for (int a = 0; a < FLEET_ACCOUNTS; a++) {
        cr_expect_eq(result.counted[a], result.began[a],
                     "account %d: counted %lld, began %lld", a,
                     (long long)result.counted[a], (long long)result.began[a]);
    }
}

/* Without the two remedies it gets less than half. */
Test(heavy_account_few_instances, remedies_are_what_it_takes)
{
    fleet_load load = heavy;
    fleet_result result;

    load.counts_unbegun = true;
    load.stays_in_rotation = true;
    fleet_play(&load, &result);
    cr_log_info("without remedies: %.3f of what is due",
                worst_fraction(&result));
    cr_expect_lt(worst_fraction(&result), 0.5);
}
