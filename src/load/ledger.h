#ifndef LOOM_LOAD_LEDGER_H
#define LOOM_LOAD_LEDGER_H

/*
 * What callers were told, held against what upstreams ran.
 *
 * An upstream of the tests writes a ledger: a line "EVENT ID METHOD PATH TEAM"
 * when a request starts and when it is done.  The load tool gives each request
 * ids "REQUEST.PART"; a new part begins with each ticket, and without tickets
 * with each attempt.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loom/result.h"

struct load_ledger;

/* What a caller was told of one part of a request. */
struct load_claim {
	char *id; /* owned: "REQUEST.PART" */
	const char *method; /* borrowed: the route's */
	const char *path; /* borrowed */
	bool answered; /* a whole answer with status 200 to 299 */
	enum loom_outcome outcome; /* else */
};

enum load_violation_kind {
	LOAD_NOT_RUN_RAN, /* said not-run, and was started */
	LOAD_RAN_TWICE, /* may run once, and was started more often */
	LOAD_ANSWER_MISSING, /* answered, and no upstream has done it */
	LOAD_VIOLATIONS,
};

struct load_violation {
	enum load_violation_kind kind;
	char *text; /* owned: whose, and what */
};

struct load_ledger *load_ledger_new(void); /* owned */
void load_ledger_free(struct load_ledger *);

/* Take one line; lines of any other form are passed over. */
void load_ledger_add_line(struct load_ledger *, const char *line);
/* Take a file; LOOM_FILE_UNREADABLE. */
bool load_ledger_read(struct load_ledger *, const char *file, GError **error);
/* How many lines said start. */
uint64_t load_ledger_starts(const struct load_ledger *);

/*
 * Check claims (struct load_claim).  once is a NULL-terminated list of
 * "METHOD PATH" that may be started once for each request.  Violations are an
 * array of struct load_violation, owned; load_violations_free().
 */
GArray *load_ledger_check(
    const struct load_ledger *, const GArray *claims, const char *const *once);
void load_violations_free(GArray *);

/* "not-run-ran", "ran-twice", "answer-missing"; borrowed, static. */
const char *load_violation_name(enum load_violation_kind);

#endif
