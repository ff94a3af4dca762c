/*
 * Load tool: bounded flows of requests through the routers, a check of each
 * answer, and the figures of the run.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-load.h"

enum option_key {
    OPTION_CSV = 256,
    OPTION_JSON,
    OPTION_QUIET
};

typedef struct load_options {
    const char *plan;
    const char *csv;
    const char *json;
    bool is_quiet;
} load_options;

static const struct argp_option options[] = {
    {"csv", OPTION_CSV, "FILE", 0, "Write a line for each request", 0},
    {"json", OPTION_JSON, "FILE", 0, "Write the report as JSON (- : stdout)",
     0},
    {"quiet", OPTION_QUIET, NULL, 0, "Print no table", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    load_options *to = state->input;

    switch (key) {
    case OPTION_CSV:
        to->csv = argument;
        break;
    case OPTION_JSON:
        to->json = argument;
        break;
    case OPTION_QUIET:
        to->is_quiet = true;
        break;
    case ARGP_KEY_ARG:
        to->plan = argument;
        break;
    case ARGP_KEY_END:
        if (to->plan == NULL) {
            argp_error(state, "name a plan in INI");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const char help[] =
    "Send a plan's requests through the routers and check each answer."
    "\vThe plan is INI. [load]: routers, engines, services, operators (lists "
    "of IP:PORT; engines and services by their admin port), pids, platform, "
    "seconds (at most 600), warm_up, window, drain, requests (at most "
    "1000000), timeout_ms, seed. [flow NAME]: account, key, class, weight, "
    "path, model, kind = engine|service, mode = closed|open, count, rate, "
    "burst, prompt (bytes), tokens, stream, tickets, hint (percent), start, "
    "stop (seconds), skew (weights of the routers). SIGTERM stops the flows "
    "early; what was sent is still waited for.\n"
    "It ends with 0 when no answer was wrong, no request that was said not to "
    "run ran, and no plain call ran twice; with 1 else.";

static int
write_json(const json_t *report, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdout : fopen(path, "w");

    if (file == NULL) {
        perror(path);
        return 2;
    }
    json_dumpf(report, file, JSON_INDENT(1) | JSON_SORT_KEYS);
    fputc('\n', file);
    if (file != stdout) {
        fclose(file);
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static load_load load;
    static const struct argp argp = {options, parse_option, "PLAN", help,
                                     NULL,    NULL,         NULL};
    load_options chosen = {0};
    json_t *report;
    int result = 2;

    argp_parse(&argp, argc, argv, 0, NULL, &chosen);
    load_read_plan(&load, chosen.plan);
    load.records = calloc(load.plan.requests + 1, sizeof *load.records);
    if (load.records == NULL) {
        fputs("[load] requests: not enough memory, write fewer\n", stderr);
        return 2;
    }
    uv_loop_init(&load.loop);
    http_client_init(&load.client, &load.loop, load.plan.timeout_ms);
    load_take_sample(&load, &load.before);
    load_run_flows(&load);
    load_take_sample(&load, &load.after);
    load_check_runs(&load);
    report = load_make_report(&load);
    if (chosen.csv != NULL) {
        load_write_csv(&load, chosen.csv);
    }
    if (chosen.json != NULL && write_json(report, chosen.json) != 0) {
        goto finish;
    }
    if (!chosen.is_quiet) {
        load_print_report(&load, report);
    }
    result = load.verdicts[LOAD_WRONG] > 0 || load.not_run_but_ran > 0 ||
             load.done_but_not_run > 0 || load.doubles > 0;
finish:
    json_decref(report);
    return result;
}
