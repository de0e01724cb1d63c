/*
 * An exponentially weighted event rate. With a time constant of one second, the
 * decayed count of events equals the rate.
 */

#include <math.h>

#include "decide/demand.h"

#define TIME_CONSTANT_US 1e6

static double
decayed_weight(const struct loom_demand *demand, uint64_t now_us)
{
	if (now_us <= demand->updated_us)
		return demand->weight;
	return demand->weight *
	    exp(-(double)(now_us - demand->updated_us) / TIME_CONSTANT_US);
}

void
loom_demand_add(struct loom_demand *demand, double events, uint64_t now_us)
{
	demand->weight = decayed_weight(demand, now_us) + events;
	if (now_us > demand->updated_us)
		demand->updated_us = now_us;
}

double
loom_demand_per_s(const struct loom_demand *demand, uint64_t now_us)
{
	return decayed_weight(demand, now_us);
}
