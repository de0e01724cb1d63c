/*
 * Decides whether and how a caller retries, by the outcome of the attempt.
 */

#include "load/retry.h"

/* Delay of a polite caller without Retry-After, and of an impatient caller. */
#define POLITE_WAIT_US UINT64_C(100000)
#define IMPATIENT_WAIT_US UINT64_C(10000)
#define US_PER_MS UINT64_C(1000)

enum loom_outcome
load_attempt_outcome(const struct load_attempt *attempt)
{
	switch (attempt->end) {
	case LOAD_END_SUCCESS:
	case LOAD_END_ERROR_STATUS:
		return LOOM_OUTCOME_RAN;
	case LOAD_END_REFUSED:
		return attempt->refusal.outcome;
	case LOAD_END_INCOMPLETE:
	default:
		return attempt->sent ? LOOM_OUTCOME_UNKNOWN
				     : LOOM_OUTCOME_NOT_RUN;
	}
}

/* Chooses how to retry, if at all, by the outcome and the ticket.  Attempts
 * left and the deadline are checked by load_decide_retry(). */
static enum load_action
choose_resend(
    const struct load_request_state *state, const struct load_attempt *attempt)
{
	switch (load_attempt_outcome(attempt)) {
	case LOOM_OUTCOME_NOT_RUN:
		/* A failed connection does not tell the state of the ticket: an
		 * earlier attempt with it may still be running. */
		if (attempt->end == LOAD_END_INCOMPLETE && state->has_ticket)
			return LOAD_ACTION_RESEND;
		return LOAD_ACTION_START_OVER;
	case LOOM_OUTCOME_UNKNOWN:
		if (state->has_ticket)
			return LOAD_ACTION_RESEND;
		return state->needs_ticket ? LOAD_ACTION_FINISH
					   : LOAD_ACTION_START_OVER;
	default:
		return LOAD_ACTION_FINISH;
	}
}

static uint64_t
retry_delay_us(
    const struct load_request_state *state, const struct load_attempt *attempt)
{
	if (state->retry == LOAD_RETRY_IMPATIENT)
		return IMPATIENT_WAIT_US;
	if (attempt->end == LOAD_END_REFUSED &&
	    attempt->refusal.retry_after_ms > 0)
		return attempt->refusal.retry_after_ms * US_PER_MS;
	return POLITE_WAIT_US;
}

static bool
offers_ticket(
    const struct load_request_state *state, const struct load_attempt *attempt)
{
	return attempt->end == LOAD_END_REFUSED &&
	    attempt->refusal.code == LOOM_TICKET_NEEDED &&
	    attempt->refusal.ticket[0] != '\0' && !state->has_ticket;
}

struct load_decision
load_decide_retry(
    const struct load_request_state *state, const struct load_attempt *attempt)
{
	struct load_decision decision = { .action = LOAD_ACTION_FINISH };

	if (offers_ticket(state, attempt)) {
		decision.action = LOAD_ACTION_SEND_TICKET;
		return decision;
	}
	if (state->retry == LOAD_RETRY_NONE || state->attempts_left == 0)
		return decision;
	decision.action = choose_resend(state, attempt);
	if (decision.action == LOAD_ACTION_FINISH)
		return decision;
	decision.wait_us = retry_delay_us(state, attempt);
	if (decision.wait_us >= state->remaining_us)
		decision =
		    (struct load_decision){ .action = LOAD_ACTION_FINISH };
	return decision;
}
