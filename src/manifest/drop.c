/*
 * Removes invalid and conflicting elements from a partial manifest.
 *
 * Two operators may each publish a document at the same time.  Each document
 * passes the pipeline's check against the old version of the other, but the
 * new versions conflict.  A daemon that rejected the set would keep the old
 * manifest, in which keys that have since been withdrawn are still valid, and
 * a daemon that is just starting would have no manifest at all.
 *
 * So daemons use every element that is valid, and resolve each conflict on the
 * safe side: the lower rate, the withdrawn key, the route that may not be
 * repeated.  The result depends only on the set of documents, so that all
 * daemons arrive at the same manifest.
 */

#include "manifest/build.h"

/*
 * Sets new_index[i] to the index of element i after the removal.  A dropped
 * element gets the index of the one it was merged into, or NO_INDEX.  Returns
 * the number of elements kept.
 */
static uint32_t
renumber(
    const struct declaration *declarations, uint32_t n, uint32_t *new_index)
{
	uint32_t kept = 0, i;

	for (i = 0; i < n; i++) {
		new_index[i] = NO_INDEX;
		if (!declarations[i].dropped)
			new_index[i] = kept++;
		else if (declarations[i].merged_into != NO_INDEX)
			new_index[i] = new_index[declarations[i].merged_into];
	}
	return kept;
}

static void
remove_dropped_teams(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t *new_index = talloc_array(build, uint32_t, manifest->nteams);
	uint32_t kept, i, element_index;

	kept = renumber(build->teams, manifest->nteams, new_index);
	for (i = 0; i < manifest->nkeys; i++) {
		element_index = new_index[manifest->keys[i].team_index];
		manifest->keys[i].team_index = element_index;
		build->keys[i].dropped = element_index == NO_INDEX;
	}
	for (i = 0; i < manifest->nteams; i++) {
		if (!build->teams[i].dropped)
			manifest->teams[new_index[i]] = manifest->teams[i];
	}
	manifest->nteams = kept;
	talloc_free(new_index);
}

static void
remove_dropped_keys(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t kept = 0, i;

	for (i = 0; i < manifest->nkeys; i++) {
		if (!build->keys[i].dropped)
			manifest->keys[kept++] = manifest->keys[i];
	}
	manifest->nkeys = kept;
}

/* Removes the parts whose service was removed, and renumbers the others. */
static void
remove_dropped_parts(struct loom_route *route, const uint32_t *new_index)
{
	uint32_t kept = 0, i, element_index;

	for (i = 0; i < route->nsplits; i++) {
		element_index = new_index[route->splits[i].service_index];
		if (element_index == NO_INDEX)
			continue;
		route->splits[kept] = route->splits[i];
		route->splits[kept++].service_index = element_index;
	}
	route->nsplits = kept;
}

/* Also drops each route whose service is unknown or was dropped without being
 * merged into another one. */
static void
remove_dropped_services(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t *new_index =
	    talloc_array(build, uint32_t, manifest->nservices);
	struct loom_route *route;
	uint32_t kept, i;

	kept = renumber(build->services, manifest->nservices, new_index);
	for (i = 0; i < manifest->nroutes; i++) {
		route = &manifest->routes[i];
		if (route->service_index != NO_INDEX)
			route->service_index = new_index[route->service_index];
		if (route->service_index == NO_INDEX)
			build->routes[i].dropped = true;
		remove_dropped_parts(route, new_index);
	}
	for (i = 0; i < manifest->nservices; i++) {
		if (!build->services[i].dropped)
			manifest->services[new_index[i]] =
			    manifest->services[i];
	}
	manifest->nservices = kept;
	talloc_free(new_index);
}

static bool
has_call(const struct loom_route *route, uint32_t callee)
{
	uint32_t i;

	for (i = 0; i < route->ncalls; i++) {
		if (route->calls[i] == callee)
			return true;
	}
	return false;
}

/* Adds the calls of a dropped route to the route it was merged into. */
static void
merge_calls(struct loom_route *kept, const struct loom_route *other)
{
	uint32_t i;

	kept->calls =
	    g_renew(uint32_t, kept->calls, kept->ncalls + other->ncalls);
	for (i = 0; i < other->ncalls; i++) {
		if (!has_call(kept, other->calls[i]))
			kept->calls[kept->ncalls++] = other->calls[i];
	}
}

/*
 * Removes calls to routes that were dropped without being merged into another
 * one: no request matches such a route, so the call cannot run anything.
 */
static void
renumber_calls(struct loom_route *route, const uint32_t *new_index)
{
	uint32_t kept = 0, i, callee;

	for (i = 0; i < route->ncalls; i++) {
		callee = new_index[route->calls[i]];
		if (callee != NO_INDEX)
			route->calls[kept++] = callee;
	}
	route->ncalls = kept;
}

static void
remove_dropped_routes(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t *new_index = talloc_array(build, uint32_t, manifest->nroutes);
	uint32_t kept, i, merged_into;

	kept = renumber(build->routes, manifest->nroutes, new_index);
	/* Backwards, as the route that a dropped one was merged into may have
	 * been dropped and merged into an earlier one as well. */
	for (i = manifest->nroutes; i-- > 0;) {
		merged_into = build->routes[i].merged_into;
		if (build->routes[i].dropped && merged_into != NO_INDEX)
			merge_calls(&manifest->routes[merged_into],
			    &manifest->routes[i]);
	}
	for (i = 0; i < manifest->nroutes; i++) {
		if (build->routes[i].dropped) {
			g_free(manifest->routes[i].splits);
			g_free(manifest->routes[i].calls);
			continue;
		}
		renumber_calls(&manifest->routes[i], new_index);
		manifest->routes[new_index[i]] = manifest->routes[i];
		build->routes[new_index[i]] = build->routes[i];
	}
	manifest->nroutes = kept;
	talloc_free(new_index);
}

void
build_remove_dropped(struct build *build)
{
	if (build->ok)
		return;
	remove_dropped_teams(build);
	remove_dropped_keys(build);
	remove_dropped_services(build);
	remove_dropped_routes(build);
	manifest_index_free(build->manifest->index);
	build->manifest->index = manifest_index_new(build->manifest);
}
