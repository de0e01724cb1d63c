/*
 * Whole requests let in by what a narrow service below can carry: the share
 * that its executor steers, what an entry makes of it, and what a request is
 * learned to cost.
 */

#include <limits.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "loom/fanout.h"
#include "loom/keep.h"
#include "loom/wait_share.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define S LOOM_US_PER_S
#define NARROW 7

/* A narrow service and the entries before it, in steps of 10 ms: what is let
 * in arrives when the news has come round, waits, and is served. */
struct play {
	double offered; /* of the capacity */
	double capacity; /* changes to it at half of the time */
	unsigned news_ms; /* until an entry hears, and its requests call */
};

#define STEP_MS 10
#define STEPS 2000 /* 20 s */
#define NEWS_MAX 200
#define PER_LIMIT 0.02 /* service time over the limit's: 20 ms in s */

static const struct {
	const char *name;
	struct play play;
	double served_min; /* of what can be, in the last 5 s */
	double waits_max; /* queue to the limit, mean of the last 5 s */
} cases[] = {
	{ "within the capacity",
	    { .offered = 0.7, .capacity = 1, .news_ms = 300 }, 0.99, 0.05 },
	{ "over it by 1.7", { .offered = 1.7, .capacity = 1, .news_ms = 300 },
	    0.92, 0.1 },
	{ "over it by 5", { .offered = 5, .capacity = 1, .news_ms = 300 }, 0.92,
	    0.1 },
	{ "halved", { .offered = 0.8, .capacity = 0.5, .news_ms = 300 }, 0.89,
	    0.1 },
	{ "doubled", { .offered = 1.7, .capacity = 2, .news_ms = 300 }, 0.95,
	    0.2 },
	{ "news late by a second",
	    { .offered = 1.7, .capacity = 1, .news_ms = 1000 }, 0.6, 1.5 },
};

static void
play(const struct play *play, double *served, double *waits)
{
	struct loom_keep_control control;
	double shares[NEWS_MAX] = { 0 };
	double queue = 0, capacity = 1, step_s = STEP_MS / 1e3;
	double could = 0, did = 0, waited = 0, takes;
	unsigned late = play->news_ms / STEP_MS, i;

	loom_keep_control_init(&control, S);
	for (i = 0; i < STEPS; i++) {
		if (i == STEPS / 2)
			capacity = play->capacity;
		shares[i % NEWS_MAX] = control.share;
		queue += play->offered * step_s / PER_LIMIT *
		    (i < late ? 1 : shares[(i - late) % NEWS_MAX]);
		takes = fmin(queue, capacity * step_s / PER_LIMIT);
		queue -= takes;
		loom_keep_control_tick(&control,
		    takes / (capacity * step_s / PER_LIMIT) + queue,
		    S + (i + 1) * STEP_MS * MS);
		if (i < STEPS * 3 / 4)
			continue;
		could += fmin(play->offered, capacity) * step_s / PER_LIMIT;
		did += takes;
		waited += queue / (STEPS / 4.0);
	}
	*served = did / could;
	*waits = waited;
}

/* The share settles where the service is nearly full and calls hardly wait,
 * whatever is offered, and follows a service that gains or loses capacity. */
static void
test_control(void)
{
	double served, waits;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		play(&cases[i].play, &served, &waits);
		TEST_CHECK(served >= cases[i].served_min, "%s: served %.3f",
		    cases[i].name, served);
		TEST_CHECK(waits <= cases[i].waits_max, "%s: waits %.3f",
		    cases[i].name, waits);
	}
}

/*
 * Requests of eight calls, one after the other, at a service that carries two
 * fifths of them.  What is let in too much makes its other calls yet: callers
 * whose request had run for half of its time were refused after all, in turns
 * with others who were refused at the entry while the service idled.
 */
#define CHAIN_CALLS 8
#define CHAIN_SLOTS 45
#define CHAIN_CALL_MS 45
#define CHAIN_IN_TIME_MS 1000
#define CHAINS_MAX 4096

struct chain {
	unsigned begun_ms;
	unsigned next_ms; /* its call begins to wait, or ends */
	unsigned left; /* calls; 0: a free place */
	bool runs;
};

struct chains {
	struct chain chains[CHAINS_MAX];
	unsigned waiting[CHAINS_MAX]; /* oldest first */
	unsigned nwaiting, nrunning, done;
};

static void
begin_chain(struct chains *all, unsigned ms)
{
	unsigned i;

	for (i = 0; i < CHAINS_MAX; i++) {
		if (all->chains[i].left > 0)
			continue;
		all->chains[i] = (struct chain){
			.begun_ms = ms,
			.next_ms = ms + 100,
			.left = CHAIN_CALLS,
		};
		return;
	}
	g_assert_not_reached();
}

static void
end_call(struct chains *all, struct chain *chain, unsigned ms)
{
	chain->runs = false;
	all->nrunning--;
	chain->next_ms = ms + 12;
	if (ms - chain->begun_ms > CHAIN_IN_TIME_MS)
		chain->left = 0;
	else if (--chain->left == 0)
		all->done++;
}

static void
step_chains(struct chains *all, struct loom_random *random, unsigned ms)
{
	struct chain *chain;
	unsigned i;

	for (i = 0; i < CHAINS_MAX; i++) {
		chain = &all->chains[i];
		if (chain->left == 0 || chain->next_ms > ms)
			continue;
		if (chain->runs)
			end_call(all, chain, ms);
		else
			all->waiting[all->nwaiting++] = i;
		if (!chain->runs && chain->next_ms <= ms)
			chain->next_ms = UINT_MAX;
	}
	for (i = 0; i < all->nwaiting && all->nrunning < CHAIN_SLOTS; i++) {
		chain = &all->chains[all->waiting[i]];
		chain->runs = true;
		chain->next_ms = ms + CHAIN_CALL_MS / 2 +
		    (unsigned)loom_random_below(random, CHAIN_CALL_MS + 1);
		all->nrunning++;
	}
	all->nwaiting -= i;
	memmove(all->waiting, all->waiting + i,
	    all->nwaiting * sizeof(all->waiting[0]));
}

static void
test_chains(void)
{
	const unsigned news_ms = 150, all_ms = 20000;
	const double capacity_per_ms =
	    (double)CHAIN_SLOTS / CHAIN_CALL_MS / CHAIN_CALLS;
	const double offered_per_ms = 2.5 * capacity_per_ms;
	struct loom_random random;
	struct loom_keep_control control;
	struct chains *all;
	double shares[256];
	double done = 0;
	uint64_t seed;
	unsigned ms;

	for (seed = 1; seed <= 4; seed++) {
		random = test_random_new(seed);
		all = g_new0(struct chains, 1);
		loom_keep_control_init(&control, S);
		for (ms = 0; ms < all_ms; ms++) {
			shares[ms % 256] = control.share;
			if (loom_random_unit(&random) < offered_per_ms *
				(ms < news_ms ? 1
					      : shares[(ms - news_ms) % 256]))
				begin_chain(all, ms);
			step_chains(all, &random, ms);
			if (ms % 5 == 0)
				loom_keep_control_tick(&control,
				    (double)(all->nrunning + all->nwaiting) /
					CHAIN_SLOTS,
				    S + ms * MS);
		}
		done += all->done / (capacity_per_ms * all_ms) / 4;
		g_free(all);
		test_random_free(&random);
	}
	TEST_CHECK(done >= 0.75, "done in time %.3f", done);
}

/*
 * Requests make their calls in bursts: every 50 ms three times as many come as
 * slots are free, and are gone 30 ms later.  Callers of the whole chain were
 * refused for the sake of a service that stood idle for half of the time, since
 * the queue of each burst counted like one that stays.
 */
static void
test_bursts(void)
{
	static const struct {
		const char *what;
		unsigned
		    full_ms; /* of each 50 ms, with twice the limit there */
		bool refuses;
	} rows[] = {
		{ "bursts that drain", 30, false },
		{ "a queue that stands", 50, true },
	};
	struct loom_keep_control control;
	unsigned i, ms;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		loom_keep_control_init(&control, S);
		for (ms = 0; ms < 3000; ms += 5)
			loom_keep_control_tick(&control,
			    ms % 50 < rows[i].full_ms ? 3.0 : 0.6, S + ms * MS);
		TEST_CHECK((control.share < 0.5) == rows[i].refuses, "%s: %.2f",
		    rows[i].what, control.share);
	}
}

/* Three in ten requests are critical and make five calls each, the rest are
 * low and make ten: half of the calls let in are all the critical ones and
 * some of the low. */
static void
test_gate(void)
{
	struct loom_keep_gate *gate = loom_keep_gate_new(NULL);
	struct loom_random random = test_random_new(5);
	unsigned let[2] = { 0 }, offered[2] = { 0 }, i, kind;
	double calls, let_calls = 0, offered_calls = 0;
	uint64_t now_us = S;
	bool pass;

	TEST_CHECK(loom_keep_pass(gate, NARROW, 1000, 10, now_us), "unknown");
	for (i = 0; i < 20000; i++) {
		now_us += 2 * MS;
		loom_keep_note(gate, NARROW, 0.5, now_us);
		kind = loom_random_unit(&random) < 0.3 ? 0 : 1;
		calls = kind == 0 ? 5 : 10;
		pass = loom_keep_pass(gate, NARROW,
		    loom_shed_rank(kind == 0 ? LOOM_CRITICAL : LOOM_LOW,
			random.next(random.arg)),
		    calls, now_us);
		offered[kind]++;
		offered_calls += calls;
		let[kind] += pass;
		let_calls += pass ? calls : 0;
	}
	TEST_CHECK(let[0] > 0.99 * offered[0], "critical %u", let[0]);
	TEST_CHECK(fabs(let_calls / offered_calls - 0.5) < 0.03, "calls %.3f",
	    let_calls / offered_calls);
	TEST_CHECK(loom_keep_age_us(gate, NARROW, now_us) == 0, "just told");
	now_us += 2 * S;
	TEST_CHECK(loom_keep_share(gate, NARROW, now_us) >= 1, "reopened");
	TEST_CHECK(loom_keep_age_us(gate, NARROW, now_us) == 2 * S, "age");
	TEST_CHECK(loom_keep_age_us(gate, NARROW + 1, now_us) == 0, "never");
	test_random_free(&random);
	talloc_free(gate);
}

/* Guards against entries that flood a full service again when they have heard
 * nothing of it for a second, and after the next report still. */
static void
test_reopening(void)
{
	static const struct {
		double told;
		unsigned silent_ms;
		double least, most;
	} rows[] = {
		{ 0.02, 400, 0.02, 0.021 },
		{ 0.02, 800, 0.02, 0.06 },
		{ 0.02, 1000, 0.02, 0.1 },
		{ 0.02, 2000, 0.9, 1 },
		{ 0.5, 1000, 0.9, 1 },
		{ 0, 400, 0, 0.001 },
		{ 0, 3100, 0.9, 1 },
	};
	struct loom_keep_gate *gate;
	uint64_t now_us;
	double share;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		gate = loom_keep_gate_new(NULL);
		for (now_us = S; now_us < 3 * S; now_us += 50 * MS)
			loom_keep_note(gate, NARROW, rows[i].told, now_us);
		now_us += (rows[i].silent_ms - 50) * MS;
		share = loom_keep_share(gate, NARROW, now_us);
		TEST_CHECK(share >= rows[i].least && share <= rows[i].most,
		    "row %zu: %.3f", i, share);
		loom_keep_note(gate, NARROW, rows[i].told, now_us);
		share = loom_keep_share(gate, NARROW, now_us);
		TEST_CHECK(share <= rows[i].told + 0.001,
		    "row %zu: %.3f after a report", i, share);
		talloc_free(gate);
	}
}

/*
 * Two routes of one importance, one of ten calls and one of a single call.
 * Half of the calls fit: by chance alone half of each route's callers were
 * refused, though those of the cheap one take a tenth of the room each.
 */
static void
test_cheap_requests(void)
{
	struct loom_keep_gate *gate = loom_keep_gate_new(NULL);
	struct loom_random random = test_random_new(3);
	unsigned let[2] = { 0 }, offered[2] = { 0 }, i, kind;
	uint64_t now_us = S;

	for (i = 0; i < 20000; i++) {
		now_us += 2 * MS;
		loom_keep_note(gate, NARROW, 0.5, now_us);
		kind = loom_random_unit(&random) < 0.2 ? 0 : 1;
		offered[kind]++;
		let[kind] += loom_keep_pass(gate, NARROW,
		    loom_shed_rank(LOOM_LOW, random.next(random.arg)),
		    kind == 0 ? 1 : 10, now_us);
	}
	TEST_CHECK(
	    let[0] > 0.9 * offered[0], "cheap %u of %u", let[0], offered[0]);
	TEST_CHECK(
	    let[1] > 0.45 * offered[1], "costly %u of %u", let[1], offered[1]);
	test_random_free(&random);
	talloc_free(gate);
}

/* Requests of 100 ms whose upstream waits 60 of them for calls of its own; two
 * calls at once are one wait. */
static void
test_wait_share(void)
{
	static const struct {
		unsigned inner; /* at once */
		unsigned wait_ms;
		double share;
	} rows[] = { { 0, 0, 0 }, { 1, 60, 0.6 }, { 2, 60, 0.6 },
		{ 1, 100, 0.95 } };
	struct loom_wait_share share;
	uint64_t now_us;
	unsigned i, j;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		share = (struct loom_wait_share){ .at_us = S };
		for (now_us = S; now_us < 6 * S; now_us += 100 * MS) {
			loom_wait_share_change(&share, 1, 0, now_us);
			for (j = 0; j < rows[i].inner; j++)
				loom_wait_share_change(&share, 0, 1, now_us);
			for (j = 0; j < rows[i].inner; j++)
				loom_wait_share_change(&share, 0, -1,
				    now_us + rows[i].wait_ms * MS);
			loom_wait_share_change(
			    &share, -1, 0, now_us + 100 * MS);
		}
		TEST_CHECK(fabs(loom_wait_share(&share) - rows[i].share) < 0.05,
		    "%u: %.3f", i, loom_wait_share(&share));
	}
}

#define RUN_MAX 512

struct run {
	uint64_t route;
	uint64_t began_us;
	uint64_t end_us;
	uint64_t next_us; /* its next call; 0 for none */
	unsigned calls; /* to be made yet */
};

/* Uploads make no calls, lookups five, one after the other, each a sixth of
 * the lookup's time; they come by chance. */
static void
play_fanout(struct loom_fanout *fanout, double upload_per_s,
    double lookup_per_s, unsigned seconds, uint64_t seed)
{
	struct loom_random random = test_random_new(seed);
	struct run runs[RUN_MAX] = { 0 };
	uint64_t now_us, route, took_us;
	unsigned i;

	for (now_us = S; now_us < (1 + seconds) * S; now_us += MS) {
		for (i = 0; i < RUN_MAX; i++) {
			if (runs[i].route == 0)
				continue;
			if (runs[i].calls > 0 && now_us >= runs[i].next_us) {
				loom_fanout_called(fanout, 99, now_us);
				runs[i].calls--;
				runs[i].next_us += 15 * MS;
			}
			if (now_us >= runs[i].end_us) {
				loom_fanout_end(fanout, runs[i].route,
				    runs[i].began_us, now_us);
				runs[i].route = 0;
			}
		}
		route = 0;
		if (loom_random_unit(&random) < upload_per_s / 1e3)
			route = 1;
		else if (loom_random_unit(&random) < lookup_per_s / 1e3)
			route = 2;
		for (i = 0; route != 0 && runs[i].route != 0; i++)
			;
		if (route == 0)
			continue;
		took_us = route == 1 ? 72 * MS : 90 * MS;
		loom_fanout_begin(fanout, route, now_us);
		runs[i] = (struct run){
			.route = route,
			.began_us = now_us,
			.end_us = now_us + took_us,
			.next_us = now_us + 5 * MS,
			.calls = route == 1 ? 0 : 5,
		};
	}
	test_random_free(&random);
}

/*
 * Callers of a route that never goes to the narrow service were refused for its
 * sake, half of them and more: beside a route that is twenty times as frequent
 * and makes all the calls, chance gave the rare one a part of them.  What
 * chance explains is no cost; what is learned of the frequent route holds from
 * the first second on.
 */
static void
test_fanout(void)
{
	static const struct {
		double upload_per_s, lookup_per_s;
		unsigned seconds;
		double off_max; /* of the lookup's five calls */
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
			play_fanout(fanout, rows[i].upload_per_s,
			    rows[i].lookup_per_s, rows[i].seconds, seed);
			upload = loom_fanout_calls(fanout, 1, 99);
			lookup = loom_fanout_calls(fanout, 2, 99);
			TEST_CHECK(
			    upload == 0, "row %zu: upload %.2f", i, upload);
			TEST_CHECK(fabs(lookup - 5) < rows[i].off_max,
			    "row %zu: lookup %.2f", i, lookup);
			TEST_CHECK(loom_fanout_calls(fanout, 3, 99) == 0,
			    "unknown route");
			TEST_CHECK(loom_fanout_calls(fanout, 1, 98) == 0,
			    "unknown call");
			talloc_free(fanout);
		}
	}
}

/* Guards against a cost of hundreds of calls after a start, when many requests
 * have made calls and the first have just ended. */
static void
test_fanout_start(void)
{
	enum {
		CALL_MS = 80,
		PLAY_MS = 8000
	};
	static const struct {
		unsigned gap_ms; /* between requests, in the mean */
		unsigned calls; /* one each 80 ms, then the end */
	} rows[] = { { 2, 8 }, { 10, 8 }, { 40, 8 }, { 10, 2 } };
	static bool begins[PLAY_MS];
	struct loom_fanout *fanout;
	struct loom_random random;
	double calls = 0, most;
	unsigned ms, i, after;
	size_t row;

	for (row = 0; row < G_N_ELEMENTS(rows); row++) {
		random = test_random_new(11);
		fanout = loom_fanout_new(NULL, S);
		most = 0;
		for (ms = 0; ms < PLAY_MS; ms++) {
			begins[ms] =
			    loom_random_unit(&random) * rows[row].gap_ms < 1;
			if (begins[ms])
				loom_fanout_begin(fanout, 1, S + ms * MS);
			for (i = 1; i <= rows[row].calls; i++) {
				after = i * CALL_MS;
				if (ms >= after && begins[ms - after])
					loom_fanout_called(
					    fanout, 99, S + ms * MS);
			}
			after = (rows[row].calls + 1) * CALL_MS;
			if (ms >= after && begins[ms - after])
				loom_fanout_end(fanout, 1,
				    S + (ms - after) * MS, S + ms * MS);
			calls = loom_fanout_calls(fanout, 1, 99);
			most = MAX(most, calls);
		}
		TEST_CHECK(most <= 2 * rows[row].calls,
		    "row %zu: %.1f calls at most", row, most);
		TEST_CHECK(
		    fabs(calls - rows[row].calls) <= 0.1 * rows[row].calls,
		    "row %zu: %.2f calls in the end", row, calls);
		talloc_free(fanout);
		test_random_free(&random);
	}
}

static const struct test_case tests[] = {
	{ "share of waits", test_wait_share },
	{ "control", test_control },
	{ "chains", test_chains },
	{ "bursts", test_bursts },
	{ "gate", test_gate },
	{ "reopening", test_reopening },
	{ "cheap requests", test_cheap_requests },
	{ "fan-out", test_fanout },
	{ "fan-out after a start", test_fanout_start },
};

TEST_MAIN("keep", tests)
