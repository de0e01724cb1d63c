/*
 * Retries bounded over the whole chain, with real processes: a chain of four
 * services with a fan-out of three at each, whose deepest upstreams all fail.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define HOSTS_EACH 2
#define SERVICES 4
#define FAN_OUT 3
#define DEEPEST (FAN_OUT * FAN_OUT * FAN_OUT) /* calls without any retry */
#define BUDGET 2 /* retries of one request in all */
#define SENT_AGAIN 10

static const char key_header[] = "Loom-Key: k-retry";

static const struct testbed_service services[SERVICES] = {
	{ .name = "a",
	    .hosts = HOSTS_EACH,
	    .slots = 64,
	    .calls = { "GET /b", "GET /b", "GET /b" } },
	{ .name = "b",
	    .hosts = HOSTS_EACH,
	    .slots = 64,
	    .calls = { "GET /c", "GET /c", "GET /c" } },
	{ .name = "c",
	    .hosts = HOSTS_EACH,
	    .slots = 64,
	    .calls = { "GET /d", "GET /d", "GET /d" } },
	{ .name = "d", .hosts = HOSTS_EACH, .slots = 64 },
};

static struct testbed testbed;

static bool
start(void)
{
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":1,"
	    "\"fleet\":{\"slots\":%d,\"retry_budget\":%d},"
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":1000,\"burst\":1000,"
	    "\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"a\",\"slots\":64},"
	    "{\"name\":\"b\",\"slots\":64},{\"name\":\"c\",\"slots\":64},"
	    "{\"name\":\"d\",\"slots\":64}],\"routes\":["
	    "{\"name\":\"a\",\"service\":\"a\",\"method\":\"GET\","
	    "\"path\":\"/a\",\"calls\":[\"b\"]},"
	    "{\"name\":\"b\",\"service\":\"b\",\"method\":\"GET\","
	    "\"path\":\"/b\",\"calls\":[\"c\"]},"
	    "{\"name\":\"c\",\"service\":\"c\",\"method\":\"GET\","
	    "\"path\":\"/c\",\"calls\":[\"d\"]},"
	    "{\"name\":\"d\",\"service\":\"d\",\"method\":\"GET\","
	    "\"path\":\"/d\"}]}",
	    SERVICES * HOSTS_EACH, BUDGET, testbed_key_digest("k-retry"));
	bool ok = testbed_start(&testbed, services, SERVICES, 2, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

/* One request whose calls to service fail: its connections break after the
 * work was done. */
static void
call(const char *id, const char *service)
{
	char *id_header = g_strconcat("X-Test-Id: ", id, NULL);
	char *fail_header = g_strconcat("X-Test-Fail: ", service, NULL);
	char *request_id = g_strconcat("Loom-Request-Id: ", id, NULL);
	const char *headers[] = { key_header, id_header, fail_header,
		request_id, NULL };
	struct testbed_reply reply;

	testbed_call(&testbed, 0, "GET", "/a", headers, NULL, 0, &reply);
	TEST_CHECK(reply.status != 200, "%s: %ld", id, reply.status);
	testbed_reply_clear(&reply);
	g_free(request_id);
	g_free(fail_header);
	g_free(id_header);
}

/*
 * Each call to the failing service breaks.  With a budget at each hop one
 * request would be tried (1 + 2)^depth times; here all hops together may
 * repeat BUDGET calls, whichever they are.  A repeated call of the first hop
 * brings its whole fan-out again.
 */
static void
test_budget(void)
{
	static const struct {
		const char *id;
		const char *fails;
		uint32_t attempts; /* without a retry, at the failing service */
		uint32_t each; /* attempts there that one retry may add */
	} cases[] = {
		{ "deepest", "d", DEEPEST, FAN_OUT * FAN_OUT },
		{ "third", "c", FAN_OUT * FAN_OUT, FAN_OUT },
		{ "first", "a", 1, 1 },
	};
	uint32_t seen;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		call(cases[i].id, cases[i].fails);
		seen = testbed_ledger_count(
		    &testbed, cases[i].fails, "start", cases[i].id);
		TEST_CHECK(seen <= cases[i].attempts + BUDGET * cases[i].each,
		    "%s: %u attempts", cases[i].id, seen);
		printf("point 1 retries: %s fails: %u attempts there, %u "
		       "without retries, budget %d\n",
		    cases[i].fails, seen, cases[i].attempts, BUDGET);
	}
out:
	testbed_stop(&testbed);
}

/*
 * The caller sends one failing request again and again under one request id.
 * It joins the root it began: all its attempts share one budget.
 */
static void
test_sent_again(void)
{
	uint32_t seen, i;

	if (!start())
		goto out;
	for (i = 0; i < SENT_AGAIN; i++)
		call("again", "a");
	seen = testbed_ledger_count(&testbed, "a", "start", "again");
	TEST_CHECK(seen <= SENT_AGAIN + BUDGET, "%u attempts", seen);
	printf("point 1 retries: one request sent %d times: %u attempts, "
	       "amplification %.2f\n",
	    SENT_AGAIN, seen, (double)seen / SENT_AGAIN);
out:
	testbed_stop(&testbed);
}

static bool
deep_work_started(void *arg)
{
	(void)arg;
	return testbed_ledger_count(&testbed, "d", "start", "home") > 0;
}

/* What the caller of test_home_killed() was told, for the report. */
static int slow_code;

static void *
call_slowly(void *arg)
{
	const char *headers[] = { key_header, "X-Test-Id: home",
		"X-Test-Fail: d", "X-Test-Service-Ms: 200", NULL };
	struct testbed_reply reply;

	(void)arg;
	testbed_call(&testbed, 0, "GET", "/a", headers, NULL, 0, &reply);
	slow_code = reply.code;
	testbed_reply_clear(&reply);
	return NULL;
}

/*
 * The home's daemon is killed while its request is at the deepest service.
 * Nobody grants a retry any more: hops that ask get no answer and give up.
 */
static void
test_home_killed(void)
{
	GThread *thread;
	uint32_t seen;

	if (!start())
		goto out;
	thread = g_thread_new("caller", call_slowly, NULL);
	TEST_CHECK(testbed_wait_condition(deep_work_started, NULL),
	    "never reached d: %d", slow_code);
	testbed_kill(&testbed.hosts[0].daemon, SIGKILL);
	g_thread_join(thread);
	seen = testbed_ledger_count(&testbed, "d", "start", "home");
	TEST_CHECK(
	    seen <= DEEPEST + BUDGET * FAN_OUT * FAN_OUT, "%u attempts", seen);
	printf(
	    "point 1 retries: home killed: %u attempts at the deepest\n", seen);
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "budget of a chain", test_budget },
	{ "sent again", test_sent_again },
	{ "home killed", test_home_killed },
};

TEST_MAIN("retries", tests)
