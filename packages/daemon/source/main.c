#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "lavender-gateway/gate.h"
#include "lavender-net/daemon.h"
#include "lavender-platform/platform.h"

#define DEFAULT_SETTINGS_PATH "/etc/lavenderd.ini"

/* Allocations from this size on are mapped separately, so that free() returns
 * them to the system. */
#define MAPPED_BLOCK_BYTES (64 * 1024)

enum {
    EXIT_DONE = 0,        /* drained, or --check found no error */
    EXIT_INTERRUPTED = 1, /* ended with requests in progress */
    EXIT_SETTINGS = 2,    /* invalid settings or command line */
    EXIT_SYSTEM = 3 /* a listener or another resource could not be opened */
};

typedef struct arguments {
    const char *settings_path;
    bool is_check_only;
    bool is_gateway;
} arguments;

const char *argp_program_version = "lavenderd 0.1.0";

static const char doc[] =
    "Route callers' requests to endpoints, as one instance of a fleet.\v"
    "Exit codes: 0 drained, or no error found; 1 ended while requests were "
    "in hand; 2 wrong settings or command line; 3 a listener or another part "
    "could not be opened.\n\n"
    "Signals: TERM and INT drain: /readyz answers 503, new requests are "
    "refused, and the process ends when everything accepted has its answer. "
    "A second one ends it at once.";

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0,
     "Settings file; etc/lavenderd.ini documents it "
     "(default: " DEFAULT_SETTINGS_PATH ")",
     0},
    {"gateway", 'g', NULL, 0,
     "Run as a gateway in front of the platform's endpoints; etc/gateway.ini "
     "documents the settings file",
     0},
    {"check", 'n', NULL, 0, "Check the settings and exit", 0},
    {0}};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    arguments *parsed = state->input;

    switch (key) {
    case 'c':
        parsed->settings_path = value;
        return 0;
    case 'n':
        parsed->is_check_only = true;
        return 0;
    case 'g':
        parsed->is_gateway = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument '%s'", value);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
print_errors(const err_list *errors)
{
    char text[ERR_MESSAGE_SIZE + ERR_REMEDY_SIZE + 256];
    size_t i;

    for (i = 0; i < errors->count && i < ERR_LIST_SIZE; i++) {
        err_item_format(&errors->items[i], text, sizeof text);
        fprintf(stderr, "%s\n", text);
    }
    if (errors->count > ERR_LIST_SIZE) {
        fprintf(stderr, "and %zu more\n", errors->count - ERR_LIST_SIZE);
    }
}

static void
print_error(const err_error *error)
{
    fprintf(stderr, "lavenderd: %s: %s; %s\n", err_kind_name(error->kind),
            error->message, error->remedy);
}

static int
run_router(const set_settings *settings)
{
    static daemon_router router;
    uv_loop_t *loop = uv_default_loop();
    err_error error;
    int code = EXIT_SYSTEM;

    err_clear(&error);
    if (!log_open(&settings->log, &error)) {
        print_error(&error);
        return EXIT_SYSTEM;
    }
    signal(SIGPIPE, SIG_IGN);
    if (daemon_init(&router, loop, settings, &error)) {
        code = daemon_run(&router) ? EXIT_DONE : EXIT_INTERRUPTED;
    }
    else {
        print_error(&error);
    }
    daemon_finish(&router);
    log_close();
    return code;
}

static int
run_gateway(const gate_settings *settings, const char *path)
{
    static gate_server gate;
    err_error error;
    int code = EXIT_SYSTEM;

    err_clear(&error);
    signal(SIGPIPE, SIG_IGN);
    if (!log_open(&settings->log, &error) ||
        !gate_init(&gate, uv_default_loop(), platform_wire_ops(), settings,
                   path, &error)) {
        print_error(&error);
        goto finish;
    }
    code = gate_run(&gate) ? EXIT_DONE : EXIT_INTERRUPTED;
    gate_finish(&gate);
finish:
    log_close();
    return code;
}

static int
report_valid_settings(const char *path)
{
    printf("%s: no error found\n", path);
    return EXIT_DONE;
}

static int
main_gateway(const arguments *parsed, err_list *errors)
{
    static gate_settings settings;

    /* Asks to read the settings again, which is about to happen. */
    signal(SIGHUP, SIG_IGN);
    if (!gate_read_settings(&settings, parsed->settings_path, errors)) {
        print_errors(errors);
        return EXIT_SETTINGS;
    }
    if (parsed->is_check_only) {
        return report_valid_settings(parsed->settings_path);
    }
    return run_gateway(&settings, parsed->settings_path);
}

static int
main_router(const arguments *parsed, err_list *errors)
{
    static set_settings settings;

    if (!set_read_file(&settings, parsed->settings_path, errors)) {
        print_errors(errors);
        return EXIT_SETTINGS;
    }
    if (parsed->is_check_only) {
        return report_valid_settings(parsed->settings_path);
    }
    return run_router(&settings);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {options, parse_option, NULL, doc,
                                     NULL,    NULL,         NULL};
    static err_list errors;
    arguments parsed = {.settings_path = DEFAULT_SETTINGS_PATH};

    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
    argp_err_exit_status = EXIT_SETTINGS;
    argp_parse(&argp, argc, argv, 0, NULL, &parsed);
    err_list_init(&errors);
    return parsed.is_gateway ? main_gateway(&parsed, &errors)
                             : main_router(&parsed, &errors);
}
