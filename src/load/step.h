#ifndef LOOM_LOAD_STEP_H
#define LOOM_LOAD_STEP_H

/*
 * What a caller does after an attempt: the rules of docs/CALLERS.md, and how
 * patient a team is with them.  Pure.
 */

#include <stdbool.h>
#include <stdint.h>

#include "load/settings.h"
#include "loom/outcome.h"

enum load_end {
	LOAD_END_ANSWER, /* a whole answer with a status of 200 to 299 */
	LOAD_END_STATUS, /* a whole answer of an upstream with another one */
	LOAD_END_REFUSED, /* a problem document */
	LOAD_END_BROKEN, /* no whole answer */
};

/* How one attempt ended. */
struct load_attempt {
	enum load_end end;
	bool sent; /* BROKEN: a byte may have left */
	struct loom_refusal refusal; /* REFUSED */
};

/* What the request is and has done so far. */
struct load_progress {
	enum load_retry retry;
	uint32_t attempts_left; /* after the one that ended */
	bool ticketed; /* its route needs a ticket */
	bool has_ticket; /* it sent one */
	uint64_t left_us; /* until its deadline */
};

enum load_step {
	LOAD_STEP_DONE,
	LOAD_STEP_TICKET, /* send with the ticket that came; no attempt */
	LOAD_STEP_SAME, /* send again with the same ticket */
	LOAD_STEP_FRESH, /* begin anew, without a ticket */
};

struct load_next {
	enum load_step step;
	uint64_t wait_us;
};

/* What the caller knows of its request after the attempt. */
enum loom_outcome load_outcome(const struct load_attempt *);

struct load_next load_step_after(
    const struct load_progress *, const struct load_attempt *);

#endif
