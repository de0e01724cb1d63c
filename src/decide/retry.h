#ifndef LOOM_DECIDE_RETRY_H
#define LOOM_DECIDE_RETRY_H

/*
 * Decisions about retries: the credit of a service against storms, and the
 * budget of one request at its home.  The rule of which failure may be
 * repeated is loom_retry_may() in loom/retry.h.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * Pattern: a service fails for many callers at once.  Each request alone
 * could afford its retries; together they would double the load on what is
 * already failing.  A first attempt earns a part of a retry, so that retries
 * stay within that part of the load.  One retry a second is free, or a
 * service that is seldom called could never repeat anything.
 */
struct loom_retry_credit {
	double credit; /* retries that may be made now */
	uint64_t at_us;
};

void loom_retry_credit_first(
    struct loom_retry_credit *, double ratio, uint64_t now_us);
bool loom_retry_credit_take(struct loom_retry_credit *, uint64_t now_us);
/* The retry was not made after all. */
void loom_retry_credit_return(struct loom_retry_credit *);

/* One request's budget. */
struct loom_retry_budget {
	uint64_t deadline_us;
	uint32_t left;
};

bool loom_retry_budget_take(struct loom_retry_budget *, uint64_t now_us);

#endif
