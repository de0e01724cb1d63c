#ifndef LOOM_LOAD_RESULTS_H
#define LOOM_LOAD_RESULTS_H

/*
 * Results of a run.  Requests are counted, not attempts: a request that needed
 * three attempts counts once.  It is good if a complete answer with status 200
 * to 299 arrived before its deadline, which counts from its arrival.
 */

#include <json-c/json.h>
#include <stdio.h>

#include "load/latency.h"
#include "load/ledger.h"
#include "load/settings.h"
#include "load/token_bucket.h"
#include "loom/outcome.h"

/* Counts of one team or one importance. */
struct load_counts {
	uint64_t offered;
	uint64_t good;
	uint64_t late; /* answered after the deadline */
	uint64_t refused; /* the last attempt was refused */
	uint64_t failed; /* an upstream's error, or no complete answer */
	uint64_t unsent; /* "outstanding" requests were already in flight */
	uint64_t attempts;
};

struct load_team_results {
	const struct load_team *team; /* borrowed */
	struct load_counts counts;
	struct load_token_bucket reference_bucket;
	uint64_t within; /* attempts with a token in reference_bucket */
	uint64_t wrongful; /* of these, refused because of the team's rate */
};

struct load_results {
	const struct load_settings *settings; /* borrowed */
	struct load_team_results *teams; /* owned, in the settings' order */
	struct load_counts counts[LOAD_IMPORTANCES];
	struct load_latency latency[LOAD_IMPORTANCES]; /* of good requests */
	GArray *refusals; /* owned: struct load_refusal_count */
	GArray *windows; /* owned: struct load_window, by time of arrival */
	GArray *claims; /* owned: struct load_claim */
	uint64_t elapsed_us; /* until the last arrival */
	bool ledger_checked;
	uint64_t ledger_starts;
	GArray *violations; /* owned once checked: struct load_violation */
};

/* The number of attempts that were refused with a code and an outcome. */
struct load_refusal_count {
	enum loom_result code;
	enum loom_outcome outcome;
	uint64_t attempts;
};

/* Counts of the requests that arrived within one window. */
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

/* Counts an attempt that is subject to the team's rate.  Returns whether the
 * reference bucket had a token; false for a team without granted_per_s. */
bool load_results_count_attempt(
    struct load_results *, uint32_t team, uint64_t now_us);
/* Counts a refusal; within is the result of load_results_count_attempt(). */
void load_results_count_refusal(struct load_results *, uint32_t team,
    const struct loom_refusal *, bool within);
/* Adds the claim of a part of a request; takes ownership of its id. */
void load_results_add_claim(
    struct load_results *, const struct load_claim *claim);
/* Counts a request that ended.  arrived_us is since the start of the run. */
void load_results_count_finished(struct load_results *, uint32_t team,
    const struct load_route *, enum load_finish, uint64_t arrived_us,
    uint64_t took_us);

/* Checks the claims against ledgers; fails with LOOM_FILE_UNREADABLE. */
bool load_results_check_ledgers(struct load_results *, const char *const *files,
    uint32_t nfiles, GError **error);

/*
 * Milliseconds from the end of the last surge until the share of good requests
 * has recovered to about what it was before the first surge; -1 when it has not
 * recovered, or there was no surge.
 */
int64_t load_results_recovery_ms(const struct load_results *);

/* Formats the report. */
void load_results_print(struct load_results *, FILE *);
struct json_object *load_results_json(struct load_results *); /* owned */

#endif
