/*
 * Leaving out of a partial manifest what cannot stand.
 *
 * Two operators ship a document each at the same time; each passes the
 * pipeline's check against the other's old one, and joined they clash.  A
 * daemon that refused the set would keep the old manifest, with keys in force
 * that were withdrawn since, and one that starts would have none at all.  So
 * daemons join what can stand, and every doubt is settled on the safe side:
 * the lower rate, the withdrawn key, the route that may not be repeated.  The
 * result depends on the set of documents alone: all daemons come to the same.
 */

#include "manifest/build.h"

/* Give each element that stays its new index; the others that of what stands
 * for them, or NO_INDEX.  Returns how many stay. */
static uint32_t
renumber(const struct place *places, uint32_t n, uint32_t *new_index)
{
	uint32_t kept = 0, i;

	for (i = 0; i < n; i++) {
		new_index[i] = NO_INDEX;
		if (!places[i].dropped)
			new_index[i] = kept++;
		else if (places[i].same_as != NO_INDEX)
			new_index[i] = new_index[places[i].same_as];
	}
	return kept;
}

static void
drop_teams(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t *new_index = talloc_array(build, uint32_t, manifest->nteams);
	uint32_t kept, i, at;

	kept = renumber(build->teams, manifest->nteams, new_index);
	for (i = 0; i < manifest->nkeys; i++) {
		at = new_index[manifest->keys[i].team_index];
		manifest->keys[i].team_index = at;
		build->keys[i].dropped = at == NO_INDEX;
	}
	for (i = 0; i < manifest->nteams; i++) {
		if (!build->teams[i].dropped)
			manifest->teams[new_index[i]] = manifest->teams[i];
	}
	manifest->nteams = kept;
	talloc_free(new_index);
}

static void
drop_keys(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t kept = 0, i;

	for (i = 0; i < manifest->nkeys; i++) {
		if (!build->keys[i].dropped)
			manifest->keys[kept++] = manifest->keys[i];
	}
	manifest->nkeys = kept;
}

/* The parts whose service stays, with its new index. */
static void
drop_parts(struct loom_route *route, const uint32_t *new_index)
{
	uint32_t kept = 0, i, at;

	for (i = 0; i < route->nparts; i++) {
		at = new_index[route->parts[i].service_index];
		if (at == NO_INDEX)
			continue;
		route->parts[kept] = route->parts[i];
		route->parts[kept++].service_index = at;
	}
	route->nparts = kept;
}

/* A route whose service was dropped with nothing in its place goes too. */
static void
drop_services(struct build *build)
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
		drop_parts(route, new_index);
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

/* The calls of a dropped route become calls of the one in its place. */
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
 * A call to a dropped route with nothing in its place is left out: such a
 * route matches nothing, so nothing can run behind it.
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
drop_routes(struct build *build)
{
	struct loom_manifest *manifest = build->manifest;
	uint32_t *new_index = talloc_array(build, uint32_t, manifest->nroutes);
	uint32_t kept, i, same_as;

	kept = renumber(build->routes, manifest->nroutes, new_index);
	/* backwards: what stands for a dropped one may be dropped as well */
	for (i = manifest->nroutes; i-- > 0;) {
		same_as = build->routes[i].same_as;
		if (build->routes[i].dropped && same_as != NO_INDEX)
			merge_calls(
			    &manifest->routes[same_as], &manifest->routes[i]);
	}
	for (i = 0; i < manifest->nroutes; i++) {
		if (build->routes[i].dropped) {
			g_free(manifest->routes[i].parts);
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
build_drop(struct build *build)
{
	if (build->ok)
		return;
	drop_teams(build);
	drop_keys(build);
	drop_services(build);
	drop_routes(build);
	manifest_index_free(build->manifest->index);
	build->manifest->index = manifest_index_new(build->manifest);
}
