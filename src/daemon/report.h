#ifndef LOOM_DAEMON_REPORT_H
#define LOOM_DAEMON_REPORT_H

/*
 * What the daemon decided, as events.
 */

#include "daemon/call.h"

/* The call is over: one line with all that decided about it, when it did not
 * end well, and for a part of those that did. */
void report_call(const struct call *);

/* A manifest and a list of hosts are in force.  before is the list that was,
 * or NULL.  Control thread. */
void report_view(const struct loom_manifest *, const struct loom_hosts *before,
    const struct loom_hosts *after);

/* To be called now and then by the main thread: what admission believes. */
void report_admission(struct loom_daemon *);

/* What is held of all teams' rates, if it is news; control thread. */
void report_rights(struct loom_daemon *);

/* "start", "stop", "reload", "drain". */
void report_life(const struct loom_daemon *, const char *what);

#endif
