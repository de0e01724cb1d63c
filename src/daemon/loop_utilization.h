#ifndef LOOM_DAEMON_LOOP_UTILIZATION_H
#define LOOM_DAEMON_LOOP_UTILIZATION_H

/*
 * Measures the fraction of the time that an event loop is busy, and pauses a
 * loop that hardly ever waits, so that other threads get to run.
 */

#include <stdatomic.h>
#include <stdint.h>
#include <tevent.h>

#include "loom/loop_pause.h"

struct loop_utilization {
	atomic_uint_fast64_t wait_start_us; /* 0: not waiting now */
	atomic_uint_fast64_t total_wait_us; /* of completed waits and pauses */
	struct loom_loop_pause pause; /* loop's thread only */
	/* reading thread only */
	uint64_t last_read_us;
	uint64_t last_read_wait_us;
};

/*
 * Starts measuring a loop. Sets the context's trace callback; the struct must
 * outlive the context.
 */
void loop_utilization_start(
    struct loop_utilization *, struct tevent_context *, uint64_t now_us);

/*
 * Returns the fraction of the time since the last call that the loop did not
 * wait, from 0 to 1. Always to be called by the same thread, which may be any.
 */
double loop_utilization_read(struct loop_utilization *, uint64_t now_us);

#endif
