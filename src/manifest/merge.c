/*
 * Two declarations of one thing in a partial manifest: the first stands for
 * both, on the safe side (drop.c says why).
 */

#include <string.h>

#include "manifest/build.h"

/* The lower rate and burst: no team gets more than any of its declarations
 * allows.  Another name with the same number is dropped with its keys. */
void
build_merge_teams(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_team *kept = &build->manifest->teams[first];
	const struct loom_team *other = &build->manifest->teams[second];

	build->teams[second].dropped = true;
	if (strcmp(kept->name, other->name) != 0)
		return;
	build->teams[second].same_as = first;
	kept->rate_per_s = MIN(kept->rate_per_s, other->rate_per_s);
	kept->burst = MIN(kept->burst, other->burst);
}

void
build_merge_services(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_service *kept = &build->manifest->services[first];
	const struct loom_service *other = &build->manifest->services[second];

	build->services[second].dropped = true;
	if (strcmp(kept->name, other->name) != 0)
		return;
	build->services[second].same_as = first;
	kept->slots = MIN(kept->slots, other->slots);
	kept->queue = MIN(kept->queue, other->queue);
	kept->cold_start_ms = MAX(kept->cold_start_ms, other->cold_start_ms);
}

/* Withdrawn by one declaration, or granted to two teams: works for none. */
void
build_merge_digests(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_key *kept = &build->manifest->keys[first];
	struct loom_key *other = &build->manifest->keys[second];
	bool same_team =
	    build->teams[other->team_index].same_as == kept->team_index ||
	    other->team_index == kept->team_index;

	if (!same_team || other->withdrawn)
		kept->withdrawn = true;
	other->withdrawn = kept->withdrawn;
}

/* Repeated only when both may be, shed as late as either, and (drop.c) the
 * calls of both. */
void
build_merge_routes(struct build *build, uint32_t first, uint32_t second)
{
	struct loom_route *kept = &build->manifest->routes[first];
	const struct loom_route *other = &build->manifest->routes[second];

	build->routes[second].dropped = true;
	build->routes[second].same_as = first;
	kept->idempotent = kept->idempotent && other->idempotent;
	kept->importance = MIN(kept->importance, other->importance);
	kept->max_body_bytes = MIN(kept->max_body_bytes, other->max_body_bytes);
}
