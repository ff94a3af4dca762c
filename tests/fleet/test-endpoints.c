/*
 * Endpoints that leave or are lost, streams that are cut, and an account that
 * floods, on a fleet of real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>

#include "trial.h"

#define LEAVE_MS 3000 /* after that it receives nothing new */
#define QUIET_MS 2000

static trial_trial trial;

static void
stop(void)
{
    trial_stop(&trial);
}

static const char *
admin_of(uint32_t endpoint)
{
    return trial.fleet.endpoints[endpoint].process.admin;
}

static long long
accepted(uint32_t endpoint)
{
    return fleet_count(admin_of(endpoint), "/admin/counts", "accepted");
}

Test(endpoints, one_that_leaves_receives_nothing_new, .fini = stop)
{
    fleet_shape shape = trial_shape();
    long long before;
    trial_result result;

    trial_start(&trial, &shape);
    trial_start_load(&trial, trial_mixed_flows);
    trial.fleet.endpoints[0].is_leaving = true;
    cr_assert(fleet_publish_lists(&trial.fleet));
    proc_sleep_ms(LEAVE_MS);
    before = accepted(0);
    cr_assert(trial_wait_progress(&trial, 30));
    proc_sleep_ms(QUIET_MS);
    cr_expect_eq(accepted(0), before, "new work after 3 s");
    result = trial_finish_load(&trial);
    cr_expect_eq(result.incomplete, 0);
    cr_expect_eq(result.cut, 0);
    cr_expect_eq(result.unknown, 0);
}

Test(endpoints, one_is_lost_in_the_middle_of_streams, .fini = stop)
{
    fleet_shape shape = trial_shape();

    trial_start(&trial, &shape);
    trial_start_load(&trial, trial_mixed_flows);
    proc_kill(&trial.fleet.endpoints[0].process);
    cr_assert(trial_wait_progress(&trial, 40),
              "no progress with the engine that is left");
    trial_finish_load(&trial);
}

Test(endpoints, the_service_of_bookings_is_lost, .fini = stop)
{
    fleet_shape shape = trial_shape();

    shape.services = 2;
    trial_start(&trial, &shape);
    trial_start_load(&trial, trial_mixed_flows);
    cr_assert(
        fleet_tell(admin_of(shape.engines), "/admin/fault", "{\"drop\": 5}"));
    cr_assert(trial_wait_progress(&trial, 40));
    trial_finish_load(&trial);
    cr_expect_eq(
        fleet_count(admin_of(shape.engines), "/admin/runs", "doubles"), 0);
}

Test(endpoints, streams_that_are_cut_resume, .fini = stop)
{
    static const char flows[] =
        "[flow a]\naccount = account0\nkey = key-of-account0\n"
        "class = urgent\ncount = 6\nstream = 100\ntokens = 30\n";
    fleet_shape shape = trial_shape();
    trial_result result;
    long long resumed = 0;

    trial_start(&trial, &shape);
    trial_start_load(&trial, flows);
    for (uint32_t i = 0; i < 8; i++) {
        cr_assert(fleet_tell(admin_of(i % shape.engines), "/admin/fault",
                             "{\"cut_after\": 700}"));
        cr_assert(trial_wait_progress(&trial, 10));
    }
    result = trial_finish_load(&trial);
    for (uint32_t i = 0; i < shape.engines; i++) {
        resumed += fleet_count(admin_of(i), "/admin/counts", "resumed");
    }
    cr_expect_gt(resumed, 0);
    cr_expect_eq(result.whole, result.requests,
                 "a stream was not whole after its resume");
}

Test(endpoints, an_engine_that_refuses_is_tried_elsewhere, .fini = stop)
{
    static const char flows[] =
        "[flow a]\naccount = account0\nkey = key-of-account0\n"
        "class = urgent\ncount = 4\nstream = 30\n";
    fleet_shape shape = trial_shape();
    trial_result result;

    trial_start(&trial, &shape);
    trial_start_load(&trial, flows);
    cr_assert(fleet_tell(admin_of(0), "/admin/fault", "{\"refuse\": 5}"));
    cr_assert(trial_wait_progress(&trial, 60));
    result = trial_finish_load(&trial);
    cr_expect_eq(result.whole + result.not_run, result.requests);
}

Test(endpoints, a_flood_by_one_account_hurts_no_other, .fini = stop)
{
    static const char flows[] =
        "[flow flood]\naccount = account0\nkey = key-of-account0\n"
        "class = deferrable\nmode = open\nrate = 400\nburst = 40\n"
        "tokens = 5\n"
        "[flow calm]\naccount = account1\nkey = key-of-account1\n"
        "class = deferrable\ncount = 3\ntokens = 20\nstream = 30\n"
        "[flow desk]\naccount = account2\nkey = key-of-account2\n"
        "class = urgent\ncount = 2\ntokens = 20\nstream = 30\n";
    fleet_shape shape = trial_shape();
    json_t *report;
    json_t *accounts;
    trial_result result;
    double flood;
    double calm;

    for (uint32_t i = 0; i < 4; i++) {
        snprintf(shape.accounts[i].name, FLEET_NAME_SIZE, "account%u", i);
    }
    shape.account_count = 4;
    snprintf(shape.accounts[0].limits, sizeof shape.accounts[0].limits,
             "requests_per_second = 100\nburst = 20\nwaiting = 50\n");
    trial_start(&trial, &shape);
    trial_start_load(&trial, flows);
    cr_assert(trial_wait_progress(&trial, 600));
    result = trial_finish_load(&trial);
    cr_expect_gt(result.not_run, 0, "the flood was not refused");
    cr_expect_eq(result.whole + result.not_run, result.requests);
    report = trial_read_report(&trial);
    accounts = json_object_get(json_object_get(report, "engines"), "accounts");
    flood = json_number_value(
        json_object_get(json_object_get(accounts, "account0"), "units"));
    calm = json_number_value(
        json_object_get(json_object_get(accounts, "account1"), "units"));
    json_decref(report);
    cr_expect_gt(calm, 0);
    cr_expect_lt(flood, 8 * calm, "the flood got %.0f, the calm account %.0f",
                 flood, calm);
}
