#ifndef LOOM_SPREAD_POLICY_H
#define LOOM_SPREAD_POLICY_H

/*
 * Decisions of the spread of versions: which copy wins, who reads the
 * platform, who tells whom, and when a starting daemon knows enough.  Every
 * daemon decides by its own view; two views that differ cost a few calls or
 * bytes, never a version.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOOM_SPREAD_DIGEST_SIZE 32

/* Daemons of a data centre that watch the platform.  Two: one may be gone, and
 * while both are, others read for themselves (loom/age.h). */
#define LOOM_SPREAD_READERS 2
/* Daemons that ask one and the same other one how old its knowledge is. */
#define LOOM_SPREAD_CHILDREN 16
/* Peers that a starting daemon must agree with when the platform is down. */
#define LOOM_SPREAD_START_PEERS 2

struct loom_spread_version {
	uint64_t number; /* a document's version, a host list's revision */
	uint8_t digest[LOOM_SPREAD_DIGEST_SIZE];
};

/* Below 0, 0, above 0 as a is older than, the same as, newer than b: by
 * number, then by digest, so that a race ends the same everywhere. */
int loom_spread_compare(
    const struct loom_spread_version *a, const struct loom_spread_version *b);

/* Bring the ids of a data centre into the order of their ranks.  A new or lost
 * host moves others by at most one place. */
void loom_spread_order(uint64_t *ids, uint32_t n);

/* The place of self among ids in order, 0 first; n when it is not there. */
uint32_t loom_spread_rank(const uint64_t *ids, uint32_t n, uint64_t self);

/* The rank that one of this rank asks: readers have none, UINT32_MAX, and
 * nobody is asked by more than LOOM_SPREAD_CHILDREN. */
uint32_t loom_spread_parent(uint32_t rank);

/*
 * The ids that self tells of a change: its successors on max rings, each of
 * which orders the ids by another hash, so that each listed daemon is told by
 * as many as it tells.  Returns how many were written, fewer when rings agree;
 * never self, none twice.
 */
uint32_t loom_spread_neighbours(const uint64_t *ids, uint32_t n, uint64_t self,
    uint64_t *out, uint32_t max);

/* What a starting daemon has found. */
struct loom_spread_found {
	bool in_force; /* its documents join into a manifest */
	bool platform; /* the platform answered for all prefixes */
	uint64_t platform_us; /* since then */
	bool platform_is_current; /* it cannot have answered with an old set */
	uint32_t known_peers; /* other hosts that it knows of */
	bool heard_peers; /* any of them answered */
	uint32_t heard_ready; /* that are ready themselves */
	uint32_t agreeing_ready; /* of those, hold the same versions */
};

/* May a starting daemon serve? */
bool loom_spread_ready(const struct loom_spread_found *);

#endif
