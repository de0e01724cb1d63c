/*
 * Decisions of the spread of versions; see the header.
 *
 * Load that this answers: 61,000 changes a day to 17,000 daemons past a
 * platform that takes 2,000 calls a second.  If all daemons watched, each
 * change would cost 17,000 calls, six times the platform's budget on average.
 * So two in each data centre watch and the rest learn from each other.
 */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "decide/mix.h"
#include "loom/clock.h"
#include "loom/spread_policy.h"

/* A starting daemon waits so long for a peer after the platform's answer.
 * The platform may be stale, and any one peer would tell; but the first
 * daemon of a fleet has no peer and must start too. */
#define NO_PEER_WAIT_US (2 * LOOM_US_PER_S)
/* And so long for a peer that serves, while all that answer are starting as
 * well: a whole fleet may start at once.  Starting daemons ask three others
 * each 0.3 s, and what one of them learns the others learn from it: ten such
 * rounds carry it from one daemon to more than a fleet of 17,000. */
#define NO_READY_WAIT_US (3 * LOOM_US_PER_S)
/* And so long for agreement with those that serve.  By then all they have was
 * asked for many times; what still differs is what this daemon's own checks
 * refuse, as a newer release may, and waiting on would keep it out for ever. */
#define AGREEMENT_WAIT_US (30 * LOOM_US_PER_S)

int
loom_spread_compare(
    const struct loom_spread_version *a, const struct loom_spread_version *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return memcmp(a->digest, b->digest, sizeof(a->digest));
}

/* One step of splitmix64. */
static uint64_t
hash_id(uint64_t x)
{
	return mix_split(x + UINT64_C(0x9e3779b97f4a7c15));
}

static int
compare_hashes(const void *a, const void *b)
{
	uint64_t left = hash_id(*(const uint64_t *)a);
	uint64_t right = hash_id(*(const uint64_t *)b);

	return left == right ? 0 : left > right ? -1 : 1;
}

void
loom_spread_order(uint64_t *ids, uint32_t n)
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
	return (rank - LOOM_SPREAD_READERS) / LOOM_SPREAD_CHILDREN;
}

/* The id with the next higher place on a ring; self when it is alone.  Each
 * ring orders the ids by a hash of its own. */
static uint64_t
successor(const uint64_t *ids, uint32_t n, uint64_t self, uint32_t ring)
{
	uint64_t salt = ring == 0 ? 0 : hash_id(ring);
	uint64_t own = hash_id(self ^ salt), best = self, best_gap = UINT64_MAX;
	uint64_t gap;
	uint32_t i;

	for (i = 0; i < n; i++) {
		gap = hash_id(ids[i] ^ salt) - own; /* wraps round the ring */
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
 * Rings and not ids drawn by chance: chance gives some daemons five links in,
 * whose bytes were over the budget, and others one.
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
 * A daemon that starts on an old set serves keys that were withdrawn.  Either
 * enough daemons that serve already vouch for the set, or the platform and
 * one of them do.  Daemons that are starting themselves vouch for nothing:
 * they read the same platform, and if it is stale they all agree on the old
 * set.  Only when nobody who serves is found, as at the first start of a
 * fleet, is the platform's word alone enough.
 */
bool
loom_spread_ready(const struct loom_spread_found *found)
{
	uint32_t needed = LOOM_SPREAD_START_PEERS;

	if (!found->in_force)
		return false;
	if (found->known_peers > 0 && found->known_peers < needed)
		needed = found->known_peers;
	if (found->agreeing_ready >= needed)
		return true;
	if (!found->platform)
		return false;
	if (found->agreeing_ready > 0 || found->platform_is_current)
		return true;
	if (found->heard_ready > 0)
		return found->platform_us >= AGREEMENT_WAIT_US;
	return found->platform_us >=
	    (found->heard_peers ? NO_READY_WAIT_US : NO_PEER_WAIT_US);
}
