/*
 * Bound on the calls to a cold upstream (loom/cold_start.h).
 *
 * Load pattern: an upstream starts while thousands of calls per second wait for
 * its service, for example after a power cut, and crashes if it is sent more
 * than a few dozen in a second.
 *
 * The bound holds in every window, not on average, so the times of the last
 * calls are kept: a call may start if the call that many places before it was
 * sent at least a window ago.  A token bucket would have to divide the bound
 * between its rate and its burst, and would use only the rate while calls wait.
 */

#include <glib.h>
#include <math.h>

#include "loom/cold_start.h"

/* Somewhat longer than a second: the upstream counts calls when they arrive,
 * and the time from sending a call to its arrival varies. */
#define WINDOW_US (LOOM_US_PER_S + 15 * LOOM_US_PER_MS)

#define RAMP_DOUBLING_US (200.0 * LOOM_US_PER_MS)
#define RAMP_US (1 * LOOM_US_PER_S)

static uint_fast32_t
ring_index(uint_fast32_t i)
{
	return i % LOOM_COLD_STARTS_MAX;
}

/* Returns when the nth call before the next one was sent; n from 1. */
static uint64_t
sent_before_us(const struct loom_cold_start *cold, uint32_t n)
{
	const uint_fast32_t next =
	    atomic_load_explicit(&cold->nsent, memory_order_acquire);

	return atomic_load_explicit(
	    &cold->sent_us[ring_index(next - n)], memory_order_relaxed);
}

void
loom_cold_start_init(struct loom_cold_start *cold, uint64_t now_us)
{
	uint32_t i;

	cold->starts_max = 0;
	cold->cold_until_us = 0;
	atomic_init(&cold->reserved, 0);
	atomic_init(&cold->nsent, 0);
	for (i = 0; i < LOOM_COLD_STARTS_MAX; i++)
		atomic_init(&cold->sent_us[i], now_us);
}

void
loom_cold_start_set_bound(struct loom_cold_start *cold, uint32_t starts_max)
{
	cold->starts_max = MIN(starts_max, LOOM_COLD_STARTS_MAX);
}

void
loom_cold_start_set_until(struct loom_cold_start *cold, uint64_t until_us)
{
	cold->cold_until_us = until_us;
}

uint32_t
loom_cold_start_bound(const struct loom_cold_start *cold, uint64_t now_us)
{
	double since_end_us, bound;

	if (cold->starts_max == 0 || cold->cold_until_us == 0)
		return 0;
	if (now_us < cold->cold_until_us)
		return cold->starts_max;
	if (now_us >= cold->cold_until_us + RAMP_US)
		return 0;
	since_end_us = (double)(now_us - cold->cold_until_us);
	bound = cold->starts_max * exp2(since_end_us / RAMP_DOUBLING_US);
	return bound < LOOM_COLD_STARTS_MAX ? (uint32_t)bound
					    : LOOM_COLD_STARTS_MAX;
}

bool
loom_cold_start_may_start(const struct loom_cold_start *cold, uint64_t now_us)
{
	const uint32_t bound = loom_cold_start_bound(cold, now_us);
	const uint32_t reserved =
	    atomic_load_explicit(&cold->reserved, memory_order_acquire);

	if (bound == 0)
		return true;
	return reserved < bound &&
	    sent_before_us(cold, bound - reserved) + WINDOW_US <= now_us;
}

uint32_t
loom_cold_start_used(const struct loom_cold_start *cold, uint64_t now_us)
{
	uint32_t n = 0;

	while (n < LOOM_COLD_STARTS_MAX &&
	    sent_before_us(cold, n + 1) + WINDOW_US > now_us)
		n++;
	return n + atomic_load_explicit(&cold->reserved, memory_order_acquire);
}

void
loom_cold_start_reserve(struct loom_cold_start *cold)
{
	atomic_fetch_add_explicit(&cold->reserved, 1, memory_order_acq_rel);
}

/* The call leaves the reserved ones only after it is in the ring, so that it
 * counts at every moment. */
void
loom_cold_start_sent(struct loom_cold_start *cold, uint64_t now_us)
{
	const uint_fast32_t next =
	    atomic_fetch_add_explicit(&cold->nsent, 1, memory_order_acq_rel);

	atomic_store_explicit(
	    &cold->sent_us[ring_index(next)], now_us, memory_order_release);
	loom_cold_start_cancel(cold);
}

void
loom_cold_start_cancel(struct loom_cold_start *cold)
{
	atomic_fetch_sub_explicit(&cold->reserved, 1, memory_order_acq_rel);
}
