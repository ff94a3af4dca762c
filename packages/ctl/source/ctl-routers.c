#include "ctl-routers.h"

#include <string.h>

#include "lavender/value.h"

#define DEFAULT_TIMEOUT (5 * LV_SECOND)
#define MAX_TIMEOUT (60 * LV_SECOND)

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    ctl_routers *routers = state->input;
    err_error error;

    switch (key) {
    case 'j':
        routers->is_json = true;
        return 0;
    case 't':
        if (!val_parse_duration(argument, LV_MILLISECOND, MAX_TIMEOUT,
                                &routers->timeout, &error)) {
            argp_error(state, "--timeout: %s; %s", error.message,
                       error.remedy);
        }
        return 0;
    case ARGP_KEY_ARG:
        if (routers->count == CTL_ROUTERS_MAX) {
            argp_error(state, "at most %d routers in one call",
                       CTL_ROUTERS_MAX);
        }
        routers->addresses[routers->count++] = argument;
        return 0;
    case ARGP_KEY_END:
        if (routers->count == 0) {
            argp_error(state, "name at least one router's operator listener "
                              "(IP:PORT)");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {"timeout", 't', "TIME", 0, "Wait so long for each router (5s)", 0},
    {0},
};

const struct argp ctl_routers_argp = {
    options, parse_option, NULL, NULL, NULL, NULL, NULL,
};

void
ctl_routers_init(ctl_routers *routers)
{
    memset(routers, 0, sizeof *routers);
    routers->timeout = DEFAULT_TIMEOUT;
}

bool
ctl_routers_parse(ctl_routers *routers, const char *doc, int argc, char **argv)
{
    struct argp parser = ctl_routers_argp;

    parser.args_doc = "ADDRESS...";
    parser.doc = doc;
    ctl_routers_init(routers);
    return argp_parse(&parser, argc, argv, 0, NULL, routers) == 0;
}
