#ifndef LOOM_DECIDE_DEMAND_H
#define LOOM_DECIDE_DEMAND_H

/*
 * Estimates the rate of calls in events per second, weighted by e^(-age / 1 s).
 * One second is long compared with the renewal interval of a loan, so that
 * loans are not sized by noise, and short compared with a surge.
 */

#include <stdint.h>

struct loom_demand {
	double weight; /* number of events, decayed to at_us */
	uint64_t updated_us;
};

void loom_demand_add(struct loom_demand *, double events, uint64_t now_us);
double loom_demand_per_s(const struct loom_demand *, uint64_t now_us);

#endif
