#ifndef LOOM_SPREAD_POLICY_H
#define LOOM_SPREAD_POLICY_H

/*
 * Decisions of the gossip protocol that distributes configuration: which copy
 * wins, who reads the platform, which peers are notified, and when a starting
 * daemon may serve.  Every daemon decides from its own view of the fleet.
 * Views that differ cost a few extra calls or bytes but never lose a version.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOOM_SPREAD_DIGEST_SIZE 32

/* Daemons per data centre that watch the platform.  Two, since one may be gone;
 * while both are, other daemons read the platform themselves (loom/age.h). */
#define LOOM_SPREAD_READERS 2
/* Daemons that query the same parent for its age, at most. */
#define LOOM_SPREAD_CHILDREN_MAX 16
/* Serving peers that a starting daemon must agree with while the platform is
 * down. */
#define LOOM_SPREAD_START_QUORUM 2

struct loom_spread_version {
	uint64_t number; /* a document's version, a host list's revision */
	uint8_t digest[LOOM_SPREAD_DIGEST_SIZE];
};

/*
 * Returns below 0, 0 or above 0 if a is older than, the same as or newer than
 * b: by number, then by digest, so that concurrent writes of the same number
 * resolve alike everywhere.
 */
int loom_spread_compare(
    const struct loom_spread_version *a, const struct loom_spread_version *b);

/* Sorts the host ids of a data centre by rank.  A host that is added or removed
 * moves the rank of others by at most one. */
void loom_spread_sort_by_rank(uint64_t *ids, uint32_t n);

/* Returns the rank of self, from 0, in ids that loom_spread_sort_by_rank()
 * sorted; n if it is not among them. */
uint32_t loom_spread_rank(const uint64_t *ids, uint32_t n, uint64_t self);

/* Returns the rank of the parent that a daemon of this rank queries; UINT32_MAX
 * for a reader.  No parent has more than LOOM_SPREAD_CHILDREN_MAX children. */
uint32_t loom_spread_parent(uint32_t rank);

/*
 * Writes the ids that self notifies of a change: its successors on max rings,
 * each of which orders the ids by another hash, so that each daemon is notified
 * by as many as it notifies.  Returns how many were written, fewer than max if
 * rings give the same id.  The result has no duplicates and never contains
 * self.
 */
uint32_t loom_spread_neighbours(const uint64_t *ids, uint32_t n, uint64_t self,
    uint64_t *out, uint32_t max);

/* What a starting daemon has learnt from the platform and from peers. */
struct loom_spread_start_state {
	bool versions_applied; /* its manifest and hosts are in effect */
	bool platform_answered; /* the platform has answered for all prefixes */
	uint64_t since_answer_us; /* time since then */
	bool platform_is_current; /* the platform is never stale */
	uint32_t known_peers; /* other hosts known */
	bool any_peer_replied; /* at least one peer has answered */
	uint32_t ready_peers; /* peers that answered and are ready */
	uint32_t agreeing_peers; /* of those, how many hold the same versions */
};

/* Returns whether a starting daemon may serve. */
bool loom_spread_ready(const struct loom_spread_start_state *);

#endif
