#ifndef LOOM_WAIT_SHARE_H
#define LOOM_WAIT_SHARE_H

/*
 * How much of their time an upstream's calls wait for calls of their own, where
 * nothing tells which inner call belongs to which.  Not thread-safe.
 */

#include <stdint.h>

struct loom_wait_share {
	uint32_t running; /* calls at the upstream */
	uint32_t inner; /* calls that the upstream waits for */
	uint64_t at_us; /* of the sums */
	double run_us; /* decayed: time that calls ran */
	double wait_us; /* of it, with an inner call under way */
};

/* One of both counts changes by one, or by none. */
void loom_wait_share_change(
    struct loom_wait_share *, int running, int inner, uint64_t now_us);

/* Between 0 and 0.95. */
double loom_wait_share(const struct loom_wait_share *);

#endif
