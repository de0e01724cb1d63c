/* Which failures may be retried, and the limits on retries. */

#include "decide/retry.h"
#include "loom/retry.h"

/*
 * Retries that a burst of failures may use at once. A larger number would
 * itself overload the service.
 */
#define CREDIT_MAX 10.0
/* Free retries per second, earned only while the credit is below one. */
#define CREDIT_FREE_PER_S 1.0

static void
accrue_free_credit(struct loom_retry_credit *credit, uint64_t now_us)
{
	double free;

	if (now_us <= credit->updated_us)
		return;
	free = CREDIT_FREE_PER_S * (double)(now_us - credit->updated_us) / 1e6;
	if (credit->credit < 1)
		credit->credit =
		    credit->credit + free < 1 ? credit->credit + free : 1;
	credit->updated_us = now_us;
}

void
loom_retry_credit_earn(
    struct loom_retry_credit *credit, double ratio, uint64_t now_us)
{
	accrue_free_credit(credit, now_us);
	credit->credit += ratio;
	if (credit->credit > CREDIT_MAX)
		credit->credit = CREDIT_MAX;
}

bool
loom_retry_credit_spend(struct loom_retry_credit *credit, uint64_t now_us)
{
	accrue_free_credit(credit, now_us);
	if (credit->credit < 1)
		return false;
	credit->credit -= 1;
	return true;
}

void
loom_retry_credit_refund(struct loom_retry_credit *credit)
{
	credit->credit += 1;
	if (credit->credit > CREDIT_MAX)
		credit->credit = CREDIT_MAX;
}

bool
loom_retry_budget_spend(struct loom_retry_budget *budget, uint64_t now_us)
{
	if (now_us >= budget->deadline_us || budget->remaining == 0)
		return false;
	budget->remaining--;
	return true;
}

/*
 * Failures of a single host, where another host may succeed. Overload is not
 * among them, because a retry would add to the load. Neither are refusals that
 * any other host would repeat, nor a missed deadline.
 */
static bool
is_host_specific(enum loom_result code)
{
	switch (code) {
	case LOOM_DRAINING:
	case LOOM_CONTEXT_INVALID: /* address reassigned to another host */
	case LOOM_PEER_CONNECT:
	case LOOM_UPSTREAM_CONNECT:
	case LOOM_UPSTREAM_SHED:
	case LOOM_UPSTREAM_LEFT:
	case LOOM_UPSTREAM_CUT:
	case LOOM_PEER_CUT:
	case LOOM_STOPPED:
		return true;
	default:
		return false;
	}
}

/*
 * Failures before anything was sent. Nothing ran, so even a call that must not
 * be repeated can be sent to another host.
 */
bool
loom_retry_failed_before_sending(enum loom_result code)
{
	return code == LOOM_DRAINING || code == LOOM_CONTEXT_INVALID ||
	    code == LOOM_PEER_CONNECT || code == LOOM_UPSTREAM_CONNECT ||
	    code == LOOM_UPSTREAM_SHED || code == LOOM_UPSTREAM_LEFT;
}

enum loom_retry_verdict
loom_retry_decide(const struct loom_retry_failure *failure, bool *final)
{
	/*
	 * Either this is the hop directly above the failure, or the failure is
	 * final already. In both cases no hop further up may retry, since the
	 * retries of all hops would multiply.
	 */
	*final = true;
	if (failure->final || !failure->body_available ||
	    failure->answer_started)
		return LOOM_RETRY_NO;
	if (!failure->repeatable &&
	    !loom_retry_failed_before_sending(failure->code))
		return LOOM_RETRY_NO;
	if (failure->remaining_us <= failure->expected_us)
		return LOOM_RETRY_NO;
	if (!is_host_specific(failure->code))
		return LOOM_RETRY_NO;
	return LOOM_RETRY_NEEDS_GRANT;
}
