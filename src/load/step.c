/*
 * The caller's side of outcomes.
 */

#include "load/step.h"

/* A polite caller's wait when a refusal says none, and an impatient one's. */
#define POLITE_WAIT_US UINT64_C(100000)
#define IMPATIENT_WAIT_US UINT64_C(10000)
#define US_PER_MS UINT64_C(1000)

enum loom_outcome
load_outcome(const struct load_attempt *attempt)
{
	switch (attempt->end) {
	case LOAD_END_ANSWER:
	case LOAD_END_STATUS:
		return LOOM_OUTCOME_RAN;
	case LOAD_END_REFUSED:
		return attempt->refusal.outcome;
	case LOAD_END_BROKEN:
	default:
		return attempt->sent ? LOOM_OUTCOME_UNKNOWN
				     : LOOM_OUTCOME_NOT_RUN;
	}
}

/* How to send again what ended so, if at all. */
static enum load_step
way_to_repeat(
    const struct load_progress *progress, const struct load_attempt *attempt)
{
	switch (load_outcome(attempt)) {
	case LOOM_OUTCOME_NOT_RUN:
		/* A connection that never came up says nothing of the ticket:
		 * another copy of it may be under way. */
		if (attempt->end == LOAD_END_BROKEN && progress->has_ticket)
			return LOAD_STEP_SAME;
		return LOAD_STEP_FRESH;
	case LOOM_OUTCOME_UNKNOWN:
		if (progress->has_ticket)
			return LOAD_STEP_SAME;
		return progress->ticketed ? LOAD_STEP_DONE : LOAD_STEP_FRESH;
	default:
		return LOAD_STEP_DONE;
	}
}

static uint64_t
wait_us(
    const struct load_progress *progress, const struct load_attempt *attempt)
{
	if (progress->retry == LOAD_RETRY_IMPATIENT)
		return IMPATIENT_WAIT_US;
	if (attempt->end == LOAD_END_REFUSED &&
	    attempt->refusal.retry_after_ms > 0)
		return attempt->refusal.retry_after_ms * US_PER_MS;
	return POLITE_WAIT_US;
}

static bool
is_offer_of_ticket(
    const struct load_progress *progress, const struct load_attempt *attempt)
{
	return attempt->end == LOAD_END_REFUSED &&
	    attempt->refusal.code == LOOM_TICKET_NEEDED &&
	    attempt->refusal.ticket[0] != '\0' && !progress->has_ticket;
}

struct load_next
load_step_after(
    const struct load_progress *progress, const struct load_attempt *attempt)
{
	struct load_next next = { .step = LOAD_STEP_DONE };

	if (is_offer_of_ticket(progress, attempt)) {
		next.step = LOAD_STEP_TICKET;
		return next;
	}
	if (progress->retry == LOAD_RETRY_NONE || progress->attempts_left == 0)
		return next;
	next.step = way_to_repeat(progress, attempt);
	if (next.step == LOAD_STEP_DONE)
		return next;
	next.wait_us = wait_us(progress, attempt);
	if (next.wait_us >= progress->left_us)
		next = (struct load_next){ .step = LOAD_STEP_DONE };
	return next;
}
