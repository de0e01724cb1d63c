#ifndef LOOM_RETURNS_H
#define LOOM_RETURNS_H

/*
 * When refused callers may come back.  Each refusal reserves a place on a
 * schedule that is as thin as the load which can be let in on top, so that
 * callers who obey Retry-After do not return all at once.
 */

#include <stdint.h>

#include "loom/clock.h"
#include "loom/manifest.h"

#define LOOM_RETURN_MIN_US (UINT64_C(200) * LOOM_US_PER_MS)
#define LOOM_RETURN_MAX_US (UINT64_C(60) * LOOM_US_PER_S)

struct loom_returns {
	/* The next free place; each importance has a schedule of its own, so
	 * that a critical call does not come back after a thousand lookups. */
	uint64_t next_us[LOOM_IMPORTANCES];
};

/* Reserve a place for one refused call at a service that ends rate_per_s
 * calls; returns how long the caller shall wait, with its spread. */
uint64_t loom_returns_after(struct loom_returns *, enum loom_importance,
    double rate_per_s, const struct loom_random *, uint64_t now_us);

#endif
