/*
 * Pace of the calls to an upstream; see the header.
 *
 * A token bucket whose burst is a small part of a second's calls: the upstream
 * counts arrivals in windows of any position.
 */

#include <glib.h>

#include "decide/start_rate.h"

/* Tokens are kept for so long. */
#define BURST_S 0.25
/* At a lower rate calls are so rare that the end of the bound would not be
 * noticed. */
#define RATE_MIN_PER_S 0.5

static void
refill(struct start_rate *rate, uint64_t now_us)
{
	const double per_s = MAX(rate->per_s, RATE_MIN_PER_S);
	const double elapsed_s = now_us > rate->updated_us
	    ? (double)(now_us - rate->updated_us) / (double)LOOM_US_PER_S
	    : 0;

	rate->updated_us = MAX(rate->updated_us, now_us);
	rate->tokens =
	    MIN(rate->tokens + elapsed_s * per_s, MAX(1.0, per_s * BURST_S));
}

void
start_rate_set(struct start_rate *rate, double per_s, uint64_t now_us)
{
	if (rate->per_s == 0)
		*rate = (struct start_rate){ .updated_us = now_us };
	else
		refill(rate, now_us);
	rate->per_s = per_s;
}

bool
start_rate_may_start(struct start_rate *rate, uint64_t now_us)
{
	if (rate->per_s == 0)
		return true;
	refill(rate, now_us);
	return rate->tokens >= 1.0;
}

void
start_rate_take(struct start_rate *rate)
{
	rate->tokens -= 1.0;
}

void
start_rate_give_back(struct start_rate *rate)
{
	rate->tokens += 1.0;
}
