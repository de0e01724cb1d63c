/*
 * The closure of non-idempotence.  A request that may not be repeated makes
 * each request that leads to it non-repeatable too: repeating the outer one
 * would run the inner one again.  The routes are taken leaves first (Kahn's
 * algorithm), so that each is decided after all that it calls.
 *
 * Calls in a circle are refused: no order exists in them, a chain through
 * them has no longest length, and so neither its retries nor its deadlines
 * have a bound.
 */

#include "manifest/build.h"

struct closure {
	struct loom_manifest *manifest;
	uint32_t *open_calls; /* of each route: calls not decided yet */
	/* callers of route i: from first_caller[i] to first_caller[i + 1] */
	uint32_t *callers;
	uint32_t *first_caller;
	uint32_t *ready; /* indexes of routes whose calls are all decided */
	uint32_t nready;
	uint32_t decided;
	bool *done;
};

/* first_caller[i] becomes the end of route i's callers. */
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

/* Filling from the end leaves first_caller[i] at the first one. */
static void
note_callers(struct closure *closure)
{
	const struct loom_route *route;
	uint32_t i, j;

	for (i = 0; i < closure->manifest->nroutes; i++) {
		route = &closure->manifest->routes[i];
		closure->open_calls[i] = route->ncalls;
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
decide(struct closure *closure, uint32_t at)
{
	struct loom_route *route = &closure->manifest->routes[at];
	uint32_t caller, i;

	route->repeatable =
	    route->idempotent && calls_are_repeatable(closure->manifest, route);
	closure->done[at] = true;
	closure->decided++;
	for (i = closure->first_caller[at]; i < closure->first_caller[at + 1];
	     i++) {
		caller = closure->callers[i];
		if (--closure->open_calls[caller] == 0 &&
		    !closure->done[caller])
			closure->ready[closure->nready++] = caller;
	}
}

static void
decide_ready(struct closure *closure)
{
	while (closure->nready > 0)
		decide(closure, closure->ready[--closure->nready]);
}

static uint32_t
first_undecided_call(const struct closure *closure, uint32_t at)
{
	const struct loom_route *route = &closure->manifest->routes[at];
	uint32_t i;

	for (i = 0; i < route->ncalls; i++) {
		if (!closure->done[route->calls[i]])
			break;
	}
	return route->calls[i];
}

/* Every undecided route has an undecided call, so that walking along them
 * must come back to a route already seen: that is where the circle is. */
static uint32_t
route_in_circle(const struct closure *closure)
{
	uint32_t at = 0, steps;

	while (closure->done[at])
		at++;
	for (steps = 0; steps < closure->manifest->nroutes; steps++)
		at = first_undecided_call(closure, at);
	return at;
}

/* Reports one circle and decides its routes, so that the next is found.  None
 * is repeatable: each calls one that is not, as the first one decided calls
 * one that is not decided yet. */
static void
report_circle(struct closure *closure, struct build *build)
{
	uint32_t start = route_in_circle(closure), at = start;
	const struct place *place = &build->routes[start];
	GString *text = g_string_new(NULL);
	GArray *members = g_array_new(FALSE, FALSE, sizeof(at));
	char *where;
	guint i;

	do {
		g_string_append_printf(
		    text, "%s -> ", closure->manifest->routes[at].name);
		g_array_append_val(members, at);
		at = first_undecided_call(closure, at);
	} while (at != start);
	g_string_append(text, closure->manifest->routes[start].name);
	where = g_strdup_printf(
	    "%s:routes[%u].calls", place->document->file, place->index);
	build_report(build, LOOM_MANIFEST_CYCLE, where,
	    "calls run in a circle: %s", text->str);
	/* all are done first: none may also become ready by another */
	for (i = 0; i < members->len; i++)
		closure->done[g_array_index(members, uint32_t, i)] = true;
	for (i = 0; i < members->len; i++)
		decide(closure, g_array_index(members, uint32_t, i));
	g_free(where);
	g_array_free(members, TRUE);
	g_string_free(text, TRUE);
}

void
build_closure(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t room = manifest->nroutes + 1;
	struct closure closure = {
		.manifest = manifest,
		.open_calls = g_new0(uint32_t, room),
		.first_caller = g_new0(uint32_t, room),
		.ready = g_new0(uint32_t, room),
		.done = g_new0(bool, room),
	};

	count_callers(&closure);
	note_callers(&closure);
	decide_ready(&closure);
	while (closure.decided < manifest->nroutes) {
		report_circle(&closure, build);
		decide_ready(&closure);
	}
	g_free(closure.done);
	g_free(closure.ready);
	g_free(closure.callers);
	g_free(closure.first_caller);
	g_free(closure.open_calls);
}
