#ifndef LOOM_RETURN_SCHEDULE_H
#define LOOM_RETURN_SCHEDULE_H

/*
 * Schedules when refused callers may return. Each refusal reserves a slot in a
 * schedule whose rate is limited to the additional load that can be admitted,
 * so that callers who obey Retry-After do not all return at once.
 */

#include <stdint.h>

#include "loom/clock.h"
#include "loom/manifest.h"

#define LOOM_RETURN_MIN_US (UINT64_C(200) * LOOM_US_PER_MS)
#define LOOM_RETURN_MAX_US (UINT64_C(60) * LOOM_US_PER_S)

struct loom_return_schedule {
	/*
	 * Next free slot. Each importance has its own schedule, so that a
	 * critical call does not return after a thousand lookups.
	 */
	uint64_t next_us[LOOM_IMPORTANCE_COUNT];
};

/*
 * Reserves a slot for one refused call at a service that completes rate_per_s
 * calls per second. Returns how long the caller shall wait, jitter included.
 */
uint64_t loom_return_schedule_reserve(struct loom_return_schedule *,
    enum loom_importance, double rate_per_s, const struct loom_random *,
    uint64_t now_us);

#endif
