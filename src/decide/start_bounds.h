#ifndef LOOM_DECIDE_START_BOUNDS_H
#define LOOM_DECIDE_START_BOUNDS_H

/*
 * What bounds the calls that are sent to an upstream in a second, besides the
 * number that may run at a time: its cold start, and the rate that it states.
 *
 * start_bounds_reserve(), without a rate, may be called from any thread; all
 * other functions need the owner's lock.
 */

#include "decide/start_rate.h"
#include "loom/cold_start.h"

struct start_bounds {
	struct loom_cold_start cold;
	struct start_rate rate;
};

void start_bounds_init(struct start_bounds *, uint64_t now_us);

/* Calls that may be sent in a second, rounded and at least 1; 0: any number. */
uint32_t start_bounds_per_s(const struct start_bounds *, uint64_t now_us);

bool start_bounds_may_start(struct start_bounds *, uint64_t now_us);

#endif
