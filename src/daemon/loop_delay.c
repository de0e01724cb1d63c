/*
 * Measures the delay of an event loop with a probe that is queued behind all
 * other events.
 *
 * The delay shows how far a daemon that lacks CPU time is overloaded.
 * Utilization does not: it is 1 whether the load is 1% or 100% above what the
 * daemon can handle.
 */

#include <glib.h>

#include "daemon/loop_delay.h"
#include "loom/clock.h"

static void
on_probe(void *arg)
{
	struct loop_delay *loop_delay = arg;
	uint64_t now_us = loom_now_us();
	uint64_t posted_us = atomic_load(&loop_delay->posted_us);

	atomic_store(
	    &loop_delay->last_delay_us, now_us - MIN(now_us, posted_us));
	atomic_store(&loop_delay->posted_us, 0);
}

void
loop_delay_probe(struct loop_delay *loop_delay, struct loom_mailbox *mailbox,
    uint64_t now_us)
{
	if (atomic_load(&loop_delay->posted_us) != 0)
		return;
	atomic_store(&loop_delay->posted_us, now_us);
	loom_mailbox_post(mailbox, on_probe, loop_delay);
}

uint64_t
loop_delay_read(struct loop_delay *loop_delay, uint64_t now_us)
{
	uint64_t posted_us = atomic_load(&loop_delay->posted_us);
	uint64_t last_delay_us = atomic_load(&loop_delay->last_delay_us);

	if (posted_us != 0 && posted_us < now_us)
		last_delay_us = MAX(last_delay_us, now_us - posted_us);
	return last_delay_us;
}
