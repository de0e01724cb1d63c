/*
 * The limit against upstreams that behave in different ways, all calls at
 * once up to the limit, in windows of 100 ms.
 */

#include "loom/clock.h"
#include "loom/limit.h"
#include "support/test.h"

#define WINDOW_US (UINT64_C(100) * LOOM_US_PER_MS)
#define CALLS 64
#define EASED_WINDOWS 5
#define EASED_CALLS 5
#define SERVICE_US 10000.0

/* An upstream: real slots, and a factor on its time in some windows. */
struct upstream {
	double real_slots;
	double slow_factor;
	int slow_from, slow_until; /* windows */
	bool eased; /* hardly used for the first windows */
	bool overloads; /* refuses a tenth of the calls itself */
	bool squared; /* too many slow each other by the square */
	double min_part; /* of the slots, which are its own word */
	double max_part; /* of the slots; 0: all */
};

static const struct {
	const char *name;
	struct upstream upstream;
	double used; /* part of the limit that calls fill; 0: all */
	int windows;
	uint32_t min, max; /* of the limit in the last window */
} cases[] = {
	{ "as declared", { .real_slots = 50 }, .windows = 100, .min = 50,
	    .max = 50 },
	/* More than real slots only queue inside: found within 3 s. */
	{ "less than declared", { .real_slots = 10 }, .windows = 30, .min = 9,
	    .max = 20 },
	/* What looks like crowding may be its deeper calls': where the slots
	 * are its own word, half of them stay. */
	{ "far less than its own word", { .real_slots = 2, .min_part = 0.5 },
	    .windows = 60, .min = 25, .max = 30 },
	{ "the last slots are left free",
	    { .real_slots = 50, .max_part = 0.93 }, .windows = 100, .min = 46,
	    .max = 47 },
	{ "far less than declared", { .real_slots = 2 }, .windows = 60,
	    .min = 2, .max = 4 },
	/* Calls slow each other: beyond the peak each one more takes from
	 * what is served, and latency alone is worth no second trial. */
	{ "slower by the square", { .real_slots = 20, .squared = true },
	    .windows = 60, .min = 19, .max = 22 },
	/* Crowding was found; then its database slows.  The small steps down
	 * must not follow that until nearly nothing is served. */
	{ "crowded, then slow for another reason",
	    { .real_slots = 20,
		.squared = true,
		.slow_factor = 3,
		.slow_from = 40,
		.slow_until = 1000 },
	    .windows = 100, .min = 18, .max = 24 },
	/* Three times as slow, whatever the number of calls (its database):
	 * fewer calls would only lose capacity. */
	{ "lasting slowness that is not ours",
	    { .real_slots = 1000,
		.slow_factor = 3,
		.slow_from = 10,
		.slow_until = 1000,
		.eased = true },
	    .windows = 60, .min = 50, .max = 50 },
	/* The floor has not become the slow one for ever: well again, then
	 * overloaded for real, the limit falls. */
	{ "well again after slowness",
	    { .real_slots = 50,
		.slow_factor = 3,
		.slow_from = 10,
		.slow_until = 40,
		.eased = true },
	    .windows = 60, .min = 50, .max = 50 },
	/* Hardly used: slow calls are no reason to change anything. */
	{ "slow while idle",
	    { .real_slots = 50,
		.slow_factor = 3,
		.slow_from = 10,
		.slow_until = 1000,
		.eased = true },
	    .used = 0.1, .windows = 60, .min = 50, .max = 50 },
	/* A fault refuses calls whatever runs: fewer at once are refused just
	 * as often.  A limit that follows it ends at one call, and the service
	 * stands idle for ten seconds after the fault. */
	{ "refuses by itself, whatever runs",
	    { .real_slots = 50, .overloads = true }, .windows = 40, .min = 45,
	    .max = 50 },
	{ "refuses by itself", { .real_slots = 50, .overloads = true },
	    .windows = 10, .min = 10, .max = 40 },
};

static double
latency_us(const struct upstream *upstream, double inside, int window)
{
	double latency = SERVICE_US;

	if (inside > upstream->real_slots)
		latency *= inside / upstream->real_slots;
	if (inside > upstream->real_slots && upstream->squared)
		latency *= inside / upstream->real_slots;
	if (window >= upstream->slow_from && window < upstream->slow_until)
		latency *= upstream->slow_factor;
	return latency;
}

static uint32_t
run_windows(struct loom_limit *limit, const struct upstream *upstream,
    double used, int from, int until)
{
	uint32_t value = limit->settings.slots;
	uint64_t took_us, now_us;
	double inside;
	bool eased;
	int i, window;

	for (window = from; window < until; window++) {
		now_us = (uint64_t)(window + 1) * WINDOW_US;
		eased = upstream->eased && window < EASED_WINDOWS;
		inside = used > 0 ? value * used : value;
		if (eased)
			inside = EASED_CALLS;
		took_us = (uint64_t)latency_us(upstream, inside, window);
		for (i = 0; i < CALLS; i++)
			loom_limit_sample(limit, 0, took_us, took_us, now_us);
		for (i = 0; i < CALLS / 8 && upstream->overloads; i++)
			loom_limit_overload(limit);
		value = loom_limit_update(
		    limit, (uint32_t)inside, used == 0 && !eased, now_us);
	}
	return value;
}

static void
test_upstreams(void)
{
	struct loom_limit_settings settings = { .slots = 50 };
	struct loom_limit limit;
	uint32_t value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		settings.min_part = cases[i].upstream.min_part;
		settings.max_part = cases[i].upstream.max_part;
		loom_limit_init(&limit, &settings, 0);
		value = run_windows(&limit, &cases[i].upstream, cases[i].used,
		    0, cases[i].windows);
		TEST_CHECK(value >= cases[i].min && value <= cases[i].max,
		    "%s: limit %u", cases[i].name, value);
	}
}

/*
 * Uploads take fifty times as long as lookups.  When half of the calls become
 * uploads the mean latency rises twentyfold, and nothing is wrong.
 */
static void
test_mix_of_classes(void)
{
	static const struct loom_limit_settings settings = { .slots = 50 };
	uint32_t value = 50;
	struct loom_limit limit;
	int i, window, uploads;

	loom_limit_init(&limit, &settings, 0);
	for (window = 1; window < 60; window++) {
		uploads = window < 20 ? 1 : CALLS / 2;
		for (i = 0; i < CALLS; i++)
			loom_limit_sample(&limit, i < uploads,
			    i < uploads ? 500000 : 10000,
			    i < uploads ? 500000 : 10000,
			    (uint64_t)window * WINDOW_US);
		/* At ease first, under load when the mix changes. */
		value = loom_limit_update(&limit, window < 20 ? 10 : value,
		    window >= 20, (uint64_t)window * WINDOW_US);
		TEST_CHECK(value == 50, "window %d: %u", window, value);
	}
}

static void
test_cold_start(void)
{
	static const struct loom_limit_settings settings = {
		.slots = 40,
		.cold_start_us = 2 * LOOM_US_PER_S,
	};
	static const struct {
		uint64_t at_ms;
		uint32_t limit;
	} ramp[] = { { 0, 5 }, { 500, 10 }, { 1000, 20 }, { 2000, 40 } };
	struct loom_limit limit;
	uint32_t value;
	size_t i;

	loom_limit_init(&limit, &settings, 0);
	for (i = 0; i < G_N_ELEMENTS(ramp); i++) {
		value = loom_limit_update(
		    &limit, 0, false, ramp[i].at_ms * LOOM_US_PER_MS);
		TEST_CHECK(value == ramp[i].limit, "%u at %u ms", value,
		    (unsigned)ramp[i].at_ms);
	}
}

/* "I am full" counts for an idle upstream, not against measurement, and only
 * for as long as it is repeated. */
static void
test_hint(void)
{
	static const struct loom_limit_settings settings = { .slots = 40 };
	static const struct upstream well = { .real_slots = 40 };
	struct loom_limit limit;

	loom_limit_init(&limit, &settings, 0);
	loom_limit_hint_full(&limit, 2 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL(
	    loom_limit_update(&limit, 0, false, 2 * LOOM_US_PER_S), 10);
	CU_ASSERT_EQUAL(
	    loom_limit_update(&limit, 0, false, 4 * LOOM_US_PER_S), 40);
	loom_limit_hint_full(&limit, 5 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL(run_windows(&limit, &well, 0, 49, 52), 40);
}

static const struct test_case tests[] = {
	{ "upstreams", test_upstreams },
	{ "mix of classes", test_mix_of_classes },
	{ "cold start", test_cold_start },
	{ "hint", test_hint },
};

TEST_MAIN("limit", tests)
