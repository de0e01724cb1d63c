/*
 * Finds why a route is not repeatable: a breadth-first search for the shortest
 * chain of declared calls to a route that is not itself idempotent.
 */

#include "loom/explain.h"

#define UNVISITED G_MAXUINT32

/*
 * Formats the chain of calls by which the search reached route i.  The
 * predecessor of a route is its caller in that chain; the route at which the
 * search began is its own predecessor.
 */
static char *
format_call_chain(const struct loom_manifest *manifest,
    const uint32_t *predecessors, uint32_t i)
{
	GString *text = g_string_new(manifest->routes[i].name);

	while (predecessors[i] != i) {
		i = predecessors[i];
		g_string_prepend(text, " -> ");
		g_string_prepend(text, manifest->routes[i].name);
	}
	return g_string_free(text, FALSE);
}

char *
loom_manifest_non_idempotent_chain(
    const struct loom_manifest *manifest, const struct loom_route *route)
{
	uint32_t *predecessors = g_new(uint32_t, manifest->nroutes);
	uint32_t *queue = g_new(uint32_t, manifest->nroutes);
	uint32_t head = 0, tail = 0, current, callee, i;
	const struct loom_route *current_route;
	char *text = NULL;

	for (i = 0; i < manifest->nroutes; i++)
		predecessors[i] = UNVISITED;
	current = (uint32_t)(route - manifest->routes);
	predecessors[current] = current;
	queue[tail++] = current;
	while (head < tail && text == NULL) {
		current = queue[head++];
		current_route = &manifest->routes[current];
		if (!current_route->idempotent)
			text =
			    format_call_chain(manifest, predecessors, current);
		for (i = 0; i < current_route->ncalls; i++) {
			callee = current_route->calls[i];
			if (predecessors[callee] != UNVISITED)
				continue;
			predecessors[callee] = current;
			queue[tail++] = callee;
		}
	}
	g_free(queue);
	g_free(predecessors);
	return text;
}
