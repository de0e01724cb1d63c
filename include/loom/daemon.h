#ifndef LOOM_DAEMON_H
#define LOOM_DAEMON_H

/*
 * The daemon as a program: what a main() hands over.  Each kind of platform
 * has a program of its own that says how callers, upstreams and the platform
 * speak there.
 */

#include "loom/dialect.h"
#include "loom/platform.h"

struct daemon_settings;

struct loom_daemon_kind {
	const char *program; /* for messages */
	int log_fd; /* where log lines go */
	const struct loom_dialect *dialect;
	const struct loom_platform_source *source;
	/* What the source is opened with, made from the settings; owned by
	 * mem_ctx.  May be NULL. */
	void *(*source_arg)(
	    TALLOC_CTX *mem_ctx, const struct daemon_settings *);
};

/* Read the command line, serve, return the exit status. */
int loom_daemon_main(
    int argc, char **argv, const struct loom_daemon_kind *kind);

#endif
