/*
 * A router that starts with empty memory while the platform is down.
 */
#include <criterion/criterion.h>

#include "trial.h"

static trial_trial trial;

static void
stop(void)
{
    trial_stop(&trial);
}

Test(start, a_router_starts_while_the_platform_is_down, .fini = stop)
{
    fleet_shape shape = trial_shape();

    trial_start(&trial, &shape);
    trial_start_load(&trial, trial_mixed_flows);
    cr_assert(fleet_tell(trial.fleet.platform.admin, "/admin/mode",
                         "{\"down\": true}"));
    proc_kill(&trial.fleet.routers[1].process);
    cr_assert(fleet_start_router(&trial.fleet, 1));
    cr_assert(fleet_wait_ready(&trial.fleet, 1, TRIAL_WAIT_MS),
              "the peers' catalogue was not taken");
    cr_assert(trial_wait_router(&trial, 1, 5));
    cr_expect_eq(fleet_revision(&trial.fleet, 1),
                 trial.fleet.catalogue_revision);
    trial_finish_load(&trial);
}
