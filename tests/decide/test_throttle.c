/*
 * Tests admission of root requests by what a saturated downstream service can
 * carry: the share that its executor controls, how an entry applies the share,
 * and how the calls per request are estimated.
 */

#include <limits.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "loom/fanout.h"
#include "loom/throttle.h"
#include "loom/wait_share.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
#define SERVICE 7

/*
 * Simulates a service and the entries before it in steps of 10 ms. Admitted
 * calls arrive at the service after the delay of the report, wait in its queue
 * and are served.
 */
struct scenario {
	double offered; /* relative to the capacity */
	double capacity; /* becomes this at half of the time */
	/* from a report until the calls admitted by it arrive */
	unsigned report_delay_ms;
};

#define STEP_MS 10
#define STEPS 2000 /* 20 s */
#define DELAY_STEPS_MAX 200
/* Service time of 20 ms, in seconds; queues are in units of the limit. */
#define SERVICE_S 0.02

static const struct {
	const char *name;
	struct scenario scenario;
	double served_min; /* of the possible throughput, in the last 5 s */
	double queue_max; /* relative to the limit, mean of the last 5 s */
} cases[] = {
	{ "below the capacity",
	    { .offered = 0.7, .capacity = 1, .report_delay_ms = 300 }, 0.99,
	    0.05 },
	{ "1.7 times the capacity",
	    { .offered = 1.7, .capacity = 1, .report_delay_ms = 300 }, 0.92,
	    0.1 },
	{ "5 times the capacity",
	    { .offered = 5, .capacity = 1, .report_delay_ms = 300 }, 0.92,
	    0.1 },
	{ "capacity halved",
	    { .offered = 0.8, .capacity = 0.5, .report_delay_ms = 300 }, 0.89,
	    0.1 },
	{ "capacity doubled",
	    { .offered = 1.7, .capacity = 2, .report_delay_ms = 300 }, 0.95,
	    0.2 },
	{ "reports delayed by a second",
	    { .offered = 1.7, .capacity = 1, .report_delay_ms = 1000 }, 0.6,
	    1.5 },
};

static void
simulate(const struct scenario *scenario, double *served, double *mean_queue)
{
	struct loom_throttle_control control;
	double shares[DELAY_STEPS_MAX] = { 0 };
	double queue = 0, capacity = 1, step_s = STEP_MS / 1e3;
	double possible = 0, served_total = 0, queue_average = 0, served_now;
	unsigned delay_steps = scenario->report_delay_ms / STEP_MS, i;

	loom_throttle_control_init(&control, S);
	for (i = 0; i < STEPS; i++) {
		if (i == STEPS / 2)
			capacity = scenario->capacity;
		shares[i % DELAY_STEPS_MAX] = control.share;
		queue += scenario->offered * step_s / SERVICE_S *
		    (i < delay_steps
			    ? 1
			    : shares[(i - delay_steps) % DELAY_STEPS_MAX]);
		served_now = fmin(queue, capacity * step_s / SERVICE_S);
		queue -= served_now;
		loom_throttle_control_update(&control,
		    served_now / (capacity * step_s / SERVICE_S) + queue,
		    S + (i + 1) * STEP_MS * MS);
		if (i < STEPS * 3 / 4)
			continue;
		possible +=
		    fmin(scenario->offered, capacity) * step_s / SERVICE_S;
		served_total += served_now;
		queue_average += queue / (STEPS / 4.0);
	}
	*served = served_total / possible;
	*mean_queue = queue_average;
}

/*
 * The share has to settle where the service is nearly saturated and calls
 * hardly wait, whatever load is offered, and to follow a service that gains or
 * loses capacity.
 */
static void
test_control(void)
{
	double served, mean_queue;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		simulate(&cases[i].scenario, &served, &mean_queue);
		TEST_CHECK(served >= cases[i].served_min, "%s: served %.3f",
		    cases[i].name, served);
		TEST_CHECK(mean_queue <= cases[i].queue_max,
		    "%s: mean queue %.3f", cases[i].name, mean_queue);
	}
}

/*
 * Requests of eight consecutive calls at a service that can carry two fifths of
 * them. Guards against an oscillating share: admitted requests still make their
 * other calls, so that requests which had run for half of their time were
 * refused, alternating with requests refused at the entry while the service
 * idled.
 */
#define CHAIN_CALLS 8
#define CHAIN_SLOTS 45
#define CHAIN_CALL_MS 45
#define CHAIN_DEADLINE_MS 1000
#define CHAINS_MAX 4096

struct chain {
	unsigned started_ms;
	unsigned next_ms; /* when a call arrives at the service, or ends */
	unsigned calls_left; /* 0: unused */
	bool running;
};

struct chains {
	struct chain chains[CHAINS_MAX];
	unsigned waiting[CHAINS_MAX]; /* oldest first */
	unsigned waiting_count, running_count, completed;
};

static void
begin_chain(struct chains *sim, unsigned ms)
{
	unsigned i;

	for (i = 0; i < CHAINS_MAX; i++) {
		if (sim->chains[i].calls_left > 0)
			continue;
		sim->chains[i] = (struct chain){
			.started_ms = ms,
			.next_ms = ms + 100,
			.calls_left = CHAIN_CALLS,
		};
		return;
	}
	g_assert_not_reached();
}

static void
end_call(struct chains *sim, struct chain *chain, unsigned ms)
{
	chain->running = false;
	sim->running_count--;
	chain->next_ms = ms + 12;
	if (ms - chain->started_ms > CHAIN_DEADLINE_MS)
		chain->calls_left = 0;
	else if (--chain->calls_left == 0)
		sim->completed++;
}

static void
step_chains(struct chains *sim, struct loom_random *random, unsigned ms)
{
	struct chain *chain;
	unsigned i;

	for (i = 0; i < CHAINS_MAX; i++) {
		chain = &sim->chains[i];
		if (chain->calls_left == 0 || chain->next_ms > ms)
			continue;
		if (chain->running)
			end_call(sim, chain, ms);
		else
			sim->waiting[sim->waiting_count++] = i;
		if (!chain->running && chain->next_ms <= ms)
			chain->next_ms = UINT_MAX;
	}
	for (i = 0; i < sim->waiting_count && sim->running_count < CHAIN_SLOTS;
	     i++) {
		chain = &sim->chains[sim->waiting[i]];
		chain->running = true;
		chain->next_ms = ms + CHAIN_CALL_MS / 2 +
		    (unsigned)loom_random_below(random, CHAIN_CALL_MS + 1);
		sim->running_count++;
	}
	sim->waiting_count -= i;
	memmove(sim->waiting, sim->waiting + i,
	    sim->waiting_count * sizeof(sim->waiting[0]));
}

static void
check_call_chains(bool fast_recovery)
{
	const unsigned report_delay_ms = 150, simulated_ms = 20000;
	const double capacity_per_ms =
	    (double)CHAIN_SLOTS / CHAIN_CALL_MS / CHAIN_CALLS;
	const double offered_per_ms = 2.5 * capacity_per_ms;
	struct loom_random random;
	struct loom_throttle_control control;
	struct chains *sim;
	double shares[256];
	double completed = 0;
	uint64_t seed;
	unsigned ms;

	for (seed = 1; seed <= 4; seed++) {
		random = test_random_new(seed);
		sim = g_new0(struct chains, 1);
		loom_throttle_control_init(&control, S);
		control.fast_recovery = fast_recovery;
		for (ms = 0; ms < simulated_ms; ms++) {
			shares[ms % 256] = control.share;
			if (loom_random_unit(&random) < offered_per_ms *
				(ms < report_delay_ms
					? 1
					: shares[(ms - report_delay_ms) % 256]))
				begin_chain(sim, ms);
			step_chains(sim, &random, ms);
			if (ms % 5 == 0)
				loom_throttle_control_update(&control,
				    (double)(sim->running_count +
					sim->waiting_count) /
					CHAIN_SLOTS,
				    S + ms * MS);
		}
		completed +=
		    sim->completed / (capacity_per_ms * simulated_ms) / 4;
		g_free(sim);
		test_random_free(&random);
	}
	TEST_CHECK(completed >= 0.75,
	    "fast recovery %d: completed in time %.3f", fast_recovery,
	    completed);
}

static void
test_call_chains(void)
{
	check_call_chains(false);
	check_call_chains(true);
}

/*
 * Requests at 2.5 times the capacity for 10 s, and then at three quarters.
 * Returns the time from then on until nearly all are let in, at most 10 s.
 */
static unsigned
play_overload_of_chains(uint32_t seed, double *completed)
{
	const unsigned report_delay_ms = 150, overload_ms = 10000;
	const double capacity_per_ms =
	    (double)CHAIN_SLOTS / CHAIN_CALL_MS / CHAIN_CALLS;
	struct loom_random random = test_random_new(seed);
	struct loom_throttle_control control;
	struct chains *sim = g_new0(struct chains, 1);
	double shares[256], per_ms;
	unsigned ms, completed_before = 0, recovery_ms = overload_ms;

	loom_throttle_control_init(&control, S);
	control.fast_recovery = true;
	for (ms = 0; ms < 2 * overload_ms; ms++) {
		shares[ms % 256] = control.share;
		per_ms = (ms < overload_ms ? 2.5 : 0.75) * capacity_per_ms;
		if (ms >= report_delay_ms)
			per_ms *= shares[(ms - report_delay_ms) % 256];
		if (loom_random_unit(&random) < per_ms)
			begin_chain(sim, ms);
		step_chains(sim, &random, ms);
		if (ms % 5 == 0)
			loom_throttle_control_update(&control,
			    (double)(sim->running_count + sim->waiting_count) /
				CHAIN_SLOTS,
			    S + ms * MS);
		if (ms == overload_ms)
			completed_before = sim->completed;
		if (ms >= overload_ms && control.share >= 0.9)
			recovery_ms = MIN(recovery_ms, ms - overload_ms);
	}
	*completed = (sim->completed - completed_before) /
	    (0.75 * capacity_per_ms * overload_ms);
	g_free(sim);
	test_random_free(&random);
	return recovery_ms;
}

/*
 * Guards against whole requests that are refused for seconds after an overload
 * while the service idles. A second is allowed, and the time of half a request.
 */
static void
test_chains_after_overload(void)
{
	const uint32_t seeds = 12;
	double completed, mean_completed = 0, mean_ms = 0;
	uint32_t seed;

	for (seed = 1; seed <= seeds; seed++) {
		mean_ms +=
		    play_overload_of_chains(seed, &completed) / (double)seeds;
		mean_completed += completed / seeds;
	}
	TEST_CHECK(mean_ms <= 1250, "back after %.0f ms", mean_ms);
	TEST_CHECK(
	    mean_completed >= 0.92, "completed in time %.3f", mean_completed);
}

/*
 * Guards against counting the queue of a short burst as standing. Requests make
 * their calls in bursts: every 50 ms the load reaches three times the limit,
 * and the queue is gone 30 ms later. Callers of the whole chain were refused on
 * behalf of a service that was idle for half of the time.
 */
static void
test_bursts(void)
{
	static const struct {
		const char *name;
		unsigned overloaded_ms; /* of each 50 ms, at 3x the limit */
		bool expect_refusals;
	} rows[] = {
		{ "bursts that drain", 30, false },
		{ "standing queue", 50, true },
	};
	struct loom_throttle_control control;
	unsigned i, ms;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		loom_throttle_control_init(&control, S);
		for (ms = 0; ms < 3000; ms += 5)
			loom_throttle_control_update(&control,
			    ms % 50 < rows[i].overloaded_ms ? 3.0 : 0.6,
			    S + ms * MS);
		TEST_CHECK((control.share < 0.5) == rows[i].expect_refusals,
		    "%s: %.2f", rows[i].name, control.share);
	}
}

/*
 * 30% of the requests are critical and make five calls each; the rest are low
 * and make ten. With a share of one half, all critical ones and some of the low
 * ones have to be admitted.
 */
static void
test_admission_by_rank(void)
{
	struct loom_throttle *gate = loom_throttle_new(NULL);
	struct loom_random random = test_random_new(5);
	unsigned admitted[2] = { 0 }, offered[2] = { 0 }, i, kind;
	double calls, admitted_calls = 0, offered_calls = 0;
	uint64_t now_us = S;
	bool admitted_now;

	TEST_CHECK(
	    loom_throttle_admit(gate, SERVICE, 1000, 10, now_us), "unknown");
	for (i = 0; i < 20000; i++) {
		now_us += 2 * MS;
		loom_throttle_add_report(gate, SERVICE, 0.5, now_us);
		kind = loom_random_unit(&random) < 0.3 ? 0 : 1;
		calls = kind == 0 ? 5 : 10;
		admitted_now = loom_throttle_admit(gate, SERVICE,
		    loom_shed_rank(kind == 0 ? LOOM_CRITICAL : LOOM_LOW,
			random.next(random.arg)),
		    calls, now_us);
		offered[kind]++;
		offered_calls += calls;
		admitted[kind] += admitted_now;
		admitted_calls += admitted_now ? calls : 0;
	}
	TEST_CHECK(admitted[0] > 0.99 * offered[0], "critical %u", admitted[0]);
	TEST_CHECK(fabs(admitted_calls / offered_calls - 0.5) < 0.03,
	    "calls %.3f", admitted_calls / offered_calls);
	TEST_CHECK(loom_throttle_report_age_us(gate, SERVICE, now_us) == 0,
	    "age right after a report");
	now_us += 2 * S;
	TEST_CHECK(loom_throttle_share(gate, SERVICE, now_us) >= 1,
	    "share without reports");
	TEST_CHECK(
	    loom_throttle_report_age_us(gate, SERVICE, now_us) == 2 * S, "age");
	TEST_CHECK(loom_throttle_report_age_us(gate, SERVICE + 1, now_us) == 0,
	    "age without a report");
	test_random_free(&random);
	talloc_free(gate);
}

/*
 * Guards against entries that flood a saturated service again when they have
 * received no report for a second, and again after the next report.
 */
static void
test_recovery_without_reports(void)
{
	static const struct {
		double reported_share;
		unsigned silent_ms;
		double min, max;
	} rows[] = {
		{ 0.02, 400, 0.02, 0.021 },
		{ 0.02, 800, 0.02, 0.06 },
		{ 0.02, 1000, 0.02, 0.1 },
		{ 0.02, 2000, 0.9, 1 },
		{ 0.5, 1000, 0.9, 1 },
		{ 0, 400, 0, 0.001 },
		{ 0, 3100, 0.9, 1 },
	};
	struct loom_throttle *gate;
	uint64_t now_us;
	double share;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		gate = loom_throttle_new(NULL);
		for (now_us = S; now_us < 3 * S; now_us += 50 * MS)
			loom_throttle_add_report(
			    gate, SERVICE, rows[i].reported_share, now_us);
		now_us += (rows[i].silent_ms - 50) * MS;
		share = loom_throttle_share(gate, SERVICE, now_us);
		TEST_CHECK(share >= rows[i].min && share <= rows[i].max,
		    "row %zu: %.3f", i, share);
		loom_throttle_add_report(
		    gate, SERVICE, rows[i].reported_share, now_us);
		share = loom_throttle_share(gate, SERVICE, now_us);
		TEST_CHECK(share <= rows[i].reported_share + 0.001,
		    "row %zu: %.3f after a report", i, share);
		talloc_free(gate);
	}
}

/*
 * Two routes of one importance make ten calls and a single call per request,
 * and half of the calls fit. Guards against refusing half of each route's
 * requests at random, although the cheap ones need a tenth of the capacity
 * each.
 */
static void
test_cheap_requests(void)
{
	struct loom_throttle *gate = loom_throttle_new(NULL);
	struct loom_random random = test_random_new(3);
	unsigned admitted[2] = { 0 }, offered[2] = { 0 }, i, kind;
	uint64_t now_us = S;

	for (i = 0; i < 20000; i++) {
		now_us += 2 * MS;
		loom_throttle_add_report(gate, SERVICE, 0.5, now_us);
		kind = loom_random_unit(&random) < 0.2 ? 0 : 1;
		offered[kind]++;
		admitted[kind] += loom_throttle_admit(gate, SERVICE,
		    loom_shed_rank(LOOM_LOW, random.next(random.arg)),
		    kind == 0 ? 1 : 10, now_us);
	}
	TEST_CHECK(admitted[0] > 0.9 * offered[0], "cheap %u of %u",
	    admitted[0], offered[0]);
	TEST_CHECK(admitted[1] > 0.45 * offered[1], "costly %u of %u",
	    admitted[1], offered[1]);
	test_random_free(&random);
	talloc_free(gate);
}

/*
 * Requests of 100 ms whose upstream waits 60 ms of them for calls of its own.
 * Two concurrent calls count as one wait.
 */
static void
test_wait_share(void)
{
	static const struct {
		unsigned inner; /* concurrent */
		unsigned wait_ms;
		double share;
	} rows[] = { { 0, 0, 0 }, { 1, 60, 0.6 }, { 2, 60, 0.6 },
		{ 1, 100, 0.95 } };
	struct loom_wait_share share;
	uint64_t now_us;
	unsigned i, j;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		share = (struct loom_wait_share){ .updated_us = S };
		for (now_us = S; now_us < 6 * S; now_us += 100 * MS) {
			loom_wait_share_update(&share, 1, 0, now_us);
			for (j = 0; j < rows[i].inner; j++)
				loom_wait_share_update(&share, 0, 1, now_us);
			for (j = 0; j < rows[i].inner; j++)
				loom_wait_share_update(&share, 0, -1,
				    now_us + rows[i].wait_ms * MS);
			loom_wait_share_update(
			    &share, -1, 0, now_us + 100 * MS);
		}
		TEST_CHECK(fabs(loom_wait_share(&share) - rows[i].share) < 0.05,
		    "row %u: wait share %.3f", i, loom_wait_share(&share));
	}
}

#define REQUESTS_MAX 512

struct request {
	uint64_t route;
	uint64_t began_us;
	uint64_t end_us;
	uint64_t next_us; /* when it makes its next call */
	unsigned calls; /* not made yet */
};

/*
 * Uploads make no calls, lookups make five consecutive ones, each taking a
 * sixth of the lookup's time. Requests arrive at random.
 */
static void
simulate_fanout(struct loom_fanout *fanout, double upload_per_s,
    double lookup_per_s, unsigned seconds, uint64_t seed)
{
	struct loom_random random = test_random_new(seed);
	struct request requests[REQUESTS_MAX] = { 0 };
	uint64_t now_us, route, duration_us;
	unsigned i;

	for (now_us = S; now_us < (1 + seconds) * S; now_us += MS) {
		for (i = 0; i < REQUESTS_MAX; i++) {
			if (requests[i].route == 0)
				continue;
			if (requests[i].calls > 0 &&
			    now_us >= requests[i].next_us) {
				loom_fanout_add_call(fanout, 99, now_us);
				requests[i].calls--;
				requests[i].next_us += 15 * MS;
			}
			if (now_us >= requests[i].end_us) {
				loom_fanout_end(fanout, requests[i].route,
				    requests[i].began_us, now_us);
				requests[i].route = 0;
			}
		}
		route = 0;
		if (loom_random_unit(&random) < upload_per_s / 1e3)
			route = 1;
		else if (loom_random_unit(&random) < lookup_per_s / 1e3)
			route = 2;
		for (i = 0; route != 0 && requests[i].route != 0; i++)
			;
		if (route == 0)
			continue;
		duration_us = route == 1 ? 72 * MS : 90 * MS;
		loom_fanout_begin(fanout, route, now_us);
		requests[i] = (struct request){
			.route = route,
			.began_us = now_us,
			.end_us = now_us + duration_us,
			.next_us = now_us + 5 * MS,
			.calls = route == 1 ? 0 : 5,
		};
	}
	test_random_free(&random);
}

/*
 * Guards against attributing calls to a route that makes none. Beside a route
 * that is twenty times as frequent and makes all the calls, the fit attributed
 * some to the rare one by chance, and at least half of its callers were refused
 * on behalf of a service that it never calls. The estimate for the frequent
 * route has to hold from the first second on.
 */
static void
test_fanout(void)
{
	static const struct {
		double upload_per_s, lookup_per_s;
		unsigned seconds;
		double error_max; /* of the five calls of a lookup */
	} rows[] = {
		{ 8, 80, 1, 2 },
		{ 8, 80, 9, 0.5 },
		{ 8, 160, 2, 1 },
		{ 8, 160, 5, 0.5 },
		{ 8, 160, 20, 0.5 },
		{ 40, 80, 9, 0.5 },
	};
	struct loom_fanout *fanout;
	double upload, lookup;
	uint64_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		for (seed = 11; seed < 17; seed++) {
			fanout = loom_fanout_new(NULL, S);
			simulate_fanout(fanout, rows[i].upload_per_s,
			    rows[i].lookup_per_s, rows[i].seconds, seed);
			upload = loom_fanout_calls_per_request(fanout, 1, 99);
			lookup = loom_fanout_calls_per_request(fanout, 2, 99);
			TEST_CHECK(
			    upload == 0, "row %zu: upload %.2f", i, upload);
			TEST_CHECK(fabs(lookup - 5) < rows[i].error_max,
			    "row %zu: lookup %.2f", i, lookup);
			TEST_CHECK(
			    loom_fanout_calls_per_request(fanout, 3, 99) == 0,
			    "unknown route");
			TEST_CHECK(
			    loom_fanout_calls_per_request(fanout, 1, 98) == 0,
			    "unknown inner route");
			talloc_free(fanout);
		}
	}
}

/*
 * Guards against an estimate of hundreds of calls per request after a start,
 * when many requests have made calls and only the first have ended.
 */
static void
test_fanout_start(void)
{
	enum {
		CALL_MS = 80,
		SIMULATED_MS = 8000
	};
	static const struct {
		unsigned gap_ms; /* mean time between requests */
		unsigned calls; /* one every 80 ms; 80 ms later it ends */
	} rows[] = { { 2, 8 }, { 10, 8 }, { 40, 8 }, { 10, 2 } };
	static bool starts[SIMULATED_MS];
	struct loom_fanout *fanout;
	struct loom_random random;
	double calls = 0, max;
	unsigned ms, i, delay_ms;
	size_t row;

	for (row = 0; row < G_N_ELEMENTS(rows); row++) {
		random = test_random_new(11);
		fanout = loom_fanout_new(NULL, S);
		max = 0;
		for (ms = 0; ms < SIMULATED_MS; ms++) {
			starts[ms] =
			    loom_random_unit(&random) * rows[row].gap_ms < 1;
			if (starts[ms])
				loom_fanout_begin(fanout, 1, S + ms * MS);
			for (i = 1; i <= rows[row].calls; i++) {
				delay_ms = i * CALL_MS;
				if (ms >= delay_ms && starts[ms - delay_ms])
					loom_fanout_add_call(
					    fanout, 99, S + ms * MS);
			}
			delay_ms = (rows[row].calls + 1) * CALL_MS;
			if (ms >= delay_ms && starts[ms - delay_ms])
				loom_fanout_end(fanout, 1,
				    S + (ms - delay_ms) * MS, S + ms * MS);
			calls = loom_fanout_calls_per_request(fanout, 1, 99);
			max = MAX(max, calls);
		}
		TEST_CHECK(max <= 2 * rows[row].calls,
		    "row %zu: %.1f calls at most", row, max);
		TEST_CHECK(
		    fabs(calls - rows[row].calls) <= 0.1 * rows[row].calls,
		    "row %zu: %.2f calls at the end", row, calls);
		talloc_free(fanout);
		test_random_free(&random);
	}
}

/*
 * Answers come from the executors of a service in turn, and only some of them
 * are full. Guards against those deciding alone how much is admitted, while the
 * others carry whatever is offered and report nothing.
 */
static void
test_few_reports(void)
{
	static const struct {
		unsigned executors, reporting;
		double reported, mean_min, mean_max;
	} rows[] = {
		{ 8, 0, 0, 1, 1 },
		{ 8, 1, 0.02, 0.85, 0.9 },
		{ 8, 4, 0.4, 0.67, 0.73 },
		{ 8, 8, 0.4, 0.39, 0.41 },
		{ 1, 1, 0.4, 0.39, 0.41 },
	};
	struct loom_throttle *throttle;
	struct loom_random random = test_random_new(7);
	uint64_t now_us;
	double sum, mean;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		throttle = loom_throttle_new(NULL);
		sum = 0;
		for (now_us = S; now_us < 21 * S; now_us += MS) {
			if (loom_random_below(&random, rows[i].executors) <
			    rows[i].reporting)
				loom_throttle_add_report(throttle, SERVICE,
				    rows[i].reported, now_us);
			else
				loom_throttle_add_omission(
				    throttle, SERVICE, now_us);
			sum += loom_throttle_share(throttle, SERVICE, now_us);
		}
		mean = sum / 20000;
		TEST_CHECK(mean >= rows[i].mean_min && mean <= rows[i].mean_max,
		    "row %zu: %.3f", i, mean);
		talloc_free(throttle);
	}
	test_random_free(&random);
}

/*
 * Two daemons each enter requests that the other one runs, and so hear of a
 * third service from each other. Guards against a share of it that both pass on
 * to each other for good, after its executors have nothing to report any more.
 */
static void
test_hearsay(void)
{
	struct loom_throttle *daemons[2] = { loom_throttle_new(NULL),
		loom_throttle_new(NULL) };
	uint64_t now_us;
	double share;
	unsigned i;

	for (now_us = S; now_us < 6 * S; now_us += 10 * MS) {
		/* the first one also makes calls to the service itself */
		if (now_us < 2 * S)
			loom_throttle_add_report(
			    daemons[0], SERVICE, 0.8, now_us);
		else
			loom_throttle_add_omission(daemons[0], SERVICE, now_us);
		for (i = 0; i < 2; i++) {
			share =
			    loom_throttle_share(daemons[i], SERVICE, now_us);
			if (share < 1.0)
				loom_throttle_add_report(
				    daemons[1 - i], SERVICE, share, now_us);
		}
	}
	for (i = 0; i < 2; i++) {
		share = loom_throttle_share(daemons[i], SERVICE, now_us);
		TEST_CHECK(share > 0.99, "daemon %u: %.3f", i, share);
		talloc_free(daemons[i]);
	}
}

static const struct test_case tests[] = {
	{ "wait share", test_wait_share },
	{ "control", test_control },
	{ "call chains", test_call_chains },
	{ "chains after an overload", test_chains_after_overload },
	{ "bursts", test_bursts },
	{ "gate", test_admission_by_rank },
	{ "recovery without reports", test_recovery_without_reports },
	{ "cheap requests", test_cheap_requests },
	{ "few reports", test_few_reports },
	{ "hearsay", test_hearsay },
	{ "fan-out", test_fanout },
	{ "fan-out after a start", test_fanout_start },
};

TEST_MAIN("keep", tests)
