/*
 * Tokens that are given back by calls that did not run.
 *
 * Load pattern: a service turns many calls away, and their callers come again.
 * If each attempt cost a token, a team within its rate would be refused for
 * the rate. If each returned token were simply added, a team could run its
 * burst twice in one moment.
 */

#include "decide/team_bucket.h"
#include "support/test.h"

#define S UINT64_C(1000000)
#define START_US (100 * S)
#define RATE 50.0
#define BURST 20
#define STEPS 4000
#define OUTSTANDING_MAX 64
#define PRICE LOOM_TOKEN_UTOK

static const struct loom_base_share whole_share = {
	.parts = LOOM_SHARE_WHOLE,
	.until_us = UINT64_MAX,
};

static struct loom_team_bucket
new_bucket(void)
{
	struct loom_team_bucket bucket = {
		.rate_per_s = RATE,
		.burst = BURST,
		.at_us = START_US,
	};

	loom_bucket_add(&bucket, &whole_share, BURST * PRICE, START_US);
	return bucket;
}

static bool
take(struct loom_team_bucket *bucket, uint64_t now_us, uint64_t *stamp_us)
{
	if (!loom_bucket_take(bucket, &whole_share, now_us))
		return false;
	*stamp_us = loom_bucket_stamp(bucket, now_us);
	return true;
}

/*
 * Guards against callers refused for the rate though none of their calls ran.
 * In each row so many calls are let in at once, all are refused after a while
 * without having run, and the callers come again.
 */
static void
test_refused_come_again(void)
{
	static const struct {
		const char *name;
		unsigned calls;
		uint64_t after_us; /* until they are refused */
		unsigned again_min, again_max; /* let in then */
	} rows[] = {
		{ "at once", 10, 0, 20, 20 },
		{ "whole burst", 20, 0, 18, 20 },
		{ "soon", 10, S / 10, 20, 20 },
		/* meanwhile refill has come in their place */
		{ "after the bucket was full again", 10, S, 20, 20 },
		{ "whole burst, half refilled", 20, S / 5, 18, 20 },
	};
	uint64_t stamps[BURST] = { 0 }, now_us, unused;
	struct loom_team_bucket bucket;
	unsigned i, again;
	size_t r;

	for (r = 0; r < G_N_ELEMENTS(rows); r++) {
		bucket = new_bucket();
		for (i = 0; i < rows[r].calls; i++)
			TEST_CHECK(take(&bucket, START_US, &stamps[i]),
			    "%s: %u", rows[r].name, i);
		now_us = START_US + rows[r].after_us;
		for (i = 0; i < rows[r].calls; i++)
			loom_bucket_give_back(
			    &bucket, &whole_share, PRICE, stamps[i], now_us);
		for (again = 0; take(&bucket, now_us, &unused); again++)
			;
		TEST_CHECK(
		    again >= rows[r].again_min && again <= rows[r].again_max,
		    "%s: %u let in", rows[r].name, again);
	}
}

/*
 * Guards against the burst running twice: calls are let in, the bucket fills
 * up, others run, and then the first ones turn out not to have run.
 */
static void
test_full_meanwhile(void)
{
	struct loom_team_bucket bucket = new_bucket();
	uint64_t stamps[BURST] = { 0 }, now_us = START_US, unused;
	unsigned i, runs = 0;

	for (i = 0; i < BURST; i++)
		take(&bucket, now_us, &stamps[i]);
	now_us += S;
	while (take(&bucket, now_us, &unused))
		runs++;
	for (i = 0; i < BURST; i++)
		loom_bucket_give_back(
		    &bucket, &whole_share, PRICE, stamps[i], now_us);
	while (take(&bucket, now_us, &unused))
		runs++;
	TEST_CHECK(runs == BURST, "%u ran at once", runs);
}

/*
 * Guards against a token that outlives its loan: the share of the daemon ends
 * while the call waits, and the same capacity is in use elsewhere when a new
 * loan comes.
 */
static void
test_loan_ended(void)
{
	struct loom_team_bucket bucket = new_bucket();
	struct loom_base_share short_share = whole_share;
	uint64_t stamp_us = 0, now_us = START_US;

	take(&bucket, now_us, &stamp_us);
	short_share.until_us = now_us + S / 10;
	now_us += S;
	loom_bucket_advance(&bucket, &short_share, now_us);
	loom_bucket_give_back(&bucket, &whole_share, PRICE, stamp_us, now_us);
	TEST_CHECK(bucket.level_utok == 0, "%lu came back",
	    (unsigned long)bucket.level_utok);
}

/* A bucket, and the same one without the calls that do not run. */
struct pair {
	struct loom_random random;
	struct loom_base_share base;
	struct loom_team_bucket bucket;
	struct loom_team_bucket without;
	uint64_t stamps[OUTSTANDING_MAX];
	unsigned outstanding;
	double returned_utok;
	unsigned returned;
	uint64_t now_us;
};

static uint64_t
draw(struct pair *pair, uint64_t bound)
{
	return loom_random_below(&pair->random, bound);
}

static void
call_once(struct pair *pair)
{
	const bool runs =
	    draw(pair, 2) == 0 || pair->outstanding == OUTSTANDING_MAX;

	if (!loom_bucket_take(&pair->bucket, &pair->base, pair->now_us))
		return;
	if (runs)
		TEST_CHECK(
		    loom_bucket_take(&pair->without, &pair->base, pair->now_us),
		    "a call runs that had no token");
	else
		pair->stamps[pair->outstanding++] =
		    loom_bucket_stamp(&pair->bucket, pair->now_us);
}

static void
return_once(struct pair *pair)
{
	const uint64_t before = pair->bucket.level_utok;
	unsigned i;

	if (pair->outstanding == 0)
		return;
	i = (unsigned)draw(pair, pair->outstanding);
	loom_bucket_give_back(
	    &pair->bucket, &pair->base, PRICE, pair->stamps[i], pair->now_us);
	pair->stamps[i] = pair->stamps[--pair->outstanding];
	pair->returned_utok += (double)(pair->bucket.level_utok - before);
	pair->returned++;
}

static void
step(struct pair *pair)
{
	uint64_t utok;

	if (draw(pair, 2) == 0)
		pair->now_us += draw(pair, draw(pair, 8) == 0 ? S / 2 : 20000);
	/* Both at the same times, so that they round alike. */
	loom_bucket_advance(&pair->bucket, &pair->base, pair->now_us);
	loom_bucket_advance(&pair->without, &pair->base, pair->now_us);
	switch (draw(pair, 8)) {
	case 0:
		pair->base.parts = LOOM_SHARE_WHOLE / 4 * (1 + draw(pair, 4));
		loom_bucket_add(&pair->bucket, &pair->base, 0, pair->now_us);
		loom_bucket_add(&pair->without, &pair->base, 0, pair->now_us);
		break;
	case 1:
		utok = draw(pair, 3 * PRICE);
		loom_bucket_add(&pair->bucket, &pair->base, utok, pair->now_us);
		loom_bucket_add(
		    &pair->without, &pair->base, utok, pair->now_us);
		break;
	case 2:
	case 3:
		return_once(pair);
		break;
	default:
		call_once(pair);
		break;
	}
}

/*
 * Guards against any sequence of refills, loans and returns by which a daemon
 * lets more calls run than if those that did not run had never come: each call
 * that runs must find a token in a bucket that only such calls use. Amounts
 * that are not whole tokens, shares that change and several events at the same
 * time are among the steps.
 */
static void
test_as_if_never_taken(void)
{
	struct pair pair;
	uint32_t seed;
	unsigned i, returned = 0;
	double utok = 0;

	for (seed = 1; seed <= 60; seed++) {
		pair = (struct pair){
			.random = test_random_new(seed),
			.base = whole_share,
			.bucket = new_bucket(),
			.without = new_bucket(),
			.now_us = START_US,
		};
		for (i = 0; i < STEPS; i++)
			step(&pair);
		returned += pair.returned;
		utok += pair.returned_utok;
		test_random_free(&pair.random);
	}
	printf("point rights, returned tokens: %.0f%% of %u came back\n",
	    100 * utok / (double)PRICE / returned, returned);
	/* A bucket that loses all of them would pass the check above. */
	TEST_CHECK(utok > 0.3 * (double)PRICE * returned, "few came back");
}

static const struct test_case tests[] = {
	{ "refused come again", test_refused_come_again },
	{ "full meanwhile", test_full_meanwhile },
	{ "loan ended", test_loan_ended },
	{ "as if never taken", test_as_if_never_taken },
};

TEST_MAIN("team_bucket", tests)
