/*
 * Runs the limit against simulated upstreams in windows of 100 ms.  Calls fill
 * the limit unless a case says otherwise.
 */

#include "loom/clock.h"
#include "loom/limit.h"
#include "support/test.h"

#define WINDOW_US (UINT64_C(100) * LOOM_US_PER_MS)
#define CALLS 64
#define LIGHT_LOAD_WINDOWS 5
#define LIGHT_LOAD_CALLS 5
#define SERVICE_US 10000.0

/* Real slots, and a slowdown factor over a range of windows. */
struct upstream {
	double real_slots;
	double slow_factor;
	int slow_from, slow_until; /* window numbers */
	bool starts_light; /* light load in the first windows */
	bool refuses_tenth; /* refuses about a tenth of the calls itself */
	bool quadratic; /* above real_slots, latency grows with the square of
			   the concurrency */
	double
	    min_part; /* of the slots, which the upstream itself has declared */
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
	/* Calls above the real slots only wait inside the upstream; the limit
	 * must find that within 3 s. */
	{ "less than declared", { .real_slots = 10 }, .windows = 30, .min = 9,
	    .max = 20 },
	/* The slowness may come from nested calls, so half of the slots that
	 * the upstream itself has declared stay in use. */
	{ "far less than the upstream declares",
	    { .real_slots = 2, .min_part = 0.5 }, .windows = 60, .min = 25,
	    .max = 30 },
	{ "the last slots are left free",
	    { .real_slots = 50, .max_part = 0.93 }, .windows = 100, .min = 46,
	    .max = 47 },
	{ "far less than declared", { .real_slots = 2 }, .windows = 60,
	    .min = 2, .max = 4 },
	/* Calls slow each other: above the peak each further call reduces
	 * throughput, while latency is too low to start another trial. */
	{ "latency grows with the square",
	    { .real_slots = 20, .quadratic = true }, .windows = 60, .min = 19,
	    .max = 22 },
	/* Contention is known when the upstream's database slows down.  The
	 * small downward steps must not follow that latency until hardly any
	 * call is served. */
	{ "contention, then a slow database",
	    { .real_slots = 20,
		.quadratic = true,
		.slow_factor = 3,
		.slow_from = 40,
		.slow_until = 1000 },
	    .windows = 100, .min = 18, .max = 24 },
	/* Three times as slow at any concurrency (a slow database): a lower
	 * limit would only lose capacity. */
	{ "lasting slowness of another cause",
	    { .real_slots = 1000,
		.slow_factor = 3,
		.slow_from = 10,
		.slow_until = 1000,
		.starts_light = true },
	    .windows = 60, .min = 50, .max = 50 },
	/* After a slowdown all slots are in use again.  A baseline that stayed
	 * at the slow latency would hide a later overload. */
	{ "recovery after slowness",
	    { .real_slots = 50,
		.slow_factor = 3,
		.slow_from = 10,
		.slow_until = 40,
		.starts_light = true },
	    .windows = 60, .min = 50, .max = 50 },
	/* Under light load, slow calls must not change the limit. */
	{ "slow while idle",
	    { .real_slots = 50,
		.slow_factor = 3,
		.slow_from = 10,
		.slow_until = 1000,
		.starts_light = true },
	    .used = 0.1, .windows = 60, .min = 50, .max = 50 },
	/* A fault refuses calls at any concurrency, so a lower limit does not
	 * help.  A limit that follows such refusals ends at one call, and
	 * leaves the service nearly idle for ten seconds after the fault. */
	{ "refusals at any concurrency",
	    { .real_slots = 50, .refuses_tenth = true }, .windows = 40,
	    .min = 45, .max = 50 },
	{ "refusals by the upstream",
	    { .real_slots = 50, .refuses_tenth = true }, .windows = 10,
	    .min = 10, .max = 40 },
};

static double
latency_us(const struct upstream *upstream, double in_flight, int window)
{
	double latency = SERVICE_US;

	if (in_flight > upstream->real_slots)
		latency *= in_flight / upstream->real_slots;
	if (in_flight > upstream->real_slots && upstream->quadratic)
		latency *= in_flight / upstream->real_slots;
	if (window >= upstream->slow_from && window < upstream->slow_until)
		latency *= upstream->slow_factor;
	return latency;
}

static uint32_t
run_windows(struct loom_limit *limit, const struct upstream *upstream,
    double used, int from, int until)
{
	uint32_t value = limit->settings.slots;
	uint64_t elapsed_us, now_us;
	double in_flight;
	bool light_load;
	int i, window;

	for (window = from; window < until; window++) {
		now_us = (uint64_t)(window + 1) * WINDOW_US;
		light_load =
		    upstream->starts_light && window < LIGHT_LOAD_WINDOWS;
		in_flight = used > 0 ? value * used : value;
		if (light_load)
			in_flight = LIGHT_LOAD_CALLS;
		elapsed_us = (uint64_t)latency_us(upstream, in_flight, window);
		for (i = 0; i < CALLS; i++)
			loom_limit_sample(
			    limit, 0, elapsed_us, elapsed_us, now_us);
		for (i = 0; i < CALLS / 8 && upstream->refuses_tenth; i++)
			loom_limit_overload(limit);
		value = loom_limit_update(limit, (uint32_t)in_flight,
		    used == 0 && !light_load, now_us);
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
 * uploads, the mean latency rises twentyfold although nothing is slower, and
 * the limit must stay.
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
		/* Light load at first; saturated when the mix changes. */
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

/* A report of being full lowers the limit only of an upstream without recent
 * samples, and only while it is repeated. */
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
