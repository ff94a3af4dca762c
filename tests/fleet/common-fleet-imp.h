/*
 * The texts that a fleet is started from.
 */
#ifndef COMMON_FLEET_IMP_H
#define COMMON_FLEET_IMP_H

#include "common-fleet.h"

/* Write a router's settings into the fleet's folder. */
bool fleet_write_settings(const fleet_fleet *fleet, const fleet_router *router,
                          char path[PROC_PATH_SIZE]);

#endif
