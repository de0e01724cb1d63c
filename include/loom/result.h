#ifndef LOOM_RESULT_H
#define LOOM_RESULT_H

/*
 * Numbered result codes.  Each package keeps its rows in
 * loom/results/PACKAGE.def; this header only joins them.  docs/RESULTS.md
 * prints the same table and a test holds the two against each other.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a caller may conclude about its request from a refusal. */
enum loom_outcome {
	LOOM_OUTCOME_NONE, /* the code never reaches a caller */
	LOOM_OUTCOME_NOT_RUN, /* no byte of it reached any upstream */
	LOOM_OUTCOME_RAN, /* the upstream ran it */
	LOOM_OUTCOME_UNKNOWN, /* it may have run; nobody can tell now */
};

/*
 * LOOM_RESULT(name, number, http_status, outcome, text); http_status is 0
 * for codes that never reach a caller.
 */
enum loom_result {
#define LOOM_RESULT(name, number, http_status, outcome, text) \
	LOOM_##name = (number),
#include "loom/results/all.def"
#undef LOOM_RESULT
};

/* A row of the table. */
struct loom_result_info {
	enum loom_result code;
	const char *name; /* borrowed, static: "TEAM_RATE" */
	uint16_t http_status;
	enum loom_outcome outcome;
	const char *text; /* borrowed, static: one English sentence */
};

/* The row of a code; the row of LOOM_INTERNAL for an unknown one. */
const struct loom_result_info *loom_result_info(enum loom_result);

/* All rows, package by package; *n receives the count. */
const struct loom_result_info *loom_result_table(size_t *n);

/* The word on the wire: "not-run", "ran", "unknown", "none". */
const char *loom_outcome_name(enum loom_outcome);

/* The GError domain of every error raised here; the code is loom_result. */
#define LOOM_ERROR (loom_error_quark())
GQuark loom_error_quark(void);

/*
 * Set *error (may be NULL) to a code and a formatted message, and return
 * false, so that a failing step can end in "return loom_fail(...)".
 */
bool loom_fail(GError **error, enum loom_result, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#endif
