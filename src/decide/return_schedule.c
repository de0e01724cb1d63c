/*
 * Schedules the return of refused callers.
 *
 * Load pattern: the moment after a burst, and the end of an overload. Without a
 * schedule, all refused callers return after the same wait, and the next burst
 * is as large as the first. A random wait of fixed width reduces the burst only
 * by a constant factor, however many callers there are. Here each refusal takes
 * the next free slot of a schedule, so that the width grows with the number of
 * callers.
 *
 * All importances together may return at a twentieth of the rate that the
 * service completes, with larger shares for the more important ones. Entries
 * and executors assign slots independently, so about twice that rate arrives,
 * which a service at 70% utilization before the surge can serve in addition. A
 * 3x surge of 4 s refuses calls whose return takes 80 s at that rate, so the
 * schedule extends to 60 s; beyond that, waits are drawn at random from the
 * upper half. With 5 s (measured), a surge of 4 s was followed by more than 4 s
 * of overload from its own returning callers.
 */

#include "loom/return_schedule.h"

/* Fraction of the service's completion rate. */
static const double return_share[LOOM_IMPORTANCE_COUNT] = {
	[LOOM_CRITICAL] = 0.02,
	[LOOM_HIGH] = 0.015,
	[LOOM_NORMAL] = 0.01,
	[LOOM_LOW] = 0.005,
};

#define RATE_MIN 1.0 /* calls/s, for a service that completes none */

static uint64_t
jitter(const struct loom_random *random, uint64_t width_us)
{
	return loom_random_below(random, width_us + 1);
}

uint64_t
loom_return_schedule_reserve(struct loom_return_schedule *returns,
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
