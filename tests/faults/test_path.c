/*
 * The whole path with real processes: a caller's request through a chain of
 * three services and back.
 */

#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

static const char caller_key[] = "k-4711-caller-secret";

static const struct testbed_service services[] = {
	{ .name = "orders", .hosts = 2, .calls = { "POST /pay" }, .slots = 16 },
	{ .name = "payments",
	    .hosts = 2,
	    .calls = { "GET /site" },
	    .slots = 16 },
	{ .name = "sites", .hosts = 2, .slots = 16 },
};

static char *
document(uint64_t version, bool withdrawn)
{
	return g_strdup_printf(
	    "{ \"document\": \"test\", \"version\": %u,\n"
	    "\"fleet\": { \"slots\": 6 },\n"
	    "\"teams\": [ { \"name\": \"crew\", \"rate_per_s\": 1000,\n"
	    "  \"burst\": 1000, \"keys\": [ { \"id\": \"a\",\n"
	    "  \"sha256\": \"%s\", \"withdrawn\": %s } ] } ],\n"
	    "\"services\": [ { \"name\": \"orders\", \"slots\": 16 },\n"
	    "  { \"name\": \"payments\", \"slots\": 16 },\n"
	    "  { \"name\": \"sites\", \"slots\": 16 } ],\n"
	    "\"routes\": [\n"
	    " { \"name\": \"order.create\", \"service\": \"orders\",\n"
	    "   \"method\": \"POST\", \"path\": \"/orders\",\n"
	    "   \"idempotent\": true, \"calls\": [ \"payment.take\" ] },\n"
	    " { \"name\": \"payment.take\", \"service\": \"payments\",\n"
	    "   \"method\": \"POST\", \"path\": \"/pay\",\n"
	    "   \"idempotent\": true, \"calls\": [ \"site.get\" ] },\n"
	    " { \"name\": \"site.get\", \"service\": \"sites\",\n"
	    "   \"method\": \"GET\", \"path\": \"/site\" } ] }",
	    (unsigned)version, testbed_key_digest(caller_key),
	    withdrawn ? "true" : "false");
}

static bool
counts_processor(void *arg)
{
	struct testbed *testbed = arg;

	return testbed_metric(testbed, 0,
		   "loom_processor_microseconds_total{threads=\"all\"}") > 0 &&
	    testbed_metric(testbed, 0,
		"loom_processor_microseconds_total{threads=\"workers\"}") > 0;
}

static void
test_chain(void)
{
	const char *headers[] = { "Loom-Key: k-4711-caller-secret",
		"X-Test-Id: r1", NULL };
	struct testbed testbed;
	struct testbed_reply reply;
	char *text = document(1, false);
	uint32_t host;

	if (!TEST_CHECK(testbed_start(&testbed, services, 3, 1, text), "start"))
		goto out;
	for (host = 0; host < testbed.nhosts; host++) {
		testbed_call(&testbed, host, "POST", "/orders", headers, "{}",
		    2, &reply);
		TEST_CHECK(reply.status == 200, "host %u: %ld %s", host,
		    reply.status, reply.body);
		TEST_CHECK(strstr(reply.body, "orders id=r1") != NULL, "%s",
		    reply.body);
		testbed_reply_clear(&reply);
	}
	TEST_CHECK(testbed_ledger_count(&testbed, "sites", "done", "r1") ==
		testbed.nhosts,
	    "ledger");
	TEST_CHECK(
	    !testbed_dump_contains(&testbed, caller_key), "key upstream");
	TEST_CHECK(testbed_wait_condition(counts_processor, &testbed),
	    "processor time");
out:
	testbed_stop(&testbed);
	g_free(text);
}

static const struct test_case tests[] = {
	{ "chain of three", test_chain },
};

TEST_MAIN("path", tests)
