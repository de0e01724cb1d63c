/*
 * The age of the data that a daemon holds: its rules by themselves, and in
 * simulated fleets on a fake clock, in which each age is checked against what
 * had been written to the platform.
 */

#include "loom/age.h"
#include "loom/spread_policy.h"
#include "support/spread_fleet.h"
#include "support/test.h"

#define S LOOM_US_PER_S
#define MS(n) ((uint64_t)(n)*LOOM_US_PER_MS)

/*
 * A peer's answer proves that its data was complete up to the time of the
 * query, less the age that it stated and the possible difference in clock speed
 * over that time.
 */
static void
test_peer_as_of(void)
{
	static const struct {
		uint64_t asked_us, peer_age_us, as_of_us;
	} rows[] = {
		{ MS(10000), 0, MS(10000) - 1 },
		{ MS(10000), MS(256), MS(10000) - MS(257) - 1 },
		{ MS(10000), MS(10000), 0 },
		{ 1, 0, 0 },
		{ 0, 0, 0 },
		{ MS(10000), UINT64_MAX, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		TEST_CHECK(loom_age_peer_as_of_us(rows[i].asked_us,
			       rows[i].peer_age_us) == rows[i].as_of_us,
		    "row %zu", i);
}

static void
test_monotonic(void)
{
	struct loom_age age = { .as_of_us = 0 };

	CU_ASSERT_EQUAL(loom_age_us(&age, MS(5)), UINT64_MAX);
	loom_age_advance(&age, MS(1000));
	loom_age_advance(&age, MS(900));
	loom_age_advance(&age, MS(800));
	CU_ASSERT_EQUAL(loom_age_us(&age, MS(1500)), MS(500));
	/* as from a thread that read the clock earlier */
	CU_ASSERT_EQUAL(loom_age_us(&age, MS(999)), 0);
	loom_age_advance(&age, MS(1200));
	CU_ASSERT_EQUAL(loom_age_us(&age, MS(1500)), MS(300));
}

/* Guards against a lost watch or reader that delays a change for longer than
 * the bound, for bounds from 1.5 s to 60 s. */
static void
test_timing(void)
{
	static const uint64_t within_ms[] = { 1500, 2000, 2500, 3000, 5000,
		11000, 60000 };
	/* from the answer until it is in effect */
	const uint64_t apply_us = MS(350);
	struct loom_age_timing timing;
	uint64_t within_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(within_ms); i++) {
		within_us = MS(within_ms[i]);
		timing = loom_age_timing(within_us);
		TEST_CHECK(timing.watch_us + 2 * timing.answer_us + apply_us <
			within_us,
		    "a lost watch, within %u ms", (unsigned)within_ms[i]);
		TEST_CHECK(timing.platform_read_age_us + apply_us < within_us,
		    "a lost reader, within %u ms", (unsigned)within_ms[i]);
		TEST_CHECK(
		    timing.query_interval_us < timing.wide_query_age_us &&
			timing.wide_query_age_us < timing.platform_read_age_us,
		    "order, within %u ms", (unsigned)within_ms[i]);
	}
}

static void
test_read_delay(void)
{
	const struct loom_age_timing timing = loom_age_timing(3 * S);
	struct loom_random random = test_random_new(1);
	struct loom_age_reader reader = { .nreaders = 2, .nhosts = 850 };
	uint64_t delay_us;
	uint32_t early = 0;

	for (reader.rank = 2; reader.rank < 850; reader.rank++) {
		delay_us = loom_age_read_delay_us(&reader, &timing, &random);
		CU_ASSERT(delay_us > 0);
		early += delay_us <= MS(500);
	}
	TEST_CHECK(early <= 4, "%u read in the first half second", early);
	reader.isolated = true;
	CU_ASSERT(loom_age_read_delay_us(&reader, &timing, &random) <=
	    timing.query_interval_us);
	test_random_free(&random);
}

static void
finish(struct spread_fleet *fleet, const char *what)
{
	TEST_CHECK(spread_fleet_understated_ages(fleet) == 0,
	    "%s: %u ages lower than the true one", what,
	    spread_fleet_understated_ages(fleet));
	TEST_CHECK(spread_fleet_regressions(fleet) == 0,
	    "%s: %u versions went back", what, spread_fleet_regressions(fleet));
	spread_fleet_stop(fleet);
}

static void
start(struct spread_fleet *fleet, uint32_t nodes, uint32_t seed,
    uint32_t loss_permille)
{
	const struct spread_fleet_options options = {
		.nodes = nodes,
		.dcs = 5,
		.seed = seed,
		.loss_permille = loss_permille,
		.within_us = 3 * S,
		.checks_age = true,
	};

	spread_fleet_start(fleet, &options);
	CU_ASSERT(spread_fleet_run_ready(fleet, 20 * S));
	spread_fleet_run(fleet, fleet->now_us + 5 * S);
}

/* Runs the fleet and returns the highest age, sampled every 0.1 s. */
static uint64_t
max_age_over(struct spread_fleet *fleet, uint64_t for_us)
{
	const uint64_t until_us = fleet->now_us + for_us;
	uint64_t max_age_us = 0;

	while (fleet->now_us < until_us) {
		spread_fleet_run(fleet, fleet->now_us + MS(100));
		max_age_us = MAX(max_age_us, spread_fleet_max_age_us(fleet));
	}
	return max_age_us;
}

static void
put_changes(struct spread_fleet *fleet, uint64_t *version, uint64_t for_us)
{
	const uint64_t until_us = fleet->now_us + for_us;

	while (fleet->now_us < until_us) {
		++*version;
		spread_fleet_put(
		    fleet, *version % FLEET_NAMES, *version, 'a', 300);
		spread_fleet_run(fleet, fleet->now_us + MS(300));
	}
}

/* Checks that no age exceeds the bound after a series of changes. */
static void
check_age_bound(struct spread_fleet *fleet)
{
	uint64_t version = 1, max_age_us;

	put_changes(fleet, &version, 3 * S);
	max_age_us = max_age_over(fleet, 15 * S);
	TEST_CHECK(max_age_us <= 3 * S, "%u ms", (unsigned)(max_age_us / 1000));
}

/* Guards against needless calls to the platform: without faults only a fixed
 * number of daemons per data centre read it. */
static void
test_no_faults(void)
{
	const struct loom_age_timing timing = loom_age_timing(3 * S);
	const uint64_t a_minute = 60 * S / timing.watch_us;
	struct spread_fleet fleet;
	uint64_t calls, max_age_us;

	start(&fleet, 95, 1, 0);
	calls = fleet.calls;
	max_age_us = max_age_over(&fleet, 30 * S);
	calls = fleet.calls - calls;
	TEST_CHECK(max_age_us < timing.platform_read_age_us, "%u ms",
	    (unsigned)(max_age_us / 1000));
	TEST_CHECK(calls <= 5 * LOOM_SPREAD_READERS * a_minute / 2, "%u calls",
	    (unsigned)calls);
	finish(&fleet, "no faults");
}

/* Guards against stopped readers that no daemon replaces: their data centre
 * kept data that was 40 s old. */
static void
test_readers_stop(void)
{
	struct spread_fleet fleet;
	uint32_t i;

	start(&fleet, 95, 2, 10);
	for (i = 0; i < fleet.options.nodes; i++) {
		if (fleet.nodes[i].dc == 0 && fleet.nodes[i].watching)
			spread_fleet_pause(&fleet, i, fleet.now_us + 30 * S);
	}
	check_age_bound(&fleet);
	finish(&fleet, "readers stop");
}

/*
 * Guards against a burst of calls when the platform returns after an outage:
 * calls stay within what a data centre may make, and all ages are back within
 * the bound in time.
 */
static void
test_outage(void)
{
	struct spread_fleet fleet;
	uint64_t version = 1, calls, max_age_us;

	start(&fleet, 300, 3, 10);
	spread_fleet_platform(&fleet, FLEET_DOWN);
	calls = fleet.calls;
	spread_fleet_run(&fleet, fleet.now_us + 20 * S);
	calls = fleet.calls - calls;
	TEST_CHECK(
	    calls <= 20 * 5 * 30, "%u calls in the outage", (unsigned)calls);
	put_changes(&fleet, &version, S);
	spread_fleet_platform(&fleet, FLEET_UP);
	calls = fleet.calls;
	spread_fleet_run(&fleet, fleet.now_us + 2 * S);
	calls = fleet.calls - calls;
	max_age_us = spread_fleet_max_age_us(&fleet);
	TEST_CHECK(max_age_us <= 3 * S, "%u ms", (unsigned)(max_age_us / 1000));
	TEST_CHECK(calls <= 2 * 5 * 30, "%u calls after it", (unsigned)calls);
	finish(&fleet, "outage");
}

/*
 * One data centre is cut off from all others, and its readers from the
 * platform.  Those of its daemons that still reach the platform must keep the
 * ages within the bound.
 */
static void
test_cut_readers(void)
{
	struct spread_fleet fleet;
	uint32_t i;

	start(&fleet, 95, 4, 10);
	for (i = 1; i < 5; i++)
		spread_fleet_set_partitioned(&fleet, 0, i, true);
	for (i = 0; i < fleet.options.nodes; i++) {
		if (fleet.nodes[i].dc == 0 && fleet.nodes[i].watching)
			fleet.nodes[i].platform = FLEET_DOWN;
	}
	check_age_bound(&fleet);
	finish(&fleet, "cut readers");
}

/* With pauses, partitions, lost, late and repeated messages and outages, no age
 * is ever lower than the true one. */
static void
test_oracle(void)
{
	struct spread_fleet_options options = {
		.nodes = 60,
		.dcs = 3,
		.loss_permille = 50,
		.duplicate_permille = 50,
		.delay_permille = 200,
		.within_us = 3 * S,
		.checks_age = true,
	};
	struct spread_fleet fleet;
	uint64_t version;
	uint32_t turn, node;

	for (options.seed = 1; options.seed <= 10; options.seed++) {
		spread_fleet_start(&fleet, &options);
		version = 1;
		for (turn = 0; turn < 60; turn++) {
			node = (uint32_t)loom_random_below(
			    &fleet.random, options.nodes);
			switch (loom_random_below(&fleet.random, 5)) {
			case 0:
				spread_fleet_pause(&fleet, node,
				    fleet.now_us +
					loom_random_below(
					    &fleet.random, 10 * S));
				break;
			case 1:
				spread_fleet_restart(&fleet, node);
				break;
			case 2:
				fleet.nodes[node].platform = FLEET_DOWN;
				break;
			case 3:
				spread_fleet_platform(&fleet, FLEET_UP);
				break;
			default:
				spread_fleet_set_partitioned(&fleet, node % 3,
				    (node + 1) % 3, node % 2 == 0);
				break;
			}
			put_changes(&fleet, &version, S);
		}
		finish(&fleet, "oracle");
	}
}

static const struct test_case tests[] = {
	{ "peer as of", test_peer_as_of },
	{ "monotonic", test_monotonic },
	{ "plan", test_timing },
	{ "read delay", test_read_delay },
	{ "no faults", test_no_faults },
	{ "readers stop", test_readers_stop },
	{ "outage", test_outage },
	{ "readers cut off", test_cut_readers },
	{ "oracle", test_oracle },
};

TEST_MAIN("age", tests)
