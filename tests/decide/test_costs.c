/*
 * Tests what entries assume about the downstream calls of requests, when
 * answers become rare because the requests are refused.
 */

#include <talloc.h>

#include "loom/clock.h"
#include "loom/costs.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
#define ROUTE 1
#define EXECUTOR 2
#define SERVICE 3
#define CALLS 8.0
#define GAP_US (40 * MS) /* between requests at one entry */
#define ANSWER_US (700 * MS) /* until a chain of calls is answered */
#define SIMULATED_US (30 * S)

static void
add_answer(struct loom_costs *costs, double calls, uint64_t now_us)
{
	struct loom_route_costs *route =
	    loom_costs_answer_begin(costs, ROUTE, EXECUTOR);

	if (calls > 0)
		loom_costs_answer_add(route, SERVICE, calls, now_us);
	loom_costs_answer_end(route, now_us);
}

static bool
is_checked(struct loom_costs *costs, uint64_t now_us)
{
	struct loom_cost found[LOOM_COSTS_MAX];

	return loom_costs_to_check(costs, ROUTE, now_us, found) > 0;
}

/*
 * Counts the requests that are not judged by the cost, in a simulation where
 * every request that is judged by it is refused. Each admitted request is
 * answered with its actual cost.
 */
static unsigned
count_admitted(struct loom_costs *costs, double calls)
{
	GArray *answers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t now_us, answer_us, end_us = S + SIMULATED_US;
	unsigned admitted = 0;
	guint next = 0;

	add_answer(costs, CALLS, S);
	for (now_us = S; now_us < end_us; now_us += GAP_US) {
		for (; next < answers->len &&
		     g_array_index(answers, uint64_t, next) <= now_us;
		     next++)
			add_answer(costs, calls, now_us);
		if (is_checked(costs, now_us))
			continue;
		admitted++;
		answer_us = now_us + ANSWER_US;
		g_array_append_val(answers, answer_us);
	}
	g_array_free(answers, TRUE);
	return admitted;
}

/*
 * Guards against entries that forget the cost of a route while they refuse it,
 * and flood the downstream service each time they do.
 */
static void
test_long_refusal(void)
{
	static const struct {
		const char *name;
		double calls; /* actual cost */
		unsigned min, max; /* admitted requests, of 750 */
	} rows[] = {
		{ "cost unchanged", CALLS, 2, 5 },
		{ "cost dropped to zero", 0, 600, 750 },
	};
	struct loom_costs *costs;
	unsigned admitted;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		admitted = count_admitted(costs, rows[i].calls);
		TEST_CHECK(admitted >= rows[i].min && admitted <= rows[i].max,
		    "%s: %u admitted", rows[i].name, admitted);
		talloc_free(costs);
	}
}

/*
 * Guards against a daemon in the middle of a chain that no longer reports a
 * downstream cost, because none of its own calls was answered recently.
 */
static void
test_stale_costs_are_forwarded(void)
{
	struct loom_costs *costs = loom_costs_new(NULL);
	struct loom_cost found[LOOM_COSTS_MAX];
	uint64_t executor;
	uint32_t n;

	add_answer(costs, CALLS, S);
	is_checked(costs, S + 10 * S);
	executor = loom_costs_known(costs, ROUTE, found, &n);
	TEST_CHECK(n == 1, "cost forgotten after 10 s");
	TEST_CHECK(found[0].service_id == SERVICE, "cost of another service");
	TEST_CHECK(executor == EXECUTOR, "another executor");
	talloc_free(costs);
}

/*
 * Answers that report a cost move its average; answers that omit it lower it.
 */
static void
test_averaging(void)
{
	static const struct {
		const char *name;
		double reports[4]; /* 0: omitted */
		unsigned n;
		double min, max;
	} rows[] = {
		{ "first report taken as it is", { 8 }, 1, 8, 8 },
		{ "last few reports dominate", { 8, 2, 2 }, 3, 5, 7 },
		{ "omitted", { 8, 0, 0, 0 }, 4, 3, 5 },
		{ "omitted, then reported again", { 8, 0, 0, 8 }, 4, 5, 7 },
	};
	struct loom_cost found[LOOM_COSTS_MAX];
	struct loom_costs *costs;
	uint32_t n;
	unsigned j;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		for (j = 0; j < rows[i].n; j++)
			add_answer(costs, rows[i].reports[j], S + j * MS);
		loom_costs_known(costs, ROUTE, found, &n);
		TEST_CHECK(n == 1 && found[0].calls >= rows[i].min &&
			found[0].calls <= rows[i].max,
		    "%s: %u, %.2f calls", rows[i].name, n, found[0].calls);
		talloc_free(costs);
	}
}

#define MEAN_CALLS 10.6 /* of a route whose calls are long */

/* An answer of an executor that knows the work of its calls. */
static void
add_work_answer(
    struct loom_costs *costs, bool complete, double calls, uint64_t now_us)
{
	struct loom_route_costs *route =
	    loom_costs_answer_begin(costs, ROUTE, EXECUTOR);

	if (complete) {
		loom_costs_answer_complete(route, MEAN_CALLS);
		if (calls > 0)
			loom_costs_answer_add(route, SERVICE, calls, now_us);
	}
	loom_costs_answer_end(route, now_us);
}

/*
 * A calm of 60 s in which one answer in eight lists the costs, before a service
 * downstream is saturated. Guards against entries that know nothing of what
 * their requests cost when an overload begins, or hold on to a cost that is
 * over, or to work that executors no longer report.
 */
static void
test_costs_in_calm(void)
{
	static const struct {
		const char *name;
		unsigned answers_per_list; /* 0: no lists */
		double calls; /* in the lists of the second half */
		double min, max; /* of the cost at the end */
		double own; /* at the end */
	} rows[] = {
		{ "one in eight", 8, CALLS, CALLS, CALLS, MEAN_CALLS },
		{ "each", 1, CALLS, CALLS, CALLS, MEAN_CALLS },
		{ "the call is no longer made", 8, 0, 0, 0.01, MEAN_CALLS },
		{ "lists have ended", 0, CALLS, 0, 0.01, 1 },
	};
	struct loom_cost found[LOOM_COSTS_MAX];
	struct loom_costs *costs;
	uint32_t n;
	unsigned j;
	bool complete;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		for (j = 0; j < 600; j++) {
			complete = j < 300 ? j % 8 == 0
					   : rows[i].answers_per_list > 0 &&
				j % rows[i].answers_per_list == 0;
			add_work_answer(costs, complete,
			    j < 300 ? CALLS : rows[i].calls, S + j * 100 * MS);
		}
		loom_costs_known(costs, ROUTE, found, &n);
		TEST_CHECK(n == 1 && found[0].calls >= rows[i].min &&
			found[0].calls <= rows[i].max,
		    "%s: %.2f calls", rows[i].name, found[0].calls);
		TEST_CHECK(loom_costs_own(costs, ROUTE) == rows[i].own,
		    "%s: own %.2f", rows[i].name, loom_costs_own(costs, ROUTE));
		talloc_free(costs);
	}
}

/*
 * One of twenty executors is wrong about a cost, and while the service there is
 * overloaded, it reports that with each answer.  Guards against a route that is
 * refused on behalf of a service that it never calls.
 */
static void
test_wrong_executor(void)
{
	struct loom_costs *costs = loom_costs_new(NULL);
	struct loom_random random = test_random_new(3);
	struct loom_route_costs *route;
	struct loom_cost found[LOOM_COSTS_MAX];
	double mean = 0;
	uint32_t n;
	unsigned i;

	for (i = 0; i < 40000; i++) {
		route = loom_costs_answer_begin(costs, ROUTE, EXECUTOR);
		if (i == 0 || loom_random_below(&random, 8) == 0)
			loom_costs_answer_complete(route, 1);
		if (loom_random_below(&random, 20) == 0)
			loom_costs_answer_add(
			    route, SERVICE, CALLS, S + i * 50 * MS);
		loom_costs_answer_end(route, S + i * 50 * MS);
		loom_costs_known(costs, ROUTE, found, &n);
		mean += n > 0 ? found[0].calls / 40000 : 0;
	}
	TEST_CHECK(mean <= 1.25 * CALLS / 20, "%.2f calls", mean);
	test_random_free(&random);
	talloc_free(costs);
}

/*
 * A route with a complete answer each 10 s.  Guards against one executor that
 * has just started, and knows no costs yet, deciding alone.
 */
static void
test_rare_route(void)
{
	struct loom_costs *costs = loom_costs_new(NULL);
	struct loom_cost found[LOOM_COSTS_MAX];
	uint32_t n;
	unsigned i;

	for (i = 0; i < 10; i++)
		add_work_answer(costs, true, CALLS, S + i * 10 * S);
	add_work_answer(costs, true, 0, S + i * 10 * S);
	loom_costs_known(costs, ROUTE, found, &n);
	TEST_CHECK(n == 1 && found[0].calls >= 0.75 * CALLS, "%.2f calls",
	    found[0].calls);
	talloc_free(costs);
}

/*
 * Guards against a request that counts as more or less than one call at its
 * service although no executor reports work, and against malformed reports.
 */
static void
test_own_cost(void)
{
	static const struct {
		const char *name;
		double stated; /* 0: the executor does not know the work */
		double own;
	} rows[] = {
		{ "not known", 0, 1 },
		{ "long", 10.6, 10.6 },
		{ "short", 0.05, 0.05 },
		{ "absurd", 1.8e16, 1 },
		{ "negative", -1, 1 },
	};
	struct loom_route_costs *route;
	struct loom_costs *costs;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		TEST_CHECK(loom_costs_own(costs, ROUTE) == 1, "no answer");
		route = loom_costs_answer_begin(costs, ROUTE, EXECUTOR);
		loom_costs_answer_complete(route, rows[i].stated);
		loom_costs_answer_end(route, S);
		TEST_CHECK(loom_costs_own(costs, ROUTE) == rows[i].own,
		    "%s: %.3f", rows[i].name, loom_costs_own(costs, ROUTE));
		talloc_free(costs);
	}
}

/*
 * Short calls of an upstream with long ones beside them: eight of them are less
 * than a mean call. Guards against requests that are let in unjudged because
 * their cost is taken for an error of the estimate.
 */
static void
test_cheap_calls_are_judged(void)
{
	static const struct {
		const char *name;
		bool work; /* the costs are measured as work */
		double calls;
		bool checked;
	} rows[] = {
		{ "calls, within the error", false, 0.2, false },
		{ "work", true, 0.2, true },
		{ "work, next to nothing", true, 0.05, false },
	};
	struct loom_costs *costs;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		costs = loom_costs_new(NULL);
		if (rows[i].work)
			add_work_answer(costs, true, rows[i].calls, S);
		else
			add_answer(costs, rows[i].calls, S);
		TEST_CHECK(is_checked(costs, S + MS) == rows[i].checked, "%s",
		    rows[i].name);
		talloc_free(costs);
	}
}

static const struct test_case tests[] = {
	{ "long refusal", test_long_refusal },
	{ "stale costs are forwarded", test_stale_costs_are_forwarded },
	{ "averaging", test_averaging },
	{ "costs in calm", test_costs_in_calm },
	{ "wrong executor", test_wrong_executor },
	{ "rare route", test_rare_route },
	{ "own cost", test_own_cost },
	{ "cheap calls are judged", test_cheap_calls_are_judged },
};

TEST_MAIN("costs", tests)
