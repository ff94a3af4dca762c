#include <stdio.h>
#include <stdlib.h>

#include "ctl-routers.h"

#define STATUS_ACCEPTED_LOW 200
#define STATUS_ACCEPTED_HIGH 299

static const char doc[] =
    "Tell routers to take no more requests, run what they accepted to its "
    "end, and exit. ADDRESS is the IP:PORT of a router's operator listener.";

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

    if (!ctl_routers_parse(&routers, doc, argc, argv)) {
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
