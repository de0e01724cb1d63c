/*
 * Tests of handing calls back: an upstream that has become slow a moment ago
 * gets calls from entries that have not heard of it.
 */

#include <stdio.h>

#include "decide/hand_back.h"
#include "loom/clock.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define SEED 3
#define CALLS 400
#define SHARE 0.25
#define BURST 4

static uint32_t
decide_times(struct hand_back *state, const struct hand_back_facts *facts,
    uint32_t calls)
{
	uint32_t handed_back = 0, i;

	for (i = 0; i < calls; i++)
		handed_back += hand_back_decide(state, facts);
	return handed_back;
}

/* Guards against a call that is handed back without a clear gain, and against
 * more of them than the other hosts can take at once. */
static void
test_decisions(void)
{
	static const struct {
		const char *name;
		struct hand_back_facts facts;
		bool handed_back;
	} rows[] = {
		{ "long wait here, a free host",
		    { 200 * MS, 20 * MS, 25 * MS, LOOM_US_PER_S }, true },
		{ "very long wait, a wait there too",
		    { 900 * MS, 50 * MS, 300 * MS, LOOM_US_PER_S }, true },
		{ "a slot is free here, slow machine",
		    { 0, 400 * MS, 20 * MS, LOOM_US_PER_S }, false },
		{ "as good there",
		    { 200 * MS, 20 * MS, 220 * MS, LOOM_US_PER_S }, false },
		{ "worse there", { 200 * MS, 20 * MS, 900 * MS, LOOM_US_PER_S },
		    false },
		{ "gain within the error",
		    { 200 * MS, 20 * MS, 170 * MS, LOOM_US_PER_S }, false },
		{ "gain within the way there",
		    { 4 * MS, 2 * MS, 1 * MS, LOOM_US_PER_S }, false },
		{ "too late there as well",
		    { 900 * MS, 20 * MS, 300 * MS, 250 * MS }, false },
		{ "absurd estimates",
		    { UINT64_MAX, UINT64_MAX, UINT64_MAX, LOOM_US_PER_S },
		    false },
	};
	struct hand_back state;
	uint32_t n;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		state = (struct hand_back){ 0 };
		n = decide_times(&state, &rows[i].facts, CALLS);
		TEST_CHECK((n > 0) == rows[i].handed_back &&
			n <= CALLS * SHARE + BURST,
		    "%s: %u of %u", rows[i].name, n, CALLS);
	}
}

/* Guards against one wrong estimate, or a gain at the threshold, that turns
 * handing back on and off with each call. */
static void
test_hysteresis(void)
{
	const struct hand_back_facts clear = { 400 * MS, 20 * MS, 50 * MS,
		LOOM_US_PER_S };
	/* a gain of 1.3 margins */
	const struct hand_back_facts slight = { 200 * MS, 20 * MS, 142 * MS,
		LOOM_US_PER_S };
	const struct hand_back_facts none = { 20 * MS, 20 * MS, 40 * MS,
		LOOM_US_PER_S };
	struct hand_back state = { 0 };

	TEST_CHECK(!hand_back_decide(&state, &clear), "by a single estimate");
	TEST_CHECK(decide_times(&state, &slight, CALLS) == 0,
	    "begins with a slight gain");
	TEST_CHECK(decide_times(&state, &clear, 40) > 0,
	    "does not begin with a clear gain");
	TEST_CHECK(decide_times(&state, &slight, CALLS) > 0,
	    "ends with a slight gain");
	decide_times(&state, &none, 20);
	TEST_CHECK(decide_times(&state, &slight, CALLS) == 0,
	    "does not end without a gain");
}

/*
 * Four hosts, one of which is slow for a while; entries send each of them the
 * same number of calls, as they do before they have heard of it, and know the
 * waits of some time ago.  Calls are served in order.
 */
#define HOSTS 4
#define SLOTS 8
#define SERVICE_US (40 * MS)
#define KNOWN_AGE_STEPS 300 /* of 1 ms */
#define STEPS 4000
#define SLOW_FROM 1000
#define SLOW_UNTIL 1600
#define SLOW_FACTOR 2.5
#define USED 0.75 /* of all slots */

struct fleet {
	double queue[HOSTS]; /* calls that wait or run */
	double wait_us[HOSTS][STEPS];
	struct hand_back states[HOSTS];
	double waited_us; /* sum over calls */
	uint32_t calls;
	uint32_t handed_back;
};

static double
pace_of(uint32_t host, uint32_t step)
{
	return host == 0 && step >= SLOW_FROM && step < SLOW_UNTIL ? SLOW_FACTOR
								   : 1;
}

static void
serve(struct fleet *fleet, uint32_t step)
{
	const double per_step = (double)SLOTS * MS / SERVICE_US;
	double served, waiting;
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		served = MIN(fleet->queue[i] / SLOTS, 1) * per_step /
		    pace_of(i, step);
		fleet->queue[i] -= MIN(served, fleet->queue[i]);
		waiting = MAX(fleet->queue[i] - SLOTS, 0);
		fleet->wait_us[i][step] =
		    waiting * SERVICE_US * pace_of(i, step) / SLOTS;
	}
}

static uint32_t
best_known_except(const struct fleet *fleet, uint32_t host, uint32_t step)
{
	const uint32_t known =
	    step > KNOWN_AGE_STEPS ? step - KNOWN_AGE_STEPS : 0;
	uint32_t best = host == 0 ? 1 : 0, i;

	for (i = 0; i < HOSTS; i++) {
		if (i != host &&
		    fleet->wait_us[i][known] < fleet->wait_us[best][known])
			best = i;
	}
	return best;
}

static void
send_call(struct fleet *fleet, uint32_t host, uint32_t step, bool may_hand_back)
{
	const uint32_t known =
	    step > KNOWN_AGE_STEPS ? step - KNOWN_AGE_STEPS : 0;
	const uint32_t other = best_known_except(fleet, host, step);
	const struct hand_back_facts facts = {
		.wait_us = (uint64_t)fleet->wait_us[host][step],
		.run_us = (uint64_t)(SERVICE_US * pace_of(host, step)),
		.else_us =
		    (uint64_t)(fleet->wait_us[other][known] + SERVICE_US),
		.remaining_us = LOOM_US_PER_S,
	};

	if (may_hand_back && hand_back_decide(&fleet->states[host], &facts)) {
		fleet->handed_back++;
		host = other;
	}
	fleet->queue[host] += 1;
	fleet->waited_us += fleet->wait_us[host][step];
	fleet->calls++;
}

static struct fleet *
play_fleet(bool may_hand_back)
{
	struct loom_random random = test_random_new(SEED);
	struct fleet *fleet = g_new0(struct fleet, 1);
	const double per_step = USED * HOSTS * SLOTS * (double)MS / SERVICE_US;
	uint32_t step, sent = 0;

	for (step = 0; step < STEPS; step++) {
		serve(fleet, step);
		for (; sent < (step + 1) * per_step; sent++)
			send_call(fleet,
			    (uint32_t)loom_random_below(&random, HOSTS), step,
			    may_hand_back);
	}
	test_random_free(&random);
	return fleet;
}

/* Guards against calls that wait at a slow host while others have room, and
 * against calls that swing to another host all at once and wait there. */
static void
test_slow_spell(void)
{
	struct fleet *without = play_fleet(false);
	struct fleet *with = play_fleet(true);
	double wait_max_us = 0;
	uint32_t step;

	for (step = 0; step < STEPS; step++)
		wait_max_us = MAX(wait_max_us, with->wait_us[1][step]);
	TEST_CHECK(with->waited_us < 0.75 * without->waited_us,
	    "mean wait %.1f ms, %.1f without",
	    with->waited_us / with->calls / 1e3,
	    without->waited_us / without->calls / 1e3);
	TEST_CHECK(
	    wait_max_us < 100e3, "%.1f ms at another host", wait_max_us / 1e3);
	TEST_CHECK(with->handed_back <= with->calls * SHARE,
	    "%u of %u handed back", with->handed_back, with->calls);
	printf("slow spell: mean wait %.1f ms, %.1f without handing back; "
	       "%u of %u calls handed back\n",
	    with->waited_us / with->calls / 1e3,
	    without->waited_us / without->calls / 1e3, with->handed_back,
	    with->calls);
	g_free(with);
	g_free(without);
}

static const struct test_case tests[] = {
	{ "decisions", test_decisions },
	{ "hysteresis", test_hysteresis },
	{ "slow spell", test_slow_spell },
};

TEST_MAIN("hand back", tests)
