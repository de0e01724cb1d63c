/*
 * When the platform is read: by the readers, and while starting.  Reads due to
 * a high age are in spread_age.c.
 */

#include "control/spread_private.h"

/* Delay between the fetches of a starting daemon, doubled after each up to the
 * maximum. */
#define FETCH_DELAY_US (500 * LOOM_US_PER_MS)
#define FETCH_DELAY_MAX_US (30 * LOOM_US_PER_S)
/* Maximum while the platform answers but no manifest is in effect: even the
 * first change must take effect everywhere within seconds. */
#define FETCH_EMPTY_DELAY_MAX_US (2 * LOOM_US_PER_S)

/*
 * Starts or stops watching the platform, by whether this daemon is a reader.  A
 * daemon that is not in the list of live hosts has rank live->len and is none.
 */
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
 * Reads the platform until a manifest is in effect.
 *
 * A whole fleet may start while the platform is down.  The delay doubles up to
 * 30 s, at which 17,000 daemons make 1,100 calls a second.
 *
 * A fleet may also start before its operator has written anything, so that the
 * platform's answer is empty.  A daemon that took this as complete would not
 * read again before its role is chosen, and would be ready half a minute late.
 * So it keeps reading; and as soon as a host list is in effect, the readers
 * among the starting daemons watch the platform.
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
