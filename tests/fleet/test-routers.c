/*
 * Routers of a fleet of real processes that end, stop, wake up, or are
 * replaced under load.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "trial.h"

#define PAUSE_MS 3000
#define END_MS 60000

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

    trial_start(&trial, &shape);
}

static uint32_t
other_than(uint32_t router)
{
    return (router + 1) % trial.fleet.shape.routers;
}

static void
require(bool holds, const char *what)
{
    trial_require(&trial, holds, what);
}

/* A router that dispatches model slots, or one that does not. */
static uint32_t
choose(bool is_dispatcher)
{
    uint32_t dispatcher = fleet_dispatcher(&trial.fleet, "models");

    require(dispatcher < trial.fleet.shape.routers, "nobody dispatches");
    return is_dispatcher ? dispatcher : other_than(dispatcher);
}

static void
restart(uint32_t router)
{
    require(fleet_start_router(&trial.fleet, router), "no new process");
    require(fleet_wait_ready(&trial.fleet, router, TRIAL_WAIT_MS),
            "the new process does not get ready");
    require(trial_wait_router(&trial, router, 5),
            "the new process answers nothing");
}

static void
kill_and_restart(bool is_dispatcher)
{
    uint32_t router;

    start();
    trial_start_load(&trial, trial_mixed_flows);
    router = choose(is_dispatcher);
    proc_kill(&trial.fleet.routers[router].process);
    require(trial_wait_progress(&trial, 40), "no progress after the kill");
    restart(router);
    trial_finish_load(&trial);
}

Test(routers, one_is_killed_and_restarts_with_empty_memory, .fini = stop)
{
    kill_and_restart(false);
}

Test(routers, the_dispatcher_is_killed, .fini = stop)
{
    kill_and_restart(true);
}

static void
pause_and_resume(bool is_dispatcher)
{
    const proc_process *process;
    uint32_t router;

    start();
    trial_start_load(&trial, trial_mixed_flows);
    router = choose(is_dispatcher);
    process = &trial.fleet.routers[router].process;
    proc_signal(process, SIGSTOP);
    require(trial_wait_progress(&trial, 20), "no progress while paused");
    proc_sleep_ms(PAUSE_MS);
    proc_signal(process, SIGCONT);
    require(trial_wait_router(&trial, router, 5),
            "the paused router answers nothing more");
    require(trial_wait_members(&trial, router, trial.fleet.shape.routers),
            "the paused router does not see all");
    trial_finish_load(&trial);
}

Test(routers, one_is_paused_and_wakes_late, .fini = stop)
{
    pause_and_resume(false);
}

Test(routers, the_dispatcher_is_paused_and_wakes_late, .fini = stop)
{
    pause_and_resume(true);
}

static void
drain(uint32_t router)
{
    proc_process *process = &trial.fleet.routers[router].process;

    proc_signal(process, SIGTERM);
    require(proc_wait_end(process, END_MS), "the router did not end");
    require(WIFEXITED(process->status) && WEXITSTATUS(process->status) == 0,
            "the router did not end well");
}

Test(routers, a_shutdown_under_load_cuts_nothing_off, .fini = stop)
{
    trial_result result;

    start();
    trial_start_load(&trial, trial_mixed_flows);
    drain(choose(true));
    cr_assert(trial_wait_progress(&trial, 20), "no progress after the end");
    result = trial_finish_load(&trial);
    cr_expect_eq(result.cut, 0);
    cr_expect_eq(result.incomplete, 0);
    cr_expect_eq(result.unknown, 0);
}

Test(routers, all_are_replaced_one_after_the_other, .fini = stop)
{
    trial_result result;

    start();
    trial_start_load(&trial, trial_mixed_flows);
    for (uint32_t i = 0; i < trial.fleet.shape.routers; i++) {
        drain(i);
        restart(i);
    }
    result = trial_finish_load(&trial);
    cr_expect_eq(result.cut, 0);
    cr_expect_eq(result.incomplete, 0);
}
