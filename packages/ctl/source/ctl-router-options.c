#include "ctl-router-options.h"

#include <string.h>

#include "lavender/value.h"

#define DEFAULT_TIMEOUT (5 * LV_SECOND)
#define MAX_TIMEOUT (60 * LV_SECOND)

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    ctl_router_options *options = state->input;
    err_error error;

    switch (key) {
    case 'j':
        options->is_json = true;
        return 0;
    case 't':
        if (!val_parse_duration(argument, LV_MILLISECOND, MAX_TIMEOUT,
                                &options->timeout, &error)) {
            argp_error(state, "--timeout: %s; %s", error.message,
                       error.remedy);
        }
        return 0;
    case ARGP_KEY_ARG:
        if (options->address_count == CTL_MAX_ROUTERS) {
            argp_error(state, "more than %d routers in one command",
                       CTL_MAX_ROUTERS);
        }
        options->addresses[options->address_count++] = argument;
        return 0;
    case ARGP_KEY_END:
        if (options->address_count == 0) {
            argp_error(state, "name at least one router by the address of its "
                              "operator listener (IP:PORT)");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option argp_options[] = {
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {"timeout", 't', "TIME", 0,
     "Response timeout for each router (default 5s)", 0},
    {0},
};

const struct argp ctl_router_options_argp = {
    argp_options, parse_option, NULL, NULL, NULL, NULL, NULL,
};

void
ctl_router_options_init(ctl_router_options *options)
{
    memset(options, 0, sizeof *options);
    options->timeout = DEFAULT_TIMEOUT;
}

bool
ctl_router_options_parse(ctl_router_options *options, const char *doc,
                         int argc, char **argv)
{
    struct argp parser = ctl_router_options_argp;

    parser.args_doc = "ADDRESS...";
    parser.doc = doc;
    ctl_router_options_init(options);
    return argp_parse(&parser, argc, argv, 0, NULL, options) == 0;
}
