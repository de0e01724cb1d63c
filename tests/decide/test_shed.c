/*
 * Shedding thresholds as an executor computes them (cuts) and as an entry
 * applies them (shed), and the times at which refused callers return.
 */

#include <talloc.h>

#include "decide/cuts.h"
#include "loom/return_schedule.h"
#include "loom/shed.h"
#include "support/test.h"

#define SERVICE 7
#define TEAM 1
#define WINDOW_US (UINT64_C(50) * LOOM_US_PER_MS)

static struct loom_shed *
shed_with_cut(struct loom_random *random, uint16_t cut, uint64_t now_us)
{
	struct loom_threshold threshold = { .service_id = SERVICE, .cut = cut };
	struct loom_shed *shed = loom_shed_new(NULL, random);
	int i;

	for (i = 0; i < 40; i++)
		loom_shed_record(shed, TEAM, &threshold, now_us);
	return shed;
}

static const struct {
	const char *name;
	uint64_t team;
	uint64_t at_ms;
	uint16_t cut; /* reported at 1 s */
	uint16_t rank;
	bool first_passes;
	bool second_passes; /* of a second call at the same time */
} checks[] = {
	{ "below the cut", TEAM, 1001, 600, 500, true, true },
	{ "above the cut", TEAM, 1001, 600, 700, false, false },
	{ "critical calls pass a cut of less important ones", TEAM, 1001, 300,
	    255, true, true },
	{ "another team is not affected", 2, 1001, 0, 1000, true, true },
	{ "the cut stays in force for half a second", TEAM, 1090, 600, 700,
	    false, false },
	{ "one call per 100 ms passes as a probe", TEAM, 1101, 600, 700, true,
	    false },
	{ "an old cut rises", TEAM, 1750, 600, 700, true, true },
	{ "an expired cut is gone", TEAM, 2001, 600, 1023, true, true },
};

static void
test_checks(void)
{
	static const uint64_t closure[] = { 3, SERVICE };
	struct loom_random random = test_random_new(1);
	struct loom_shed *shed;
	uint64_t retry_after_us;
	enum loom_result code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(checks); i++) {
		shed = shed_with_cut(&random, checks[i].cut, LOOM_US_PER_S);
		retry_after_us = 0;
		code = loom_shed_check(shed, closure, 2, checks[i].team,
		    checks[i].rank, checks[i].at_ms * LOOM_US_PER_MS,
		    &retry_after_us);
		TEST_CHECK((code == LOOM_OK) == checks[i].first_passes, "%s",
		    checks[i].name);
		CU_ASSERT((code == LOOM_OK) == (retry_after_us == 0));
		code = loom_shed_check(shed, closure, 2, checks[i].team,
		    checks[i].rank, checks[i].at_ms * LOOM_US_PER_MS,
		    &retry_after_us);
		TEST_CHECK((code == LOOM_OK) == checks[i].second_passes,
		    "%s, second call", checks[i].name);
		talloc_free(shed);
	}
	test_random_free(&random);
}

/* A thousand calls per second above the cut, for one second and without a
 * report: one in a hundred may pass as a probe of whether the overload is
 * over. */
static void
test_probes(void)
{
	static const uint64_t closure[] = { SERVICE };
	struct loom_random random = test_random_new(1);
	struct loom_shed *shed = shed_with_cut(&random, 0, LOOM_US_PER_S);
	struct loom_threshold unchanged_cut = { .service_id = SERVICE,
		.cut = 0 };
	uint64_t ms, retry_after_us;
	int probes = 0;

	for (ms = 1000; ms < 2000; ms++) {
		if (loom_shed_check(shed, closure, 1, TEAM, 300,
			ms * LOOM_US_PER_MS, &retry_after_us) != LOOM_OK)
			continue;
		probes++;
		loom_shed_record(
		    shed, TEAM, &unchanged_cut, ms * LOOM_US_PER_MS);
	}
	TEST_CHECK(probes >= 5 && probes <= 11, "%d probes", probes);
	talloc_free(shed);
	test_random_free(&random);
}

/* With more (service, team) pairs than entries, the table does not grow and
 * knows the newest pairs. */
static void
test_many_entries(void)
{
	struct loom_random random = test_random_new(1);
	struct loom_shed *shed = loom_shed_new(NULL, &random);
	struct loom_threshold threshold = { .service_id = SERVICE };
	uint64_t team;

	for (team = 1; team <= 5000; team++)
		loom_shed_record(shed, team, &threshold, team);
	CU_ASSERT(loom_shed_cut(shed, SERVICE, 5000, 5000) < LOOM_CUT_NONE);
	CU_ASSERT_EQUAL(loom_shed_cut(shed, SERVICE, 1, 5000), LOOM_CUT_NONE);
	talloc_free(shed);
	test_random_free(&random);
}

static void
run_windows(struct loom_cuts *cuts, uint64_t *now_us, int windows,
    uint32_t offered, uint32_t served, double used)
{
	uint32_t i, admitted;
	uint16_t rank;

	for (; windows > 0; windows--) {
		for (i = 0, admitted = 0; i < offered; i++) {
			rank = (uint16_t)(i * LOOM_CUT_NONE / offered);
			if (rank >= loom_cuts_get(cuts, TEAM))
				continue;
			loom_cuts_offered(cuts, TEAM, rank);
			if (admitted++ < served)
				loom_cuts_served(cuts, TEAM);
			else
				loom_cuts_refused(cuts, TEAM, rank);
		}
		*now_us += WINDOW_US;
		loom_cuts_tick(cuts, used, *now_us);
	}
}

/*
 * An executor serves 100 calls per window.  When the load rises to 300, the cut
 * must fall until slightly more than 100 arrive.  When the overload ends, the
 * cut must be gone within a second, which needs steps that grow.
 */
static void
test_cut_follows_capacity(void)
{
	struct loom_cuts *cuts = loom_cuts_new(NULL);
	uint64_t now_us = LOOM_US_PER_S;

	run_windows(cuts, &now_us, 10, 100, 100, 1.0);
	CU_ASSERT_EQUAL(loom_cuts_get(cuts, TEAM), LOOM_CUT_NONE);
	run_windows(cuts, &now_us, 20, 300, 100, 1.0);
	TEST_CHECK(
	    loom_cuts_get(cuts, TEAM) > 340 && loom_cuts_get(cuts, TEAM) < 420,
	    "cut %u", loom_cuts_get(cuts, TEAM));
	CU_ASSERT_EQUAL(loom_cuts_get(cuts, TEAM + 1), LOOM_CUT_NONE);
	run_windows(cuts, &now_us, 20, 70, 100, 0.3);
	CU_ASSERT_EQUAL(loom_cuts_get(cuts, TEAM), LOOM_CUT_NONE);
	talloc_free(cuts);
}

/* Refusals of the least important calls alone must not shed more important
 * ones. */
static void
test_cut_keeps_importance(void)
{
	struct loom_cuts *cuts = loom_cuts_new(NULL);
	uint64_t now_us = LOOM_US_PER_S;
	int i;

	for (i = 0; i < 100; i++) {
		loom_cuts_offered(cuts, TEAM, 10);
		loom_cuts_offered(cuts, TEAM, 900);
		loom_cuts_refused(cuts, TEAM, 900);
	}
	loom_cuts_tick(cuts, 1.0, now_us);
	CU_ASSERT_EQUAL(loom_cuts_get(cuts, TEAM), LOOM_LOW * LOOM_COHORTS);
	talloc_free(cuts);
}

/*
 * 500 callers, refused at the same time by a service of 1000 calls per
 * second, obey Retry-After.  In no second may more of them return than their
 * share, 1 in 100.
 */
static void
test_returns_stay_below_rate(void)
{
	struct loom_random random = test_random_new(1);
	struct loom_return_schedule returns = { 0 };
	uint32_t returns_per_s[64] = { 0 }, max_per_s = 0;
	uint64_t wait_us;
	int i;

	for (i = 0; i < 500; i++) {
		wait_us = loom_return_schedule_reserve(
		    &returns, LOOM_NORMAL, 1000.0, &random, LOOM_US_PER_S);
		CU_ASSERT(wait_us >= LOOM_RETURN_MIN_US);
		CU_ASSERT(wait_us <= LOOM_RETURN_MAX_US);
		returns_per_s[wait_us / LOOM_US_PER_S]++;
	}
	for (i = 0; i < 64; i++)
		max_per_s = MAX(max_per_s, returns_per_s[i]);
	TEST_CHECK(max_per_s <= 13, "%u in one second", max_per_s);
	/* A critical call does not wait behind them. */
	wait_us = loom_return_schedule_reserve(
	    &returns, LOOM_CRITICAL, 1000.0, &random, LOOM_US_PER_S);
	CU_ASSERT(wait_us < LOOM_US_PER_S);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "checks", test_checks },
	{ "probes", test_probes },
	{ "many entries", test_many_entries },
	{ "cut follows capacity", test_cut_follows_capacity },
	{ "cut keeps importance", test_cut_keeps_importance },
	{ "returns stay below the rate", test_returns_stay_below_rate },
};

TEST_MAIN("shed", tests)
