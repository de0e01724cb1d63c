/*
 * Whether an executor hands a call back to its entry (hand_back.h).
 *
 * Load pattern: a machine takes 2.5 times as long for half a second, or a few
 * long calls take its slots, and entries that have not heard of it go on to
 * send calls there.
 *
 * What the entries know of the other hosts is as old as what they knew of this
 * one.  If all calls were handed back at once, the next host would get them all
 * and hand them back, or be slow in its turn.  So at most a part of the calls
 * is, which shortens the queue here step by step, and only while the gain is
 * larger than the errors of the estimates.
 */

#include <glib.h>

#include "decide/hand_back.h"
#include "loom/clock.h"

/* The way back to the entry and from there to the other host. */
#define ROUND_TRIP_US (5.0 * LOOM_US_PER_MS)
/* Error of the estimates, as a part of the time expected here. */
#define ERROR_PART 0.25

/* Hysteresis on the smoothed advantage, in margins. */
#define ADVANTAGE_BEGIN 2.0
#define ADVANTAGE_END 1.0
#define ADVANTAGE_WEIGHT 0.2
/* Keeps one absurd estimate from deciding for many calls. */
#define ADVANTAGE_MAX 4.0

#define SHARE_MAX 0.25
#define CREDIT_MAX 4.0

bool
hand_back_decide(struct hand_back *state, const struct hand_back_facts *facts)
{
	const double here_us = (double)facts->wait_us + (double)facts->run_us;
	const double margin_us = ROUND_TRIP_US + ERROR_PART * here_us;
	const double advantage = (here_us - (double)facts->else_us) / margin_us;

	state->credit = MIN(state->credit + SHARE_MAX, CREDIT_MAX);
	state->advantage += ADVANTAGE_WEIGHT *
	    (CLAMP(advantage, -ADVANTAGE_MAX, ADVANTAGE_MAX) -
		state->advantage);
	if (state->advantage >= ADVANTAGE_BEGIN)
		state->active = true;
	else if (state->advantage < ADVANTAGE_END)
		state->active = false;
	if (!state->active || facts->wait_us == 0 ||
	    advantage < ADVANTAGE_END || state->credit < 1 ||
	    facts->else_us >= facts->remaining_us)
		return false;
	state->credit -= 1;
	return true;
}
