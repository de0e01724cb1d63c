/*
 * What entries believe of the calls that requests make further down, from
 * answers that grow rare as requests are refused.
 */

#include <talloc.h>

#include "loom/clock.h"
#include "loom/costs.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
#define ROUTE 1
#define RUNS_AT 2
#define NARROW 3
#define CALLS 8.0
#define GAP_US (40 * MS) /* between requests at one entry */
#define ANSWER_US (700 * MS) /* a chain of calls: its answer tells the cost */
#define PLAY_US (30 * S)

static void
answer(struct loom_costs *costs, double calls, uint64_t now_us)
{
	struct loom_route_costs *route =
	    loom_costs_answer(costs, ROUTE, RUNS_AT);

	if (calls > 0)
		loom_costs_note(route, NARROW, calls, now_us);
	loom_costs_answer_end(route, now_us);
}

static bool
is_judged(struct loom_costs *costs, uint64_t now_us)
{
	struct loom_cost found[LOOM_COSTS_MAX];

	return loom_costs_judge(costs, ROUTE, now_us, found) > 0;
}

/* Requests that pass by the cost in a play where none is let in by it; each is
 * answered with what it really costs. */
static unsigned
count_passed(struct loom_costs *costs, double calls)
{
	GArray *answers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t now_us, answer_us, end_us = S + PLAY_US;
	unsigned passed = 0;
	guint next = 0;

	answer(costs, CALLS, S);
	for (now_us = S; now_us < end_us; now_us += GAP_US) {
		for (; next < answers->len &&
		     g_array_index(answers, uint64_t, next) <= now_us;
		     next++)
			answer(costs, calls, now_us);
		if (is_judged(costs, now_us))
			continue;
		passed++;
		answer_us = now_us + ANSWER_US;
		g_array_append_val(answers, answer_us);
	}
	g_array_free(answers, TRUE);
	return passed;
}

/* Guards against entries that forget what a route costs while they refuse it,
 * and flood the service below each time that they do. */
static void
test_refused_for_long(void)
{
	static const struct {
		const char *name;
		double calls; /* in truth */
		unsigned least, most; /* requests let past, of 750 */
	} rows[] = {
		{ "it still costs that", CALLS, 2, 5 },
		{ "it costs nothing any more", 0, 600, 750 },
	};
	struct loom_costs *costs;
	unsigned passed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		passed = count_passed(costs, rows[i].calls);
		TEST_CHECK(passed >= rows[i].least && passed <= rows[i].most,
		    "%s: %u passed", rows[i].name, passed);
		talloc_free(costs);
	}
}

/* Guards against news of a narrow service that ends at a daemon in the middle
 * of a chain, since none of its own calls came back lately. */
static void
test_told_on(void)
{
	struct loom_costs *costs = loom_costs_new(NULL);
	struct loom_cost found[LOOM_COSTS_MAX];
	uint64_t runs_at;
	uint32_t n;

	answer(costs, CALLS, S);
	is_judged(costs, S + 10 * S);
	runs_at = loom_costs_known(costs, ROUTE, found, &n);
	TEST_CHECK(n == 1, "known after 10 s");
	TEST_CHECK(found[0].service_id == NARROW, "of the narrow service");
	TEST_CHECK(runs_at == RUNS_AT, "runs there");
	talloc_free(costs);
}

/* Answers that name a cost move it; those that leave it out let it fade. */
static void
test_words(void)
{
	static const struct {
		const char *name;
		double words[4]; /* 0: left out */
		unsigned n;
		double least, most;
	} rows[] = {
		{ "the first word is whole", { 8 }, 1, 8, 8 },
		{ "the last few count", { 8, 2, 2 }, 3, 5, 7 },
		{ "left out", { 8, 0, 0, 0 }, 4, 3, 5 },
		{ "named again", { 8, 0, 0, 8 }, 4, 5, 7 },
	};
	struct loom_cost found[LOOM_COSTS_MAX];
	struct loom_costs *costs;
	uint32_t n;
	unsigned j;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		for (j = 0; j < rows[i].n; j++)
			answer(costs, rows[i].words[j], S + j * MS);
		loom_costs_known(costs, ROUTE, found, &n);
		TEST_CHECK(n == 1 && found[0].calls >= rows[i].least &&
			found[0].calls <= rows[i].most,
		    "%s: %u, %.2f calls", rows[i].name, n, found[0].calls);
		talloc_free(costs);
	}
}

static const struct test_case tests[] = {
	{ "refused for long", test_refused_for_long },
	{ "told on", test_told_on },
	{ "words", test_words },
};

TEST_MAIN("costs", tests)
