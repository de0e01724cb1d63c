#ifndef LOOM_DAEMON_TICKETED_H
#define LOOM_DAEMON_TICKETED_H

/*
 * Calls of routes that may not be repeated, at their executor.
 */

#include "daemon/call.h"

/*
 * First of all at the executor.  True: go on with admission (no ticket is
 * needed, or it may run now).  False: the call is dealt with.
 */
bool ticketed_begin(struct call *);

/* The upstream's answer is whole: keep it with the ticket. */
void ticketed_ran(struct call *);

/* The run ended in a refusal; nothing happens without a run. */
void ticketed_settle(
    struct call *, enum loom_result code, enum loom_outcome outcome);

/* The caller went away while it waited for another arrival's run. */
void ticketed_leave(struct call *);

#endif
