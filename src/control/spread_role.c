/*
 * When the spread's part calls the platform: as a reader, as a stand-by while
 * the readers are silent, as a poller, or while it starts.
 */

#include "control/spread_private.h"

/* A stand-by that watches goes on for this long before it looks again at
 * whether it is needed. */
#define STANDBY_US (60 * LOOM_US_PER_S)
/* Mean time between two polls of a daemon whose readers are silent.  All
 * 17,000 at once make 2 x 283 calls a second, under a third of the budget. */
#define POLL_US (60 * LOOM_US_PER_S)
/* Between two fetches of a starting daemon, doubling. */
#define FETCH_GAP_US (500 * LOOM_US_PER_MS)
#define FETCH_GAP_MAX_US (30 * LOOM_US_PER_S)
/* While it answers with too little to serve by: a change must be in force
 * everywhere within seconds, also the first one. */
#define FETCH_EMPTY_MAX_US (2 * LOOM_US_PER_S)

uint64_t
spread_silent_us(const struct loom_spread *spread, uint64_t now_us)
{
	uint64_t since = MAX(spread->fresh_us, spread->started_us);

	return now_us > since ? now_us - since : 0;
}

/* Each at a moment of its own, the first poll of a silent spell too: all
 * daemons of a data centre find their readers silent at about one time. */
static void
poll_platform(struct loom_spread *spread, uint64_t now_us)
{
	if (spread->poll_us == 0) {
		spread->poll_us =
		    now_us + 1 + loom_random_below(&spread->random, POLL_US);
		return;
	}
	if (now_us < spread->poll_us)
		return;
	spread->ops->fetch(spread->arg);
	spread->poll_us =
	    now_us + POLL_US / 2 + loom_random_below(&spread->random, POLL_US);
}

void
spread_choose_role(struct loom_spread *spread, uint64_t now_us)
{
	enum loom_spread_role role;
	bool watch;

	role = loom_spread_role(spread->rank, spread->live->len,
	    spread->readers, spread_silent_us(spread, now_us));
	if (role == LOOM_SPREAD_WATCH && spread->rank >= spread->readers)
		spread->watch_until_us = now_us + STANDBY_US;
	watch = role == LOOM_SPREAD_WATCH || now_us < spread->watch_until_us;
	if (watch != spread->watching) {
		spread->watching = watch;
		spread->ops->watch(spread->arg, watch);
	}
	if (role == LOOM_SPREAD_POLL && !watch)
		poll_platform(spread, now_us);
	else
		spread->poll_us = 0;
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
	uint64_t gap_max_us = answered ? FETCH_EMPTY_MAX_US : FETCH_GAP_MAX_US;

	if (answered)
		spread_choose_role(spread, now_us);
	if ((answered && spread->in_force) || now_us < spread->fetch_us)
		return;
	spread->ops->fetch(spread->arg);
	spread->fetch_gap_us =
	    MIN(MAX(2 * spread->fetch_gap_us, FETCH_GAP_US), gap_max_us);
	spread->fetch_us = now_us + spread->fetch_gap_us / 2 +
	    loom_random_below(&spread->random, spread->fetch_gap_us);
}
