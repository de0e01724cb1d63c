#ifndef LOOM_DAEMON_INTERNAL_H
#define LOOM_DAEMON_INTERNAL_H

/*
 * What the daemon answers by itself, below "/.loom/".
 */

#include "daemon/call.h"

/* True when the request was for the daemon itself; it is answered then. */
bool internal_request(struct call *);

/* Answer a request that came to the address for readiness. */
void internal_ready_request(struct call *);

#endif
