#ifndef LOOM_DAEMON_H
#define LOOM_DAEMON_H

/*
 * The entry point of a daemon program. Each kind of platform has a program of
 * its own, which defines the HTTP dialect of callers and upstreams and how the
 * platform is read.
 */

#include "loom/dialect.h"
#include "loom/platform.h"

struct daemon_settings;

struct loom_daemon_kind {
	const char *program; /* for messages */
	int log_fd; /* file descriptor of the log */
	const struct loom_dialect *dialect;
	const struct loom_platform_source *source;
	/*
	 * Creates the argument that the source is opened with. The result
	 * belongs to mem_ctx. May be NULL.
	 */
	void *(*source_arg)(
	    TALLOC_CTX *mem_ctx, const struct daemon_settings *);
};

/* Parses the command line and runs the daemon. Returns the exit status. */
int loom_daemon_main(
    int argc, char **argv, const struct loom_daemon_kind *kind);

#endif
