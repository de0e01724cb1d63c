/*
 * The measurements of a limit's window.
 *
 * Answers: many threads that end calls at once.  Each adds to a few relaxed
 * atomics; whoever ends the window, under the owner's lock, takes them out.
 */

#include "decide/window.h"

void
loom_limit_sample(struct loom_limit *limit, uint8_t call_class, uint64_t own_us,
    uint64_t whole_us, uint64_t now_us)
{
	struct loom_class_samples *samples;

	if (now_us < whole_us +
		atomic_load_explicit(&limit->since_us, memory_order_relaxed))
		return;
	samples = &limit->samples[call_class % LOOM_CALL_CLASSES];
	atomic_fetch_add_explicit(
	    &samples->own_us, own_us, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &samples->whole_us, whole_us, memory_order_relaxed);
	atomic_fetch_add_explicit(&samples->count, 1, memory_order_relaxed);
}

void
loom_limit_overload(struct loom_limit *limit)
{
	atomic_fetch_add_explicit(&limit->overloads, 1, memory_order_relaxed);
}

uint32_t
loom_window_pending(const struct loom_limit *limit)
{
	uint32_t calls = 0;
	int i;

	for (i = 0; i < LOOM_CALL_CLASSES; i++)
		calls += (uint32_t)atomic_load_explicit(
		    &limit->samples[i].count, memory_order_relaxed);
	return calls;
}

/* A sample that is added between two of the exchanges shifts one call's time
 * into the next window: an error of one in 32, on one side and then on the
 * other. */
void
loom_window_take(struct loom_limit *limit, struct loom_window *window)
{
	struct loom_class_samples *samples;
	double calls;
	int i;

	*window = (struct loom_window){
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
		window->all_calls += calls;
		window->own_us[i] =
		    (double)atomic_exchange_explicit(
			&samples->own_us, 0, memory_order_relaxed) /
		    calls;
		window->whole_us[i] =
		    (double)atomic_exchange_explicit(
			&samples->whole_us, 0, memory_order_relaxed) /
		    calls;
	}
}
