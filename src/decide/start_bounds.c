/*
 * The bounds on the calls to an upstream; see the header.
 */

#include <glib.h>

#include "decide/start_bounds.h"

void
start_bounds_init(struct start_bounds *bounds, uint64_t now_us)
{
	loom_cold_start_init(&bounds->cold, now_us);
	bounds->rate = (struct start_rate){ 0 };
}

uint32_t
start_bounds_per_s(const struct start_bounds *bounds, uint64_t now_us)
{
	const uint32_t cold = loom_cold_start_bound(&bounds->cold, now_us);
	uint32_t rate;

	if (bounds->rate.per_s == 0)
		return cold;
	rate = (uint32_t)MAX(bounds->rate.per_s + 0.5, 1.0);
	return cold == 0 ? rate : MIN(cold, rate);
}

bool
start_bounds_may_start(struct start_bounds *bounds, uint64_t now_us)
{
	return loom_cold_start_may_start(&bounds->cold, now_us) &&
	    start_rate_may_start(&bounds->rate, now_us);
}
