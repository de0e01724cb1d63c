#ifndef LOOM_AGE_H
#define LOOM_AGE_H

/*
 * Age of the data that a daemon holds: the time, by its own clock, up to which
 * it holds everything that the platform had acknowledged.
 *
 * This time never moves back and is never later than the truth: late messages,
 * stopped processes and clocks that run at different speeds only make the data
 * look older than it is.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

struct loom_age {
	uint64_t as_of_us; /* no data is missing up to here; 0: no data yet */
};

/*
 * Records that everything the platform had acknowledged by as_of_us is held:
 * either a call to the platform began then and its answer is held, or a peer's
 * answer proves it (loom_age_peer_as_of_us()) and the peer's values are held.
 * Ignores a time earlier than the one recorded.
 */
void loom_age_advance(struct loom_age *, uint64_t as_of_us);

/*
 * Returns the time up to which a peer's data was complete: asked_us is when the
 * peer was asked, by the own clock, and peer_age_us the age that it answered
 * with.  0 if the answer proves nothing.
 */
uint64_t loom_age_peer_as_of_us(uint64_t asked_us, uint64_t peer_age_us);

/* Returns UINT64_MAX when nothing is held yet. */
uint64_t loom_age_us(const struct loom_age *, uint64_t now_us);

/*
 * Timing that keeps the age within a bound; every value is a fraction of it.
 * When a reader's watch is lost, or a daemon's reader is gone, the platform
 * must have been read again before the bound has passed.
 */
struct loom_age_timing {
	uint64_t watch_us; /* duration of a reader's watch */
	uint64_t answer_us; /* further time allowed for the answer */
	uint64_t query_interval_us; /* between two queries to peers */
	uint64_t
	    wide_query_age_us; /* at this age other peers are queried too */
	uint64_t platform_read_age_us; /* at this age the daemon reads the
					  platform */
};

struct loom_age_timing loom_age_timing(uint64_t within_us);

/* A daemon that has to read the platform since no peer has newer data. */
struct loom_age_reader {
	uint32_t rank; /* position in the order of its data centre */
	uint32_t nreaders; /* daemons of a lower rank watch the platform */
	uint32_t nhosts; /* in the data centre */
	bool isolated; /* no peer has answered recently */
};

/*
 * Returns how long after reaching platform_read_age_us the daemon reads the
 * platform; also the extra delay before each retry.  Delays are staggered, so
 * that the rate of reads does not grow with the size of the data centre.
 */
uint64_t loom_age_read_delay_us(const struct loom_age_reader *,
    const struct loom_age_timing *, const struct loom_random *);

#endif
