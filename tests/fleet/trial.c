#include "trial.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common-usage.h"

#define STEP_MS 50
#define LOAD_MARGIN_MS 120000

const char trial_mixed_flows[] =
    "[flow a]\naccount = account0\nkey = key-of-account0\n"
    "class = deferrable\ncount = 10\nstream = 50\ntokens = 20\n"
    "skew = 4,1,1\n"
    "[flow b]\naccount = account1\nkey = key-of-account1\n"
    "class = deferrable\ncount = 6\nstream = 50\ntokens = 20\n"
    "skew = 1,4,1\n"
    "[flow c]\naccount = account2\nkey = key-of-account2\n"
    "class = urgent\ncount = 4\nstream = 50\ntokens = 20\n"
    "[flow d]\naccount = account3\nkey = key-of-account3\n"
    "kind = service\npath = /book/one\nclass = urgent\ncount = 6\n"
    "tickets = 50\n";

fleet_shape
trial_shape(void)
{
    fleet_shape shape = {
        .routers = 3, .engines = 2, .services = 1, .watch_ms = 5000};

    snprintf(shape.programs, sizeof shape.programs, "%s", FLEET_PROGRAMS);
    snprintf(shape.daemon, sizeof shape.daemon, "%s", FLEET_DAEMON);
    return shape;
}

void
trial_require(trial_trial *trial, bool holds, const char *what)
{
    if (!holds) {
        fprintf(stderr, "%s; logs are in %s\n", what, trial->fleet.folder);
        fleet_stop(&trial->fleet, true);
        trial->is_started = false;
        proc_kill(&trial->load);
    }
    cr_assert(holds, "%s", what);
}

void
trial_start(trial_trial *trial, const fleet_shape *shape)
{
    memset(trial, 0, sizeof *trial);
    trial->is_started = true;
    trial_require(trial, fleet_start(&trial->fleet, shape), "no fleet");
    for (uint32_t i = 0; i < trial->fleet.shape.routers; i++) {
        trial_require(trial,
                      trial_wait_members(trial, i, trial->fleet.shape.routers),
                      "the routers do not see each other");
    }
}

void
trial_start_load(trial_trial *trial, const char *flows)
{
    static const char keys[] =
        "seconds = 120\nwindow = 1000\ndrain = 60\nrequests = 50000\n"
        "seed = 5\ntimeout_ms = 60000\n";
    bool is_started;

    is_started = fleet_start_load(&trial->fleet, &trial->load, keys, flows);
    trial_require(trial, is_started, "no load");
    trial_require(trial, trial_wait_progress(trial, 10),
                  "the load gets no answer");
}

static long long
read_number(json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

static trial_result
read_result(json_t *report)
{
    json_t *verdicts = json_object_get(report, "verdicts");

    return (trial_result){
        .requests = read_number(report, "requests"),
        .whole = read_number(verdicts, "whole"),
        .not_run = read_number(verdicts, "not-run"),
        .incomplete = read_number(verdicts, "incomplete"),
        .unknown = read_number(verdicts, "unknown"),
        .cut = read_number(verdicts, "cut"),
        .no_answer = read_number(verdicts, "no-answer"),
        .pending = read_number(verdicts, "pending"),
        .wrong = read_number(verdicts, "wrong"),
        .not_run_but_ran = read_number(report, "not_run_but_ran"),
        .done_but_not_run = read_number(report, "done_but_not_run"),
        .doubles = read_number(report, "doubles"),
    };
}

trial_result
trial_finish_load(trial_trial *trial)
{
    trial_result result;

    proc_signal(&trial->load, SIGTERM);
    trial->report =
        fleet_finish_load(&trial->fleet, &trial->load, LOAD_MARGIN_MS);
    trial_require(trial, trial->report != NULL, "the load did not end");
    result = read_result(trial->report);
    json_decref(trial->report);
    fprintf(stderr,
            "requests %lld, whole %lld, not-run %lld, incomplete %lld, "
            "unknown %lld, cut %lld, no-answer %lld\n",
            result.requests, result.whole, result.not_run, result.incomplete,
            result.unknown, result.cut, result.no_answer);
    trial_require(trial, !fleet_has_findings(&trial->fleet),
                  "a sanitizer found something");
    trial_require(trial, result.wrong == 0, "an answer was wrong");
    trial_require(trial, result.pending == 0, "a request got no end");
    trial_require(trial, result.not_run_but_ran == 0, "said not-run, but ran");
    trial_require(trial, result.done_but_not_run == 0,
                  "said done, but did not run");
    trial_require(trial, result.doubles == 0, "a booking ran twice");
    trial_require(trial, result.whole > 0, "nothing was answered");
    return result;
}

json_t *
trial_read_report(const trial_trial *trial)
{
    char path[PROC_PATH_SIZE];

    snprintf(path, sizeof path, "%.400s/report.json", trial->fleet.folder);
    return json_load_file(path, 0, NULL);
}

void
trial_stop(trial_trial *trial)
{
    proc_kill(&trial->load);
    if (trial->is_started) {
        fleet_stop(&trial->fleet, false);
        trial->is_started = false;
    }
}

long long
trial_finished(const trial_trial *trial)
{
    long long sum = 0;

    for (uint32_t i = 0; i < trial->fleet.endpoint_count; i++) {
        const fleet_endpoint *endpoint = &trial->fleet.endpoints[i];

        if (!endpoint->is_service && endpoint->process.pid > 0) {
            sum += fleet_count(endpoint->process.admin, "/admin/counts",
                               "finished");
        }
    }
    return sum;
}

bool
trial_wait_progress(const trial_trial *trial, long long more)
{
    uint64_t end = usage_now_us() + TRIAL_WAIT_MS * 1000ULL;
    long long before = trial_finished(trial);

    while (usage_now_us() < end) {
        if (trial_finished(trial) >= before + more) {
            return true;
        }
        proc_sleep_ms(STEP_MS);
    }
    return false;
}

bool
trial_wait_router(const trial_trial *trial, uint32_t router, double more)
{
    static const char line[] = "lavender_finished_total{outcome=\"done\"}";
    uint64_t end = usage_now_us() + TRIAL_WAIT_MS * 1000ULL;
    double before = fleet_metric(&trial->fleet, router, line);

    while (usage_now_us() < end) {
        if (fleet_metric(&trial->fleet, router, line) >= before + more) {
            return true;
        }
        proc_sleep_ms(STEP_MS);
    }
    return false;
}

bool
trial_wait_revision(const trial_trial *trial, uint32_t router,
                    uint64_t revision)
{
    uint64_t end = usage_now_us() + TRIAL_WAIT_MS * 1000ULL;

    while (usage_now_us() < end) {
        if (fleet_revision(&trial->fleet, router) == revision) {
            return true;
        }
        proc_sleep_ms(STEP_MS);
    }
    return false;
}

bool
trial_wait_members(const trial_trial *trial, uint32_t router, uint32_t members)
{
    uint64_t end = usage_now_us() + TRIAL_WAIT_MS * 1000ULL;

    while (usage_now_us() < end) {
        if (fleet_members(&trial->fleet, router) == members) {
            return true;
        }
        proc_sleep_ms(STEP_MS);
    }
    return false;
}
