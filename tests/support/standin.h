#ifndef LOOM_TEST_STANDIN_H
#define LOOM_TEST_STANDIN_H

/*
 * Runs stand-in servers as child processes of a test, and sends blocking HTTP
 * requests to them.
 */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct test_standin {
	pid_t pid;
	uint16_t port;
	char url[64]; /* "http://127.0.0.1:PORT" */
};

/* Start $LOOM_BIN/PROGRAM (build/bin/PROGRAM if LOOM_BIN is unset) and wait for
 * its "listening on PORT" line; return false if the line does not come.  argv
 * holds the arguments after the program name; it ends with NULL and may be
 * NULL. */
bool test_standin_start(
    struct test_standin *, const char *program, const char *const *argv);

/* Send SIGTERM and wait for the process to exit. */
void test_standin_stop(struct test_standin *);

/* Send a request to the stand-in; body may be NULL.  Returns the body of the
 * response, to be freed with g_free(), or NULL if the request failed. */
char *test_standin_call(const struct test_standin *, const char *method,
    const char *path, const char *body);

#endif
