/*
 * Tests how the share of a saturated service follows demand and capacity that
 * move, with and without the fast recovery.
 */

#include <math.h>

#include "loom/throttle.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
#define STEP_MS 10
#define SIMULATED_MS 60000
#define DELAY_MAX_MS 2000
#define SEEDS 5
/* Service time of 20 ms, in seconds; queues are in units of the limit. */
#define SERVICE_S 0.02

struct load {
	double offered; /* relative to the capacity */
	double swing; /* amplitude of a wave of 15 s, relative to offered */
	/* in a time of trouble */
	unsigned from_ms, until_ms;
	double offered_factor;
	double capacity;
};

struct outcome {
	double served; /* of what was offered and possible */
	double queue; /* mean, relative to the limit */
	/* from the end of the trouble until nearly all is let in */
	unsigned recovery_ms;
};

static const struct {
	const char *name;
	struct load load;
	unsigned delay_ms; /* from a report until its calls arrive */
	unsigned recovery_ms; /* at most; 0: there is no trouble */
	double served_min;
	double queue_max;
} rows[] = {
	{ "1.7 times for 18 s",
	    { .offered = 0.75,
		.from_ms = 10000,
		.until_ms = 28000,
		.offered_factor = 1.7,
		.capacity = 1 },
	    300, 1000, 0.95, 0.1 },
	{ "3 times for 4 s",
	    { .offered = 0.75,
		.from_ms = 10000,
		.until_ms = 14000,
		.offered_factor = 3,
		.capacity = 1 },
	    300, 1000, 0.95, 0.4 },
	{ "half of the capacity for 8 s",
	    { .offered = 0.9,
		.from_ms = 10000,
		.until_ms = 18000,
		.offered_factor = 1,
		.capacity = 0.45 },
	    300, 1000, 0.95, 0.2 },
	{ "a wave", { .offered = 0.8, .swing = 0.55 }, 300, 0, 0.93, 0.1 },
	{ "a wave and a burst",
	    { .offered = 0.6,
		.swing = 0.55,
		.from_ms = 20000,
		.until_ms = 38000,
		.offered_factor = 1.7,
		.capacity = 1 },
	    300, 1000, 0.93, 0.15 },
};

static bool
in_trouble(const struct load *load, unsigned ms)
{
	return ms >= load->from_ms && ms < load->until_ms;
}

static double
offered_at(const struct load *load, unsigned ms)
{
	double offered =
	    load->offered * (1 + load->swing * sin(2 * G_PI * ms / 15e3));

	return in_trouble(load, ms) ? offered * load->offered_factor : offered;
}

static struct outcome
play_seed(const struct load *load, unsigned delay_ms, bool fast, uint32_t seed)
{
	struct loom_throttle_control control;
	struct loom_random random = test_random_new(seed);
	struct outcome outcome = { 0 };
	double shares[DELAY_MAX_MS / STEP_MS] = { 0 };
	double queue = 0, possible = 0, per_step, offered, capacity, served;
	unsigned ms, step;
	bool is_back = false;

	loom_throttle_control_init(&control, S);
	control.fast_recovery = fast;
	for (ms = 0; ms < SIMULATED_MS; ms += STEP_MS) {
		step = ms / STEP_MS;
		shares[step % G_N_ELEMENTS(shares)] = control.share;
		per_step = STEP_MS / 1e3 / SERVICE_S;
		offered = offered_at(load, ms) * per_step;
		capacity =
		    (in_trouble(load, ms) ? load->capacity : 1) * per_step;
		queue += offered * (0.75 + 0.5 * loom_random_unit(&random)) *
		    (ms < delay_ms ? 1
				   : shares[(step - delay_ms / STEP_MS) %
					 G_N_ELEMENTS(shares)]);
		served = fmin(queue, capacity);
		queue -= served;
		loom_throttle_control_update(&control,
		    served / capacity + queue, S + (ms + STEP_MS) * MS);
		possible += fmin(offered, capacity);
		outcome.served += served;
		outcome.queue += queue * STEP_MS / SIMULATED_MS;
		is_back |= ms >= load->until_ms && control.share >= 0.9;
		if (ms >= load->until_ms && !is_back)
			outcome.recovery_ms += STEP_MS;
	}
	outcome.served /= possible;
	test_random_free(&random);
	return outcome;
}

/* Means over the seeds; the longest recovery. */
static struct outcome
play(const struct load *load, unsigned delay_ms, bool fast)
{
	struct outcome sum = { 0 }, outcome;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		outcome = play_seed(load, delay_ms, fast, seed);
		sum.served += outcome.served / SEEDS;
		sum.queue += outcome.queue / SEEDS;
		sum.recovery_ms = MAX(sum.recovery_ms, outcome.recovery_ms);
	}
	return sum;
}

/*
 * Guards against callers that are refused for seconds after an overload while
 * the service idles.
 */
static void
test_recovery(void)
{
	struct outcome outcome;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		outcome = play(&rows[i].load, rows[i].delay_ms, true);
		TEST_CHECK(rows[i].recovery_ms == 0 ||
			outcome.recovery_ms <= rows[i].recovery_ms,
		    "%s: back after %u ms", rows[i].name, outcome.recovery_ms);
		TEST_CHECK(outcome.served >= rows[i].served_min,
		    "%s: served %.3f", rows[i].name, outcome.served);
		TEST_CHECK(outcome.queue <= rows[i].queue_max, "%s: queue %.3f",
		    rows[i].name, outcome.queue);
	}
}

/*
 * Guards against a recovery that oscillates: it must not let more wait than the
 * integral term alone, however late the reports are.
 */
static void
test_late_reports(void)
{
	static const unsigned delays_ms[] = { 100, 300, 600, 1000 };
	static const struct load constant = { .offered = 1.7 };
	struct outcome slow, fast;
	size_t i, j;

	for (i = 0; i <= G_N_ELEMENTS(rows); i++) {
		const struct load *load =
		    i < G_N_ELEMENTS(rows) ? &rows[i].load : &constant;

		for (j = 0; j < G_N_ELEMENTS(delays_ms); j++) {
			slow = play(load, delays_ms[j], false);
			fast = play(load, delays_ms[j], true);
			TEST_CHECK(fast.queue <= 1.1 * slow.queue + 0.01,
			    "row %zu, %u ms: queue %.3f, without %.3f", i,
			    delays_ms[j], fast.queue, slow.queue);
			TEST_CHECK(fast.served >= slow.served - 0.005,
			    "row %zu, %u ms: served %.3f, without %.3f", i,
			    delays_ms[j], fast.served, slow.served);
		}
	}
}

static const struct test_case tests[] = {
	{ "recovery", test_recovery },
	{ "late reports", test_late_reports },
};

TEST_MAIN("recovery", tests)
