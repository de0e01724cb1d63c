#ifndef LOOM_TEST_LOOP_H
#define LOOM_TEST_LOOP_H

/*
 * Waits for a condition while running the event loop of a test.
 */

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "support/test.h"

/* Start a timer that sets *passed after a generous time limit.
 * The timer is owned by mem; free it to cancel. */
struct tevent_timer *test_wait_limit(
    TALLOC_CTX *mem, struct tevent_context *ev, bool *passed);

/* Run the event loop of a fixture (members ev, mem and limit_passed) until the
 * condition holds.  The test fails if the time limit passes first. */
#define WAIT(f, condition)                                                     \
	do {                                                                   \
		struct tevent_timer *limit =                                   \
		    test_wait_limit((f)->mem, (f)->ev, &(f)->limit_passed);    \
		while (!(condition) && !(f)->limit_passed)                     \
			tevent_loop_once((f)->ev);                             \
		TEST_CHECK(                                                    \
		    condition, "time limit passed before the condition held"); \
		if (!(f)->limit_passed)                                        \
			talloc_free(limit);                                    \
	} while (0)

#endif
