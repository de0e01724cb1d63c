#ifndef LOOM_DECIDE_COLD_WATCH_H
#define LOOM_DECIDE_COLD_WATCH_H

/*
 * Until when the upstream beside a daemon is cold.
 *
 * Its entry in the list of hosts says so, but may be seconds old: an upstream
 * that has crashed, or whose data centre was evacuated, may be cold before its
 * entry says it.  So such an upstream is taken as cold until its health
 * response or a new entry tells otherwise.
 *
 * Not thread-safe: the owner holds a lock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"
#include "loom/hosts.h"

struct cold_watch {
	uint64_t cold_start_us; /* duration of a whole cold start; 0: never cold
				 */
	uint64_t cold_until_us; /* 0: warm */
	bool unconfirmed; /* cold_until_us is an assumption */
	uint64_t next_probe_us;
	uint32_t broken_legs; /* since the last complete answer */
	bool evacuated; /* as last listed */
	char instance[LOOM_NAME_MAX + 1]; /* as last listed */
	uint32_t cold_ms; /* as last listed */
};

/* The daemon has started: nothing is known about its upstream. */
void cold_watch_init(struct cold_watch *, uint64_t now_us);

void cold_watch_set_duration(
    struct cold_watch *, uint64_t cold_start_us, uint64_t now_us);

/* Takes in a list; host is the daemon's own entry, or NULL. */
void cold_watch_list(
    struct cold_watch *, const struct loom_host *host, uint64_t now_us);

/* A leg to the upstream has ended, with a complete answer or without one. */
void cold_watch_leg(struct cold_watch *, bool complete, uint64_t now_us);

/* The upstream does not accept connections. */
void cold_watch_down(struct cold_watch *, uint64_t now_us);

/* Whether to ask the upstream for its health now; no probe is due again before
 * some time has passed. */
bool cold_watch_probe_due(struct cold_watch *, uint64_t now_us);

/* The upstream's health response stated this remaining time; 0: it is warm. */
void cold_watch_health(
    struct cold_watch *, uint64_t remaining_us, uint64_t now_us);

#endif
