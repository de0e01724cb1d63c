/*
 * The age of what a daemon holds; see the header.
 *
 * Load pattern: few daemons read the platform, and all others know by their
 * word.  A reader that is stopped, cut off or out of processor time looks no
 * different from a platform on which nothing changes, and its data centre goes
 * on with withdrawn keys and hosts that left.  So every daemon asks, and takes
 * an answer for no younger than the question.
 */

#include <glib.h>

#include "loom/age.h"

/* Clocks of two daemons differ in speed by less than one in so many. */
#define CLOCK_SPEED_PART 256

/* Of the bound; the sum of a lost watch, its time for an answer and one more
 * reading stays below it. */
#define WAIT_PART 6
#define ANSWER_PART 5
#define BEAT_PART 12
#define ELSEWHERE_TENTHS 5
#define SELF_TENTHS 6
#define TENTHS 10

/* The first few to step in are known to the others, who ask them. */
#define STANDBYS 4
#define STANDBY_STEP_US (100 * LOOM_US_PER_MS)
/* All others of a data centre together read at most once in this time, when
 * the first few have had theirs. */
#define READ_GAP_US (50 * LOOM_US_PER_MS)

void
loom_age_hold(struct loom_age *age, uint64_t moment_us)
{
	age->held_us = MAX(age->held_us, moment_us);
}

uint64_t
loom_age_proof(uint64_t asked_us, uint64_t told_us)
{
	uint64_t longest_us;

	if (told_us > UINT64_MAX - told_us / CLOCK_SPEED_PART - 1)
		return 0;
	longest_us = told_us + told_us / CLOCK_SPEED_PART + 1;
	return asked_us > longest_us ? asked_us - longest_us : 0;
}

uint64_t
loom_age_us(const struct loom_age *age, uint64_t now_us)
{
	if (age->held_us == 0)
		return UINT64_MAX;
	return now_us > age->held_us ? now_us - age->held_us : 0;
}

struct loom_age_plan
loom_age_plan(uint64_t within_us)
{
	return (struct loom_age_plan){
		.wait_us = within_us / WAIT_PART,
		.answer_us = within_us / ANSWER_PART,
		.beat_us = within_us / BEAT_PART,
		.elsewhere_us = within_us * ELSEWHERE_TENTHS / TENTHS,
		.self_us = within_us * SELF_TENTHS / TENTHS,
	};
}

uint64_t
loom_age_read_delay_us(const struct loom_age_reader *reader,
    const struct loom_age_plan *plan, const struct loom_random *random)
{
	uint32_t place;

	if (reader->alone)
		return 1 + loom_random_below(random, plan->beat_us);
	if (reader->rank < reader->readers + STANDBYS) {
		place = reader->rank - MIN(reader->rank, reader->readers);
		return 1 + place * STANDBY_STEP_US;
	}
	return plan->answer_us +
	    loom_random_below(random, (uint64_t)reader->hosts * READ_GAP_US);
}
