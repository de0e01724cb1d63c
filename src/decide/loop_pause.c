/*
 * Load pattern: more events than one core can process. An event loop that never
 * waited, on a host with one core for all threads, starved two other threads
 * for as long as the load lasted: the one that reads the platform (no new
 * manifest, no rate loans, no answers to peers) and the one that would have
 * told entries to send less.
 *
 * The criterion is the sum of the waits, because other threads get to run in
 * many short waits as well as in one long wait. Judged by its longest wait, a
 * loop with many events but spare time would pause and delay calls for no
 * benefit.
 */

#include "loom/loop_pause.h"

/* Two ticks of admission, which runs on another thread. */
#define WINDOW_US (20 * LOOM_US_PER_MS)

/*
 * A shorter wait is only the duration of a system call that found an event
 * ready.
 */
#define WAIT_MIN_US 50

void
loom_loop_pause_init(struct loom_loop_pause *rest, uint64_t now_us)
{
	*rest = (struct loom_loop_pause){ .window_start_us = now_us };
}

bool
loom_loop_pause_due(
    struct loom_loop_pause *rest, uint64_t waited_us, uint64_t now_us)
{
	if (waited_us >= WAIT_MIN_US)
		rest->waited_us += waited_us;
	if (rest->waited_us >= LOOM_LOOP_PAUSE_US)
		loom_loop_pause_init(rest, now_us);
	return now_us - rest->window_start_us >= WINDOW_US;
}
