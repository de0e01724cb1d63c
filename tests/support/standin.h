#ifndef LOOM_TEST_STANDIN_H
#define LOOM_TEST_STANDIN_H

/*
 * Stand-ins as child processes of a test, and plain blocking HTTP calls to
 * them.
 */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct test_standin {
	pid_t pid;
	uint16_t port;
	char url[64]; /* "http://127.0.0.1:PORT" */
};

/* Start $LOOM_BIN/PROGRAM on a free port and wait for its "listening on"
 * line; false when it does not come.  argv ends with NULL and may be NULL. */
bool test_standin_start(
    struct test_standin *, const char *program, const char *const *argv);

/* SIGTERM and wait. */
void test_standin_stop(struct test_standin *);

/* A call to the stand-in; body may be NULL.  The answer's body is owned by
 * the caller, g_free; NULL when the call failed. */
char *test_standin_call(const struct test_standin *, const char *method,
    const char *path, const char *body);

#endif
