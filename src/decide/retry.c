/*
 * Which failure may be repeated, and what bounds it.
 */

#include "decide/retry.h"
#include "loom/retry.h"

/* Retries that a burst of failures may use at once; more would be a storm of
 * its own. */
#define CREDIT_MAX 10.0
/* Free retries a second, while there is less than one to spend. */
#define CREDIT_FREE_PER_S 1.0

static void
credit_to(struct loom_retry_credit *credit, uint64_t now_us)
{
	double free;

	if (now_us <= credit->at_us)
		return;
	free = CREDIT_FREE_PER_S * (double)(now_us - credit->at_us) / 1e6;
	if (credit->credit < 1)
		credit->credit =
		    credit->credit + free < 1 ? credit->credit + free : 1;
	credit->at_us = now_us;
}

void
loom_retry_credit_first(
    struct loom_retry_credit *credit, double ratio, uint64_t now_us)
{
	credit_to(credit, now_us);
	credit->credit += ratio;
	if (credit->credit > CREDIT_MAX)
		credit->credit = CREDIT_MAX;
}

bool
loom_retry_credit_take(struct loom_retry_credit *credit, uint64_t now_us)
{
	credit_to(credit, now_us);
	if (credit->credit < 1)
		return false;
	credit->credit -= 1;
	return true;
}

void
loom_retry_credit_return(struct loom_retry_credit *credit)
{
	credit->credit += 1;
	if (credit->credit > CREDIT_MAX)
		credit->credit = CREDIT_MAX;
}

bool
loom_retry_budget_take(struct loom_retry_budget *budget, uint64_t now_us)
{
	if (now_us >= budget->deadline_us || budget->left == 0)
		return false;
	budget->left--;
	return true;
}

/*
 * Only failures of one host: another may do better.  Overload is none of
 * them: a retry would add load where there is too much.  Nor are refusals
 * that any other host would repeat, nor a deadline that has passed.
 */
static bool
may_do_better_elsewhere(enum loom_result code)
{
	switch (code) {
	case LOOM_DRAINING:
	case LOOM_CONTEXT_INVALID: /* the host's address is another's now */
	case LOOM_PEER_CONNECT:
	case LOOM_UPSTREAM_CONNECT:
	case LOOM_UPSTREAM_SHED:
	case LOOM_UPSTREAM_CUT:
	case LOOM_PEER_CUT:
		return true;
	default:
		return false;
	}
}

/* Failures before a byte was sent: nothing ran, so that a call which may not
 * be repeated can go elsewhere as well. */
static bool
never_ran(enum loom_result code)
{
	return code == LOOM_DRAINING || code == LOOM_CONTEXT_INVALID ||
	    code == LOOM_PEER_CONNECT || code == LOOM_UPSTREAM_CONNECT ||
	    code == LOOM_UPSTREAM_SHED;
}

enum loom_retry_verdict
loom_retry_may(const struct loom_retry_failure *failure, bool *final)
{
	/*
	 * This is the hop right above the failure, or the failure is final
	 * already.  Either way no hop further up may try again: retries would
	 * multiply at each of them.
	 */
	*final = true;
	if (failure->final || !failure->body_kept || failure->answer_begun)
		return LOOM_RETRY_NO;
	if (!failure->repeatable && !never_ran(failure->code))
		return LOOM_RETRY_NO;
	if (failure->remaining_us <= failure->expected_us)
		return LOOM_RETRY_NO;
	if (!may_do_better_elsewhere(failure->code))
		return LOOM_RETRY_NO;
	return LOOM_RETRY_ASK_HOME;
}
