/*
 * Tests of the base package: random bytes, the table of result codes, JSON with
 * comments, nearest names, counters, histograms and reference counts.
 */

#include <string.h>

#include "loom/clock.h"
#include "loom/counter.h"
#include "loom/histogram.h"
#include "loom/json.h"
#include "loom/ref.h"
#include "support/test.h"

/* Operators search logs for a code's number, so no two codes may share one. */
static void
test_result_numbers_are_unique(void)
{
	const struct loom_result_info *table;
	size_t i, j, n;

	table = loom_result_table(&n);
	for (i = 0; i < n; i++) {
		for (j = i + 1; j < n; j++)
			TEST_CHECK(table[i].code != table[j].code, "%s and %s",
			    table[i].name, table[j].name);
	}
}

/*
 * A code with an HTTP status tells the caller an outcome; a code that is never
 * sent to a caller has none.
 */
static void
test_result_outcomes(void)
{
	const struct loom_result_info *table;
	size_t i, n;

	table = loom_result_table(&n);
	for (i = 0; i < n; i++) {
		TEST_CHECK((table[i].http_status == 0) ==
			(table[i].outcome == LOOM_OUTCOME_NONE),
		    "%s", table[i].name);
	}
}

static void
test_json_parse(void)
{
	static const struct {
		const char *text;
		bool ok;
		unsigned line;
	} cases[] = {
		{ .text = "{} // end", .ok = false, .line = 1 },
		{ .text = "{ /* a */ \"x\": 1 } \n", .ok = true },
		{ .text = "{ // a\n \"x\": 1 }", .ok = true },
		{ .text = "{\n\n \"x\" 1 }", .ok = false, .line = 3 },
		{ .text = "{} {}", .ok = false, .line = 1 },
		{ .text = "", .ok = false, .line = 1 },
		{ .text = "null", .ok = false, .line = 1 },
		{ .text = "{", .ok = false, .line = 1 },
	};
	struct json_object *object;
	const char *message;
	unsigned line;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		line = 0;
		object = loom_json_parse(
		    cases[i].text, strlen(cases[i].text), &line, &message);
		TEST_CHECK(
		    (object != NULL) == cases[i].ok, "%s", cases[i].text);
		TEST_CHECK(
		    line == cases[i].line, "%s: line %u", cases[i].text, line);
		json_object_put(object);
	}
}

static void
test_nearest_name(void)
{
	static const char *const names[] = { "listen", "control", NULL };
	static const struct {
		const char *word;
		const char *nearest;
	} cases[] = {
		{ .word = "lisen", .nearest = "listen" },
		{ .word = "contorl", .nearest = "control" },
		{ .word = "zebra", .nearest = NULL },
	};
	const char *nearest;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		nearest = loom_nearest_name(cases[i].word, names);
		TEST_CHECK(g_strcmp0(nearest, cases[i].nearest) == 0, "%s: %s",
		    cases[i].word, nearest);
	}
}

static void
test_counter_text(void)
{
	struct loom_counter *a, *b;
	char *text;

	a = loom_counter("loom_test_total", "kind=\"a\"", "A test.");
	b = loom_counter("loom_test_total", "kind=\"b\"", "A test.");
	CU_ASSERT_PTR_EQUAL(
	    a, loom_counter("loom_test_total", "kind=\"a\"", "A test."));
	loom_counter_add(a, 2);
	loom_counter_add(b, 3);
	text = loom_counter_text();
	CU_ASSERT_PTR_NOT_NULL(strstr(text,
	    "# HELP loom_test_total A test.\n"
	    "# TYPE loom_test_total counter\n"
	    "loom_test_total{kind=\"a\"} 2\n"
	    "loom_test_total{kind=\"b\"} 3\n"));
	g_free(text);
}

/*
 * Buckets are cumulative, and a value equal to a bound counts in the bucket of
 * that bound, as the Prometheus text format requires.
 */
static void
test_histogram_text(void)
{
	static const struct {
		uint64_t duration_us;
		const char *line; /* expected after all durations so far */
	} cases[] = {
		{ 1000,
		    "loom_test_seconds_bucket{kind=\"a\",le=\"0.001\"} 1\n" },
		{ 1001,
		    "loom_test_seconds_bucket{kind=\"a\",le=\"0.002\"} 2\n" },
		{ 10000000,
		    "loom_test_seconds_bucket{kind=\"a\",le=\"10\"} 3\n" },
		{ 10000001,
		    "loom_test_seconds_bucket{kind=\"a\",le=\"10\"} 3\n" },
		{ 0, "loom_test_seconds_bucket{kind=\"a\",le=\"+Inf\"} 5\n" },
		{ 0, "loom_test_seconds_sum{kind=\"a\"} 20.002002\n" },
		{ 0, "loom_test_seconds_count{kind=\"a\"} 7\n" },
	};
	struct loom_histogram *histogram;
	char *text;
	size_t i;

	histogram =
	    loom_histogram("loom_test_seconds", "kind=\"a\"", "A test.");
	CU_ASSERT_PTR_EQUAL(histogram,
	    loom_histogram("loom_test_seconds", "kind=\"a\"", "A test."));
	loom_histogram_add(NULL, 1);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		loom_histogram_add(histogram, cases[i].duration_us);
		text = loom_histogram_text();
		TEST_CHECK(strstr(text, cases[i].line) != NULL, "%s in %s",
		    cases[i].line, text);
		g_free(text);
	}
}

/*
 * Labels can come from outside the process, so the number of series is bounded.
 */
static void
test_histograms_bounded(void)
{
	char labels[32];
	int i;

	for (i = 0; i < LOOM_HISTOGRAMS_MAX; i++) {
		g_snprintf(labels, sizeof(labels), "n=\"%d\"", i);
		loom_histogram("loom_test_many", labels, "Many.");
	}
	CU_ASSERT_PTR_NULL(
	    loom_histogram("loom_test_many", "n=\"x\"", "Many."));
}

static int destroyed;

static void
count_destroy(void *object)
{
	(void)object;
	destroyed++;
}

static void
test_ref(void)
{
	struct loom_ref ref;

	loom_ref_init(&ref, count_destroy);
	loom_ref_acquire(&ref);
	loom_ref_release(&ref, &ref);
	CU_ASSERT_EQUAL(destroyed, 0);
	loom_ref_release(&ref, &ref);
	CU_ASSERT_EQUAL(destroyed, 1);
}

/*
 * Random draws of any length, including those that cross the end of a thread's
 * random pool or exceed it, are filled completely and never repeat.
 */
static void
test_random_bytes(void)
{
	static const size_t draw_sizes[] = { 8, 16, 24, 1000, 1024, 5000 };
	uint8_t before[5000], bytes[5000];
	size_t i, round;

	for (i = 0; i < G_N_ELEMENTS(draw_sizes); i++) {
		memset(before, 0, sizeof(before));
		for (round = 0; round < 200; round++) {
			memset(bytes, 0, sizeof(bytes));
			loom_random_bytes(bytes, draw_sizes[i]);
			TEST_CHECK(memcmp(bytes, before, draw_sizes[i]) != 0,
			    "%zu bytes, round %zu", draw_sizes[i], round);
			memcpy(before, bytes, draw_sizes[i]);
		}
	}
}

static const struct test_case tests[] = {
	{ "random bytes", test_random_bytes },
	{ "result numbers are unique", test_result_numbers_are_unique },
	{ "result outcomes", test_result_outcomes },
	{ "json parse", test_json_parse },
	{ "nearest name", test_nearest_name },
	{ "counter text", test_counter_text },
	{ "histogram text", test_histogram_text },
	{ "histograms are bounded", test_histograms_bounded },
	{ "reference counts", test_ref },
};

TEST_MAIN("base", tests)
