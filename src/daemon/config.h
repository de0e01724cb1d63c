#ifndef LOOM_DAEMON_CONFIG_H
#define LOOM_DAEMON_CONFIG_H

/*
 * Supplies a daemon with its manifest and host lists. Versions are distributed
 * between daemons (loom/spread.h); the manifest package parses the signed
 * documents and host lists, and the platform's reader fetches them.
 */

#include "daemon/daemon.h"

/*
 * Creates the distribution of versions and adds it to the daemon's control
 * thread, which must not have been started yet. The result is to be freed with
 * talloc_free(). Returns NULL with LOOM_START or the error of a setting.
 */
struct config *config_new(struct loom_daemon *, GError **error);

/*
 * Returns whether the newest versions that could be found are in force. Any
 * thread.
 */
bool config_ready(const struct config *);

/*
 * Returns the versions in force as JSON, to be freed with g_free(). Any thread.
 */
char *config_status(struct config *);

#endif
