#ifndef LOOM_DAEMON_INTERNAL_H
#define LOOM_DAEMON_INTERNAL_H

/*
 * What the daemon answers by itself, below "/.loom/".
 */

#include "daemon/call.h"

/* True when the request was for the daemon itself; it is answered then. */
bool internal_request(struct call *);

#endif
