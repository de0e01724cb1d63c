#ifndef LOOM_OUTCOME_H
#define LOOM_OUTCOME_H

/*
 * What may be said about a call that failed, and who may try it again.
 *
 * Without one table for it, each place that sees an error would guess; a
 * guess of not-run after a byte was sent repeats a payment.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/result.h"

#define LOOM_TRACE_ID_TEXT_SIZE 33
#define LOOM_DETAIL_MAX 200

/* A refusal as it travels: an RFC 9457 problem document. */
struct loom_refusal {
	enum loom_result code;
	enum loom_outcome outcome;
	bool final; /* no daemon above may try it again */
	uint32_t retry_after_ms; /* 0 for none */
	uint64_t heir_host_id; /* for LOOM_TICKET_MOVED; 0 for none */
	char trace_id[LOOM_TRACE_ID_TEXT_SIZE]; /* "" for none */
	char ticket[128]; /* a fresh ticket, "" for none */
	char detail[LOOM_DETAIL_MAX + 1]; /* "" for none */
};

/* The whole leg on which a call failed. */
enum loom_leg {
	LOOM_LEG_UPSTREAM, /* executor's daemon to its own upstream */
	LOOM_LEG_PEER, /* entry to the executor's daemon */
};

enum loom_failure {
	LOOM_FAILURE_CONNECT, /* no connection came up */
	LOOM_FAILURE_CUT, /* broken before the answer began */
	LOOM_FAILURE_CRASH, /* broken, and the upstream takes no connection */
	LOOM_FAILURE_ANSWER_CUT, /* broken in the middle of the answer */
	LOOM_FAILURE_DEADLINE,
	LOOM_FAILURE_CALLER_GONE,
	LOOM_FAILURE_REFUSED, /* the peer sent a problem document */
	LOOM_FAILURE_LOCAL, /* refused here, before anything was sent */
	LOOM_FAILURES,
};

struct loom_failure_facts {
	enum loom_leg leg;
	enum loom_failure failure;
	bool sent; /* a byte of the request was given to the socket */
	bool repeatable; /* the route may run more than once */
	bool ticketed; /* the request carries a ticket */
	const struct loom_refusal *refusal; /* for REFUSED and LOCAL */
};

struct loom_failure_verdict {
	enum loom_result code;
	enum loom_outcome outcome;
	/* The place that decides may try another target, if the home grants
	 * a retry.  Never set for a request with a ticket. */
	bool retry_here;
	bool final; /* say so upward */
};

/* Decide; pure. */
struct loom_failure_verdict loom_failure_decide(
    const struct loom_failure_facts *);

/* Fill a refusal with its code's own outcome; the rest is zeroed. */
struct loom_refusal loom_refusal_of(enum loom_result);

/*
 * For a refusal of a request with a ticket by anyone who has not begun that
 * ticket at its executor (over rate, no target, late before it began): not-run
 * becomes unknown.  The caller may be repeating a request that ran; told
 * not-run, it would begin anew with another ticket.  It may send the same
 * ticket again at any time.
 */
void loom_refusal_ticket_not_begun(struct loom_refusal *);

/* The problem document; owned by the caller, g_free. */
char *loom_refusal_json(const struct loom_refusal *);

/*
 * Read a peer's or a daemon's problem document.  False when it is no such
 * document, names no known code or outcome, or contradicts itself.
 */
bool loom_refusal_parse(const char *text, size_t len, struct loom_refusal *);

#endif
