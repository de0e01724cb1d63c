/*
 * Tests the timing of readers through outages of the platform, on a simulated
 * clock.
 */

#include <string.h>

#include "loom/poll_timing.h"
#include "support/test.h"

#define OUTAGE_START_MS 20000
#define ROUND_TRIP_MS 10
#define DRAWS 2000
/* Platform budget for all readers together. */
#define CALLS_PER_S 2000

/* What happens to calls in an outage. */
enum outage {
	OUTAGE_SILENT, /* calls made during it are never answered */
	OUTAGE_LOSES_HELD, /* nor are calls held when it begins */
	OUTAGE_REFUSES, /* each call fails immediately */
	OUTAGES,
};

struct simulation {
	struct loom_poll_timing pace;
	enum outage outage;
	uint32_t outage_end_ms; /* when the platform is back */
	/* when a change is published; at least outage_end_ms */
	uint32_t change_ms;
	struct loom_random *random;
	uint32_t calls[64]; /* made in each second */
};

struct outcome {
	uint32_t end_ms;
	bool answered;
	bool has_change;
};

static bool
is_out(const struct simulation *sim, uint32_t now_ms)
{
	return now_ms >= OUTAGE_START_MS && now_ms < sim->outage_end_ms;
}

static struct outcome
simulate_call(const struct simulation *sim, uint32_t now_ms, uint32_t wait_ms)
{
	uint32_t held_until_ms = now_ms + wait_ms;
	bool spans_start =
	    now_ms < OUTAGE_START_MS && held_until_ms >= OUTAGE_START_MS;
	bool lost = is_out(sim, now_ms) ||
	    (spans_start && sim->outage != OUTAGE_SILENT);
	struct outcome outcome = { .answered = !lost };

	if (lost && sim->outage == OUTAGE_REFUSES) {
		outcome.end_ms = MAX(now_ms, OUTAGE_START_MS) + ROUND_TRIP_MS;
	} else if (lost) {
		outcome.end_ms = held_until_ms + sim->pace.answer_timeout_ms;
	} else if (held_until_ms >= sim->change_ms) {
		outcome.has_change = true;
		outcome.end_ms = MAX(now_ms, sim->change_ms) + ROUND_TRIP_MS;
	} else {
		/* a call whose hold ends in the outage is answered after it */
		outcome.end_ms = is_out(sim, held_until_ms)
		    ? sim->outage_end_ms
		    : held_until_ms + ROUND_TRIP_MS;
	}
	return outcome;
}

/* Returns when the reader, which starts at start_ms, reads the change. */
static uint32_t
simulate_reader(struct simulation *sim, uint32_t start_ms)
{
	struct outcome outcome;
	uint32_t now_ms = start_ms, failures = 0;

	for (;;) {
		sim->calls[now_ms / 1000 % G_N_ELEMENTS(sim->calls)]++;
		outcome = simulate_call(
		    sim, now_ms, loom_poll_wait_ms(&sim->pace, failures));
		if (outcome.has_change)
			return outcome.end_ms;
		failures = outcome.answered ? 0 : failures + 1;
		now_ms = outcome.end_ms +
		    loom_poll_delay_ms(&sim->pace, failures, sim->random);
	}
}

static uint32_t
max_lag_ms(struct simulation *sim, uint32_t outage_ms)
{
	uint32_t max_seen_ms = 0, draw, read_ms;

	sim->outage_end_ms = OUTAGE_START_MS + outage_ms;
	for (draw = 0; draw < DRAWS; draw++) {
		sim->change_ms = sim->outage_end_ms +
		    (uint32_t)loom_random_below(sim->random, 3000);
		read_ms = simulate_reader(sim,
		    (uint32_t)loom_random_below(sim->random, OUTAGE_START_MS));
		max_seen_ms = MAX(max_seen_ms, read_ms - sim->change_ms);
	}
	return max_seen_ms;
}

static const uint32_t outages_ms[] = { 100, 500, 1300, 2500, 6000, 20000 };

/* Guards against a change that remains unread after the platform is back. */
static void
test_lag_after_outage(void)
{
	static const struct {
		const char *name;
		struct loom_poll_timing pace;
		uint32_t bound_ms;
	} cases[] = {
		/* in force within 11 s, of which peers need 2.1 s */
		{ "defaults", { .wait_ms = 0 }, 8900 },
		/* in force within 3 s, of which a join needs 0.35 s */
		{ "a small fleet",
		    { .wait_ms = 1300, .answer_timeout_ms = 700 }, 2650 },
	};
	struct loom_random random = test_random_new(3);
	struct simulation sim;
	uint32_t lag_ms;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (j = 0; j < OUTAGES * G_N_ELEMENTS(outages_ms); j++) {
			sim = (struct simulation){
				.pace = loom_poll_timing_with_defaults(
				    &cases[i].pace),
				.outage = (enum outage)(j % OUTAGES),
				.random = &random,
			};
			lag_ms = max_lag_ms(&sim, outages_ms[j / OUTAGES]);
			TEST_CHECK(lag_ms <= cases[i].bound_ms,
			    "%s, outage %u of %u ms: %u ms", cases[i].name,
			    (unsigned)(j % OUTAGES), outages_ms[j / OUTAGES],
			    lag_ms);
		}
	}
	test_random_free(&random);
}

/*
 * Guards against readers that exceed the platform's budget while it is down or
 * in the second in which it is back.
 */
static void
test_load_in_outage(void)
{
	static const struct {
		struct loom_poll_timing pace;
		uint32_t readers;
	} cases[] = {
		{ { .wait_ms = 0 }, 120 },
		{ { .wait_ms = 1300, .answer_timeout_ms = 700 }, 200 },
	};
	struct loom_random random = test_random_new(5);
	struct simulation sim;
	size_t i, second;
	unsigned outage;
	uint32_t n;

	for (i = 0; i < G_N_ELEMENTS(cases) * OUTAGES; i++) {
		outage = (unsigned)(i % OUTAGES);
		sim = (struct simulation){
			.pace = loom_poll_timing_with_defaults(
			    &cases[i / OUTAGES].pace),
			.outage = (enum outage)outage,
			.outage_end_ms = OUTAGE_START_MS + 20000,
			.change_ms = OUTAGE_START_MS + 25000,
			.random = &random,
		};
		for (n = 0; n < cases[i / OUTAGES].readers; n++)
			simulate_reader(&sim, n);
		for (second = 0; second < G_N_ELEMENTS(sim.calls); second++)
			TEST_CHECK(sim.calls[second] <= CALLS_PER_S,
			    "outage %u: %u calls in second %zu", outage,
			    sim.calls[second], second);
	}
	test_random_free(&random);
}

/* Guards against readers that failed together and retry together. */
static void
test_backoff(void)
{
	static const struct loom_poll_timing pace = {
		.gap_ms = 50,
		.backoff_ms = 200,
		.backoff_max_ms = 10000,
	};
	static const struct {
		uint32_t failures;
		uint32_t min_ms;
		uint32_t max_ms;
	} cases[] = {
		{ 0, 50, 50 },
		{ 1, 100, 200 },
		{ 2, 100, 400 },
		{ 4, 100, 1600 },
		{ 40, 100, 10000 },
		{ UINT32_MAX, 100, 10000 },
	};
	struct loom_random random = test_random_new(1);
	uint32_t delay, low, high, spread;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		low = UINT32_MAX;
		high = 0;
		for (j = 0; j < 1000; j++) {
			delay = loom_poll_delay_ms(
			    &pace, cases[i].failures, &random);
			low = MIN(low, delay);
			high = MAX(high, delay);
		}
		spread = cases[i].max_ms - cases[i].min_ms;
		TEST_CHECK(low >= cases[i].min_ms && high <= cases[i].max_ms,
		    "%u failures: %u to %u", cases[i].failures, low, high);
		TEST_CHECK(high - low >= spread * 9 / 10,
		    "%u failures: %u to %u", cases[i].failures, low, high);
	}
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "lag after an outage", test_lag_after_outage },
	{ "load during an outage", test_load_in_outage },
	{ "backoff", test_backoff },
};

TEST_MAIN("pace", tests)
