#ifndef LOOM_DECIDE_REOFFER_H
#define LOOM_DECIDE_REOFFER_H

/*
 * Whether a call that the upstream rejected without running it is offered to
 * the same upstream again.  Not thread-safe.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/clock.h"

/* Offers of one call to one upstream, the first one included. */
#define LOOM_REOFFER_MAX 8
#define LOOM_REOFFER_PAUSE_MAX_US (4 * LOOM_US_PER_MS)

/* Recently accepted and rejected calls. */
struct loom_acceptance {
	double accepted;
	double rejected;
	uint64_t updated_us;
};

void loom_acceptance_note(
    struct loom_acceptance *, bool accepted, uint64_t now_us);

/* Share of accepted calls; near 1 while few are known. */
double loom_acceptance_share(const struct loom_acceptance *, uint64_t now_us);

/* Whether the upstream rejects so much that calls are better sent elsewhere. */
bool loom_acceptance_is_hopeless(double share);

/* Calls that an upstream was sent, and calls that it made meanwhile. */
struct loom_nested_rate {
	double sent;
	double nested;
	uint64_t updated_us;
};

void loom_nested_rate_note_sent(struct loom_nested_rate *, uint64_t now_us);
void loom_nested_rate_note_nested(struct loom_nested_rate *, uint64_t now_us);

/* Whether the upstream's runs may make calls of their own; true while too
 * little is known. */
bool loom_nested_rate_may_nest(
    const struct loom_nested_rate *, uint64_t now_us);

struct loom_rejected_call {
	uint32_t offers; /* to this upstream so far */
	double acceptance; /* loom_acceptance_share() */
	bool body_available; /* the whole request can be sent again */
	bool has_time; /* it can still finish before its deadline */
	/* The upstream is cold, or the run would make calls of its own. */
	bool is_bounded_otherwise;
};

enum loom_reoffer_verdict {
	LOOM_REOFFER_AGAIN, /* if the budget allows it */
	LOOM_REOFFER_ELSEWHERE, /* refuse; the caller's daemon may retry */
	LOOM_REOFFER_END, /* refuse; no daemon may retry */
};

/* Pure function. */
enum loom_reoffer_verdict loom_reoffer_decide(
    const struct loom_rejected_call *);

/* Time until the next offer, at most LOOM_REOFFER_PAUSE_MAX_US. */
uint64_t loom_reoffer_pause_us(const struct loom_random *);

#endif
