#ifndef LOOM_DAEMON_INTERNAL_H
#define LOOM_DAEMON_INTERNAL_H

/*
 * Pages that the daemon answers itself, below "/.loom/".
 */

#include "daemon/call.h"

/* Returns true if the request was for such a page; it has then been
 * answered. */
bool internal_request(struct call *);

/* Answers a request that arrived at the readiness address. */
void internal_ready_request(struct call *);

#endif
