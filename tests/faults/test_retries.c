/*
 * Retries bounded over the whole chain, with real processes: a chain of four
 * services with a fan-out of three at each, whose deepest upstreams all fail.
 */

#include <signal.h>
#include <stdatomic.h>
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
#define STORM_CALLERS 12
#define HOSTS (SERVICES * HOSTS_EACH)
/* As src/decide/retry.c has them, for each daemon and service. */
#define RATIO 0.1
#define CREDIT_MAX 10
#define CREDIT_PER_S 1

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
	    "\"teams\":[{\"name\":\"t\",\"rate_per_s\":100000,\"burst\":100000,"
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
call_through(uint32_t host, const char *id, const char *service)
{
	char *id_header = g_strconcat("X-Test-Id: ", id, NULL);
	char *fail_header = g_strconcat("X-Test-Fail: ", service, NULL);
	char *request_id = g_strconcat("Loom-Request-Id: ", id, NULL);
	const char *headers[] = { key_header, id_header, fail_header,
		request_id, NULL };
	struct testbed_reply reply;

	testbed_call(&testbed, host, "GET", "/a", headers, NULL, 0, &reply);
	TEST_CHECK(reply.status != 200, "%s: %ld", id, reply.status);
	testbed_reply_clear(&reply);
	g_free(request_id);
	g_free(fail_header);
	g_free(id_header);
}

static void
call(const char *id, const char *service)
{
	call_through(0, id, service);
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
	testbed_signal(&testbed.hosts[0].daemon, SIGKILL);
	g_thread_join(thread);
	seen = testbed_ledger_count(&testbed, "d", "start", "home");
	TEST_CHECK(
	    seen <= DEEPEST + BUDGET * FAN_OUT * FAN_OUT, "%u attempts", seen);
	printf(
	    "point 1 retries: home killed: %u attempts at the deepest\n", seen);
out:
	testbed_stop(&testbed);
}

/* Callers that send one request each, again and again. */
struct storm {
	const char *name;
	const char *fails;
	uint32_t sendings; /* of each caller */
	uint32_t attempts; /* of one sending, at the failing service */
	atomic_uint number; /* callers take theirs */
};

/* Each sending goes through the next daemon with an id of its own, so that it
 * is a root of its own. */
static void *
send_storm(void *arg)
{
	struct storm *storm = arg;
	uint32_t number = atomic_fetch_add(&storm->number, 1);
	char id[32];
	uint32_t i;

	for (i = 0; i < storm->sendings; i++) {
		g_snprintf(id, sizeof(id), "storm-%u-%u", number, i);
		call_through((number + i) % HOSTS, id, storm->fails);
	}
	return NULL;
}

/*
 * A service fails and all its callers send again at once, each through one
 * entry after another, so that no home counts its sendings together.  What is
 * repeated on top is the least of two bounds: each root's budget, and a tenth
 * of the first attempts with the credit of each daemon that may retry.
 */
static void
test_storm(void)
{
	struct storm storms[] = {
		{ .name = "the deepest of four, each root's budget binds",
		    .fails = "d",
		    .sendings = 5,
		    .attempts = DEEPEST },
		{ .name = "the first of four, the service's ratio binds",
		    .fails = "a",
		    .sendings = 100,
		    .attempts = 1 },
	};
	GThread *threads[STORM_CALLERS];
	uint32_t seen, first, roots;
	double credit, most;
	struct storm *storm;
	gint64 began_us;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(storms) && start(); i++) {
		storm = &storms[i];
		began_us = g_get_monotonic_time();
		for (j = 0; j < STORM_CALLERS; j++)
			threads[j] = g_thread_new("caller", send_storm, storm);
		for (j = 0; j < STORM_CALLERS; j++)
			g_thread_join(threads[j]);
		seen =
		    testbed_ledger_count(&testbed, storm->fails, "start", NULL);
		roots = STORM_CALLERS * storm->sendings;
		first = roots * storm->attempts;
		credit = CREDIT_MAX +
		    CREDIT_PER_S * (g_get_monotonic_time() - began_us) / 1e6;
		most = first +
		    MIN((double)roots * BUDGET, first * RATIO + HOSTS * credit);
		TEST_CHECK(seen <= most, "%s: %u attempts, bound %.0f",
		    storm->name, seen, most);
		printf("point 1 retries: storm at %s: %u sendings, %u attempts "
		       "there, %u without retries, amplification %.3f, bound "
		       "%.3f\n",
		    storm->name, roots, seen, first, (double)seen / first,
		    most / first);
		testbed_stop(&testbed);
	}
}

static const struct test_case tests[] = {
	{ "budget of a chain", test_budget },
	{ "sent again", test_sent_again },
	{ "home killed", test_home_killed },
	{ "storm", test_storm },
};

TEST_MAIN("retries", tests)
