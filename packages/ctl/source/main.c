#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#ifndef LAVENDER_VERSION
#define LAVENDER_VERSION "0.1.0"
#endif

typedef struct subcommand {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *summary;
} subcommand;

static const subcommand commands[] = {
    {"check", ctl_run_check, "validate a settings file of lavenderd"},
    {"catalogue", ctl_run_catalogue, "validate a catalogue, or compare two"},
    {"status", ctl_run_status, "show the status of routers"},
    {"fairness", ctl_run_fairness,
     "show the service that each account received and was owed, and the "
     "fairness gap"},
    {"keys", ctl_run_keys,
     "generate keys for peer links, tickets and accounts"},
    {"drain", ctl_run_drain, "make routers finish their requests and exit"},
    {"explain", ctl_run_explain,
     "trace a request through the logs of several instances"},
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

static void
print_usage(FILE *stream)
{
    fprintf(stream, "Usage: lavenderctl COMMAND [OPTION...]\n\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        fprintf(stream, "  %-10s %s\n", commands[i].name, commands[i].summary);
    }
    fprintf(stream,
            "\nRun 'lavenderctl COMMAND --help' for its options.\n"
            "Exit codes: 0 success, 1 failure or invalid input, 2 invalid "
            "usage.\n");
}

static const subcommand *
find_command(const char *name)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static char program_name[LV_NAME_SIZE]; /* for usage messages */
    const subcommand *command;

    if (argc < 2) {
        print_usage(stderr);
        return CTL_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-?") == 0) {
        print_usage(stdout);
        return CTL_EXIT_OK;
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("lavenderctl %s\n", LAVENDER_VERSION);
        return CTL_EXIT_OK;
    }
    command = find_command(argv[1]);
    if (command == NULL) {
        fprintf(stderr,
                "lavenderctl: unknown command '%s'; run "
                "'lavenderctl --help' for the list of commands\n",
                argv[1]);
        return CTL_EXIT_USAGE;
    }
    snprintf(program_name, sizeof program_name, "lavenderctl %s",
             command->name);
    argv[1] = program_name;
    argp_err_exit_status = CTL_EXIT_USAGE;
    return command->run(argc - 1, argv + 1);
}
