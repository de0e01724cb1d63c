/*
 * Daemons whose time of day is set back or ahead while they serve.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define HOSTS 3
/* Bounds for a change of the configuration, and for a shutdown without work. */
#define IN_FORCE_WITHIN_S 11
#define STOPPED_WITHIN_S 6

/* Longer than a tick of any timer, shorter than the call's deadline. */
#define LONG_CALL "X-Test-Service-Ms: 1000"

static const char key_header[] = "Loom-Key: k-clock";

static const struct testbed_service services[] = {
	{ .name = "shop",
	    .daemon = "loomd-clock",
	    .hosts = HOSTS,
	    .slots = 16,
	    .service_ms = 2 },
};

static struct testbed testbed;

static const struct clock_step {
	const char *name;
	int signal; /* see tests/standin/loomd-clock.c */
} steps[] = {
	{ "back", SIGUSR1 },
	{ "ahead", SIGUSR2 },
};

static char *
document(unsigned version)
{
	return g_strdup_printf(
	    "{\"document\":\"test\",\"version\":%u,"
	    "\"fleet\":{\"slots\":%d},\"teams\":[{\"name\":\"t\","
	    "\"rate_per_s\":1000,\"burst\":100,\"keys\":[{\"id\":\"a\","
	    "\"sha256\":\"%s\"}]}],\"services\":[{\"name\":\"shop\"}],"
	    "\"routes\":[{\"name\":\"g\",\"service\":\"shop\","
	    "\"method\":\"GET\",\"path\":\"/get\"}]}",
	    version, HOSTS, testbed_key_digest("k-clock"));
}

static bool
start(void)
{
	char *text = document(1);
	bool ok = testbed_start(&testbed, services, 1, 1, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
set_clocks(const struct clock_step *step)
{
	uint32_t host;

	for (host = 0; host < HOSTS; host++)
		kill(testbed.hosts[host].daemon, step->signal);
}

static int
call(uint32_t host, const char *header)
{
	const char *headers[] = { key_header, header, NULL };
	struct testbed_reply reply;
	int status;

	testbed_call(&testbed, host, "GET", "/get", headers, NULL, 0, &reply);
	status = reply.curl_code == 0 ? (int)reply.status : -reply.curl_code;
	testbed_reply_clear(&reply);
	return status;
}

/* A daemon whose clock is set back serves on after SIGTERM until it is killed.
 */
static void
test_shutdown(void)
{
	gint64 told_us;
	double took_s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps) && start(); i++) {
		TEST_CHECK(call(0, NULL) == 200, "%s", steps[i].name);
		told_us = g_get_monotonic_time();
		kill(testbed.hosts[0].daemon, SIGTERM);
		set_clocks(&steps[i]);
		TEST_CHECK(testbed_wait_condition(
			       testbed_has_exited, &testbed.hosts[0].daemon),
		    "%s: ends by itself", steps[i].name);
		took_s = (double)(g_get_monotonic_time() - told_us) / 1e6;
		TEST_CHECK(took_s < STOPPED_WITHIN_S, "%s: after %.1f s",
		    steps[i].name, took_s);
		printf("point 9 shutdown, clock set %s: %.2f s\n",
		    steps[i].name, took_s);
		testbed_stop(&testbed);
	}
}

static bool
all_at(void *version)
{
	char digest[32];
	uint32_t host;

	for (host = 0; host < HOSTS; host++) {
		if (testbed_active_version(&testbed, host, digest) !=
		    *(const int64_t *)version)
			return false;
	}
	return true;
}

/* Daemons whose clock is set back do not take in a new configuration. */
static void
test_configuration(void)
{
	int64_t version = 2;
	gint64 told_us;
	double took_s;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps) && start(); i++) {
		set_clocks(&steps[i]);
		told_us = g_get_monotonic_time();
		text = document((unsigned)version);
		testbed_put_document(&testbed, "test", text);
		g_free(text);
		TEST_CHECK(testbed_wait_condition(all_at, &version),
		    "%s: in force everywhere", steps[i].name);
		took_s = (double)(g_get_monotonic_time() - told_us) / 1e6;
		TEST_CHECK(took_s < IN_FORCE_WITHIN_S, "%s: after %.1f s",
		    steps[i].name, took_s);
		printf("point 10 configuration, clock set %s: %.2f s\n",
		    steps[i].name, took_s);
		testbed_stop(&testbed);
	}
}

static void *
call_long(void *arg)
{
	int *status = arg;

	*status = call(0, LONG_CALL);
	return NULL;
}

static bool
has_begun(void *arg)
{
	double executed = 0;
	uint32_t host;

	(void)arg;
	for (host = 0; host < HOSTS; host++)
		executed +=
		    testbed_metric(&testbed, host, "loom_executed_total");
	return executed >= 1;
}

/* Calls in progress time out as the clock is set ahead, or never end. */
static void
test_calls(void)
{
	GThread *thread;
	int status;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps) && start(); i++) {
		thread = g_thread_new("long", call_long, &status);
		TEST_CHECK(testbed_wait_condition(has_begun, NULL), "begun");
		set_clocks(&steps[i]);
		g_thread_join(thread);
		TEST_CHECK(status == 200, "%s: the call in progress got %d",
		    steps[i].name, status);
		status = call(1, NULL);
		TEST_CHECK(status == 200, "%s: the next call got %d",
		    steps[i].name, status);
		testbed_stop(&testbed);
	}
}

static const struct test_case tests[] = {
	{ "shutdown", test_shutdown },
	{ "configuration", test_configuration },
	{ "calls", test_calls },
};

TEST_MAIN("clock", tests)
