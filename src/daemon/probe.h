#ifndef LOOM_DAEMON_PROBE_H
#define LOOM_DAEMON_PROBE_H

/*
 * Health probes of hosts that do not answer.
 */

#include "daemon/worker.h"

/*
 * Starts a probe if one is due (loom/balance.h). balance belongs to the worker.
 * To be called on the worker's thread.
 */
void probe_start_if_due(struct worker *, struct loom_balance *balance);

#endif
