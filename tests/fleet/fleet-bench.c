/*
 * Experiment runner: for each run of an experiment it starts a fleet of real
 * processes, sends the load, does the faults, and gathers the figures.
 */
#include <argp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common-usage.h"
#include "part-fleet-bench.h"

#define STEP_MS 20
#define LOAD_END_MS 900000
#define LOAD_EXIT_MS 10000
#define WARM_MS 500

enum option_key {
    OPTION_RESULTS = 256,
    OPTION_KEEP
};

static const struct argp_option options[] = {
    {"programs", 'p', "FOLDER", 0, "Where the stand-ins are (.)", 0},
    {"daemon", 'd', "PROGRAM", 0, "The router (./lavenderd)", 0},
    {"results", OPTION_RESULTS, "FOLDER", 0, "Write CSV files there", 0},
    {"keep", OPTION_KEEP, NULL, 0, "Keep logs and settings in /tmp", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    bench_bench *bench = state->input;

    switch (key) {
    case 'p':
        bench->programs = argument;
        break;
    case 'd':
        bench->daemon = argument;
        break;
    case OPTION_RESULTS:
        bench->results = argument;
        break;
    case OPTION_KEEP:
        bench->keeps_folder = true;
        break;
    case ARGP_KEY_ARG:
        bench->path = argument;
        break;
    case ARGP_KEY_END:
        if (bench->path == NULL) {
            argp_error(state, "name an experiment in INI");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* Pass on what the load tool prints; true at its end. */
static bool
copy_output(const proc_process *process)
{
    struct pollfd wait = {.fd = process->output, .events = POLLIN};
    char bytes[4096];
    ssize_t count;

    while (poll(&wait, 1, STEP_MS) > 0) {
        count = read(process->output, bytes, sizeof bytes);
        if (count <= 0) {
            return true;
        }
        fwrite(bytes, 1, (size_t)count, stdout);
        fflush(stdout);
    }
    return false;
}

static bool
run_load(bench_bench *bench, bench_run *run)
{
    proc_process load;
    uint64_t start = usage_now_us();
    bool is_ended = false;

    if (!fleet_start_load(&bench->fleet, &load, bench->load_text,
                          bench->flow_text)) {
        return false;
    }
    while (!is_ended && usage_now_us() - start < LOAD_END_MS * 1000ULL) {
        bench_do_faults(bench, run, (double)(usage_now_us() - start) / 1e6);
        is_ended = copy_output(&load);
    }
    run->report = fleet_finish_load(&bench->fleet, &load, LOAD_EXIT_MS);
    return run->report != NULL;
}

static bool
do_run(bench_bench *bench, bench_run *run)
{
    fleet_fleet *fleet = &bench->fleet;
    bool is_done;

    snprintf(bench->shape.policy, sizeof bench->shape.policy, "%s",
             run->policy);
    fprintf(stderr, "run %s (%s)\n", run->name, run->policy);
    is_done = fleet_start(fleet, &bench->shape);
    if (is_done) {
        proc_sleep_ms(WARM_MS);
        is_done = run_load(bench, run);
    }
    if (bench->keeps_folder || !is_done) {
        fprintf(stderr, "kept %s\n", fleet->folder);
    }
    fleet_stop(fleet, bench->keeps_folder || !is_done);
    return is_done;
}

int
main(int argc, char **argv)
{
    static bench_bench bench = {.programs = ".", .daemon = "./lavenderd"};
    static const struct argp argp = {
        options,
        parse_option,
        "EXPERIMENT",
        "Run an experiment on a fleet of real processes on loopback."
        "\vThe experiment is INI: [fleet] its shape, [account NAME] weight, "
        "[load] and [flow NAME] as in fleet-load, [run NAME] policy = "
        "leases|local-fair|local-fifo and faults = AT VERB ARGUMENT; ... with "
        "kill, restart, pause, continue ROUTER|dispatcher, partition N "
        "(routers below N from the others), heal, silence, cut, "
        "platform-down, platform-up, leave ENDPOINT, catalogue.",
        NULL,
        NULL,
        NULL};
    int failures = 0;

    argp_parse(&argp, argc, argv, 0, NULL, &bench);
    bench_read(&bench);
    for (uint32_t i = 0; i < bench.run_count; i++) {
        if (!do_run(&bench, &bench.runs[i])) {
            fprintf(stderr, "run %s failed\n", bench.runs[i].name);
            failures++;
        }
    }
    bench_print_summary(&bench);
    if (bench.results != NULL && !bench_write_results(&bench)) {
        failures++;
    }
    for (uint32_t i = 0; i < bench.run_count; i++) {
        json_decref(bench.runs[i].report);
    }
    return failures > 0 ? 1 : 0;
}
