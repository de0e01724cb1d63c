#ifndef LOOM_DAEMON_KEEP_H
#define LOOM_DAEMON_KEEP_H

/*
 * Shares of narrow services on their way back: the header "Loom-Keep" of an
 * answer between daemons, "SERVICE:SHARE:CALLS" with commas, in hex.  The
 * share is in thousandths, and so are the calls that a request like the
 * answered one makes there; none for the service that answers.
 */

#include "daemon/call.h"

/* What to carry back, for services whose share is below 1.  Owned by the
 * caller, g_free; NULL when there is none. */
char *keep_format(const struct call *);

/* Learn from the answer to a call. */
void keep_learn(const struct call *, const char *text);

/* The own upstream begins or ends to run this call, or made this inner one. */
void keep_note_run(const struct call *, bool begins);
void keep_note_inner(const struct call *);

/* May this root request go on?  False when a service below its own cannot
 * carry it. */
bool keep_check(struct call *, uint64_t now_us);

#endif
