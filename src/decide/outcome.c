/*
 * What may be reported about a failed call, and who may retry it.
 *
 * The outcome (what happened to this request) is decided separately from who
 * may send it again. The outcome is not-run only if that is certain: no byte
 * was written to a socket on this leg, or the one daemon that could have run
 * the request says so. For a request with a ticket that daemon is its executor.
 * Any other daemon that refuses it cannot know whether an earlier copy ran or a
 * delayed one still will, and reports unknown; the caller can safely send it
 * again with the same ticket.
 *
 * Only the hop directly above the failure retries. A failure that this hop
 * could not recover from is final on the way up, and so is any sign of
 * overload: in a chain 28 hops deep with two attempts at each hop, one call
 * would become about 250 million calls.
 */

#include "loom/outcome.h"

/* The result code of a failure for which there is no refusal yet. */
static enum loom_result
result_code(const struct loom_failure_facts *facts)
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
	case LOOM_FAILURE_COUNT:
		break;
	}
	return LOOM_INTERNAL;
}

/* The outcome, without regard to tickets. */
static enum loom_outcome
base_outcome(const struct loom_failure_facts *facts)
{
	switch (facts->failure) {
	case LOOM_FAILURE_REFUSED:
		/* The sender of the refusal has decided the outcome. */
		if (facts->refusal != NULL)
			return facts->refusal->outcome;
		return LOOM_OUTCOME_UNKNOWN;
	case LOOM_FAILURE_LOCAL:
		if (facts->refusal != NULL && !facts->sent)
			return facts->refusal->outcome;
		return LOOM_OUTCOME_UNKNOWN;
	case LOOM_FAILURE_ANSWER_CUT:
		/*
		 * The upstream began to answer, so the request ran, but it is
		 * unknown whether it ran to completion.
		 */
		return LOOM_OUTCOME_UNKNOWN;
	case LOOM_FAILURE_CONNECT:
	case LOOM_FAILURE_CUT:
	case LOOM_FAILURE_CRASH:
	case LOOM_FAILURE_DEADLINE:
	case LOOM_FAILURE_CALLER_GONE:
		break;
	case LOOM_FAILURE_COUNT:
		return LOOM_OUTCOME_UNKNOWN;
	}
	return facts->sent ? LOOM_OUTCOME_UNKNOWN : LOOM_OUTCOME_NOT_RUN;
}

/* Whether the outcome comes from the executor's daemon. */
static bool
outcome_from_executor(const struct loom_failure_facts *facts)
{
	return facts->leg == LOOM_LEG_UPSTREAM ||
	    facts->failure == LOOM_FAILURE_REFUSED;
}

static enum loom_outcome
decide_outcome(const struct loom_failure_facts *facts)
{
	struct loom_refusal refusal = { .outcome = base_outcome(facts) };

	if (facts->ticketed && !outcome_from_executor(facts))
		loom_refusal_hide_not_run(&refusal);
	return refusal.outcome;
}

/*
 * Failures of one target that other targets need not share. A crash is not
 * among them: retrying a request that crashed one upstream crashes the next
 * one, within a millisecond and before reports of the crash can reach other
 * hosts.
 */
static bool
is_target_specific(enum loom_result code)
{
	switch ((int)code) {
	case LOOM_UPSTREAM_CONNECT:
	case LOOM_UPSTREAM_SHED:
	case LOOM_UPSTREAM_LEFT:
	case LOOM_PEER_CONNECT:
	case LOOM_UPSTREAM_CUT:
	case LOOM_PEER_CUT:
	case LOOM_STOPPED:
	case LOOM_DRAINING:
	case LOOM_NO_MANIFEST:
	case LOOM_CONTEXT_STALE:
		return true;
	default:
		return false;
	}
}

/*
 * Only the entry retries, never the executor: the executor's only upstream has
 * just failed, and retries at both hops would multiply.
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
	if (!is_target_specific(code))
		return false;
	return outcome == LOOM_OUTCOME_NOT_RUN || facts->repeatable;
}

/*
 * The executor does not mark its own failures as final if another target may
 * succeed, so that the entry directly above can retry. Everything that the
 * entry passes on is final.
 */
static bool
must_be_final(const struct loom_failure_facts *facts, enum loom_result code)
{
	if (facts->refusal != NULL && facts->refusal->final)
		return true;
	if (facts->leg == LOOM_LEG_PEER)
		return true;
	return !is_target_specific(code);
}

struct loom_failure_verdict
loom_failure_decide(const struct loom_failure_facts *facts)
{
	struct loom_failure_verdict verdict = { 0 };

	verdict.code = result_code(facts);
	verdict.outcome = decide_outcome(facts);
	verdict.retry_here = may_retry(facts, verdict.code, verdict.outcome);
	verdict.final = must_be_final(facts, verdict.code);
	return verdict;
}

struct loom_refusal
loom_refusal_for_code(enum loom_result code)
{
	return (struct loom_refusal){
		.code = code,
		.outcome = loom_result_info(code)->outcome,
	};
}

void
loom_refusal_hide_not_run(struct loom_refusal *refusal)
{
	if (refusal->outcome == LOOM_OUTCOME_NOT_RUN)
		refusal->outcome = LOOM_OUTCOME_UNKNOWN;
}
