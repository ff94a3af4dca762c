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

static void
write_endpoints(FILE *file, const fleet_fleet *fleet, bool is_service)
{
    fprintf(file, "%s = ", is_service ? "services" : "engines");
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        if (fleet->endpoints[i].is_service == is_service) {
            fprintf(file, "%s,", fleet->endpoints[i].process.admin);
        }
    }
    fputs("\n", file);
}

static bool
write_plan(const bench_bench *bench, const char *path)
{
    const fleet_fleet *fleet = &bench->fleet;
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        perror(path);
        return false;
    }
    fputs("[load]\nrouters = ", file);
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        fprintf(file, "%s,", fleet->routers[i].callers);
    }
    fputs("\noperators = ", file);
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        fprintf(file, "%s,", fleet->routers[i].operator_address);
    }
    fputs("\npids = ", file);
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        fprintf(file, "%d,", (int)fleet->routers[i].process.pid);
    }
    fprintf(file, "\nplatform = %s\n", fleet->platform.admin);
    write_endpoints(file, fleet, false);
    write_endpoints(file, fleet, true);
    fprintf(file, "%s%s", bench->load_text, bench->flow_text);
    return fclose(file) == 0;
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
run_load(bench_bench *bench, bench_run *run, const char *folder)
{
    static proc_command command;
    proc_process load;
    char log[PROC_PATH_SIZE];
    uint64_t start = usage_now_us();
    bool is_ended = false;

    snprintf(log, sizeof log, "%.400s/load.log", folder);
    proc_command_init(&command, "");
    command.count = 0;
    proc_command_add(&command, "%.400s/fleet-load", bench->programs);
    proc_command_add(&command, "%.400s/plan.ini", folder);
    proc_command_add(&command, "--json=%.400s/report.json", folder);
    proc_command_add(&command, "--csv=%.400s/requests.csv", folder);
    if (!proc_start(&load, &command, log)) {
        return false;
    }
    while (!is_ended && usage_now_us() - start < LOAD_END_MS * 1000ULL) {
        bench_do_faults(bench, run, (double)(usage_now_us() - start) / 1e6);
        is_ended = copy_output(&load);
    }
    is_ended = is_ended && proc_wait_end(&load, LOAD_EXIT_MS);
    proc_kill(&load);
    return is_ended;
}

static bool
do_run(bench_bench *bench, bench_run *run)
{
    fleet_fleet *fleet = &bench->fleet;
    char path[PROC_PATH_SIZE];
    bool is_done;

    snprintf(bench->shape.policy, sizeof bench->shape.policy, "%s",
             run->policy);
    fprintf(stderr, "run %s (%s)\n", run->name, run->policy);
    is_done = fleet_start(fleet, &bench->shape);
    if (is_done) {
        proc_sleep_ms(WARM_MS);
        snprintf(path, sizeof path, "%.400s/plan.ini", fleet->folder);
        is_done =
            write_plan(bench, path) && run_load(bench, run, fleet->folder);
        snprintf(path, sizeof path, "%.400s/report.json", fleet->folder);
        run->report = json_load_file(path, 0, NULL);
        is_done = is_done && run->report != NULL;
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
