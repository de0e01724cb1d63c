/*
 * Computes which routes are repeatable.  A route is repeatable if it and all
 * routes that it calls, directly or indirectly, are idempotent: repeating the
 * outer request would run the inner one again.  The routes are visited in
 * topological order, callees first (Kahn's algorithm), so that each route is
 * decided after all routes that it calls.
 *
 * Cycles of calls are reported as problems.  Their routes have no topological
 * order, and a chain of calls through a cycle has no maximum length, so that
 * neither its retries nor its deadlines are bounded.
 */

#include "manifest/build.h"

struct closure {
	struct loom_manifest *manifest;
	uint32_t *undecided_calls; /* per route: calls not decided yet */
	/* the callers of route i are callers[first_caller[i]] up to, but not
	 * including, callers[first_caller[i + 1]] */
	uint32_t *callers;
	uint32_t *first_caller;
	uint32_t *ready; /* stack of routes whose calls are all decided */
	uint32_t nready;
	uint32_t ndecided;
	bool *is_decided;
};

/* First pass of a counting sort by callee: sets first_caller[i] to the end of
 * the callers of route i, and allocates the array of callers. */
static void
count_callers(struct closure *closure)
{
	const struct loom_manifest *manifest = closure->manifest;
	const struct loom_route *route;
	uint32_t i, j;

	for (i = 0; i < manifest->nroutes; i++) {
		route = &manifest->routes[i];
		for (j = 0; j < route->ncalls; j++)
			closure->first_caller[route->calls[j]]++;
	}
	for (i = 1; i <= manifest->nroutes; i++)
		closure->first_caller[i] += closure->first_caller[i - 1];
	closure->callers =
	    g_new0(uint32_t, closure->first_caller[manifest->nroutes]);
}

/* Second pass: fills the callers of each route from the end, which moves
 * first_caller[i] down to the first one.  Also finds the routes without calls,
 * which are ready at once. */
static void
fill_callers(struct closure *closure)
{
	const struct loom_route *route;
	uint32_t i, j;

	for (i = 0; i < closure->manifest->nroutes; i++) {
		route = &closure->manifest->routes[i];
		closure->undecided_calls[i] = route->ncalls;
		for (j = 0; j < route->ncalls; j++)
			closure->callers
			    [--closure->first_caller[route->calls[j]]] = i;
		if (route->ncalls == 0)
			closure->ready[closure->nready++] = i;
	}
}

static bool
calls_are_repeatable(
    const struct loom_manifest *manifest, const struct loom_route *route)
{
	uint32_t i;

	for (i = 0; i < route->ncalls; i++) {
		if (!manifest->routes[route->calls[i]].repeatable)
			return false;
	}
	return true;
}

static void
decide_route(struct closure *closure, uint32_t route_index)
{
	struct loom_route *route = &closure->manifest->routes[route_index];
	uint32_t caller, i;

	route->repeatable =
	    route->idempotent && calls_are_repeatable(closure->manifest, route);
	closure->is_decided[route_index] = true;
	closure->ndecided++;
	for (i = closure->first_caller[route_index];
	     i < closure->first_caller[route_index + 1]; i++) {
		caller = closure->callers[i];
		if (--closure->undecided_calls[caller] == 0 &&
		    !closure->is_decided[caller])
			closure->ready[closure->nready++] = caller;
	}
}

static void
decide_ready_routes(struct closure *closure)
{
	while (closure->nready > 0)
		decide_route(closure, closure->ready[--closure->nready]);
}

static uint32_t
first_undecided_call(const struct closure *closure, uint32_t route_index)
{
	const struct loom_route *route =
	    &closure->manifest->routes[route_index];
	uint32_t i;

	for (i = 0; i < route->ncalls; i++) {
		if (!closure->is_decided[route->calls[i]])
			break;
	}
	return route->calls[i];
}

/* Every undecided route has an undecided call.  Following these calls as many
 * times as there are routes therefore ends on a cycle. */
static uint32_t
find_route_in_cycle(const struct closure *closure)
{
	uint32_t route_index = 0, steps;

	while (closure->is_decided[route_index])
		route_index++;
	for (steps = 0; steps < closure->manifest->nroutes; steps++)
		route_index = first_undecided_call(closure, route_index);
	return route_index;
}

/*
 * Reports one cycle and decides its routes, so that the search can continue
 * with the next cycle.  None of them becomes repeatable: each calls the next
 * one in the cycle, whose .repeatable is false until it is decided, and the
 * last one calls the first, which has been decided as not repeatable.
 */
static void
report_cycle(struct closure *closure, struct build *build)
{
	uint32_t start = find_route_in_cycle(closure), route_index = start;
	const struct declaration *declaration = &build->routes[start];
	GString *text = g_string_new(NULL);
	GArray *members = g_array_new(FALSE, FALSE, sizeof(route_index));
	char *where;
	guint i;

	do {
		g_string_append_printf(text, "%s -> ",
		    closure->manifest->routes[route_index].name);
		g_array_append_val(members, route_index);
		route_index = first_undecided_call(closure, route_index);
	} while (route_index != start);
	g_string_append(text, closure->manifest->routes[start].name);
	where = g_strdup_printf("%s:routes[%u].calls",
	    declaration->document->file, declaration->index);
	build_report(build, LOOM_MANIFEST_CYCLE, where,
	    "calls form a cycle: %s", text->str);
	/* Mark all of them first, so that decide_route() does not push one of
	 * them to the ready stack as well. */
	for (i = 0; i < members->len; i++)
		closure->is_decided[g_array_index(members, uint32_t, i)] = true;
	for (i = 0; i < members->len; i++)
		decide_route(closure, g_array_index(members, uint32_t, i));
	g_free(where);
	g_array_free(members, TRUE);
	g_string_free(text, TRUE);
}

void
build_compute_repeatable(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t size = manifest->nroutes + 1;
	struct closure closure = {
		.manifest = manifest,
		.undecided_calls = g_new0(uint32_t, size),
		.first_caller = g_new0(uint32_t, size),
		.ready = g_new0(uint32_t, size),
		.is_decided = g_new0(bool, size),
	};

	count_callers(&closure);
	fill_callers(&closure);
	decide_ready_routes(&closure);
	while (closure.ndecided < manifest->nroutes) {
		report_cycle(&closure, build);
		decide_ready_routes(&closure);
	}
	g_free(closure.is_decided);
	g_free(closure.ready);
	g_free(closure.callers);
	g_free(closure.first_caller);
	g_free(closure.undecided_calls);
}
