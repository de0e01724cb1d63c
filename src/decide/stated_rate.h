#ifndef LOOM_DECIDE_STATED_RATE_H
#define LOOM_DECIDE_STATED_RATE_H

/*
 * The rate of requests that an upstream says it takes from all daemons
 * together, as the daemon beside it believes it.  Not thread-safe.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

/* A higher rate is no bound on any upstream. */
#define STATED_RATE_MAX_PER_S 1e6

enum stated_rate_source {
	STATED_RATE_UNKNOWN, /* nothing has been heard yet */
	STATED_RATE_FROM_PEER, /* a daemon that was told earlier */
	STATED_RATE_FROM_UPSTREAM,
};

/* Zero-initialized for an upstream that has not answered yet. */
struct stated_rate {
	enum stated_rate_source source;
	double per_s; /* 0: no bound */
	uint64_t without_us; /* since when answers state none; 0: they do */
};

/*
 * Parses a decimal number of requests a second.  Returns false for anything
 * else, also for a negative number, one with an exponent and one that is not
 * finite.  A rate above STATED_RATE_MAX_PER_S is no bound: *per_s is 0 then.
 */
bool stated_rate_parse(const char *text, double *per_s);

/*
 * Takes in an answer of the upstream; text is its statement, or NULL if it has
 * none.  A malformed one says nothing, neither that there is a bound nor that
 * there is none.
 */
void stated_rate_note_answer(
    struct stated_rate *, const char *text, uint64_t now_us);

/*
 * Takes in what another daemon was told earlier.  It counts until the upstream
 * itself has answered, as after a restart of this daemon.
 */
void stated_rate_note_peer(struct stated_rate *, double per_s);

#endif
