#ifndef LOOM_WAIT_SHARE_H
#define LOOM_WAIT_SHARE_H

/*
 * Estimates the fraction of their time that an upstream's calls wait for calls
 * of their own, where inner calls cannot be matched to the calls that made
 * them. Not thread-safe.
 */

#include <stdint.h>

struct loom_wait_share {
	uint32_t running; /* calls at the upstream */
	uint32_t inner; /* calls that the upstream waits for */
	uint64_t updated_us; /* when run_us and wait_us were last updated */
	double run_us; /* decayed sum of the time that calls ran */
	double wait_us; /* the part of run_us spent waiting for inner calls */
};

/* Adds running and inner, each -1, 0 or 1, to the two counts. */
void loom_wait_share_update(
    struct loom_wait_share *, int running, int inner, uint64_t now_us);

/* Returns the fraction, between 0 and 0.95. */
double loom_wait_share(const struct loom_wait_share *);

#endif
