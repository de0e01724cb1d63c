/*
 * Merges a duplicate declaration in a partial manifest into the first one.
 * Each conflict is resolved on the safe side; drop.c explains why.
 */

#include <string.h>

#include "manifest/build.h"

/* Takes the lower rate and burst, so that a team never gets more than any of
 * its declarations allows.  If the names differ and only their IDs collide, the
 * second team is dropped with its keys. */
void
build_merge_teams(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_team *kept = &build->manifest->teams[first];
	const struct loom_team *other = &build->manifest->teams[second];

	build->teams[second].dropped = true;
	if (strcmp(kept->name, other->name) != 0)
		return;
	build->teams[second].merged_into = first;
	kept->rate_per_s = MIN(kept->rate_per_s, other->rate_per_s);
	kept->burst = MIN(kept->burst, other->burst);
}

/* Takes the smaller limits and the longer ramp.  If only the IDs collide, the
 * second service is dropped with the routes to it. */
void
build_merge_services(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_service *kept = &build->manifest->services[first];
	const struct loom_service *other = &build->manifest->services[second];

	build->services[second].dropped = true;
	if (strcmp(kept->name, other->name) != 0)
		return;
	build->services[second].merged_into = first;
	kept->slots = MIN(kept->slots, other->slots);
	kept->queue = MIN(kept->queue, other->queue);
	kept->cold_start_ms = MAX(kept->cold_start_ms, other->cold_start_ms);
	if (kept->cold_per_s == 0 ||
	    (other->cold_per_s > 0 && other->cold_per_s < kept->cold_per_s))
		kept->cold_per_s = other->cold_per_s;
}

/* Marks the key as withdrawn if either declaration withdraws it or if it is
 * granted to two teams. */
void
build_merge_digests(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_key *kept = &build->manifest->keys[first];
	struct loom_key *other = &build->manifest->keys[second];
	bool same_team =
	    build->teams[other->team_index].merged_into == kept->team_index ||
	    other->team_index == kept->team_index;

	if (!same_team || other->withdrawn)
		kept->withdrawn = true;
	other->withdrawn = kept->withdrawn;
}

/* The merged route is idempotent only if both are, and takes the higher
 * importance and the smaller body limit.  drop.c merges their calls. */
void
build_merge_routes(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_route *kept = &build->manifest->routes[first];
	const struct loom_route *other = &build->manifest->routes[second];

	build->routes[second].dropped = true;
	build->routes[second].merged_into = first;
	kept->idempotent = kept->idempotent && other->idempotent;
	kept->importance = MIN(kept->importance, other->importance);
	kept->max_body_bytes = MIN(kept->max_body_bytes, other->max_body_bytes);
}
