#include <stdio.h>
#include <stdlib.h>

#include "ctl-routers.h"

static const char doc[] =
    "Show what routers say of themselves. ADDRESS is the IP:PORT of a "
    "router's operator listener.";

static long long
read_number(json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
read_text(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "-";
}

static void
print_row(const char *address, json_t *status)
{
    json_t *documents = json_object_get(status, "documents");
    json_t *requests = json_object_get(status, "requests");
    size_t members = json_array_size(json_object_get(status, "members"));
    size_t roles = json_array_size(json_object_get(status, "dispatchers"));
    bool is_ready = json_is_true(json_object_get(status, "ready"));

    printf("%-21s %-12s %-12s %-6s %9lld %9lld %7zu %6zu %8lld %8lld\n",
           address, read_text(status, "instance"), read_text(status, "zone"),
           is_ready ? "yes" : "no",
           read_number(json_object_get(documents, "catalogue"), "revision"),
           read_number(json_object_get(documents, "lists"), "revision"),
           members, roles, read_number(requests, "waiting"),
           read_number(requests, "running"));
}

static json_t *
read_status(const ctl_routers *routers, const char *address)
{
    json_t *status;
    ctl_answer answer;
    err_error error;

    if (!ctl_ask(address, "GET", "/v1/status", routers->timeout, &answer,
                 &error)) {
        ctl_print_error(address, &error);
        return NULL;
    }
    status = json_loadb(answer.text, answer.size, 0, NULL);
    free(answer.text);
    if (status == NULL) {
        err_set(&error, ERR_SYNTAX, "check that it is an operator listener",
                "the status is not JSON");
        ctl_print_error(address, &error);
    }
    return status;
}

int
ctl_status(int argc, char **argv)
{
    static ctl_routers routers;
    json_t *all = json_object();
    int result = CTL_OK;

    if (!ctl_routers_parse(&routers, doc, argc, argv)) {
        json_decref(all);
        return CTL_USAGE;
    }
    if (!routers.is_json) {
        printf("%-21s %-12s %-12s %-6s %9s %9s %7s %6s %8s %8s\n", "ADDRESS",
               "INSTANCE", "ZONE", "READY", "CATALOGUE", "LISTS", "MEMBERS",
               "ROLES", "WAITING", "RUNNING");
    }
    for (size_t i = 0; i < routers.count; i++) {
        json_t *status = read_status(&routers, routers.addresses[i]);

        if (status == NULL) {
            result = CTL_WRONG;
            continue;
        }
        if (!routers.is_json) {
            print_row(routers.addresses[i], status);
        }
        json_object_set_new(all, routers.addresses[i], status);
    }
    if (routers.is_json) {
        ctl_print_json(all);
    }
    else {
        json_decref(all);
    }
    return result;
}
