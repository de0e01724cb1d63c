#ifndef LOOM_DAEMON_PROBE_H
#define LOOM_DAEMON_PROBE_H

/*
 * Asking a silent host for a sign of life.
 */

#include "daemon/worker.h"

/* Begin a probe when one is due (loom/balance.h); balance is one of the
 * worker's.  On the worker's thread. */
void probe_silent(struct worker *, struct loom_balance *balance);

#endif
