#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "ctl-routers.h"

#define STATUS_ACCEPTED_LOW 200
#define STATUS_ACCEPTED_HIGH 299

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    (void)argument;
    if (key == ARGP_KEY_INIT) {
        state->child_inputs[0] = state->input;
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

static const struct argp_child children[] = {
    {&ctl_routers_argp, 0, NULL, 0},
    {0},
};

static const struct argp parser = {
    NULL,
    parse_option,
    "ADDRESS...",
    "Tell routers to take no more requests, run what they accepted to its "
    "end, and exit. ADDRESS is the IP:PORT of a router's operator listener.",
    children,
    NULL,
    NULL,
};

static bool
drain_one(const ctl_routers *routers, const char *address)
{
    ctl_answer answer;
    err_error error;
    bool is_accepted;

    if (!ctl_ask(address, "POST", "/v1/drain", routers->timeout, &answer,
                 &error)) {
        ctl_print_error(address, &error);
        return false;
    }
    is_accepted = answer.status >= STATUS_ACCEPTED_LOW &&
                  answer.status <= STATUS_ACCEPTED_HIGH;
    if (!is_accepted) {
        err_set(&error, ERR_UNAVAILABLE, "look at the router's log",
                "the router answered with status %d", answer.status);
        ctl_print_error(address, &error);
    }
    free(answer.text);
    return is_accepted;
}

int
ctl_drain(int argc, char **argv)
{
    static ctl_routers routers;
    json_t *all = json_object();
    int result = CTL_OK;

    ctl_routers_init(&routers);
    if (argp_parse(&parser, argc, argv, 0, NULL, &routers) != 0) {
        json_decref(all);
        return CTL_USAGE;
    }
    for (size_t i = 0; i < routers.count; i++) {
        bool is_draining = drain_one(&routers, routers.addresses[i]);

        if (!is_draining) {
            result = CTL_WRONG;
        }
        if (!routers.is_json && is_draining) {
            printf("%s drains\n", routers.addresses[i]);
        }
        json_object_set_new(all, routers.addresses[i],
                            json_boolean(is_draining));
    }
    if (routers.is_json) {
        ctl_print_json(all);
    }
    else {
        json_decref(all);
    }
    return result;
}
