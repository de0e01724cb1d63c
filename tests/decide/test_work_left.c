/*
 * Tests of the work that an upstream still has to do: short and long calls at
 * one service, and machines whose pace changes.
 */

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "loom/work_left.h"
#include "loom/work_report.h"
#include "support/test.h"

#define MS LOOM_US_PER_MS
#define START_US (100 * LOOM_US_PER_S)
#define SEED 5
#define SHORT 1
#define LONG 2
#define MIXED 3
#define SHORT_US (20 * MS)
#define LONG_US (800 * MS)
#define LIMIT 10
#define ITEMS 64

struct bed {
	struct loom_work_costs *costs;
	struct loom_work_left *left;
	struct loom_work_item items[ITEMS];
	uint32_t nitems;
};

static void
bed_open(struct bed *bed)
{
	uint32_t i;

	*bed = (struct bed){ .costs = loom_work_costs_new(NULL) };
	bed->left = loom_work_left_new(bed->costs, bed->costs);
	for (i = 0; i < 300; i++) {
		loom_work_costs_note(
		    bed->costs, SHORT, SHORT_US, SHORT_US, START_US);
		loom_work_costs_note(
		    bed->costs, LONG, LONG_US, LONG_US, START_US);
		loom_work_costs_note(bed->costs, MIXED,
		    i % 10 == 0 ? LONG_US : SHORT_US,
		    i % 10 == 0 ? LONG_US : SHORT_US, START_US);
	}
}

static void
bed_close(struct bed *bed)
{
	talloc_free(bed->costs);
}

static void
run(struct bed *bed, uint32_t n, uint64_t class_id, uint64_t started_us)
{
	while (n-- > 0)
		loom_work_left_run(bed->left, &bed->items[bed->nitems++],
		    class_id, LOOM_NORMAL, started_us);
}

static void
wait(struct bed *bed, uint32_t n, uint64_t class_id,
    enum loom_importance importance)
{
	while (n-- > 0)
		loom_work_left_wait(bed->left, &bed->items[bed->nitems++],
		    class_id, importance);
}

static double
wait_ms(struct bed *bed, uint64_t now_us)
{
	return (double)loom_work_left_wait_us(
		   bed->left, LOOM_LOW, LIMIT, now_us) /
	    MS;
}

/* Guards against judging an upstream by the number of its calls. */
static void
test_kinds_of_calls(void)
{
	static const struct {
		const char *name;
		uint32_t running;
		uint64_t class_id;
		uint64_t elapsed_us;
		uint32_t waiting;
		uint64_t waiting_class_id;
		double min_ms, max_ms;
	} rows[] = {
		{ "a free slot", LIMIT - 1, LONG, 0, 0, 0, 0, 0 },
		{ "short calls", LIMIT, SHORT, 0, 0, 0, 1, 3 },
		{ "long calls", LIMIT, LONG, 0, 0, 0, 70, 90 },
		{ "long calls, nearly done", LIMIT, LONG, 700 * MS, 0, 0, 3,
		    25 },
		{ "short ones wait", LIMIT, SHORT, 0, 10, SHORT, 18, 26 },
		{ "long ones wait", LIMIT, SHORT, 0, 10, LONG, 750, 850 },
		{ "mixed, just begun", LIMIT, MIXED, 0, 0, 0, 7, 13 },
		{ "mixed, past the short", LIMIT, MIXED, 60 * MS, 0, 0, 60,
		    80 },
	};
	struct bed bed;
	double ms;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		bed_open(&bed);
		run(&bed, rows[i].running, rows[i].class_id, START_US);
		wait(
		    &bed, rows[i].waiting, rows[i].waiting_class_id, LOOM_HIGH);
		ms = wait_ms(&bed, START_US + rows[i].elapsed_us);
		TEST_CHECK(ms >= rows[i].min_ms && ms <= rows[i].max_ms,
		    "%s: %.1f ms", rows[i].name, ms);
		bed_close(&bed);
	}
}

/* Guards against less important calls that count as waiting before a call. */
static void
test_importance(void)
{
	struct bed bed;
	uint64_t critical_us, high_us, low_us;

	bed_open(&bed);
	run(&bed, LIMIT, SHORT, START_US);
	wait(&bed, 5, SHORT, LOOM_HIGH);
	wait(&bed, 5, LONG, LOOM_LOW);
	critical_us =
	    loom_work_left_wait_us(bed.left, LOOM_CRITICAL, LIMIT, START_US);
	high_us = loom_work_left_wait_us(bed.left, LOOM_HIGH, LIMIT, START_US);
	low_us = loom_work_left_wait_us(bed.left, LOOM_LOW, LIMIT, START_US);
	TEST_CHECK(critical_us < 3 * MS && high_us > 10 * MS &&
		high_us < 15 * MS && low_us > 400 * MS,
	    "%u, %u and %u us", (unsigned)critical_us, (unsigned)high_us,
	    (unsigned)low_us);
	bed_close(&bed);
}

/* Guards against a report that is old, absurd or a lie and decides alone. */
static void
test_reports(void)
{
	static const struct {
		const char *name;
		struct loom_load_report report;
		uint64_t age_us;
		double min_factor, max_factor;
	} rows[] = {
		{ "as usual", { LIMIT, 0, LIMIT, 100 }, 0, 0.99, 1.01 },
		{ "no pace", { 900, 900, LIMIT, 0 }, 0, 0.99, 1.01 },
		{ "slow", { LIMIT, 0, LIMIT, 250 }, 0, 2.4, 2.6 },
		{ "fast", { LIMIT, 0, LIMIT, 50 }, 0, 0.45, 0.55 },
		{ "slow, 600 ms ago", { LIMIT, 0, LIMIT, 250 }, 600 * MS, 1.0,
		    1.4 },
		{ "slow, a minute ago", { LIMIT, 0, LIMIT, 250 },
		    60 * LOOM_US_PER_S, 0.9, 1.1 },
		{ "absurdly slow", { LIMIT, 0, LIMIT, LOOM_PACE_MAX }, 0, 1,
		    LOOM_WORK_PACE_MAX * 1.01 },
		{ "absurdly fast", { LIMIT, 0, LIMIT, LOOM_PACE_MIN }, 0,
		    LOOM_WORK_PACE_MIN * 0.99, 1 },
		{ "fewer calls than were sent", { 0, 0, LIMIT, 100 }, 0, 0.99,
		    1.01 },
		{ "more calls", { LIMIT, 4, LIMIT, 100 }, 0, 1.1, 2.01 },
		{ "a million calls", { 1000000, 1000000, LIMIT, 100 }, 0, 1.1,
		    2.01 },
	};
	struct loom_load_report usual = { LIMIT, 0, LIMIT, 100 };
	struct bed bed;
	double before_ms, after_ms;
	uint64_t now_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		now_us = START_US + 100 * MS;
		bed_open(&bed);
		run(&bed, LIMIT, SHORT, now_us + rows[i].age_us);
		wait(&bed, LIMIT, SHORT, LOOM_NORMAL);
		loom_work_left_report(bed.left, &usual, START_US);
		loom_work_left_report(bed.left, &rows[i].report, now_us);
		now_us += rows[i].age_us;
		after_ms = wait_ms(&bed, now_us);
		bed_close(&bed);
		bed_open(&bed);
		run(&bed, LIMIT, SHORT, now_us);
		wait(&bed, LIMIT, SHORT, LOOM_NORMAL);
		before_ms = wait_ms(&bed, now_us);
		bed_close(&bed);
		TEST_CHECK(after_ms >= before_ms * rows[i].min_factor &&
			after_ms <= before_ms * rows[i].max_factor,
		    "%s: %.1f ms, %.1f without a report", rows[i].name,
		    after_ms, before_ms);
	}
}

/* Guards against a slow spell that is learned as the cost of a class. */
static void
test_usual_time(void)
{
	const struct loom_load_report slow = { 1, 0, LIMIT, 250 };
	const uint64_t now_us = START_US + 50 * MS;
	uint64_t usual_us;
	struct bed bed;

	bed_open(&bed);
	loom_work_left_report(bed.left, &slow, START_US);
	run(&bed, 1, SHORT, START_US);
	loom_work_left_report(bed.left, &slow, now_us);
	usual_us =
	    loom_work_left_usual_us(bed.left, &bed.items[0], 50 * MS, now_us);
	TEST_CHECK(usual_us >= 19 * MS && usual_us <= 21 * MS, "%u us",
	    (unsigned)usual_us);
	usual_us = loom_work_left_run_us(bed.left, SHORT, now_us);
	TEST_CHECK(usual_us >= 48 * MS && usual_us <= 52 * MS, "%u us now",
	    (unsigned)usual_us);
	bed_close(&bed);
}

/* Guards against sums that drift or keep calls that have gone, when calls come,
 * wait, run and leave in any order, also twice, and time steps back. */
static void
test_calls_come_and_go(void)
{
	struct loom_random random = test_random_new(SEED);
	struct loom_work_left_state state;
	uint64_t now_us = START_US;
	struct bed bed;
	uint32_t step, i;

	bed_open(&bed);
	for (step = 0; step < 20000; step++) {
		struct loom_work_item *item =
		    &bed.items[loom_random_below(&random, ITEMS)];
		const uint64_t class_id = 1 + loom_random_below(&random, 70);
		const enum loom_importance importance =
		    (enum loom_importance)loom_random_below(
			&random, LOOM_IMPORTANCE_COUNT);

		now_us += loom_random_below(&random, 3 * MS);
		if (step % 1000 == 0)
			now_us -= 50 * MS;
		switch (loom_random_below(&random, 4)) {
		case 0:
			loom_work_left_wait(
			    bed.left, item, class_id, importance);
			break;
		case 1:
			loom_work_left_run(
			    bed.left, item, class_id, importance, now_us);
			break;
		default:
			loom_work_left_end(bed.left, item);
		}
		if (!TEST_CHECK(wait_ms(&bed, now_us) < 60e3,
			"step %u: %.0f ms", step, wait_ms(&bed, now_us)))
			break;
	}
	for (i = 0; i < ITEMS; i++)
		loom_work_left_end(bed.left, &bed.items[i]);
	loom_work_left_state(bed.left, now_us, &state);
	TEST_CHECK(state.running == 0 && state.waiting == 0,
	    "%u running and %u waiting are left", state.running, state.waiting);
	TEST_CHECK(wait_ms(&bed, now_us) < 1, "a wait without calls");
	bed_close(&bed);
	test_random_free(&random);
}

struct queued {
	uint64_t ends_us; /* 0: waits */
	uint64_t class_id;
	uint64_t slot_us;
	uint64_t arrived_us;
	uint64_t expected_us;
};

struct outcome {
	double expected_us;
	double waited_us;
	double error_us; /* sum of absolute errors */
	uint32_t waited;
};

/* Starts those that wait first while slots are free. */
static void
start_waiting(struct bed *bed, struct queued *calls, uint32_t *running,
    uint64_t now_us, struct outcome *outcome)
{
	struct queued *first;
	double waited_us;
	uint32_t i;

	while (*running < LIMIT) {
		first = NULL;
		for (i = 0; i < ITEMS; i++) {
			if (calls[i].slot_us != 0 && calls[i].ends_us == 0 &&
			    (first == NULL ||
				calls[i].arrived_us < first->arrived_us))
				first = &calls[i];
		}
		if (first == NULL)
			return;
		waited_us = (double)(now_us - first->arrived_us);
		outcome->waited += first->expected_us > 0;
		outcome->waited_us += waited_us;
		outcome->expected_us += (double)first->expected_us;
		outcome->error_us +=
		    fabs(waited_us - (double)first->expected_us);
		first->ends_us = now_us + first->slot_us;
		loom_work_left_run(bed->left, &bed->items[first - calls],
		    first->class_id, LOOM_NORMAL, now_us);
		(*running)++;
	}
}

static void
end_calls(
    struct bed *bed, struct queued *calls, uint32_t *running, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < ITEMS; i++) {
		if (calls[i].ends_us == 0 || calls[i].ends_us > now_us)
			continue;
		loom_work_left_end(bed->left, &bed->items[i]);
		calls[i] = (struct queued){ 0 };
		(*running)--;
	}
}

static void
offer(struct bed *bed, struct queued *calls, struct loom_random *random,
    uint64_t now_us)
{
	const uint64_t class_id = 1 + loom_random_below(random, 3);
	bool is_long = class_id == LONG ||
	    (class_id == MIXED && loom_random_below(random, 10) == 0);
	uint32_t i;

	for (i = 0; i < ITEMS && calls[i].slot_us != 0; i++)
		;
	if (i == ITEMS)
		return;
	calls[i] = (struct queued){
		.class_id = class_id,
		.slot_us = is_long ? LONG_US : SHORT_US,
		.arrived_us = now_us,
		.expected_us =
		    loom_work_left_wait_us(bed->left, LOOM_LOW, LIMIT, now_us),
	};
	loom_work_left_wait(bed->left, &bed->items[i], class_id, LOOM_NORMAL);
}

/*
 * Short, long and mixed calls at a service at nine tenths of its slots: guards
 * against expected waits that are wrong on the whole, or say nothing about a
 * single call.
 */
static void
test_expected_waits(void)
{
	struct loom_random random = test_random_new(SEED);
	struct queued calls[ITEMS] = { 0 };
	struct outcome outcome = { 0 };
	uint64_t now_us, next_us = START_US;
	uint32_t running = 0;
	double mean_us = (SHORT_US * 1.9 + LONG_US * 1.1) / 3;
	double gap_us = mean_us / LIMIT / 0.9;
	struct bed bed;

	bed_open(&bed);
	for (now_us = START_US; now_us < START_US + 300 * LOOM_US_PER_S;
	     now_us += MS) {
		end_calls(&bed, calls, &running, now_us);
		start_waiting(&bed, calls, &running, now_us, &outcome);
		while (next_us <= now_us) {
			offer(&bed, calls, &random, now_us);
			start_waiting(&bed, calls, &running, now_us, &outcome);
			next_us += (uint64_t)(-gap_us *
			    log(1 - loom_random_unit(&random)));
		}
	}
	TEST_CHECK(outcome.waited > 1000, "only %u waited", outcome.waited);
	TEST_CHECK(fabs(outcome.expected_us / outcome.waited_us - 1) < 0.25,
	    "%.0f s expected, %.0f s waited", outcome.expected_us / 1e6,
	    outcome.waited_us / 1e6);
	TEST_CHECK(outcome.error_us < 0.5 * outcome.waited_us,
	    "off by %.0f s in %.0f s", outcome.error_us / 1e6,
	    outcome.waited_us / 1e6);
	bed_close(&bed);
	test_random_free(&random);
}

static bool
is_same(const struct loom_work_report *a, const struct loom_work_report *b)
{
	return a->wait_us == b->wait_us && a->own_us == b->own_us &&
	    a->run_us == b->run_us && a->pace_percent == b->pace_percent &&
	    a->reason_age_ms == b->reason_age_ms;
}

/* Guards against a time in a header that is taken for another one. */
static void
test_time_text(void)
{
	static const struct {
		const char *text;
		bool ok;
		uint64_t time_us;
	} rows[] = {
		{ "0", true, 0 },
		{ "4e20", true, 20000 },
		{ "", false, 0 },
		{ " 1", false, 0 },
		{ "1:", false, 0 },
		{ "1g", false, 0 },
		{ "ffffffffffffffffff", false, 0 },
	};
	uint64_t time_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		time_us = 0;
		TEST_CHECK(loom_work_time_parse(rows[i].text, &time_us) ==
			    rows[i].ok &&
			(!rows[i].ok || time_us == rows[i].time_us),
		    "\"%s\"", rows[i].text);
	}
}

/* Guards against a report that another daemon cannot read, or that makes it
 * believe anything. */
static void
test_report_text(void)
{
	static const struct {
		const char *text;
		bool ok;
		struct loom_work_report report;
	} rows[] = {
		{ "0:0:0:0:0", true, { 0, 0, 0, 0, 0 } },
		{ "ff:4e20:A:64:3e8", true, { 255, 20000, 10, 100, 1000 } },
		{ "", false, { 0 } },
		{ "1:2:3", false, { 0 } },
		{ "1:2:3:4", false, { 0 } },
		{ "1:2:3:4:", false, { 0 } },
		{ "1:2:3:4:5:", false, { 0 } },
		{ "1:2:3:4:5:6", false, { 0 } },
		{ "1:2:3:4:5 ", false, { 0 } },
		{ "1::3:4:5", false, { 0 } },
		{ "1:2:3::5", false, { 0 } },
		{ "-1:2:3:4:5", false, { 0 } },
		{ "0x1:2:3:4:5", false, { 0 } },
		{ "ffffffffffffffffff:2:3:4:5", false, { 0 } },
		{ "1:2:3:4:ffffffffffffffffff", false, { 0 } },
		{ "1:2:3:2711:5", false, { 0 } },
	};
	const struct loom_work_report huge = { UINT64_MAX, UINT64_MAX,
		UINT64_MAX, UINT32_MAX, UINT32_MAX };
	struct loom_work_report report;
	char text[LOOM_WORK_REPORT_SIZE];
	bool ok;
	size_t i, length;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		ok = loom_work_report_parse(rows[i].text, &report);
		TEST_CHECK(
		    ok == rows[i].ok && is_same(&report, &rows[i].report),
		    "\"%s\"", rows[i].text);
		if (!ok)
			continue;
		length = loom_work_report_format(&report, text, sizeof(text));
		TEST_CHECK(g_ascii_strcasecmp(text, rows[i].text) == 0 &&
			length == strlen(text),
		    "\"%s\" became \"%s\"", rows[i].text, text);
	}
	length = loom_work_report_format(&huge, text, sizeof(text));
	TEST_CHECK(
	    length < sizeof(text) && loom_work_report_parse(text, &report),
	    "the largest report cannot be read: %s", text);
}

static const struct test_case tests[] = {
	{ "kinds of calls", test_kinds_of_calls },
	{ "importance", test_importance },
	{ "reports", test_reports },
	{ "usual time", test_usual_time },
	{ "calls come and go", test_calls_come_and_go },
	{ "expected waits", test_expected_waits },
	{ "report text", test_report_text },
	{ "time text", test_time_text },
};

TEST_MAIN("work left", tests)
