#ifndef LOOM_DAEMON_CONFIG_H
#define LOOM_DAEMON_CONFIG_H

/*
 * Where a daemon's manifest and host lists come from: the spread of versions
 * (loom/spread.h), with signed documents and host lists read by the manifest
 * package and the platform by its reader.
 */

#include "daemon/daemon.h"

/* Make the spread and add it to the daemon's control, which must not have
 * been started yet.  Owned by the daemon; NULL with LOOM_START or the
 * setting's error. */
struct config *config_new(struct loom_daemon *, GError **error);

/* Whether the newest that could be found is in force.  Any thread. */
bool config_ready(const struct config *);

/* What is in force, as JSON; owned by the caller, g_free.  Any thread. */
char *config_status(struct config *);

#endif
