#ifndef LOOM_LOAD_RETRY_H
#define LOOM_LOAD_RETRY_H

/*
 * Decides what a caller does after an attempt, by the rules of docs/CALLERS.md
 * and the retry policy of its team.  The functions are pure.
 */

#include <stdbool.h>
#include <stdint.h>

#include "load/settings.h"
#include "loom/outcome.h"

enum load_attempt_end {
	LOAD_END_SUCCESS, /* a complete answer with status 200 to 299 */
	LOAD_END_ERROR_STATUS, /* a complete answer with another status */
	LOAD_END_REFUSED, /* a problem document of loomd */
	LOAD_END_INCOMPLETE, /* no complete answer */
};

/* How one attempt ended. */
struct load_attempt {
	enum load_attempt_end end;
	bool sent; /* if INCOMPLETE: part of the request may have been sent */
	struct loom_refusal refusal; /* if REFUSED */
};

/* State of a request after an attempt. */
struct load_request_state {
	enum load_retry_policy retry;
	uint32_t attempts_left; /* not counting the one that ended */
	bool needs_ticket; /* its route needs a ticket */
	bool has_ticket; /* the attempt was sent with one */
	uint64_t remaining_us; /* until its deadline */
};

enum load_action {
	LOAD_ACTION_FINISH,
	LOAD_ACTION_SEND_TICKET, /* send with the ticket; not an attempt */
	LOAD_ACTION_RESEND, /* send again with the same ticket */
	LOAD_ACTION_START_OVER, /* start over without a ticket */
};

struct load_decision {
	enum load_action action;
	uint64_t wait_us;
};

/* What an attempt tells the caller about whether its request ran. */
enum loom_outcome load_attempt_outcome(const struct load_attempt *);

struct load_decision load_decide_retry(
    const struct load_request_state *, const struct load_attempt *);

#endif
