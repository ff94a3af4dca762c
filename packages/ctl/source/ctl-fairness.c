#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl-load.h"
#include "ctl-router-options.h"
#include "lavender/ledger.h"
#include "lavender/value.h"

#define DEFAULT_SPAN (20 * LV_SECOND)
#define MAX_SPAN (3600 * LV_SECOND)
#define MAX_LEDGER_LINES 1000000 /* of all routers, merged */
#define PERCENT 100.0

/* The command line and the data of one report. */
typedef struct fairness_report {
    ctl_router_options options;
    const char *files[CTL_MAX_FILES]; /* of the catalogue; the head first */
    size_t file_count;
    lv_time span; /* how much time the report covers */
    cat_catalogue catalogue;
    ledger_store ledger;
    lv_time window_length;
    uint64_t last_window;  /* the latest that all routers have closed */
    size_t response_count; /* ledgers whose first line was valid */
} fairness_report;

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    fairness_report *report = state->input;
    err_error error;

    switch (key) {
    case ARGP_KEY_INIT:
        state->child_inputs[0] = &report->options;
        return 0;
    case 'c':
        if (report->file_count == CTL_MAX_FILES) {
            argp_error(state, "more than %d files", CTL_MAX_FILES);
        }
        report->files[report->file_count++] = argument;
        return 0;
    case 's':
        if (!val_parse_duration(argument, LV_SECOND, MAX_SPAN, &report->span,
                                &error)) {
            argp_error(state, "--span: %s; %s", error.message, error.remedy);
        }
        return 0;
    case ARGP_KEY_END:
        if (report->file_count == 0) {
            argp_error(state, "name the catalogue's files with --catalogue, "
                              "the head first");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"catalogue", 'c', "FILE", 0,
     "A file of the catalogue; repeat the option for each file, the head "
     "first",
     0},
    {"span", 's', "TIME", 0, "Evaluate the last TIME (default 20s)", 0},
    {0},
};

static const struct argp_child children[] = {
    {&ctl_router_options_argp, 0, NULL, 0},
    {0},
};

static const struct argp parser = {
    options,
    parse_option,
    "ADDRESS...",
    "Show, for each pool, the service that each account received and was "
    "owed, and the fairness gap between backlogged accounts. The figures come "
    "only from the ledgers of all routers and from the catalogue. ADDRESS is "
    "the IP:PORT of a router's operator listener; name all routers.",
    children,
    NULL,
    NULL,
};

static uint64_t
get_count(json_t *object, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(object, key));
}

static lv_id
get_id(json_t *object, const char *key)
{
    const char *name = json_string_value(json_object_get(object, key));

    return name == NULL ? LV_ID_NONE : lv_hash_name(name);
}

static void
merge_line(fairness_report *report, json_t *object)
{
    ledger_line line = {
        .pool = get_id(object, "pool"),
        .account = get_id(object, "account"),
        .window = get_count(object, "window"),
        .service = json_integer_value(json_object_get(object, "service")),
        .backlogged_time = get_count(object, "backlogged_us"),
        .total_wait = get_count(object, "waited_us"),
        .started = (uint32_t)get_count(object, "started"),
        .finished = (uint32_t)get_count(object, "finished"),
        .refused = (uint32_t)get_count(object, "refused"),
    };

    ledger_merge(&report->ledger, &line);
}

/* Reads the first line of a ledger: the length of a window and the current
 * window, which is not closed yet. */
static bool
merge_header(fairness_report *report, json_t *header)
{
    uint64_t current = get_count(header, "current");

    if (json_integer_value(json_object_get(header, "window_us")) <= 0 ||
        current == 0) {
        return false;
    }
    report->window_length = get_count(header, "window_us");
    if (report->response_count == 0 || current - 1 < report->last_window) {
        report->last_window = current - 1;
    }
    report->response_count++;
    return true;
}

/* Parses a ledger, a JSON object in each line; cuts the text into lines.
 * Returns an array that the caller owns, or NULL when it is malformed. */
static json_t *
parse_ledger(char *text)
{
    json_t *lines = json_array();
    char *remaining = text;
    char *line;

    while ((line = strsep(&remaining, "\n")) != NULL) {
        if (line[0] != '\0' &&
            json_array_append_new(lines, json_loads(line, 0, NULL)) != 0) {
            json_decref(lines);
            return NULL;
        }
    }
    return lines;
}

/* Merges the ledger of one router; returns false and merges nothing when it is
 * malformed anywhere. */
static bool
merge_ledger(fairness_report *report, char *text)
{
    json_t *lines = parse_ledger(text);
    bool is_merged = merge_header(report, json_array_get(lines, 0));

    for (size_t i = 1; is_merged && i < json_array_size(lines); i++) {
        merge_line(report, json_array_get(lines, i));
    }
    json_decref(lines);
    return is_merged;
}

/* Requests the ledger of one router and merges it; prints the error and
 * returns false on failure. */
static bool
fetch_ledger(fairness_report *report, const char *address)
{
    ctl_response response;
    err_error error;
    bool is_ok;

    if (!ctl_send_request(address, "GET", "/v1/ledger",
                          report->options.timeout, &response, &error)) {
        ctl_print_error(address, &error);
        return false;
    }
    is_ok = merge_ledger(report, response.body);
    free(response.body);
    if (!is_ok) {
        err_set(&error, ERR_SYNTAX,
                "check that the address is that of an operator listener",
                "the response to GET /v1/ledger is malformed");
        ctl_print_error(address, &error);
    }
    return is_ok;
}

/* Returns 0 for an account that is not in the catalogue. */
static uint32_t
get_account_weight(void *context, lv_id account)
{
    const fairness_report *report = context;
    lv_handle handle = cat_find_account(&report->catalogue, account);

    return handle == LV_HANDLE_NONE
               ? 0
               : report->catalogue.accounts[handle].weight;
}

/* Returns "?" for an account that is not in the catalogue. */
static const char *
get_account_name(const fairness_report *report, lv_id account)
{
    lv_handle handle = cat_find_account(&report->catalogue, account);

    return handle == LV_HANDLE_NONE ? "?"
                                    : report->catalogue.accounts[handle].name;
}

/* Prints the shares unless JSON is requested and returns them as a JSON array,
 * which the caller owns. */
static json_t *
print_shares(const fairness_report *report, const ledger_share *shares,
             uint32_t count)
{
    json_t *rows = json_array();

    if (!report->options.is_json) {
        printf("  %-24s %6s %12s %12s %s\n", "ACCOUNT", "WEIGHT", "RECEIVED",
               "OWED", "BACKLOGGED");
    }
    for (uint32_t i = 0; i < count; i++) {
        const ledger_share *share = &shares[i];
        const char *name = get_account_name(report, share->account);

        if (!report->options.is_json) {
            printf("  %-24s %6u %12lld %12lld %s\n", name, share->weight,
                   (long long)share->received, (long long)share->owed,
                   share->is_backlogged ? "yes" : "no");
        }
        json_array_append_new(
            rows, json_pack("{s:s, s:i, s:I, s:I, s:b}", "account", name,
                            "weight", (int)share->weight, "received",
                            (json_int_t)share->received, "owed",
                            (json_int_t)share->owed, "backlogged",
                            share->is_backlogged));
    }
    return rows;
}

/* Prints the report on a pool unless JSON is requested and returns it as a
 * JSON object, which the caller owns. shares has room for all accounts. */
static json_t *
report_pool(fairness_report *report, const cat_pool *pool,
            ledger_share *shares)
{
    uint64_t window_count = report->span / report->window_length;
    uint64_t first_window = report->last_window >= window_count
                                ? report->last_window - window_count + 1
                                : 0;
    ledger_gap gap;
    uint32_t count = ledger_compute_gap(
        &report->ledger, pool->id, first_window, report->last_window,
        report->window_length, get_account_weight, report, shares,
        report->catalogue.account_count, &gap);
    double percent =
        gap.mean > 0 ? PERCENT * gap.max_difference / gap.mean : 0;
    json_t *rows;

    if (!report->options.is_json) {
        printf("pool %s: %u backlogged accounts, gap %.0f, mean %.0f, gap "
               "%.2f %% of the mean\n",
               pool->name, gap.backlogged_count, gap.max_difference, gap.mean,
               percent);
    }
    rows = print_shares(report, shares, count);
    return json_pack("{s:i, s:f, s:f, s:f, s:o}", "backlogged",
                     (int)gap.backlogged_count, "gap", gap.max_difference,
                     "mean", gap.mean, "gap_percent", percent, "accounts",
                     rows);
}

/* Returns the exit code. */
static int
report_pools(fairness_report *report)
{
    ledger_share *shares =
        calloc(report->catalogue.account_count + 1, sizeof *shares);
    json_t *pool_reports = json_object();

    if (shares == NULL) {
        json_decref(pool_reports);
        return CTL_EXIT_FAILURE;
    }
    for (uint32_t i = 0; i < report->catalogue.pool_count; i++) {
        const cat_pool *pool = &report->catalogue.pools[i];

        json_object_set_new(pool_reports, pool->name,
                            report_pool(report, pool, shares));
    }
    free(shares);
    if (report->options.is_json) {
        ctl_print_json(pool_reports);
    }
    else {
        json_decref(pool_reports);
    }
    return CTL_EXIT_OK;
}

int
ctl_run_fairness(int argc, char **argv)
{
    static fairness_report report;
    int exit_code = CTL_EXIT_FAILURE;
    err_list errors;
    err_error error;

    report.span = DEFAULT_SPAN;
    ctl_router_options_init(&report.options);
    if (argp_parse(&parser, argc, argv, 0, NULL, &report) != 0) {
        return CTL_EXIT_USAGE;
    }
    err_list_init(&errors);
    if (!ctl_load_catalogue(&report.catalogue, report.files, report.file_count,
                            &errors)) {
        ctl_print_errors(&errors);
        return CTL_EXIT_FAILURE;
    }
    if (!ledger_init(&report.ledger, MAX_LEDGER_LINES, &error)) {
        ctl_print_error("fairness", &error);
        goto no_ledger;
    }
    for (size_t i = 0; i < report.options.address_count; i++) {
        fetch_ledger(&report, report.options.addresses[i]);
    }
    if (report.response_count > 0) {
        exit_code = report_pools(&report);
    }
    if (report.response_count < report.options.address_count) {
        fprintf(stderr,
                "lavenderctl: only %zu of %zu routers responded; the figures "
                "leave out the service of the others\n",
                report.response_count, report.options.address_count);
        exit_code = CTL_EXIT_FAILURE;
    }
    ledger_finish(&report.ledger);
no_ledger:
    cat_finish(&report.catalogue);
    return exit_code;
}
