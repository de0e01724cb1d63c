/*
 * Why a route is not repeatable: the shortest chain of declared calls to a
 * route that is not idempotent itself, found breadth first.
 */

#include "loom/explain.h"

#define NOT_SEEN G_MAXUINT32

static char *
chain_text(const struct loom_manifest *manifest, const uint32_t *came_from,
    uint32_t at)
{
	GString *text = g_string_new(manifest->routes[at].name);

	while (came_from[at] != at) {
		at = came_from[at];
		g_string_prepend(text, " -> ");
		g_string_prepend(text, manifest->routes[at].name);
	}
	return g_string_free(text, FALSE);
}

char *
loom_manifest_why_not_repeatable(
    const struct loom_manifest *manifest, const struct loom_route *route)
{
	uint32_t *came_from = g_new(uint32_t, manifest->nroutes);
	uint32_t *queue = g_new(uint32_t, manifest->nroutes);
	uint32_t head = 0, tail = 0, at, callee, i;
	const struct loom_route *next;
	char *text = NULL;

	for (i = 0; i < manifest->nroutes; i++)
		came_from[i] = NOT_SEEN;
	at = (uint32_t)(route - manifest->routes);
	came_from[at] = at;
	queue[tail++] = at;
	while (head < tail && text == NULL) {
		at = queue[head++];
		next = &manifest->routes[at];
		if (!next->idempotent)
			text = chain_text(manifest, came_from, at);
		for (i = 0; i < next->ncalls; i++) {
			callee = next->calls[i];
			if (came_from[callee] != NOT_SEEN)
				continue;
			came_from[callee] = at;
			queue[tail++] = callee;
		}
	}
	g_free(queue);
	g_free(came_from);
	return text;
}
