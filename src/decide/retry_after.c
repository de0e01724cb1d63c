/*
 * Waits of refusals that come without an estimate.
 *
 * Load pattern: clients that are told nothing come back at once, all of them,
 * and again, for as long as what refused them lasts; each round is work that
 * is refused, and the first to be let in meet a burst.  A request that is
 * given up gets its final answer now and this wait with it: an answer held
 * back instead would keep a connection and its caller for nothing.
 *
 * Two lengths suffice.  Where another daemon or host can serve at once, the
 * wait only spreads the callers of one host over the others.  Where something
 * has to start, or was too slow for its callers, a wait of under a second
 * meets the same again; a daemon is ready some 4 s after its start, and the
 * spread is several times the least wait so that they do not return together.
 */

#include <stddef.h>

#include "loom/retry_after.h"

struct wait {
	enum loom_result code;
	uint16_t least_ms;
	uint16_t spread_ms;
};

#define ELSEWHERE(which)               \
	{                              \
		LOOM_##which, 250, 750 \
	}
#define LATER(which)                     \
	{                                \
		LOOM_##which, 1000, 4000 \
	}

static const struct wait waits[] = {
	ELSEWHERE(DRAINING),
	ELSEWHERE(BELOW_FULL),
	ELSEWHERE(RATE_UNKNOWN),
	ELSEWHERE(UPSTREAM_CUT),
	ELSEWHERE(PEER_CUT),
	ELSEWHERE(PEER_CONNECT),
	ELSEWHERE(CONTEXT_STALE),
	ELSEWHERE(TICKET_BUSY),
	ELSEWHERE(TICKET_MOVING),
	ELSEWHERE(TICKET_MOVED),
	LATER(NO_MEMORY),
	LATER(TEAM_RATE),
	LATER(OVERLOAD),
	LATER(QUEUE_DEADLINE),
	LATER(NO_TARGET),
	LATER(NO_MANIFEST),
	LATER(RETRY_BUDGET),
	LATER(LATE),
	LATER(STARTING),
	LATER(UPSTREAM_CONNECT),
	LATER(UPSTREAM_SHED),
	LATER(DEADLINE),
	LATER(QUARANTINED),
	LATER(SUSPECT),
	LATER(UPSTREAM_CRASHED),
};

static const struct wait *
find(enum loom_result code)
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
	return find(code) != NULL;
}

uint32_t
loom_retry_after_ms(enum loom_result code, const struct loom_random *random)
{
	const struct wait *wait = find(code);

	if (wait == NULL)
		return 0;
	return wait->least_ms +
	    (uint32_t)loom_random_below(random, wait->spread_ms + UINT64_C(1));
}

uint32_t
loom_retry_after_ms_of(uint64_t wait_us)
{
	uint64_t wait_ms = wait_us / LOOM_US_PER_MS;

	if (wait_ms >= LOOM_RETRY_AFTER_MAX_MS)
		return LOOM_RETRY_AFTER_MAX_MS;
	return (uint32_t)(wait_ms + (wait_us % LOOM_US_PER_MS != 0));
}
