/*
 * Counts the results of a run and evaluates them.
 */

#include "load/results.h"

/* Recovered means that the share of good requests over this many consecutive
 * windows reaches this fraction of the share before the surge.  A single good
 * window may be chance. */
#define RECOVERED_FRACTION 0.95
#define RECOVERED_WINDOWS 3

#define US_PER_MS 1000

struct load_results *
load_results_new(const struct load_settings *settings)
{
	struct load_results *results = g_new0(struct load_results, 1);
	const struct load_team *team;
	guint i;

	results->settings = settings;
	results->teams = g_new0(struct load_team_results, settings->teams->len);
	for (i = 0; i < settings->teams->len; i++) {
		team = &g_array_index(settings->teams, struct load_team, i);
		results->teams[i].team = team;
		load_token_bucket_init(&results->teams[i].reference_bucket,
		    team->granted_per_s, team->granted_burst, 0);
	}
	for (i = 0; i < LOAD_IMPORTANCES; i++)
		load_latency_init(&results->latency[i]);
	results->refusals =
	    g_array_new(FALSE, FALSE, sizeof(struct load_refusal_count));
	results->windows = g_array_new(FALSE, TRUE, sizeof(struct load_window));
	results->claims = g_array_new(FALSE, FALSE, sizeof(struct load_claim));
	return results;
}

void
load_results_free(struct load_results *results)
{
	guint i;

	for (i = 0; i < results->claims->len; i++)
		g_free(g_array_index(results->claims, struct load_claim, i).id);
	for (i = 0; i < LOAD_IMPORTANCES; i++)
		load_latency_clear(&results->latency[i]);
	if (results->violations != NULL)
		load_violations_free(results->violations);
	g_array_free(results->claims, TRUE);
	g_array_free(results->windows, TRUE);
	g_array_free(results->refusals, TRUE);
	g_free(results->teams);
	g_free(results);
}

bool
load_results_count_attempt(
    struct load_results *results, uint32_t index, uint64_t now_us)
{
	struct load_team_results *team = &results->teams[index];

	team->counts.attempts++;
	if (team->team->granted_per_s == 0 ||
	    !load_token_bucket_try_take(&team->reference_bucket, now_us))
		return false;
	team->within++;
	return true;
}

static void
count_refusal(GArray *refusals, const struct loom_refusal *refusal)
{
	struct load_refusal_count entry = {
		.code = refusal->code,
		.outcome = refusal->outcome,
		.attempts = 1,
	};
	struct load_refusal_count *refused;
	guint i;

	for (i = 0; i < refusals->len; i++) {
		refused =
		    &g_array_index(refusals, struct load_refusal_count, i);
		if (refused->code == entry.code &&
		    refused->outcome == entry.outcome) {
			refused->attempts++;
			return;
		}
	}
	g_array_append_val(refusals, entry);
}

void
load_results_count_refusal(struct load_results *results, uint32_t index,
    const struct loom_refusal *refusal, bool within)
{
	count_refusal(results->refusals, refusal);
	if (within &&
	    (refusal->code == LOOM_TEAM_RATE || refusal->code == LOOM_STARTING))
		results->teams[index].wrongful++;
}

void
load_results_add_claim(
    struct load_results *results, const struct load_claim *claim)
{
	g_array_append_val(results->claims, *claim);
}

static void
count_finish(struct load_counts *counts, enum load_finish finish)
{
	counts->offered++;
	counts->good += finish == LOAD_FINISH_GOOD;
	counts->late += finish == LOAD_FINISH_LATE;
	counts->refused += finish == LOAD_FINISH_REFUSED;
	counts->failed += finish == LOAD_FINISH_FAILED;
	counts->unsent += finish == LOAD_FINISH_UNSENT;
}

static void
count_window(
    struct load_results *results, uint64_t arrived_us, enum load_finish finish)
{
	guint index = (guint)(arrived_us / LOAD_WINDOW_US);
	struct load_window *window;

	if (index >= results->windows->len)
		g_array_set_size(results->windows, index + 1);
	window = &g_array_index(results->windows, struct load_window, index);
	window->offered++;
	window->good += finish == LOAD_FINISH_GOOD;
}

void
load_results_count_finished(struct load_results *results, uint32_t index,
    const struct load_route *route, enum load_finish finish,
    uint64_t arrived_us, uint64_t took_us)
{
	count_finish(&results->teams[index].counts, finish);
	count_finish(&results->counts[route->importance], finish);
	count_window(results, arrived_us, finish);
	results->elapsed_us = MAX(results->elapsed_us, arrived_us);
	if (finish == LOAD_FINISH_GOOD)
		load_latency_add(&results->latency[route->importance], took_us);
}

/* Lists "METHOD PATH" of all routes that may run at most once for each request,
 * NULL-terminated.  Owned. */
static GPtrArray *
at_most_once_routes(const struct load_settings *settings)
{
	GPtrArray *once = g_ptr_array_new_with_free_func(g_free);
	const struct load_route *route;
	const struct load_team *team;
	char **inner_route;
	guint i, j;

	for (i = 0; i < settings->teams->len; i++) {
		team = &g_array_index(settings->teams, struct load_team, i);
		for (j = 0; j < team->routes->len; j++) {
			route =
			    &g_array_index(team->routes, struct load_route, j);
			if (route->ticket)
				g_ptr_array_add(once,
				    g_strconcat(
					route->method, " ", route->path, NULL));
		}
	}
	for (inner_route = settings->once; *inner_route != NULL; inner_route++)
		g_ptr_array_add(once, g_strdup(*inner_route));
	g_ptr_array_add(once, NULL);
	return once;
}

bool
load_results_check_ledgers(struct load_results *results,
    const char *const *files, uint32_t nfiles, GError **error)
{
	struct load_ledger *ledger = load_ledger_new();
	GPtrArray *once = NULL;
	bool ok = true;
	uint32_t i;

	for (i = 0; i < nfiles && ok; i++)
		ok = load_ledger_read(ledger, files[i], error);
	if (ok) {
		once = at_most_once_routes(results->settings);
		results->violations = load_ledger_check(
		    ledger, results->claims, (const char *const *)once->pdata);
		results->ledger_starts = load_ledger_starts(ledger);
		results->ledger_checked = true;
		g_ptr_array_free(once, TRUE);
	}
	load_ledger_free(ledger);
	return ok;
}

/* The share of good requests in the windows from (included) to until. */
static double
good_share(const struct load_results *results, guint from, guint until)
{
	const struct load_window *window;
	uint64_t offered = 0, good = 0;
	guint i;

	for (i = from; i < until && i < results->windows->len; i++) {
		window =
		    &g_array_index(results->windows, struct load_window, i);
		offered += window->offered;
		good += window->good;
	}
	return offered == 0 ? 1 : (double)good / (double)offered;
}

int64_t
load_results_recovery_ms(const struct load_results *results)
{
	const GArray *surges = results->settings->surges;
	const struct load_surge *surge;
	uint32_t from_ms = UINT32_MAX, until_ms = 0;
	const guint window_ms = LOAD_WINDOW_US / US_PER_MS;
	double required_share;
	guint i;

	for (i = 0; surges != NULL && i < surges->len; i++) {
		surge = &g_array_index(surges, struct load_surge, i);
		from_ms = MIN(from_ms, surge->from_ms);
		until_ms = MAX(until_ms, surge->until_ms);
	}
	if (until_ms == 0)
		return -1;
	required_share =
	    RECOVERED_FRACTION * good_share(results, 0, from_ms / window_ms);
	/* The first window after the surge that does not overlap it. */
	i = (until_ms + window_ms - 1) / window_ms;
	for (; i + RECOVERED_WINDOWS <= results->windows->len; i++) {
		if (good_share(results, i, i + RECOVERED_WINDOWS) >=
		    required_share)
			return MAX(
			    (int64_t)i * window_ms - (int64_t)until_ms, 0);
	}
	return -1;
}
