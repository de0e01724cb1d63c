#ifndef LOOM_DAEMON_KEEP_H
#define LOOM_DAEMON_KEEP_H

/*
 * Shares of narrow services on their way back: the header "Loom-Keep" of an
 * answer between daemons, "SERVICE:SHARE" pairs with commas, in hex, the share
 * in thousandths.
 */

#include "daemon/call.h"

/* What to carry back: the own share and those of the services that the own
 * upstream has called lately, where they are below 1.  Owned by the caller,
 * g_free; NULL when there is none. */
char *keep_format(const struct call *);

/* Learn from the answer to a call. */
void keep_learn(const struct call *, const char *text);

/* May this root request go on?  False when a service below its own cannot
 * carry it. */
bool keep_check(const struct call *, uint64_t now_us);

#endif
