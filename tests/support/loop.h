#ifndef LOOM_TEST_LOOP_H
#define LOOM_TEST_LOOP_H

/*
 * Waiting for a condition inside an event loop of the test's own.
 */

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "support/test.h"

/* Set *passed once a generous limit is over; free it to stop.  Owned by mem. */
struct tevent_timer *test_loop_limit(
    TALLOC_CTX *mem, struct tevent_context *ev, bool *passed);

/* Run the loop of a fixture (members ev, mem and limit_passed) until the
 * condition holds; the test fails when the limit passes first. */
#define WAIT(f, condition)                                                  \
	do {                                                                \
		struct tevent_timer *limit =                                \
		    test_loop_limit((f)->mem, (f)->ev, &(f)->limit_passed); \
		while (!(condition) && !(f)->limit_passed)                  \
			tevent_loop_once((f)->ev);                          \
		TEST_CHECK(condition, "waited in vain");                    \
		if (!(f)->limit_passed)                                     \
			talloc_free(limit);                                 \
	} while (0)

#endif
