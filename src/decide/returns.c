/*
 * When refused callers may come back.
 *
 * Answers: the moment after a burst, and the end of an overload.  Without a
 * schedule all refused callers return after the same wait and make the next
 * burst as large as the first; a random wait of fixed width thins it by a
 * constant, however many there are.  Here each refusal takes the next free
 * place of one schedule, so that the width grows with their number.
 *
 * All importances together may bring back a twentieth of what the service
 * ends, the more important ones more of it.  Entries and executors hand out
 * places on their own, so about twice that arrives, which a service that is
 * used to 70% before a surge takes on top.  A surge of 3x that lasts 4 s turns
 * away what takes 80 s to return into
 * that room, so the schedule reaches 60 s; past it places are drawn from its
 * upper half.  With 5 s (measured) a surge of 4 s was followed by more than
 * 4 s of overload by its own returns.
 */

#include "loom/returns.h"

/* Of what the service ends. */
static const double return_share[LOOM_IMPORTANCES] = {
	[LOOM_CRITICAL] = 0.02,
	[LOOM_HIGH] = 0.015,
	[LOOM_NORMAL] = 0.01,
	[LOOM_LOW] = 0.005,
};

#define RATE_MIN 1.0 /* calls/s, for a service that ends none */

static uint64_t
jitter(const struct loom_random *random, uint64_t width_us)
{
	return loom_random_below(random, width_us + 1);
}

uint64_t
loom_returns_after(struct loom_returns *returns,
    enum loom_importance importance, double rate_per_s,
    const struct loom_random *random, uint64_t now_us)
{
	uint64_t *next_us = &returns->next_us[importance];
	double returns_per_s;
	uint64_t gap_us, wait_us;

	if (rate_per_s < RATE_MIN)
		rate_per_s = RATE_MIN;
	returns_per_s = rate_per_s * return_share[importance];
	gap_us = (uint64_t)((double)LOOM_US_PER_S / returns_per_s);
	if (*next_us < now_us + LOOM_RETURN_MIN_US)
		*next_us = now_us + LOOM_RETURN_MIN_US;
	wait_us = *next_us - now_us;
	if (wait_us + gap_us > LOOM_RETURN_MAX_US)
		return LOOM_RETURN_MAX_US / 2 +
		    jitter(random, LOOM_RETURN_MAX_US / 2);
	*next_us += gap_us;
	return wait_us + jitter(random, gap_us);
}
