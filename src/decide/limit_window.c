/*
 * Collects latency samples for the adaptive limit without a lock.
 *
 * Many threads finish calls at the same time.  Each adds its sample to a few
 * relaxed atomic counters; the thread that ends the window, under the owner's
 * lock, reads and clears them.
 */

#include "decide/limit_window.h"

void
loom_limit_sample(struct loom_limit *limit, uint8_t call_class,
    uint64_t self_us, uint64_t total_us, uint64_t now_us)
{
	struct loom_class_samples *samples;

	if (now_us < total_us +
		atomic_load_explicit(
		    &limit->min_call_start_us, memory_order_relaxed))
		return;
	samples = &limit->samples[call_class % LOOM_CALL_CLASSES];
	atomic_fetch_add_explicit(
	    &samples->self_us, self_us, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &samples->total_us, total_us, memory_order_relaxed);
	atomic_fetch_add_explicit(&samples->count, 1, memory_order_relaxed);
}

void
loom_limit_overload(struct loom_limit *limit)
{
	atomic_fetch_add_explicit(&limit->overloads, 1, memory_order_relaxed);
}

uint32_t
loom_limit_window_pending(const struct loom_limit *limit)
{
	uint32_t calls = 0;
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++)
		calls += (uint32_t)atomic_load_explicit(
		    &limit->samples[i].count, memory_order_relaxed);
	return calls;
}

/* The counters of one class are read one after the other.  A sample that is
 * added in between puts one call's time into the next window: an error of about
 * one call in 32 that the next window evens out. */
void
loom_limit_window_take(
    struct loom_limit *limit, struct loom_limit_window *window)
{
	struct loom_class_samples *samples;
	double calls;
	int i;

	*window = (struct loom_limit_window){
		.overloads = (double)atomic_exchange_explicit(
		    &limit->overloads, 0, memory_order_relaxed),
	};
	for (i = 0; i < LOOM_CALL_CLASSES; i++) {
		samples = &limit->samples[i];
		calls = (double)atomic_exchange_explicit(
		    &samples->count, 0, memory_order_relaxed);
		if (calls == 0)
			continue;
		window->calls[i] = calls;
		window->total_calls += calls;
		window->self_us[i] =
		    (double)atomic_exchange_explicit(
			&samples->self_us, 0, memory_order_relaxed) /
		    calls;
		window->total_us[i] =
		    (double)atomic_exchange_explicit(
			&samples->total_us, 0, memory_order_relaxed) /
		    calls;
	}
}
