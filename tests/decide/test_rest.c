/*
 * Which event loops have to rest for the sake of other threads.
 */

#include "loom/rest.h"
#include "support/test.h"

#define RUN_US (10 * LOOM_US_PER_S)

/* The part of the time that a loop rests which does so much between two waits
 * of that length. */
static double
part_of_rests(uint64_t work_us, uint64_t wait_us)
{
	uint64_t now_us = LOOM_US_PER_S, rested_us = 0;
	struct loom_rest rest;

	loom_rest_init(&rest, now_us);
	while (now_us < RUN_US) {
		now_us += work_us + wait_us;
		if (!loom_rest_due(&rest, wait_us, now_us))
			continue;
		now_us += LOOM_REST_US;
		rested_us += LOOM_REST_US;
		loom_rest_init(&rest, now_us);
	}
	return (double)rested_us / (double)(now_us - LOOM_US_PER_S);
}

/* Guards against a loop that has time to spare and rests all the same, which
 * delays each call through it, and against one that never lets others run. */
static void
test_rests(void)
{
	static const struct {
		const char *name;
		uint64_t work_us, wait_us;
		double least, most;
	} cases[] = {
		{ "never waits", 50, 0, 0.08, 0.1 },
		{ "finds an event at each look", 80, 10, 0.08, 0.1 },
		{ "waits for a hundredth", 9900, 100, 0.08, 0.1 },
		{ "a call each millisecond", 200, 800, 0, 0 },
		{ "calls back to back, half of it waits", 50, 50, 0, 0 },
		{ "waits for a fifth", 400, 100, 0, 0 },
		{ "one long piece of work, then a wait", 100000, 3000, 0, 0 },
		{ "idle", 100, 1000000, 0, 0 },
	};
	double part;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		part = part_of_rests(cases[i].work_us, cases[i].wait_us);
		TEST_CHECK(part >= cases[i].least && part <= cases[i].most,
		    "%s: rests for %.3f of the time", cases[i].name, part);
	}
}

static const struct test_case tests[] = {
	{ "rests", test_rests },
};

TEST_MAIN("rest", tests)
