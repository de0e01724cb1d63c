#ifndef LOOM_DIALECT_H
#define LOOM_DIALECT_H

/*
 * How callers and upstreams talk HTTP with a daemon: which headers carry a
 * key, a deadline or a team, what an upstream's answer says, and how a
 * refusal looks.  Daemons among themselves speak the same in each dialect.
 *
 * Two tables exist: the product's own (loom_dialect_own) and that of an
 * adapter for another platform, which is linked into a program of its own.
 */

#include "loom/fetch.h"
#include "loom/outcome.h"
#include "loom/server.h"

/* What a request takes along to the upstream; all borrowed. */
struct loom_upstream_facts {
	const char *request_id; /* of the root, in hex */
	uint64_t remaining_us; /* of the deadline */
	const char *team; /* NULL for a public route */
	const char *instance; /* that is to run it; "" when not known */
	const char *caller_service; /* where the request entered; or NULL */
};

/* What an upstream's status and headers say of the request. */
enum loom_answer_kind {
	LOOM_ANSWER_RAN, /* its answer, whatever the status */
	LOOM_ANSWER_NOT_RUN, /* turned away before it ran */
	LOOM_ANSWER_FOREIGN, /* the answer of another request */
};

typedef void (*loom_header_add)(void *arg, const char *name, const char *value);

struct loom_dialect {
	const char *deadline_header; /* whole milliseconds */
	const char *request_id_header; /* what a caller calls its request */
	bool forwards_host; /* the Host header goes on as it came */
	/* Upstreams hand the context that they get on to the calls that they
	 * make; without it none is made for them. */
	bool passes_context;
	const char *ready_path; /* on the address for readiness */
	/* The caller's key, borrowed; NULL when none came. */
	const char *(*key)(const struct loom_exchange *);
	/* A request's header that this system reads or sets itself, so that
	 * what a caller sent goes no further. */
	bool (*is_own_header)(const char *name);
	void (*upstream_headers)(
	    const struct loom_upstream_facts *, loom_header_add, void *arg);
	/* request_id is the caller's, NULL when it named none. */
	enum loom_answer_kind (*judge)(
	    const struct loom_fetch *, const char *request_id);
	/* The HTTP status of a refusal to a caller. */
	uint16_t (*status)(const struct loom_refusal *);
	/* The value of Retry-After. */
	void (*retry_after)(uint32_t wait_ms, char *text, size_t size);
};

/* The key of "Authorization: Bearer KEY" (RFC 6750), borrowed, or NULL. */
const char *loom_dialect_bearer(const struct loom_exchange *);

extern const struct loom_dialect loom_dialect_own;

#endif
