/*
 * Graceful shutdown and leaving upstreams, with real processes under load.
 */

#include <curl/curl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "support/test.h"
#include "support/testbed.h"

#define CALLERS 8
#define FRONT_HOSTS 3
#define BACK_HOSTS 3
#define HOSTS (FRONT_HOSTS + BACK_HOSTS)
#define CALLS_BETWEEN 200
#define NO_WORK_WITHIN_S 5
#define KNOCKERS 48
#define KNOCKED_DOWN 4 /* times that one daemon ends */
#define LONG_CALLS 12 /* some at each host */
#define LONG_CALL "X-Test-Service-Ms: 8000"

static const char key[] = "k-shutdown";
static const char key_header[] = "Loom-Key: k-shutdown";

static const struct testbed_service services[] = {
	{ .name = "front",
	    .hosts = FRONT_HOSTS,
	    .calls = { "GET /back" },
	    .slots = 64,
	    .service_ms = 2 },
	{ .name = "back", .hosts = BACK_HOSTS, .slots = 64, .service_ms = 2 },
};

static struct testbed testbed;

/* What callers saw; shared by their threads. */
static struct {
	atomic_bool stop;
	atomic_uint whole; /* 200 */
	atomic_uint refused; /* with a number, or no connection */
	atomic_uint cut; /* anything else */
	atomic_uint next_id;
	char last_cut[256]; /* of any one, for the report */
} seen;

static bool
start(void)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,"
	    "\"burst\":10000,\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"front\",\"slots\":64},"
	    "{\"name\":\"back\",\"slots\":64}],\"routes\":["
	    "{\"name\":\"f\",\"service\":\"front\",\"method\":\"GET\","
	    "\"path\":\"/front\",\"calls\":[\"b\"]},"
	    "{\"name\":\"b\",\"service\":\"back\",\"method\":\"GET\","
	    "\"path\":\"/back\"}]}",
	    HOSTS, testbed_key_digest(key));
	bool ok = testbed_start(&testbed, services, 2, 3, text);

	g_free(text);
	memset(&seen, 0, sizeof(seen));
	return TEST_CHECK(ok, "the testbed starts");
}

static void
judge(const struct testbed_reply *reply, uint32_t host)
{
	if (reply->curl_code == 0 && reply->status == 200) {
		atomic_fetch_add(&seen.whole, 1);
	} else if (reply->curl_code == CURLE_COULDNT_CONNECT ||
	    (reply->curl_code == 0 && reply->code != 0 &&
		strcmp(reply->outcome, "not-run") == 0)) {
		atomic_fetch_add(&seen.refused, 1);
	} else {
		atomic_fetch_add(&seen.cut, 1);
		g_snprintf(seen.last_cut, sizeof(seen.last_cut),
		    "host %u: curl %d status %ld code %d %.100s", host,
		    reply->curl_code, reply->status, reply->code, reply->body);
	}
}

static void *
call_on(void *arg)
{
	const char *headers[] = { key_header, NULL, NULL };
	struct testbed_reply reply;
	char id[64];
	uint32_t host, n;

	(void)arg;
	headers[1] = id;
	while (!atomic_load(&seen.stop)) {
		n = atomic_fetch_add(&seen.next_id, 1);
		host = n % HOSTS;
		g_snprintf(id, sizeof(id), "X-Test-Id: s%u", n);
		testbed_call(
		    &testbed, host, "GET", "/front", headers, NULL, 0, &reply);
		judge(&reply, host);
		testbed_reply_clear(&reply);
	}
	return NULL;
}

static bool
enough_whole(void *more_than)
{
	return atomic_load(&seen.whole) >= *(const uint32_t *)more_than;
}

static void
wait_for_calls(void)
{
	uint32_t target = atomic_load(&seen.whole) + CALLS_BETWEEN;

	TEST_CHECK(testbed_wait_condition(enough_whole, &target),
	    "calls go on: %u whole, %u refused, %u cut",
	    atomic_load(&seen.whole), atomic_load(&seen.refused),
	    atomic_load(&seen.cut));
}

/*
 * Callers ask all daemons while these are replaced one after another: each
 * gets SIGTERM, ends by itself, and is started anew.  A caller sees whole
 * answers, refusals that say not-run, or no connection; never a cut request.
 * What was answered whole stands in the ledgers.
 */
static void
test_rolling(void)
{
	GThread *threads[CALLERS];
	uint32_t host, i;

	if (!start())
		goto out;
	for (i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("caller", call_on, NULL);
	for (host = 0; host < HOSTS; host++) {
		wait_for_calls();
		kill(testbed.hosts[host].daemon, SIGTERM);
		TEST_CHECK(testbed_wait_condition(
			       testbed_has_exited, &testbed.hosts[host].daemon),
		    "daemon %u ends by itself", host);
		testbed_start_daemon(&testbed, host);
		TEST_CHECK(testbed_wait_ready(&testbed, host),
		    "daemon %u is back", host);
	}
	wait_for_calls();
	atomic_store(&seen.stop, true);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	TEST_CHECK(atomic_load(&seen.cut) == 0, "%u cut, the last: %s",
	    atomic_load(&seen.cut), seen.last_cut);
	TEST_CHECK(testbed_ledger_count(&testbed, "front", "done", NULL) ==
		atomic_load(&seen.whole),
	    "ledger %u, whole %u",
	    testbed_ledger_count(&testbed, "front", "done", NULL),
	    atomic_load(&seen.whole));
	printf("point 9 shutdown: %d daemons replaced under load, %u whole, "
	       "%u refused not-run, %u cut\n",
	    HOSTS, atomic_load(&seen.whole), atomic_load(&seen.refused),
	    atomic_load(&seen.cut));
out:
	testbed_stop(&testbed);
}

/* Each call on a new connection to the one host, whether it is up or not. */
static void *
knock(void *arg)
{
	const char *headers[] = { key_header, NULL };
	struct testbed_reply reply;

	(void)arg;
	while (!atomic_load(&seen.stop)) {
		testbed_call(
		    &testbed, 0, "GET", "/front", headers, NULL, 0, &reply);
		judge(&reply, 0);
		testbed_reply_clear(&reply);
	}
	return NULL;
}

/*
 * Many callers open a connection for each call to a daemon that ends.  One
 * that the kernel takes after the daemon's last accept would be reset as the
 * socket closes, and its caller could not tell whether it ran.  New ones are
 * held off first: their callers are refused a connection, and know.
 */
static void
test_new_connections(void)
{
	GThread *threads[KNOCKERS];
	uint32_t i;

	if (!start())
		goto out;
	for (i = 0; i < KNOCKERS; i++)
		threads[i] = g_thread_new("knocker", knock, NULL);
	for (i = 0; i < KNOCKED_DOWN; i++) {
		wait_for_calls();
		kill(testbed.hosts[0].daemon, SIGTERM);
		TEST_CHECK(testbed_wait_condition(
			       testbed_has_exited, &testbed.hosts[0].daemon),
		    "ends by itself");
		testbed_start_daemon(&testbed, 0);
		TEST_CHECK(testbed_wait_ready(&testbed, 0), "is back");
	}
	atomic_store(&seen.stop, true);
	for (i = 0; i < KNOCKERS; i++)
		g_thread_join(threads[i]);
	TEST_CHECK(atomic_load(&seen.cut) == 0, "%u cut, the last: %s",
	    atomic_load(&seen.cut), seen.last_cut);
	printf("point 9 shutdown: %d ends under %d callers with a connection a "
	       "call, %u whole, %u refused, %u cut\n",
	    KNOCKED_DOWN, KNOCKERS, atomic_load(&seen.whole),
	    atomic_load(&seen.refused), atomic_load(&seen.cut));
out:
	testbed_stop(&testbed);
}

struct quiet_wait {
	uint32_t host;
	double executed;
	gint64 since_us;
};

/* Whether the host's upstream has got no call for half a second. */
static bool
is_quiet(void *arg)
{
	struct quiet_wait *wait = arg;
	double executed =
	    testbed_metric(&testbed, wait->host, "loom_executed_total");

	if (executed != wait->executed) {
		wait->executed = executed;
		wait->since_us = g_get_monotonic_time();
	}
	return g_get_monotonic_time() - wait->since_us > G_USEC_PER_SEC / 2;
}

/*
 * The platform's list marks one upstream as leaving while callers go on.
 * After a few seconds it gets no more calls, none of those under way is cut,
 * and the others carry the load.
 */
static void
test_leaving_by_list(void)
{
	struct quiet_wait wait = { .host = FRONT_HOSTS, .executed = -1 };
	GThread *threads[CALLERS];
	gint64 told_us;
	uint32_t i;

	if (!start())
		goto out;
	for (i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("caller", call_on, NULL);
	wait_for_calls();
	testbed.hosts[wait.host].leaving = true;
	testbed_publish_hosts(&testbed);
	told_us = g_get_monotonic_time();
	TEST_CHECK(testbed_wait_condition(is_quiet, &wait), "no new work");
	told_us = wait.since_us - told_us;
	TEST_CHECK(told_us < NO_WORK_WITHIN_S * G_USEC_PER_SEC,
	    "the last call came after %.1f s", (double)told_us / 1e6);
	wait_for_calls();
	atomic_store(&seen.stop, true);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	TEST_CHECK(atomic_load(&seen.cut) == 0, "%u cut, the last: %s",
	    atomic_load(&seen.cut), seen.last_cut);
	printf("point 8 leaving by list: the last call came %.2f s after the "
	       "list changed, %u whole, %u cut\n",
	    (double)told_us / 1e6, atomic_load(&seen.whole),
	    atomic_load(&seen.cut));
out:
	testbed_stop(&testbed);
}

static void *
call_long(void *arg)
{
	const char *headers[] = { key_header, LONG_CALL, NULL };
	struct testbed_reply reply;

	(void)arg;
	testbed_call(&testbed, 0, "GET", "/back", headers, NULL, 0, &reply);
	judge(&reply, 0);
	testbed_reply_clear(&reply);
	return NULL;
}

static bool
has_begun(void *host)
{
	return testbed_metric(
		   &testbed, *(uint32_t *)host, "loom_executed_total") >= 1;
}

/*
 * One daemon is told to end while it has a long call, and the platform lists
 * its host as live all the time.  Its peers hear it by the mark on the next
 * answer; those that did not are refused a little later, and go elsewhere.
 * It gets no more calls, though it is up, and none is cut.
 */
static void
test_leaving_by_word(void)
{
	struct quiet_wait wait = { .host = FRONT_HOSTS, .executed = -1 };
	GThread *threads[CALLERS], *longs[LONG_CALLS];
	gint64 told_us;
	double executed;
	uint32_t i;

	if (!start())
		goto out;
	for (i = 0; i < LONG_CALLS; i++)
		longs[i] = g_thread_new("long", call_long, NULL);
	TEST_CHECK(testbed_wait_condition(has_begun, &wait.host), "long call");
	for (i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("caller", call_on, NULL);
	wait_for_calls();
	kill(testbed.hosts[wait.host].daemon, SIGTERM);
	told_us = g_get_monotonic_time();
	TEST_CHECK(testbed_wait_condition(is_quiet, &wait), "no new work");
	told_us = wait.since_us - told_us;
	executed = wait.executed;
	wait_for_calls();
	TEST_CHECK(executed >= 1 &&
		testbed_metric(&testbed, wait.host, "loom_executed_total") ==
		    executed,
	    "up, and nothing new after %.0f calls", executed);
	TEST_CHECK(told_us < NO_WORK_WITHIN_S * G_USEC_PER_SEC,
	    "the last call came after %.1f s", (double)told_us / 1e6);
	for (i = 0; i < LONG_CALLS; i++)
		g_thread_join(longs[i]);
	atomic_store(&seen.stop, true);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	TEST_CHECK(atomic_load(&seen.cut) == 0, "%u cut, the last: %s",
	    atomic_load(&seen.cut), seen.last_cut);
	printf("point 8 leaving by its own word, the list stale: the last call "
	       "came %.2f s after the signal, %u whole, %u cut\n",
	    (double)told_us / 1e6, atomic_load(&seen.whole),
	    atomic_load(&seen.cut));
out:
	testbed_stop(&testbed);
}

static int
call_front(uint32_t host)
{
	const char *headers[] = { key_header, NULL };
	struct testbed_reply reply;
	int status;

	testbed_call(&testbed, host, "GET", "/front", headers, NULL, 0, &reply);
	status = (int)reply.status;
	testbed_reply_clear(&reply);
	return status;
}

/*
 * SIGHUP changes nothing, as settings are read at the start only.  SIGTERM
 * and SIGINT end a daemon by itself with success.
 */
static void
test_signals(void)
{
	static const struct {
		const char *name;
		int number;
		bool ends;
	} cases[] = {
		{ "SIGHUP", SIGHUP, false },
		{ "SIGTERM", SIGTERM, true },
		{ "SIGINT", SIGINT, true },
	};
	int status;
	uint32_t i;
	pid_t pid;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		pid = testbed.hosts[i].daemon;
		kill(pid, cases[i].number);
		if (!cases[i].ends) {
			TEST_CHECK(call_front(i) == 200, "%s", cases[i].name);
			continue;
		}
		TEST_CHECK(waitpid(pid, &status, 0) == pid &&
			WIFEXITED(status) && WEXITSTATUS(status) == 0,
		    "%s: status %x", cases[i].name, (unsigned)status);
		testbed.hosts[i].daemon = 0;
	}
	TEST_CHECK(call_front(0) == 200, "the others serve");
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "signals", test_signals },
	{ "rolling restart", test_rolling },
	{ "new connections", test_new_connections },
	{ "leaving by list", test_leaving_by_list },
	{ "leaving by word", test_leaving_by_word },
};

TEST_MAIN("shutdown", tests)
