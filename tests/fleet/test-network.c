/*
 * Partitions, silent connections, and a platform that is down or stale,
 * under load on a fleet of real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>

#include "trial.h"

static trial_trial trial;

static void
stop(void)
{
    trial_stop(&trial);
}

static void
start(void)
{
    fleet_shape shape = trial_shape();

    snprintf(shape.router_settings, sizeof shape.router_settings,
             "[endpoints]\nconnect = 500ms\nfirst_byte = 5s\nidle = 2s\n"
             "[peers]\nheartbeat = 500ms\n");
    trial_start(&trial, &shape);
}

/* Router 0 on one side, the others on the other. */
static void
cut_off(uint32_t router)
{
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        if (i != router) {
            cr_assert(fleet_partition(&trial.fleet, router, i));
        }
    }
}

static void
expect_all_see_all(void)
{
    uint32_t routers = trial.fleet.shape.routers;

    for (uint32_t i = 0; i < routers; i++) {
        cr_expect(trial_wait_members(&trial, i, routers),
                  "router%u does not see all", i);
    }
}

Test(network, both_sides_of_a_partition_serve_and_rejoin, .fini = stop)
{
    uint32_t routers;

    start();
    routers = trial.fleet.shape.routers;
    trial_start_load(&trial, trial_mixed_flows);
    cut_off(0);
    cr_assert(trial_wait_members(&trial, 0, 1));
    for (uint32_t i = 1; i < routers; i++) {
        cr_assert(trial_wait_members(&trial, i, routers - 1));
    }
    for (uint32_t i = 0; i < routers; i++) {
        cr_expect(trial_wait_router(&trial, i, 10),
                  "router%u does not serve on its side", i);
    }
    cr_assert(fleet_heal(&trial.fleet));
    expect_all_see_all();
    for (uint32_t i = 0; i < routers; i++) {
        cr_expect(trial_wait_router(&trial, i, 5),
                  "router%u does not serve after the rejoin", i);
    }
    trial_finish_load(&trial);
}

Test(network, a_catalogue_changes_during_a_partition, .fini = stop)
{
    uint64_t revision;

    start();
    trial_start_load(&trial, trial_mixed_flows);
    cut_off(1);
    cr_assert(trial_wait_members(&trial, 1, 1));
    cr_assert(fleet_publish_catalogue(&trial.fleet));
    revision = trial.fleet.catalogue_revision;
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        cr_expect(trial_wait_revision(&trial, i, revision),
                  "router%u does not have the revision", i);
    }
    cr_assert(fleet_heal(&trial.fleet));
    expect_all_see_all();
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        cr_expect_eq(fleet_revision(&trial.fleet, i), revision,
                     "router%u went back", i);
    }
    trial_finish_load(&trial);
}

Test(network, connections_go_silent_while_new_ones_work, .fini = stop)
{
    start();
    trial_start_load(&trial, trial_mixed_flows);
    for (int i = 0; i < 2; i++) {
        cr_assert(fleet_tell(trial.fleet.proxy.admin, "/admin/fault",
                             "{\"silence\": true}"));
        for (uint32_t k = 0; k < trial.fleet.shape.routers; k++) {
            cr_expect(trial_wait_router(&trial, k, 5),
                      "router%u answers nothing more", k);
        }
    }
    expect_all_see_all();
    trial_finish_load(&trial);
}

Test(network, a_stale_platform_brings_no_old_catalogue_back, .fini = stop)
{
    uint64_t revision;

    start();
    cr_assert(fleet_tell(trial.fleet.platform.admin, "/admin/mode",
                         "{\"freeze\": true}"));
    cr_assert(fleet_publish_catalogue(&trial.fleet));
    revision = trial.fleet.catalogue_revision;
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        cr_assert(trial_wait_revision(&trial, i, revision));
    }
    cr_assert(fleet_tell(trial.fleet.platform.admin, "/admin/mode",
                         "{\"stale\": true}"));
    trial_start_load(&trial, trial_mixed_flows);
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        proc_kill(&trial.fleet.routers[i].process);
        cr_assert(fleet_start_router(&trial.fleet, i));
        cr_assert(fleet_wait_ready(&trial.fleet, i, TRIAL_WAIT_MS));
        cr_expect_eq(fleet_revision(&trial.fleet, i), revision,
                     "router%u was ready with an old catalogue", i);
    }
    expect_all_see_all();
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        cr_expect_eq(fleet_revision(&trial.fleet, i), revision);
    }
    trial_finish_load(&trial);
}

Test(network, the_platform_is_down_for_long_and_comes_back, .fini = stop)
{
    start();
    cr_assert(fleet_tell(trial.fleet.platform.admin, "/admin/mode",
                         "{\"down\": true}"));
    trial_start_load(&trial, trial_mixed_flows);
    cr_assert(trial_wait_progress(&trial, 100));
    cr_assert(fleet_tell(trial.fleet.platform.admin, "/admin/mode",
                         "{\"down\": false}"));
    cr_assert(fleet_publish_catalogue(&trial.fleet));
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        cr_expect(
            trial_wait_revision(&trial, i, trial.fleet.catalogue_revision),
            "router%u does not watch again", i);
    }
    trial_finish_load(&trial);
}
