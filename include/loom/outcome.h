#ifndef LOOM_OUTCOME_H
#define LOOM_OUTCOME_H

/*
 * What may be reported about a failed call, and who may retry it.
 *
 * All errors are decided by one set of rules. If each place that sees an error
 * decided for itself, it would have to guess, and reporting not-run wrongly
 * after a byte was sent leads to a duplicate payment.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/result.h"

#define LOOM_TRACE_ID_TEXT_SIZE 33
#define LOOM_DETAIL_MAX 200

/*
 * A refusal as sent between daemons and to callers: an RFC 9457 problem
 * document.
 */
struct loom_refusal {
	enum loom_result code;
	enum loom_outcome outcome;
	bool final; /* no daemon closer to the caller may retry */
	uint32_t retry_after_ms; /* 0 for none */
	uint64_t successor_host_id; /* for LOOM_TICKET_MOVED; 0 for none */
	char trace_id[LOOM_TRACE_ID_TEXT_SIZE]; /* "" for none */
	char ticket[128]; /* a new ticket, "" for none */
	char detail[LOOM_DETAIL_MAX + 1]; /* "" for none */
};

/* The part of the call's path on which it failed. */
enum loom_leg {
	LOOM_LEG_UPSTREAM, /* from the executor's daemon to its own upstream */
	LOOM_LEG_PEER, /* from the entry to the executor's daemon */
};

enum loom_failure {
	LOOM_FAILURE_CONNECT, /* no connection was established */
	LOOM_FAILURE_CUT, /* connection broke before the answer began */
	LOOM_FAILURE_CRASH, /* connection broke, a new one is refused */
	LOOM_FAILURE_ANSWER_CUT, /* connection broke during the answer */
	LOOM_FAILURE_DEADLINE,
	LOOM_FAILURE_CALLER_GONE,
	LOOM_FAILURE_REFUSED, /* the peer sent a problem document */
	LOOM_FAILURE_LOCAL, /* refused by this daemon, nothing was sent */
	LOOM_FAILURE_COUNT,
};

struct loom_failure_facts {
	enum loom_leg leg;
	enum loom_failure failure;
	bool sent; /* a byte of the request was written to the socket */
	bool repeatable; /* the route may be executed more than once */
	bool ticketed;
	const struct loom_refusal *refusal; /* for _REFUSED and _LOCAL */
};

struct loom_failure_verdict {
	enum loom_result code;
	enum loom_outcome outcome;
	/*
	 * The deciding daemon may try another target if the home grants a
	 * retry. Never set for a request with a ticket.
	 */
	bool retry_here;
	bool final; /* mark the refusal as final */
};

/* Pure function. */
struct loom_failure_verdict loom_failure_decide(
    const struct loom_failure_facts *);

/*
 * Returns a refusal with the default outcome of the code; all other fields are
 * zero.
 */
struct loom_refusal loom_refusal_for_code(enum loom_result);

/*
 * Changes the outcome not-run to unknown. Used when a request with a ticket is
 * refused by a daemon that has not begun the ticket at its executor: over the
 * rate, no target, or too late before it began. The caller may be repeating a
 * request that ran earlier; if it were told not-run, it would start again with
 * another ticket. Sending the same ticket again is always safe.
 */
void loom_refusal_hide_not_run(struct loom_refusal *);

/* Returns the problem document; free it with g_free(). */
char *loom_refusal_json(const struct loom_refusal *);

/*
 * Parses the problem document of a peer or a daemon. Returns false if it is not
 * such a document, names an unknown code or outcome, or is inconsistent.
 */
bool loom_refusal_parse(const char *text, size_t len, struct loom_refusal *);

#endif
