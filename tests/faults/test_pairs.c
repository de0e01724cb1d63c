/*
 * Two faults at once, with real processes.  Other pairs stand in the tests of
 * their points; docs/PROMISES.md lists which ran.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define HOSTS 4

static const char key_header[] = "Loom-Key: k-pair";

static const struct testbed_service services[] = {
	{ .name = "shop", .hosts = HOSTS, .slots = 16, .service_ms = 1 },
};

static struct testbed testbed;

static char *
document(unsigned version, bool withdrawn)
{
	return g_strdup_printf(
	    "{\"document\":\"test\",\"version\":%u,\"fleet\":{\"slots\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":1000,\"burst\":100,"
	    "\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\",\"withdrawn\":%s}]}],"
	    "\"services\":[{\"name\":\"shop\"}],\"routes\":["
	    "{\"name\":\"g\",\"service\":\"shop\",\"method\":\"GET\","
	    "\"path\":\"/get\"}]}",
	    version, HOSTS, testbed_key_digest("k-pair"),
	    withdrawn ? "true" : "false");
}

static bool
start(void)
{
	char *text = document(1, false);
	bool ok = testbed_start(&testbed, services, 1, 2, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

static void
ship(unsigned version, bool withdrawn)
{
	char *text = document(version, withdrawn);

	testbed_put_document(&testbed, "test", text);
	g_free(text);
}

static int
call(uint32_t host, const char *id)
{
	char *id_header = g_strconcat("X-Test-Id: ", id, NULL);
	const char *headers[] = { key_header, id_header, NULL };
	struct testbed_reply reply;
	int code;

	testbed_call(&testbed, host, "GET", "/get", headers, NULL, 0, &reply);
	code = reply.status == 200 ? 0 : reply.code;
	testbed_reply_clear(&reply);
	g_free(id_header);
	return code;
}

static bool
refuses_key(void *host)
{
	return call(*(const uint32_t *)host, "probe") == LOOM_KEY_WITHDRAWN;
}

/*
 * A daemon is stopped; the key is withdrawn meanwhile, and the daemon wakes
 * with the old manifest.  What it lets in by its old view must not be run by
 * any other host, which knows better; and within seconds it knows itself.
 */
static void
test_pause_and_withdrawal(void)
{
	uint32_t paused = 1, other = 2;

	if (!start())
		goto out;
	kill(testbed.hosts[paused].daemon, SIGSTOP);
	ship(2, true);
	TEST_CHECK(testbed_wait_condition(refuses_key, &other), "others know");
	kill(testbed.hosts[paused].daemon, SIGCONT);
	TEST_CHECK(testbed_wait_condition(refuses_key, &paused),
	    "the woken daemon knows");
	printf("point 3 keys: pause + withdrawal: the woken daemon refuses\n");
out:
	testbed_stop(&testbed);
}

/*
 * The platform goes down and a daemon is killed and replaced; the key that
 * had been withdrawn before stays withdrawn there, as its peers say so.
 */
static void
test_platform_down_and_replaced(void)
{
	uint32_t host = 0;

	if (!start())
		goto out;
	ship(2, true);
	TEST_CHECK(testbed_wait_condition(refuses_key, &host), "in force");
	g_free(
	    testbed_platform_call(&testbed, "POST", "/test/fault?mode=down"));
	testbed_signal(&testbed.hosts[host].daemon, SIGKILL);
	testbed_start_daemon(&testbed, host);
	TEST_CHECK(testbed_wait_ready(&testbed, host), "it is back");
	TEST_CHECK(call(host, "after") == LOOM_KEY_WITHDRAWN, "withdrawn");
	printf("point 10 configuration: platform down + host replaced: the "
	       "withdrawn key stays withdrawn\n");
out:
	testbed_stop(&testbed);
}

/*
 * The platform serves what it had before the withdrawal and a daemon is
 * restarted: it asks its peers too and does not take the key back.
 */
static void
test_stale_platform_and_restart(void)
{
	uint32_t host = 3;

	if (!start())
		goto out;
	ship(2, true);
	TEST_CHECK(testbed_wait_condition(refuses_key, &host), "in force");
	g_free(
	    testbed_platform_call(&testbed, "POST", "/test/fault?mode=older"));
	testbed_signal(&testbed.hosts[host].daemon, SIGKILL);
	testbed_start_daemon(&testbed, host);
	TEST_CHECK(testbed_wait_ready(&testbed, host), "it is back");
	TEST_CHECK(call(host, "after") == LOOM_KEY_WITHDRAWN, "withdrawn");
	TEST_CHECK(
	    testbed_ledger_count(&testbed, "shop", "start", "after") == 0,
	    "nothing ran");
	printf("point 3 keys: stale platform + restart: the withdrawn key "
	       "stays withdrawn\n");
out:
	testbed_stop(&testbed);
}

static bool
work_started(void *id)
{
	return testbed_ledger_count(&testbed, "shop", "start", id) == 1;
}

static void *
call_from_thread(void *id)
{
	static const char slow[] = "X-Test-Service-Ms: 300";
	char *id_header = g_strconcat("X-Test-Id: ", (const char *)id, NULL);
	const char *headers[] = { key_header, id_header, slow, NULL };
	struct testbed_reply reply;

	testbed_call(&testbed, 0, "GET", "/get", headers, NULL, 0, &reply);
	testbed_reply_clear(&reply);
	g_free(id_header);
	return NULL;
}

/*
 * The daemon that a request entered at is killed while the upstream of the
 * executor is stopped.  The caller sees its connection break; nobody else
 * runs the request, and the executor serves the next ones.
 */
static void
test_entry_killed_and_upstream_stopped(void)
{
	static char id[] = "lost";
	GThread *thread;
	uint32_t host;

	if (!start())
		goto out;
	thread = g_thread_new("caller", call_from_thread, id);
	TEST_CHECK(testbed_wait_condition(work_started, id), "it runs");
	for (host = 0; host < HOSTS; host++)
		kill(testbed.hosts[host].upstream, SIGSTOP);
	testbed_signal(&testbed.hosts[0].daemon, SIGKILL);
	g_thread_join(thread);
	for (host = 0; host < HOSTS; host++)
		kill(testbed.hosts[host].upstream, SIGCONT);
	TEST_CHECK(call(2, "next") == 0, "the next call is served");
	TEST_CHECK(testbed_ledger_count(&testbed, "shop", "start", id) == 1,
	    "run once");
	printf("point 1 retries: entry killed + upstreams stopped: one run\n");
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "pause and withdrawal", test_pause_and_withdrawal },
	{ "platform down and replaced", test_platform_down_and_replaced },
	{ "stale platform and restart", test_stale_platform_and_restart },
	{ "entry killed and upstreams stopped",
	    test_entry_killed_and_upstream_stopped },
};

TEST_MAIN("pairs", tests)
