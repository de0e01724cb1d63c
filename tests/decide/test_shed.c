/*
 * Thresholds: made by an executor (cuts), kept by an entry (shed), and the
 * times at which refused callers return.
 */

#include <talloc.h>

#include "decide/cuts.h"
#include "loom/returns.h"
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
		loom_shed_note(shed, TEAM, &threshold, now_us);
	return shed;
}

static const struct {
	const char *name;
	uint64_t team;
	uint64_t at_ms;
	uint16_t cut; /* reported at 1 s */
	uint16_t rank;
	bool passes;
	bool again; /* and the next one in the same instant */
} checks[] = {
	{ "below the cut", TEAM, 1001, 600, 500, true, true },
	{ "above the cut", TEAM, 1001, 600, 700, false, false },
	{ "critical calls pass a cut of lookups", TEAM, 1001, 300, 255, true,
	    true },
	{ "another team is not touched", 2, 1001, 0, 1000, true, true },
	{ "the cut stands for half a second", TEAM, 1090, 600, 700, false,
	    false },
	{ "one call a tenth of a second asks", TEAM, 1101, 600, 700, true,
	    false },
	{ "an old cut rises", TEAM, 1750, 600, 700, true, true },
	{ "an old cut has gone", TEAM, 2001, 600, 1023, true, true },
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
		TEST_CHECK((code == LOOM_OK) == checks[i].passes, "%s",
		    checks[i].name);
		CU_ASSERT((code == LOOM_OK) == (retry_after_us == 0));
		code = loom_shed_check(shed, closure, 2, checks[i].team,
		    checks[i].rank, checks[i].at_ms * LOOM_US_PER_MS,
		    &retry_after_us);
		TEST_CHECK((code == LOOM_OK) == checks[i].again, "%s, again",
		    checks[i].name);
		talloc_free(shed);
	}
	test_random_free(&random);
}

/* A thousand calls a second above the cut for a second, no report: only one
 * in a hundred goes on to ask whether the overload is over. */
static void
test_trickle(void)
{
	static const uint64_t closure[] = { SERVICE };
	struct loom_random random = test_random_new(1);
	struct loom_shed *shed = shed_with_cut(&random, 0, LOOM_US_PER_S);
	struct loom_threshold still = { .service_id = SERVICE, .cut = 0 };
	uint64_t ms, retry_after_us;
	int passed = 0;

	for (ms = 1000; ms < 2000; ms++) {
		if (loom_shed_check(shed, closure, 1, TEAM, 300,
			ms * LOOM_US_PER_MS, &retry_after_us) != LOOM_OK)
			continue;
		passed++;
		loom_shed_note(shed, TEAM, &still, ms * LOOM_US_PER_MS);
	}
	TEST_CHECK(passed >= 5 && passed <= 11, "%d passed", passed);
	talloc_free(shed);
	test_random_free(&random);
}

/* More (service, team) pairs than there are places: memory stays, the newest
 * are known. */
static void
test_many_entries(void)
{
	struct loom_random random = test_random_new(1);
	struct loom_shed *shed = loom_shed_new(NULL, &random);
	struct loom_threshold threshold = { .service_id = SERVICE };
	uint64_t team;

	for (team = 1; team <= 5000; team++)
		loom_shed_note(shed, team, &threshold, team);
	CU_ASSERT(loom_shed_cut(shed, SERVICE, 5000, 5000) < LOOM_CUT_NONE);
	CU_ASSERT_EQUAL(loom_shed_cut(shed, SERVICE, 1, 5000), LOOM_CUT_NONE);
	talloc_free(shed);
	test_random_free(&random);
}

static void
play_windows(struct loom_cuts *cuts, uint64_t *now_us, int windows,
    uint32_t offered, uint32_t served, double used)
{
	uint32_t i, below;
	uint16_t rank;

	for (; windows > 0; windows--) {
		for (i = 0, below = 0; i < offered; i++) {
			rank = (uint16_t)(i * LOOM_CUT_NONE / offered);
			if (rank >= loom_cuts_of(cuts, TEAM))
				continue;
			loom_cuts_offered(cuts, TEAM, rank);
			if (below++ < served)
				loom_cuts_served(cuts, TEAM);
			else
				loom_cuts_refused(cuts, TEAM, rank);
		}
		*now_us += WINDOW_US;
		loom_cuts_tick(cuts, used, *now_us);
	}
}

/*
 * An executor serves 100 calls a window.  The load rises to 300, the cut goes
 * to where a little over 100 arrive; it ends, and the cut opens within a
 * second, faster than linearly.
 */
static void
test_cut_follows_capacity(void)
{
	struct loom_cuts *cuts = loom_cuts_new(NULL);
	uint64_t now_us = LOOM_US_PER_S;

	play_windows(cuts, &now_us, 10, 100, 100, 1.0);
	CU_ASSERT_EQUAL(loom_cuts_of(cuts, TEAM), LOOM_CUT_NONE);
	play_windows(cuts, &now_us, 20, 300, 100, 1.0);
	TEST_CHECK(
	    loom_cuts_of(cuts, TEAM) > 340 && loom_cuts_of(cuts, TEAM) < 420,
	    "cut %u", loom_cuts_of(cuts, TEAM));
	CU_ASSERT_EQUAL(loom_cuts_of(cuts, TEAM + 1), LOOM_CUT_NONE);
	play_windows(cuts, &now_us, 20, 70, 100, 0.3);
	CU_ASSERT_EQUAL(loom_cuts_of(cuts, TEAM), LOOM_CUT_NONE);
	talloc_free(cuts);
}

/* What was refused of the least important only never cuts the others. */
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
	CU_ASSERT_EQUAL(loom_cuts_of(cuts, TEAM), LOOM_LOW * LOOM_COHORTS);
	talloc_free(cuts);
}

/*
 * A thousand callers are refused at once by a service of 1000 calls a second
 * and obey.  In no second do more of them return than their share, 1 in 100.
 */
static void
test_returns_fit(void)
{
	struct loom_random random = test_random_new(1);
	struct loom_returns returns = { 0 };
	uint32_t seconds[64] = { 0 }, most = 0;
	uint64_t wait_us;
	int i;

	for (i = 0; i < 500; i++) {
		wait_us = loom_returns_after(
		    &returns, LOOM_NORMAL, 1000.0, &random, LOOM_US_PER_S);
		CU_ASSERT(wait_us >= LOOM_RETURN_MIN_US);
		CU_ASSERT(wait_us <= LOOM_RETURN_MAX_US);
		seconds[wait_us / LOOM_US_PER_S]++;
	}
	for (i = 0; i < 64; i++)
		most = MAX(most, seconds[i]);
	TEST_CHECK(most <= 13, "%u in one second", most);
	/* A critical call does not queue behind them. */
	wait_us = loom_returns_after(
	    &returns, LOOM_CRITICAL, 1000.0, &random, LOOM_US_PER_S);
	CU_ASSERT(wait_us < LOOM_US_PER_S);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "checks", test_checks },
	{ "trickle", test_trickle },
	{ "many entries", test_many_entries },
	{ "cut follows capacity", test_cut_follows_capacity },
	{ "cut keeps importance", test_cut_keeps_importance },
	{ "returns fit", test_returns_fit },
};

TEST_MAIN("shed", tests)
