#ifndef LOOM_DAEMON_REPORT_H
#define LOOM_DAEMON_REPORT_H

/*
 * What the daemon decided, as events.
 */

#include "daemon/call.h"

/* How a call ended here. */
enum call_end_kind {
	CALL_END_ANSWERED, /* with the upstream's answer */
	CALL_END_REFUSED, /* with a refusal, here or by a peer */
	CALL_END_BROKEN, /* without a whole answer */
	CALL_ENDS,
};

enum call_end_kind call_end_kind(const struct call *);
const char *call_end_name(enum call_end_kind);

/* The call is over: one line with all that decided about it, when it did not
 * end well, and for a part of those that did. */
void report_call(const struct call *);

/* A manifest and a list of hosts are in force.  before is the list that was,
 * or NULL.  Control thread. */
void report_versions(const struct loom_manifest *,
    const struct loom_hosts *before, const struct loom_hosts *after);

/* To be called now and then by the main thread: what admission believes. */
void report_admission(struct loom_daemon *);

/* What is held of all teams' rates, if it is news; control thread. */
void report_rights(struct loom_daemon *);

/* "start", "stop", "reload", "drain". */
void report_lifecycle(const struct loom_daemon *, const char *what);

#endif
