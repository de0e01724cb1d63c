/*
 * When the spread's part calls the platform: as a reader, or while it starts.
 * What it reads for want of a peer that knows more is spread_age.c's.
 */

#include "control/spread_private.h"

/* Between two fetches of a starting daemon, doubling. */
#define FETCH_DELAY_US (500 * LOOM_US_PER_MS)
#define FETCH_DELAY_MAX_US (30 * LOOM_US_PER_S)
/* While it answers with too little to serve by: a change must be in force
 * everywhere within seconds, also the first one. */
#define FETCH_EMPTY_DELAY_MAX_US (2 * LOOM_US_PER_S)

/* One that is not listed has the rank behind the last. */
void
spread_update_role(struct loom_spread *spread)
{
	bool watch = spread->rank < MIN(LOOM_SPREAD_READERS, spread->live->len);

	if (watch == spread->watching)
		return;
	spread->watching = watch;
	spread->ops->watch(spread->arg, watch);
}

static bool
platform_answered(const struct loom_spread *spread)
{
	unsigned kind;

	for (kind = 0; kind < LOOM_SPREAD_KINDS; kind++) {
		if (spread->answered_us[kind] == 0)
			return false;
	}
	return true;
}

/*
 * A whole fleet may start while the platform is down: the gap doubles up to
 * thirty seconds, which makes 17,000 daemons call 1,100 times a second.
 *
 * It may also start before its operator has shipped anything: the platform
 * then answers with nothing.  A daemon that took this for all there is would
 * not look again before its role is chosen, and serve half a minute late; so
 * it asks on, and as soon as a list of hosts is in force the readers among
 * the starting daemons watch for the rest.
 */
void
spread_fetch_while_starting(struct loom_spread *spread, uint64_t now_us)
{
	bool answered = platform_answered(spread);
	uint64_t delay_max_us =
	    answered ? FETCH_EMPTY_DELAY_MAX_US : FETCH_DELAY_MAX_US;

	if (answered)
		spread_update_role(spread);
	if ((answered && spread->has_manifest) ||
	    now_us < spread->next_fetch_us)
		return;
	spread->ops->fetch(spread->arg);
	spread->fetch_delay_us =
	    MIN(MAX(2 * spread->fetch_delay_us, FETCH_DELAY_US), delay_max_us);
	spread->next_fetch_us = now_us + spread->fetch_delay_us / 2 +
	    loom_random_below(&spread->random, spread->fetch_delay_us);
}
