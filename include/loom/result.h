#ifndef LOOM_RESULT_H
#define LOOM_RESULT_H

/*
 * Numbered result codes.  Each package defines its codes in
 * loom/results/PACKAGE.def; this header combines them.  docs/RESULTS.md has the
 * same table, and a test checks that both agree.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a caller may conclude about its request from an error response. */
enum loom_outcome {
	LOOM_OUTCOME_NONE, /* the code is never sent to a caller */
	LOOM_OUTCOME_NOT_RUN, /* no byte of the request reached any upstream */
	LOOM_OUTCOME_RAN, /* the upstream ran it */
	LOOM_OUTCOME_UNKNOWN, /* it may or may not have run */
};

/*
 * LOOM_RESULT(name, number, http_status, outcome, text); http_status is 0 for
 * codes that are never sent to a caller.
 */
enum loom_result {
#define LOOM_RESULT(name, number, http_status, outcome, text) \
	LOOM_##name = (number),
#include "loom/results/all.def"
#undef LOOM_RESULT
};

/* Description of a result code. */
struct loom_result_info {
	enum loom_result code;
	const char *name; /* borrowed, static: "TEAM_RATE" */
	uint16_t http_status;
	enum loom_outcome outcome;
	const char *text; /* borrowed, static: one English sentence */
};

/* The description of a code, or that of LOOM_INTERNAL for an unknown code. */
const struct loom_result_info *loom_result_info(enum loom_result);

/* All codes, package by package; sets *n to their number. */
const struct loom_result_info *loom_result_table(size_t *n);

/* The name used on the wire: "not-run", "ran", "unknown" or "none". */
const char *loom_outcome_name(enum loom_outcome);

/*
 * GError domain of all errors reported by this project; error codes are enum
 * loom_result.
 */
#define LOOM_ERROR (loom_error_quark())
GQuark loom_error_quark(void);

/*
 * Sets *error, unless error is NULL or already set, to a code and a formatted
 * message.  Always returns false, so that a failing function can end with
 * "return loom_set_error(...)".
 */
bool loom_set_error(GError **error, enum loom_result, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#endif
