#ifndef LOOM_DAEMON_STATUS_H
#define LOOM_DAEMON_STATUS_H

/*
 * The daemon's status page, as JSON for loom-status.
 */

#include "daemon/worker.h"

/* The result is to be freed with g_free(). manifest may be NULL. */
char *status_json(struct worker *, const struct loom_manifest *manifest);

#endif
