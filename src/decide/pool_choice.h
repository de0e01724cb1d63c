#ifndef LOOM_DECIDE_POOL_CHOICE_H
#define LOOM_DECIDE_POOL_CHOICE_H

/*
 * Which daemon is the pool of which others. In each scope (group of a data
 * centre, data centre, region, fleet) it is the usable host with the highest
 * hash of scope and host id (rendezvous hashing). Each daemon decides by its
 * own host list. When two daemons disagree, the two pools hold disjoint loans,
 * so that only the balance of load depends on agreement.
 *
 * Disagreement must not make two daemons choose each other, as can happen when
 * a pool is removed from the host list and learns it before the others. They
 * would forward requests to each other and lend each other their shares, and
 * everybody who asks them would be refused far below the team's rate. A daemon
 * that receives requests from children therefore competes in each of its
 * scopes, whatever its own list says about it, and its stage is not lower than
 * theirs. On each path upwards the stage then never decreases, and within a
 * stage the hash increases, so that a path cannot form a cycle.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/control.h"
#include "loom/hosts.h"

/*
 * Regions of up to this many hosts have one pool for all their data centres.
 * Another stage adds a round trip to each token when tokens are scarce, which
 * is worse than a pool with 64 children.
 */
#define LOOM_POOL_FLAT_HOSTS 64

/*
 * A data centre with more hosts than LOOM_POOL_UNSPLIT_HOSTS is split into
 * groups of at most LOOM_POOL_GROUP_HOSTS, each with its own pool, because a
 * pool's processor time and bandwidth grow with the number of its children. 850
 * hosts form 32 groups of about 27. A data centre with just over 32 hosts is
 * not split, since that would add a stage.
 */
#define LOOM_POOL_UNSPLIT_HOSTS 64
#define LOOM_POOL_GROUP_HOSTS 32

/* Group, data centre, region, fleet. */
#define LOOM_POOL_STAGES_MAX 4

struct loom_pool_choice {
	uint64_t parent_host_id; /* 0: this daemon is the root of the tree */
	/* the parent if all hosts were usable; 0 if none */
	uint64_t preferred_host_id;
	uint32_t stage; /* 0: not a pool; k: pool of the k-th scope */
	uint32_t stages; /* stages of the tree */
};

/* The daemons that recently used this one as their pool. */
struct loom_pool_children {
	bool any;
	uint32_t highest_stage; /* highest stage among them */
};

/*
 * Chooses this daemon's pool. `usable` tells whether a host may be chosen; it
 * is not called for this daemon itself. Each partition of the teams chooses
 * pools of its own.
 */
struct loom_pool_choice loom_pool_choose(const struct loom_hosts *hosts,
    const struct loom_self *self, uint32_t partition,
    const struct loom_pool_children *below,
    bool (*usable)(void *arg, uint64_t host_id), void *arg);

#endif
