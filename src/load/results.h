#ifndef LOOM_LOAD_RESULTS_H
#define LOOM_LOAD_RESULTS_H

/*
 * What a run measured.  Whole requests are counted: one that needed three
 * attempts is one request, good when a whole answer came within the deadline
 * that began at its arrival.
 */

#include <json-c/json.h>
#include <stdio.h>

#include "load/bucket.h"
#include "load/latency.h"
#include "load/ledger.h"
#include "load/settings.h"
#include "loom/outcome.h"

/* Counts of one team or one importance. */
struct load_counts {
	uint64_t offered;
	uint64_t good;
	uint64_t late; /* answered after the deadline */
	uint64_t refused; /* the last attempt was refused */
	uint64_t failed; /* an upstream's error, or no whole answer */
	uint64_t unsent; /* too many were open */
	uint64_t attempts;
};

struct load_team_results {
	const struct load_team *team; /* borrowed */
	struct load_counts counts;
	struct load_bucket ideal;
	uint64_t within; /* attempts that the ideal bucket let in */
	uint64_t wrongful; /* of these, refused because of the rate */
};

struct load_results {
	const struct load_settings *settings; /* borrowed */
	struct load_team_results *teams; /* owned, as many as settings has */
	struct load_counts counts[LOAD_IMPORTANCES];
	struct load_latency latency[LOAD_IMPORTANCES]; /* of good requests */
	GArray *refusals; /* owned: struct load_refused */
	GArray *windows; /* owned: struct load_window, by arrival */
	GArray *claims; /* owned: struct load_claim */
	uint64_t elapsed_us; /* until the last arrival */
	bool ledger_checked;
	uint64_t ledger_starts;
	GArray *violations; /* owned once checked: struct load_violation */
};

/* How many attempts were refused with a code and an outcome. */
struct load_refused {
	enum loom_result code;
	enum loom_outcome outcome;
	uint64_t attempts;
};

/* What arrived in one stretch of LOAD_WINDOW_US. */
#define LOAD_WINDOW_US UINT64_C(250000)
struct load_window {
	uint32_t offered;
	uint32_t good;
};

/* How a request ended. */
enum load_finish {
	LOAD_FINISH_GOOD,
	LOAD_FINISH_LATE,
	LOAD_FINISH_REFUSED,
	LOAD_FINISH_FAILED,
	LOAD_FINISH_UNSENT,
};

struct load_results *load_results_new(const struct load_settings *); /* owned */
void load_results_free(struct load_results *);

/* An attempt that takes a token of its team is sent: whether an ideal bucket
 * lets it in.  False for a team that is not judged. */
bool load_results_attempt(
    struct load_results *, uint32_t team, uint64_t now_us);
/* It was refused. */
void load_results_refused(struct load_results *, uint32_t team,
    const struct loom_refusal *, bool within);
/* A part of a request has its last word; id is taken over. */
void load_results_claim(struct load_results *, const struct load_claim *claim);
/* A request ended.  arrived_us is since the start. */
void load_results_finish(struct load_results *, uint32_t team,
    const struct load_route *, enum load_finish, uint64_t arrived_us,
    uint64_t took_us);

/* Check against ledgers; LOOM_FILE_UNREADABLE. */
bool load_results_check(struct load_results *, const char *const *files,
    uint32_t nfiles, GError **error);

/*
 * Milliseconds from the end of the last surge until requests that arrive are
 * good as they were before the first one; -1 when that does not come about, or
 * there was no surge.
 */
int64_t load_results_recovery_ms(const struct load_results *);

/* The report. */
void load_results_print(struct load_results *, FILE *);
struct json_object *load_results_json(struct load_results *); /* owned */

#endif
