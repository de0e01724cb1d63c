/*
 * Until when the upstream beside a daemon is cold (cold_watch.h).
 *
 * A list states the remaining time as of its entry's last change.  The same
 * entry comes again whenever another host of the service changes, so only a
 * different one is taken as news.
 */

#include <string.h>

#include "decide/cold_watch.h"

#define PROBE_INTERVAL_US (250 * LOOM_US_PER_MS)

/* A crash breaks all connections at once, and other faults break single ones.
 */
#define BROKEN_LEGS_OF_CRASH 3

static void
assume_cold(struct cold_watch *watch, uint64_t now_us)
{
	if (watch->cold_start_us == 0)
		return;
	if (!watch->unconfirmed)
		watch->next_probe_us = now_us;
	watch->unconfirmed = true;
	watch->cold_until_us = now_us + watch->cold_start_us;
}

static void
set_remaining(struct cold_watch *watch, uint64_t remaining_us, uint64_t now_us)
{
	watch->unconfirmed = false;
	watch->cold_until_us = remaining_us == 0 ? 0 : now_us + remaining_us;
}

void
cold_watch_init(struct cold_watch *watch, uint64_t now_us)
{
	*watch = (struct cold_watch){ .next_probe_us = now_us };
}

void
cold_watch_set_duration(
    struct cold_watch *watch, uint64_t cold_start_us, uint64_t now_us)
{
	const bool first = watch->cold_start_us == 0;

	watch->cold_start_us = cold_start_us;
	if (first)
		assume_cold(watch, now_us);
	if (cold_start_us == 0)
		set_remaining(watch, 0, now_us);
}

/* Whether an entry says something about a cold start that the last one did
 * not.  That the first entry says nothing is no news: it may precede a restart
 * of the upstream. */
static bool
is_news(const struct cold_watch *watch, const struct loom_host *host)
{
	if (watch->instance[0] == '\0')
		return host->cold_ms > 0;
	return strcmp(watch->instance, host->instance) != 0 ||
	    watch->cold_ms != host->cold_ms;
}

void
cold_watch_list(
    struct cold_watch *watch, const struct loom_host *host, uint64_t now_us)
{
	if (host == NULL || watch->cold_start_us == 0)
		return;
	if (watch->evacuated && !host->evacuated)
		assume_cold(watch, now_us);
	if (is_news(watch, host))
		set_remaining(watch, host->cold_ms * LOOM_US_PER_MS, now_us);
	watch->evacuated = host->evacuated;
	watch->cold_ms = host->cold_ms;
	memcpy(watch->instance, host->instance, sizeof(watch->instance));
}

void
cold_watch_leg(struct cold_watch *watch, bool complete, uint64_t now_us)
{
	watch->broken_legs = complete ? 0 : watch->broken_legs + 1;
	if (watch->broken_legs >= BROKEN_LEGS_OF_CRASH) {
		watch->broken_legs = 0;
		assume_cold(watch, now_us);
	}
}

void
cold_watch_down(struct cold_watch *watch, uint64_t now_us)
{
	assume_cold(watch, now_us);
}

bool
cold_watch_probe_due(struct cold_watch *watch, uint64_t now_us)
{
	if (!watch->unconfirmed || watch->evacuated ||
	    now_us < watch->next_probe_us)
		return false;
	if (now_us >= watch->cold_until_us) {
		watch->unconfirmed = false;
		return false;
	}
	watch->next_probe_us = now_us + PROBE_INTERVAL_US;
	return true;
}

void
cold_watch_health(
    struct cold_watch *watch, uint64_t remaining_us, uint64_t now_us)
{
	if (watch->unconfirmed || remaining_us > 0)
		set_remaining(watch, remaining_us, now_us);
}
