/*
 * Formats the results of a run as tables and as JSON.
 */

#include "load/results.h"

#define US_PER_MS 1e3
#define US_PER_S 1e6

static const double percentiles[] = { 50, 90, 99, 100 };

static uint64_t
total_good(const struct load_results *results)
{
	uint64_t good = 0;
	uint32_t i;

	for (i = 0; i < LOAD_IMPORTANCES; i++)
		good += results->counts[i].good;
	return good;
}

static double
goodput_per_s(const struct load_results *results)
{
	if (results->elapsed_us == 0)
		return 0;
	return (double)total_good(results) * US_PER_S /
	    (double)results->elapsed_us;
}

static double
good_share(const struct load_counts *counts)
{
	if (counts->offered == 0)
		return 1;
	return (double)counts->good / (double)counts->offered;
}

static double
worst_team_share(const struct load_results *results)
{
	double worst = 1;
	guint i;

	for (i = 0; i < results->settings->teams->len; i++)
		worst = MIN(worst, good_share(&results->teams[i].counts));
	return worst;
}

static double
percentile_ms(struct load_results *results, uint32_t importance, double percent)
{
	return load_latency_percentile(&results->latency[importance], percent) /
	    US_PER_MS;
}

static void
print_counts(const char *name, const struct load_counts *counts, FILE *out)
{
	fprintf(out,
	    "%-20s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
	    " %7.2f%% %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
	    " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT,
	    name, counts->offered, counts->good, good_share(counts) * 100,
	    counts->late, counts->refused, counts->failed, counts->unsent);
}

static void
print_header(const char *name, const char *extra_columns, FILE *out)
{
	fprintf(out, "\n%-20s %8s %8s %8s %8s %8s %8s %8s%s\n", name, "offered",
	    "good", "share", "late", "refused", "failed", "unsent",
	    extra_columns);
}

static void
print_importances(struct load_results *results, FILE *out)
{
	uint32_t i, j;

	print_header("importance", "   p50 ms   p90 ms   p99 ms   max ms", out);
	for (i = 0; i < LOAD_IMPORTANCES; i++) {
		if (results->counts[i].offered == 0)
			continue;
		print_counts(load_importance_name(i), &results->counts[i], out);
		for (j = 0; j < G_N_ELEMENTS(percentiles); j++)
			fprintf(out, " %8.2f",
			    percentile_ms(results, i, percentiles[j]));
		fputc('\n', out);
	}
}

static void
print_teams(const struct load_results *results, FILE *out)
{
	const struct load_team_results *team;
	guint i;

	print_header("team", " attempts   within wrongful", out);
	for (i = 0; i < results->settings->teams->len; i++) {
		team = &results->teams[i];
		print_counts(team->team->name, &team->counts, out);
		fprintf(out,
		    " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
		    " %8" G_GUINT64_FORMAT "\n",
		    team->counts.attempts, team->within, team->wrongful);
	}
}

static void
print_refusals(const struct load_results *results, FILE *out)
{
	const struct load_refusal_count *refused;
	guint i;

	if (results->refusals->len == 0)
		return;
	fprintf(out, "\n%-6s %-20s %-8s %8s\n", "code", "refusal", "outcome",
	    "attempts");
	for (i = 0; i < results->refusals->len; i++) {
		refused = &g_array_index(
		    results->refusals, struct load_refusal_count, i);
		fprintf(out, "%-6d %-20s %-8s %8" G_GUINT64_FORMAT "\n",
		    (int)refused->code, loom_result_info(refused->code)->name,
		    loom_outcome_name(refused->outcome), refused->attempts);
	}
}

static void
print_ledger(const struct load_results *results, FILE *out)
{
	const struct load_violation *violation;
	guint i;

	if (!results->ledger_checked)
		return;
	fprintf(out,
	    "\nledger: %u claims against %" G_GUINT64_FORMAT
	    " starts, %u violations\n",
	    results->claims->len, results->ledger_starts,
	    results->violations->len);
	for (i = 0; i < results->violations->len; i++) {
		violation = &g_array_index(
		    results->violations, struct load_violation, i);
		fprintf(out, "  %s %s\n", load_violation_name(violation->kind),
		    violation->text);
	}
}

void
load_results_print(struct load_results *results, FILE *out)
{
	int64_t recovery_ms = load_results_recovery_ms(results);

	fprintf(out, "goodput %.1f/s  worst team %.2f%%",
	    goodput_per_s(results), worst_team_share(results) * 100);
	if (results->settings->surges->len > 0 && recovery_ms >= 0)
		fprintf(out, "  recovered after %" G_GINT64_FORMAT " ms",
		    recovery_ms);
	else if (results->settings->surges->len > 0)
		fputs("  not recovered", out);
	fputc('\n', out);
	print_importances(results, out);
	print_teams(results, out);
	print_refusals(results, out);
	print_ledger(results, out);
}

static void
add_u64(struct json_object *object, const char *name, uint64_t number)
{
	json_object_object_add(
	    object, name, json_object_new_int64((int64_t)number));
}

static void
add_real(struct json_object *object, const char *name, double number)
{
	json_object_object_add(object, name, json_object_new_double(number));
}

static void
add_string(struct json_object *object, const char *name, const char *text)
{
	json_object_object_add(object, name, json_object_new_string(text));
}

static struct json_object *
counts_json(const char *name, const struct load_counts *counts)
{
	struct json_object *object = json_object_new_object();

	add_string(object, "name", name);
	add_u64(object, "offered", counts->offered);
	add_u64(object, "good", counts->good);
	add_real(object, "share", good_share(counts));
	add_u64(object, "late", counts->late);
	add_u64(object, "refused", counts->refused);
	add_u64(object, "failed", counts->failed);
	add_u64(object, "unsent", counts->unsent);
	return object;
}

static struct json_object *
importances_json(struct load_results *results)
{
	static const char *const names[G_N_ELEMENTS(percentiles)] = { "p50_ms",
		"p90_ms", "p99_ms", "max_ms" };
	struct json_object *list = json_object_new_array();
	struct json_object *object;
	uint32_t i, j;

	for (i = 0; i < LOAD_IMPORTANCES; i++) {
		object =
		    counts_json(load_importance_name(i), &results->counts[i]);
		for (j = 0; j < G_N_ELEMENTS(percentiles); j++)
			add_real(object, names[j],
			    percentile_ms(results, i, percentiles[j]));
		json_object_array_add(list, object);
	}
	return list;
}

static struct json_object *
teams_json(const struct load_results *results)
{
	struct json_object *list = json_object_new_array();
	const struct load_team_results *team;
	struct json_object *object;
	guint i;

	for (i = 0; i < results->settings->teams->len; i++) {
		team = &results->teams[i];
		object = counts_json(team->team->name, &team->counts);
		add_u64(object, "attempts", team->counts.attempts);
		add_u64(object, "within", team->within);
		add_u64(object, "wrongful", team->wrongful);
		json_object_array_add(list, object);
	}
	return list;
}

static struct json_object *
refusals_json(const struct load_results *results)
{
	struct json_object *list = json_object_new_array();
	const struct load_refusal_count *refused;
	struct json_object *object;
	guint i;

	for (i = 0; i < results->refusals->len; i++) {
		refused = &g_array_index(
		    results->refusals, struct load_refusal_count, i);
		object = json_object_new_object();
		add_u64(object, "code", (uint64_t)refused->code);
		add_string(
		    object, "name", loom_result_info(refused->code)->name);
		add_string(
		    object, "outcome", loom_outcome_name(refused->outcome));
		add_u64(object, "attempts", refused->attempts);
		json_object_array_add(list, object);
	}
	return list;
}

static struct json_object *
ledger_json(const struct load_results *results)
{
	struct json_object *object = json_object_new_object();
	struct json_object *list = json_object_new_array();
	const struct load_violation *violation;
	struct json_object *entry;
	guint i;

	for (i = 0; i < results->violations->len; i++) {
		violation = &g_array_index(
		    results->violations, struct load_violation, i);
		entry = json_object_new_object();
		add_string(entry, "kind", load_violation_name(violation->kind));
		add_string(entry, "what", violation->text);
		json_object_array_add(list, entry);
	}
	add_u64(object, "claims", results->claims->len);
	add_u64(object, "starts", results->ledger_starts);
	json_object_object_add(object, "violations", list);
	return object;
}

struct json_object *
load_results_json(struct load_results *results)
{
	struct json_object *object = json_object_new_object();
	int64_t recovery_ms = load_results_recovery_ms(results);

	add_real(object, "goodput_per_s", goodput_per_s(results));
	add_real(object, "worst_team_share", worst_team_share(results));
	json_object_object_add(object, "recovery_ms",
	    recovery_ms < 0 ? NULL : json_object_new_int64(recovery_ms));
	json_object_object_add(
	    object, "importances", importances_json(results));
	json_object_object_add(object, "teams", teams_json(results));
	json_object_object_add(object, "refusals", refusals_json(results));
	if (results->ledger_checked)
		json_object_object_add(object, "ledger", ledger_json(results));
	return object;
}
