/*
 * Retry-After waits for refusals that come without an estimate.
 *
 * Load pattern: clients that are told nothing retry at once, all together, for
 * as long as the cause of the refusal lasts. Each round is work that is refused
 * again, and the first requests to be admitted meet a burst. A refused request
 * gets its final answer immediately, with this wait; delaying the answer
 * instead would occupy a connection and the caller for no benefit.
 *
 * Two ranges are enough. SHORT_WAIT is for refusals where another daemon or
 * host can serve the request at once, so that the wait only distributes the
 * callers of one host over the others. LONG_WAIT is for cases where something
 * has to start or was too slow for its callers: a retry within a second would
 * be refused again, since a daemon is ready some 4 s after its start. The range
 * is several times the minimum, so that callers do not return together.
 */

#include <stddef.h>

#include "loom/retry_after.h"

struct wait {
	enum loom_result code;
	uint16_t min_ms;
	uint16_t spread_ms;
};

#define SHORT_WAIT(which)              \
	{                              \
		LOOM_##which, 250, 750 \
	}
#define LONG_WAIT(which)                 \
	{                                \
		LOOM_##which, 1000, 4000 \
	}

static const struct wait waits[] = {
	SHORT_WAIT(DRAINING),
	SHORT_WAIT(BELOW_FULL),
	SHORT_WAIT(BETTER_ELSEWHERE),
	SHORT_WAIT(RATE_UNKNOWN),
	SHORT_WAIT(UPSTREAM_LEFT),
	SHORT_WAIT(UPSTREAM_CUT),
	SHORT_WAIT(PEER_CUT),
	SHORT_WAIT(STOPPED),
	SHORT_WAIT(PEER_CONNECT),
	SHORT_WAIT(CONTEXT_STALE),
	SHORT_WAIT(TICKET_BUSY),
	SHORT_WAIT(TICKET_MOVING),
	SHORT_WAIT(TICKET_MOVED),
	LONG_WAIT(NO_MEMORY),
	LONG_WAIT(TEAM_RATE),
	LONG_WAIT(OVERLOAD),
	LONG_WAIT(QUEUE_DEADLINE),
	LONG_WAIT(NO_TARGET),
	LONG_WAIT(NO_MANIFEST),
	LONG_WAIT(RETRY_BUDGET),
	LONG_WAIT(LATE),
	LONG_WAIT(STARTING),
	LONG_WAIT(UPSTREAM_CONNECT),
	LONG_WAIT(UPSTREAM_SHED),
	LONG_WAIT(DEADLINE),
	LONG_WAIT(QUARANTINED),
	LONG_WAIT(SUSPECT),
	LONG_WAIT(UPSTREAM_CRASHED),
};

static const struct wait *
find_wait(enum loom_result code)
{
	size_t i;

	for (i = 0; i < sizeof(waits) / sizeof(waits[0]); i++) {
		if (waits[i].code == code)
			return &waits[i];
	}
	return NULL;
}

bool
loom_retry_after_helps(enum loom_result code)
{
	return find_wait(code) != NULL;
}

uint32_t
loom_retry_after_ms(enum loom_result code, const struct loom_random *random)
{
	const struct wait *wait = find_wait(code);

	if (wait == NULL)
		return 0;
	return wait->min_ms +
	    (uint32_t)loom_random_below(random, wait->spread_ms + UINT64_C(1));
}

uint32_t
loom_retry_after_from_us(uint64_t wait_us)
{
	uint64_t wait_ms = wait_us / LOOM_US_PER_MS;

	if (wait_ms >= LOOM_RETRY_AFTER_MAX_MS)
		return LOOM_RETRY_AFTER_MAX_MS;
	return (uint32_t)(wait_ms + (wait_us % LOOM_US_PER_MS != 0));
}
