#ifndef LOOM_DAEMON_REPORT_H
#define LOOM_DAEMON_REPORT_H

/*
 * Logs the daemon's decisions as structured events.
 */

#include "daemon/call.h"

/* How a call ended at this daemon. */
enum call_end_kind {
	CALL_END_ANSWERED, /* with an answer of the upstream */
	CALL_END_REFUSED, /* refused, here or by a peer */
	CALL_END_BROKEN, /* without a complete answer */
	CALL_ENDS,
};

enum call_end_kind call_end_kind(const struct call *);
const char *call_end_name(enum call_end_kind);

/*
 * Logs a call that has ended, with everything that its outcome depended on. Of
 * the calls that succeeded only a sample is logged.
 */
void report_call(const struct call *);

/*
 * Logs the manifest and the changes between two host lists, when they come into
 * force. before is the previous list, or NULL. Control thread.
 */
void report_versions(const struct loom_manifest *,
    const struct loom_hosts *before, const struct loom_hosts *after);

/*
 * Logs changes of the concurrency limit, and when shedding starts or ends. To
 * be called periodically by the main thread.
 */
void report_admission(struct loom_daemon *);

/* Logs changes of this daemon's share of the teams' rates. Control thread. */
void report_rights(struct loom_daemon *);

/* Logs an event in the daemon's life: "start", "stop", "reload", "drain". */
void report_lifecycle(const struct loom_daemon *, const char *what);

#endif
