#ifndef LOOM_DAEMON_CONFIG_H
#define LOOM_DAEMON_CONFIG_H

/*
 * Where a daemon's manifest and host lists come from.
 */

#include "daemon/daemon.h"

struct config;

/* Begin to follow the platform and to publish what is found; owned by the
 * daemon.  NULL with LOOM_START. */
struct config *config_start(struct loom_daemon *, GError **error);

#endif
