#ifndef LOOM_DAEMON_STATUS_H
#define LOOM_DAEMON_STATUS_H

/*
 * What a daemon says of itself, as JSON for loom-status.
 */

#include "daemon/worker.h"

/* Owned by the caller, g_free.  manifest may be NULL. */
char *status_json(struct worker *, const struct loom_manifest *manifest);

#endif
