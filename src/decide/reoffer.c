/*
 * Repeats at the upstream that rejected a call.
 *
 * Load pattern: all upstreams of the last service of a call chain reject half
 * of their calls at random for some seconds.  A request makes eight calls
 * there, so only one of 250 requests succeeds although half of the service's
 * capacity is available: each rejected call discards the work of the calls
 * before it.  Another host is no better than this one, which already has the
 * request and a free slot for it, so the call is offered here again.
 *
 * An upstream that rejects nearly everything is left instead, since the fault
 * may be its own.  After the last offer the refusal is final: a further series
 * of offers at the next host would multiply the repeats.
 */

#include <glib.h>
#include <math.h>

#include "decide/reoffer.h"

/* The acceptance covers about this many calls, or those of the last second if
 * they were fewer: a service that admits little has few calls to measure by. */
#define ACCEPTANCE_CALLS 50.0
#define ACCEPTANCE_TAU_US (1.0 * LOOM_US_PER_S)
/* Accepted calls that are assumed in addition, so that a single rejection does
 * not look like an upstream that rejects everything. */
#define ASSUMED_ACCEPTED 2.0
/* With fewer accepted, one call in six fails even after all offers. */
#define HOPELESS_ACCEPTANCE 0.2

/* With fewer nested calls for each call, the repeats that they would be at the
 * services below are within the margin of those services' budgets. */
#define NESTED_SHARE 0.05
#define NESTED_SENT_MIN 20.0
#define NESTED_TAU_US (10.0 * LOOM_US_PER_S)

/* Rejections come within a millisecond; without a random part, calls that were
 * rejected together would return together. */
#define PAUSE_MIN_US (1 * LOOM_US_PER_MS)
#define PAUSE_RANDOM_US (LOOM_REOFFER_PAUSE_MAX_US - PAUSE_MIN_US)

static double
decay(const struct loom_acceptance *acceptance, uint64_t now_us)
{
	if (now_us <= acceptance->updated_us)
		return 1;
	return exp(
	    -(double)(now_us - acceptance->updated_us) / ACCEPTANCE_TAU_US);
}

void
loom_acceptance_note(
    struct loom_acceptance *acceptance, bool accepted, uint64_t now_us)
{
	double kept = decay(acceptance, now_us) * (1 - 1 / ACCEPTANCE_CALLS);

	acceptance->accepted *= kept;
	acceptance->rejected *= kept;
	acceptance->updated_us = MAX(now_us, acceptance->updated_us);
	if (accepted)
		acceptance->accepted++;
	else
		acceptance->rejected++;
}

double
loom_acceptance_share(const struct loom_acceptance *acceptance, uint64_t now_us)
{
	double kept = decay(acceptance, now_us);
	double accepted = acceptance->accepted * kept + ASSUMED_ACCEPTED;

	return accepted / (accepted + acceptance->rejected * kept);
}

static void
age_nested_rate(struct loom_nested_rate *rate, uint64_t now_us)
{
	double kept;

	if (now_us <= rate->updated_us)
		return;
	kept = exp(-(double)(now_us - rate->updated_us) / NESTED_TAU_US);
	rate->sent *= kept;
	rate->nested *= kept;
	rate->updated_us = now_us;
}

void
loom_nested_rate_note_sent(struct loom_nested_rate *rate, uint64_t now_us)
{
	age_nested_rate(rate, now_us);
	rate->sent++;
}

void
loom_nested_rate_note_nested(struct loom_nested_rate *rate, uint64_t now_us)
{
	age_nested_rate(rate, now_us);
	rate->nested++;
}

bool
loom_nested_rate_may_nest(const struct loom_nested_rate *rate, uint64_t now_us)
{
	struct loom_nested_rate now = *rate;

	age_nested_rate(&now, now_us);
	return now.sent < NESTED_SENT_MIN ||
	    now.nested >= now.sent * NESTED_SHARE;
}

bool
loom_acceptance_is_hopeless(double share)
{
	return share < HOPELESS_ACCEPTANCE;
}

enum loom_reoffer_verdict
loom_reoffer_decide(const struct loom_rejected_call *call)
{
	if (!call->body_available || !call->has_time ||
	    call->is_bounded_otherwise)
		return LOOM_REOFFER_ELSEWHERE;
	if (call->offers >= LOOM_REOFFER_MAX)
		return LOOM_REOFFER_END;
	if (loom_acceptance_is_hopeless(call->acceptance))
		return LOOM_REOFFER_ELSEWHERE;
	return LOOM_REOFFER_AGAIN;
}

uint64_t
loom_reoffer_pause_us(const struct loom_random *random)
{
	return PAUSE_MIN_US + loom_random_below(random, PAUSE_RANDOM_US);
}
