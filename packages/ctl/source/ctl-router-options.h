/*
 * Command-line options shared by the subcommands that contact running routers:
 * the addresses of operator listeners, --json and --timeout.
 */
#ifndef LAVENDER_CTL_ROUTER_OPTIONS_H
#define LAVENDER_CTL_ROUTER_OPTIONS_H

#include <argp.h>

#include "ctl.h"

typedef struct ctl_router_options {
    const char *addresses[CTL_MAX_ROUTERS];
    size_t address_count;
    bool is_json;
    lv_time timeout; /* for each router */
} ctl_router_options;

/* A child parser for struct argp; its input is a ctl_router_options. */
extern const struct argp ctl_router_options_argp;

/* Sets the defaults: no addresses, no JSON and the default timeout. */
void ctl_router_options_init(ctl_router_options *options);

/* Parses the command line of a subcommand without other options; doc is its
 * help text. Returns false on failure. Exits with CTL_EXIT_USAGE if the
 * command line is invalid. */
bool ctl_router_options_parse(ctl_router_options *options, const char *doc,
                              int argc, char **argv);

#endif
