/*
 * Load pattern: more events than one core can take.  A loop that never waits,
 * on a host with one core for all threads, kept the thread that reads the
 * platform from running for as long as the load lasted (no new manifest, no
 * loan of a rate, no answer to peers), and the one that would have told entries
 * to send less.
 *
 * What counts is the sum of the waits: the others run in many short ones as
 * well as in one.  By its longest wait a loop with many events and time to
 * spare would rest, and make calls late for nothing.
 */

#include "loom/rest.h"

/* Two ticks of admission, which runs on another thread. */
#define SPAN_US (20 * LOOM_US_PER_MS)

/* A shorter wait is the system call that finds an event there already. */
#define WAIT_MIN_US 50

void
loom_rest_init(struct loom_rest *rest, uint64_t now_us)
{
	*rest = (struct loom_rest){ .since_us = now_us };
}

bool
loom_rest_due(struct loom_rest *rest, uint64_t waited_us, uint64_t now_us)
{
	if (waited_us >= WAIT_MIN_US)
		rest->waited_us += waited_us;
	if (rest->waited_us >= LOOM_REST_US)
		loom_rest_init(rest, now_us);
	return now_us - rest->since_us >= SPAN_US;
}
