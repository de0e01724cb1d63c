#ifndef LOOM_DECIDE_POOL_CHOICE_H
#define LOOM_DECIDE_POOL_CHOICE_H

/*
 * Which daemon is whose pool: in each scope (group of a data centre, data
 * centre, region, fleet) the usable host with the highest hash of scope and
 * host (rendezvous hashing). Each daemon decides by its own view.  Two daemons
 * may differ: their pools hold disjoint loans, so nothing but balance depends
 * on agreement.
 *
 * But for one thing: while views differ two daemons could each take the other
 * for its pool, as when a pool is struck off the list and knows it first.  They
 * would pass questions to and fro and lend their parts to each other, and all
 * who ask them would be refused far below their rate.  So a daemon that is
 * asked by others competes in each of its scopes whatever its list says of it,
 * and is no lower a stage than they are: along each way upwards the stage never
 * falls, and within a stage the hash grows, so that no way is a circle.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/control.h"
#include "loom/hosts.h"

/*
 * Regions up to this size have one pool for all data centres of the region:
 * a second stage costs each scarce token one round trip more, which is worse
 * than a pool that answers 64 daemons.
 */
#define LOOM_POOL_FLAT_HOSTS 64

/*
 * Data centres of more hosts than the first are split into groups of at most
 * the second, each with a pool.  A pool's work and bytes grow with its
 * children; of 850 hosts 27 make a group, and 32 groups a data centre.  One
 * of just over 32 is not split: it would cost a stage.
 */
#define LOOM_POOL_UNSPLIT_HOSTS 64
#define LOOM_POOL_GROUP_HOSTS 32

/* Group, data centre, region, fleet. */
#define LOOM_POOL_STAGES_MAX 4

struct loom_pool_choice {
	uint64_t parent_host_id; /* 0: this daemon is the topmost pool */
	uint64_t preferred_host_id; /* the parent if all were usable; or 0 */
	uint32_t stage; /* 0: no pool; k: the pool of the k-th scope */
	uint32_t stages; /* scopes that there are */
};

/* The daemons that took this one for their pool lately. */
struct loom_pool_children {
	bool any;
	uint32_t highest_stage; /* the highest stage that one of them has */
};

/* usable: whether a host may be chosen; this daemon itself is not asked.  Each
 * partition of the teams has pools of its own. */
struct loom_pool_choice loom_pool_choose(const struct loom_hosts *hosts,
    const struct loom_self *self, uint32_t partition,
    const struct loom_pool_children *below,
    bool (*usable)(void *arg, uint64_t host_id), void *arg);

#endif
