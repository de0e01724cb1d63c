/*
 * Executors that know the work at their upstreams, with real processes.
 */

#include <stdatomic.h>
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
#define BURST 40
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
	    .settings = "\"decide_by_work\":true" },
};

static const struct testbed_service narrow[] = {
	{ .name = "desk",
	    .hosts = 1,
	    .slots = 16,
	    .settings = "\"decide_by_work\":true" },
	{ .name = "back",
	    .hosts = 2,
	    .slots = 1,
	    .service_ms = 20,
	    .settings = "\"decide_by_work\":true" },
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
	    "{\"name\":\"back\",\"slots\":%u,\"queue\":64}],"
	    "\"routes\":[{\"name\":\"g\",\"service\":\"back\","
	    "\"method\":\"GET\",\"path\":\"/back\"}]}",
	    HOSTS, testbed_key_digest("k-work"), services[1].slots);
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

static atomic_uint burst_ok;

static void *
call_once(void *arg)
{
	const char *headers[] = { "Loom-Key: k-work", "X-Test-Load: 1,0,1,100",
		arg, NULL };
	struct testbed_reply reply;
	bool ok;

	testbed_call(&testbed, ENTRY, "GET", "/back", headers, NULL, 0, &reply);
	ok = reply.status == 200 || g_str_equal(reply.outcome, "not-run");
	if (!ok)
		printf("%ld %d %s\n", reply.status, reply.code, reply.outcome);
	testbed_reply_clear(&reply);
	atomic_fetch_add(&burst_ok, ok);
	return NULL;
}

/* Sends calls at once, which wait at both hosts; returns how many were answered
 * or refused as not run. */
static uint32_t
send_burst(const char *id)
{
	GThread *threads[BURST];
	uint32_t i;

	atomic_store(&burst_ok, 0);
	for (i = 0; i < BURST; i++)
		threads[i] = g_thread_new("call", call_once, (void *)id);
	for (i = 0; i < BURST; i++)
		g_thread_join(threads[i]);
	return atomic_load(&burst_ok);
}

static double
handed_back(void)
{
	return testbed_metric(&testbed, FIRST,
		   "loom_handed_back_total{side=\"executor\"}") +
	    testbed_metric(
		&testbed, SECOND, "loom_handed_back_total{side=\"executor\"}");
}

/* Guards against a call that is handed back and then lost, run twice, or sent
 * to and fro between two hosts that are both busy.  How many are handed back
 * depends on what the entry tells of the other host. */
static void
test_handed_back(void)
{
	double back, on;
	uint32_t ok;

	if (!start(narrow))
		goto out;
	send_calls("1,0,1,100");
	ok = send_burst("X-Test-Id: burst");
	TEST_CHECK(ok == BURST, "%u of %u calls have an honest answer", ok,
	    (unsigned)BURST);
	TEST_CHECK(
	    testbed_ledger_count(&testbed, "back", "start", "burst") <= BURST,
	    "%u runs of %u calls",
	    testbed_ledger_count(&testbed, "back", "start", "burst"),
	    (unsigned)BURST);
	back = handed_back();
	on = testbed_metric(
	    &testbed, ENTRY, "loom_handed_back_total{side=\"entry\"}");
	TEST_CHECK(
	    back == on && back <= BURST, "%.0f back, %.0f sent on", back, on);
	TEST_CHECK(
	    testbed_metric(&testbed, ENTRY, "loom_sent_again_total") == 0,
	    "handed back calls count as retries");
	printf("%.0f of %u calls handed back\n", back, (unsigned)BURST);
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "reports are read", test_reports_are_read },
	{ "reports are not read", test_reports_are_not_read },
	{ "handed back", test_handed_back },
};

TEST_MAIN("work", tests)
