/*
 * loomd: the Loom daemon. One runs next to each upstream.
 */

#include <unistd.h>

#include "loom/daemon.h"

int
main(int argc, char **argv)
{
	static const struct loom_daemon_kind kind = {
		.program = "loomd",
		.log_fd = STDERR_FILENO,
		.dialect = &loom_dialect_own,
		.source = &loom_platform_values,
	};

	return loom_daemon_main(argc, argv, &kind);
}
