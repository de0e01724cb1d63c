#ifndef LOOM_DIALECT_H
#define LOOM_DIALECT_H

/*
 * An HTTP dialect: the headers in which callers and upstreams exchange keys,
 * deadlines and teams with a daemon, the meaning of an upstream's answer, and
 * the form of a refusal. The protocol between daemons does not depend on it.
 *
 * There are two dialects: the default one (loom_dialect_own) and the one of an
 * adapter for another platform, which is linked into a program of its own.
 */

#include "loom/fetch.h"
#include "loom/load_report.h"
#include "loom/outcome.h"
#include "loom/server.h"

/* The data for the headers of a request to the upstream; all borrowed. */
struct loom_upstream_request_info {
	const char *request_id; /* of the root, in hex */
	uint64_t remaining_us; /* of the deadline */
	const char *team; /* NULL for a public route */
	const char *instance; /* expected to run it; "" if unknown */
	const char *caller_service; /* service of the entry; or NULL */
};

/* The meaning of an upstream's status and headers. */
enum loom_answer_kind {
	LOOM_ANSWER_RAN, /* the request ran, whatever the status */
	LOOM_ANSWER_NOT_RUN, /* refused before it ran */
	LOOM_ANSWER_MISMATCHED, /* the answer to another request */
};

typedef void (*loom_header_add)(void *arg, const char *name, const char *value);

struct loom_dialect {
	const char *deadline_header; /* in whole milliseconds */
	const char *request_id_header; /* with the caller's request id */
	bool forwards_host; /* the Host header is passed unchanged */
	/*
	 * Upstreams copy the context of a request to the calls that they make
	 * for it. If false, no context is created for them.
	 */
	bool passes_context;
	const char *ready_path; /* on the readiness address */
	/* Returns the caller's key, borrowed, or NULL if there is none. */
	const char *(*key)(const struct loom_exchange *);
	/*
	 * Returns whether the daemon reads or sets this header itself, so that
	 * a caller's value is not forwarded.
	 */
	bool (*is_own_header)(const char *name);
	/* Adds the headers of a request to the upstream. */
	void (*upstream_headers)(const struct loom_upstream_request_info *,
	    loom_header_add, void *arg);
	/*
	 * Classifies an upstream's answer. request_id is the one that the
	 * caller sent, or NULL.
	 */
	enum loom_answer_kind (*classify_answer)(
	    const struct loom_fetch *, const char *request_id);
	/*
	 * Reads from a health response for how long the upstream is still cold;
	 * 0: it is warm. Returns false if the response does not tell.
	 */
	bool (*health_cold)(const struct loom_fetch *, uint64_t *remaining_us);
	/*
	 * Reads the load that the upstream reports in an answer. Returns false
	 * if there is no well-formed report.
	 */
	bool (*load_report)(
	    const struct loom_fetch *, struct loom_load_report *);
	/*
	 * Headers of an upstream's answers: the requests a second that it takes
	 * from all daemons together, a decimal number, and "1" if it leaves.
	 */
	const char *rate_header;
	const char *leaving_header;
	/* Returns the HTTP status for a refusal. */
	uint16_t (*status)(const struct loom_refusal *);
	/* Formats the value of Retry-After. */
	void (*retry_after)(uint32_t wait_ms, char *text, size_t size);
};

/*
 * Returns the key of "Authorization: Bearer KEY" (RFC 6750), borrowed, or NULL.
 */
const char *loom_dialect_bearer(const struct loom_exchange *);

extern const struct loom_dialect loom_dialect_own;

#endif
