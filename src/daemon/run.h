#ifndef LOOM_DAEMON_RUN_H
#define LOOM_DAEMON_RUN_H

/*
 * The life cycle of a daemon: start, change of versions, graceful shutdown.
 */

#include "daemon/daemon.h"

/*
 * Creates a daemon and starts its threads. It is to be freed with daemon_free()
 * and borrows the settings' strings. Returns NULL with an error.
 */
struct loom_daemon *daemon_new(const struct daemon_settings *settings,
    const struct loom_daemon_kind *kind, GError **error);

/* Serves until a signal ends it. Returns the exit status. */
int daemon_run(struct loom_daemon *);

/*
 * Starts a graceful shutdown: refuses new calls, completes those in progress,
 * then ends daemon_run() (drain.c).
 */
void daemon_drain(struct loom_daemon *);

void daemon_free(struct loom_daemon *);

/*
 * Passes a new manifest and host list on to the workers and to admission.
 * Control thread.
 */
void daemon_publish(
    struct loom_daemon *, struct loom_manifest *, struct loom_hosts *);

#endif
