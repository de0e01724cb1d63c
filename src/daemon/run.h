#ifndef LOOM_DAEMON_RUN_H
#define LOOM_DAEMON_RUN_H

/*
 * A whole daemon: start, publish, drain, stop.
 */

#include "daemon/daemon.h"

/* Read by the settings; owned by the caller.  NULL with an error. */
struct loom_daemon *daemon_new(const struct daemon_settings *settings,
    const struct loom_daemon_kind *kind, GError **error);

/* Serve until a signal ends it.  Returns the exit code. */
int daemon_run(struct loom_daemon *);

/* Leave: take nothing new, end what is under way, then stop (drain.c). */
void daemon_drain(struct loom_daemon *);

void daemon_free(struct loom_daemon *);

/* A new manifest or host list is in force; control thread. */
void daemon_publish(
    struct loom_daemon *, struct loom_manifest *, struct loom_hosts *);

#endif
