#ifndef LAVENDER_NET_DAEMON_IMP_H
#define LAVENDER_NET_DAEMON_IMP_H

#include "lavender-net/daemon.h"

extern const lv_host_ops daemon_host_ops;

lv_time daemon_now(void);

#endif
