/*
 * Timing of a reader's calls to the platform.
 *
 * The gap after each answer allows many changes in quick succession to be read
 * in few calls. The backoff with jitter after each failure prevents readers
 * that failed together from retrying together.
 */

#include <glib.h>

#include "loom/poll_timing.h"

static uint32_t
or_default(uint32_t value_ms, uint32_t default_ms)
{
	return value_ms != 0 ? value_ms : default_ms;
}

struct loom_poll_timing
loom_poll_timing_with_defaults(const struct loom_poll_timing *pace)
{
	return (struct loom_poll_timing){
		.wait_ms = or_default(pace->wait_ms, LOOM_POLL_WAIT_MS),
		.answer_timeout_ms = or_default(
		    pace->answer_timeout_ms, LOOM_POLL_ANSWER_TIMEOUT_MS),
		.gap_ms = or_default(pace->gap_ms, LOOM_POLL_GAP_MS),
		.backoff_ms =
		    or_default(pace->backoff_ms, LOOM_POLL_BACKOFF_MS),
		.backoff_max_ms =
		    or_default(pace->backoff_max_ms, LOOM_POLL_BACKOFF_MAX_MS),
	};
}

/*
 * A call that is lost in an outage blocks the reader until it times out. After
 * a failure the reader therefore asks for the current state only: the platform
 * answers that immediately or not at all.
 */
uint32_t
loom_poll_wait_ms(const struct loom_poll_timing *pace, uint32_t failures)
{
	return failures == 0 ? pace->wait_ms : 0;
}

/*
 * Random delay, uniform between half of the first delay and a limit that
 * doubles with each failure, up to backoff_max_ms.
 */
static uint32_t
backoff_ms(const struct loom_poll_timing *pace, uint32_t failures,
    const struct loom_random *random)
{
	uint64_t max_ms = pace->backoff_ms, min_ms = pace->backoff_ms / 2;

	while (failures-- > 1 && max_ms < pace->backoff_max_ms)
		max_ms *= 2;
	max_ms = MIN(max_ms, pace->backoff_max_ms);
	return (uint32_t)(min_ms +
	    loom_random_below(random, max_ms - MIN(max_ms, min_ms) + 1));
}

uint32_t
loom_poll_delay_ms(const struct loom_poll_timing *pace, uint32_t failures,
    const struct loom_random *random)
{
	if (failures == 0)
		return pace->gap_ms;
	return backoff_ms(pace, failures, random);
}
