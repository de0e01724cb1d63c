/*
 * Age of the data that a daemon holds; see the header.
 *
 * Few daemons read the platform, and all others depend on what those pass on.
 * A reader that is stopped, cut off or out of processor time looks just like a
 * platform on which nothing changes, and its data centre would go on using
 * withdrawn keys and hosts that have left.  So every daemon queries its peers,
 * and treats an answer as no newer than the time of the query.
 */

#include <glib.h>

#include "loom/age.h"

/* The speeds of two daemons' clocks differ by less than 1 in 256. */
#define CLOCK_DRIFT_DIVISOR 256

/*
 * Fractions of the bound.  A change may be missed for the length of a lost
 * watch, the time allowed for its answer and one more read; their sum is below
 * the bound.
 */
#define WATCH_DIVISOR 6
#define ANSWER_DIVISOR 5
#define QUERY_INTERVAL_DIVISOR 12
#define WIDE_QUERY_TENTHS 5
#define PLATFORM_READ_TENTHS 6
#define TENTHS 10

/*
 * The daemons ranked next after the readers read the platform first, one after
 * another.  Other daemons query the first of them, and so seldom have to read
 * the platform themselves.
 */
#define STANDBYS 4
#define STANDBY_STEP_US (100 * LOOM_US_PER_MS)
/* After that, all other daemons of a data centre together read the platform
 * about once per interval. */
#define READ_INTERVAL_US (50 * LOOM_US_PER_MS)

void
loom_age_advance(struct loom_age *age, uint64_t as_of_us)
{
	age->as_of_us = MAX(age->as_of_us, as_of_us);
}

uint64_t
loom_age_peer_as_of_us(uint64_t asked_us, uint64_t peer_age_us)
{
	uint64_t max_age_us;

	if (peer_age_us > UINT64_MAX - peer_age_us / CLOCK_DRIFT_DIVISOR - 1)
		return 0;
	max_age_us = peer_age_us + peer_age_us / CLOCK_DRIFT_DIVISOR + 1;
	return asked_us > max_age_us ? asked_us - max_age_us : 0;
}

uint64_t
loom_age_us(const struct loom_age *age, uint64_t now_us)
{
	if (age->as_of_us == 0)
		return UINT64_MAX;
	return now_us > age->as_of_us ? now_us - age->as_of_us : 0;
}

struct loom_age_timing
loom_age_timing(uint64_t within_us)
{
	return (struct loom_age_timing){
		.watch_us = within_us / WATCH_DIVISOR,
		.answer_us = within_us / ANSWER_DIVISOR,
		.query_interval_us = within_us / QUERY_INTERVAL_DIVISOR,
		.wide_query_age_us = within_us * WIDE_QUERY_TENTHS / TENTHS,
		.platform_read_age_us =
		    within_us * PLATFORM_READ_TENTHS / TENTHS,
	};
}

uint64_t
loom_age_read_delay_us(const struct loom_age_reader *reader,
    const struct loom_age_timing *timing, const struct loom_random *random)
{
	uint32_t position;

	if (reader->isolated)
		return 1 + loom_random_below(random, timing->query_interval_us);
	if (reader->rank < reader->nreaders + STANDBYS) {
		position = reader->rank - MIN(reader->rank, reader->nreaders);
		return 1 + position * STANDBY_STEP_US;
	}
	return timing->answer_us +
	    loom_random_below(
		random, (uint64_t)reader->nhosts * READ_INTERVAL_US);
}
