/*
 * The pace of readers through outages of the platform, on a fake clock.
 */

#include <string.h>

#include "loom/pace.h"
#include "support/test.h"

#define OUTAGE_FROM_MS 20000
#define ROUND_TRIP_MS 10
#define DRAWS 2000
/* Of all readers together. */
#define CALLS_PER_S 2000

/* What becomes of calls in an outage. */
enum outage {
	OUTAGE_SILENT, /* those made in it are never answered */
	OUTAGE_FORGETS, /* nor those that wait when it begins */
	OUTAGE_REFUSES, /* each fails at once */
	OUTAGES,
};

struct play {
	struct loom_pace pace;
	enum outage outage;
	uint32_t to_ms; /* the platform is back */
	uint32_t change_ms; /* shipped then, not before to_ms */
	struct loom_random *random;
	uint32_t calls[64]; /* made in each second */
};

struct outcome {
	uint32_t end_ms;
	bool answered;
	bool has_change;
};

static bool
is_out(const struct play *play, uint32_t now_ms)
{
	return now_ms >= OUTAGE_FROM_MS && now_ms < play->to_ms;
}

static struct outcome
play_call(const struct play *play, uint32_t now_ms, uint32_t wait_ms)
{
	uint32_t held_to_ms = now_ms + wait_ms;
	bool spans = now_ms < OUTAGE_FROM_MS && held_to_ms >= OUTAGE_FROM_MS;
	bool lost =
	    is_out(play, now_ms) || (spans && play->outage != OUTAGE_SILENT);
	struct outcome outcome = { .answered = !lost };

	if (lost && play->outage == OUTAGE_REFUSES) {
		outcome.end_ms = MAX(now_ms, OUTAGE_FROM_MS) + ROUND_TRIP_MS;
	} else if (lost) {
		outcome.end_ms = held_to_ms + play->pace.answer_ms;
	} else if (held_to_ms >= play->change_ms) {
		outcome.has_change = true;
		outcome.end_ms = MAX(now_ms, play->change_ms) + ROUND_TRIP_MS;
	} else {
		/* what ends in the outage is answered after it */
		outcome.end_ms = is_out(play, held_to_ms)
		    ? play->to_ms
		    : held_to_ms + ROUND_TRIP_MS;
	}
	return outcome;
}

/* Returns when the change is read; the reader starts at start_ms. */
static uint32_t
play_reader(struct play *play, uint32_t start_ms)
{
	struct outcome outcome;
	uint32_t now_ms = start_ms, failures = 0;

	for (;;) {
		play->calls[now_ms / 1000 % G_N_ELEMENTS(play->calls)]++;
		outcome = play_call(
		    play, now_ms, loom_pace_wait_ms(&play->pace, failures));
		if (outcome.has_change)
			return outcome.end_ms;
		failures = outcome.answered ? 0 : failures + 1;
		now_ms = outcome.end_ms +
		    loom_pace_delay_ms(&play->pace, failures, play->random);
	}
}

static uint32_t
worst_lag_ms(struct play *play, uint32_t outage_ms)
{
	uint32_t worst_ms = 0, draw, read_ms;

	play->to_ms = OUTAGE_FROM_MS + outage_ms;
	for (draw = 0; draw < DRAWS; draw++) {
		play->change_ms = play->to_ms +
		    (uint32_t)loom_random_below(play->random, 3000);
		read_ms = play_reader(play,
		    (uint32_t)loom_random_below(play->random, OUTAGE_FROM_MS));
		worst_ms = MAX(worst_ms, read_ms - play->change_ms);
	}
	return worst_ms;
}

static const uint32_t outages_ms[] = { 100, 500, 1300, 2500, 6000, 20000 };

/* Guards against a change that stays unread after the platform is back. */
static void
test_lag_after_outage(void)
{
	static const struct {
		const char *name;
		struct loom_pace pace;
		uint32_t bound_ms;
	} cases[] = {
		/* in force within 11 s, of which peers need 2.1 s */
		{ "defaults", { .wait_ms = 0 }, 8900 },
		/* in force within 3 s, of which a join needs 0.35 s */
		{ "a small fleet", { .wait_ms = 1300, .answer_ms = 700 },
		    2650 },
	};
	struct loom_random random = test_random_new(3);
	struct play play;
	uint32_t lag_ms;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (j = 0; j < OUTAGES * G_N_ELEMENTS(outages_ms); j++) {
			play = (struct play){
				.pace = loom_pace_with_defaults(&cases[i].pace),
				.outage = (enum outage)(j % OUTAGES),
				.random = &random,
			};
			lag_ms = worst_lag_ms(&play, outages_ms[j / OUTAGES]);
			TEST_CHECK(lag_ms <= cases[i].bound_ms,
			    "%s, outage %u of %u ms: %u ms", cases[i].name,
			    (unsigned)(j % OUTAGES), outages_ms[j / OUTAGES],
			    lag_ms);
		}
	}
	test_random_free(&random);
}

/* Guards against readers that outrun the platform's budget while it is away
 * or in the second it is back. */
static void
test_load_of_outage(void)
{
	static const struct {
		struct loom_pace pace;
		uint32_t readers;
	} cases[] = {
		{ { .wait_ms = 0 }, 120 },
		{ { .wait_ms = 1300, .answer_ms = 700 }, 200 },
	};
	struct loom_random random = test_random_new(5);
	struct play play;
	size_t i, second;
	unsigned outage;
	uint32_t n;

	for (i = 0; i < G_N_ELEMENTS(cases) * OUTAGES; i++) {
		outage = (unsigned)(i % OUTAGES);
		play = (struct play){
			.pace =
			    loom_pace_with_defaults(&cases[i / OUTAGES].pace),
			.outage = (enum outage)outage,
			.to_ms = OUTAGE_FROM_MS + 20000,
			.change_ms = OUTAGE_FROM_MS + 25000,
			.random = &random,
		};
		for (n = 0; n < cases[i / OUTAGES].readers; n++)
			play_reader(&play, n);
		for (second = 0; second < G_N_ELEMENTS(play.calls); second++)
			TEST_CHECK(play.calls[second] <= CALLS_PER_S,
			    "outage %u: %u calls in second %zu", outage,
			    play.calls[second], second);
	}
	test_random_free(&random);
}

/* Guards against readers that failed together and come back together. */
static void
test_backoff(void)
{
	static const struct loom_pace pace = {
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
			delay = loom_pace_delay_ms(
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
	{ "load of an outage", test_load_of_outage },
	{ "backoff", test_backoff },
};

TEST_MAIN("pace", tests)
