#include <stdio.h>
#include <stdlib.h>

#include "ctl-router-options.h"

#define HTTP_STATUS_MIN_SUCCESS 200
#define HTTP_STATUS_MAX_SUCCESS 299

static const char doc[] =
    "Make routers stop accepting requests, finish those they accepted, and "
    "exit. ADDRESS is the IP:PORT of a router's operator listener.";

/* Requests a drain; prints the error and returns false when the router does
 * not accept it. */
static bool
drain_router(const ctl_router_options *options, const char *address)
{
    ctl_response response;
    err_error error;
    bool is_accepted;

    if (!ctl_send_request(address, "POST", "/v1/drain", options->timeout,
                          &response, &error)) {
        ctl_print_error(address, &error);
        return false;
    }
    is_accepted = response.status >= HTTP_STATUS_MIN_SUCCESS &&
                  response.status <= HTTP_STATUS_MAX_SUCCESS;
    if (!is_accepted) {
        err_set(&error, ERR_UNAVAILABLE, "read the router's log",
                "the router responded to POST /v1/drain with HTTP status %d",
                response.status);
        ctl_print_error(address, &error);
    }
    free(response.body);
    return is_accepted;
}

int
ctl_run_drain(int argc, char **argv)
{
    static ctl_router_options options;
    json_t *results = json_object();
    int exit_code = CTL_EXIT_OK;

    if (!ctl_router_options_parse(&options, doc, argc, argv)) {
        json_decref(results);
        return CTL_EXIT_USAGE;
    }
    for (size_t i = 0; i < options.address_count; i++) {
        bool is_draining = drain_router(&options, options.addresses[i]);

        if (!is_draining) {
            exit_code = CTL_EXIT_FAILURE;
        }
        if (!options.is_json && is_draining) {
            printf("%s is draining\n", options.addresses[i]);
        }
        json_object_set_new(results, options.addresses[i],
                            json_boolean(is_draining));
    }
    if (options.is_json) {
        ctl_print_json(results);
    }
    else {
        json_decref(results);
    }
    return exit_code;
}
