/*
 * What may be said about a failed call.
 *
 * Two questions are kept apart: what happened to this request (the outcome),
 * and who may send it again.  "Not run" is said only where it is known for
 * certain: no byte was given to a socket on this leg, or the one place that
 * could have run it says so.  A request with a ticket has one such place, its
 * executor; any other that turns it away cannot know whether an earlier copy
 * ran or a delayed one still will, and says unknown.  Its caller sends it
 * again with the same ticket, which is always safe.
 *
 * Retry happens on the hop right above the failure alone.  What that hop did
 * not mend is final on the way up, and so is every sign of overload: a chain
 * that is 28 deep and tries twice at each hop would make a quarter of a
 * milliard calls of one.
 */

#include "loom/outcome.h"

/* A code by leg for a failure that nobody else has named. */
static enum loom_result
code_of(const struct loom_failure_facts *facts)
{
	bool upstream = facts->leg == LOOM_LEG_UPSTREAM;

	switch (facts->failure) {
	case LOOM_FAILURE_CONNECT:
		return upstream ? LOOM_UPSTREAM_CONNECT : LOOM_PEER_CONNECT;
	case LOOM_FAILURE_CUT:
	case LOOM_FAILURE_ANSWER_CUT:
		return upstream ? LOOM_UPSTREAM_CUT : LOOM_PEER_CUT;
	case LOOM_FAILURE_CRASH:
		return upstream ? LOOM_UPSTREAM_CRASHED : LOOM_PEER_CUT;
	case LOOM_FAILURE_DEADLINE:
		return facts->sent ? LOOM_DEADLINE : LOOM_QUEUE_DEADLINE;
	case LOOM_FAILURE_CALLER_GONE:
		return LOOM_CALLER_GONE;
	case LOOM_FAILURE_REFUSED:
	case LOOM_FAILURE_LOCAL:
		if (facts->refusal != NULL)
			return facts->refusal->code;
		return LOOM_INTERNAL;
	case LOOM_FAILURES:
		break;
	}
	return LOOM_INTERNAL;
}

/* What is known before tickets are looked at. */
static enum loom_outcome
plain_outcome(const struct loom_failure_facts *facts)
{
	switch (facts->failure) {
	case LOOM_FAILURE_REFUSED:
		/* A refusal is the word of whoever sent it. */
		if (facts->refusal != NULL)
			return facts->refusal->outcome;
		return LOOM_OUTCOME_UNKNOWN;
	case LOOM_FAILURE_LOCAL:
		if (facts->refusal != NULL && !facts->sent)
			return facts->refusal->outcome;
		return LOOM_OUTCOME_UNKNOWN;
	case LOOM_FAILURE_ANSWER_CUT:
		/* The upstream answered, so it ran; whether to its end nobody
		 * can tell. */
		return LOOM_OUTCOME_UNKNOWN;
	case LOOM_FAILURE_CONNECT:
	case LOOM_FAILURE_CUT:
	case LOOM_FAILURE_CRASH:
	case LOOM_FAILURE_DEADLINE:
	case LOOM_FAILURE_CALLER_GONE:
		break;
	case LOOM_FAILURES:
		return LOOM_OUTCOME_UNKNOWN;
	}
	return facts->sent ? LOOM_OUTCOME_UNKNOWN : LOOM_OUTCOME_NOT_RUN;
}

/* True when the refusal was said by the executor's daemon. */
static bool
executor_speaks(const struct loom_failure_facts *facts)
{
	return facts->leg == LOOM_LEG_UPSTREAM ||
	    facts->failure == LOOM_FAILURE_REFUSED;
}

static enum loom_outcome
outcome_of(const struct loom_failure_facts *facts)
{
	struct loom_refusal refusal = { .outcome = plain_outcome(facts) };

	if (facts->ticketed && !executor_speaks(facts))
		loom_refusal_ticket_not_begun(&refusal);
	return refusal.outcome;
}

/* Failures of one target, which another may not share.  A crash is not among
 * them: the retry of a request that crashed one upstream crashes the next,
 * within a millisecond and before the word of it can spread. */
static bool
other_target_may_help(enum loom_result code)
{
	switch ((int)code) {
	case LOOM_UPSTREAM_CONNECT:
	case LOOM_UPSTREAM_SHED:
	case LOOM_PEER_CONNECT:
	case LOOM_UPSTREAM_CUT:
	case LOOM_PEER_CUT:
	case LOOM_DRAINING:
	case LOOM_NO_MANIFEST:
	case LOOM_CONTEXT_STALE:
		return true;
	default:
		return false;
	}
}

/*
 * The entry tries again, never the executor: its one upstream has just shown
 * that it fails, and trying on both hops multiplies.
 */
static bool
may_retry(const struct loom_failure_facts *facts, enum loom_result code,
    enum loom_outcome outcome)
{
	if (facts->leg != LOOM_LEG_PEER || facts->ticketed)
		return false;
	if (facts->failure == LOOM_FAILURE_LOCAL ||
	    facts->failure == LOOM_FAILURE_ANSWER_CUT)
		return false;
	if (facts->refusal != NULL && facts->refusal->final)
		return false;
	if (!other_target_may_help(code))
		return false;
	return outcome == LOOM_OUTCOME_NOT_RUN || facts->repeatable;
}

/*
 * The executor leaves a failure of its own open, so that the entry right
 * above may try; everything that passes the entry is final.
 */
static bool
is_final(const struct loom_failure_facts *facts, enum loom_result code)
{
	if (facts->refusal != NULL && facts->refusal->final)
		return true;
	if (facts->leg == LOOM_LEG_PEER)
		return true;
	return !other_target_may_help(code);
}

struct loom_failure_verdict
loom_failure_decide(const struct loom_failure_facts *facts)
{
	struct loom_failure_verdict verdict = { 0 };

	verdict.code = code_of(facts);
	verdict.outcome = outcome_of(facts);
	verdict.retry_here = may_retry(facts, verdict.code, verdict.outcome);
	verdict.final = is_final(facts, verdict.code);
	return verdict;
}

struct loom_refusal
loom_refusal_of(enum loom_result code)
{
	return (struct loom_refusal){
		.code = code,
		.outcome = loom_result_info(code)->outcome,
	};
}

void
loom_refusal_ticket_not_begun(struct loom_refusal *refusal)
{
	if (refusal->outcome == LOOM_OUTCOME_NOT_RUN)
		refusal->outcome = LOOM_OUTCOME_UNKNOWN;
}
