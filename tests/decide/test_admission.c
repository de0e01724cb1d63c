/*
 * Admission control under simulated load: which share of its calls each group
 * of callers gets served.  The upstream has 20 slots and a service time of 20
 * ms, that is 1000 calls per second, unless a row says otherwise.
 */

#include <math.h>
#include <pthread.h>
#include <talloc.h>

#include "loom/return_schedule.h"
#include "support/simulation.h"
#include "support/test.h"

#define SLOTS .slots = 20, .queue = 40, .service_ms = 20
#define ALWAYS .from_ms = 0, .until_ms = 3000
#define SURGE .from_ms = 1000, .until_ms = 2000
#define SEEDS 3

struct served_bounds {
	double min, max; /* share of the offered calls; max 0: no bound */
};

struct pattern {
	const char *name;
	struct simulated_upstream upstream;
	struct simulated_load loads[SIMULATED_LOADS];
	struct served_bounds served[SIMULATED_LOADS];
};

/*
 * Each row: who sends what, and which share of it is answered in time.  The
 * comment above a row says what happens and why callers get this share.
 */
static const struct pattern
    patterns[] = {
	    /* A burst that fits the queue: no call is refused. */
	    { .name = "short burst",
		.upstream = { SLOTS },
		.loads = { { .team = 1,
		    .per_s = 2000,
		    .from_ms = 100,
		    .until_ms = 130 } },
		.served = { { .min = 1 } } },
	    /* Load below capacity: no call is refused, whatever the mix. */
	    { .name = "0.8 of capacity",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .per_s = 400, ALWAYS },
		    { .team = 2,
			.per_s = 400,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.999 }, { .min = 0.995 } } },
	    /* Saturation: all important calls are served while the others fill
	     * the remaining capacity. */
	    { .name = "1 of capacity",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .per_s = 200, ALWAYS },
		    { .team = 1,
			.per_s = 800,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.999 }, { .min = 0.9 } } },
	    { .name = "1.5 of capacity",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .per_s = 200, ALWAYS },
		    { .team = 1,
			.per_s = 1300,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.999 }, { .min = 0.57, .max = 0.66 } } },
	    { .name = "3 of capacity",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .per_s = 200, ALWAYS },
		    { .team = 1,
			.per_s = 2800,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.99 }, { .min = 0.26, .max = 0.32 } } },
	    { .name = "10 of capacity",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .per_s = 200, ALWAYS },
		    { .team = 1,
			.per_s = 9800,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.99 }, { .min = 0.07, .max = 0.1 } } },
	    /* Important calls arrive while the queue is full of less important
	     * ones of the same team and of others: they displace those. */
	    { .name = "important calls arrive late",
		.upstream = { SLOTS },
		.loads = { { .team = 1,
			       .per_s = 100,
			       .from_ms = 1000,
			       .until_ms = 2500,
			       .importance = LOOM_CRITICAL },
		    { .team = 1,
			.per_s = 1500,
			.importance = LOOM_LOW,
			ALWAYS },
		    { .team = 2,
			.per_s = 1500,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.999 }, { .min = 0.2 },
		    { .min = 0.2 } } },
	    /* One team sends ten times its share: the other teams keep
	     * theirs. */
	    { .name = "one team floods",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .weight = 10, .per_s = 8000, ALWAYS },
		    { .team = 2, .weight = 10, .per_s = 300, ALWAYS },
		    { .team = 3, .weight = 2, .per_s = 50, ALWAYS } },
		.served = { { .min = 0.07, .max = 0.09 }, { .min = 0.995 },
		    { .min = 0.99 } } },
	    /* Both teams ask for more than there is: they share the capacity by
	     * weight, 3 to 1. */
	    { .name = "shares follow weights",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .weight = 3, .per_s = 2000, ALWAYS },
		    { .team = 2, .weight = 1, .per_s = 2000, ALWAYS } },
		.served = { { .min = 0.35, .max = 0.39 },
		    { .min = 0.11, .max = 0.14 } } },
	    /* The upstream is three times as slow for one second: a third of
	     * the calls is served, all important ones among them, and every
	     * call after it has recovered. */
	    { .name = "slow upstream",
		.upstream = { SLOTS, .slow_from_ms = 1000,
		    .slow_until_ms = 2000, .slow_factor = 3 },
		.loads = { { .team = 1, .per_s = 100, SURGE },
		    { .team = 1, .per_s = 700, .importance = LOOM_LOW, SURGE },
		    { .team = 1,
			.per_s = 800,
			.importance = LOOM_LOW,
			.from_ms = 2300,
			.until_ms = 3000 } },
		.served = { { .min = 0.99 }, { .min = 0.25 },
		    { .min = 0.99 } } },
	    /* Long calls among short ones: both kinds are served in turn, and a
	     * long call that cannot finish before its deadline is refused at
	     * once. */
	    { .name = "long among short",
		.upstream = { SLOTS },
		.loads = { { .team = 1, .per_s = 500, ALWAYS },
		    { .team = 1,
			.per_s = 20,
			.call_class = 1,
			.service_ms = 200,
			ALWAYS },
		    { .team = 1,
			.per_s = 20,
			.call_class = 2,
			.service_ms = 200,
			.deadline_ms = 100,
			.from_ms = 1000,
			.until_ms = 3000 } },
		.served = { { .min = 0.98 }, { .min = 0.98 },
		    { .max = 0.01 } } },
	    /* The upstream has half of the declared slots and does not report
	     * it: the limit is found by measurement, and importance still
	     * decides. */
	    { .name = "fewer slots than declared",
		.upstream = { SLOTS, .actual_slots = 10 },
		.loads = { { .team = 1, .per_s = 100, ALWAYS },
		    { .team = 1,
			.per_s = 900,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.99 }, { .min = 0.39 } } },
	    /* The upstream always reports that it is full: the report is
	     * ignored while there are latency samples. */
	    { .name = "always reports that it is full",
		.upstream = { SLOTS, .reports_full = true },
		.loads = { { .team = 1, .per_s = 800, ALWAYS } },
		.served = { { .min = 0.99 } } },
	    /* A new upstream ramps up: few calls are served at first, all
	     * later. */
	    { .name = "cold start",
		.upstream = { SLOTS, .cold_start_ms = 1000, .fresh = true },
		.loads = { { .team = 1,
			       .per_s = 900,
			       .from_ms = 0,
			       .until_ms = 200 },
		    { .team = 1,
			.per_s = 900,
			.from_ms = 1200,
			.until_ms = 3000 } },
		.served = { { .min = 0.1, .max = 0.6 }, { .min = 0.97 } } },
	    /* Few slots, many less important calls, and important calls that
	     * arrive in bunches: the short bound of a standing queue applies to
	     * the less important calls, not to those that can still be served
	     * in time. */
	    { .name = "bunches of important calls at few slots",
		.upstream = { .slots = 2, .queue = 32, .service_ms = 20 },
		.loads = { { .team = 1, .per_s = 80, ALWAYS },
		    { .team = 2,
			.per_s = 1000,
			.importance = LOOM_LOW,
			ALWAYS } },
		.served = { { .min = 0.99 }, { .max = 0.05 } } },
	    /* After a surge has ended, all calls are served again within 200
	     * ms. */
	    { .name = "surge ends",
		.upstream = { SLOTS },
		.loads = { { .team = 1,
			       .per_s = 10000,
			       SURGE,
			       .importance = LOOM_LOW },
		    { .team = 1,
			.per_s = 800,
			.importance = LOOM_LOW,
			.from_ms = 2200,
			.until_ms = 3000 } },
		.served = { { .min = 0.08 }, { .min = 0.99 } } },
    };

static void
check_pattern(const struct pattern *pattern, uint32_t seed)
{
	struct simulation_result result;
	double share;
	int i;

	simulate_load(&pattern->upstream, pattern->loads, 4500, seed, &result);
	TEST_CHECK(result.broken == 0, "%s: %u invariants broken",
	    pattern->name, result.broken);
	TEST_CHECK(result.state.inside == 0 && result.state.waiting == 0,
	    "%s: %u in flight, %u waiting at the end", pattern->name,
	    result.state.inside, result.state.waiting);
	for (i = 0; i < SIMULATED_LOADS; i++) {
		if (result.loads[i].offered == 0)
			continue;
		share = served_share(&result.loads[i]);
		TEST_CHECK(share >= pattern->served[i].min,
		    "%s, load %d, seed %u: %.4f served, at least %.4f",
		    pattern->name, i, seed, share, pattern->served[i].min);
		TEST_CHECK(pattern->served[i].max == 0 ||
			share <= pattern->served[i].max,
		    "%s, load %d, seed %u: %.4f served, at most %.4f",
		    pattern->name, i, seed, share, pattern->served[i].max);
	}
}

static void
test_patterns(void)
{
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(patterns); i++) {
		for (seed = 1; seed <= SEEDS; seed++)
			check_pattern(&patterns[i], seed);
	}
}

/*
 * A caller whose call cannot be served learns it from an early refusal and not
 * from its timeout.  A long queue must not undo that: with short deadlines
 * calls are refused on arrival, and with long ones the newest calls are served
 * first, so that calls which run start soon.
 */
static const struct {
	const char *name;
	uint32_t queue;
	uint32_t deadline_ms;
	uint64_t refused_mean_us, refused_max_us;
	uint64_t took_mean_us; /* of those that ran */
	double late_max; /* of those that ran */
} refusal_delays[] = {
	{ "short queue", 40, 1000, 10000, 250000, 40000, 0 },
	{ "short deadline", 1000, 100, 10000, 100000, 100000, 0.02 },
	{ "long queue", 1000, 1000, 110000, 250000, 40000, 0 },
};

static void
test_refusals_are_early(void)
{
	struct simulated_load loads[SIMULATED_LOADS] = {
		{ .team = 1, .per_s = 10000, ALWAYS },
	};
	struct simulated_upstream upstream = { SLOTS };
	const struct load_outcome *outcome;
	struct simulation_result result;
	uint64_t ran, mean_refusal_us, mean_took_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusal_delays); i++) {
		upstream.queue = refusal_delays[i].queue;
		loads[0].deadline_ms = refusal_delays[i].deadline_ms;
		simulate_load(&upstream, loads, 4500, 1, &result);
		outcome = &result.loads[0];
		ran = outcome->served + outcome->late;
		mean_refusal_us =
		    outcome->refused_wait_sum_us / outcome->refused;
		mean_took_us = outcome->duration_sum_us / ran;
		TEST_CHECK(
		    mean_refusal_us <= refusal_delays[i].refused_mean_us &&
			outcome->refused_wait_max_us <=
			    refusal_delays[i].refused_max_us &&
			mean_took_us <= refusal_delays[i].took_mean_us &&
			outcome->late <=
			    refusal_delays[i].late_max * (double)ran,
		    "%s: refusals after %u us, at most %u; runs %u; %u late",
		    refusal_delays[i].name, (unsigned)mean_refusal_us,
		    (unsigned)outcome->refused_wait_max_us,
		    (unsigned)mean_took_us, outcome->late);
	}
}

/*
 * A waiting call that can no longer be served in time is refused as soon as
 * this is known, with a Retry-After.  A refusal only when its deadline is near
 * would just delay the caller's next attempt.  Load 0 is the one that is
 * refused.
 */
static const struct {
	const char *name;
	struct simulated_upstream upstream;
	struct simulated_load loads[SIMULATED_LOADS];
	uint32_t refused_min;
	uint64_t waited_max_us;
} unservable[] = {
	/* The only waiting call of a team used to be kept always, since it
	 * would be the team's next.  Here it is never served, because critical
	 * calls take the whole capacity. */
	{ "more important calls take the whole capacity", .upstream = { SLOTS },
	    .loads = { { .team = 1,
			   .per_s = 20,
			   .importance = LOOM_LOW,
			   .from_ms = 500,
			   .until_ms = 3000 },
		{ .team = 2, .per_s = 1500, .deadline_ms = 45, ALWAYS } },
	    .refused_min = 30, .waited_max_us = 200000 },
	/* Twenty calls wait for one service time, which fits their deadline.
	 * Then sixty critical calls arrive and are served first, and it no
	 * longer does. */
	{ "critical calls arrive later and go first",
	    .upstream = { .slots = 20, .queue = 100, .service_ms = 300 },
	    .loads = { { .team = 1,
			   .per_s = 2000,
			   .importance = LOOM_LOW,
			   .deadline_ms = 700,
			   .from_ms = 500,
			   .until_ms = 520 },
		{ .team = 2, .per_s = 3000, .from_ms = 530, .until_ms = 550 } },
	    .refused_min = 10, .waited_max_us = 70000 },
};

static void
test_unservable_calls(void)
{
	const struct load_outcome *outcome;
	struct simulation_result result;
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unservable); i++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			simulate_load(&unservable[i].upstream,
			    unservable[i].loads, 4500, seed, &result);
			outcome = &result.loads[0];
			TEST_CHECK(
			    outcome->refused >= unservable[i].refused_min,
			    "%s: %u refused", unservable[i].name,
			    outcome->refused);
			TEST_CHECK(outcome->refused_wait_max_us <=
				unservable[i].waited_max_us,
			    "%s: refused after %u us", unservable[i].name,
			    (unsigned)outcome->refused_wait_max_us);
			TEST_CHECK(
			    outcome->retry_after_min_us >= LOOM_RETURN_MIN_US,
			    "%s: Retry-After of %u us", unservable[i].name,
			    (unsigned)outcome->retry_after_min_us);
		}
	}
}

/* Calls take 20 ms here; a call with less time left cannot finish before its
 * deadline. */
static void
test_fits(void)
{
	struct loom_admission_settings settings = {
		.limit = { .slots = 100 },
		.queue = 1,
		.random = loom_random_system,
	};
	struct loom_call_result result = { .latency_us = 20000 };
	struct loom_admission_call call = { .deadline_us = LOOM_US_PER_S };
	struct loom_admission *admission =
	    loom_admission_new(NULL, &settings, 0);
	struct loom_verdicts verdict_lists;
	int i;

	loom_verdicts_init(&verdict_lists);
	for (i = 0; i < 100; i++)
		loom_admission_offer(admission, &call, 0, &verdict_lists);
	for (i = 0; i < 100; i++)
		loom_admission_done(
		    admission, &call, &result, 60000, &verdict_lists);
	loom_admission_tick(admission, 120000, &verdict_lists);
	CU_ASSERT_TRUE(loom_admission_can_finish(admission, &call, 979999));
	CU_ASSERT_FALSE(loom_admission_can_finish(admission, &call, 980001));
	talloc_free(admission);
}

#define QUEUED_CALLS 50
#define REDUCED_QUEUE 10

/* A new manifest leaves room for ten of the waiting calls: the others are
 * refused by the next tick, and not one by one as new calls arrive. */
static void
test_queue_shrinks(void)
{
	struct loom_admission_call calls[QUEUED_CALLS + 1] = { 0 };
	struct loom_admission_settings settings = {
		.limit = { .slots = 1 },
		.queue = QUEUED_CALLS,
		.random = loom_random_system,
	};
	struct loom_admission *admission =
	    loom_admission_new(NULL, &settings, 0);
	struct loom_verdicts verdict_lists;
	struct loom_admission_call *decided;
	int i, refused = 0;

	loom_verdicts_init(&verdict_lists);
	for (i = 0; i <= QUEUED_CALLS; i++) {
		calls[i].deadline_us = LOOM_US_PER_S;
		loom_admission_offer(admission, &calls[i], 0, &verdict_lists);
	}
	loom_admission_set_slots(admission, 1, REDUCED_QUEUE);
	loom_admission_tick(admission, 1, &verdict_lists);
	for (decided = verdict_lists.refused; decided != NULL;
	     decided = decided->next) {
		CU_ASSERT_EQUAL(decided->code, LOOM_OVERLOAD);
		CU_ASSERT(decided->retry_after_us >= LOOM_RETURN_MIN_US);
		refused++;
	}
	CU_ASSERT_EQUAL(refused, QUEUED_CALLS - REDUCED_QUEUE);
	talloc_free(admission);
}

/*
 * After a burst of 2000 calls, the refused callers obey Retry-After.  With
 * equal waits they would come back as the same burst, so the waits must be
 * spread over several seconds, in proportion to the length of the burst.
 */
static void
test_returns_spread(void)
{
	static const struct simulated_upstream upstream = { SLOTS };
	static const struct simulated_load loads[SIMULATED_LOADS] = {
		{ .team = 1,
		    .per_s = 20000,
		    .from_ms = 500,
		    .until_ms = 600,
		    .importance = LOOM_NORMAL },
	};
	const struct load_outcome *outcome;
	struct simulation_result result;

	simulate_load(&upstream, loads, 2000, 1, &result);
	outcome = &result.loads[0];
	CU_ASSERT(outcome->refused > 1000);
	CU_ASSERT(outcome->retry_after_min_us >= 200000);
	CU_ASSERT(outcome->retry_after_min_us < 1000000);
	CU_ASSERT(outcome->retry_after_max_us > 20000000);
}

/*
 * Callers cancel waiting calls during an overload: their places become free for
 * others, and no call gets two verdicts.
 */
static void
test_cancel(void)
{
	static const struct simulated_upstream upstream = { SLOTS };
	static const struct simulated_load loads[SIMULATED_LOADS] = {
		{ .team = 1, .per_s = 1500, ALWAYS, .cancel_after_ms = 5 },
		{ .team = 2, .per_s = 1500, ALWAYS },
	};
	struct simulation_result result;

	simulate_load(&upstream, loads, 4000, 1, &result);
	CU_ASSERT_EQUAL(result.broken, 0);
	CU_ASSERT(result.loads[0].cancelled > 100);
	CU_ASSERT_EQUAL(result.state.waiting, 0);
}

/* Random upstreams under random loads: checks only the invariants. */
static void
test_invariants(void)
{
	struct simulated_load loads[SIMULATED_LOADS];
	struct simulated_upstream upstream;
	struct loom_random random;
	struct simulation_result result;
	uint32_t seed;
	int i;

	for (seed = 1; seed <= 40; seed++) {
		random = test_random_new(seed);
		upstream = (struct simulated_upstream){
			.slots = 1 + loom_random_below(&random, 60),
			.actual_slots = 1 + loom_random_below(&random, 60),
			.queue = 1 + loom_random_below(&random, 100),
			.service_ms = 1 + loom_random_below(&random, 80),
			.cold_start_ms = loom_random_below(&random, 1000),
			.slow_from_ms = 300,
			.slow_until_ms = 700,
			.slow_factor = 1 + 5 * loom_random_unit(&random),
			.reports_full = loom_random_below(&random, 2) == 1,
		};
		for (i = 0; i < SIMULATED_LOADS; i++) {
			loads[i] = (struct simulated_load){
				.team = loom_random_below(&random, 3),
				.weight = loom_random_below(&random, 1000),
				.importance =
				    (enum loom_importance)loom_random_below(
					&random, LOOM_IMPORTANCE_COUNT),
				.call_class =
				    (uint8_t)loom_random_below(&random, 256),
				.per_s = 3000 * loom_random_unit(&random),
				.from_ms = loom_random_below(&random, 500),
				.until_ms = 1000,
				.deadline_ms =
				    1 + loom_random_below(&random, 500),
				.cancel_after_ms =
				    loom_random_below(&random, 50),
			};
		}
		simulate_load(&upstream, loads, 4000, seed, &result);
		TEST_CHECK(
		    result.broken == 0, "seed %u: %u", seed, result.broken);
		TEST_CHECK(result.state.waiting == 0, "seed %u: %u waiting",
		    seed, result.state.waiting);
		test_random_free(&random);
	}
}

#define THREADS 4
#define THREAD_CALLS 5000

struct shared {
	struct loom_admission *admission;
	pthread_mutex_t lock;
	atomic_uint now_ms;
	atomic_int running; /* calls between their verdict and their end */
	atomic_int max_running;
	atomic_int verdicts;
};

struct thread_call {
	struct loom_admission_call waiting;
	atomic_int verdicts;
	atomic_int admitted;
};

static void
lock_shared(void *arg)
{
	pthread_mutex_lock(arg);
}

static void
unlock_shared(void *arg)
{
	pthread_mutex_unlock(arg);
}

static void
record_verdict(struct shared *shared, struct thread_call *call, bool admitted)
{
	int now, max_running;

	if (admitted) {
		now = atomic_fetch_add(&shared->running, 1) + 1;
		max_running = atomic_load(&shared->max_running);
		while (now > max_running &&
		    !atomic_compare_exchange_weak(
			&shared->max_running, &max_running, now))
			;
	}
	atomic_fetch_add(&shared->verdicts, 1);
	atomic_store(&call->admitted, admitted);
	atomic_fetch_add(&call->verdicts, 1);
}

static void
record_verdicts(
    struct shared *shared, const struct loom_verdicts *verdict_lists)
{
	struct loom_admission_call *decided, *next;

	for (decided = verdict_lists->admitted; decided != NULL;
	     decided = next) {
		next = decided->next;
		record_verdict(shared, decided->arg, true);
	}
	for (decided = verdict_lists->refused; decided != NULL;
	     decided = next) {
		next = decided->next;
		record_verdict(shared, decided->arg, false);
	}
}

static void
offer_and_finish(struct shared *shared, struct thread_call *call, uint64_t team)
{
	struct loom_call_result result = { .latency_us = 1000 };
	uint64_t now_us;
	struct loom_verdicts verdict_lists;
	enum loom_admission_verdict admit;

	now_us = atomic_fetch_add(&shared->now_ms, 1) * LOOM_US_PER_MS;
	*call = (struct thread_call){
		.waiting = { .team_id = team,
		    .importance = LOOM_NORMAL,
		    .deadline_us = now_us + LOOM_US_PER_S,
		    .arg = call },
	};
	loom_verdicts_init(&verdict_lists);
	admit = loom_admission_offer(
	    shared->admission, &call->waiting, now_us, &verdict_lists);
	if (admit != LOOM_QUEUED)
		record_verdict(shared, call, admit == LOOM_ADMITTED);
	record_verdicts(shared, &verdict_lists);
	while (atomic_load(&call->verdicts) == 0)
		g_thread_yield();
	if (!atomic_load(&call->admitted))
		return;
	atomic_fetch_sub(&shared->running, 1);
	loom_verdicts_init(&verdict_lists);
	loom_admission_done(shared->admission, &call->waiting, &result,
	    atomic_load(&shared->now_ms) * LOOM_US_PER_MS, &verdict_lists);
	record_verdicts(shared, &verdict_lists);
}

static void *
run_calls(void *data)
{
	static atomic_uint threads;
	struct shared *shared = data;
	struct thread_call call;
	uint64_t team = atomic_fetch_add(&threads, 1);
	int i;

	for (i = 0; i < THREAD_CALLS; i++)
		offer_and_finish(shared, &call, team);
	return NULL;
}

/*
 * Four threads offer calls to an upstream of two slots, and each waits for the
 * verdict on its call, which often comes from another thread.  Every call gets
 * exactly one verdict, and never more than two run.
 */
static void
test_threads(void)
{
	struct shared shared = { 0 };
	struct loom_admission_settings settings = {
		.limit = { .slots = 2 },
		.queue = 8,
		.lock = { lock_shared, unlock_shared, &shared.lock },
		.random = loom_random_system,
	};
	struct loom_admission_state state;
	pthread_t threads[THREADS];
	int i;

	pthread_mutex_init(&shared.lock, NULL);
	shared.admission = loom_admission_new(NULL, &settings, 0);
	for (i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, run_calls, &shared);
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	loom_admission_state(shared.admission, &state);
	CU_ASSERT_EQUAL(state.inside, 0);
	CU_ASSERT_EQUAL(state.waiting, 0);
	CU_ASSERT_EQUAL(atomic_load(&shared.verdicts), THREADS * THREAD_CALLS);
	TEST_CHECK(atomic_load(&shared.max_running) <= 2, "%d ran at once",
	    atomic_load(&shared.max_running));
	talloc_free(shared.admission);
	pthread_mutex_destroy(&shared.lock);
}

static void
tick_until(struct loom_admission *adm, uint64_t end_us)
{
	struct loom_verdicts verdict_lists;
	uint64_t now_us;

	loom_verdicts_init(&verdict_lists);
	for (now_us = 0; now_us < end_us; now_us += 5000)
		loom_admission_tick(adm, now_us, &verdict_lists);
}

/* Calls so short that the daemon is saturated and its upstream is not: the
 * entries must be told, or they send on more than the daemon's threads can
 * handle. */
static void
test_busy_daemon(void)
{
	static const struct {
		double busy;
		bool refuses;
	} cases[] = {
		{ 0.5, false },
		{ 0.7, false },
		{ 0.95, true },
		{ 1, true },
	};
	const struct loom_admission_settings settings = {
		.limit = { .slots = 20 },
		.queue = 40,
	};
	struct loom_admission *adm;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		adm = loom_admission_new(NULL, &settings, 0);
		loom_admission_set_busy(adm, cases[i].busy);
		tick_until(adm, 5 * LOOM_US_PER_S);
		TEST_CHECK((loom_admission_throttle_share(adm) < 0.9) ==
			cases[i].refuses,
		    "%.2f: %.3f", cases[i].busy,
		    loom_admission_throttle_share(adm));
		talloc_free(adm);
	}
}

/* Guards against entries that learn too slowly of a daemon out of processor
 * time, which then works on requests whose callers have left: what waits for
 * its event loop is a queue like any other. */
static void
test_late_loop(void)
{
	static const struct {
		uint64_t lag_ms;
		double share_min, share_max; /* after half a second */
	} cases[] = {
		{ 0, 1, 1 },
		/* an idle loop, or a host suspended for a moment */
		{ 20, 1, 1 },
		{ 70, 0.4, 0.7 },
		{ 200, 0.1, 0.4 },
		{ 5000, 0, 0.1 },
	};
	const struct loom_admission_settings settings = {
		.limit = { .slots = 20 },
		.queue = 40,
	};
	struct loom_admission *adm;
	double share;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		adm = loom_admission_new(NULL, &settings, 0);
		loom_admission_set_loop_lag(
		    adm, cases[i].lag_ms * LOOM_US_PER_MS);
		tick_until(adm, LOOM_US_PER_S / 2);
		share = loom_admission_throttle_share(adm);
		TEST_CHECK(
		    share >= cases[i].share_min && share <= cases[i].share_max,
		    "%u ms: %.3f", (unsigned)cases[i].lag_ms, share);
		talloc_free(adm);
	}
}

/*
 * The share of chains holds at once and ends at once, and leaves requests of a
 * single call alone.  Guards against an
 * upstream to which entries send nothing more, so that nothing shows when it
 * accepts calls again.
 */
static void
test_chain_share(void)
{
	static const struct {
		const char *name;
		double set;
		double share;
	} rows[] = {
		{ "none", 1, 1 },
		{ "a third", 0.33, 0.33 },
		{ "nothing can be carried", 0, 0.02 },
		{ "over", 1, 1 },
	};
	struct loom_admission_settings settings = {
		.limit = { .slots = 100 },
		.queue = 1,
		.random = loom_random_system,
	};
	struct loom_admission *admission =
	    loom_admission_new(NULL, &settings, 0);
	double share;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		loom_admission_set_chain_share(admission, rows[i].set);
		share = loom_admission_chain_share(admission);
		TEST_CHECK(fabs(share - rows[i].share) < 1e-5, "%s: %.3f",
		    rows[i].name, share);
		share = loom_admission_throttle_share(admission);
		TEST_CHECK(
		    share >= 1, "%s, single calls: %.3f", rows[i].name, share);
	}
	talloc_free(admission);
}

static const struct test_case tests[] = {
	{ "share of chains", test_chain_share },
	{ "event loop lag", test_late_loop },
	{ "a busy daemon", test_busy_daemon },
	{ "patterns of load", test_patterns },
	{ "refusals are early", test_refusals_are_early },
	{ "unservable calls", test_unservable_calls },
	{ "fits", test_fits },
	{ "queue shrinks", test_queue_shrinks },
	{ "returns spread", test_returns_spread },
	{ "cancel", test_cancel },
	{ "invariants", test_invariants },
	{ "threads", test_threads },
};

TEST_MAIN("admission", tests)
