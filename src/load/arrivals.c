/*
 * Poisson process with a piecewise constant rate.  The expected number of
 * arrivals until the next one, the integral of the rate over the gap, is drawn
 * from the exponential distribution with mean 1.  If the rate changes within
 * the gap, what remains of that number continues at the new rate.
 */

#include <math.h>
#include <string.h>

#include "load/arrivals.h"

#define US_PER_MS 1e3
#define US_PER_S 1e6

double
load_arrivals_rate_per_s(const struct load_arrivals *arrivals, double at_us)
{
	const struct load_surge *surge;
	double rate = arrivals->rate_per_s;
	uint32_t i;

	for (i = 0; i < arrivals->nsurges; i++) {
		surge = &arrivals->surges[i];
		if (strcmp(surge->team, arrivals->team) == 0 &&
		    at_us >= surge->from_ms * US_PER_MS &&
		    at_us < surge->until_ms * US_PER_MS)
			rate *= surge->times;
	}
	return rate;
}

/* The next time after at_us at which a surge begins or ends; INFINITY when
 * there is none. */
static double
next_change_us(const struct load_arrivals *arrivals, double at_us)
{
	double next = INFINITY, from, until;
	uint32_t i;

	for (i = 0; i < arrivals->nsurges; i++) {
		from = arrivals->surges[i].from_ms * US_PER_MS;
		until = arrivals->surges[i].until_ms * US_PER_MS;
		if (from > at_us)
			next = fmin(next, from);
		if (until > at_us)
			next = fmin(next, until);
	}
	return next;
}

uint64_t
load_arrivals_next(struct load_arrivals *arrivals)
{
	double remaining = -log(1 - g_rand_double(arrivals->rand));
	double rate_per_us, change_us;

	for (;;) {
		rate_per_us =
		    load_arrivals_rate_per_s(arrivals, arrivals->time_us) /
		    US_PER_S;
		change_us = next_change_us(arrivals, arrivals->time_us);
		if (rate_per_us > 0 &&
		    arrivals->time_us + remaining / rate_per_us < change_us) {
			arrivals->time_us += remaining / rate_per_us;
			return (uint64_t)arrivals->time_us;
		}
		if (isinf(change_us))
			return LOAD_NEVER;
		remaining -= rate_per_us * (change_us - arrivals->time_us);
		arrivals->time_us = change_us;
	}
}
