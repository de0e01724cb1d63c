/* Tests how the time between a request to stop and the kill is divided. */

#include <inttypes.h>

#include "loom/stop.h"
#include "support/test.h"

#define MS(n) ((uint64_t)(n)*LOOM_US_PER_MS)

/*
 * Guards against a daemon that exits seconds before it would be killed and cuts
 * off an upload, and against one that is killed while it still answers.
 */
static void
test_plan(void)
{
	static const struct {
		uint64_t delay_ms, end_ms, within_ms;
		uint64_t plan_delay_ms, plan_end_ms, plan_closing_ms;
	} rows[] = {
		/* nothing kills it */
		{ 2200, 60000, 0, 2200, 60000, 200 },
		{ 2200, 60000, 6000, 2200, 3200, 200 },
		{ 2200, 60000, 10000, 2200, 6800, 200 },
		{ 2200, 60000, 30000, 2200, 24800, 200 },
		{ 0, 60000, 10000, 0, 9000, 200 },
		/* too short for the configured delay */
		{ 2200, 60000, 3000, 1500, 1200, 150 },
		{ 2200, 60000, 200, 100, 0, 100 },
		{ 2200, 60000, 100, 50, 0, 100 },
	};
	struct loom_stop wanted, plan;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		wanted = (struct loom_stop){
			.drain_delay_us = MS(rows[i].delay_ms),
			.drain_timeout_us = MS(rows[i].end_ms),
			.closing_us = MS(200),
		};
		plan = loom_stop_plan(&wanted, MS(rows[i].within_ms));
		TEST_CHECK(plan.drain_delay_us == MS(rows[i].plan_delay_ms) &&
			plan.drain_timeout_us == MS(rows[i].plan_end_ms) &&
			plan.closing_us == MS(rows[i].plan_closing_ms),
		    "within %" PRIu64 " ms: %" PRIu64 ", %" PRIu64
		    " and %" PRIu64 " us",
		    rows[i].within_ms, plan.drain_delay_us,
		    plan.drain_timeout_us, plan.closing_us);
	}
}

/*
 * Guards against calls that are sent on shortly before the end of the drain and
 * broken off there.
 */
static void
test_may_send(void)
{
	static const struct {
		uint64_t now_ms, drain_ms, until_ms;
		bool may_send;
	} rows[] = {
		{ 2200, 2200, 5400, true },
		{ 3799, 2200, 5400, true },
		{ 3800, 2200, 5400, false },
		{ 5400, 2200, 5400, false },
		{ 6000, 2200, 5400, false },
		/* no time to drain */
		{ 2200, 2200, 2200, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		TEST_CHECK(
		    loom_stop_may_send(MS(rows[i].now_ms), MS(rows[i].drain_ms),
			MS(rows[i].until_ms)) == rows[i].may_send,
		    "at %" PRIu64 " ms", rows[i].now_ms);
}

static const struct test_case tests[] = {
	{ "may send", test_may_send },
	{ "within", test_plan },
};

TEST_MAIN("stop", tests)
