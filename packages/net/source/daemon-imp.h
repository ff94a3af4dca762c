#ifndef LAVENDER_NET_DAEMON_IMP_H
#define LAVENDER_NET_DAEMON_IMP_H

#include "lavender-net/daemon.h"

/* The daemon as the host of the core's node. */
extern const lv_host_ops daemon_host_ops;

/* Returns the monotonic time in microseconds. */
lv_time daemon_now(void);

#endif
