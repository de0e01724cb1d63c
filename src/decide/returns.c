/*
 * When refused callers may come back.
 *
 * Answers: the moment after a burst, and the end of an overload.  Without a
 * schedule all refused callers return after the same wait and make the next
 * burst as large as the first; a random wait of fixed width thins it by a
 * constant, however many there are.  Here each refusal takes the next free
 * place of one schedule, so that the width grows with their number.
 *
 * A tenth of what the service ends is the share that can be let in on top: an
 * overload of 3x that turned away two thirds leaves room for the first
 * attempts, and a service at 90% can still take the returning tenth.  The
 * longest wait is 5 s, above which people give up; past it places are drawn
 * from the upper half of the range.
 */

#include "loom/returns.h"

#define RETURN_SHARE 0.1 /* of what the service ends */
#define RATE_MIN 1.0 /* calls/s, for a service that ends none */

static uint64_t
jitter(const struct loom_random *random, uint64_t width_us)
{
	return loom_random_below(random, width_us + 1);
}

uint64_t
loom_returns_after(struct loom_returns *returns, double rate_per_s,
    const struct loom_random *random, uint64_t now_us)
{
	uint64_t gap_us, wait_us;

	if (rate_per_s < RATE_MIN)
		rate_per_s = RATE_MIN;
	gap_us =
	    (uint64_t)((double)LOOM_US_PER_S / (rate_per_s * RETURN_SHARE));
	if (returns->next_us < now_us + LOOM_RETURN_MIN_US)
		returns->next_us = now_us + LOOM_RETURN_MIN_US;
	wait_us = returns->next_us - now_us;
	if (wait_us + gap_us > LOOM_RETURN_MAX_US)
		return LOOM_RETURN_MAX_US / 2 +
		    jitter(random, LOOM_RETURN_MAX_US / 2);
	returns->next_us += gap_us;
	return wait_us + jitter(random, gap_us);
}
