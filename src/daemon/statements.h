#ifndef LOOM_DAEMON_STATEMENTS_H
#define LOOM_DAEMON_STATEMENTS_H

/*
 * What the own upstream states of itself in its answers: the rate of requests
 * that it takes, and that it leaves.  All calls to an upstream pass the daemon
 * beside it, which therefore holds to both for all daemons.  What it was told
 * is lost when it restarts; daemons that were told as well pass the rate on
 * with their calls, and send none to an upstream that leaves.
 *
 * All functions may be called from any thread.
 */

#include "daemon/call.h"

struct statements;

struct statements *statements_new(struct loom_daemon *); /* owned by it */

/* Takes in an answer of the upstream to the call. */
void statements_note_answer(const struct call *);

/* Takes in the rate that a peer's call brings along, if it has one. */
void statements_note_call(const struct call *);

/* Forgets all: another run of the upstream is listed. */
void statements_forget(struct loom_daemon *);

/* The stated rate in requests a second; 0 for none. */
double statements_rate(const struct loom_daemon *);

/* Whether the upstream has said that it leaves. */
bool statements_is_leaving(const struct loom_daemon *);

/* Whether the upstream still gets calls (decide/stated_leaving.h). */
bool statements_accepts(const struct loom_daemon *, uint64_t now_us);

#endif
