/*
 * Decisions of the gossip protocol; see the header.
 *
 * Designed for 61,000 changes a day, 17,000 daemons and a platform that handles
 * 2,000 calls a second.  If all daemons watched the platform, each change would
 * cost 17,000 calls, on average six times what the platform can handle.  So two
 * daemons in each data centre watch it, and the others get changes from their
 * peers.
 */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "decide/mix.h"
#include "loom/clock.h"
#include "loom/spread_policy.h"

/*
 * How long a starting daemon waits for a peer after the platform has answered.
 * The platform may be stale, which any peer would show; but the first daemon of
 * a fleet has no peers and must start as well.
 */
#define NO_PEER_WAIT_US (2 * LOOM_US_PER_S)
/*
 * How long it waits for a serving peer while all peers that answer are starting
 * too, as when a whole fleet starts at once.  Starting daemons query three
 * others every 0.3 s, and these pass on what they learn: in ten such rounds
 * data from one daemon reaches more than a fleet of 17,000.
 */
#define NO_READY_WAIT_US (3 * LOOM_US_PER_S)
/*
 * How long it waits to agree with the serving peers.  By then it has requested
 * all that they hold many times.  What still differs are values that its own
 * checks reject, as those of a newer release may; waiting longer would keep it
 * from ever serving.
 */
#define AGREEMENT_WAIT_US (30 * LOOM_US_PER_S)

int
loom_spread_compare(
    const struct loom_spread_version *a, const struct loom_spread_version *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return memcmp(a->digest, b->digest, sizeof(a->digest));
}

/* Advances the splitmix64 generator by one step. */
static uint64_t
hash_id(uint64_t x)
{
	return mix_splitmix64(x + UINT64_C(0x9e3779b97f4a7c15));
}

static int
compare_hashes(const void *a, const void *b)
{
	uint64_t left = hash_id(*(const uint64_t *)a);
	uint64_t right = hash_id(*(const uint64_t *)b);

	return left == right ? 0 : left > right ? -1 : 1;
}

void
loom_spread_sort_by_rank(uint64_t *ids, uint32_t n)
{
	qsort(ids, n, sizeof(*ids), compare_hashes);
}

uint32_t
loom_spread_rank(const uint64_t *ids, uint32_t n, uint64_t self)
{
	uint32_t rank = 0;

	while (rank < n && ids[rank] != self)
		rank++;
	return rank;
}

uint32_t
loom_spread_parent(uint32_t rank)
{
	if (rank < LOOM_SPREAD_READERS)
		return UINT32_MAX;
	return (rank - LOOM_SPREAD_READERS) / LOOM_SPREAD_CHILDREN_MAX;
}

/* Returns the id with the next higher hash on a ring, or self if there is no
 * other.  Each ring orders the ids by its own hash. */
static uint64_t
successor(const uint64_t *ids, uint32_t n, uint64_t self, uint32_t ring)
{
	uint64_t salt = ring == 0 ? 0 : hash_id(ring);
	uint64_t own = hash_id(self ^ salt), best = self, best_gap = UINT64_MAX;
	uint64_t gap;
	uint32_t i;

	for (i = 0; i < n; i++) {
		gap = hash_id(ids[i] ^ salt) - own; /* wraps around */
		if (ids[i] != self && gap <= best_gap) {
			best = ids[i];
			best_gap = gap;
		}
	}
	return best;
}

static bool
contains(const uint64_t *ids, uint32_t n, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

/*
 * Rings are used instead of random neighbours: with random ones some daemons
 * had five incoming links, which exceeded their bandwidth budget, and others
 * just one.
 */
uint32_t
loom_spread_neighbours(
    const uint64_t *ids, uint32_t n, uint64_t self, uint64_t *out, uint32_t max)
{
	uint32_t count = 0, ring;
	uint64_t id;

	for (ring = 0; ring < max; ring++) {
		id = successor(ids, n, self, ring);
		if (id != self && !contains(out, count, id))
			out[count++] = id;
	}
	return count;
}

/*
 * A daemon that starts with stale documents accepts keys that were withdrawn.
 * So the data must be confirmed by enough serving peers, or by the platform and
 * one serving peer.  Peers that are starting themselves do not count: they read
 * the same platform, and if it is stale they all agree on the same stale data.
 * The platform's answer alone is enough only when no serving peer is found, as
 * at the first start of a fleet, or when the platform is known never to be
 * stale; if serving peers answer but none agrees, it becomes enough after
 * AGREEMENT_WAIT_US.
 */
bool
loom_spread_ready(const struct loom_spread_start_state *state)
{
	uint32_t needed = LOOM_SPREAD_START_QUORUM;

	if (!state->versions_applied)
		return false;
	if (state->known_peers > 0 && state->known_peers < needed)
		needed = state->known_peers;
	if (state->agreeing_peers >= needed)
		return true;
	if (!state->platform_answered)
		return false;
	if (state->agreeing_peers > 0 || state->platform_is_current)
		return true;
	if (state->ready_peers > 0)
		return state->since_answer_us >= AGREEMENT_WAIT_US;
	return state->since_answer_us >=
	    (state->any_peer_replied ? NO_READY_WAIT_US : NO_PEER_WAIT_US);
}
