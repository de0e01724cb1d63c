/*
 * Executors that know the work at their upstreams, with real processes.
 */

#include <stdio.h>

#include "support/test.h"
#include "support/testbed.h"

enum host {
	ENTRY,
	FIRST,
	SECOND,
	HOSTS,
};

#define CALLS 24
#define GAUGE_PACE "loom_upstream_pace_percent"
#define GAUGE_CALL "loom_upstream_call_microseconds"
#define SERIES_PROCESSOR "loom_processor_microseconds_total{threads=\"all\"}"
#define PACE 250

static const struct testbed_service reading[] = {
	{ .name = "desk", .hosts = 1, .slots = 16 },
	{ .name = "back",
	    .hosts = 2,
	    .slots = 2,
	    .service_ms = 5,
	    .settings = "\"use_load_reports\":true" },
};

static const struct testbed_service not_reading[] = {
	{ .name = "desk", .hosts = 1, .slots = 16 },
	{ .name = "back", .hosts = 2, .slots = 2, .service_ms = 5 },
};

static struct testbed testbed;

static bool
start(const struct testbed_service *services)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,"
	    "\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,"
	    "\"burst\":10000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"desk\"},"
	    "{\"name\":\"back\",\"slots\":2,\"queue\":16}],"
	    "\"routes\":[{\"name\":\"g\",\"service\":\"back\","
	    "\"method\":\"GET\",\"path\":\"/back\"}]}",
	    HOSTS, testbed_key_digest("k-work"));
	bool ok = testbed_start(&testbed, services, 2, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

/* Sends calls one after the other whose answers carry this report. */
static void
send_calls(const char *report)
{
	char *load = g_strconcat("X-Test-Load: ", report, NULL);
	const char *headers[] = { "Loom-Key: k-work", load, NULL };
	struct testbed_reply reply;
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		testbed_call(
		    &testbed, ENTRY, "GET", "/back", headers, NULL, 0, &reply);
		TEST_CHECK(
		    reply.status == 200, "%s: %ld", report, reply.status);
		testbed_reply_clear(&reply);
	}
	g_free(load);
}

/* The calls go to both hosts, since the better of two random ones is chosen:
 * one of them is enough. */
static bool
knows_work(void *arg)
{
	(void)arg;
	send_calls("1,0,2,250");
	return testbed_metric(&testbed, FIRST, GAUGE_PACE) == PACE ||
	    testbed_metric(&testbed, SECOND, GAUGE_PACE) == PACE;
}

struct used {
	enum host host;
	double processor;
};

static bool
has_reported(void *arg)
{
	const struct used *before = arg;

	return testbed_metric(&testbed, before->host, SERIES_PROCESSOR) >
	    before->processor;
}

/* Waits until the daemon has set its gauges after now: it does so together with
 * its processor time, just after it. */
static void
wait_gauges(enum host host)
{
	struct used before = { .host = host };
	uint32_t i;

	for (i = 0; i < 2; i++) {
		before.processor =
		    testbed_metric(&testbed, host, SERIES_PROCESSOR);
		TEST_CHECK(testbed_wait_condition(has_reported, &before),
		    "host %u sets no gauges", (unsigned)host);
	}
}

static bool
knows_nothing(void)
{
	enum host host;

	for (host = FIRST; host < HOSTS; host++) {
		wait_gauges(host);
		if (testbed_metric(&testbed, host, GAUGE_PACE) != 0 ||
		    testbed_metric(&testbed, host, GAUGE_CALL) != 0)
			return false;
	}
	return true;
}

/* Guards against decisions by a report that is malformed or has no pace, and
 * against a report that is well-formed and has no effect. */
static void
test_reports_are_read(void)
{
	static const char *const useless[] = { "1,0,2", "1,0,2,0", "1,0,0,100",
		"1,0,2,99999", "-1,0,2,100", "1,0,2,100,7", "full" };
	size_t i;

	if (!start(reading))
		goto out;
	for (i = 0; i < G_N_ELEMENTS(useless); i++)
		send_calls(useless[i]);
	TEST_CHECK(knows_nothing(), "work is known by a useless report");
	TEST_CHECK(
	    testbed_wait_condition(knows_work, NULL), "the pace is not known");
	TEST_CHECK(testbed_metric(&testbed, FIRST, GAUGE_CALL) +
		    testbed_metric(&testbed, SECOND, GAUGE_CALL) >
		0,
	    "the cost of calls is not known");
out:
	testbed_stop(&testbed);
}

/* Guards against a fleet that behaves in a new way without being told to. */
static void
test_reports_are_not_read(void)
{
	if (!start(not_reading))
		goto out;
	send_calls("1,0,2,250");
	send_calls("1,0,2,250");
	TEST_CHECK(knows_nothing(), "work is known without the setting");
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "reports are read", test_reports_are_read },
	{ "reports are not read", test_reports_are_not_read },
};

TEST_MAIN("work", tests)
