#ifndef LOOM_DAEMON_RATE_H
#define LOOM_DAEMON_RATE_H

/*
 * A root request's token of its team's rate and burst.
 */

#include "daemon/call.h"

/* Take a token, now or within the few milliseconds that a loan takes, and
 * launch the call or refuse it. */
void rate_start(struct call *);

/* What this daemon holds of the call's team now; false when it has none. */
bool rate_state(const struct call *, struct loom_rights_status *);

/* The call is given up: wait no longer. */
void rate_leave(struct call *);

#endif
