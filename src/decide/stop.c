/*
 * The division of the time until a kill.
 *
 * Load pattern: a rolling restart under load.  A daemon that ends before it
 * must cuts uploads that had time left; one that ends later is killed with
 * the answers of all that it still runs.
 */

#include <glib.h>

#include "loom/clock.h"
#include "loom/stop.h"

/* For closing connections and freeing memory, on a busy host. */
#define MARGIN_MIN_US (200 * LOOM_US_PER_MS)
#define MARGIN_PART 10
/* Callers that are not moved away in time still get their answers; calls that
 * have no time left do not. */
#define DELAY_PART 2

struct loom_stop
loom_stop_plan(const struct loom_stop *wanted, uint64_t within_us)
{
	struct loom_stop plan = *wanted;
	uint64_t margin_us;

	if (within_us == 0)
		return plan;
	margin_us = MAX(within_us / MARGIN_PART, MARGIN_MIN_US);
	plan.delay_us = MIN(plan.delay_us, within_us / DELAY_PART);
	plan.end_us = within_us - MIN(within_us, plan.delay_us + margin_us);
	return plan;
}
