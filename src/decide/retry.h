#ifndef LOOM_DECIDE_RETRY_H
#define LOOM_DECIDE_RETRY_H

/*
 * Limits on retries: the retry credit of a service and the budget of one
 * request at its home. Which failures may be retried is decided by
 * loom_retry_decide() in loom/retry.h.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * The retry credit of a service. It guards against a service that fails for
 * many callers at once: each request alone is within its budget, but together
 * the retries would double the load on a service that is already failing. Each
 * first attempt earns a fraction of a retry, so that retries stay within that
 * fraction of the load. One retry per second is free; otherwise a service that
 * is rarely called could never be retried.
 */
struct loom_retry_credit {
	double credit; /* retries available now */
	uint64_t updated_us;
};

void loom_retry_credit_earn(
    struct loom_retry_credit *, double ratio, uint64_t now_us);
bool loom_retry_credit_spend(struct loom_retry_credit *, uint64_t now_us);
/* Undoes a spend for a retry that was not made. */
void loom_retry_credit_refund(struct loom_retry_credit *);

/* The retry budget of one request. */
struct loom_retry_budget {
	uint64_t deadline_us;
	uint32_t remaining;
};

bool loom_retry_budget_spend(struct loom_retry_budget *, uint64_t now_us);

#endif
