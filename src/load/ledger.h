#ifndef LOOM_LOAD_LEDGER_H
#define LOOM_LOAD_LEDGER_H

/*
 * Checks what callers were told against what upstreams ran.
 *
 * A test upstream writes a ledger: a line "EVENT ID METHOD PATH TEAM" when a
 * request starts and when it is done.  The load tool sends each request with
 * an id "REQUEST.PART".  Attempts with the same ticket share a part; each
 * attempt without a ticket is a part of its own.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loom/result.h"

struct load_ledger;

/* The final result that a caller got for one part of a request. */
struct load_claim {
	char *id; /* owned: "REQUEST.PART" */
	const char *method; /* borrowed */
	const char *path; /* borrowed */
	bool answered; /* a complete answer with status 200 to 299 */
	enum loom_outcome outcome; /* if not answered */
};

enum load_violation_kind {
	LOAD_VIOLATION_NOT_RUN_RAN, /* claimed not-run, but was started */
	LOAD_VIOLATION_RAN_TWICE, /* at most once allowed, started again */
	LOAD_VIOLATION_ANSWER_MISSING, /* answered, done by no upstream */
	LOAD_VIOLATION_KINDS,
};

struct load_violation {
	enum load_violation_kind kind;
	char *text; /* owned: the id, or the request and its route */
};

struct load_ledger *load_ledger_new(void); /* owned */
void load_ledger_free(struct load_ledger *);

/* Adds one line of a ledger; malformed lines are ignored. */
void load_ledger_add_line(struct load_ledger *, const char *line);
/* Adds all lines of a file; fails with LOOM_FILE_UNREADABLE. */
bool load_ledger_read(struct load_ledger *, const char *file, GError **error);
/* The number of "start" lines. */
uint64_t load_ledger_starts(const struct load_ledger *);

/*
 * Checks claims, an array of struct load_claim.  once is a NULL-terminated list
 * of "METHOD PATH" that may be started at most once for each request.  Returns
 * an array of struct load_violation, owned; load_violations_free().
 */
GArray *load_ledger_check(
    const struct load_ledger *, const GArray *claims, const char *const *once);
void load_violations_free(GArray *);

/* "not-run-ran", "ran-twice" or "answer-missing"; borrowed, static. */
const char *load_violation_name(enum load_violation_kind);

#endif
