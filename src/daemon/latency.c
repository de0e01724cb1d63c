/*
 * Each worker looks up a route's histograms in a table of its own, so that
 * recording a call takes no lock.
 *
 * The manifest may name thousands of routes over time. To limit the number of
 * series, only the first NAMED_ROUTES_MAX routes that are used have series of
 * their own; all others share one.
 */

#include "daemon/latency.h"
#include "daemon/report.h"
#include "loom/histogram.h"

/*
 * With three ends at two stages, and the shared series, that makes 198
 * histograms and a metrics page of about 300 KB.
 */
#define NAMED_ROUTES_MAX 32

static const char *const stages[] = { "entry", "executor" };

struct route_latency {
	uint64_t route_id;
	struct loom_histogram *histograms[G_N_ELEMENTS(stages)][CALL_ENDS];
};

struct latencies {
	GHashTable *routes; /* owned: by route_id */
	struct route_latency other;
};

static void
create_histograms(struct route_latency *latency, const char *route)
{
	unsigned stage, end;
	char *labels;

	for (stage = 0; stage < G_N_ELEMENTS(stages); stage++) {
		for (end = 0; end < CALL_ENDS; end++) {
			labels = g_strdup_printf(
			    "stage=\"%s\",end=\"%s\",route=\"%s\"",
			    stages[stage],
			    call_end_name((enum call_end_kind)end), route);
			latency->histograms[stage][end] =
			    loom_histogram("loom_call_seconds", labels,
				"Time from a call's headers to its end here.");
			g_free(labels);
		}
	}
}

static int
latencies_destructor(struct latencies *latencies)
{
	g_hash_table_unref(latencies->routes);
	return 0;
}

struct latencies *
latencies_new(TALLOC_CTX *ctx)
{
	struct latencies *latencies = talloc_zero(ctx, struct latencies);

	if (latencies == NULL)
		return NULL;
	latencies->routes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	create_histograms(&latencies->other, "other");
	talloc_set_destructor(latencies, latencies_destructor);
	return latencies;
}

/*
 * Returns the histograms of a route, creating them on first use, or the shared
 * ones if the table is full.
 */
static struct route_latency *
find_route_latency(struct latencies *latencies, const struct loom_route *route)
{
	struct route_latency *latency;

	if (route == NULL)
		return &latencies->other;
	latency = g_hash_table_lookup(latencies->routes, &route->id);
	if (latency != NULL)
		return latency;
	if (g_hash_table_size(latencies->routes) >= NAMED_ROUTES_MAX)
		return &latencies->other;
	latency = g_new0(struct route_latency, 1);
	latency->route_id = route->id;
	create_histograms(latency, route->name);
	g_hash_table_insert(latencies->routes, &latency->route_id, latency);
	return latency;
}

void
latency_record(const struct call *call)
{
	struct route_latency *latency;
	unsigned stage = call->origin == CALL_ORIGIN_PEER ? 1 : 0;

	if (call->is_internal_page)
		return;
	latency = find_route_latency(call->worker->latencies, call->route);
	loom_histogram_add(latency->histograms[stage][call_end_kind(call)],
	    loom_now_us() - call->arrived_us);
}
