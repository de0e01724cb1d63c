/*
 * Divides the time until the process is killed.
 *
 * Load pattern: a rolling restart under load. A daemon that stops too early
 * cuts off uploads that still had time; one that stops too late is killed
 * before it has answered the calls that it still runs.
 */

#include <glib.h>

#include "loom/clock.h"
#include "loom/stop.h"

/* Reserved for closing connections and freeing memory on a busy host. */
#define MARGIN_MIN_US (200 * LOOM_US_PER_MS)
#define MARGIN_DIVISOR 10
/*
 * At most half of the time is spent on the delay: callers that have not moved
 * away by its end still get answers, but calls that have no time left do not.
 */
#define DELAY_DIVISOR 2
/* At most half of the margin: what follows the last answers needs the rest. */
#define CLOSING_DIVISOR 2

struct loom_stop
loom_stop_plan(const struct loom_stop *wanted, uint64_t within_us)
{
	struct loom_stop plan = *wanted;
	uint64_t margin_us;

	if (within_us == 0)
		return plan;
	margin_us = MAX(within_us / MARGIN_DIVISOR, MARGIN_MIN_US);
	plan.drain_delay_us =
	    MIN(plan.drain_delay_us, within_us / DELAY_DIVISOR);
	plan.drain_timeout_us =
	    within_us - MIN(within_us, plan.drain_delay_us + margin_us);
	plan.closing_us = MIN(plan.closing_us, margin_us / CLOSING_DIVISOR);
	return plan;
}

/*
 * Load pattern: bodies that arrive slowly and queues that are long while a
 * daemon stops.  A call that is sent on shortly before the end is broken off
 * while it runs, and its caller cannot tell whether it ran; refused, it can run
 * elsewhere.  How long it will take is not known: half of the time is left for
 * those that are sent on.
 */
bool
loom_stop_may_send(uint64_t now_us, uint64_t drain_us, uint64_t drain_until_us)
{
	return now_us < drain_us + (drain_until_us - drain_us) / 2;
}
