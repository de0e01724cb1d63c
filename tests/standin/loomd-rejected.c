/*
 * The daemon with a dialect in which upstreams say that they did not run a
 * request: by X-Test-Not-Run in the answer.
 */

#include <unistd.h>

#include "loom/daemon.h"

static enum loom_answer_kind
classify_answer(const struct loom_fetch *fetch, const char *request_id)
{
	(void)request_id;
	return loom_fetch_header(fetch, "X-Test-Not-Run") != NULL
	    ? LOOM_ANSWER_NOT_RUN
	    : LOOM_ANSWER_RAN;
}

int
main(int argc, char **argv)
{
	struct loom_dialect dialect = loom_dialect_own;
	const struct loom_daemon_kind kind = {
		.program = "loomd-rejected",
		.log_fd = STDERR_FILENO,
		.dialect = &dialect,
		.source = &loom_platform_values,
	};

	dialect.classify_answer = classify_answer;
	return loom_daemon_main(argc, argv, &kind);
}
