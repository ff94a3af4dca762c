#include <stdio.h>
#include <stdlib.h>

#include "ctl-router-options.h"

static const char doc[] =
    "Show the status of routers, with evacuated zones and cold endpoints. "
    "ADDRESS is the IP:PORT of a router's operator listener, or of a "
    "gateway's readiness listener.";

static long long
get_integer(json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
get_text(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "-";
}

/* Below the row of a gateway that keeps requests away from zones. */
static void
print_evacuated_zones(json_t *zones)
{
    json_t *zone;
    size_t i;

    json_array_foreach(zones, i, zone)
    {
        printf("  evacuated zone: %s\n", json_string_value(zone));
    }
}

static void
print_status_row(const char *address, json_t *status)
{
    json_t *documents = json_object_get(status, "documents");
    json_t *requests = json_object_get(status, "requests");
    size_t member_count = json_array_size(json_object_get(status, "members"));
    size_t dispatcher_count =
        json_array_size(json_object_get(status, "dispatchers"));
    bool is_ready = json_is_true(json_object_get(status, "ready"));

    printf("%-21s %-12s %-12s %-6s %9lld %9lld %7zu %6zu %8lld %8lld\n",
           address, get_text(status, "instance"), get_text(status, "zone"),
           is_ready ? "yes" : "no",
           get_integer(json_object_get(documents, "catalogue"), "revision"),
           get_integer(json_object_get(documents, "lists"), "revision"),
           member_count, dispatcher_count, get_integer(requests, "waiting"),
           get_integer(requests, "running"));
    print_evacuated_zones(json_object_get(status, "evacuated_zones"));
}

/* Gateways list the endpoints that they hold to be cold. */
static void
print_cold_endpoints(json_t *status)
{
    json_t *endpoint;
    size_t i;

    json_array_foreach(json_object_get(status, "cold_endpoints"), i, endpoint)
    {
        printf("  cold for %.1f s by %s: %s\n",
               json_number_value(json_object_get(endpoint, "seconds")),
               get_text(endpoint, "source"), get_text(endpoint, "endpoint"));
    }
}

/* Requests the status of a router; prints the error and returns NULL on
 * failure. The caller owns the JSON. */
static json_t *
fetch_status(const ctl_router_options *options, const char *address)
{
    json_t *status;
    ctl_response response;
    err_error error;

    if (!ctl_send_request(address, "GET", "/v1/status", options->timeout,
                          &response, &error)) {
        ctl_print_error(address, &error);
        return NULL;
    }
    status = json_loadb(response.body, response.size, 0, NULL);
    free(response.body);
    if (status == NULL) {
        err_set(
            &error, ERR_SYNTAX,
            "check that the address is that of an operator listener, or of "
            "the readiness listener of a gateway",
            "the response to GET /v1/status is not valid JSON");
        ctl_print_error(address, &error);
    }
    return status;
}

int
ctl_run_status(int argc, char **argv)
{
    static ctl_router_options options;
    json_t *statuses = json_object();
    int exit_code = CTL_EXIT_OK;

    if (!ctl_router_options_parse(&options, doc, argc, argv)) {
        json_decref(statuses);
        return CTL_EXIT_USAGE;
    }
    if (!options.is_json) {
        printf("%-21s %-12s %-12s %-6s %9s %9s %7s %6s %8s %8s\n", "ADDRESS",
               "INSTANCE", "ZONE", "READY", "CATALOGUE", "LISTS", "MEMBERS",
               "ROLES", "WAITING", "RUNNING");
    }
    for (size_t i = 0; i < options.address_count; i++) {
        json_t *status = fetch_status(&options, options.addresses[i]);

        if (status == NULL) {
            exit_code = CTL_EXIT_FAILURE;
            continue;
        }
        if (!options.is_json) {
            print_status_row(options.addresses[i], status);
            print_cold_endpoints(status);
        }
        json_object_set_new(statuses, options.addresses[i], status);
    }
    if (options.is_json) {
        ctl_print_json(statuses);
    }
    else {
        json_decref(statuses);
    }
    return exit_code;
}
