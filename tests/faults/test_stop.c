/*
 * A daemon that is told to stop while calls are in progress, with real
 * processes.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "support/test.h"
#include "support/testbed.h"

#define FRONT_HOSTS 1
#define BACK_HOSTS 2
#define HOSTS (FRONT_HOSTS + BACK_HOSTS)
#define CALLS 8
#define SIGNALS_MAX 4

static const char key[] = "k-stop";
static const char key_header[] = "Loom-Key: k-stop";

static struct testbed testbed;

static bool
start(const char *settings, bool relayed)
{
	const struct testbed_service services[] = {
		{ .name = "front",
		    .hosts = FRONT_HOSTS,
		    .slots = 16,
		    .settings = settings },
		{ .name = "back", .hosts = BACK_HOSTS, .slots = 64 },
	};
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":10000,"
	    "\"burst\":1000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"front\",\"slots\":16},"
	    "{\"name\":\"back\",\"slots\":64}],\"routes\":["
	    "{\"name\":\"f\",\"service\":\"front\",\"method\":\"GET\","
	    "\"path\":\"/front\"},"
	    "{\"name\":\"b\",\"service\":\"back\",\"method\":\"GET\","
	    "\"path\":\"/back\"}]}",
	    HOSTS, testbed_key_digest(key));
	bool ok;

	if (relayed)
		ok = testbed_start_relayed(&testbed, services, 2, 1, text);
	else
		ok = testbed_start(&testbed, services, 2, 1, text);
	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

struct caller {
	const char *path; /* borrowed */
	const char *header; /* borrowed; or NULL */
	GThread *thread;
	struct testbed_reply reply;
};

static void *
call(void *arg)
{
	struct caller *caller = arg;
	const char *headers[] = { key_header, caller->header, NULL };

	testbed_call(
	    &testbed, 0, "GET", caller->path, headers, NULL, 0, &caller->reply);
	return NULL;
}

static void
start_callers(
    struct caller *callers, uint32_t n, const char *path, const char *header)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		callers[i] = (struct caller){ .path = path, .header = header };
		callers[i].thread = g_thread_new("caller", call, &callers[i]);
	}
}

static void
join_callers(struct caller *callers, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		g_thread_join(callers[i].thread);
}

static void
clear_callers(struct caller *callers, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		testbed_reply_clear(&callers[i].reply);
}

static double
calls_sent_to_back(void)
{
	double n = 0;
	uint32_t i;

	for (i = FRONT_HOSTS; i < HOSTS; i++)
		n += testbed_metric(&testbed, i, "loom_executed_total");
	return n;
}

static bool
all_calls_run(void *arg)
{
	(void)arg;
	return calls_sent_to_back() >= CALLS;
}

static bool
is_not_ready(void *arg)
{
	struct testbed_reply reply;
	bool not_ready;

	(void)arg;
	testbed_call(
	    &testbed, 0, "GET", "/.loom/health", NULL, NULL, 0, &reply);
	not_ready = reply.curl_code == 0 && reply.status == 503;
	testbed_reply_clear(&reply);
	return not_ready;
}

static bool
is_draining(void *arg)
{
	struct testbed_reply reply;
	bool draining;

	(void)arg;
	testbed_call(
	    &testbed, 0, "GET", "/.loom/status", NULL, NULL, 0, &reply);
	draining = reply.body != NULL &&
	    (strstr(reply.body, "\"draining\":true") != NULL ||
		strstr(reply.body, "\"draining\": true") != NULL);
	testbed_reply_clear(&reply);
	return draining;
}

/* When the signals after the first one are sent. */
enum series_moment {
	MOMENT_DELAY, /* while everything is still served */
	MOMENT_DRAIN, /* while new calls are refused */
	MOMENT_UPSTREAM_ENDED, /* after the own upstream has ended */
};

struct series {
	const char *name;
	enum series_moment moment;
	int signals[SIGNALS_MAX];
};

static void
wait_for_moment(enum series_moment moment, const char *name)
{
	TEST_CHECK(
	    testbed_wait_condition(is_not_ready, NULL), "%s: not ready", name);
	if (moment == MOMENT_DELAY)
		return;
	TEST_CHECK(
	    testbed_wait_condition(is_draining, NULL), "%s: draining", name);
	if (moment == MOMENT_UPSTREAM_ENDED)
		testbed_signal(&testbed.hosts[0].upstream, SIGKILL);
}

static void
check_series(const struct series *series)
{
	struct caller callers[CALLS];
	uint32_t i;
	int status;
	pid_t pid;

	if (!start("\"drain_delay_ms\": 500", false))
		goto out;
	start_callers(callers, CALLS, "/back", "X-Test-Service-Ms: 2500");
	TEST_CHECK(testbed_wait_condition(all_calls_run, NULL),
	    "%s: the calls run", series->name);
	pid = testbed.hosts[0].daemon;
	kill(pid, series->signals[0]);
	wait_for_moment(series->moment, series->name);
	for (i = 1; i < SIGNALS_MAX && series->signals[i] != 0; i++)
		kill(pid, series->signals[i]);
	join_callers(callers, CALLS);
	for (i = 0; i < CALLS; i++)
		TEST_CHECK(callers[i].reply.curl_code == 0 &&
			callers[i].reply.status == 200,
		    "%s: call %u: curl %d, status %ld", series->name, i,
		    callers[i].reply.curl_code, callers[i].reply.status);
	clear_callers(callers, CALLS);
	TEST_CHECK(waitpid(pid, &status, 0) == pid && WIFEXITED(status) &&
		WEXITSTATUS(status) == 0,
	    "%s: exits by itself", series->name);
	testbed.hosts[0].daemon = 0;
out:
	testbed_stop(&testbed);
}

/*
 * Guards against a daemon that resets the calls in progress when it gets a
 * further signal while it drains.
 */
static void
test_signal_series(void)
{
	static const struct series rows[] = {
		{ "twice in the delay", MOMENT_DELAY, { SIGTERM, SIGTERM } },
		{ "twice in the drain", MOMENT_DRAIN, { SIGTERM, SIGTERM } },
		{ "upstream ended", MOMENT_UPSTREAM_ENDED,
		    { SIGTERM, SIGTERM } },
		{ "SIGINT, then SIGTERM", MOMENT_DRAIN, { SIGINT, SIGTERM } },
		{ "many", MOMENT_DRAIN, { SIGTERM, SIGHUP, SIGINT, SIGTERM } },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check_series(&rows[i]);
}

static const struct test_case tests[] = {
	{ "signals in series", test_signal_series },
};

TEST_MAIN("stop", tests)
