/*
 * The pace of a reader's calls; see the header.
 *
 * A gap after each answer lets a storm of changes be read in few calls.  A
 * backoff with full jitter after each failure keeps readers that failed
 * together from coming back together.
 */

#include <glib.h>

#include "loom/pace.h"

static uint32_t
or_default(uint32_t value_ms, uint32_t default_ms)
{
	return value_ms != 0 ? value_ms : default_ms;
}

struct loom_pace
loom_pace_with_defaults(const struct loom_pace *pace)
{
	return (struct loom_pace){
		.wait_ms = or_default(pace->wait_ms, LOOM_PACE_WAIT_MS),
		.answer_ms = or_default(pace->answer_ms, LOOM_PACE_ANSWER_MS),
		.gap_ms = or_default(pace->gap_ms, LOOM_PACE_GAP_MS),
		.backoff_ms =
		    or_default(pace->backoff_ms, LOOM_PACE_BACKOFF_MS),
		.backoff_max_ms =
		    or_default(pace->backoff_max_ms, LOOM_PACE_BACKOFF_MAX_MS),
	};
}

/*
 * A call that is lost in an outage occupies the reader until its time-out.
 * After a failure the platform is therefore asked for what it has now: that
 * is answered at once or not at all.
 */
uint32_t
loom_pace_wait_ms(const struct loom_pace *pace, uint32_t failures)
{
	return failures == 0 ? pace->wait_ms : 0;
}

/* Full jitter over a doubling range, never under half of the first delay. */
static uint32_t
backoff_ms(const struct loom_pace *pace, uint32_t failures,
    const struct loom_random *random)
{
	uint64_t range = pace->backoff_ms, least = pace->backoff_ms / 2;

	while (failures-- > 1 && range < pace->backoff_max_ms)
		range *= 2;
	range = MIN(range, pace->backoff_max_ms);
	return (uint32_t)(least +
	    loom_random_below(random, range - MIN(range, least) + 1));
}

uint32_t
loom_pace_delay_ms(const struct loom_pace *pace, uint32_t failures,
    const struct loom_random *random)
{
	if (failures == 0)
		return pace->gap_ms;
	return backoff_ms(pace, failures, random);
}
