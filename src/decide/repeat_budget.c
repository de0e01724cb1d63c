/*
 * Budget of repeated calls at one upstream.
 *
 * Load pattern: all upstreams of a service reject half of their calls without
 * running them.  Each rejected call is worth another try, but repeats without a
 * bound would double the load of a service in trouble, and the service's
 * operator bounds them over all hosts: in any window they may be a share of
 * the first calls in it, or in the window half a window or a whole one before.
 *
 * Each executor keeps that bound at its own upstream, and no message is needed:
 * every arrival is counted where it arrives, so the bounds of the executors add
 * up to that of the service.  All of them use the window half a window ago.  If
 * each used its largest window, executors whose load peaks at different times
 * would together exceed the bound.  The present window shrinks as soon as less
 * is let in, and the one before it no longer counts when the repeats of now are
 * still within a window of theirs.
 *
 * An executor that was restarted knows no first calls and therefore starts
 * without a right to repeat.
 */

#include <glib.h>

#include "decide/repeat_budget.h"
#include "loom/clock.h"

#define HALF_WINDOW_BUCKETS (LOOM_REPEAT_WINDOW_BUCKETS / 2)
/* Part of the ratio that is used.  The rest covers first calls that have left
 * the window by the time at which the bound is checked. */
#define USED_SHARE 0.9
/* Below it, the few calls say nothing about what the service gets. */
#define EXHAUSTED_LIMIT_MIN 5.0
/* Share of the budget that is kept for calls with priority. */
#define PRIORITY_SHARE 0.5
/*
 * The budget lasts for half a window at least.  Entries learn some tenths of a
 * second late that the upstream rejects calls; repeats for all that they let in
 * meanwhile would use up what the most important requests need afterwards.
 */
#define PACE_BUCKETS (LOOM_REPEAT_WINDOW_BUCKETS / 10)
#define PACE_SHARE 0.2

void
loom_repeat_budget_init(struct loom_repeat_budget *budget, double ratio,
    uint64_t window_us, uint64_t now_us)
{
	*budget = (struct loom_repeat_budget){
		.ratio = ratio,
		.window_us = window_us,
		.bucket_us = MAX(window_us / LOOM_REPEAT_WINDOW_BUCKETS, 1),
	};
	budget->current = now_us / budget->bucket_us;
}

/* Clears the buckets between the last use and now. */
static void
advance(struct loom_repeat_budget *budget, uint64_t now_us)
{
	uint64_t number = now_us / budget->bucket_us;
	uint32_t i, passed;

	if (number <= budget->current)
		return;
	passed = (uint32_t)MIN(number - budget->current, LOOM_REPEAT_BUCKETS);
	for (i = 0; i < passed; i++) {
		budget->firsts[(number - i) % LOOM_REPEAT_BUCKETS] = 0;
		budget->repeats[(number - i) % LOOM_REPEAT_BUCKETS] = 0;
	}
	budget->current = number;
}

/* Sums n buckets, the newest of which is age buckets old. */
static double
sum(const struct loom_repeat_budget *budget, const uint32_t *buckets,
    uint32_t age, uint32_t n)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = age; i < age + n && i <= budget->current; i++)
		total += buckets[(budget->current - i) % LOOM_REPEAT_BUCKETS];
	return (double)total;
}

/* Repeats in the window, including those in the bucket that it cuts. */
static double
count_repeats(const struct loom_repeat_budget *budget)
{
	return sum(budget, budget->repeats, 0, LOOM_REPEAT_WINDOW_BUCKETS + 1);
}

void
loom_repeat_budget_note_first(
    struct loom_repeat_budget *budget, uint64_t now_us)
{
	advance(budget, now_us);
	budget->firsts[budget->current % LOOM_REPEAT_BUCKETS]++;
}

void
loom_repeat_budget_note_repeat(
    struct loom_repeat_budget *budget, uint64_t now_us)
{
	advance(budget, now_us);
	budget->repeats[budget->current % LOOM_REPEAT_BUCKETS]++;
}

/* Counts only the buckets that lie within the window as a whole. */
double
loom_repeat_budget_limit(struct loom_repeat_budget *budget, uint64_t now_us)
{
	advance(budget, now_us);
	return budget->ratio * USED_SHARE *
	    sum(budget, budget->firsts, HALF_WINDOW_BUCKETS + 1,
		LOOM_REPEAT_WINDOW_BUCKETS - 1);
}

double
loom_repeat_budget_left(struct loom_repeat_budget *budget, uint64_t now_us)
{
	double limit = loom_repeat_budget_limit(budget, now_us);

	return MAX(limit - count_repeats(budget), 0);
}

bool
loom_repeat_budget_take(
    struct loom_repeat_budget *budget, bool has_priority, uint64_t now_us)
{
	double limit = loom_repeat_budget_limit(budget, now_us);
	double kept = has_priority ? 0 : limit * PRIORITY_SHARE;

	if (count_repeats(budget) + 1 > limit - kept)
		return false;
	loom_repeat_budget_note_repeat(budget, now_us);
	return true;
}

bool
loom_repeat_budget_is_ahead(struct loom_repeat_budget *budget, uint64_t now_us)
{
	double limit = loom_repeat_budget_limit(budget, now_us);

	return sum(budget, budget->repeats, 0, PACE_BUCKETS) + 1 >
	    MAX(limit * PACE_SHARE, 1);
}

bool
loom_repeat_budget_is_exhausted(
    struct loom_repeat_budget *budget, uint64_t now_us)
{
	double limit = loom_repeat_budget_limit(budget, now_us);

	return limit >= EXHAUSTED_LIMIT_MIN &&
	    count_repeats(budget) + 1 > limit;
}

/*
 * What is left is spread over half a window, since nothing tells how long the
 * upstream will reject calls.
 *
 * The usual load is that of half a window ago rather than the present one,
 * which is already reduced by the shares reported before.  A controller on the
 * present load acted on it again and again while reports were under way, and
 * went on to admit nothing for seconds after the fault.
 */
double
loom_repeat_budget_share(
    struct loom_repeat_budget *budget, double acceptance, uint64_t now_us)
{
	const double ratio = budget->ratio * USED_SHARE;
	double limit = loom_repeat_budget_limit(budget, now_us);
	double left = MAX(limit - count_repeats(budget), 0);
	double firsts = limit / ratio; /* in a window */
	double repeats; /* needed for each accepted call, beyond the ratio */

	if (acceptance <= 0)
		return 0;
	repeats = (1 - acceptance) / acceptance - ratio;
	if (repeats <= 0)
		return 1;
	/* Too little is known of the usual load, as after a restart. */
	if (limit < 1)
		return 1;
	return MIN(2 * left / (firsts * repeats), 1);
}
