/* Tests which event loops have to pause for the sake of other threads. */

#include "loom/loop_pause.h"
#include "support/test.h"

#define RUN_US (10 * LOOM_US_PER_S)

/*
 * Returns the fraction of its time for which a loop pauses that works for
 * work_us between two waits of wait_us.
 */
static double
fraction_paused(uint64_t work_us, uint64_t wait_us)
{
	uint64_t now_us = LOOM_US_PER_S, paused_us = 0;
	struct loom_loop_pause rest;

	loom_loop_pause_init(&rest, now_us);
	while (now_us < RUN_US) {
		now_us += work_us + wait_us;
		if (!loom_loop_pause_due(&rest, wait_us, now_us))
			continue;
		now_us += LOOM_LOOP_PAUSE_US;
		paused_us += LOOM_LOOP_PAUSE_US;
		loom_loop_pause_init(&rest, now_us);
	}
	return (double)paused_us / (double)(now_us - LOOM_US_PER_S);
}

/*
 * Guards against a loop that pauses although it has spare time, which delays
 * each call through it, and against a loop that never lets other threads run.
 */
static void
test_pauses(void)
{
	static const struct {
		const char *name;
		uint64_t work_us, wait_us;
		double min, max;
	} cases[] = {
		{ "never waits", 50, 0, 0.08, 0.1 },
		{ "finds an event at each poll", 80, 10, 0.08, 0.1 },
		{ "waits for 1% of the time", 9900, 100, 0.08, 0.1 },
		{ "a call each millisecond", 200, 800, 0, 0 },
		{ "consecutive calls, half of the time waits", 50, 50, 0, 0 },
		{ "waits for 20% of the time", 400, 100, 0, 0 },
		{ "one long piece of work, then a wait", 100000, 3000, 0, 0 },
		{ "idle", 100, 1000000, 0, 0 },
	};
	double fraction;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fraction = fraction_paused(cases[i].work_us, cases[i].wait_us);
		TEST_CHECK(fraction >= cases[i].min && fraction <= cases[i].max,
		    "%s: pauses for %.3f of the time", cases[i].name, fraction);
	}
}

static const struct test_case tests[] = {
	{ "pauses", test_pauses },
};

TEST_MAIN("rest", tests)
