/*
 * Tests the budget of repeated calls at one upstream and its sum over the
 * upstreams of a service.
 */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "decide/repeat_budget.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
#define RATIO 0.2
#define WINDOW_US (10 * S)

static void
note_firsts(struct loom_repeat_budget *budget, double per_s, uint64_t from_us,
    uint64_t until_us)
{
	uint64_t gap_us = (uint64_t)((double)S / per_s), now_us;

	for (now_us = from_us; now_us < until_us; now_us += gap_us)
		loom_repeat_budget_note_first(budget, now_us);
}

static unsigned
take_all(struct loom_repeat_budget *budget, bool has_priority, uint64_t now_us)
{
	unsigned taken = 0;

	while (loom_repeat_budget_take(budget, has_priority, now_us))
		taken++;
	return taken;
}

/*
 * What may be repeated at once after a time with 100 first calls a second.
 * Guards against repeats by an executor that has just started, or by calls
 * that are not part of an admitted request when few repeats are left.
 */
static void
test_rights(void)
{
	static const struct {
		const char *name;
		unsigned known_s; /* time with first calls before */
		unsigned pause_s; /* without calls after it */
		bool has_priority;
		unsigned min, max; /* repeats at once */
	} rows[] = {
		{ "just started", 0, 0, true, 0, 0 },
		{ "started half a window ago", 5, 0, true, 0, 0 },
		{ "started a window ago", 10, 0, true, 80, 100 },
		{ "two windows known", 20, 0, true, 170, 200 },
		{ "without priority", 20, 0, false, 85, 100 },
		{ "after a pause of half a window", 20, 5, true, 170, 200 },
		{ "after a pause of two windows", 20, 20, true, 0, 0 },
	};
	struct loom_repeat_budget budget;
	uint64_t now_us;
	unsigned taken;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		now_us = 100 * S + rows[i].known_s * S;
		loom_repeat_budget_init(&budget, RATIO, WINDOW_US, 100 * S);
		note_firsts(&budget, 100, 100 * S, now_us);
		now_us += rows[i].pause_s * S;
		taken = take_all(&budget, rows[i].has_priority, now_us);
		TEST_CHECK(taken >= rows[i].min && taken <= rows[i].max,
		    "%s: %u", rows[i].name, taken);
	}
}

/*
 * Guards against a budget that is gone before entries have heard that the
 * upstream rejects calls: each tenth of a window gets a fifth of it.
 */
static void
test_pace(void)
{
	struct loom_repeat_budget budget;
	uint64_t now_us = 120 * S;
	unsigned taken = 0, i;

	loom_repeat_budget_init(&budget, RATIO, WINDOW_US, 100 * S);
	note_firsts(&budget, 100, 100 * S, now_us);
	for (i = 0; i < 1000; i++, now_us += S / 1000) {
		if (loom_repeat_budget_is_ahead(&budget, now_us))
			continue;
		taken += loom_repeat_budget_take(&budget, true, now_us);
	}
	TEST_CHECK(taken >= 30 && taken <= 40, "in a tenth: %u", taken);
	for (i = 0; i < 4000; i++, now_us += S / 1000) {
		if (loom_repeat_budget_is_ahead(&budget, now_us))
			continue;
		taken += loom_repeat_budget_take(&budget, true, now_us);
	}
	TEST_CHECK(taken >= 150 && taken <= 200, "in half: %u", taken);
}

/* Repeats that other daemons decided on use up the same budget. */
static void
test_others_repeats(void)
{
	struct loom_repeat_budget budget;
	unsigned i;

	loom_repeat_budget_init(&budget, RATIO, WINDOW_US, 100 * S);
	TEST_CHECK(!loom_repeat_budget_is_exhausted(&budget, 100 * S),
	    "nothing is known yet");
	note_firsts(&budget, 100, 100 * S, 120 * S);
	TEST_CHECK(!loom_repeat_budget_is_exhausted(&budget, 120 * S),
	    "no repeat yet");
	for (i = 0; i < 200; i++)
		loom_repeat_budget_note_repeat(&budget, 120 * S);
	TEST_CHECK(loom_repeat_budget_is_exhausted(&budget, 120 * S),
	    "repeats of others");
	TEST_CHECK(take_all(&budget, true, 120 * S) == 0, "none is left");
	note_firsts(&budget, 100, 120 * S, 131 * S);
	TEST_CHECK(
	    take_all(&budget, true, 131 * S) > 150, "the window has passed");
}

/*
 * The service-wide rule in the window that ends with bucket end: repeats over
 * first calls in the best of three windows.
 */
static double
rule_ratio(const unsigned *firsts, const unsigned *repeats, unsigned end,
    unsigned window)
{
	const unsigned half = window / 2;
	double count[3] = { 0 }, repeated = 0;
	unsigned i, j;

	for (i = 0; i < window; i++) {
		repeated += repeats[end - i];
		for (j = 0; j < 3; j++)
			count[j] += firsts[end - i - j * half];
	}
	return repeated / fmax(fmax(count[0], count[1]), count[2]);
}

/*
 * Executors whose load peaks at different times, each of which repeats all that
 * it may.  Guards against budgets that are kept by each executor and together
 * exceed the service's: each window of the sum must be within the ratio,
 * however the load is distributed.
 */
static void
test_sum_over_executors(void)
{
	enum {
		STEP_MS = 20,
		STEPS = 3000,
		EXECUTORS = 16
	};
	static const struct {
		const char *name;
		double swing; /* of each executor's load, relative */
		double swing_s; /* period */
		double shift; /* of the period, to the next executor */
		double skew; /* load of the last executor over the first */
		double surge; /* load from 30 to 40 s, relative */
	} rows[] = {
		{ "even", 0, 15, 0, 1, 1 },
		{ "swings together", 0.55, 15, 0, 1, 1 },
		{ "swings in turn", 0.9, 15, 1.0 / EXECUTORS, 1, 1 },
		{ "short swings in turn", 0.9, 7, 1.0 / EXECUTORS, 1, 1 },
		{ "skewed", 0.55, 15, 1.0 / EXECUTORS, 20, 1 },
		{ "surge", 0.1, 15, 0, 1, 2.5 },
	};
	static unsigned firsts[STEPS], repeats[STEPS];
	struct loom_repeat_budget budgets[EXECUTORS];
	const unsigned window = WINDOW_US / (STEP_MS * MS);
	struct loom_random random;
	double per_step, t, worst;
	uint64_t now_us;
	size_t i;
	unsigned step, e, n;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		random = test_random_new(7);
		memset(firsts, 0, sizeof(firsts));
		memset(repeats, 0, sizeof(repeats));
		for (e = 0; e < EXECUTORS; e++)
			loom_repeat_budget_init(
			    &budgets[e], RATIO, WINDOW_US, S);
		for (step = 0; step < STEPS; step++) {
			t = step * STEP_MS / 1e3;
			now_us = S + step * STEP_MS * MS;
			for (e = 0; e < EXECUTORS; e++) {
				per_step = 4 *
				    (1 + (rows[i].skew - 1) * e / EXECUTORS) *
				    (1 +
					rows[i].swing *
					    sin(2 * G_PI *
						(t / rows[i].swing_s +
						    e * rows[i].shift)));
				if (t >= 30 && t < 40)
					per_step *= rows[i].surge;
				n = (unsigned)(per_step +
				    loom_random_unit(&random));
				firsts[step] += n;
				for (; n > 0; n--)
					loom_repeat_budget_note_first(
					    &budgets[e], now_us);
				repeats[step] +=
				    take_all(&budgets[e], true, now_us);
			}
		}
		worst = 0;
		for (step = 2 * window; step < STEPS; step++)
			worst = fmax(
			    worst, rule_ratio(firsts, repeats, step, window));
		TEST_CHECK(worst <= RATIO && worst > RATIO / 2,
		    "%s: %.4f repeats per first call", rows[i].name, worst);
		test_random_free(&random);
	}
}

/*
 * Only as much may be let in as can be carried.  Guards against spending the
 * budget on requests of which hardly one is whole in the end.
 */
static void
test_share(void)
{
	static const struct {
		const char *name;
		double acceptance;
		bool spent; /* the budget is used up */
		double min, max;
	} rows[] = {
		{ "all accepted", 1, false, 1, 1 },
		{ "one in ten rejected", 0.9, false, 1, 1 },
		{ "one in ten rejected, budget spent", 0.9, true, 1, 1 },
		{ "over half rejected", 0.45, false, 0.3, 0.4 },
		{ "three quarters rejected", 0.25, false, 0.1, 0.15 },
		{ "over half rejected, budget spent", 0.45, true, 0, 0.01 },
		{ "all rejected", 0, false, 0, 0 },
	};
	struct loom_repeat_budget budget;
	double share;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		loom_repeat_budget_init(&budget, RATIO, WINDOW_US, 100 * S);
		note_firsts(&budget, 100, 100 * S, 120 * S);
		if (rows[i].spent)
			take_all(&budget, true, 120 * S);
		share = loom_repeat_budget_share(
		    &budget, rows[i].acceptance, 120 * S);
		TEST_CHECK(share >= rows[i].min && share <= rows[i].max,
		    "%s: %.3f", rows[i].name, share);
	}
}

static const struct test_case tests[] = {
	{ "rights", test_rights },
	{ "pace", test_pace },
	{ "repeats of others", test_others_repeats },
	{ "sum over executors", test_sum_over_executors },
	{ "share", test_share },
};

TEST_MAIN("repeat_budget", tests)
