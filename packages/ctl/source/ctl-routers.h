/*
 * Options that the subcommands about running routers share: the operator
 * listeners' addresses, --json and --timeout.
 */
#ifndef LAVENDER_CTL_ROUTERS_H
#define LAVENDER_CTL_ROUTERS_H

#include <argp.h>

#include "ctl.h"

typedef struct ctl_routers {
    const char *addresses[CTL_ROUTERS_MAX];
    size_t count;
    bool is_json;
    lv_time timeout;
} ctl_routers;

/* A child parser for struct argp; its input is a ctl_routers. */
extern const struct argp ctl_routers_argp;

void ctl_routers_init(ctl_routers *routers);

/* Parse a subcommand that has no other options; doc is its help text. */
bool ctl_routers_parse(ctl_routers *routers, const char *doc, int argc,
                       char **argv);

#endif
