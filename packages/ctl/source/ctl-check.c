#include <argp.h>
#include <stdio.h>

#include "ctl-load.h"
#include "ctl.h"
#include "lavender-net/settings.h"

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    const char **path = state->input;

    switch (key) {
    case ARGP_KEY_ARG:
        if (*path != NULL) {
            argp_error(state, "one settings file at a time");
        }
        *path = argument;
        return 0;
    case ARGP_KEY_END:
        if (*path == NULL) {
            argp_error(state, "name a settings file");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    NULL,
    parse_option,
    "FILE",
    "Validate a settings file of lavenderd, by the same rules as lavenderd, "
    "and report every error in it.",
    NULL,
    NULL,
    NULL,
};

int
ctl_run_check(int argc, char **argv)
{
    static set_settings settings;
    const char *path = NULL;
    err_list errors;

    if (argp_parse(&parser, argc, argv, 0, NULL, &path) != 0) {
        return CTL_EXIT_USAGE;
    }
    err_list_init(&errors);
    set_default(&settings);
    if (set_read_file(&settings, path, &errors)) {
        printf("%s: good\n", path);
        return CTL_EXIT_OK;
    }
    ctl_print_errors(&errors);
    return CTL_EXIT_FAILURE;
}
