#ifndef LOOM_DAEMON_RATE_H
#define LOOM_DAEMON_RATE_H

/*
 * A root request's token of its team's rate and burst.
 */

#include "daemon/call.h"

/* Take a token, now or within the few milliseconds that a loan takes, and
 * launch the call or refuse it. */
void rate_start(struct call *);

/* The call is given up: wait no longer. */
void rate_leave(struct call *);

#endif
