/*
 * This daemon's place in the tree of pools, by its own host list.
 */

#include <glib.h>
#include <string.h>

#include "decide/mix.h"
#include "decide/pool_choice.h"

enum scope {
	SCOPE_GROUP,
	SCOPE_DATA_CENTRE,
	SCOPE_REGION,
	SCOPE_FLEET,
};

/*
 * The host with the highest weight in a scope, and the usable one with the
 * highest weight.
 */
struct best_hosts {
	uint64_t first;
	uint64_t first_weight;
	uint64_t usable;
	uint64_t usable_weight;
	uint32_t members;
};

/*
 * The number of groups of this data centre. It is a power of two, so that
 * adding or removing a host rarely changes it: a change moves half of the hosts
 * to another group.
 */
static uint64_t
count_groups(const struct loom_hosts *hosts, const struct loom_self *self)
{
	uint64_t groups = 1, members = 0;
	uint32_t i;

	for (i = 0; i < hosts->nhosts; i++)
		members +=
		    strcmp(hosts->hosts[i].data_centre, self->data_centre) == 0;
	if (members <= LOOM_POOL_UNSPLIT_HOSTS)
		return 1;
	while (groups * LOOM_POOL_GROUP_HOSTS < members)
		groups *= 2;
	return groups;
}

static bool
in_scope(const struct loom_host *host, const struct loom_self *self,
    enum scope scope, uint64_t groups)
{
	switch (scope) {
	case SCOPE_GROUP:
		return strcmp(host->data_centre, self->data_centre) == 0 &&
		    mix_splitmix64(host->id) % groups ==
		    mix_splitmix64(self->host_id) % groups;
	case SCOPE_DATA_CENTRE:
		return strcmp(host->data_centre, self->data_centre) == 0;
	case SCOPE_REGION:
		return strcmp(host->region, self->region) == 0;
	default:
		return true;
	}
}

static void
consider_host(struct best_hosts *best_hosts, uint64_t host_id,
    uint32_t partition, enum scope scope, bool is_usable)
{
	uint64_t salt = (uint64_t)partition * LOOM_POOL_STAGES_MAX + scope + 1;
	uint64_t weight = mix_splitmix64(host_id ^ mix_splitmix64(salt)) | 1;

	if (weight > best_hosts->first_weight) {
		best_hosts->first = host_id;
		best_hosts->first_weight = weight;
	}
	if (is_usable && weight > best_hosts->usable_weight) {
		best_hosts->usable = host_id;
		best_hosts->usable_weight = weight;
	}
}

/* Has no effect for a host that was considered before. */
static void
consider_in_all_scopes(struct best_hosts best[LOOM_POOL_STAGES_MAX],
    uint64_t host_id, uint32_t partition)
{
	uint32_t scope;

	for (scope = 0; scope < LOOM_POOL_STAGES_MAX; scope++)
		consider_host(&best[scope], host_id, partition, scope, true);
}

static void
find_best_hosts(struct best_hosts best[LOOM_POOL_STAGES_MAX],
    const struct loom_hosts *hosts, const struct loom_self *self,
    uint32_t partition, bool (*usable)(void *arg, uint64_t host_id), void *arg)
{
	const uint64_t groups = count_groups(hosts, self);
	const struct loom_host *host;
	bool is_usable;
	uint32_t i, scope;

	for (i = 0; i < hosts->nhosts; i++) {
		host = &hosts->hosts[i];
		is_usable = host->id == self->host_id || usable(arg, host->id);
		for (scope = 0; scope < LOOM_POOL_STAGES_MAX; scope++) {
			if (!in_scope(host, self, scope, groups))
				continue;
			best[scope].members++;
			if (host->state == LOOM_HOST_LIVE)
				consider_host(&best[scope], host->id, partition,
				    scope, is_usable);
		}
	}
}

/*
 * A scope is not a stage if it has the same members as the next larger scope,
 * or if it is a data centre in a region small enough to have a single pool.
 */
static bool
is_stage(const struct best_hosts best[LOOM_POOL_STAGES_MAX], uint32_t scope)
{
	if (best[scope].members == 0)
		return false;
	if (scope == SCOPE_FLEET)
		return true;
	if (best[scope].members == best[scope + 1].members)
		return false;
	return scope != SCOPE_DATA_CENTRE ||
	    best[SCOPE_REGION].members > LOOM_POOL_FLAT_HOSTS;
}

static uint64_t
best_of(const struct best_hosts *best_hosts, bool usable)
{
	return usable ? best_hosts->usable : best_hosts->first;
}

/* The highest stage whose pool is this daemon; 0 for none. */
static uint32_t
own_stage(const struct best_hosts *const *stages, uint32_t n, uint64_t host_id,
    bool usable)
{
	uint32_t stage;

	for (stage = n; stage > 0; stage--) {
		if (best_of(stages[stage - 1], usable) == host_id)
			return stage;
	}
	return 0;
}

struct loom_pool_choice
loom_pool_choose(const struct loom_hosts *hosts, const struct loom_self *self,
    uint32_t partition, const struct loom_pool_children *below,
    bool (*usable)(void *arg, uint64_t host_id), void *arg)
{
	struct best_hosts best[LOOM_POOL_STAGES_MAX] = { 0 };
	const struct best_hosts *stages[LOOM_POOL_STAGES_MAX];
	struct loom_pool_choice choice = { 0 };
	uint32_t scope, first;

	find_best_hosts(best, hosts, self, partition, usable, arg);
	if (below->any)
		consider_in_all_scopes(best, self->host_id, partition);
	for (scope = 0; scope < LOOM_POOL_STAGES_MAX; scope++) {
		if (is_stage(best, scope))
			stages[choice.stages++] = &best[scope];
	}
	/*
	 * The pool of a region need not be the pool of its data centre. It must
	 * then not become a child of the data centre's pool, which is its own
	 * child: they would forward the same request to each other.
	 */
	choice.stage = own_stage(stages, choice.stages, self->host_id, true);
	choice.stage =
	    MAX(choice.stage, MIN(below->highest_stage, choice.stages));
	if (choice.stage < choice.stages)
		choice.parent_host_id = stages[choice.stage]->usable;
	/*
	 * Also computed for the root: it may be the root only because the
	 * preferred pool did not answer.
	 */
	first = own_stage(stages, choice.stages, self->host_id, false);
	first = MAX(first, MIN(below->highest_stage, choice.stages));
	if (first < choice.stages)
		choice.preferred_host_id = stages[first]->first;
	return choice;
}
