#ifndef LOOM_DAEMON_REPEATS_H
#define LOOM_DAEMON_REPEATS_H

/*
 * Repeats of calls at the own upstream, and the budget for them.  Arrivals are
 * counted as soon as the setting repeat_ratio is set, decisions made only while
 * work_is_known(): the counts are there when they begin.
 */

#include "daemon/call.h"
#include "decide/reoffer.h"

struct repeats;

/* Owned by the daemon. */
struct repeats *repeats_new(struct loom_daemon *);

/* Returns false if the call was sent to another host before and the budget for
 * such calls is used up. */
bool repeats_admit_retry(struct call *);

/* The first byte of the call has been sent to the upstream. */
void repeats_note_sent(struct call *);

/* The upstream's answer to the call's leg has begun. */
/* The own upstream made a call. */
void repeats_note_nested(struct loom_daemon *);

void repeats_note_answer(const struct call *);

/* Decides about a call that the upstream rejected without running it; a repeat
 * is then counted. */
enum loom_reoffer_verdict repeats_decide(const struct call *);

/* Updates the share of the load that entries may admit. */
void repeats_tick(struct repeats *);

#endif
